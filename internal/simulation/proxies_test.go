package simulation

import (
	"strings"
	"testing"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// registeredProxies returns the names of the proxies in the control state.
func registeredProxies(t *testing.T, w *World) (names []string) {
	t.Helper()
	for z := 1; z <= w.Zones(); z++ {
		state, err := kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel).DurableState()
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
	t.Fatal("no control node is primary")
	return nil
}

// The entry of a proxy that does not return is removed, so that the control state does not grow with
// every machine that ever existed and no failover waits for that proxy after another control node has
// become primary. A proxy that was only unreachable registers again before it is granted a lease.
func TestDepartedProxiesAreRemoved(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		for range 3 {
			w.Start("pooler", 5, false)
			w.WaitUntil("the new pooler registers", 5*time.Second, func() bool { return len(registeredProxies(t, w)) == 5 })
			w.Process("pooler", 5).Kill()
			w.WaitUntil("the killed pooler is removed", 2*time.Minute, func() bool { return len(registeredProxies(t, w)) == 4 })
		}
		load := withLoad(w, g, func() {
			w.Isolate(4, true)
			time.Sleep(90 * time.Second)
			if n := len(registeredProxies(t, w)); n != 3 {
				t.Errorf("%d proxies are registered after one of four was isolated for 90 s, want 3", n)
			}
			w.Isolate(4, false)
			w.WaitUntil("the isolated pooler registers again", 5*time.Second, func() bool { return len(registeredProxies(t, w)) == 4 })
			w.WaitUntil("the isolated pooler serves a write", 5*time.Second, func() bool {
				s, _ := w.Login(4, "p.ledger")
				if s == nil {
					return false
				}
				defer s.Close()
				a, _ := s.Query("PUT k 1")
				return a.Code == ""
			})
		})
		if load.Served < 300 {
			t.Errorf("%d writes served, want at least 300", load.Served)
		}
	})
}
