package kernel

import (
	"sync"
	"sync/atomic"
)

// Counters are the first thing to look at: everything that happens often is
// counted, and only changes of state are logged.
type Counters struct{ m sync.Map }

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

// Snapshot copies all counters.
func (c *Counters) Snapshot() map[string]int64 {
	out := map[string]int64{}
	c.m.Range(func(k, v any) bool {
		out[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return out
}
