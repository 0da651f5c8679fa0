package gateway

import (
	"net/http"

	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
)

// routePriorities is the number of priorities that routes may have: a tenant's priority takes
// precedence over that of the route.
const routePriorities = 1000

// authenticate determines the tenant that a request belongs to by its API key, once its route is
// known. If tenants are configured, databases receive the name of this tenant, whatever name the
// client sent, and never the key.
func (j *job) authenticate(conf *routeconfig.Index) *refusal {
	if !conf.HasTenants() {
		return nil
	}
	if j.route.Public {
		return nil
	}
	tenant := conf.Tenant(routeconfig.DigestOf(j.incoming.Header.Get(httpconn.APIKey)))
	if tenant == nil {
		j.gateway.k.Counters.Add("gateway.denied", 1)
		return &refusal{status: http.StatusUnauthorized, text: "no such key"}
	}
	if !j.gateway.control.APIKeysCurrent() {
		return j.unavailable("whether the key holds is not known here")
	}
	j.tenant = tenant
	j.permit = j.gateway.quota.NewPermit(tenant.Name, quota.Limit{PerS: tenant.RatePerS, Burst: tenant.Burst})
	j.priority = tenant.Prio*routePriorities + min(j.route.Prio, routePriorities-1)
	return nil
}

// setTenantHeaders sets the headers that identify the client to databases.
func (j *job) setTenantHeaders(h http.Header, conf *routeconfig.Index) {
	if !conf.HasTenants() {
		return
	}
	h.Del(httpconn.APIKey)
	h.Del(httpconn.Tenant)
	if j.tenant != nil {
		h.Set(httpconn.Tenant, j.tenant.Name)
	}
}

// maxQuotaWait limits how long a request waits for a slice of its tenant's quota.
const maxQuotaWait = 150 * kernel.Millisecond

// acquireQuota charges the next attempt to the tenant's quota.
func (j *job) acquireQuota() error {
	return j.permit.Acquire(min(j.waitUntil-j.now(), maxQuotaWait))
}

// quotaExceeded returns the response to a request whose tenant's quota is exhausted. The request
// has not run and will not run.
func (j *job) quotaExceeded(exhausted *quota.ExhaustedError) *refusal {
	j.gateway.k.Counters.Add("gateway.over_quota", 1)
	return &refusal{http.StatusTooManyRequests, "over the tenant's limit", exhausted.RetryAfter}
}
