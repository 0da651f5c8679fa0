package failover

import (
	"bytes"

	"indigowalk/internal/discovery"
	"indigowalk/internal/routeconfig"
)

// snapshot is the decoded control state, together with what the databases last reported.
type snapshot struct {
	databases   map[string]discovery.Database // by ID
	databaseIDs map[string]bool
	services    map[string][]discovery.Database // by service
	leaders     map[string]Leader               // by service
	config      *routeconfig.Configuration
	observed    map[string]discovery.ObservedState // by database ID
	poolers     map[string]int64                   // incarnations of the registered poolers
}

// loadSnapshot returns the current snapshot. The control state is decoded only when it has changed.
func (m *Manager) loadSnapshot() (*snapshot, error) {
	durable, err := m.controlState.DurableState()
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cached == nil || m.cachedSeq != durable.Seq || m.cachedEpoch != durable.Epoch {
		s := &snapshot{services: map[string][]discovery.Database{}, databaseIDs: map[string]bool{}}
		entries := durable.Entries
		if s.databases, err = m.databaseDecoder.Decode(entries); err != nil {
			return nil, err
		}
		for _, d := range s.databases {
			s.databaseIDs[d.ID] = true
			s.services[d.Service] = append(s.services[d.Service], d)
		}
		if s.leaders, err = m.leaderDecoder.Decode(entries); err != nil {
			return nil, err
		}
		if s.poolers, err = m.poolerDecoder.Decode(entries); err != nil {
			return nil, err
		}
		if m.cached != nil && bytes.Equal(m.cachedConfig, entries[routeconfig.Key]) {
			s.config = m.cached.config
		} else if _, s.config, err = routeconfig.Decode(entries[routeconfig.Key]); err != nil {
			return nil, err
		}
		m.cached, m.cachedSeq, m.cachedEpoch, m.cachedConfig = s, durable.Seq, durable.Epoch, entries[routeconfig.Key]
	}
	s := *m.cached
	s.observed = m.registry.Observed()
	return &s, nil
}

// replicas lists the databases of a service, except the one with the given ID.
func (s *snapshot) replicas(service, except string) []discovery.Database {
	var out []discovery.Database
	for _, d := range s.services[service] {
		if d.ID != except {
			out = append(out, d)
		}
	}
	return out
}

// syncReplicas returns how many replicas must have received a commit before it is acknowledged; 1
// if the service is not configured.
func (s *snapshot) syncReplicas(service string) int {
	if s.config != nil {
		for _, configured := range s.config.Services {
			if configured.Name == service {
				return configured.SyncReplicas
			}
		}
	}
	return 1
}
