package distribution

import (
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// Observations of many proxies are aggregated. The resulting costs are published once for as
// long as they do not change, and decay without new observations.
func TestObservations(t *testing.T) {
	testClock := &clock{kernel.Second}
	aggregate := newObservations(testClock)
	observe := func(reported map[string]Observation) {
		for range 40 {
			aggregate.add(reported)
			testClock.now += 100 * kernel.Millisecond
		}
	}
	observe(map[string]Observation{"fast": {2, 110, 0}, "slow": {1, 200, 0}, "usual": {2, 200, 0}, "hangs": {0, 0, 1}, "invalid": {-1, 5, 0}})
	costs, seq := aggregate.since(0)
	if costs["fast"] > 75 || costs["slow"] < 150 || costs["hangs"] < 1000 || len(costs) != 3 {
		t.Errorf("published costs: %v", costs)
	}
	testClock.now += kernel.Second
	observe(map[string]Observation{"fast": {2, 110, 0}, "slow": {1, 200, 0}})
	republished, newest := aggregate.since(seq)
	if _, published := republished["fast"]; published {
		t.Errorf("an unchanged cost was published again: %v", republished)
	}
	testClock.now += 90 * kernel.Second
	if last, _ := aggregate.since(newest); last["hangs"] > 130 || last["hangs"] == 0 {
		t.Errorf("costs after 90 s without observations: %v", last)
	}
	aggregate.retain(func(id string) bool { return id == "fast" })
	if remaining, _ := aggregate.since(0); len(remaining) != 1 {
		t.Errorf("costs of removed databases are published: %v", remaining)
	}
}
