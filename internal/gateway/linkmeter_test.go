package gateway

import (
	"testing"

	"indigowalk/internal/kernel"
)

// clock is a clock that the test sets.
type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// Data sent faster than the link can carry counts as queued, and the queue drains at the rate of the
// link.
func TestLinkMeter(t *testing.T) {
	c := &clock{kernel.Second}
	m := newLinkMeter(c, 2) // 2 Mbit/s: 212 usable bytes per millisecond
	m.load()
	for range 100 {
		c.now += 10 * kernel.Millisecond
		m.out.bytes.Add(1500)
		if wait, _ := m.load(); wait > 5*kernel.Millisecond {
			t.Fatalf("queueing delay of %d us at 70%% utilization", wait)
		}
	}
	if _, utilization := m.load(); utilization < 0.4 || utilization > 0.8 {
		t.Errorf("utilization %.2f", utilization)
	}
	c.now += kernel.Millisecond
	m.in.bytes.Add(212 * 500)
	if wait, _ := m.load(); wait < 400*kernel.Millisecond || wait > 600*kernel.Millisecond {
		t.Errorf("queueing delay of %d us behind half a second of traffic", wait)
	}
	c.now += kernel.Second
	if wait, _ := m.load(); wait != 0 {
		t.Errorf("queueing delay of %d us a second later", wait)
	}
	if wait, utilization := newLinkMeter(c, 0).load(); wait != 0 || utilization != 0 {
		t.Error("a link of unknown bandwidth is reported as utilized")
	}
}
