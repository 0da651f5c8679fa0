package distribution

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
)

// Large news for many poolers leave one after another, at a share of the link. A
// pooler whose turn is far off finds it when it asks again, and asking more often
// costs nobody else.
func TestLargeNewsTakeTurns(t *testing.T) {
	tn := turns{rate: linkShare * 100 / 8} // of 100 Mbit/s
	var last kernel.Micros
	for i := range 300 {
		last = tn.take(fmt.Sprint("pooler-", i), 0, 35_000)
	}
	if last < kernel.Second || last > 3*kernel.Second/2 {
		t.Errorf("the last of 300 waits %d us", last)
	}
	for range 20 {
		if wait := tn.take("pooler-299", last/2, 35_000); wait != last-last/2 {
			t.Fatalf("asked again, it waits %d us, not %d", wait, last-last/2)
		}
	}
	if wait := tn.take("pooler-299", last, 35_000); wait != 0 {
		t.Errorf("%d us to wait though its turn has come", wait)
	}
	if wait := tn.take("late", last/2, 100); wait != 0 {
		t.Errorf("%d us to wait with small news", wait)
	}
	if wait := tn.take("late", 4*kernel.Second, 35_000); wait != 0 {
		t.Errorf("%d us to wait though all have left", wait)
	}
	if wait := (&turns{}).take("a", 0, 1<<20); wait != 0 {
		t.Errorf("%d us to wait on a link that is not known", wait)
	}
}

// A pooler that knows few members, since it is cut off or has just started, does
// not take the connections of the others.
func TestShareCountsPoolersOfLate(t *testing.T) {
	conf := &routeconfig.Configuration{Services: []routeconfig.Service{{Name: "s", MaxConns: 1200}}}
	var h routeconfig.History
	h.Turn(conf, 1)
	c := &Subscriber{conf: (*routeconfig.Index)(nil).Next(h.Since(0, true)), poolers: 300}
	if n := c.share("s", 20); n != 3 {
		t.Errorf("%d connections for a pooler that knows 20 of 300", n)
	}
	if n := c.share("s", 540); n != 2 {
		t.Errorf("%d connections among 540 members", n)
	}
}

// LeaseInItsTerm: a poll that was worked on in a term that is over grants no
// lease and tells nothing; the lease is noted all the same, for whoever waits.
func TestLeaseInItsTerm(t *testing.T) {
	o := &Publisher{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), readers: failover.NewReaders(), lease: kernel.Second}
	o.readers.Term(3, nil, 0, 0)
	o.readers.Heard("d", 1, failover.Report{}, o.k.Clock.Now())
	state := controlstate.State{Epoch: 2, Seq: 9}
	if a, err := o.answer(pollAsk{Pooler: "d", Life: 1}, state, nil, newObservations(o.k.Clock), nil); err == nil {
		t.Errorf("answered %v to a pooler that is registered no more", a)
	}
	state.Entries = failover.Register("d", 1)
	a, err := o.answer(pollAsk{Pooler: "d", Life: 1}, state, json.RawMessage(`{}`), newObservations(o.k.Clock), nil)
	if got, ok := a.(pollAnswer); err != nil || !ok || got.Lease != 0 || got.Seq != 0 || got.News != nil {
		t.Errorf("answered %s %v", a, err)
	}
	if o.readers.Term(2, map[string]int64{}, 0, 0); o.readers.InTerm(2) || o.readers.Count(o.k.Clock.Now()) != 1 {
		t.Error("an earlier term was begun again, and forgot a lease")
	}
}
