package simulation

import (
	"strings"
	"testing"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// registered lists the carriers that the control state names.
func registered(t *testing.T, w *World) (names []string) {
	t.Helper()
	for z := 1; z <= w.Zones; z++ {
		state, err := kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel).Durable()
		if err != nil {
			continue
		}
		for key := range state.Entries {
			if name, ok := strings.CutPrefix(key, "carrier/"); ok {
				names = append(names, name)
			}
		}
		return names
	}
	t.Fatal("no primary")
	return nil
}

// A carrier that is gone for good is forgotten, so that the control state does not grow
// with every machine that there ever was, and no move of a lead waits for it after a
// take-over; one that was only away registers again before it is granted a lease.
func TestCarriersThatAreGoneAreForgotten(t *testing.T) {
	play(t, func(w *World, g *Group) {
		for range 3 {
			w.Start("pooler", 5, false)
			w.Until("it registers", 5*time.Second, func() bool { return len(registered(t, w)) == 5 })
			w.Process("pooler", 5).Kill()
			w.Until("it is forgotten", 2*time.Minute, func() bool { return len(registered(t, w)) == 4 })
		}
		l := under(w, g, func() {
			w.Isolate(4, true)
			time.Sleep(90 * time.Second)
			if n := len(registered(t, w)); n != 3 {
				t.Errorf("%d carriers are registered while one of four is cut off for long", n)
			}
			w.Isolate(4, false)
			w.Until("it registers anew", 5*time.Second, func() bool { return len(registered(t, w)) == 4 })
			w.Until("it serves", 5*time.Second, func() bool {
				s, _ := w.Login(4, "p.ledger")
				if s == nil {
					return false
				}
				defer s.Close()
				a, _ := s.Query("PUT back 1")
				return a.Code == ""
			})
		})
		if l.Served < 300 {
			t.Errorf("served %d writes", l.Served)
		}
	})
}
