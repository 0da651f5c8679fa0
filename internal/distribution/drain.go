package distribution

import (
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

// Bounds are the spans of the settings that bound what a carrier may do with what it
// knows.
type Bounds struct {
	Drain   kernel.Micros // a request may reach it for so long after its leaving was acknowledged
	Contact kernel.Micros // a process that has run for less is not held to that
	// Revoke is for how long a key may be served that was taken away, by carriers out
	// of touch too; 0 if they need not know.
	Revoke kernel.Micros
}

// drainMargin is kept between the last send and the bound: what is sent has to
// arrive in time.
const drainMargin = 250 * kernel.Millisecond

// drainLimits holds, for each database that leaves, a time at which its leaving
// had not been acknowledged yet.
type drainLimits struct {
	began kernel.Micros // when this process started
	open  map[string]kernel.Micros
}

// update notes the databases that leave. Those that served in the state before
// were told to be serving by the answer to a poll that was sent at confirmed, so
// their leaving was acknowledged later than that. Of any other nothing is known.
func (l *drainLimits) update(before, now map[string]discovery.Database, confirmed kernel.Micros, bounds Bounds) {
	open := map[string]kernel.Micros{}
	for id, d := range now {
		if !d.Draining {
			continue
		}
		if at, known := l.open[id]; known {
			open[id] = at
			continue
		}
		open[id] = l.began + bounds.Contact - bounds.Drain
		if was, known := before[id]; known && !was.Draining {
			open[id] = max(open[id], confirmed)
		}
	}
	l.open = open
}

// passed tells whether nothing may be sent to the database any more.
func (l *drainLimits) passed(id string, now kernel.Micros, bounds Bounds) bool {
	at, leaves := l.open[id]
	return leaves && now >= at+bounds.Drain-drainMargin
}

// serves tells whether a client's request may be sent to a database now: it is
// known, and if it leaves, the time in which it may be sent any is not over. The
// caller holds the lock.
func (c *Subscriber) serves(id string) bool {
	_, known := c.databases[id]
	return known && !c.drains.passed(id, c.k.Clock.Now(), c.cfg.Bounds())
}

// MaySend fails with ErrLeft if no client's request may be sent to a database any
// more. It is asked right before the sending; of a primary Send asks it too.
func (c *Subscriber) MaySend(id string) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.serves(id) {
		c.k.Counters.Add("distribution.left_before_sending", 1)
		return ErrLeft
	}
	return nil
}

// keyMargin is kept to the time at which a key that was taken away must not be served
// any more.
const keyMargin = 250 * kernel.Millisecond

// KeysKnown tells whether this carrier knows which keys hold, as well as it must.
func (c *Subscriber) KeysKnown() bool {
	revoke := c.cfg.Bounds().Revoke
	if revoke == 0 {
		return true
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.k.Clock.Now() < c.confirmed+revoke-keyMargin
}
