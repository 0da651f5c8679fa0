package distribution

import (
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// What many carriers see of a database is put together, told once while it stays
// as it is, and forgotten after a while.
func TestObservations(t *testing.T) {
	c := &clock{kernel.Second}
	tl := newObservations(c)
	see := func(seen map[string]Seen) {
		for range 40 {
			tl.add(seen)
			c.now += 100 * kernel.Millisecond
		}
	}
	see(map[string]Seen{"fast": {2, 110, 0}, "slow": {1, 200, 0}, "usual": {2, 200, 0}, "hangs": {0, 0, 1}, "odd": {-1, 5, 0}})
	paces, seq := tl.since(0)
	if paces["fast"] > 75 || paces["slow"] < 150 || paces["hangs"] < 1000 || len(paces) != 3 {
		t.Errorf("%v", paces)
	}
	c.now += kernel.Second
	see(map[string]Seen{"fast": {2, 110, 0}, "slow": {1, 200, 0}})
	again, newest := tl.since(seq)
	if _, told := again["fast"]; told {
		t.Errorf("told again: %v", again)
	}
	c.now += 90 * kernel.Second
	if last, _ := tl.since(newest); last["hangs"] > 130 || last["hangs"] == 0 {
		t.Errorf("long after: %v", last)
	}
	tl.keep(func(id string) bool { return id == "fast" })
	if rest, _ := tl.since(0); len(rest) != 1 {
		t.Errorf("databases that are no more are told of: %v", rest)
	}
}
