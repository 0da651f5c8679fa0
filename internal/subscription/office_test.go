package subscription

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"indigowalk/internal/catalogue"
	"indigowalk/internal/custodian"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

// Large news for many desks leave one after another, at a share of the link. A
// desk whose turn is far off finds it when it asks again, and asking more often
// costs nobody else.
func TestLargeNewsTakeTurns(t *testing.T) {
	tn := turns{rate: linkShare * 100 / 8} // of 100 Mbit/s
	var last foundation.Micros
	for i := range 300 {
		last = tn.take(fmt.Sprint("desk-", i), 0, 35_000)
	}
	if last < foundation.Second || last > 3*foundation.Second/2 {
		t.Errorf("the last of 300 waits %d us", last)
	}
	for range 20 {
		if wait := tn.take("desk-299", last/2, 35_000); wait != last-last/2 {
			t.Fatalf("asked again, it waits %d us, not %d", wait, last-last/2)
		}
	}
	if wait := tn.take("desk-299", last, 35_000); wait != 0 {
		t.Errorf("%d us to wait though its turn has come", wait)
	}
	if wait := tn.take("late", last/2, 100); wait != 0 {
		t.Errorf("%d us to wait with small news", wait)
	}
	if wait := tn.take("late", 4*foundation.Second, 35_000); wait != 0 {
		t.Errorf("%d us to wait though all have left", wait)
	}
	if wait := (&turns{}).take("a", 0, 1<<20); wait != 0 {
		t.Errorf("%d us to wait on a link that is not known", wait)
	}
}

// A desk that knows few members, since it is cut off or has just started, does
// not take the connections of the others.
func TestShareCountsDesksOfLate(t *testing.T) {
	conf := &catalogue.Configuration{Services: []catalogue.Service{{Name: "s", MaxConns: 1200}}}
	var h catalogue.History
	h.Turn(conf, 1)
	c := &Card{conf: (*catalogue.Index)(nil).Next(h.Since(0, true)), desks: 300}
	if n := c.share("s", 20); n != 3 {
		t.Errorf("%d connections for a desk that knows 20 of 300", n)
	}
	if n := c.share("s", 540); n != 2 {
		t.Errorf("%d connections among 540 members", n)
	}
}

// LeaseInItsTerm: a poll that was worked on in a term that is over grants no
// lease and tells nothing; the lease is noted all the same, for whoever waits.
func TestLeaseInItsTerm(t *testing.T) {
	o := &Office{k: foundation.NewKernel("archive", nil, slog.New(slog.DiscardHandler)), readers: custodian.NewReaders(), lease: foundation.Second}
	o.readers.Term(3, nil, 0, 0)
	o.readers.Heard("d", 1, custodian.Report{}, o.k.Clock.Now())
	a, err := o.answer(pollAsk{Desk: "d", Life: 1}, vault.State{Epoch: 2, Seq: 9}, json.RawMessage(`{}`), newTally(o.k.Clock), nil)
	if got, ok := a.(pollAnswer); err != nil || !ok || got.Lease != 0 || got.Seq != 0 || got.News != nil {
		t.Errorf("answered %s %v", a, err)
	}
	if o.readers.Term(2, map[string]int64{}, 0, 0); o.readers.InTerm(2) || o.readers.Count(o.k.Clock.Now()) != 1 {
		t.Error("an earlier term was begun again, and forgot a lease")
	}
}
