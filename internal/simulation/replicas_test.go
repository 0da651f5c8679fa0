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

// next waits for a lead other than old.
func (g *Group) next(old *Database, limit time.Duration) *Database {
	g.w.T.Helper()
	g.w.Until("the next lead", limit, func() bool { l := g.Primary(); return l != nil && l != old })
	return g.Primary()
}

// ask asks every process for its view.
func (w *World) ask() *tools.System {
	return tools.CollectReports(context.Background(), w.Net.Host("10.250.0.9"), []string{ip(controlPrimary(w)) + ":7440"}, true)
}

// status is what the tool says of the system in short.
func (w *World) status() string {
	var b bytes.Buffer
	tools.CollectReports(context.Background(), w.Net.Host("10.250.0.9"), []string{ip(controlPrimary(w)) + ":7440"}, true).Print(&b, false, "")
	return b.String()
}

// A second loss right after two replacements: a replica and the primary leave,
// the next lead crashes after two seconds, and the one after that is lost before
// the first is back, just when those that leave were needed. If a pooler is lost
// with it, nothing says that the others hold everything while two databases are
// away; when one is back they do, though those that left are gone. If all poolers
// tell what they acknowledged, a database that has received that leads at once.
func TestSecondLossAfterReplacements(t *testing.T) {
	for _, told := range []bool{true, false} {
		play(t, func(w *World, g *Group) {
			l := under(w, g, func() {
				second, third := lossAfterReplacements(g)
				third.Crash(told)
				if !told {
					w.Process("pooler", 4).Kill()
				} else {
					g.next(third, 2*time.Second)
					second.Return(second.ID + "b")
					return
				}
				time.Sleep(5 * time.Second)
				if g.Primary() != nil {
					t.Error("a database was promoted, though two that may hold commits were away")
				}
				if text := w.status(); !strings.Contains(text, "service ledger waits: a replica that does not answer may hold an acknowledged commit; "+second.ID) {
					t.Errorf("status says:\n%s", text)
				}
				second.Return(second.ID + "b")
				g.next(third, 2*time.Second)
				w.Start("pooler", 4, false)
			})
			served(t, l, 9*time.Second)
			if text := w.status(); strings.Contains(text, "waits") {
				t.Errorf("status says:\n%s", text)
			}
		})
	}
}

// lossAfterReplacements has a replica and the primary leave and the next lead
// crash; it returns that and the one that leads then, which is the last to hold
// everything but those that leave.
func lossAfterReplacements(g *Group) (second, third *Database) {
	g.Add("ledger-4", "10.4.64.9", "z4", "replica")
	time.Sleep(time.Second)
	g.DB(2).Leave(8*time.Second, true)
	g.Add("ledger-5", "10.1.64.9", "z1", "replica")
	time.Sleep(time.Second)
	g.DB(0).Leave(8*time.Second, true)
	second = g.next(g.DB(0), 2*time.Second)
	time.Sleep(2 * time.Second)
	second.Crash(false)
	third = g.next(second, 3*time.Second)
	time.Sleep(time.Second)
	for _, d := range g.Databases()[1:] {
		if d != g.DB(2) && d != second && d != third { // it alone stays
			d.SetReplicationStopped(true)
			time.Sleep(1500 * time.Millisecond) // those that leave are let receive
			d.SetReplicationStopped(false)
		}
	}
	time.Sleep(20 * time.Millisecond)
	return second, third
}

// A leaving replica that has deregistered is not waited for, though the one
// that stays could not be reached meanwhile, since another held all that it did.
func TestLeftWhileTheStayingOneWasAway(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			time.Sleep(time.Second)
			g.DB(1).Leave(4*time.Second, true)
			g.DB(3).Leave(20*time.Second, true)
			time.Sleep(time.Second)
			g.DB(2).Crash(true)
			time.Sleep(5 * time.Second)
			lead := g.Primary()
			lead.Crash(true)
			time.Sleep(time.Second)
			g.DB(2).Return("ledger-3b")
			g.next(lead, 3*time.Second)
		})
		served(t, l, 5*time.Second)
	})
}

// Only a replica that leaves receives: commits go on, it leads for the time
// being when the lead is lost, and hands over to the one that stays as soon as
// that has caught up.
func TestOnlyALeavingReplicaHoldsACommit(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			time.Sleep(time.Second)
			g.DB(1).Leave(12*time.Second, true)
			time.Sleep(time.Second)
			before := g.Acked()
			time.Sleep(time.Second)
			if n := g.Acked() - before; n < 20 {
				t.Errorf("%d commits in a second", n)
			}
			lead := g.Primary()
			lead.Crash(true)
			if g.next(lead, 3*time.Second) != g.DB(1) {
				t.Error("the replica that had received everything does not lead")
			}
			time.Sleep(2 * time.Second)
			if g.Primary() != g.DB(1) {
				t.Error("the lead left before anyone could follow")
			}
			g.DB(2).SetReplicationStopped(false)
			if g.next(g.DB(1), 2*time.Second) != g.DB(2) {
				t.Error("the replica that stays does not lead")
			}
			moves := int64(0)
			for z := 1; z <= 4; z++ {
				moves += w.Process("control", z).Kernel.Counters.Snapshot()["failover.moves"]
			}
			if moves != 2 {
				t.Errorf("%d moves were begun", moves)
			}
		})
		served(t, l, 6*time.Second)
	})
}

// AcknowledgedIsKnown: the replica that stays is dark, one that leaves ends without
// a limit, and right after that the lead is gone for good. The other one that
// leaves has received all that carriers acknowledged, so it leads, for the time that
// it has left; nobody waits for those that may have held more.
func TestLeadLostRightAfterALeavingReplica(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			time.Sleep(time.Second)
			g.DB(2).Crash(true)
			time.Sleep(time.Second)
			g.DB(1).Leave(20*time.Second, true)
			g.DB(3).Leave(3*time.Second, true)
			time.Sleep(3*time.Second + 100*time.Millisecond)
			lead := g.Primary()
			lead.Crash(true)
			if g.next(lead, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received everything does not lead")
			}
			time.Sleep(time.Second)
			g.DB(2).Return("ledger-3b")
			g.next(g.DB(1), 3*time.Second)
		})
		served(t, l, 4*time.Second)
	})
}

// AcknowledgedIsKnown: two databases that do not leave are gone for good, the lead
// while the other was dark already, and a third has received all that carriers
// acknowledged.
func TestTwoGoneForGood(t *testing.T) {
	play(t, func(w *World, g *Group) {
		served(t, under(w, g, func() {
			g.DB(2).Crash(true)
			time.Sleep(2 * time.Second)
			lead := g.Primary()
			lead.Crash(true)
			if g.next(lead, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received everything does not lead")
			}
			time.Sleep(time.Second)
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
		}), 4*time.Second)
	})
}

// AcknowledgedIsKnown: a pooler is lost just before the lead is. What it acknowledged
// last is not known, so the lead is followed only once the silent replica is back.
func TestAPoolerIsLostWithTheLead(t *testing.T) {
	play(t, func(w *World, g *Group) {
		served(t, under(w, g, func() {
			g.DB(2).Crash(false)
			time.Sleep(2 * time.Second)
			lead := g.Primary()
			w.Process("pooler", 2).Kill()
			lead.Crash(false)
			time.Sleep(5 * time.Second)
			if g.Primary() != nil {
				t.Error("a database was promoted, though the lost pooler may have acknowledged more")
			}
			g.DB(2).Return("ledger-3b")
			g.next(lead, 2*time.Second)
			w.Start("pooler", 2, false)
		}), 9*time.Second)
	})
}

// AcknowledgedIsKnown: a pooler is lost, and the lead some seconds later. By then
// other poolers have seen positions that cover all that the lost one acknowledged.
func TestAPoolerIsLostBeforeTheLead(t *testing.T) {
	play(t, func(w *World, g *Group) {
		served(t, under(w, g, func() {
			g.DB(2).Crash(true)
			time.Sleep(2 * time.Second)
			w.Process("pooler", 2).Kill()
			time.Sleep(4 * time.Second)
			lead := g.Primary()
			lead.Crash(true)
			if g.next(lead, 2*time.Second) != g.DB(1) {
				t.Error("the replica that had received everything does not lead")
			}
			g.Add("ledger-4", "10.4.64.9", "z4", "replica")
			w.Start("pooler", 2, false)
		}), 5*time.Second)
	})
}

// Where nobody stays, one that leaves follows a lead that is lost.
func TestOnlyALeavingReplicaRuns(t *testing.T) {
	play(t, func(w *World, g *Group) {
		served(t, under(w, g, func() {
			g.DB(1).Leave(time.Second, true)
			time.Sleep(3 * time.Second)
			g.DB(2).Leave(9*time.Second, true)
			time.Sleep(time.Second)
			lead := g.Primary()
			lead.Crash(true)
			g.next(lead, 3*time.Second)
			lead.Return("ledger-1b")
		}), 4*time.Second)
	})
}

// A database that is new at the address of one that drained and never said that
// it left is another one: that one's log is not there.
func TestAddressOfADrainingReplica(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			g.DB(1).Leave(3*time.Second, false)
			time.Sleep(3*time.Second - time.Millisecond)
			lead := g.Primary()
			lead.Crash(false)
			time.Sleep(500 * time.Millisecond)
			g.Add("ledger-9", "10.2.64.1", "z2", "replica")
			time.Sleep(4 * time.Second)
			if g.Primary() != nil {
				t.Error("a database was promoted that lacks commits")
			}
			if text := w.status(); !strings.Contains(text, "waits: a database that is gone may have held an acknowledged commit; ledger-2, gone") {
				t.Errorf("status says:\n%s", text)
			}
			lead.Return("ledger-1b") // it alone holds them
			w.Until("a lead", 3*time.Second, func() bool { return g.Primary() == lead })
			entry := func(id string) string {
				raw, err := w.Process("control", controlPrimary(w)).replica().Read("database/" + id)
				if err != nil {
					t.Error(err)
				}
				return string(raw)
			}
			w.Until("the old one is forgotten", 5*time.Second, func() bool { return entry("ledger-2") == "" })
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(controlPrimary(w))+":8782", "/Servers.Heartbeat/ledger-2", nil,
				fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z2","slots":7,"status":"draining","target_role":"replica","call_seq":999}`, g.DB(1).Addr))
			if entry("ledger-2") != "" || entry("ledger-9") == "" {
				t.Errorf("a late beat, answered %d, put the old one back", code)
			}
		})
		served(t, l, 9*time.Second)
	})
}

// All that may have held an acknowledged commit are gone for good: nobody is
// promoted, and the status says so.
func TestLossForGoodIsTold(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(2).SetReplicationStopped(true)
			g.DB(1).Leave(4*time.Second, true)
			g.DB(0).Leave(3*time.Second, true)
			time.Sleep(8 * time.Second)
			if g.Primary() != nil {
				t.Error("a database was promoted that lacks commits")
			}
			if text := w.status(); !strings.Contains(text, "service ledger waits: acknowledged commits may be lost: all databases that may have held them are gone; 1.") {
				t.Errorf("status says:\n%s", text)
			}
		})
		if l.Served < 100 {
			t.Errorf("served %d", l.Served)
		}
	})
}

// An operator accepts that a database which may hold acknowledged commits does not
// come back: for the failover that waits, under a name, and not for the next one.
func TestAcceptedLoss(t *testing.T) {
	play(t, func(w *World, g *Group) {
		g.DB(2).SetReplicationStopped(true)
		l := w.NewLoad(g, 7)
		time.Sleep(3 * time.Second)
		g.DB(1).Crash(false)
		g.DB(0).Crash(false)
		time.Sleep(4 * time.Second)
		l.Stop()
		if g.Primary() != nil {
			t.Fatal("a database was promoted that lacks commits")
		}
		host := w.Net.Host("10.250.0.9")
		ask := func() (*tools.BlockedFailover, error) {
			return tools.CollectReports(context.Background(), host, []string{ip(controlPrimary(w)) + ":7440"}, true).FindBlocked("ledger")
		}
		waiting, err := ask()
		if err != nil || waiting.FailoverID != 1 || !strings.Contains(waiting.Reason, "ledger-2") {
			t.Fatalf("waiting: %+v %v", waiting, err)
		}
		if err := waiting.AcceptLoss(context.Background(), host, waiting.FailoverID+1, "someone"); err == nil {
			t.Error("an order for another turn was taken")
		}
		if err := waiting.AcceptLoss(context.Background(), host, waiting.FailoverID, ""); err == nil {
			t.Error("an order without a name was taken")
		}
		time.Sleep(time.Second)
		if g.Primary() != nil {
			t.Error("an order that was refused had its effect")
		}
		g.DiscardAcked()
		if err := waiting.AcceptLoss(context.Background(), host, waiting.FailoverID, "someone"); err != nil {
			t.Fatal(err)
		}
		w.Until("the one that is left leads", 3*time.Second, func() bool { return g.Primary() == g.DB(2) })
		w.Until("that is known", 2*time.Second, func() bool { _, err := ask(); return err != nil })
		lead := leadOf(t, w)
		if lead.Accepted.By != "someone" || lead.Accepted.FailoverID != 1 || lead.Accepted.AtMs == 0 || lead.MinPosition != "" {
			t.Errorf("the record: %+v", lead)
		}
		if err := waiting.AcceptLoss(context.Background(), host, waiting.FailoverID, "someone"); err == nil {
			t.Error("an order for a move that is over was taken")
		}
	})
}

// leadOf is the lead in the control state.
func leadOf(t *testing.T, w *World) failover.Leader {
	t.Helper()
	state, err := w.Process("control", controlPrimary(w)).replica().Durable()
	if err != nil {
		t.Fatal(err)
	}
	leads, err := failover.Decode(state.Entries)
	if err != nil {
		t.Fatal(err)
	}
	return leads["ledger"]
}

// A primary that was cut off while another was promoted, and so still takes
// itself for the primary, is not waited for when that one is lost.
func TestSupersededPrimaryIsHeard(t *testing.T) {
	play(t, func(w *World, g *Group) {
		first := g.Primary()
		cut := func(cut bool) {
			for z := 1; z <= 4; z++ {
				w.Net.Cut(first.IP, ip(z), cut)
			}
		}
		l := under(w, g, func() {
			cut(true)
			w.Net.Cut(first.IP, g.DB(1).IP, true)
			w.Net.Cut(first.IP, g.DB(2).IP, true)
			second := g.next(first, 5*time.Second)
			time.Sleep(time.Second)
			second.Crash(true)
			time.Sleep(time.Second)
			cut(false)
			g.next(second, 3*time.Second)
		})
		served(t, l, 6*time.Second)
	})
}

// The chosen replica is promoted while the control node that chose it is lost, and
// crashes before anyone has heard of it. The other one, which held as much, leads;
// if that is lost too, the first does once it returns as the primary that it was
// made.
func TestPromotedUnheardAndCrashed(t *testing.T) {
	for _, both := range []bool{false, true} {
		play(t, func(w *World, g *Group) {
			l := under(w, g, func() {
				first := g.Primary()
				first.Crash(true)
				w.Until("the platform is called", 4*time.Second, func() bool { return w.Calls() == 1 })
				w.Process("control", controlPrimary(w)).Kill()
				second := g.next(first, time.Second)
				second.Crash(false)
				if !both {
					g.next(second, 5*time.Second)
					return
				}
				g.DB(3 - slices.Index(g.Databases(), second)).Crash(true)
				time.Sleep(5 * time.Second)
				second.Return(second.ID + "b")
				w.Until("it leads again", 3*time.Second, func() bool { return strings.Contains(w.status(), "1 services, 1 with a lead") })
			})
			if !both {
				served(t, l, 6*time.Second)
			}
		})
	}
}

// A CONTINUE of before its draining that comes late has a confined replica receive
// past its limit: it is paused anew, and the limit covers what it has received.
func TestConfinedAgain(t *testing.T) {
	play(t, func(w *World, g *Group) {
		under(w, g, func() {
			d := g.DB(2)
			d.Leave(8*time.Second, true)
			state := func() (held int64, received, limit lineprotocol.Position) {
				s, err := w.Process("control", controlPrimary(w)).replica().Durable()
				if err != nil {
					t.Fatal(err)
				}
				known, err := discovery.Decode(s.Entries)
				if err != nil {
					t.Fatal(err)
				}
				limit, _ = lineprotocol.ParsePosition(known[d.ID].Limit)
				received, held = d.Position()
				return held, received, limit
			}
			confined := func() bool {
				held, received, limit := state()
				return held != 0 && limit.Term != 0 && !limit.Less(received)
			}
			w.Until("the leaving replica is confined", 3*time.Second, confined)
			_, _, before := state()
			d.Control("CONTINUE", "")
			time.Sleep(100 * time.Millisecond) // the load writes
			w.Until("it is confined again", 2*time.Second, confined)
			if _, _, limit := state(); !before.Less(limit) {
				t.Errorf("limit %v, before the late CONTINUE %v", limit, before)
			}
		})
	})
}
