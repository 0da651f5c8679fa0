package failover

import (
	"context"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

// recordEnded records the databases of a service as gone that have deregistered and have ended since.
// Until then they receive commits, and are treated as draining ones.
func (m *Manager) recordEnded(ctx context.Context, s *snapshot, svc string) {
	for _, d := range s.services[svc] {
		if d.Deregistered && !d.Gone && m.attemptDue("probe "+d.ID) {
			go m.probeDeregistered(ctx, d)
		}
	}
}

// probeDeregistered checks whether a deregistered database still responds, and records it as gone
// once it has been silent for long enough.
func (m *Manager) probeDeregistered(ctx context.Context, d discovery.Database) {
	silent := "silent " + d.ID
	if conn, err := m.open(ctx, d); err == nil {
		conn.Close()
		m.clearAttempt(silent)
		return
	}
	if m.elapsedSinceFirst(silent) <= m.endTimeout(d) {
		return
	}
	err := m.updateService(ctx, d.Service, func(_ *Leader, databases map[string]discovery.Database) error {
		if current, ok := databases[d.ID]; ok {
			current.Gone = true
			databases[d.ID] = current
		}
		return nil
	})
	if err == nil {
		m.clearAttempt(silent)
		m.k.Log.Info("a deregistered database has ended", "service", d.Service, "id", d.ID)
	}
}

// endTimeout returns how long a deregistered database must be silent until it is considered ended. One
// without a commit limit may still receive commits while this node cannot reach it.
func (m *Manager) endTimeout(d discovery.Database) kernel.Micros {
	if d.CommitLimit != "" {
		return shutdownGrace
	}
	return m.cfg.DrainTime
}
