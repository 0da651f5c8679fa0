package simulation

import (
	"testing"
	"time"
)

// A draining replica is the only one with the newest commits when the primary crashes, and is promoted
// shortly before its drain time ends. It may still replicate its log, but no client statement begins
// there after the drain time, however long it keeps running. Clients are served again once another
// database is promoted.
func TestNoStatementsAfterDrainTime(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(1).DrainAndStop(20*time.Second, true)
			time.Sleep(5 * time.Second)
			oldPrimary := g.Primary()
			oldPrimary.Crash(true)
			if g.awaitNewPrimary(oldPrimary, 2*time.Second) != g.DB(1) {
				t.Error("the replica with the newest commits was not promoted")
			}
			time.Sleep(4 * time.Second) // it is the primary, and no other replica can be promoted yet
			if g.Primary() != g.DB(1) {
				t.Error("the draining primary was replaced before another replica could be promoted")
			}
			g.DB(2).SetReplicationStopped(false)
			g.awaitNewPrimary(g.DB(1), 2*time.Second)
		})
		checkWritesServed(t, load, 8*time.Second)
	})
}
