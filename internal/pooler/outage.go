package pooler

import (
	"sync"

	"indigowalk/internal/kernel"
)

// outages remembers since when nothing could run for a service and kind of
// statement. A move of a lead takes about a second: statements wait for that.
// An outage that lasts longer may last for long, and those who come later are
// told to come back instead of being held.
type outages struct {
	mu    sync.Mutex
	since map[outage]kernel.Micros
}

type outage struct {
	service string
	primary bool
}

const (
	patience = 1500 * kernel.Millisecond
	// leastHold is how long a statement is held all the same, for one of the
	// moments in between.
	leastHold = 50 * kernel.Millisecond
)

// over notes that a statement found its place.
func (o *outages) over(what outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.since, what)
}

// holdUntil notes that there is no place for a statement that came at
// received, and returns until when it may be held.
func (o *outages) holdUntil(what outage, now, received kernel.Micros) kernel.Micros {
	o.mu.Lock()
	defer o.mu.Unlock()
	since, ok := o.since[what]
	if !ok {
		if o.since == nil {
			o.since = map[outage]kernel.Micros{}
		}
		since = now
		o.since[what] = now
	}
	return max(since+patience, received+leastHold)
}
