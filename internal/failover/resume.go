package failover

import (
	"context"

	"indigowalk/internal/discovery"
)

// resumeState tells which replicas of a service have acknowledged CONTINUE since its last
// failover, or since this process became the primary of the control state.
type resumeState struct {
	epoch, failoverID int64
	acknowledged      map[string]bool // by database
}

// resumeReplicas sends CONTINUE to every replica that is not leaving until it has acknowledged
// one: the CONTINUE sent right after a failover, or when that was cancelled, may have been lost
// with its connection or with the process that was to send it, and a replica that stays paused
// never receives anything. Repeating it does no harm, nor does a late one: once a failover has
// begun, no commit of the old primary counts (see package distribution).
func (c *Manager) resumeReplicas(ctx context.Context, s *snapshot, l Leader) {
	if l.FailoverID == 0 {
		return // no replica was ever paused
	}
	epoch, _ := c.state.Lease()
	c.mu.Lock()
	w := c.resumed[l.Service]
	if w == nil || w.epoch != epoch || w.failoverID != l.FailoverID {
		w = &resumeState{epoch, l.FailoverID, map[string]bool{}}
		c.resumed[l.Service] = w
	}
	var pending []discovery.Database
	for _, d := range s.replicas(l.Service, l.ID) {
		if !d.Draining && !d.Gone && !w.acknowledged[d.ID] {
			pending = append(pending, d)
		}
	}
	c.mu.Unlock()
	for _, d := range pending {
		if c.health.Up(d.ID) && c.attemptDue("resume "+d.ID) {
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
