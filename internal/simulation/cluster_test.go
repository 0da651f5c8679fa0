package simulation

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// withCluster boots and configures a cluster of four zones with one service and runs a
// scenario on it.
func withCluster(t *testing.T, scenario func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		g := w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		scenario(w, g)
	})
}

// withLoad calls run while clients read and write, and returns their load after it has stopped.
// The load starts 3 s before run and ends 5 s after it.
func withLoad(w *World, g *Group, run func()) *Load {
	load := w.StartLoad(g, 7)
	time.Sleep(3 * time.Second)
	run()
	time.Sleep(5 * time.Second)
	load.Stop()
	return load
}

// checkWritesServed fails the test unless at least 300 writes were served and no gap between two
// served writes exceeded the limit.
func checkWritesServed(t TB, l *Load, limit time.Duration) {
	t.Helper()
	if l.Served < 300 || l.LongestWriteGap > limit {
		t.Errorf("%d writes served, want at least 300 (%d refused, %d with unknown outcome); longest gap %v", l.Served, l.Refused, l.UnknownOutcome, l.LongestWriteGap)
	}
}

func TestNoErrorsWithoutFaults(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {})
		checkWritesServed(t, load, 500*time.Millisecond)
		if load.Refused+load.UnknownOutcome > 0 {
			t.Errorf("without faults %d writes were refused and %d had an unknown outcome", load.Refused, load.UnknownOutcome)
		}
	})
}

func TestFailoverFromUnresponsivePrimary(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		oldPrimary := g.Primary()
		load := withLoad(w, g, func() {
			oldPrimary.Crash(true)
			time.Sleep(5 * time.Second)
			oldPrimary.Restart("ledger-1b")
		})
		checkWritesServed(t, load, 3*time.Second)
		if newPrimary := g.Primary(); newPrimary == oldPrimary || newPrimary == nil {
			t.Error("no other database was promoted")
		}
	})
}

// A replica that has stopped receiving writes must not be promoted when the primary fails.
func TestLaggingReplicaIsNotPromoted(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			time.Sleep(2 * time.Second)
			g.Primary().Crash(false)
		})
		checkWritesServed(t, load, 3*time.Second)
		if g.Primary() != g.DB(2) {
			t.Error("the replica that had received every write was not promoted")
		}
	})
}

// A single reachable replica may lack commits that the other one has received, so neither is
// promoted until the other replica or the primary is back.
func TestNoPromotionWithOneReplica(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(2).Crash(false)
			g.Primary().Crash(false)
			time.Sleep(4 * time.Second)
			if g.Primary() != nil {
				t.Error("a replica that lacks commits was promoted")
			}
			g.DB(2).Restart("ledger-3b")
			w.WaitUntil("a database is promoted", 5*time.Second, func() bool { return g.Primary() != nil })
		})
		checkWritesServed(t, load, 9*time.Second)
	})
}

// After a database has returned under a new ID, a failover must not wait for its old ID.
func TestReturnUnderNewIDDoesNotBlockFailover(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			first := g.Primary()
			first.Crash(true)
			time.Sleep(4 * time.Second)
			first.Restart("ledger-1b")
			time.Sleep(3 * time.Second)
			second := g.Primary()
			second.Crash(true)
			w.WaitUntil("another database is promoted", 4*time.Second, func() bool { p := g.Primary(); return p != nil && p != second })
		})
		checkWritesServed(t, load, 3*time.Second)
	})
}

// The primary and one replica fail, so the other replica cannot be promoted; the primary then
// returns under a new ID and resumes its role.
func TestPrimaryReturnsBeforeFailover(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(2).Crash(true)
			primary := g.Primary()
			primary.Crash(false)
			time.Sleep(3 * time.Second)
			primary.Restart("ledger-1b")
		})
		checkWritesServed(t, load, 6*time.Second)
	})
}

func TestPlannedFailoverOnDrain(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		oldPrimary := g.Primary()
		load := withLoad(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
			time.Sleep(2 * time.Second)
			oldPrimary.Drain()
			time.Sleep(4 * time.Second)
		})
		checkWritesServed(t, load, 1200*time.Millisecond)
		if g.Primary() == oldPrimary {
			t.Error("the draining database is still the primary")
		}
		if load.UnknownOutcome > 0 {
			t.Errorf("%d writes with unknown outcome during a planned failover", load.UnknownOutcome)
		}
	})
}

// When the primary fails at the same moment as a draining replica stops, the failover must not
// wait for that replica.
func TestPrimaryFailsWhileReplicaDrains(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
			time.Sleep(2 * time.Second)
			g.DB(2).Drain()
			time.Sleep(3 * time.Second)
			oldPrimary := g.Primary()
			oldPrimary.Crash(true)
			g.DB(2).Crash(false)
			w.WaitUntil("another database is promoted", 4*time.Second, func() bool { p := g.Primary(); return p != nil && p != oldPrimary })
		})
		checkWritesServed(t, load, 3*time.Second)
	})
}

// A change that is acknowledged after the control primary was lost is still read back once that node
// has restarted with an empty disk.
func TestControlPrimaryLostWithItsDisk(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			lostZone := controlPrimaryZone(w)
			w.Process("control", lostZone).Kill()
			w.WaitUntil("another control node becomes primary", 4*time.Second, func() bool { return controlPrimaryZone(w) != 0 })
			w.WaitUntil("a change is acknowledged", 4*time.Second, func() bool { return w.Replace(1+lostZone%4, 1, w.Configuration(3)) == 200 })
			process := &Process{world: w, dir: w.dir + "/control-" + strconv.Itoa(lostZone)}
			if _, err := os.Stat(process.dir); err != nil {
				t.Fatal(err)
			}
			process.Wipe()
			w.Start("control", lostZone, false)
			time.Sleep(4 * time.Second)
		})
		checkWritesServed(t, load, 2500*time.Millisecond)
		if rev := w.FetchVersion(); rev != 3 {
			t.Errorf("read back version %d, want 3", rev)
		}
	})
}

// The poolers' read leases must not expire before another control node takes over from an
// unresponsive control primary.
func TestPoolersServeWithoutControlPrimary(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primaryZone := controlPrimaryZone(w)
		if primaryZone == 1 {
			g.DB(0).Drain() // so that the zone that becomes unresponsive does not hold the database primary
			time.Sleep(3 * time.Second)
		}
		load := withLoad(w, g, func() {
			w.Net.SetSilent(ip(primaryZone), true)
			time.Sleep(5 * time.Second)
			w.Net.SetSilent(ip(primaryZone), false)
		})
		checkWritesServed(t, load, 600*time.Millisecond)
	})
}

// controlPrimaryZone returns the zone of the control node that holds the primary's lease, or 0 if
// none does, and fails the test if two hold one.
func controlPrimaryZone(w *World) int {
	found := 0
	for z := 1; z <= w.Zones(); z++ {
		if p := w.Process("control", z); p != nil {
			if _, remaining := kernel.Need[*controlstate.Replica](p.Kernel).Lease(); remaining > 0 {
				if found != 0 {
					w.T.Errorf("control nodes %d and %d both hold the primary's lease", found, z)
				}
				found = z
			}
		}
	}
	return found
}

func TestRollingRestartOfControlNodes(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		rev := int64(1)
		load := withLoad(w, g, func() {
			for z := 1; z <= 4; z++ {
				w.Process("control", z).Terminate()
				w.WaitUntil("a control node is primary after a graceful shutdown", 1500*time.Millisecond, func() bool { return controlPrimaryZone(w) != 0 })
				w.Start("control", z, false)
				w.WaitUntil("a change is acknowledged", 3*time.Second, func() bool { return w.Replace(z, rev, w.Configuration(rev+2)) == 200 })
				rev += 2
				time.Sleep(time.Second)
			}
		})
		checkWritesServed(t, load, 2*time.Second)
		if got := w.FetchVersion(); got != rev {
			t.Errorf("read back version %d, want %d", got, rev)
		}
	})
}

func TestAcknowledgedChangeSurvivesKillOfAllControlNodes(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		if code := w.Replace(2, 1, w.Configuration(9)); code != 200 {
			t.Fatalf("the change was answered with status %d, want 200", code)
		}
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
		}
		w.WaitUntil("the version is read back", 8*time.Second, func() bool { return w.FetchVersion() == 9 })
	})
}

func TestConcurrentReplacesOfOneVersion(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		first, second := w.Configuration(5), w.Configuration(6)
		codes := make(chan int, 2)
		go func() { codes <- w.Replace(1, 1, first) }()
		go func() { codes <- w.Replace(3, 1, second) }()
		code1, code2 := <-codes, <-codes
		if code1+code2 != 200+412 {
			t.Errorf("statuses %d and %d, want one 200 and one 412", code1, code2)
		}
		accepted := first
		if w.FetchVersion() == 6 {
			accepted = second
		}
		if code := w.Replace(4, 1, accepted); code != 200 {
			t.Errorf("the accepted configuration sent again: status %d, want 200", code)
		}
		if code := w.Replace(2, 6, []byte(`{"rev":9,"routes":[{"name":"x"`)); code != 400 {
			t.Errorf("a truncated configuration: status %d, want 400", code)
		}
	})
}

// A pooler that cannot reach the control nodes must stop serving reads at the primary when its
// lease ends, and must not delay a promotion beyond that.
func TestPoolerPartitionedFromControlNodes(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		session, _ := w.Login(4, "p.ledger")
		for z := 1; z <= 3; z++ {
			w.Net.SetPartitioned(ip(4), ip(z), true)
		}
		w.Process("control", 4).Kill()
		time.Sleep(3 * time.Second)
		if a, _ := session.Query("FETCH t1"); a.Code != lineprotocol.Retry {
			t.Errorf("a read at the primary without a lease was answered with %q", a.Code)
		}
		session.Close()
		oldPrimary := g.Primary()
		oldPrimary.Crash(false)
		otherSession, _ := w.Login(1, "p.ledger")
		w.WaitUntil("another pooler serves a write", 6*time.Second, func() bool {
			a, _ := otherSession.Query("PUT t1 1")
			return a.Code == ""
		})
		otherSession.Close()
	})
}

func TestPoolerGracefulShutdown(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		idle, _ := w.Login(1, "p.ledger")
		open, _ := w.Login(1, "p.ledger")
		open.Query("BEGIN")
		open.Query("PUT x 1")
		done := make(chan struct{})
		start := time.Now()
		go func() { w.Process("pooler", 1).Terminate(); close(done) }()
		time.Sleep(100 * time.Millisecond)
		if code, _ := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(1)+":8785", "/readyz", nil, nil); code != 503 {
			t.Errorf("readiness during shutdown: status %d, want 503", code)
		}
		if a := idle.Answer(); a.Code != "cut" {
			t.Errorf("the idle session was not closed; it got %v", a)
		}
		if a, _ := open.Query("COMMIT"); a.Code != "" {
			t.Errorf("a transaction that commits within half the grace period got %s", a.Code)
		}
		<-done
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("the shutdown took %v, want 6 s at most", took)
		}
	})
}

// TestChaos injects packet loss, partitions and crashes in an order derived from a seed. Set
// CHAOS_SEED to reproduce one run.
func TestChaos(t *testing.T) {
	seeds := []uint64{3, 11, 42}
	if s, err := strconv.ParseUint(os.Getenv("CHAOS_SEED"), 10, 64); err == nil {
		seeds = []uint64{s}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			withCluster(t, func(w *World, g *Group) {
				rng := lockedRand{w.Net}
				w.Net.SetLoss(0.03, 0.05)
				load := withLoad(w, g, func() {
					for round := range 6 {
						for range seed {
							rng.Uint64()
						}
						switch z := 1 + rng.IntN(4); rng.IntN(4) {
						case 0:
							if p := w.Process("control", z); p != nil {
								p.Kill()
								time.Sleep(1500 * time.Millisecond)
								w.Start("control", z, false)
							}
						case 1:
							if d := g.Primary(); d != nil {
								d.Crash(rng.IntN(2) == 0)
								time.Sleep(3 * time.Second)
								d.Restart(fmt.Sprint(d.Addr, "-", round))
							}
						case 2:
							w.Net.SetPartitioned(ip(z), ip(1+z%4), true)
							time.Sleep(2 * time.Second)
							w.Net.SetPartitioned(ip(z), ip(1+z%4), false)
						case 3:
							p := w.Process("pooler", z)
							p.Kill()
							time.Sleep(time.Second)
							w.Start("pooler", z, false)
						}
						controlPrimaryZone(w)
						time.Sleep(4 * time.Second)
					}
				})
				checkWritesServed(t, load, 10*time.Second)
			})
		})
	}
}
