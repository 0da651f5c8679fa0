package gateway

import (
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// What is sent faster than the link carries it waits, and the wait ends.
func TestLinkMeter(t *testing.T) {
	c := &clock{kernel.Second}
	g := newLinkMeter(c, 2) // 2 Mbit/s: 212 bytes a millisecond are counted on
	g.load()
	for range 100 {
		c.now += 10 * kernel.Millisecond
		g.out.bytes.Add(1500)
		if wait, _ := g.load(); wait > 5*kernel.Millisecond {
			t.Fatalf("%d us to wait at 70%% of the link", wait)
		}
	}
	if _, use := g.load(); use < 0.4 || use > 0.8 {
		t.Errorf("use %.2f", use)
	}
	c.now += kernel.Millisecond
	g.in.bytes.Add(212 * 500)
	if wait, _ := g.load(); wait < 400*kernel.Millisecond || wait > 600*kernel.Millisecond {
		t.Errorf("%d us to wait behind what the link carries in half a second", wait)
	}
	c.now += kernel.Second
	if wait, _ := g.load(); wait != 0 {
		t.Errorf("%d us to wait a second later", wait)
	}
	if wait, use := newLinkMeter(c, 0).load(); wait != 0 || use != 0 {
		t.Error("a link that is not known is full")
	}
}
