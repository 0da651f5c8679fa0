package turnstile

import (
	"testing"

	"indigowalk/internal/foundation"
)

type clock struct{ now foundation.Micros }

func (c *clock) Now() foundation.Micros { return c.now }

// What is sent faster than the link carries it waits, and the wait ends.
func TestGauge(t *testing.T) {
	c := &clock{foundation.Second}
	g := newGauge(c, 2) // 2 Mbit/s: 212 bytes a millisecond are counted on
	g.load()
	for range 100 {
		c.now += 10 * foundation.Millisecond
		g.out.bytes.Add(1500)
		if wait, _ := g.load(); wait > 5*foundation.Millisecond {
			t.Fatalf("%d us to wait at 70%% of the link", wait)
		}
	}
	if _, use := g.load(); use < 0.4 || use > 0.8 {
		t.Errorf("use %.2f", use)
	}
	c.now += foundation.Millisecond
	g.in.bytes.Add(212 * 500)
	if wait, _ := g.load(); wait < 400*foundation.Millisecond || wait > 600*foundation.Millisecond {
		t.Errorf("%d us to wait behind what the link carries in half a second", wait)
	}
	c.now += foundation.Second
	if wait, _ := g.load(); wait != 0 {
		t.Errorf("%d us to wait a second later", wait)
	}
	if wait, use := newGauge(c, 0).load(); wait != 0 || use != 0 {
		t.Error("a link that is not known is full")
	}
}
