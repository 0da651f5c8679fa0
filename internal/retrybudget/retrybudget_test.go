package retrybudget

import (
	"math/rand/v2"
	"testing"

	"indigowalk/internal/kernel"
)

type clock struct{ now kernel.Micros }

func (c *clock) Now() kernel.Micros { return c.now }

// In every window that ends with a retry, the retries stay within their share of the
// initial requests, whatever the traffic pattern. Most of the share must be usable, and
// the budgets of services are independent.
func TestRetriesStayWithinBudget(t *testing.T) {
	const ratio, window = 0.2, 10 * kernel.Second
	rnd := rand.New(rand.NewPCG(1, 1))
	c := &clock{now: kernel.Second}
	a := New(c, func() float64 { return ratio }, window)
	var initial, retries []kernel.Micros
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
			a.CountRequest("s")
			initial = append(initial, c.now)
			continue
		}
		if a.AllowRetry("s", 0) {
			retries = append(retries, c.now)
			if n, m := within(retries), within(initial); float64(n) > ratio*float64(m) {
				t.Fatalf("%d retries in a window with %d initial requests", n, m)
			}
		}
	}
	if float64(len(retries)) < 0.8*ratio*float64(len(initial)) {
		t.Errorf("only %d of about %.0f retries were allowed", len(retries), ratio*float64(len(initial)))
	}
	if a.AllowRetry("other", 0) {
		t.Error("a service uses the retry budget of another")
	}
}
