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

// put writes at a database itself, under an id, and passes its answer on.
func put(t *testing.T, w *World, d *Database, service, id string) <-chan *lineprotocol.Answer {
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

// A stand-in's commit that waits for a replica while its database loses the lead is not
// promised away: another commit may have taken it to a replica meanwhile. Which of the two
// looks first is a matter of milliseconds, so several are tried.
func TestStandinPromisesNothingOnceAWriteIsInItsLog(t *testing.T) {
	for later := range 6 {
		synctest.Test(t, func(t *testing.T) {
			w := NewWorld(t, 1, 3)
			defer w.Close()
			g := w.Group("ledger")
			lead := g.Primary()
			g.DB(1).SetReplicationStopped(true)
			g.DB(2).SetReplicationStopped(true)
			first := put(t, w, lead, "ledger", "a.1")
			time.Sleep(100*time.Millisecond + time.Duration(later)*time.Millisecond)
			second := put(t, w, lead, "ledger", "b.1")
			time.Sleep(100 * time.Millisecond)
			g.DB(1).SetReplicationStopped(false)
			if a := <-second; a == nil || a.Code != "" {
				t.Fatalf("the second write: %v", a)
			}
			lead.Control("STEPDOWN", "9")
			a := <-first
			if a != nil && standin.Promises(a.Code) && slices.Contains(g.DB(1).Holds(), "a.1") {
				t.Errorf("%d ms later: the first write is answered %s, and a replica holds it", later, a.Code)
			}
		})
	}
}

// A stand-in's primary that went while it was deaf, and is deaf no more before it is back,
// comes back as a replica if another leads by then.
func TestStandinReturnsAsAReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 3)
		defer w.Close()
		g := w.Group("ledger")
		old := g.Primary()
		old.SetReplicationStopped(true)
		old.Crash(false)
		g.PromoteTo(g.DB(1).ID)
		time.Sleep(time.Second)
		old.SetReplicationStopped(false)
		old.Return("ledger-1b")
		if lead := g.DB(1); old.Role() != "replica" || g.Primary() != lead {
			t.Errorf("the old primary is back as a %s, and %v leads", old.Role(), g.Primary().ID)
		}
	})
}
