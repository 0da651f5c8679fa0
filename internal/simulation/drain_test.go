package simulation

import (
	"testing"
	"time"
)

// NothingPastItsDrain: a replica that leaves alone holds the newest commits when
// the lead crashes, and is promoted when its time is nearly over. It may hand on
// its log; no statement of a client begins there once the time is over, however
// long it goes on running, and clients are served again once another leads.
func TestNothingPastItsDrain(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(1).Leave(20*time.Second, true)
			time.Sleep(5 * time.Second)
			lead := g.Primary()
			lead.Crash(true)
			if g.next(lead, 2*time.Second) != g.DB(1) {
				t.Error("the replica that holds everything does not lead")
			}
			time.Sleep(4 * time.Second) // it leads, and no one follows yet
			if g.Primary() != g.DB(1) {
				t.Error("the lead left before anyone could follow")
			}
			g.DB(2).SetReplicationStopped(false)
			g.next(g.DB(1), 2*time.Second)
		})
		served(t, l, 8*time.Second)
	})
}
