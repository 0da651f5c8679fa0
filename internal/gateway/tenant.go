package gateway

import (
	"net/http"

	"indigowalk/internal/httpconn"
	"indigowalk/internal/routeconfig"
)

// tenantRanks is how many ranks routes may have: a tenant's rank comes before that of
// the route.
const tenantRanks = 1000

// identify finds out whose request it is, once its route is known. Where clients have
// keys, databases are told the tenant's name, whatever the client said, and never the
// key.
func (j *job) identify(conf *routeconfig.Index) *refusal {
	if !conf.HasTenants() {
		return nil
	}
	if j.route.Public {
		return nil
	}
	tenant := conf.Tenant(routeconfig.DigestOf(j.in.Header.Get(httpconn.APIKey)))
	if tenant == nil {
		j.t.k.Counters.Add("gateway.denied", 1)
		return &refusal{status: http.StatusUnauthorized, text: "no such key"}
	}
	if !j.t.control.KeysKnown() {
		return j.busy("whether the key holds is not known here")
	}
	j.tenant = tenant
	j.rank = tenant.Prio*tenantRanks + min(j.route.Prio, tenantRanks-1)
	return nil
}

// introduce puts into the header what databases are told of the client.
func (j *job) introduce(h http.Header, conf *routeconfig.Index) {
	if !conf.HasTenants() {
		return
	}
	h.Del(httpconn.APIKey)
	h.Del(httpconn.Tenant)
	if j.tenant != nil {
		h.Set(httpconn.Tenant, j.tenant.Name)
	}
}
