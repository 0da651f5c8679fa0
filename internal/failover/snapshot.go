package failover

import (
	"bytes"

	"indigowalk/internal/discovery"
	"indigowalk/internal/routeconfig"
)

// snapshot is a decoded state of the control state, together with what the databases last
// reported.
type snapshot struct {
	databases map[string]discovery.Database
	known     map[string]bool // databases by id
	services  map[string][]discovery.Database
	leaders   map[string]Leader
	conf      *routeconfig.Configuration
	observed  map[string]discovery.ObservedState
	poolers   map[string]int64
}

// loadSnapshot returns the current snapshot. The control state is decoded once per change.
func (c *Manager) loadSnapshot() (*snapshot, error) {
	state, err := c.state.Durable()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached == nil || c.cachedSeq != state.Seq || c.cachedEpoch != state.Epoch {
		s := &snapshot{services: map[string][]discovery.Database{}, known: map[string]bool{}}
		entries := state.Entries
		if s.databases, err = c.databases.Decode(entries); err != nil {
			return nil, err
		}
		for _, d := range s.databases {
			s.known[d.ID] = true
			s.services[d.Service] = append(s.services[d.Service], d)
		}
		if s.leaders, err = c.leaders.Decode(entries); err != nil {
			return nil, err
		}
		if s.poolers, err = c.poolers.Decode(entries); err != nil {
			return nil, err
		}
		if c.cached != nil && bytes.Equal(c.cachedConfig, entries[routeconfig.Key]) {
			s.conf = c.cached.conf
		} else if _, s.conf, err = routeconfig.Decode(entries[routeconfig.Key]); err != nil {
			return nil, err
		}
		c.cached, c.cachedSeq, c.cachedEpoch, c.cachedConfig = s, state.Seq, state.Epoch, entries[routeconfig.Key]
	}
	s := *c.cached
	s.observed = c.registry.Observed()
	return &s, nil
}

// replicas lists the databases of a service except one.
func (s *snapshot) replicas(service, except string) []discovery.Database {
	var out []discovery.Database
	for _, d := range s.services[service] {
		if d.ID != except {
			out = append(out, d)
		}
	}
	return out
}

// syncReplicas returns how many replicas must have a commit before it is acknowledged; 1 if the
// service is not configured.
func (s *snapshot) syncReplicas(service string) int {
	if s.conf != nil {
		for _, svc := range s.conf.Services {
			if svc.Name == service {
				return svc.SyncReplicas
			}
		}
	}
	return 1
}
