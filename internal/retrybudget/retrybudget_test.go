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
	random := rand.New(rand.NewPCG(1, 1))
	testClock := &clock{now: kernel.Second}
	budget := New(testClock, func() float64 { return ratio }, window)
	var initial, retries []kernel.Micros
	countInWindow := func(list []kernel.Micros) (n int) {
		for _, at := range list {
			if at > testClock.now-window {
				n++
			}
		}
		return n
	}
	for range 20_000 {
		maxGap := kernel.Millisecond
		if random.IntN(400) == 0 {
			maxGap = kernel.Micros(random.Int64N(int64(12 * kernel.Second)))
		}
		testClock.now += rand.N(40 * maxGap)
		if random.IntN(3) > 0 {
			budget.CountRequest("s")
			initial = append(initial, testClock.now)
			continue
		}
		if budget.AllowRetry("s", 0) {
			retries = append(retries, testClock.now)
			if n, m := countInWindow(retries), countInWindow(initial); float64(n) > ratio*float64(m) {
				t.Fatalf("%d retries in a window with %d initial requests", n, m)
			}
		}
	}
	if float64(len(retries)) < 0.8*ratio*float64(len(initial)) {
		t.Errorf("only %d retries were allowed, with a budget of about %.0f", len(retries), ratio*float64(len(initial)))
	}
	if budget.AllowRetry("other", 0) {
		t.Error("a service uses the retry budget of another")
	}
}
