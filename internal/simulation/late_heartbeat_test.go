package simulation

import (
	"context"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/tools"
)

// replaceWithLateHeartbeats replaces a replica by one whose heartbeats arrive after the given
// delay, and stops replication to the remaining replica, so that only the replacement receives
// what the primary commits. It returns both.
func replaceWithLateHeartbeats(g *Group, delay time.Duration) (replacement, remaining *Database) {
	replacement = g.AddDelayed("ledger-4", "10.4.64.9", "z4", "replica", delay)
	time.Sleep(300 * time.Millisecond)
	g.DB(1).DrainAndStop(10*time.Second, true)
	time.Sleep(1200 * time.Millisecond)
	remaining = g.DB(2)
	remaining.SetReplicationStopped(true)
	time.Sleep(400 * time.Millisecond)
	return replacement, remaining
}

// Guards against the loss of acknowledged commits (LOST) when a replica receives commits before
// its first heartbeat has arrived. The latest acknowledged commits are on no other replica, so only
// this one may be promoted, and it must be promoted once its heartbeat has arrived.
func TestCommitsOnReplicaWithLateFirstHeartbeat(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			replacement, _ := replaceWithLateHeartbeats(g, 3*time.Second)
			primary := g.Primary()
			primary.Crash(false)
			if g.awaitNewPrimary(primary, 5*time.Second) != replacement {
				t.Error("the replica that holds the acknowledged commits was not promoted")
			}
		})
		checkWritesServed(t, load, 5*time.Second)
	})
}

// Guards against a failover that waits forever: the primary crashes together with the only replica
// that has its latest acknowledged commits, before that replica's first heartbeat has arrived. The
// old primary has these commits when it returns, so it must become primary again.
func TestPrimaryReturnsWhenNoKnownReplicaHasItsCommits(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			replacement, _ := replaceWithLateHeartbeats(g, 3*time.Second)
			primary := g.Primary()
			primary.Crash(false)
			replacement.Crash(false)
			time.Sleep(7 * time.Second)
			if g.Primary() != nil {
				t.Error("a database that lacks acknowledged commits was promoted")
			}
			primary.Restart("ledger-1b")
			w.WaitUntil("the returned database is primary again", 3*time.Second, func() bool { return g.Primary() == primary && strings.Contains(w.statusText(), "1 with a lead") })
		})
		checkWritesServed(t, load, 11*time.Second)
	})
}

// Guards against a failover that waits forever: the only replica with the last acknowledged commits
// is lost before its first heartbeat arrives. Once an operator has accepted the loss, neither this
// failover nor the next one waits for these commits.
func TestAcceptedLossOfCommitsOnUnregisteredReplica(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := w.StartLoad(g, 7)
		time.Sleep(3 * time.Second)
		replacement, remaining := replaceWithLateHeartbeats(g, 30*time.Second)
		primary := g.Primary()
		primary.Crash(false)
		replacement.Crash(false)
		time.Sleep(7 * time.Second)
		load.Stop()
		host := w.Net.Host("10.250.0.9")
		blocked, err := tools.CollectReports(context.Background(), host, []string{ip(controlPrimaryZone(w)) + ":7440"}, true).FindBlocked("ledger")
		if err != nil || !strings.Contains(blocked.Reason, "an acknowledged commit is on no replica that is known; 1.") || g.Primary() != nil {
			t.Fatalf("blocked failover: %+v, error %v, primary %v", blocked, err, g.Primary())
		}
		g.DiscardAcked()
		if err := blocked.AcceptLoss(context.Background(), host, blocked.FailoverID, "someone"); err != nil {
			t.Fatal(err)
		}
		w.WaitUntil("the remaining replica is primary", 3*time.Second, func() bool { return g.Primary() == remaining })
		if leader := recordedLeader(t, w); leader.WaivedPosition == "" {
			t.Errorf("the accepted loss is not recorded: %+v", leader)
		}
		primary.Restart("ledger-1b")
		time.Sleep(5 * time.Second) // until the replaced replica has left and its entry has been removed
		remaining.Crash(false)
		load = w.StartLoad(g, 8) // so that a pooler detects the crash
		defer load.Stop()
		g.awaitNewPrimary(remaining, 8*time.Second)
	})
}
