package catalogue

import (
	"maps"
	"slices"
	"strings"
)

// Index is a configuration as desks look things up in it: by database name,
// without the names that only people read.
type Index struct {
	Rev      int64
	Limits   Limits
	services map[string]*Service
	routes   map[string]*Route // by key
	hosts    map[string]*Route
}

// Alike are routes that differ by their keys and services only.
type Alike struct {
	Route
	Of map[string][]string `json:"of"` // keys, by service
}

// AlikeServices are services that differ by their names only.
type AlikeServices struct {
	Service
	Names []string `json:"names"`
}

// Step leads from one configuration to a later one. Most changes touch a few
// of many routes, and most routes are like others: a step is far smaller than
// the configuration.
type Step struct {
	Rev      int64           `json:"rev"`
	Alike    []Alike         `json:"alike,omitempty"`    // routes that are new or changed
	Dropped  []string        `json:"dropped,omitempty"`  // keys of routes that are no more
	Services []AlikeServices `json:"services,omitempty"` // all, if any changed
	Limits   Limits          `json:"limits"`
}

// key is what tells a route from others.
func (r Route) key() string {
	if r.Prefix == "/" {
		return r.Host
	}
	return r.Host + " " + r.Prefix
}

// bare is the route without its key and name.
func (r Route) bare() Route {
	r.Name, r.Host, r.Prefix = "", "", ""
	return r
}

// History keeps the newest configuration and since which sequence each of its
// routes is as it is.
type History struct {
	conf   *Configuration
	routes map[string]Route // bare, by key
	at     map[string]int64 // seq at which a route last changed, or went
	served int64            // seq at which the services last changed
}

// Turn takes the configuration of a sequence in.
func (h *History) Turn(conf *Configuration, seq int64) {
	if h.conf == nil || !slices.Equal(h.conf.Services, conf.Services) {
		h.served = seq
	}
	next := make(map[string]Route, len(conf.Routes))
	if h.at == nil {
		h.at = map[string]int64{}
	}
	for _, r := range conf.Routes {
		key, bare := r.key(), r.bare()
		next[key] = bare
		if old, ok := h.routes[key]; !ok || old != bare {
			h.at[key] = seq
		}
	}
	for key := range h.routes {
		if _, still := next[key]; !still {
			h.at[key] = seq
		}
	}
	h.conf, h.routes = conf, next
}

// Since returns the step for whoever has the configuration of seq; of one
// that has none, or is not known, everything is told.
func (h *History) Since(seq int64, whole bool) *Step {
	s := &Step{Rev: h.conf.Rev, Limits: h.conf.Limits}
	if whole || h.served > seq {
		s.Services = alikeServices(h.conf.Services)
	}
	groups := map[Route]map[string][]string{}
	for key, bare := range h.routes {
		if whole || h.at[key] > seq {
			service := bare.Service
			bare.Service = ""
			if groups[bare] == nil {
				groups[bare] = map[string][]string{}
			}
			groups[bare][service] = append(groups[bare][service], key)
		}
	}
	for bare, of := range groups {
		for _, keys := range of {
			slices.Sort(keys)
		}
		s.Alike = append(s.Alike, Alike{bare, of})
	}
	if !whole {
		for key, at := range h.at {
			if _, there := h.routes[key]; !there && at > seq {
				s.Dropped = append(s.Dropped, key)
			}
		}
	}
	return s
}

func alikeServices(services []Service) []AlikeServices {
	names := map[Service][]string{}
	for _, s := range services {
		name := s.Name
		s.Name = ""
		names[s] = append(names[s], name)
	}
	out := make([]AlikeServices, 0, len(names))
	for s, n := range names {
		out = append(out, AlikeServices{s, n})
	}
	return out
}

// Next returns the index after a step; x, which may be nil, stays as it is.
func (x *Index) Next(s *Step, whole bool) *Index {
	n := &Index{Rev: s.Rev, Limits: s.Limits, services: map[string]*Service{}, routes: map[string]*Route{}, hosts: map[string]*Route{}}
	if x != nil && !whole {
		maps.Copy(n.routes, x.routes)
		maps.Copy(n.services, x.services)
	}
	if s.Services != nil {
		clear(n.services)
		for _, a := range s.Services {
			for _, name := range a.Names {
				svc := a.Service
				svc.Name = name
				n.services[name] = &svc
			}
		}
	}
	for _, a := range s.Alike {
		for service, keys := range a.Of {
			for _, key := range keys {
				r := a.Route
				r.Service, r.Prefix = service, "/"
				if host, prefix, ok := strings.Cut(key, " "); ok {
					r.Host, r.Prefix = host, prefix
				} else {
					r.Host = key
				}
				n.routes[key] = &r
			}
		}
	}
	for _, key := range s.Dropped {
		delete(n.routes, key)
	}
	for _, r := range n.routes {
		if o := n.hosts[r.Host]; o == nil || r.Prefix < o.Prefix {
			n.hosts[r.Host] = r
		}
	}
	return n
}

// Find returns the route and the service of a database name; of several
// routes of one name, that of the least prefix.
func (x *Index) Find(host string) (*Route, *Service) {
	if x == nil {
		return nil, nil
	}
	if r := x.hosts[host]; r != nil {
		if s := x.services[r.Service]; s != nil {
			return r, s
		}
	}
	return nil, nil
}

// Service returns a service, nil if it is not known.
func (x *Index) Service(name string) *Service {
	if x == nil {
		return nil
	}
	return x.services[name]
}
