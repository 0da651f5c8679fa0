// Package retrybudget limits the retries of a node to a share of its initial requests.
package retrybudget

import (
	"sync"

	"indigowalk/internal/kernel"
)

// buckets is the number of buckets that a sliding window is divided into.
const bucketCount = 20

// Budget is a retry budget per service. In every window, the retries of this node to
// a service stay within a fixed share of its own initial requests to that service. The
// same bound then holds for all nodes together, without any coordination.
type Budget struct {
	clock      kernel.Clock
	ratio      func() float64
	bucketSpan kernel.Micros

	mu       sync.Mutex
	services map[string]*counts // by name
}

// counts holds the requests to one service by bucket, in a ring.
type counts struct {
	latest  int64 // number of the newest bucket, counted from time 0
	initial [bucketCount + 1]int
	retries [bucketCount + 1]int
}

// New returns a budget that allows, in each window, ratio retries per initial request.
func New(clock kernel.Clock, ratio func() float64, window kernel.Micros) *Budget {
	return &Budget{clock: clock, ratio: ratio, bucketSpan: max(window/bucketCount, 1), services: map[string]*counts{}}
}

// countsOf returns the counts of a service, advanced to the current time.
func (b *Budget) countsOf(service string) *counts {
	c := b.services[service]
	if c == nil {
		c = &counts{}
		b.services[service] = c
	}
	c.advance(int64(b.clock.Now() / b.bucketSpan))
	return c
}

// advance makes now the newest bucket of the ring and clears the buckets that have left the
// window. The oldest bucket that remains is only partly inside the window.
func (c *counts) advance(now int64) {
	for ; c.latest < now && now-c.latest <= bucketCount+1; c.latest++ {
		i := (c.latest + 1) % (bucketCount + 1)
		c.initial[i], c.retries[i] = 0, 0
	}
	if c.latest < now {
		c.latest = now
		clear(c.initial[:])
		clear(c.retries[:])
	}
}

// newestIndex returns the index of the newest bucket.
func (c *counts) newestIndex() int { return int(c.latest % (bucketCount + 1)) }

// CountRequest counts an initial request to a service.
func (b *Budget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	c.initial[c.newestIndex()]++
}

// AllowRetry reports whether a retry may be sent now, and counts it if so. reserve is the share
// of the budget that is left for more urgent retries. The oldest bucket is only partly inside the
// window: its retries are counted and its initial requests are not, so that the bound holds in
// any case.
func (b *Budget) AllowRetry(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.countsOf(service)
	newestBucket := c.newestIndex()
	oldestBucket := (newestBucket + 1) % (bucketCount + 1)
	initial, retries := 0, 0
	for i := range c.initial {
		retries += c.retries[i]
		if i != oldestBucket {
			initial += c.initial[i]
		}
	}
	if float64(retries+1) > b.ratio()*(1-reserve)*float64(initial) {
		return false
	}
	c.retries[newestBucket]++
	return true
}
