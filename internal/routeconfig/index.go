package routeconfig

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// Index is a configuration indexed for the lookups of proxies. It lacks the route names, which
// serve human readers only.
type Index struct {
	Rev      int64
	Limits   Limits
	services map[string]*Service
	routes   map[string]*Route   // by key
	hosts    map[string][]*Route // longest prefix first
	tenants  tenantIndex
}

// RouteGroup holds routes that differ only by key and target.
type RouteGroup struct {
	Manner
	Targets map[string][]string `json:"of"` // route keys, by target
}

// ServiceGroup holds services that differ only by name.
type ServiceGroup struct {
	Service
	Names []string `json:"names"`
}

// Delta is the difference between a configuration and a later one. Most changes affect few of
// many routes, and most routes have the same attributes as others, so a delta is far smaller
// than the configuration.
type Delta struct {
	Rev           int64          `json:"rev"`
	Full          bool           `json:"all,omitempty"`      // the delta holds all routes and services
	Routes        []RouteGroup   `json:"alike,omitempty"`    // new or changed routes
	RemovedRoutes []string       `json:"dropped,omitempty"`  // keys of removed routes
	Services      []ServiceGroup `json:"services,omitempty"` // all services, if any changed
	Limits        Limits         `json:"limits"`
	// Tenants are new or changed tenants, RemovedTenants the names of removed ones.
	Tenants        []PublishedTenant `json:"tenants,omitempty"`
	RemovedTenants []string          `json:"gone_tenants,omitempty"`
}

// Key returns the key that distinguishes the route from others: its host and path prefix.
func (r Route) Key() string {
	if r.Prefix == "/" {
		return r.Host
	}
	return r.Host + " " + r.Prefix
}

// routeSpec is a route without its key and name.
type routeSpec struct {
	Manner
	target string
}

func (r Route) spec() routeSpec { return routeSpec{r.Manner, r.Target()} }

// Target returns the route's target: the name of a service, or a JSON list of weighted shares.
func (r Route) Target() string {
	if len(r.Weighted) == 0 {
		return r.Service
	}
	raw, err := json.Marshal(r.Weighted)
	if err != nil {
		return "" // can't happen: shares that were read from JSON can be encoded
	}
	return string(raw)
}

// setTarget sets the target from its text form.
func (r *Route) setTarget(target string) {
	if !strings.HasPrefix(target, "[") || json.Unmarshal([]byte(target), &r.Weighted) != nil {
		r.Service = target
	}
}

// History holds the newest configuration and, for each of its routes, the sequence number of its
// last change.
type History struct {
	config             *Configuration
	routes             map[string]routeSpec // by key
	changedSeq         map[string]int64     // seq at which a route was last changed or removed, by key
	servicesChangedSeq int64                // seq at which the services last changed
	tenants            tenantHistory
}

// Advance records the configuration as of a sequence number.
func (h *History) Advance(config *Configuration, seq int64) {
	if h.config == nil || !slices.Equal(h.config.Services, config.Services) {
		h.servicesChangedSeq = seq
	}
	next := make(map[string]routeSpec, len(config.Routes))
	if h.changedSeq == nil {
		h.changedSeq = map[string]int64{}
	}
	for _, r := range config.Routes {
		key, spec := r.Key(), r.spec()
		next[key] = spec
		if old, ok := h.routes[key]; !ok || old != spec {
			h.changedSeq[key] = seq
		}
	}
	for key := range h.routes {
		if _, kept := next[key]; !kept {
			h.changedSeq[key] = seq
		}
	}
	h.config, h.routes = config, next
	h.tenants.advance(config.Tenants, seq)
}

// Since returns the delta for a proxy that has the configuration of seq. If full is set, which
// is for a proxy that has none or an unknown one, the delta holds the full configuration.
func (h *History) Since(seq int64, full bool) *Delta {
	delta := &Delta{Rev: h.config.Rev, Full: full, Limits: h.config.Limits}
	if full || h.servicesChangedSeq > seq {
		delta.Services = groupServices(h.config.Services)
	}
	delta.Tenants, delta.RemovedTenants = h.tenants.since(seq, full)
	groups := map[Manner]map[string][]string{}
	for key, spec := range h.routes {
		if full || h.changedSeq[key] > seq {
			if groups[spec.Manner] == nil {
				groups[spec.Manner] = map[string][]string{}
			}
			groups[spec.Manner][spec.target] = append(groups[spec.Manner][spec.target], key)
		}
	}
	for manner, targets := range groups {
		for _, keys := range targets {
			slices.Sort(keys)
		}
		delta.Routes = append(delta.Routes, RouteGroup{manner, targets})
	}
	if !full {
		for key, changed := range h.changedSeq {
			if _, exists := h.routes[key]; !exists && changed > seq {
				delta.RemovedRoutes = append(delta.RemovedRoutes, key)
			}
		}
	}
	return delta
}

func groupServices(services []Service) []ServiceGroup {
	names := map[Service][]string{}
	for _, s := range services {
		name := s.Name
		s.Name = ""
		names[s] = append(names[s], name)
	}
	out := make([]ServiceGroup, 0, len(names))
	for s, serviceNames := range names {
		out = append(out, ServiceGroup{s, serviceNames})
	}
	return out
}

// Apply returns a new index with the delta applied. i, which may be nil, is not modified.
func (i *Index) Apply(delta *Delta) *Index {
	next := &Index{Rev: delta.Rev, Limits: delta.Limits, services: map[string]*Service{}, routes: map[string]*Route{}, hosts: map[string][]*Route{}}
	if i != nil {
		next.tenants = i.tenants
	}
	next.tenants = next.tenants.apply(delta)
	if i != nil && !delta.Full {
		maps.Copy(next.routes, i.routes)
		maps.Copy(next.services, i.services)
	}
	if delta.Services != nil {
		clear(next.services)
		for _, group := range delta.Services {
			for _, name := range group.Names {
				service := group.Service
				service.Name = name
				next.services[name] = &service
			}
		}
	}
	for _, group := range delta.Routes {
		for targetText, keys := range group.Targets {
			var target Route
			target.setTarget(targetText)
			for _, key := range keys {
				route := Route{Manner: group.Manner, Prefix: "/", Service: target.Service, Weighted: target.Weighted}
				if host, prefix, ok := strings.Cut(key, " "); ok {
					route.Host, route.Prefix = host, prefix
				} else {
					route.Host = key
				}
				next.routes[key] = &route
			}
		}
	}
	for _, key := range delta.RemovedRoutes {
		delete(next.routes, key)
	}
	for _, route := range next.routes {
		next.hosts[route.Host] = append(next.hosts[route.Host], route)
	}
	for _, list := range next.hosts {
		// Of two prefixes of the same path, the longer one sorts last, so the order is reversed
		// to have it first.
		slices.SortFunc(list, func(a, b *Route) int { return strings.Compare(b.Prefix, a.Prefix) })
	}
	return next
}

// Find returns the route and the service of a database name. If several routes have that name,
// it returns the one whose prefix sorts first.
func (i *Index) Find(host string) (*Route, *Service) {
	if i == nil {
		return nil, nil
	}
	if list := i.hosts[host]; len(list) > 0 {
		r := list[len(list)-1]
		if s := i.services[r.Service]; s != nil {
			return r, s
		}
	}
	return nil, nil
}

// Match returns the route of a host and path, the one with the longest matching prefix.
func (i *Index) Match(host, path string) *Route {
	if i == nil {
		return nil
	}
	for _, r := range i.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// PickService picks the service for one request by weight. point is a random number in [0, 1).
func (r *Route) PickService(point float64) string {
	sum := 0.0
	for _, s := range r.Weighted {
		sum += s.Weight
	}
	point *= sum
	picked := r.Service
	for _, s := range r.Weighted {
		if s.Weight > 0 {
			picked = s.Service
		}
		if point -= s.Weight; point < 0 {
			break
		}
	}
	return picked
}

// Service returns a service, nil if it is not known.
func (i *Index) Service(name string) *Service {
	if i == nil {
		return nil
	}
	return i.services[name]
}
