package simulation

import (
	"testing"
	"time"
)

// awaitPausedReplicas waits until both replicas of a group of three are paused.
func awaitPausedReplicas(w *World, g *Group) {
	w.T.Helper()
	w.WaitUntil("both replicas are paused", 10*time.Second, func() bool {
		_, first := g.DB(1).Position()
		_, second := g.DB(2).Position()
		return first > 0 && second > 0
	})
}

// A CONTINUE of a failover manager whose term has ended arrives late, between the choice of the new
// primary and its promotion. The replica that it resumes acknowledges the old primary's commits in
// flight, and the chosen replica must not lack them.
func TestLateContinueLosesNoCommit(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		managerZone := controlPrimaryZone(w)
		withLoad(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			g.DB(2).SetReplicationStopped(true) // so that writes are in flight when the replicas are paused
			time.Sleep(100 * time.Millisecond)
			w.Net.SetPartitioned(ip(managerZone), g.DB(0).IP, true) // only the failover manager considers it down
			awaitPausedReplicas(w, g)
			time.Sleep(30 * time.Millisecond)
			g.DB(2).Control("CONTINUE", "")
			g.DB(2).SetReplicationStopped(false)
			time.Sleep(3 * time.Second)
			g.DB(1).SetReplicationStopped(false)
			w.Net.SetPartitioned(ip(managerZone), g.DB(0).IP, false)
		})
	})
}

// A lost CONTINUE is sent again: a replica must not stay paused after the failover for which it was
// paused has ended.
func TestLostContinueIsRepeated(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		managerZone := controlPrimaryZone(w)
		g.DB(2).Crash(true)
		w.Net.SetPartitioned(ip(managerZone), g.DB(0).IP, true)
		load := w.StartLoad(g, 3)
		w.WaitUntil("a replica is paused", 10*time.Second, func() bool {
			_, pausedTerm := g.DB(1).Position()
			return pausedTerm > 0
		})
		w.Net.SetPartitioned(ip(managerZone), g.DB(1).IP, true)
		w.Net.SetPartitioned(ip(managerZone), g.DB(0).IP, false)
		time.Sleep(5 * time.Second)
		w.Net.SetPartitioned(ip(managerZone), g.DB(1).IP, false)
		time.Sleep(5 * time.Second)
		if _, pausedTerm := g.DB(1).Position(); pausedTerm > 0 {
			t.Error("a replica is still paused")
		}
		load.Stop()
	})
}
