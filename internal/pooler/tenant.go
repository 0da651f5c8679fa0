package pooler

import (
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/routeconfig"
)

// tenantRanks is how many ranks routes may have: a tenant's rank comes before that of
// the route.
const tenantRanks = 1000

// rank is the priority of a tenant's statements on a route; the lower, the more
// urgent.
func rank(t *routeconfig.TenantStep, r *routeconfig.Route) int {
	if t == nil {
		return r.Prio
	}
	return t.Prio*tenantRanks + min(r.Prio, tenantRanks-1)
}

// tenant returns who the session's client is on a route, as things are now: nil on a
// public route, or where there are no tenants. The code is that of an error if the
// client may not use the route, "" if it may.
func (s *session) tenant(r *routeconfig.Route, conf *routeconfig.Index) (t *routeconfig.TenantStep, code string) {
	if r.Public || !conf.HasTenants() {
		return nil, ""
	}
	if t = conf.Tenant(s.key); t == nil {
		s.d.k.Counters.Add("pooler.denied", 1)
		return nil, lineprotocol.Denied
	}
	if !s.d.control.KeysKnown() {
		// Whether the key still holds can't be known here: it is not served, and
		// not denied either.
		s.d.k.Counters.Add("pooler.keys_unknown", 1)
		return nil, lineprotocol.Retry
	}
	return t, ""
}

// nameOf is the name that databases are told.
func nameOf(t *routeconfig.TenantStep) string {
	if t == nil {
		return ""
	}
	return t.Name
}
