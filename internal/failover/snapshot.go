package failover

import (
	"bytes"

	"indigowalk/internal/discovery"
	"indigowalk/internal/routeconfig"
)

// snapshot is what one look at the control state shows.
type snapshot struct {
	databases map[string]discovery.Database
	known     map[string]bool // databases by id
	services  map[string][]discovery.Database
	leads     map[string]Lead
	conf      *routeconfig.Configuration
	soft      map[string]discovery.Soft
	poolers   map[string]int64
}

// look decodes the control state, once for each change of it.
func (c *Manager) look() (*snapshot, error) {
	state, err := c.v.Durable()
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil || c.seenSeq != state.Seq || c.seenEpoch != state.Epoch {
		s := &snapshot{services: map[string][]discovery.Database{}, known: map[string]bool{}}
		entries := state.Entries
		if s.databases, err = c.databases.Of(entries); err != nil {
			return nil, err
		}
		for _, d := range s.databases {
			s.known[d.ID] = true
			s.services[d.Service] = append(s.services[d.Service], d)
		}
		if s.leads, err = c.leads.Of(entries); err != nil {
			return nil, err
		}
		if s.poolers, err = c.poolers.Of(entries); err != nil {
			return nil, err
		}
		if c.seen != nil && bytes.Equal(c.confRaw, entries[routeconfig.Key]) {
			s.conf = c.seen.conf
		} else if _, s.conf, err = routeconfig.Decode(entries[routeconfig.Key]); err != nil {
			return nil, err
		}
		c.seen, c.seenSeq, c.seenEpoch, c.confRaw = s, state.Seq, state.Epoch, entries[routeconfig.Key]
	}
	s := *c.seen
	s.soft = c.acc.Soft()
	return &s, nil
}

// replicas lists the databases of a service besides one.
func (s *snapshot) replicas(service, besides string) []discovery.Database {
	var out []discovery.Database
	for _, d := range s.services[service] {
		if d.ID != besides {
			out = append(out, d)
		}
	}
	return out
}

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
