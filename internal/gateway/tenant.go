package gateway

import (
	"net/http"

	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/quota"
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
	j.permit = j.t.quota.NewPermit(tenant.Name, quota.Limit{PerS: tenant.RatePerS, Burst: tenant.Burst})
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

// longestQuotaWait bounds how long a request waits for a slice of its tenant's quota.
const longestQuotaWait = 150 * kernel.Millisecond

// admit has the next sending of the request counted under its tenant's limit.
func (j *job) admit() error {
	return j.permit.Acquire(min(j.giveUp-j.now(), longestQuotaWait))
}

// overQuota is the answer where nothing is left of a tenant's quota. The request has
// not run and will not.
func (j *job) overQuota(e *quota.ExhaustedError) *refusal {
	j.t.k.Counters.Add("gateway.over_quota", 1)
	return &refusal{http.StatusTooManyRequests, "over the tenant's limit", e.RetryAfter}
}
