package simulation

import (
	"testing"
	"time"
)

// heldReplicas waits until both replicas of a group of three are paused.
func heldReplicas(w *World, g *Group) {
	w.T.Helper()
	w.Until("the replicas are paused", 10*time.Second, func() bool {
		_, first := g.DB(1).Position()
		_, second := g.DB(2).Position()
		return first > 0 && second > 0
	})
}

// A CONTINUE of a failover manager that has lost its term since comes late, between the
// choice and the promotion: what was under way at the old primary is acknowledged
// by the replica that it wakes, and the chosen one must not lack it.
func TestALateContinueLosesNothing(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		under(w, g, func() {
			g.DB(1).SetReplicationStopped(true)
			g.DB(2).SetReplicationStopped(true) // so that writes are under way when they are paused
			time.Sleep(100 * time.Millisecond)
			w.Net.Cut(ip(z), g.DB(0).IP, true) // only the failover manager finds it down
			heldReplicas(w, g)
			time.Sleep(30 * time.Millisecond)
			g.DB(2).Control("CONTINUE", "")
			g.DB(2).SetReplicationStopped(false)
			time.Sleep(3 * time.Second)
			g.DB(1).SetReplicationStopped(false)
			w.Net.Cut(ip(z), g.DB(0).IP, false)
		})
	})
}

// A CONTINUE that got lost is said again: a replica stays paused no longer than
// the move for which it was paused.
func TestALostContinueIsSaidAgain(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		g.DB(2).Crash(true)
		w.Net.Cut(ip(z), g.DB(0).IP, true)
		l := w.NewLoad(g, 3)
		w.Until("a replica is paused", 10*time.Second, func() bool {
			_, held := g.DB(1).Position()
			return held > 0
		})
		w.Net.Cut(ip(z), g.DB(1).IP, true)
		w.Net.Cut(ip(z), g.DB(0).IP, false)
		time.Sleep(5 * time.Second)
		w.Net.Cut(ip(z), g.DB(1).IP, false)
		time.Sleep(5 * time.Second)
		if _, held := g.DB(1).Position(); held > 0 {
			t.Error("a replica is still paused")
		}
		l.Stop()
	})
}
