package routeconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Index is a configuration as poolers look things up in it: by database name,
// without the names that only people read.
type Index struct {
	Rev      int64
	Limits   Limits
	services map[string]*Service
	routes   map[string]*Route   // by key
	hosts    map[string][]*Route // the longest prefix first
	tenants  tenantIndex
}

// Alike are routes that differ by their keys and by where they lead only.
type Alike struct {
	Manner
	Of map[string][]string `json:"of"` // keys, by where they lead
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
	All      bool            `json:"all,omitempty"`      // these are all routes and services there are
	Alike    []Alike         `json:"alike,omitempty"`    // routes that are new or changed
	Dropped  []string        `json:"dropped,omitempty"`  // keys of routes that are no more
	Services []AlikeServices `json:"services,omitempty"` // all, if any changed
	Limits   Limits          `json:"limits"`
	// Tenants are those that are new or changed, GoneTenants the names of those that
	// are no more.
	Tenants     []TenantStep `json:"tenants,omitempty"`
	GoneTenants []string     `json:"gone_tenants,omitempty"`
}

// Place is what tells a route from others.
func (r Route) Place() string {
	if r.Prefix == "/" {
		return r.Host
	}
	return r.Host + " " + r.Prefix
}

// bare is a route without its key and name.
type bare struct {
	Manner
	to string
}

func (r Route) bare() bare { return bare{r.Manner, r.To()} }

// To tells in a word where the route leads: a service, or a list of shares.
func (r Route) To() string {
	if len(r.Weighted) == 0 {
		return r.Service
	}
	raw, err := json.Marshal(r.Weighted)
	if err != nil {
		return "" // shares that were read from JSON can be written
	}
	return string(raw)
}

// lead is the opposite of To.
func (r *Route) lead(to string) {
	if !strings.HasPrefix(to, "[") || json.Unmarshal([]byte(to), &r.Weighted) != nil {
		r.Service = to
	}
}

// History keeps the newest configuration and since which sequence each of its
// routes is as it is.
type History struct {
	conf    *Configuration
	routes  map[string]bare  // by key
	at      map[string]int64 // seq at which a route last changed, or went
	served  int64            // seq at which the services last changed
	tenants tenantHistory
}

// Turn takes the configuration of a sequence in.
func (h *History) Turn(conf *Configuration, seq int64) {
	if h.conf == nil || !slices.Equal(h.conf.Services, conf.Services) {
		h.served = seq
	}
	next := make(map[string]bare, len(conf.Routes))
	if h.at == nil {
		h.at = map[string]int64{}
	}
	for _, r := range conf.Routes {
		key, b := r.Place(), r.bare()
		next[key] = b
		if old, ok := h.routes[key]; !ok || old != b {
			h.at[key] = seq
		}
	}
	for key := range h.routes {
		if _, still := next[key]; !still {
			h.at[key] = seq
		}
	}
	h.conf, h.routes = conf, next
	h.tenants.turn(conf.Tenants, seq)
}

// Since returns the step for whoever has the configuration of seq; of one
// that has none, or is not known, everything is told.
func (h *History) Since(seq int64, whole bool) *Step {
	s := &Step{Rev: h.conf.Rev, All: whole, Limits: h.conf.Limits}
	if whole || h.served > seq {
		s.Services = alikeServices(h.conf.Services)
	}
	s.Tenants, s.GoneTenants = h.tenants.since(seq, whole)
	groups := map[Manner]map[string][]string{}
	for key, b := range h.routes {
		if whole || h.at[key] > seq {
			if groups[b.Manner] == nil {
				groups[b.Manner] = map[string][]string{}
			}
			groups[b.Manner][b.to] = append(groups[b.Manner][b.to], key)
		}
	}
	for manner, of := range groups {
		for _, keys := range of {
			slices.Sort(keys)
		}
		s.Alike = append(s.Alike, Alike{manner, of})
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
func (x *Index) Next(s *Step) *Index {
	n := &Index{Rev: s.Rev, Limits: s.Limits, services: map[string]*Service{}, routes: map[string]*Route{}, hosts: map[string][]*Route{}}
	if x != nil {
		n.tenants = x.tenants
	}
	n.tenants = n.tenants.next(s)
	if x != nil && !s.All {
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
		for to, keys := range a.Of {
			var led Route
			led.lead(to)
			for _, key := range keys {
				r := Route{Manner: a.Manner, Prefix: "/", Service: led.Service, Weighted: led.Weighted}
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
		n.hosts[r.Host] = append(n.hosts[r.Host], r)
	}
	for _, list := range n.hosts {
		// Of two prefixes of one path the longer sorts behind.
		slices.SortFunc(list, func(a, b *Route) int { return strings.Compare(b.Prefix, a.Prefix) })
	}
	return n
}

// Find returns the route and the service of a database name; of several
// routes of one name, that of the least prefix.
func (x *Index) Find(host string) (*Route, *Service) {
	if x == nil {
		return nil, nil
	}
	if list := x.hosts[host]; len(list) > 0 {
		r := list[len(list)-1]
		if s := x.services[r.Service]; s != nil {
			return r, s
		}
	}
	return nil, nil
}

// Match returns the route of a host and path: that of the longest prefix.
func (x *Index) Match(host, path string) *Route {
	if x == nil {
		return nil
	}
	for _, r := range x.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Draw picks the service for one request, at a point from 0 to below 1.
func (r *Route) Draw(at float64) string {
	sum := 0.0
	for _, s := range r.Weighted {
		sum += s.Weight
	}
	at *= sum
	to := r.Service
	for _, s := range r.Weighted {
		if s.Weight > 0 {
			to = s.Service
		}
		if at -= s.Weight; at < 0 {
			break
		}
	}
	return to
}

// Service returns a service, nil if it is not known.
func (x *Index) Service(name string) *Service {
	if x == nil {
		return nil
	}
	return x.services[name]
}
