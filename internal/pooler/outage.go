package pooler

import (
	"sync"

	"indigowalk/internal/kernel"
)

// outages records when each outage in progress began, by service and kind of statement. During an
// outage no database can run such statements. A failover takes about a second, and statements wait
// for that. An outage that lasts longer may last for long, so statements that arrive later are
// refused with a retry-after instead of waiting.
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
	// failoverWait is the time from the start of an outage during which statements wait for its end.
	failoverWait = 1500 * kernel.Millisecond
	// minWait is how long a statement waits even in a longer outage, in case a database becomes
	// available briefly.
	minWait = 50 * kernel.Millisecond
)

// clear records that the outage is over: a database is available.
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
