package kernel

import (
	"sync"
	"sync/atomic"
)

// Counters is the set of named counters and observed values of a process. Frequent events are
// counted here, and only state changes are logged, so diagnosis starts with the counters.
type Counters struct {
	counters    sync.Map // *atomic.Int64 by name
	observables sync.Map // func() int64 by name
}

// NewCounters returns an empty set.
func NewCounters() *Counters { return &Counters{} }

// Add increases the named counter by n.
func (c *Counters) Add(name string, n int64) { c.Counter(name).Add(n) }

// Counter returns the named counter itself, for code that increments it often.
func (c *Counters) Counter(name string) *atomic.Int64 {
	if v, ok := c.counters.Load(name); ok {
		return v.(*atomic.Int64)
	}
	v, _ := c.counters.LoadOrStore(name, new(atomic.Int64))
	return v.(*atomic.Int64)
}

// Observable registers an observed value that is reported with the counters. The value function is
// called on each snapshot, from any goroutine.
func (c *Counters) Observable(name string, value func() int64) { c.observables.Store(name, value) }

// Snapshot returns the current values of all counters and observed values by name.
func (c *Counters) Snapshot() map[string]int64 {
	values := map[string]int64{}
	c.observables.Range(func(k, v any) bool {
		values[k.(string)] = v.(func() int64)()
		return true
	})
	c.counters.Range(func(k, v any) bool {
		values[k.(string)] = v.(*atomic.Int64).Load()
		return true
	})
	return values
}
