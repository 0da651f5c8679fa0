package simulation

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/tools"
)

// firstHeartbeatTimeout is how long a first heartbeat may take: heartbeat_ms, which the simulation
// leaves at 0, + bounds.contact_ms.
const firstHeartbeatTimeout = 4 * time.Second

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

// loseZoneAfterWrites writes through a zone's pooler while no replica but the given ones receives
// commits, and then loses the zone: its processes and the primary, which must be there.
func loseZoneAfterWrites(w *World, g *Group, zone int, receivers ...*Database) {
	w.T.Helper()
	session, code := w.Login(zone, "p.ledger")
	if session == nil {
		w.T.Fatalf("login: %s", code)
	}
	for _, d := range g.Databases() {
		d.SetReplicationStopped(len(receivers) > 0 && !slices.Contains(receivers, d))
	}
	for i := range 3 {
		answer, id := session.Query(fmt.Sprintf("PUT last %d", i))
		if answer.Code != "" {
			w.T.Fatalf("write %d: %s", i, answer.Code)
		}
		g.Ack(id)
	}
	g.Primary().Crash(true)
	for _, role := range []string{"pooler", "control"} {
		w.Process(role, zone).Kill()
	}
	session.Close()
	for _, d := range g.Databases() {
		d.SetReplicationStopped(false)
	}
}

// Guards against the loss of acknowledged commits (LOST) when a zone is lost with the primary and
// with the pooler that acknowledged its latest commits, which only a replica has received whose
// first heartbeat has not arrived. No upper bound of the acknowledged commits is known then, but that
// pooler has notified others of these.
func TestZoneLostBeforeFirstHeartbeatOfHolder(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primary := g.Primary()
		holder := g.AddDelayed("ledger-4", "10.4.64.9", "z4", "replica", 5*time.Second)
		time.Sleep(300 * time.Millisecond)
		loseZoneAfterWrites(w, g, 1, holder)
		load := w.StartLoad(g, 8, 2, 3) // so that poolers detect the crash
		defer load.Stop()
		if g.awaitNewPrimary(primary, 10*time.Second) != holder {
			t.Error("the replica that holds the acknowledged commits was not promoted")
		}
	})
}

// Guards against a failover that waits for first heartbeats after the loss of a zone with the primary
// and a pooler, although the known replicas hold every commit of which poolers were notified.
func TestZoneLostWithPrimaryAndPooler(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primary := g.Primary()
		loseZoneAfterWrites(w, g, 1)
		load := w.StartLoad(g, 8, 2, 3)
		defer load.Stop()
		// A control primary that is lost too, its lease and the poolers' leases take 5 s at most.
		g.awaitNewPrimary(primary, 5*time.Second)
	})
}

// Guards against a failover that waits for first heartbeats though a pooler was lost long before the
// primary, and no pooler has run a statement at the primary since.
func TestPoolerLostLongBeforePrimary(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primary := g.Primary()
		w.Process("pooler", 1).Kill()
		time.Sleep(9 * time.Second)
		primary.Crash(true)
		load := w.StartLoad(g, 8, 2, 3)
		defer load.Stop()
		g.awaitNewPrimary(primary, 3*time.Second)
	})
}
