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

// play runs a scenario on a booted and configured cluster of four zones with
// one service.
func play(t *testing.T, f func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		g := w.Group("ledger")
		w.Boot()
		w.Configure()
		f(w, g)
	})
}

// under runs f under load and returns the load.
func under(w *World, g *Group, f func()) *Load {
	l := w.NewLoad(g, 7)
	time.Sleep(3 * time.Second)
	f()
	time.Sleep(5 * time.Second)
	l.Stop()
	return l
}

// served fails unless the load got much done and writes never stopped longer
// than the limit.
func served(t TB, l *Load, limit time.Duration) {
	t.Helper()
	if l.Served < 300 || l.Slowest > limit {
		t.Errorf("served %d writes (%d refused, %d unsure), the longest gap %v", l.Served, l.Refused, l.Unsure, l.Slowest)
	}
}

func TestQuietDay(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {})
		served(t, l, 500*time.Millisecond)
		if l.Refused+l.Unsure > 0 {
			t.Errorf("%d refused, %d unsure", l.Refused, l.Unsure)
		}
	})
}

func TestDarkPrimary(t *testing.T) {
	play(t, func(w *World, g *Group) {
		old := g.Primary()
		l := under(w, g, func() {
			old.Crash(true)
			time.Sleep(5 * time.Second)
			old.Return("ledger-1b")
		})
		served(t, l, 3*time.Second)
		if lead := g.Primary(); lead == old || lead == nil {
			t.Error("nobody took over")
		}
	})
}

func TestDeafReplicaIsNotPromoted(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			time.Sleep(2 * time.Second)
			g.Primary().Crash(false)
		})
		served(t, l, 3*time.Second)
		if g.Primary() != g.DB(2) {
			t.Error("the replica that had received everything does not lead")
		}
	})
}

// One replica alone may lack what the other holds: no promotion until the
// other is back, or the primary is.
func TestNoPromotionFromOneReplica(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(2).Crash(false)
			g.Primary().Crash(false)
			time.Sleep(4 * time.Second)
			if g.Primary() != nil {
				t.Error("a replica was promoted that lacks commits")
			}
			g.DB(2).Return("ledger-3b")
			w.Until("a lead", 5*time.Second, func() bool { return g.Primary() != nil })
		})
		served(t, l, 9*time.Second)
	})
}

// A database that returns under a new id must not be waited for under its old
// one.
func TestReturnedIdDoesNotBlockNextMove(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			first := g.Primary()
			first.Crash(true)
			time.Sleep(4 * time.Second)
			first.Return("ledger-1b")
			time.Sleep(3 * time.Second)
			second := g.Primary()
			second.Crash(true)
			w.Until("the next lead", 4*time.Second, func() bool { l := g.Primary(); return l != nil && l != second })
		})
		served(t, l, 3*time.Second)
	})
}

func TestPrimaryReturnsBeforeAnyoneCanFollow(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(2).Crash(true)
			lead := g.Primary()
			lead.Crash(false)
			time.Sleep(3 * time.Second)
			lead.Return("ledger-1b")
		})
		served(t, l, 6*time.Second)
	})
}

func TestReleaseOfPrimary(t *testing.T) {
	play(t, func(w *World, g *Group) {
		old := g.Primary()
		l := under(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
			time.Sleep(2 * time.Second)
			old.Drain()
			time.Sleep(4 * time.Second)
		})
		served(t, l, 1200*time.Millisecond)
		if g.Primary() == old {
			t.Error("the draining database still leads")
		}
		if l.Unsure > 0 {
			t.Errorf("%d unsure answers in a planned move", l.Unsure)
		}
	})
}

// A replica that drains and ends must not be waited for when the lead fails
// just then.
func TestLeadFailsWhileOneReplicaEnds(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
			time.Sleep(2 * time.Second)
			g.DB(2).Drain()
			time.Sleep(3 * time.Second)
			lead := g.Primary()
			lead.Crash(true)
			g.DB(2).Crash(false)
			w.Until("the next lead", 4*time.Second, func() bool { l := g.Primary(); return l != nil && l != lead })
		})
		served(t, l, 3*time.Second)
	})
}

func TestControlPrimaryLostWithItsDisk(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			z := controlPrimary(w)
			w.Process("control", z).Kill()
			w.Until("another control node leads", 4*time.Second, func() bool { return controlPrimary(w) != 0 })
			w.Until("a change is taken", 4*time.Second, func() bool { return w.Replace(1+z%4, 1, w.Configuration(3)) == 200 })
			p := &Process{w: w, dir: w.dir + "/control node-" + strconv.Itoa(z)}
			p.Wipe()
			w.Start("control", z, false)
			time.Sleep(4 * time.Second)
		})
		served(t, l, 2500*time.Millisecond)
		if rev := w.Fetch(); rev != 3 {
			t.Errorf("read back version %d, want 3", rev)
		}
	})
}

// The poolers' read leases outlast the silence of the control node that grants them.
func TestPoolersOutlastADarkControlPrimary(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		if z == 1 {
			g.DB(0).Drain() // so that the lead is not lost with the machine's zone
			time.Sleep(3 * time.Second)
		}
		l := under(w, g, func() {
			w.Net.Dark(ip(z), true)
			time.Sleep(5 * time.Second)
			w.Net.Dark(ip(z), false)
		})
		served(t, l, 600*time.Millisecond)
	})
}

// controlPrimary returns the zone of the control node that leads, after checking that
// there is at most one per epoch.
func controlPrimary(w *World) int {
	found := 0
	for z := 1; z <= w.Zones; z++ {
		if p := w.Process("control", z); p != nil {
			if _, left := kernel.Need[*controlstate.Replica](p.Kernel).Lease(); left > 0 {
				if found != 0 {
					w.T.Errorf("control nodes %d and %d both hold a lease", found, z)
				}
				found = z
			}
		}
	}
	return found
}

func TestControlNodesRestartOneAfterAnother(t *testing.T) {
	play(t, func(w *World, g *Group) {
		rev := int64(1)
		l := under(w, g, func() {
			for z := 1; z <= 4; z++ {
				w.Process("control", z).Term()
				w.Until("a lead in order", 1500*time.Millisecond, func() bool { return controlPrimary(w) != 0 })
				w.Start("control", z, false)
				w.Until("a change is taken", 3*time.Second, func() bool { return w.Replace(z, rev, w.Configuration(rev+2)) == 200 })
				rev += 2
				time.Sleep(time.Second)
			}
		})
		served(t, l, 2*time.Second)
		if got := w.Fetch(); got != rev {
			t.Errorf("read back version %d, want %d", got, rev)
		}
	})
}

func TestPowerLostEverywhereAfterAnAcknowledgement(t *testing.T) {
	play(t, func(w *World, g *Group) {
		if code := w.Replace(2, 1, w.Configuration(9)); code != 200 {
			t.Fatalf("answered %d", code)
		}
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
		}
		w.Until("the version is read back", 8*time.Second, func() bool { return w.Fetch() == 9 })
	})
}

func TestTwoOperatorsRace(t *testing.T) {
	play(t, func(w *World, g *Group) {
		a, b := w.Configuration(5), w.Configuration(6)
		codes := make(chan int, 2)
		go func() { codes <- w.Replace(1, 1, a) }()
		go func() { codes <- w.Replace(3, 1, b) }()
		x, y := <-codes, <-codes
		if x+y != 200+412 {
			t.Errorf("answered %d and %d, want one 200 and one 412", x, y)
		}
		winner := a
		if w.Fetch() == 6 {
			winner = b
		}
		if code := w.Replace(4, 1, winner); code != 200 {
			t.Errorf("sent again unchanged: %d", code)
		}
		if code := w.Replace(2, 6, []byte(`{"rev":9,"routes":[{"name":"x"`)); code != 400 {
			t.Errorf("cut short: %d", code)
		}
	})
}

// A pooler that can't reach the control nodes must stop serving as at a primary when
// its lease ends, and must not hold a promotion up for longer.
func TestPoolerCutFromControlNodes(t *testing.T) {
	play(t, func(w *World, g *Group) {
		s, _ := w.Login(4, "p.ledger")
		for z := 1; z <= 3; z++ {
			w.Net.Cut(ip(4), ip(z), true)
		}
		w.Process("control", 4).Kill()
		time.Sleep(3 * time.Second)
		if a, _ := s.Query("FETCH t1"); a.Code != lineprotocol.Retry {
			t.Errorf("a read at the primary without a lease: %q", a.Code)
		}
		s.Close()
		lead := g.Primary()
		lead.Crash(false)
		z, _ := w.Login(1, "p.ledger")
		w.Until("the other poolers are served", 6*time.Second, func() bool {
			a, _ := z.Query("PUT t1 1")
			return a.Code == ""
		})
		z.Close()
	})
}

func TestPoolerLeavesInOrder(t *testing.T) {
	play(t, func(w *World, g *Group) {
		idle, _ := w.Login(1, "p.ledger")
		open, _ := w.Login(1, "p.ledger")
		open.Query("BEGIN")
		open.Query("PUT x 1")
		done := make(chan struct{})
		start := time.Now()
		go func() { w.Process("pooler", 1).Term(); close(done) }()
		time.Sleep(100 * time.Millisecond)
		if code, _ := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(1)+":8785", "/readyz", nil, nil); code != 503 {
			t.Errorf("ready while leaving: %d", code)
		}
		if a := idle.Answer(); a.Code != "cut" {
			t.Errorf("the idle session got %v", a)
		}
		if a, _ := open.Query("COMMIT"); a.Code != "" {
			t.Errorf("a transaction within half the grace: %s", a.Code)
		}
		<-done
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("took %v", took)
		}
	})
}

// TestChaos mixes lossy links, cuts and crashes from a seed; CHAOS_SEED plays
// one again.
func TestChaos(t *testing.T) {
	seeds := []uint64{3, 11, 42}
	if s, err := strconv.ParseUint(os.Getenv("CHAOS_SEED"), 10, 64); err == nil {
		seeds = []uint64{s}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			play(t, func(w *World, g *Group) {
				r := w.Net.rng
				w.Net.Lossy(0.03, 0.05)
				l := under(w, g, func() {
					for round := range 6 {
						for range seed {
							r.Uint64()
						}
						switch z := 1 + r.IntN(4); r.IntN(4) {
						case 0:
							if p := w.Process("control", z); p != nil {
								p.Kill()
								time.Sleep(1500 * time.Millisecond)
								w.Start("control", z, false)
							}
						case 1:
							if d := g.Primary(); d != nil {
								d.Crash(r.IntN(2) == 0)
								time.Sleep(3 * time.Second)
								d.Return(fmt.Sprint(d.Addr, "-", round))
							}
						case 2:
							w.Net.Cut(ip(z), ip(1+z%4), true)
							time.Sleep(2 * time.Second)
							w.Net.Cut(ip(z), ip(1+z%4), false)
						case 3:
							p := w.Process("pooler", z)
							p.Kill()
							time.Sleep(time.Second)
							w.Start("pooler", z, false)
						}
						controlPrimary(w)
						time.Sleep(4 * time.Second)
					}
				})
				served(t, l, 10*time.Second)
			})
		})
	}
}
