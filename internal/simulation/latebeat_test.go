package simulation

import (
	"context"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/tools"
)

// replacedLate has a replica be replaced by one whose beats come late, and returns the
// new one and the one that stays, which receives nothing from then on: the new one
// alone receives what the primary commits.
func replacedLate(g *Group, late time.Duration) (newcomer, stays *Database) {
	newcomer = g.AddLate("ledger-4", "10.4.64.9", "z4", "replica", late)
	time.Sleep(300 * time.Millisecond)
	g.DB(1).Leave(10*time.Second, true)
	time.Sleep(1200 * time.Millisecond)
	stays = g.DB(2)
	stays.SetReplicationStopped(true)
	time.Sleep(400 * time.Millisecond)
	return newcomer, stays
}

// Guards against LOST where a replica receives before its first beat is taken: it alone
// holds acknowledged commits, so nobody else is promoted, and it is as soon as it is known.
func TestCommitsOnAReplicaWhoseFirstBeatIsLate(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			newcomer, _ := replacedLate(g, 3*time.Second)
			lead := g.Primary()
			lead.Crash(false)
			if g.next(lead, 5*time.Second) != newcomer {
				t.Error("the replica that holds what was acknowledged does not lead")
			}
		})
		served(t, l, 5*time.Second)
	})
}

// Guards against a wait without an end: the replica that nobody knew is lost as well, and
// the primary's return gives the service back what was acknowledged.
func TestPrimaryReturnsWhereNobodyKnownHoldsItsCommits(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			newcomer, _ := replacedLate(g, 3*time.Second)
			lead := g.Primary()
			lead.Crash(false)
			newcomer.Crash(false)
			time.Sleep(7 * time.Second)
			if g.Primary() != nil {
				t.Error("a database was promoted that lacks commits")
			}
			lead.Return("ledger-1b")
			w.Until("it leads again", 3*time.Second, func() bool { return g.Primary() == lead && strings.Contains(w.status(), "1 with a lead") })
		})
		served(t, l, 11*time.Second)
	})
}

// Guards against a wait without an end: an operator accepts that what the lost replica held
// is gone, and what was accepted is not waited for at the next move.
func TestLossOnAReplicaThatWasNeverKnownIsAccepted(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := w.NewLoad(g, 7)
		time.Sleep(3 * time.Second)
		newcomer, stays := replacedLate(g, 30*time.Second)
		lead := g.Primary()
		lead.Crash(false)
		newcomer.Crash(false)
		time.Sleep(7 * time.Second)
		l.Stop()
		host := w.Net.Host("10.250.0.9")
		waiting, err := tools.CollectReports(context.Background(), host, []string{ip(controlPrimary(w)) + ":7440"}, true).FindBlocked("ledger")
		if err != nil || !strings.Contains(waiting.Reason, "an acknowledged commit is on no replica that is known; 1.") || g.Primary() != nil {
			t.Fatalf("waiting: %+v %v, %v leads", waiting, err, g.Primary())
		}
		g.DiscardAcked()
		if err := waiting.AcceptLoss(context.Background(), host, waiting.FailoverID, "someone"); err != nil {
			t.Fatal(err)
		}
		w.Until("the one that stays leads", 3*time.Second, func() bool { return g.Primary() == stays })
		if recorded := leadOf(t, w); recorded.Waived == "" {
			t.Errorf("the record: %+v", recorded)
		}
		lead.Return("ledger-1b")
		time.Sleep(5 * time.Second) // the one that leaves is gone and forgotten
		stays.Crash(false)
		l = w.NewLoad(g, 8) // somebody has to find out
		defer l.Stop()
		g.next(stays, 8*time.Second)
	})
}
