package subscription

import (
	"testing"

	"indigowalk/internal/catalogue"
	"indigowalk/internal/foundation"
)

// Whole states for many desks leave one after another, at a share of the link.
func TestWholeStatesTakeTurns(t *testing.T) {
	tn := turns{rate: linkShare * 100 / 8} // of 100 Mbit/s
	var last foundation.Micros
	for range 300 {
		last = tn.take(0, 35_000)
	}
	if last < foundation.Second || last > 3*foundation.Second/2 {
		t.Errorf("the last of 300 waits %d us", last)
	}
	if wait := tn.take(2*foundation.Second, 35_000); wait != 0 {
		t.Errorf("%d us to wait though all have left", wait)
	}
	if wait := (&turns{}).take(0, 1<<20); wait != 0 {
		t.Errorf("%d us to wait on a link that is not known", wait)
	}
}

// A desk that knows few members, since it is cut off or has just started, does
// not take the connections of the others.
func TestShareCountsDesksOfLate(t *testing.T) {
	conf := &catalogue.Configuration{Services: []catalogue.Service{{Name: "s", MaxConns: 1200}}}
	var h catalogue.History
	h.Turn(conf, 1)
	c := &Card{conf: (*catalogue.Index)(nil).Next(h.Since(0, true), true), desks: 300}
	if n := c.share("s", 20); n != 3 {
		t.Errorf("%d connections for a desk that knows 20 of 300", n)
	}
	if n := c.share("s", 540); n != 2 {
		t.Errorf("%d connections among 540 members", n)
	}
}
