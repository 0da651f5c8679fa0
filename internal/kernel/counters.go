package kernel

import (
	"sync"
	"sync/atomic"
)

// Counters are the first thing to look at: everything that happens often is
// counted, and only changes of state are logged.
type Counters struct {
	m           sync.Map // *atomic.Int64 by name
	observables sync.Map // func() int64 by name
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{} }

// Add raises a counter.
func (c *Counters) Add(name string, n int64) { c.Of(name).Add(n) }

// Of returns the counter itself, for places that raise it often.
func (c *Counters) Of(name string) *atomic.Int64 {
	if v, ok := c.m.Load(name); ok {
		return v.(*atomic.Int64)
	}
	v, _ := c.m.LoadOrStore(name, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// Observable has a value that goes up and down told with the counters; it is asked for each
// time, from any goroutine.
func (c *Counters) Observable(name string, value func() int64) { c.observables.Store(name, value) }

// Snapshot copies all counters, and the values of all observables.
func (c *Counters) Snapshot() map[string]int64 {
	out := map[string]int64{}
	c.observables.Range(func(k, v any) bool {
		out[k.(string)] = v.(func() int64)()
		return true
	})
	c.m.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}
