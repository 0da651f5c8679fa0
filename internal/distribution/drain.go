package distribution

import (
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

// Bounds are the limits, taken from the settings, on how long a proxy may act on what it knows.
type Bounds struct {
	// Drain is how long requests may still reach a database after its deregistration was acknowledged.
	Drain kernel.Micros
	// Contact is the uptime below which a process is exempt from the drain bound.
	Contact kernel.Micros
	// Revoke is how long a revoked API key may still be accepted, also by proxies that are cut
	// off from the control nodes; 0 if there is no such limit.
	Revoke kernel.Micros
}

// drainMargin is kept between the last send and the drain bound, because what is sent has to
// arrive within the bound.
const drainMargin = 250 * kernel.Millisecond

// drainTracker holds, for each draining database, a time at which its deregistration had not
// been acknowledged yet.
type drainTracker struct {
	startedAt        kernel.Micros            // when this process started
	unacknowledgedAt map[string]kernel.Micros // by database
}

// update takes in the draining databases of a new state. A database that was not draining in the
// previous state was reported as serving by the response to the poll sent at confirmed, so its
// deregistration was acknowledged later than that. For any other draining database nothing is
// known, and only the start of this process bounds the time.
func (l *drainTracker) update(previous, current map[string]discovery.Database, confirmed kernel.Micros, bounds Bounds) {
	draining := map[string]kernel.Micros{}
	for id, d := range current {
		if !d.Draining {
			continue
		}
		if at, known := l.unacknowledgedAt[id]; known {
			draining[id] = at
			continue
		}
		draining[id] = l.startedAt + bounds.Contact - bounds.Drain
		if old, known := previous[id]; known && !old.Draining {
			draining[id] = max(draining[id], confirmed)
		}
	}
	l.unacknowledgedAt = draining
}

// expired reports whether nothing may be sent to the database any more.
func (l *drainTracker) expired(id string, now kernel.Micros, bounds Bounds) bool {
	at, draining := l.unacknowledgedAt[id]
	return draining && now >= at+bounds.Drain-drainMargin
}

// acceptsRequests reports whether a client's request may be sent to a database now: the database
// is known and, if it is draining, its drain period has not ended. The caller holds the lock.
func (c *Subscriber) acceptsRequests(id string) bool {
	_, known := c.databases[id]
	return known && !c.drains.expired(id, c.k.Clock.Now(), c.cfg.Bounds())
}

// MaySend fails if client requests may no longer be sent to a database. It is to be called right
// before sending; for a primary, Send makes the same check.
func (c *Subscriber) MaySend(id string) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if !c.acceptsRequests(id) {
		c.k.Counters.Add("distribution.left_before_sending", 1)
		return ErrDatabaseUnavailable
	}
	return nil
}

// revokeMargin is kept before the time at which a revoked API key must no longer be accepted.
const revokeMargin = 250 * kernel.Millisecond

// KeysKnown reports whether this proxy's knowledge of the valid API keys is recent enough to
// accept keys.
func (c *Subscriber) KeysKnown() bool {
	revoke := c.cfg.Bounds().Revoke
	if revoke == 0 {
		return true
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.k.Clock.Now() < c.confirmed+revoke-revokeMargin
}
