package pooler

import (
	"errors"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
)

// tenantRanks is how many ranks routes may have: a tenant's rank comes before that of
// the route.
const tenantRanks = 1000

// rank is the priority of a tenant's statements on a route; the lower, the more
// urgent.
func rank(t *routeconfig.PublishedTenant, r *routeconfig.Route) int {
	if t == nil {
		return r.Prio
	}
	return t.Prio*tenantRanks + min(r.Prio, tenantRanks-1)
}

// tenant returns who the session's client is on a route, as things are now: nil on a
// public route, or where there are no tenants. The code is that of an error if the
// client may not use the route, "" if it may.
func (s *session) tenant(r *routeconfig.Route, conf *routeconfig.Index) (t *routeconfig.PublishedTenant, code string) {
	if r.Public || !conf.HasTenants() {
		return nil, ""
	}
	if t = conf.Tenant(s.key); t == nil {
		s.d.k.Counters.Add("pooler.denied", 1)
		s.trace.because(causeDenied)
		return nil, lineprotocol.Denied
	}
	if !s.d.control.KeysKnown() {
		// Whether the key still holds can't be known here: it is not served, and
		// not denied either.
		s.d.k.Counters.Add("pooler.keys_unknown", 1)
		s.trace.because(causeKeysUnknown)
		return nil, lineprotocol.Retry
	}
	return t, ""
}

// nameOf is the name that databases are told.
func nameOf(t *routeconfig.PublishedTenant) string {
	if t == nil {
		return ""
	}
	return t.Name
}

const (
	// quotaShare is the part of its aim for which a statement waits for a slice of its
	// tenant's quota. Refused sooner, its client can come back in time.
	quotaShare = 0.2
	// longestQuotaWait bounds that.
	longestQuotaWait = 150 * kernel.Millisecond
)

// newPermit is the statement's admission under its tenant's limit.
func (j *job) newPermit() *quota.Permit {
	if j.tenant == nil {
		return nil
	}
	return j.s.d.quota.NewPermit(j.tenant.Name, quota.Limit{PerS: j.tenant.RatePerS, Burst: j.tenant.Burst})
}

// admit has the next sending of the statement counted; an answer says that there is
// nothing left of its tenant's quota.
func (j *job) admit() *lineprotocol.Answer {
	aim := kernel.Micros(j.route.TargetMs) * kernel.Millisecond
	if aim == 0 {
		aim = j.left()
	}
	err := j.permit.Acquire(min(kernel.Micros(quotaShare*float64(aim)), longestQuotaWait, j.left()))
	var exhausted *quota.ExhaustedError
	if !errors.As(err, &exhausted) {
		return nil
	}
	j.s.d.k.Counters.Add("pooler.over_quota", 1)
	j.s.trace.because(causeQuota)
	return refusal(lineprotocol.Retry, hint(exhausted.RetryAfter), j.s.state())
}
