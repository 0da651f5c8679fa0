package distribution

import (
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// Observations of many proxies are aggregated, published once while they stay the same, and
// decay after a while.
func TestObservations(t *testing.T) {
	fake := &clock{kernel.Second}
	all := newObservations(fake)
	see := func(seen map[string]Observation) {
		for range 40 {
			all.add(seen)
			fake.now += 100 * kernel.Millisecond
		}
	}
	see(map[string]Observation{"fast": {2, 110, 0}, "slow": {1, 200, 0}, "usual": {2, 200, 0}, "hangs": {0, 0, 1}, "odd": {-1, 5, 0}})
	costs, seq := all.since(0)
	if costs["fast"] > 75 || costs["slow"] < 150 || costs["hangs"] < 1000 || len(costs) != 3 {
		t.Errorf("%v", costs)
	}
	fake.now += kernel.Second
	see(map[string]Observation{"fast": {2, 110, 0}, "slow": {1, 200, 0}})
	again, newest := all.since(seq)
	if _, published := again["fast"]; published {
		t.Errorf("published again: %v", again)
	}
	fake.now += 90 * kernel.Second
	if last, _ := all.since(newest); last["hangs"] > 130 || last["hangs"] == 0 {
		t.Errorf("long after: %v", last)
	}
	all.retain(func(id string) bool { return id == "fast" })
	if rest, _ := all.since(0); len(rest) != 1 {
		t.Errorf("costs of removed databases are published: %v", rest)
	}
}
