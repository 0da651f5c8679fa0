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
	if err := c.awaitLeft(ctx, l); err != nil {
		return err
	}
	to, there := s.databases[l.To]
	err := errNotRunning
	was := c.acc.Soft()[l.To]
	if there {
		err = c.call(ctx, l)
	}
	if errors.Is(err, errNotRunning) {
		return c.save(ctx, l.Service, func(now *Lead) error {
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
	if to.ID == l.ID || to.Had(l.ID) {
		over-- // the primary of before needs no new term to lead again
	}
	if l.Term, err = c.awaitPromotion(ctx, l, to, was, over); err != nil {
		return err
	}
	old := l.ID
	err = c.save(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && now.To == l.To {
			*now = now.settled(l.To, l.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.k.Log.Info("lead moved", "service", l.Service, "from", old, "to", l.To, "term", l.Term)
	c.again("tend " + l.Service)
	others := s.replicas(l.Service, l.To)
	for _, d := range others {
		if d.ID == old {
			go c.ask(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	for _, d := range staying(others) {
		if d.ID != old {
			go c.ask(ctx, d, "CONTINUE")
		}
	}
	return nil
}

// awaitPromotion waits until the database leads a newer term. Its own beat,
// which a change of role sends at once, tells; if none comes it is asked.
func (c *Manager) awaitPromotion(ctx context.Context, l Lead, to discovery.Database, was discovery.Soft, over int64) (int64, error) {
	end := c.k.Clock.Now() + 3*kernel.Second
	for c.k.Clock.Now() < end && ctx.Err() == nil {
		changed := c.acc.Changed()
		if now := c.acc.Soft()[to.ID]; now.Role == "primary" && was.Role == "replica" {
			return over + 1, nil
		}
		t := time.NewTimer(c.cfg.BeatWait.Duration())
		select {
		case <-changed:
			t.Stop()
			continue
		case <-t.C:
		}
		if row, err := c.ask(ctx, to, "STAT"); err != nil {
			return 0, err
		} else if row.primary && row.term > over {
			c.watchPromoted(l, row)
			return row.term, nil
		}
	}
	return 0, errNotYet
}

// watchPromoted checks that a database that was promoted holds what the choice rested on.
func (c *Manager) watchPromoted(l Lead, row statRow) {
	floor, known := lineprotocol.ParsePosition(l.Floor)
	c.k.Invariants.Check(!known || !row.received.Less(floor), invariant.PromotedHoldsFloor,
		"%s leads %s at %s, chosen at %s", l.To, l.Service, row.received, l.Floor)
}

// tidy makes a replica of every database that leads without being the lead,
// and looks after those that leave.
func (c *Manager) tidy(ctx context.Context, s *snapshot, l Lead) {
	c.wake(ctx, s, l)
	ending := false
	for _, d := range s.replicas(l.Service, l.ID) {
		ending = ending || d.Gone || d.Draining
		if s.soft[d.ID].Role == "primary" && l.Term != 0 && !d.Gone && c.due("demote "+d.ID) {
			go c.ask(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	if ending && c.due("tend "+l.Service) {
		c.spawn(l.Service, func() error { return c.tend(ctx, s, l) })
	}
}

// pacedKept is for how long the time at which something was last tried is remembered.
// What it was of may be over; it is longer than any pace.
const pacedKept = 600 * kernel.Second

// dropPaced drops the times of what was last tried long ago. The caller holds c.mu.
func (c *Manager) dropPaced(now kernel.Micros) {
	maps.DeleteFunc(c.tried, func(_ string, at kernel.Micros) bool { return now-at > pacedKept })
}

// due paces what is repeated until it has worked.
func (c *Manager) due(what string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropPaced(now)
	if now-c.tried[what] < kernel.Second && c.tried[what] != 0 {
		return false
	}
	c.tried[what] = now
	return true
}

// again has what is paced done once more without waiting.
func (c *Manager) again(what string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.tried, what)
}

// since tells how long ago it was asked that first, if it is asked again and again.
func (c *Manager) since(what string) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	c.dropPaced(now)
	if c.tried[what] == 0 {
		c.tried[what] = now
	}
	return now - c.tried[what]
}

// call asks the platform, as the holder of the duty, only in the term in which
// the move was looked at, and well within the lease.
func (c *Manager) call(ctx context.Context, l Lead) error {
	epoch, left := controlstate.TermOf(ctx).Lease()
	wait := min(left-100*kernel.Millisecond, kernel.Second)
	if wait < 100*kernel.Millisecond {
		return errNotYet
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	c.k.Counters.Add("failover.platform_calls", 1)
	return c.platform.failover(ctx, epoch, l.Service, l.To)
}
