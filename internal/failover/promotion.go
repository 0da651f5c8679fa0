package failover

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// promote makes the platform promote the chosen database, waits until it leads, and records it as
// the leader.
func (c *Manager) promote(ctx context.Context, s *snapshot, l Leader) error {
	if err := c.awaitReadersLeft(ctx, l); err != nil {
		return err
	}
	to, there := s.databases[l.To]
	err := errNotRunning
	before := c.registry.Observed()[l.To]
	if there {
		err = c.callPlatform(ctx, l)
	}
	if errors.Is(err, errNotRunning) {
		return c.updateLeader(ctx, l.Service, func(current *Leader) error {
			if current.FailoverID == l.FailoverID && current.To == l.To {
				current.To = ""
			}
			return nil
		})
	}
	if err != nil {
		return err
	}
	supersededTerm := l.Term
	if to.ID == l.ID || to.HadID(l.ID) {
		supersededTerm-- // the previous primary can lead again without a new term
	}
	if l.Term, err = c.awaitPromotion(ctx, l, to, before, supersededTerm); err != nil {
		return err
	}
	old := l.ID
	err = c.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && current.To == l.To {
			*current = current.completed(l.To, l.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.k.Log.Info("lead moved", "service", l.Service, "from", old, "to", l.To, "term", l.Term)
	c.clearAttempt("leaving " + l.Service)
	others := s.replicas(l.Service, l.To)
	for _, d := range others {
		if d.ID == old {
			go c.execute(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	for _, d := range remaining(others) {
		if d.ID != old {
			go c.execute(ctx, d, "CONTINUE")
		}
	}
	return nil
}

// awaitPromotion waits until the database leads a newer term and returns that term. The database
// reports this by its own heartbeat, which it sends at once when its role changes; if none
// arrives it is queried.
func (c *Manager) awaitPromotion(ctx context.Context, l Leader, to discovery.Database, before discovery.ObservedState, supersededTerm int64) (int64, error) {
	end := c.k.Clock.Now() + 3*kernel.Second
	for c.k.Clock.Now() < end && ctx.Err() == nil {
		changed := c.registry.Changed()
		if now := c.registry.Observed()[to.ID]; now.Role == "primary" && before.Role == "replica" {
			return supersededTerm + 1, nil
		}
		t := time.NewTimer(c.cfg.HeartbeatWait.Duration())
		select {
		case <-changed:
			t.Stop()
			continue
		case <-t.C:
		}
		if row, err := c.execute(ctx, to, "STAT"); err != nil {
			return 0, err
		} else if row.primary && row.term > supersededTerm {
			c.checkPromotedPosition(l, row)
			return row.term, nil
		}
	}
	return 0, errRetryLater
}

// checkPromotedPosition checks that a promoted database holds what the choice was based on.
func (c *Manager) checkPromotedPosition(l Leader, row statRow) {
	floor, known := lineprotocol.ParsePosition(l.ChosenPosition)
	c.k.Invariants.Check(!known || !row.received.Less(floor), invariant.PromotedHoldsFloor,
		"%s leads %s at position %s but was chosen at position %s", l.To, l.Service, row.received, l.ChosenPosition)
}

// reconcileReplicas resumes paused replicas, makes every database step down that acts as the
// primary without being the leader, and handles those that are leaving.
func (c *Manager) reconcileReplicas(ctx context.Context, s *snapshot, l Leader) {
	c.resumeReplicas(ctx, s, l)
	leaving := false
	for _, d := range s.replicas(l.Service, l.ID) {
		leaving = leaving || d.Gone || d.Draining
		if s.observed[d.ID].Role == "primary" && l.Term != 0 && !d.Gone && c.attemptDue("demote "+d.ID) {
			go c.execute(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	if leaving && c.attemptDue("leaving "+l.Service) {
		c.runExclusive(l.Service, func() error { return c.reconcileLeaving(ctx, s, l) })
	}
}

// attemptRetention is how long the time of an attempt is kept. It is longer than any retry
// interval; what was attempted may be over by then.
const attemptRetention = 600 * kernel.Second

// dropOldAttempts drops the times of attempts made long ago. The caller holds c.mu.
func (c *Manager) dropOldAttempts(now kernel.Micros) {
	maps.DeleteFunc(c.attempts, func(_ string, at kernel.Micros) bool { return now-at > attemptRetention })
}

// attemptDue limits an action that is repeated until it succeeds to once a second; it reports
// whether the action is due, and if so records the attempt.
func (c *Manager) attemptDue(action string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropOldAttempts(now)
	if now-c.attempts[action] < kernel.Second && c.attempts[action] != 0 {
		return false
	}
	c.attempts[action] = now
	return true
}

// clearAttempt makes a rate-limited action due at once.
func (c *Manager) clearAttempt(action string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, action)
}

// elapsedSinceFirst returns the time since it was first called with this key, provided that calls
// are repeated within attemptRetention.
func (c *Manager) elapsedSinceFirst(action string) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropOldAttempts(now)
	if c.attempts[action] == 0 {
		c.attempts[action] = now
	}
	return now - c.attempts[action]
}

// callPlatform calls the platform as the duty holder, only in the term in which the failover was
// examined, and well within the lease.
func (c *Manager) callPlatform(ctx context.Context, l Leader) error {
	epoch, left := controlstate.TermOf(ctx).Lease()
	wait := min(left-100*kernel.Millisecond, kernel.Second)
	if wait < 100*kernel.Millisecond {
		return errRetryLater
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	c.k.Counters.Add("failover.platform_calls", 1)
	return c.platform.failover(ctx, epoch, l.Service, l.To)
}
