package simulation

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// withClusterOf boots and configures a cluster with the given number of zones, whose control nodes
// tolerate the given number of simultaneous losses, and runs a scenario on it.
func withClusterOf(t *testing.T, zones, losses int, scenario func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, zones)
		w.TolerateHosts = losses
		defer w.Close()
		g := w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		scenario(w, g)
	})
}

// replica returns the control state's replica of a control node.
func (p *Process) replica() *controlstate.Replica {
	return kernel.Need[*controlstate.Replica](p.Kernel)
}

// An acknowledged change survives when, right after the acknowledgement, as many control nodes as are
// tolerated lose their disks and all others restart.
func TestAcknowledgedChangeSurvivesLostDisks(t *testing.T) {
	for _, c := range []struct{ zones, losses int }{{3, 1}, {4, 1}, {4, 2}, {5, 2}} {
		withClusterOf(t, c.zones, c.losses, func(w *World, g *Group) {
			primaryZone := controlPrimaryZone(w)
			w.WaitUntil("a change is acknowledged", 3*time.Second, func() bool { return w.Replace(1, 1, w.Configuration(7)) == 200 })
			for i := range c.zones {
				process := w.Process("control", i+1)
				process.Kill()
				if distance := (i + 1 - primaryZone + c.zones) % c.zones; distance < c.losses {
					process.Wipe() // beginning with the primary's disk
				}
			}
			for i := range c.zones {
				w.Start("control", i+1, false)
			}
			took := w.WaitUntil("the acknowledged change is read back", 10*time.Second, func() bool { return w.FetchVersion() == 7 })
			w.WaitUntil("another change is acknowledged", 5*time.Second, func() bool { return w.Replace(1, 7, w.Configuration(8)) == 200 })
			if took > 6*time.Second {
				t.Errorf("after %d of %d disks were lost, it took %v until the state was readable", c.losses, c.zones, took)
			}
		})
	}
}

// Every control node is replaced in turn by an empty one at another address. New nodes must skip seed
// addresses that no longer respond.
func TestAllControlNodesReplaced(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			rev := int64(1)
			for z := 1; z <= 4; z++ {
				w.Process("control", z).Kill()
				time.Sleep(time.Second)
				w.Seeds = []string{ip(z) + ":8782", ip(z+1) + ":8782", ip(z+2) + ":8782"}
				w.SetZones(z + 4)
				w.Start("control", z+4, false)
				time.Sleep(6 * time.Second)
				w.WaitUntil("a change is acknowledged", 3*time.Second, func() bool { return w.Replace(z+4, rev, w.Configuration(rev+1)) == 200 })
				rev++
			}
			if replica := w.Process("control", controlPrimaryZone(w)).replica(); len(replica.Witnesses()) != 3 {
				t.Errorf("witnesses are %v, want 3", replica.Witnesses())
			}
			for z := 1; z <= 4; z++ { // restarted poolers discover the current control nodes
				w.Process("pooler", z).Kill()
				w.Start("pooler", z, false)
			}
			time.Sleep(3 * time.Second)
		})
		checkWritesServed(t, load, 2500*time.Millisecond)
		if got := w.FetchVersion(); got != 5 {
			t.Errorf("read back version %d, want 5", got)
		}
	})
}

// The control nodes are partitioned into two sides, and each side receives a change based on the same
// version. At most one of the two may be acknowledged, and an acknowledged change must not be lost.
func TestConcurrentChangesDuringPartition(t *testing.T) {
	for offset := 1; offset <= 4; offset++ {
		withClusterOf(t, 4, 1, func(w *World, g *Group) {
			primaryZone := controlPrimaryZone(w)
			primarySide := map[int]bool{primaryZone: true, 1 + (primaryZone-1+offset)%4: true} // the zones on the control primary's side
			for a := 1; a <= 4; a++ {
				for b := a + 1; b <= 4; b++ {
					w.Net.SetPartitioned(ip(a), ip(b), primarySide[a] != primarySide[b])
				}
			}
			acknowledged := map[int64]bool{}
			for range 60 {
				for z := 1; z <= 4; z++ {
					rev := int64(5)
					if primarySide[z] {
						rev = 6
					}
					if w.Replace(z, 1, w.Configuration(rev)) == 200 {
						acknowledged[rev] = true
					}
				}
				controlPrimaryZone(w)
				time.Sleep(50 * time.Millisecond)
			}
			if len(acknowledged) > 1 {
				t.Fatal("two changes based on the same version were acknowledged")
			}
			w.Net.Heal()
			w.WaitUntil("a control node becomes primary", 5*time.Second, func() bool { return controlPrimaryZone(w) != 0 && w.FetchVersion() != 0 })
			got := w.FetchVersion()
			for rev := range acknowledged {
				if got != rev {
					t.Errorf("version %d was acknowledged, but %d is read back", rev, got)
				}
			}
		})
	}
}

// An acknowledged draining status is durable: the control node that acknowledged it restarts at once
// and so loses its memory, and a delayed heartbeat then reports the database as up.
func TestAcknowledgedDrainSurvivesRestart(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primaryZone := controlPrimaryZone(w)
		database := g.DB(1)
		heartbeat := func(status string, seq int) int {
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(controlPrimaryZone(w))+":8782", "/Servers.Heartbeat/"+database.ID, nil,
				fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z2","slots":7,"status":%q,"target_role":"replica","call_seq":%d}`, database.Addr, status, seq))
			return code
		}
		if code := heartbeat("draining", 1000); code != 200 {
			t.Fatalf("heartbeat of a draining database: status %d, want 200", code)
		}
		w.Process("control", primaryZone).Kill()
		w.Start("control", primaryZone, false)
		w.WaitUntil("a control node becomes primary", 3*time.Second, func() bool { return controlPrimaryZone(w) != 0 })
		w.WaitUntil("the delayed heartbeat is acknowledged", time.Second, func() bool { return heartbeat("up", 999) == 200 })
		raw, err := w.Process("control", controlPrimaryZone(w)).replica().Read("database/" + database.ID)
		if err != nil || !strings.Contains(string(raw), `"draining":true`) {
			t.Errorf("the database is not recorded as draining after the restart: %s %v", raw, err)
		}
	})
}

// After all processes were killed at once and restarted, the control state is available immediately,
// since the only lease that may still be running is that of the returning primary itself.
func TestAllProcessesKilledAtOnce(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("pooler", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("pooler", z, false)
		}
		took := w.WaitUntil("a write is served", 5*time.Second, func() bool {
			session, _ := w.Login(2, "p.ledger")
			if session == nil {
				return false
			}
			defer session.Close()
			a, _ := session.Query("PUT k 1")
			return a != nil && a.Code == ""
		})
		if took > 900*time.Millisecond {
			t.Errorf("a write was served only after %v, want 900 ms at most", took)
		}
	})
}

// A control primary that replaces its backup while a failover waits for the lease of an unreachable
// pooler does not restart that wait, since it knows the leases that it has granted.
func TestNewViewDoesNotDelayFailover(t *testing.T) {
	withClusterOf(t, 5, 1, func(w *World, g *Group) {
		primaryZone := controlPrimaryZone(w)
		view, _ := w.Process("control", primaryZone).replica().Primary()
		backupZone := 0
		for a := 1; a <= 5; a++ {
			if a != primaryZone && view.Has(w.Process("control", a).replica().Self()) {
				backupZone = a
			}
		}
		w.Process("control", 5).Kill()
		for a := 1; a <= 4; a++ {
			w.Net.SetPartitioned(ip(5), ip(a), true) // the pooler of zone 5 can no longer reach a control node
		}
		oldPrimary := g.Primary()
		session, _ := w.Login(primaryZone, "p.ledger")
		defer session.Close()
		session.Query("PUT k 1")
		oldPrimary.Crash(false)
		time.Sleep(time.Second)
		w.Process("control", backupZone).Kill()
		took := w.WaitUntil("another database is promoted", 8*time.Second, func() bool { p := g.Primary(); return p != nil && p != oldPrimary })
		if took > 2200*time.Millisecond { // the remaining time of a 2.5 s lease, plus the promotion
			t.Errorf("the failover completed %v after the backup was lost, want 2.2 s at most", took)
		}
	})
}

// A control node that was a witness and has been lost permanently is removed from the witnesses, so
// that it no longer counts towards the losses that are tolerated.
func TestLostWitnessIsRemoved(t *testing.T) {
	withClusterOf(t, 4, 2, func(w *World, g *Group) {
		w.SetZones(5)
		w.Start("control", 5, false)
		expectWitnesses := func(n int) {
			w.WaitUntil(fmt.Sprint(n, " witnesses"), 8*time.Second, func() bool {
				z := controlPrimaryZone(w)
				return z != 0 && len(w.Process("control", z).replica().Witnesses()) == n
			})
		}
		expectWitnesses(5)
		w.Process("control", 1+controlPrimaryZone(w)%4).Kill()
		expectWitnesses(4)
		time.Sleep(time.Second)
		w.WaitUntil("a change is acknowledged", 3*time.Second, func() bool { return w.Replace(5, 1, w.Configuration(7)) == 200 })
		primaryZone := controlPrimaryZone(w)
		var killed []int
		for i := range 5 {
			zone := 1 + (primaryZone-1+i)%5
			if p := w.Process("control", zone); p != nil {
				p.Kill()
				if killed = append(killed, zone); len(killed) <= 2 {
					p.Wipe() // beginning with the primary's disk
				}
			}
		}
		for _, zone := range killed {
			w.Start("control", zone, false)
		}
		w.WaitUntil("the acknowledged change is read back", 8*time.Second, func() bool { return w.FetchVersion() == 7 })
	})
}
