package failover

import (
	"context"
	"encoding/json"
)

const (
	// removalLeases is the number of lease durations without a poll after which the registration of
	// a proxy is removed.
	removalLeases = 24
	// Keys for runExclusive, which no service name can equal.
	proxyRemovalKey    = "\x00readers"
	databaseRemovalKey = "\x00databases"
)

// removeExpiredProxies removes the registrations of proxies that no longer poll. One that polls
// again later is registered again before it is granted a lease.
func (m *Manager) removeExpiredProxies(ctx context.Context) {
	expired := m.readLeases.MarkExpired(m.k.Clock.Now(), removalLeases*m.cfg.ReadLease)
	if len(expired) == 0 {
		return
	}
	m.runExclusive(proxyRemovalKey, func() error {
		err := m.controlState.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
			return UnregistrationChanges(expired), nil
		})
		if err != nil {
			return err
		}
		m.readLeases.RemoveExpired(expired)
		m.k.Counters.Add("failover.carriers_forgotten", int64(len(expired)))
		m.k.Log.Info("removed the registrations of proxies that no longer poll", "names", expired)
		return nil
	})
}

// removeDatabases removes databases that are gone. It is used where databases have no leader, so
// that they held no commits that the others lack.
func (m *Manager) removeDatabases(ctx context.Context, s *snapshot) {
	var gone []string
	for id, d := range s.databases {
		if d.Gone {
			gone = append(gone, id)
		}
	}
	if len(gone) > 0 && m.attemptDue(databaseRemovalKey) {
		m.runExclusive(databaseRemovalKey, func() error { return m.registry.Remove(ctx, gone...) })
	}
}
