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

// core runs a scenario on a configured cluster of that many zones whose core
// bears that many losses at once.
func core(t *testing.T, zones, losses int, f func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, zones)
		w.Losses = losses
		defer w.Close()
		g := w.Group("ledger")
		w.Boot()
		w.Configure()
		f(w, g)
	})
}

func (p *Process) replica() *controlstate.Replica {
	return kernel.Need[*controlstate.Replica](p.Kernel)
}

// Right after an acknowledgement as many control nodes as may be lost lose their
// disks, the others their power.
func TestDisksLostAfterAnAcknowledgement(t *testing.T) {
	for _, c := range []struct{ zones, losses int }{{3, 1}, {4, 1}, {4, 2}, {5, 2}} {
		core(t, c.zones, c.losses, func(w *World, g *Group) {
			z := controlPrimary(w)
			w.Until("a change is taken", 3*time.Second, func() bool { return w.Replace(1, 1, w.Configuration(7)) == 200 })
			for i := range c.zones {
				p := w.Process("control", i+1)
				p.Kill()
				if lost := (i + 1 - z + c.zones) % c.zones; lost < c.losses {
					p.Wipe() // the primary's first of all
				}
			}
			for i := range c.zones {
				w.Start("control", i+1, false)
			}
			took := w.Until("the change is read back", 10*time.Second, func() bool { return w.Fetch() == 7 })
			w.Until("another change is taken", 5*time.Second, func() bool { return w.Replace(1, 7, w.Configuration(8)) == 200 })
			if took > 6*time.Second {
				t.Errorf("%d of %d lost: %v until the state was back", c.losses, c.zones, took)
			}
		})
	}
}

// Every machine of the first core is replaced, one after another, by an empty
// one at another address; seeds that are gone are passed over.
func TestCoreReplacedAtOtherAddresses(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		l := under(w, g, func() {
			rev := int64(1)
			for z := 1; z <= 4; z++ {
				w.Process("control", z).Kill()
				time.Sleep(time.Second)
				w.Seeds = []string{ip(z) + ":8782", ip(z+1) + ":8782", ip(z+2) + ":8782"}
				w.Zones = z + 4
				w.Start("control", z+4, false)
				time.Sleep(6 * time.Second)
				w.Until("a change is taken", 3*time.Second, func() bool { return w.Replace(z+4, rev, w.Configuration(rev+1)) == 200 })
				rev++
			}
			if p := w.Process("control", controlPrimary(w)).replica(); len(p.Witnesses()) != 3 {
				t.Errorf("witnesses %v", p.Witnesses())
			}
			for z := 1; z <= 4; z++ { // poolers look for the control nodes that there are now
				w.Process("pooler", z).Kill()
				w.Start("pooler", z, false)
			}
			time.Sleep(3 * time.Second)
		})
		served(t, l, 2500*time.Millisecond)
		if got := w.Fetch(); got != 5 {
			t.Errorf("read back version %d, want 5", got)
		}
	})
}

// The core is cut in two, with an operator on each side: of two changes on the
// same version one wins at most, and what was acknowledged lasts.
func TestOperatorsOnBothSidesOfACut(t *testing.T) {
	for near := 1; near <= 4; near++ {
		core(t, 4, 1, func(w *World, g *Group) {
			p := controlPrimary(w)
			mine := map[int]bool{p: true, 1 + (p-1+near)%4: true} // the primary's side
			for a := 1; a <= 4; a++ {
				for b := a + 1; b <= 4; b++ {
					w.Net.Cut(ip(a), ip(b), mine[a] != mine[b])
				}
			}
			won := map[int64]bool{}
			for range 60 {
				for z := 1; z <= 4; z++ {
					rev := int64(5)
					if mine[z] {
						rev = 6
					}
					if w.Replace(z, 1, w.Configuration(rev)) == 200 {
						won[rev] = true
					}
				}
				controlPrimary(w)
				time.Sleep(50 * time.Millisecond)
			}
			if len(won) > 1 {
				t.Fatal("two changes on top of the same version were acknowledged")
			}
			w.Net.Heal()
			w.Until("a primary", 5*time.Second, func() bool { return controlPrimary(w) != 0 && w.Fetch() != 0 })
			got := w.Fetch()
			for rev := range won {
				if got != rev {
					t.Errorf("version %d was acknowledged, and %d is read back", rev, got)
				}
			}
		})
	}
}

// A leaving that was acknowledged lasts: the process that took it comes back
// at once with nothing in memory, and a delayed beat says the opposite.
func TestLeavingIsNotForgotten(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		d := g.DB(1)
		beat := func(status string, seq int) int {
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(controlPrimary(w))+":8782", "/Servers.Heartbeat/"+d.ID, nil,
				fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z2","slots":7,"status":%q,"target_role":"replica","call_seq":%d}`, d.Addr, status, seq))
			return code
		}
		if code := beat("draining", 1000); code != 200 {
			t.Fatalf("answered %d", code)
		}
		w.Process("control", z).Kill()
		w.Start("control", z, false)
		w.Until("a primary", 3*time.Second, func() bool { return controlPrimary(w) != 0 })
		w.Until("the delayed beat is answered", time.Second, func() bool { return beat("up", 999) == 200 })
		raw, err := w.Process("control", controlPrimary(w)).replica().Read("database/" + d.ID)
		if err != nil || !strings.Contains(string(raw), `"draining":true`) {
			t.Errorf("after the return: %s %v", raw, err)
		}
	})
}

// All processes are killed at once and return: the control state serves again
// at once, since the lease that might run is the returning primary's own.
func TestEveryProcessKilledAtOnce(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("pooler", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("pooler", z, false)
		}
		took := w.Until("a write is served", 5*time.Second, func() bool {
			s, _ := w.Login(2, "p.ledger")
			if s == nil {
				return false
			}
			defer s.Close()
			a, _ := s.Query("PUT k 1")
			return a != nil && a.Code == ""
		})
		if took > 900*time.Millisecond {
			t.Errorf("after %v", took)
		}
	})
}

// A primary that replaces its backup while a move waits for a silent pooler does
// not begin to wait anew: it knows its own leases.
func TestAnotherViewDoesNotProlongAMove(t *testing.T) {
	core(t, 5, 1, func(w *World, g *Group) {
		z := controlPrimary(w)
		view, _ := w.Process("control", z).replica().Primary()
		backup := 0
		for a := 1; a <= 5; a++ {
			if a != z && view.Has(w.Process("control", a).replica().Self()) {
				backup = a
			}
		}
		w.Process("control", 5).Kill()
		for a := 1; a <= 4; a++ {
			w.Net.Cut(ip(5), ip(a), true) // the pooler there says nothing any more
		}
		lead := g.Primary()
		s, _ := w.Login(z, "p.ledger")
		defer s.Close()
		s.Query("PUT k 1")
		lead.Crash(false)
		time.Sleep(time.Second)
		w.Process("control", backup).Kill()
		took := w.Until("the next lead", 8*time.Second, func() bool { l := g.Primary(); return l != nil && l != lead })
		if took > 2200*time.Millisecond { // what is left of a lease of 2.5 s, and the promotion
			t.Errorf("the lead moved %v after the backup was lost", took)
		}
	})
}

// A control node that was a witness for a while and is gone for good does not
// count against the losses that can be borne after that.
func TestWitnessGoneForGoodIsLetGo(t *testing.T) {
	core(t, 4, 2, func(w *World, g *Group) {
		w.Zones = 5
		w.Start("control", 5, false)
		witnesses := func(n int) {
			w.Until(fmt.Sprint(n, " witnesses"), 8*time.Second, func() bool {
				z := controlPrimary(w)
				return z != 0 && len(w.Process("control", z).replica().Witnesses()) == n
			})
		}
		witnesses(5)
		w.Process("control", 1+controlPrimary(w)%4).Kill()
		witnesses(4)
		time.Sleep(time.Second)
		w.Until("a change is taken", 3*time.Second, func() bool { return w.Replace(5, 1, w.Configuration(7)) == 200 })
		z := controlPrimary(w)
		var left []int
		for i := range 5 {
			zone := 1 + (z-1+i)%5
			if p := w.Process("control", zone); p != nil {
				p.Kill()
				if left = append(left, zone); len(left) <= 2 {
					p.Wipe() // the primary's first of all
				}
			}
		}
		for _, zone := range left {
			w.Start("control", zone, false)
		}
		w.Until("the change is read back", 8*time.Second, func() bool { return w.Fetch() == 7 })
	})
}
