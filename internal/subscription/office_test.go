package subscription

import (
	"fmt"
	"testing"

	"indigowalk/internal/catalogue"
	"indigowalk/internal/foundation"
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
