package retrybudget

import (
	"math/rand/v2"
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// In every window that ends with a further send, these stay below their share of
// the first sends in it, whatever the traffic does; and most of the share can be
// used.
func TestFurtherSendsStayBelowTheirShare(t *testing.T) {
	const ratio, window = 0.2, 10 * kernel.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	c := &clock{now: kernel.Second}
	a := New(c, func() float64 { return ratio }, window)
	var firsts, agains []kernel.Micros
	within := func(list []kernel.Micros) (n int) {
		for _, at := range list {
			if at > c.now-window {
				n++
			}
		}
		return n
	}
	for range 20_000 {
		pause := kernel.Millisecond
		if rnd.IntN(400) == 0 {
			pause = kernel.Micros(rnd.Int64N(int64(12 * kernel.Second)))
		}
		c.now += rand.N(40 * pause)
		if rnd.IntN(3) > 0 {
			a.First("s")
			firsts = append(firsts, c.now)
			continue
		}
		if a.Again("s", 0) {
			agains = append(agains, c.now)
			if n, m := within(agains), within(firsts); float64(n) > ratio*float64(m) {
				t.Fatalf("%d further sends in a window of %d first ones", n, m)
			}
		}
	}
	if float64(len(agains)) < 0.8*ratio*float64(len(firsts)) {
		t.Errorf("only %d of some %.0f further sends were allowed", len(agains), ratio*float64(len(firsts)))
	}
	if a.Again("other", 0) {
		t.Error("one service lives on another's first sends")
	}
}
