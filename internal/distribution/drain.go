package distribution

import (
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

// Bounds are the limits, taken from the settings, on how long a proxy may act on control state
// that may be out of date.
type Bounds struct {
	// Drain is how long requests may still reach a database after its deregistration was acknowledged.
	Drain kernel.Micros
	// StartupGrace is how long after its start a process is exempt from the drain bound.
	StartupGrace kernel.Micros
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

// update applies the draining databases of a new state. A database that was not draining in the
// previous state was reported as not draining by the response to the poll sent at confirmedAt, so
// its deregistration was acknowledged later than that. For any other draining database the time
// of the deregistration is not known, and only the start of this process bounds it.
func (t *drainTracker) update(previous, current map[string]discovery.Database, confirmedAt kernel.Micros, bounds Bounds) {
	draining := map[string]kernel.Micros{}
	for id, d := range current {
		if !d.Draining {
			continue
		}
		if at, known := t.unacknowledgedAt[id]; known {
			draining[id] = at
			continue
		}
		draining[id] = t.startedAt + bounds.StartupGrace - bounds.Drain
		if old, known := previous[id]; known && !old.Draining {
			draining[id] = max(draining[id], confirmedAt)
		}
	}
	t.unacknowledgedAt = draining
}

// expired reports whether nothing may be sent to the database any more.
func (t *drainTracker) expired(id string, now kernel.Micros, bounds Bounds) bool {
	at, draining := t.unacknowledgedAt[id]
	return draining && now >= at+bounds.Drain-drainMargin
}

// acceptsRequests reports whether a client's request may be sent to a database now: the database
// is known and, if it is draining, its drain period has not ended. The caller holds the lock.
func (s *Subscriber) acceptsRequests(id string) bool {
	_, known := s.databases[id]
	return known && !s.drains.expired(id, s.k.Clock.Now(), s.cfg.Bounds())
}

// MaySend fails if client requests may no longer be sent to a database. It is to be called right
// before sending; for a primary, Send makes the same check.
func (s *Subscriber) MaySend(id string) error {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if !s.acceptsRequests(id) {
		s.k.Counters.Add("distribution.left_before_sending", 1)
		return ErrDatabaseUnavailable
	}
	return nil
}

// revokeMargin is kept before the time at which a revoked API key must no longer be accepted.
const revokeMargin = 250 * kernel.Millisecond

// APIKeysCurrent reports whether this proxy's knowledge of the valid API keys is recent enough
// to accept keys.
func (s *Subscriber) APIKeysCurrent() bool {
	revoke := s.cfg.Bounds().Revoke
	if revoke == 0 {
		return true
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.k.Clock.Now() < s.confirmedAt+revoke-revokeMargin
}
