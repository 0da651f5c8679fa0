package simulation

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/standin"
)

// writeDirectly sends a write with an id straight to a database, without a pooler. The returned
// channel delivers the answer; it is closed without one if the write fails.
func writeDirectly(t *testing.T, w *World, d *Database, service, id string) <-chan *lineprotocol.Answer {
	t.Helper()
	dialer := &dbconn.Dialer{Net: w.Net.Host("10.251.0.1"), ClientName: "who", ConnectTimeout: kernel.Second}
	c, err := dialer.Open(context.Background(), discovery.Database{ID: d.ID, Address: d.Addr, Service: service}, kernel.Second)
	if err != nil {
		t.Fatal(err)
	}
	answer := make(chan *lineprotocol.Answer, 1)
	go func() {
		defer c.Close()
		defer close(answer)
		if c.Send(lineprotocol.AppendMessage(nil, "QUERY", id, "PUT thing "+id), 10*kernel.Second, nil) != nil {
			return
		}
		if a, err := c.Receive(10*kernel.Second, dbconn.Watch{}); err == nil {
			answer <- a
		}
	}()
	return answer
}

// A database that is demoted while a commit waits for a synchronous replica must not answer it
// with a code that guarantees that the write is not committed: the replication of a later commit
// may have copied it to a replica meanwhile. Which of the two waiting commits checks first depends
// on milliseconds, so the test tries several intervals between the writes.
func TestStandinDemotedWithLoggedWrite(t *testing.T) {
	for delayMs := range 6 {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(t, 1, 3)
			defer w.Close()
			g := w.AddGroup("ledger")
			primary := g.Primary()
			g.DB(1).SetReplicationStopped(true)
			g.DB(2).SetReplicationStopped(true)
			first := writeDirectly(t, w, primary, "ledger", "a.1")
			time.Sleep(100*time.Millisecond + time.Duration(delayMs)*time.Millisecond)
			second := writeDirectly(t, w, primary, "ledger", "b.1")
			time.Sleep(100 * time.Millisecond)
			g.DB(1).SetReplicationStopped(false)
			if a := <-second; a == nil || a.Code != "" {
				t.Fatalf("the second write was not acknowledged: %v", a)
			}
			primary.Control("STEPDOWN", "9")
			a := <-first
			if a != nil && standin.PromisesNotCommitted(a.Code) && slices.Contains(g.DB(1).LoggedStatements(), "a.1") {
				t.Errorf("second write delayed by %d ms: the first write was answered with %s although a replica has it", delayMs, a.Code)
			}
		})
	}
}

// A primary that crashes while its replication is stopped, and restarts after another database
// was promoted, must become a replica, although its replication works again before the restart.
func TestStandinRestartsAsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 3)
		defer w.Close()
		g := w.AddGroup("ledger")
		oldPrimary := g.Primary()
		oldPrimary.SetReplicationStopped(true)
		oldPrimary.Crash(false)
		g.StartPromotion(g.DB(1).ID)
		time.Sleep(time.Second)
		oldPrimary.SetReplicationStopped(false)
		oldPrimary.Restart("ledger-1b")
		if promoted := g.DB(1); oldPrimary.Role() != "replica" || g.Primary() != promoted {
			t.Errorf("the old primary restarted as %s, and the primary is %v", oldPrimary.Role(), g.Primary().ID)
		}
	})
}
