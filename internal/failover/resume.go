package failover

import (
	"context"

	"indigowalk/internal/discovery"
)

// resumeState holds which replicas of a service have acknowledged a CONTINUE since the last
// failover, or since this node became the primary of the control state.
type resumeState struct {
	epoch, failoverID int64
	acknowledged      map[string]bool // by ID of the replica
}

// resumeReplicas sends CONTINUE to every replica that is not leaving, and repeats it until the
// replica has acknowledged one. The CONTINUE that is sent at the end of a failover may be lost with
// its connection, or with the process that was to send it, and a replica that remains paused never
// receives a commit again. A repeated or late CONTINUE is harmless: once a failover has begun,
// commits of the old primary no longer count as acknowledged (see package distribution).
func (m *Manager) resumeReplicas(ctx context.Context, s *snapshot, l Leader) {
	if l.FailoverID == 0 {
		return // no replica was ever paused
	}
	epoch, _ := m.controlState.Lease()
	m.mu.Lock()
	state := m.resumed[l.Service]
	if state == nil || state.epoch != epoch || state.failoverID != l.FailoverID {
		state = &resumeState{epoch, l.FailoverID, map[string]bool{}}
		m.resumed[l.Service] = state
	}
	var pending []discovery.Database
	for _, d := range s.replicas(l.Service, l.ID) {
		if !d.Draining && !d.Gone && !state.acknowledged[d.ID] {
			pending = append(pending, d)
		}
	}
	m.mu.Unlock()
	for _, d := range pending {
		if m.health.Up(d.ID) && m.attemptDue("resume "+d.ID) {
			go func() {
				if row, err := m.execute(ctx, d, "CONTINUE"); err == nil && row.pausedTerm == 0 {
					m.mu.Lock()
					defer m.mu.Unlock()
					state.acknowledged[d.ID] = true
				}
			}()
		}
	}
}
