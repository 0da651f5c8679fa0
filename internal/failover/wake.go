package failover

import (
	"context"

	"indigowalk/internal/discovery"
)

// resumeState is which replicas of a service have answered CONTINUE since its last
// move, or since this process took the control state over.
type resumeState struct {
	epoch, failoverID int64
	acknowledged    map[string]bool // by database
}

// resumeReplicas says CONTINUE to every replica that stays until it has answered once: what
// was said right after a move, or when it was called off, may have got lost with
// its connection or with the process that was to say it, and a replica that stays
// paused receives nothing for ever. Saying it again does no harm, nor does a late
// one: once a move has begun, no commit of the old primary counts (distribution,
// Subscriber.Covers).
func (c *Manager) resumeReplicas(ctx context.Context, s *snapshot, l Lead) {
	if l.Turn == 0 {
		return // nobody was ever paused
	}
	epoch, _ := c.state.Lease()
	c.mu.Lock()
	w := c.resumed[l.Service]
	if w == nil || w.epoch != epoch || w.failoverID != l.Turn {
		w = &resumeState{epoch, l.Turn, map[string]bool{}}
		c.resumed[l.Service] = w
	}
	var asleep []discovery.Database
	for _, d := range s.replicas(l.Service, l.ID) {
		if !d.Draining && !d.Gone && !w.acknowledged[d.ID] {
			asleep = append(asleep, d)
		}
	}
	c.mu.Unlock()
	for _, d := range asleep {
		if c.health.Up(d.ID) && c.attemptDue("wake "+d.ID) {
			go func() {
				if row, err := c.execute(ctx, d, "CONTINUE"); err == nil && row.pausedTerm == 0 {
					c.mu.Lock()
					defer c.mu.Unlock()
					w.acknowledged[d.ID] = true
				}
			}()
		}
	}
}
