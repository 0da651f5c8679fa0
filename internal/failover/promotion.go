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

// promote has the platform make the chosen database the primary, waits until
// it leads, and makes that known.
func (c *Manager) promote(ctx context.Context, s *snapshot, l Lead) error {
	if err := c.awaitReadersLeft(ctx, l); err != nil {
		return err
	}
	to, there := s.databases[l.To]
	err := errNotRunning
	was := c.registry.Soft()[l.To]
	if there {
		err = c.callPlatform(ctx, l)
	}
	if errors.Is(err, errNotRunning) {
		return c.updateLeader(ctx, l.Service, func(now *Lead) error {
			if now.Turn == l.Turn && now.To == l.To {
				now.To = ""
			}
			return nil
		})
	}
	if err != nil {
		return err
	}
	over := l.Term
	if to.ID == l.ID || to.HadID(l.ID) {
		over-- // the primary of before needs no new term to lead again
	}
	if l.Term, err = c.awaitPromotion(ctx, l, to, was, over); err != nil {
		return err
	}
	old := l.ID
	err = c.updateLeader(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && now.To == l.To {
			*now = now.completed(l.To, l.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.k.Log.Info("lead moved", "service", l.Service, "from", old, "to", l.To, "term", l.Term)
	c.clearAttempt("tend " + l.Service)
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

// awaitPromotion waits until the database leads a newer term. Its own beat,
// which a change of role sends at once, tells; if none comes it is asked.
func (c *Manager) awaitPromotion(ctx context.Context, l Lead, to discovery.Database, was discovery.ObservedState, over int64) (int64, error) {
	end := c.k.Clock.Now() + 3*kernel.Second
	for c.k.Clock.Now() < end && ctx.Err() == nil {
		changed := c.registry.Changed()
		if now := c.registry.Soft()[to.ID]; now.Role == "primary" && was.Role == "replica" {
			return over + 1, nil
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
		} else if row.primary && row.term > over {
			c.checkPromotedPosition(l, row)
			return row.term, nil
		}
	}
	return 0, errRetryLater
}

// checkPromotedPosition checks that a database that was promoted holds what the choice rested on.
func (c *Manager) checkPromotedPosition(l Lead, row statRow) {
	floor, known := lineprotocol.ParsePosition(l.Floor)
	c.k.Invariants.Check(!known || !row.received.Less(floor), invariant.PromotedHoldsFloor,
		"%s leads %s at %s, chosen at %s", l.To, l.Service, row.received, l.Floor)
}

// reconcileReplicas makes a replica of every database that leads without being the lead,
// and looks after those that leave.
func (c *Manager) reconcileReplicas(ctx context.Context, s *snapshot, l Lead) {
	c.resumeReplicas(ctx, s, l)
	ending := false
	for _, d := range s.replicas(l.Service, l.ID) {
		ending = ending || d.Gone || d.Draining
		if s.observed[d.ID].Role == "primary" && l.Term != 0 && !d.Gone && c.attemptDue("demote "+d.ID) {
			go c.execute(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	if ending && c.attemptDue("tend "+l.Service) {
		c.runExclusive(l.Service, func() error { return c.reconcileLeaving(ctx, s, l) })
	}
}

// attemptRetention is for how long the time at which something was last tried is remembered.
// What it was of may be over; it is longer than any pace.
const attemptRetention = 600 * kernel.Second

// dropOldAttempts drops the times of what was last tried long ago. The caller holds c.mu.
func (c *Manager) dropOldAttempts(now kernel.Micros) {
	maps.DeleteFunc(c.attempts, func(_ string, at kernel.Micros) bool { return now-at > attemptRetention })
}

// attemptDue paces what is repeated until it has worked.
func (c *Manager) attemptDue(what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropOldAttempts(now)
	if now-c.attempts[what] < kernel.Second && c.attempts[what] != 0 {
		return false
	}
	c.attempts[what] = now
	return true
}

// clearAttempt has what is paced done once more without waiting.
func (c *Manager) clearAttempt(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.attempts, what)
}

// elapsedSinceFirst tells how long ago it was asked that first, if it is asked again and again.
func (c *Manager) elapsedSinceFirst(what string) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropOldAttempts(now)
	if c.attempts[what] == 0 {
		c.attempts[what] = now
	}
	return now - c.attempts[what]
}

// callPlatform asks the platform, as the holder of the duty, only in the term in which
// the move was looked at, and well within the lease.
func (c *Manager) callPlatform(ctx context.Context, l Lead) error {
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
