package pooler

import (
	"errors"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
)

// routePriorities is the number of distinct route priorities. A tenant's priority takes precedence
// over that of the route.
const routePriorities = 1000

// priority returns the priority of a tenant's statements on a route; lower values are more urgent.
func priority(tenant *routeconfig.PublishedTenant, route *routeconfig.Route) int {
	if tenant == nil {
		return route.Prio
	}
	return tenant.Prio*routePriorities + min(route.Prio, routePriorities-1)
}

// authorize returns the tenant that the session's key currently belongs to: nil on a public route,
// or if no tenants are configured. code is an error code if the client may not use the route, "" if
// it may.
func (s *session) authorize(route *routeconfig.Route, conf *routeconfig.Index) (tenant *routeconfig.PublishedTenant, code string) {
	if route.Public || !conf.HasTenants() {
		return nil, ""
	}
	if tenant = conf.Tenant(s.key); tenant == nil {
		s.pooler.k.Counters.Add("pooler.denied", 1)
		s.trace.setCause(causeDenied)
		return nil, lineprotocol.Denied
	}
	if !s.pooler.control.APIKeysCurrent() {
		// This pooler cannot tell whether the key is still valid, so it asks the client to retry.
		s.pooler.k.Counters.Add("pooler.keys_unknown", 1)
		s.trace.setCause(causeKeysStale)
		return nil, lineprotocol.Retry
	}
	return tenant, ""
}

// nameFor returns the tenant name that is sent to databases, "" for no tenant.
func nameFor(tenant *routeconfig.PublishedTenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

const (
	// quotaWaitShare is the fraction of its target latency for which a statement waits for its
	// tenant's quota: a client that is refused early still has time to retry.
	quotaWaitShare = 0.2
	// maxQuotaWait bounds this wait.
	maxQuotaWait = 150 * kernel.Millisecond
)

// newPermit returns the permit by which the statement is admitted under its tenant's rate limit, nil
// if there is no tenant.
func (j *job) newPermit() *quota.Permit {
	if j.tenant == nil {
		return nil
	}
	return j.s.pooler.quota.NewPermit(j.tenant.Name, quota.Limit{PerS: j.tenant.RatePerS, Burst: j.tenant.Burst})
}

// acquireQuota acquires quota for the next attempt to send the statement. It returns an error
// response if its tenant's quota is exhausted, nil otherwise.
func (j *job) acquireQuota() *lineprotocol.Answer {
	target := kernel.Micros(j.route.TargetMs) * kernel.Millisecond
	if target == 0 {
		target = j.remaining()
	}
	err := j.permit.Acquire(min(kernel.Micros(quotaWaitShare*float64(target)), maxQuotaWait, j.remaining()))
	var exhausted *quota.ExhaustedError
	if !errors.As(err, &exhausted) {
		return nil
	}
	j.s.pooler.k.Counters.Add("pooler.over_quota", 1)
	j.s.trace.setCause(causeQuota)
	return errorResponse(lineprotocol.Retry, retryAfter(exhausted.RetryAfter), j.s.state())
}
