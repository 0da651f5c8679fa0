package pooler

import (
	"sync"

	"indigowalk/internal/kernel"
)

// outages records since when no database could run statements, by service and kind of statement. A
// failover takes about a second, and statements wait for that. A longer outage may last for long:
// statements that arrive later are refused with a retry-after instead of waiting.
type outages struct {
	mu    sync.Mutex
	since map[outageKey]kernel.Micros
}

// outageKey identifies a service and whether its statements need the primary.
type outageKey struct {
	service string
	primary bool
}

const (
	// failoverWait is how long after the start of an outage statements wait for its end.
	failoverWait = 1500 * kernel.Millisecond
	// minWait is how long a statement waits even in a long outage, in case a database becomes
	// available for a moment.
	minWait = 50 * kernel.Millisecond
)

// clear records that a database is available again.
func (o *outages) clear(key outageKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, key)
}

// waitDeadline records that no database is available for a statement that arrived at received, and
// returns until when the statement may wait.
func (o *outages) waitDeadline(key outageKey, now, received kernel.Micros) kernel.Micros {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.since[key]
	if !ok {
		if o.since == nil {
			o.since = map[outageKey]kernel.Micros{}
		}
		since = now
		o.since[key] = now
	}
	return max(since+failoverWait, received+minWait)
}
