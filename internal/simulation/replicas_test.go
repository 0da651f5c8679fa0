package simulation

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/tools"
)

// awaitNewPrimary waits for a primary other than old and returns it.
func (g *Group) awaitNewPrimary(old *Database, limit time.Duration) *Database {
	g.world.T.Helper()
	g.world.WaitUntil("a new primary is promoted", limit, func() bool { p := g.Primary(); return p != nil && p != old })
	return g.Primary()
}

// collectReports collects the status reports of all processes.
func (w *World) collectReports() *tools.System {
	return tools.CollectReports(context.Background(), w.Net.Host("10.250.0.9"), []string{ip(controlPrimaryZone(w)) + ":7440"}, true)
}

// statusText returns the short output of the status tool.
func (w *World) statusText() string {
	var text bytes.Buffer
	tools.CollectReports(context.Background(), w.Net.Host("10.250.0.9"), []string{ip(controlPrimaryZone(w)) + ":7440"}, true).Print(&text, false, "")
	return text.String()
}

// A second loss right after two replacements: a replica and the primary drain, the next primary
// crashes after 2 s, and the primary after that is lost before the crashed one has returned, while
// the draining databases are still needed. If a pooler is lost with it, it is not certain that
// the remaining databases hold every acknowledged commit while two databases are absent; it is once
// one of the two has returned, although the drained ones are gone. If all poolers report what they
// acknowledged, a database that has received as much is promoted at once.
func TestSecondLossAfterReplacements(t *testing.T) {
	for _, allPoolersReport := range []bool{true, false} {
		withCluster(t, func(w *World, g *Group) {
			load := withLoad(w, g, func() {
				second, third := replaceThenCrash(g)
				third.Crash(allPoolersReport)
				if !allPoolersReport {
					w.Process("pooler", 4).Kill()
				} else {
					g.awaitNewPrimary(third, 2*time.Second)
					second.Restart(second.ID + "b")
					return
				}
				time.Sleep(5 * time.Second)
				if g.Primary() != nil {
					t.Error("a database was promoted although two absent ones may hold commits")
				}
				if text := w.statusText(); !strings.Contains(text, "service ledger waits: a replica that does not answer may hold an acknowledged commit; "+second.ID) {
					t.Errorf("unexpected status:\n%s", text)
				}
				second.Restart(second.ID + "b")
				g.awaitNewPrimary(third, 2*time.Second)
				w.Start("pooler", 4, false)
			})
			checkWritesServed(t, load, 9*time.Second)
			if text := w.statusText(); strings.Contains(text, "waits") {
				t.Errorf("unexpected status:\n%s", text)
			}
		})
	}
}

// replaceThenCrash replaces a replica and the primary and crashes the next primary. It returns that
// one and the primary after it, which then is the last database, apart from draining ones, to hold
// every commit.
func replaceThenCrash(g *Group) (second, third *Database) {
	g.Add("ledger-4", "10.4.64.9", "z4", "replica")
	time.Sleep(time.Second)
	g.DB(2).DrainAndStop(8*time.Second, true)
	g.Add("ledger-5", "10.1.64.9", "z1", "replica")
	time.Sleep(time.Second)
	g.DB(0).DrainAndStop(8*time.Second, true)
	second = g.awaitNewPrimary(g.DB(0), 2*time.Second)
	time.Sleep(2 * time.Second)
	second.Crash(false)
	third = g.awaitNewPrimary(second, 3*time.Second)
	time.Sleep(time.Second)
	for _, d := range g.Databases()[1:] {
		if d != g.DB(2) && d != second && d != third { // the only replica that is not draining
			d.SetReplicationStopped(true)
			time.Sleep(1500 * time.Millisecond) // meanwhile the draining ones receive commits
			d.SetReplicationStopped(false)
		}
	}
	time.Sleep(20 * time.Millisecond)
	return second, third
}

// A failover does not wait for a drained replica that has deregistered, although the only replica
// that is not draining was unreachable in the meantime, because another one has every write that the
// deregistered one had received.
func TestReplicaDeregisteredWhileOtherUnreachable(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			time.Sleep(time.Second)
			g.DB(1).DrainAndStop(4*time.Second, true)
			g.DB(3).DrainAndStop(20*time.Second, true)
			time.Sleep(time.Second)
			g.DB(2).Crash(true)
			time.Sleep(5 * time.Second)
			primary := g.Primary()
			primary.Crash(true)
			time.Sleep(time.Second)
			g.DB(2).Restart("ledger-3b")
			g.awaitNewPrimary(primary, 3*time.Second)
		})
		checkWritesServed(t, load, 5*time.Second)
	})
}

// While only a draining replica receives replicated writes, commits continue. It becomes the
// primary when the primary is lost, and hands over to the replica that is not draining once that
// has caught up.
func TestOnlyDrainingReplicaHoldsCommits(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(1).DrainAndStop(12*time.Second, true)
			time.Sleep(time.Second)
			before := g.Acked()
			time.Sleep(time.Second)
			if n := g.Acked() - before; n < 20 {
				t.Errorf("only %d commits in 1 s", n)
			}
			primary := g.Primary()
			primary.Crash(true)
			if g.awaitNewPrimary(primary, 3*time.Second) != g.DB(1) {
				t.Error("the replica that had received every commit was not promoted")
			}
			time.Sleep(2 * time.Second)
			if g.Primary() != g.DB(1) {
				t.Error("the primary was demoted before another replica had caught up")
			}
			g.DB(2).SetReplicationStopped(false)
			if g.awaitNewPrimary(g.DB(1), 2*time.Second) != g.DB(2) {
				t.Error("the replica that is not draining was not promoted")
			}
			failovers := int64(0)
			for z := 1; z <= 4; z++ {
				failovers += w.Process("control", z).Kernel.Counters.Snapshot()["failover.moves"]
			}
			if failovers != 2 {
				t.Errorf("%d failovers were started, want 2", failovers)
			}
		})
		checkWritesServed(t, load, 6*time.Second)
	})
}

// Guards the invariant AcknowledgedIsKnown where the replica that is not draining is unreachable, a
// draining one stops with no recorded limit, and right after that the primary is lost permanently.
// The other draining replica has received everything that the poolers acknowledged, so it is
// promoted for the time that it still runs. The failover does not wait for databases that may have
// held more.
func TestPrimaryLostAfterDrainingReplica(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			time.Sleep(time.Second)
			g.DB(2).Crash(true)
			time.Sleep(time.Second)
			g.DB(1).DrainAndStop(20*time.Second, true)
			g.DB(3).DrainAndStop(3*time.Second, true)
			time.Sleep(3*time.Second + 100*time.Millisecond)
			primary := g.Primary()
			primary.Crash(true)
			if g.awaitNewPrimary(primary, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received every commit was not promoted")
			}
			time.Sleep(time.Second)
			g.DB(2).Restart("ledger-3b")
			g.awaitNewPrimary(g.DB(1), 3*time.Second)
		})
		checkWritesServed(t, load, 4*time.Second)
	})
}

// Guards the invariant AcknowledgedIsKnown where two databases are lost permanently without
// draining, the primary when the other one was unreachable already. A third has received everything
// that the poolers acknowledged.
func TestTwoDatabasesLostPermanently(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		checkWritesServed(t, withLoad(w, g, func() {
			g.DB(2).Crash(true)
			time.Sleep(2 * time.Second)
			primary := g.Primary()
			primary.Crash(true)
			if g.awaitNewPrimary(primary, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received every commit was not promoted")
			}
			time.Sleep(time.Second)
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
		}), 4*time.Second)
	})
}

// Guards the invariant AcknowledgedIsKnown where a pooler is lost just before the primary. What it
// acknowledged last is not known, so a new primary is promoted only once the crashed replica has
// returned.
func TestPoolerLostWithPrimary(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		checkWritesServed(t, withLoad(w, g, func() {
			g.DB(2).Crash(false)
			time.Sleep(2 * time.Second)
			primary := g.Primary()
			w.Process("pooler", 2).Kill()
			primary.Crash(false)
			time.Sleep(5 * time.Second)
			if g.Primary() != nil {
				t.Error("a database was promoted although the lost pooler may have acknowledged more commits")
			}
			g.DB(2).Restart("ledger-3b")
			g.awaitNewPrimary(primary, 2*time.Second)
			w.Start("pooler", 2, false)
		}), 9*time.Second)
	})
}

// Guards the invariant AcknowledgedIsKnown where a pooler is lost, and the primary some seconds
// later. By then other poolers have seen positions that cover everything that the lost one
// acknowledged.
func TestPoolerLostBeforePrimary(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		checkWritesServed(t, withLoad(w, g, func() {
			g.DB(2).Crash(true)
			time.Sleep(2 * time.Second)
			w.Process("pooler", 2).Kill()
			time.Sleep(4 * time.Second)
			primary := g.Primary()
			primary.Crash(true)
			if g.awaitNewPrimary(primary, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received every commit was not promoted")
			}
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			w.Start("pooler", 2, false)
		}), 5*time.Second)
	})
}

// If every remaining replica is draining, one of them is promoted when the primary is lost.
func TestAllReplicasDraining(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		checkWritesServed(t, withLoad(w, g, func() {
			g.DB(1).DrainAndStop(time.Second, true)
			time.Sleep(3 * time.Second)
			g.DB(2).DrainAndStop(9*time.Second, true)
			time.Sleep(time.Second)
			primary := g.Primary()
			primary.Crash(true)
			g.awaitNewPrimary(primary, 3*time.Second)
			primary.Restart("ledger-1b")
		}), 4*time.Second)
	})
}

// A new database at the address of a drained one that never deregistered is a different database:
// it does not have the log of the drained one.
func TestAddressOfDrainingReplicaReused(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			g.DB(1).DrainAndStop(3*time.Second, false)
			time.Sleep(3*time.Second - time.Millisecond)
			primary := g.Primary()
			primary.Crash(false)
			time.Sleep(500 * time.Millisecond)
			g.Add("ledger-9", "10.2.64.1", "z2", "replica")
			time.Sleep(4 * time.Second)
			if g.Primary() != nil {
				t.Error("a database that lacks commits was promoted")
			}
			if text := w.statusText(); !strings.Contains(text, "waits: a database that is gone may have held an acknowledged commit; ledger-2, gone") {
				t.Errorf("unexpected status:\n%s", text)
			}
			primary.Restart("ledger-1b") // the only one that holds the commits
			w.WaitUntil("the old primary is primary again", 3*time.Second, func() bool { return g.Primary() == primary })
			databaseEntry := func(id string) string {
				raw, err := w.Process("control", controlPrimaryZone(w)).replica().Read("database/" + id)
				if err != nil {
					t.Error(err)
				}
				return string(raw)
			}
			w.WaitUntil("the entry of the drained database is removed", 5*time.Second, func() bool { return databaseEntry("ledger-2") == "" })
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(controlPrimaryZone(w))+":8782", "/Servers.Heartbeat/ledger-2", nil,
				fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z2","slots":7,"status":"draining","target_role":"replica","call_seq":999}`, g.DB(1).Addr))
			if databaseEntry("ledger-2") != "" || databaseEntry("ledger-9") == "" {
				t.Errorf("a late heartbeat, answered with %d, restored the entry of the drained database", code)
			}
		})
		checkWritesServed(t, load, 9*time.Second)
	})
}

// If all databases that may have held an acknowledged commit are lost permanently, no database is
// promoted and the status reports the reason.
func TestPermanentLossIsReported(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			g.DB(1).DrainAndStop(4*time.Second, true)
			g.DB(0).DrainAndStop(3*time.Second, true)
			time.Sleep(8 * time.Second)
			if g.Primary() != nil {
				t.Error("a database that lacks commits was promoted")
			}
			if text := w.statusText(); !strings.Contains(text, "service ledger waits: acknowledged commits may be lost: all databases that may have held them are gone; 1.") {
				t.Errorf("unexpected status:\n%s", text)
			}
		})
		if load.Served < 100 {
			t.Errorf("only %d writes were served", load.Served)
		}
	})
}

// An operator accepts that a database which may hold acknowledged commits does not return. The
// request must name the operator and the failover that is blocked, and is not valid for another
// one.
func TestAcceptedLoss(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		g.DB(2).SetReplicationStopped(true)
		load := w.StartLoad(g, 7)
		time.Sleep(3 * time.Second)
		g.DB(1).Crash(false)
		g.DB(0).Crash(false)
		time.Sleep(4 * time.Second)
		load.Stop()
		if g.Primary() != nil {
			t.Fatal("a database that lacks commits was promoted")
		}
		host := w.Net.Host("10.250.0.9")
		findBlocked := func() (*tools.BlockedFailover, error) {
			return tools.CollectReports(context.Background(), host, []string{ip(controlPrimaryZone(w)) + ":7440"}, true).FindBlocked("ledger")
		}
		blocked, err := findBlocked()
		if err != nil || blocked.FailoverID != 1 || !strings.Contains(blocked.Reason, "ledger-2") {
			t.Fatalf("blocked failover: %+v %v", blocked, err)
		}
		if err := blocked.AcceptLoss(context.Background(), host, blocked.FailoverID+1, "someone"); err == nil {
			t.Error("a request for another failover was accepted")
		}
		if err := blocked.AcceptLoss(context.Background(), host, blocked.FailoverID, ""); err == nil {
			t.Error("a request without an operator's name was accepted")
		}
		time.Sleep(time.Second)
		if g.Primary() != nil {
			t.Error("a refused request took effect")
		}
		g.DiscardAcked()
		if err := blocked.AcceptLoss(context.Background(), host, blocked.FailoverID, "someone"); err != nil {
			t.Fatal(err)
		}
		w.WaitUntil("the remaining replica is promoted", 3*time.Second, func() bool { return g.Primary() == g.DB(2) })
		w.WaitUntil("the status no longer reports a blocked failover", 2*time.Second, func() bool { _, err := findBlocked(); return err != nil })
		recorded := recordedLeader(t, w)
		if recorded.Accepted.By != "someone" || recorded.Accepted.FailoverID != 1 || recorded.Accepted.AtMs == 0 || recorded.MinPosition != "" {
			t.Errorf("recorded leader: %+v", recorded)
		}
		if err := blocked.AcceptLoss(context.Background(), host, blocked.FailoverID, "someone"); err == nil {
			t.Error("a request for a completed failover was accepted")
		}
	})
}

// recordedLeader returns the leader of the service "ledger" that is recorded in the control state.
func recordedLeader(t *testing.T, w *World) failover.Leader {
	t.Helper()
	state, err := w.Process("control", controlPrimaryZone(w)).replica().DurableState()
	if err != nil {
		t.Fatal(err)
	}
	leaders, err := failover.DecodeLeaders(state.Entries)
	if err != nil {
		t.Fatal(err)
	}
	return leaders["ledger"]
}

// A primary that was partitioned while another one was promoted, and so still believes that it is
// the primary, does not block the failover when the other one is lost.
func TestSupersededPrimaryDoesNotBlockFailover(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		first := g.Primary()
		isolate := func(partitioned bool) {
			for z := 1; z <= 4; z++ {
				w.Net.SetPartitioned(first.IP, ip(z), partitioned)
			}
		}
		load := withLoad(w, g, func() {
			isolate(true)
			w.Net.SetPartitioned(first.IP, g.DB(1).IP, true)
			w.Net.SetPartitioned(first.IP, g.DB(2).IP, true)
			second := g.awaitNewPrimary(first, 5*time.Second)
			time.Sleep(time.Second)
			second.Crash(true)
			time.Sleep(time.Second)
			isolate(false)
			g.awaitNewPrimary(second, 3*time.Second)
		})
		checkWritesServed(t, load, 6*time.Second)
	})
}

// The chosen replica is promoted while the control node that chose it is lost, and crashes before
// any process learns of the promotion. The other replica, which held as much, is promoted; if that
// one is lost too, the first is the primary once it has returned.
func TestPromotedReplicaCrashesUnnoticed(t *testing.T) {
	for _, otherCrashes := range []bool{false, true} {
		withCluster(t, func(w *World, g *Group) {
			load := withLoad(w, g, func() {
				first := g.Primary()
				first.Crash(true)
				w.WaitUntil("the platform is called to promote", 4*time.Second, func() bool { return w.PlatformCalls() == 1 })
				w.Process("control", controlPrimaryZone(w)).Kill()
				second := g.awaitNewPrimary(first, time.Second)
				second.Crash(false)
				if !otherCrashes {
					g.awaitNewPrimary(second, 5*time.Second)
					return
				}
				g.DB(3 - slices.Index(g.Databases(), second)).Crash(true)
				time.Sleep(5 * time.Second)
				second.Restart(second.ID + "b")
				w.WaitUntil("the promoted replica is primary after its return", 3*time.Second, func() bool { return strings.Contains(w.statusText(), "1 services, 1 with a lead") })
			})
			if !otherCrashes {
				checkWritesServed(t, load, 6*time.Second)
			}
		})
	}
}

// A CONTINUE that was sent before a replica began to drain arrives late and makes the paused replica
// receive commits past its limit. It must be paused again, and the new limit must cover what it has
// received.
func TestDrainingReplicaPausedAgain(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		withLoad(w, g, func() {
			replica := g.DB(2)
			replica.DrainAndStop(8*time.Second, true)
			readState := func() (pausedTerm int64, received, limit lineprotocol.Position) {
				state, err := w.Process("control", controlPrimaryZone(w)).replica().DurableState()
				if err != nil {
					t.Fatal(err)
				}
				databases, err := discovery.Decode(state.Entries)
				if err != nil {
					t.Fatal(err)
				}
				limit, _ = lineprotocol.ParsePosition(databases[replica.ID].CommitLimit)
				received, pausedTerm = replica.Position()
				return pausedTerm, received, limit
			}
			pausedWithinLimit := func() bool {
				pausedTerm, received, limit := readState()
				return pausedTerm != 0 && limit.Term != 0 && !limit.Less(received)
			}
			w.WaitUntil("the draining replica is paused within its limit", 3*time.Second, pausedWithinLimit)
			_, _, firstLimit := readState()
			replica.Control("CONTINUE", "")
			time.Sleep(100 * time.Millisecond) // for writes of the load
			w.WaitUntil("the draining replica is paused again", 2*time.Second, pausedWithinLimit)
			if _, _, limit := readState(); !firstLimit.Less(limit) {
				t.Errorf("limit %v after the late CONTINUE, %v before", limit, firstLimit)
			}
		})
	})
}
