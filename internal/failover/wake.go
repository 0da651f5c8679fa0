package failover

import (
	"context"

	"indigowalk/internal/discovery"
)

// woken is which replicas of a service have answered CONTINUE since its last
// move, or since this process took the control state over.
type woken struct {
	epoch, turn int64
	answered    map[string]bool // by database
}

// wake says CONTINUE to every replica that stays until it has answered once: what
// was said right after a move, or when it was called off, may have got lost with
// its connection or with the process that was to say it, and a replica that stays
// paused receives nothing for ever. Saying it again does no harm, nor does a late
// one: once a move has begun, no commit of the old primary counts (distribution,
// Subscriber.Covers).
func (c *Manager) wake(ctx context.Context, s *snapshot, l Lead) {
	if l.Turn == 0 {
		return // nobody was ever paused
	}
	epoch, _ := c.v.Lease()
	c.mu.Lock()
	w := c.woken[l.Service]
	if w == nil || w.epoch != epoch || w.turn != l.Turn {
		w = &woken{epoch, l.Turn, map[string]bool{}}
		c.woken[l.Service] = w
	}
	var asleep []discovery.Database
	for _, d := range s.replicas(l.Service, l.ID) {
		if !d.Draining && !d.Gone && !w.answered[d.ID] {
			asleep = append(asleep, d)
		}
	}
	c.mu.Unlock()
	for _, d := range asleep {
		if c.health.Up(d.ID) && c.due("wake "+d.ID) {
			go func() {
				if row, err := c.ask(ctx, d, "CONTINUE"); err == nil && row.held == 0 {
					c.mu.Lock()
					defer c.mu.Unlock()
					w.answered[d.ID] = true
				}
			}()
		}
	}
}
