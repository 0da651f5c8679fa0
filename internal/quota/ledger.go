package quota

import (
	"errors"
	"math"
	"sync"

	"indigowalk/internal/kernel"
)

// Errors returned for a request of a proxy.
var (
	ErrStale     = errors.New("quota: stale request: not newer than the last one, or from an earlier incarnation")
	ErrMalformed = errors.New("quota: malformed request, or too many proxies")
)

const (
	// maxProxies bounds the number of proxies that a ledger remembers.
	maxProxies = 4096
	// Bounds of the retry-after period in responses to proxies.
	minRetryAfter = 50 * kernel.Millisecond
	maxRetryAfter = kernel.Second
	// grantShare is the share of a stock that one grant may take at most, so that some
	// of a low stock remains for proxies that need little.
	grantShare = 0.5
)

// Ledger keeps, for one term, the stock of each tenant and every slice with its lease. It is
// not stored on disk: until one lease has passed, the ledger of the next term assumes that all
// stock is in slices. During that time it grants nothing, or what OpeningCapacity allows
// once GrantEarly was called.
type Ledger struct {
	term              int64
	lease             kernel.Micros
	tolerance         Tolerance
	previousLeasesEnd kernel.Micros // until then slices of the previous term may be spent

	mu             sync.Mutex
	grantsFrom     kernel.Micros // before that nothing is granted and stock does not grow
	limits         map[string]Limit
	accounts       map[string]*account
	latestRequests map[string]*requestID // by proxy
}

// requestID identifies the latest request that was accepted from a proxy.
type requestID struct{ incarnation, seq int64 }

// proxyIncarnation is one incarnation of a proxy, as the holder of a slice.
type proxyIncarnation struct {
	proxy       string
	incarnation int64
}

// slice is the part of one tenant's stock that a holder may have.
type slice struct {
	held    int64 // upper bound of the unused operations
	expires kernel.Micros
}

// account is the account of one tenant. Stock and slices together never exceed the capacity,
// and the outstanding operations are never less than what holders can still spend.
type account struct {
	stock         float64
	refilledAt    kernel.Micros // when stock was last brought up to date
	outstanding   int64         // operations in slices with unexpired leases
	slices        map[proxyIncarnation]*slice
	nextExpiry    kernel.Micros // when the next lease ends
	lastRequested kernel.Micros // when a proxy last reported a holding of this tenant
}

// NewLedger returns the ledger of a term that begins now.
func NewLedger(term int64, now, lease kernel.Micros, tolerance Tolerance) *Ledger {
	return &Ledger{
		term: term, lease: lease, tolerance: tolerance, previousLeasesEnd: now + lease, grantsFrom: now + lease,
		limits: map[string]Limit{}, accounts: map[string]*account{}, latestRequests: map[string]*requestID{},
	}
}

// GrantEarly starts granting at once, up to the opening capacity while slices of the previous
// term may be outstanding. It must only be called if no slices of a still earlier term were
// outstanding during the previous one.
func (l *Ledger) GrantEarly(now kernel.Micros) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now >= l.grantsFrom {
		return
	}
	l.grantsFrom = now
	for _, a := range l.accounts {
		a.refilledAt = now
	}
}

// capacity returns the maximum number of operations in stock and in slices together at a time.
func (l *Ledger) capacity(now kernel.Micros, limit Limit) float64 {
	switch {
	case now < l.grantsFrom:
		return 0
	case now < l.previousLeasesEnd:
		return l.tolerance.OpeningCapacity(limit)
	}
	return l.tolerance.Capacity(limit)
}

// SetLimits applies the limits of a configuration, by tenant. Stock beyond a lower limit is
// dropped at once; outstanding slices remain until they are spent or their leases end. The
// account of a removed tenant is deleted once none of its operations can be in the current
// window.
func (l *Ledger) SetLimits(now kernel.Micros, limits map[string]Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for tenant, a := range l.accounts {
		l.advance(a, now, l.limits[tenant])
		limit, present := limits[tenant]
		if !present && a.outstanding == 0 && now-a.lastRequested > l.tolerance.Window+l.lease {
			delete(l.accounts, tenant)
			continue
		}
		a.clamp(l.capacity(now, limit))
	}
	l.limits = limits
}

// ProcessRequest reconciles the slices of a proxy with what it reports of them, and grants the
// operations that are available. Slices last for one lease, which the proxy counts from before
// it sent the request.
func (l *Ledger) ProcessRequest(now kernel.Micros, req sliceRequest) (sliceResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest, err := l.acceptRequest(req)
	if err != nil {
		return sliceResponse{NewestIncarnation: newest}, err
	}
	resp := sliceResponse{Term: l.term, Lease: l.lease}
	for _, h := range req.Holdings {
		resp.Grants = append(resp.Grants, l.processHolding(now, proxyIncarnation{req.Proxy, req.Incarnation}, h))
	}
	return resp, nil
}

// acceptRequest checks that a request is newer than the last one of its proxy, and records it.
// newest is the latest incarnation of the proxy if the request is from an earlier one.
func (l *Ledger) acceptRequest(req sliceRequest) (newest int64, err error) {
	latest := l.latestRequests[req.Proxy]
	switch {
	case req.Proxy == "" || req.Incarnation <= 0 || req.Seq <= 0 || latest == nil && len(l.latestRequests) >= maxProxies:
		return 0, ErrMalformed
	case latest == nil:
		latest = &requestID{}
		l.latestRequests[req.Proxy] = latest
	case req.Incarnation < latest.incarnation:
		return latest.incarnation, ErrStale
	case req.Incarnation == latest.incarnation && req.Seq <= latest.seq:
		return 0, ErrStale
	}
	latest.incarnation, latest.seq = req.Incarnation, req.Seq
	return 0, nil
}

// processHolding reconciles the slice of one tenant and grants more if requested.
func (l *Ledger) processHolding(now kernel.Micros, holder proxyIncarnation, h Holding) Grant {
	limit, known := l.limits[h.Tenant]
	switch {
	case !known || h.Returned < 0 || h.Held < 0 || h.Want < 0:
		return Grant{Tenant: h.Tenant, RetryAfter: maxRetryAfter}
	case limit.Unlimited():
		// The proxy has an older configuration, in which the tenant had a limit.
		return Grant{Tenant: h.Tenant, Granted: h.Want, Renewed: true}
	}
	a := l.account(now, h.Tenant)
	l.advance(a, now, limit)
	s, renewed := a.reconcile(holder, h)
	a.clamp(l.capacity(now, limit))
	granted := min(h.Want, maxGrant(a.stock))
	a.grant(s, granted, now+l.lease)
	response := Grant{Tenant: h.Tenant, Granted: granted, Renewed: renewed}
	if granted < h.Want {
		response.RetryAfter = l.retryAfter(now, a, limit)
	}
	return response
}

// maxGrant returns the maximum number of operations that one grant takes from a stock.
func maxGrant(stock float64) int64 {
	if stock < 1 {
		return 0
	}
	return max(1, int64(math.Ceil(grantShare*stock)))
}

// retryAfter returns how long it takes until there is an operation in stock, within bounds.
func (l *Ledger) retryAfter(now kernel.Micros, a *account, limit Limit) kernel.Micros {
	wait := max(0, l.grantsFrom-now)
	if missing := 1 - a.stock; missing > 0 {
		wait += kernel.Micros(math.Min(missing/limit.PerS*float64(kernel.Second), float64(maxRetryAfter)))
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// account returns the account of a tenant. A new one has an empty stock as of when the ledger
// began to grant.
func (l *Ledger) account(now kernel.Micros, tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{refilledAt: l.grantsFrom, slices: map[proxyIncarnation]*slice{}, nextExpiry: math.MaxInt64}
		l.accounts[tenant] = a
	}
	a.lastRequested = now
	return a
}

// advance brings an account to a time: leases end, each at its own time, and in between stock
// grows at the rate of the limit, as far as the capacity allows beside outstanding slices.
func (l *Ledger) advance(a *account, now kernel.Micros, limit Limit) {
	for a.nextExpiry <= now {
		l.refill(a, a.nextExpiry, limit)
		a.expireLeases(a.nextExpiry)
	}
	l.refill(a, now, limit)
}

// refill adds stock up to a time, before which no lease may end.
func (l *Ledger) refill(a *account, now kernel.Micros, limit Limit) {
	if a.refilledAt < l.previousLeasesEnd && l.previousLeasesEnd < now {
		a.accrue(l.previousLeasesEnd, limit.PerS)
		a.clamp(l.tolerance.OpeningCapacity(limit))
	}
	a.accrue(now, limit.PerS)
	a.clamp(l.capacity(now, limit))
}

// accrue adds the operations that the rate yields up to a time, without a bound.
func (a *account) accrue(now kernel.Micros, rate float64) {
	if now > a.refilledAt {
		a.stock += rate * float64(now-a.refilledAt) / float64(kernel.Second)
		a.refilledAt = now
	}
}

// expireLeases removes the slices whose leases have ended. Their operations count as spent,
// whether they were or not.
func (a *account) expireLeases(now kernel.Micros) {
	a.nextExpiry = math.MaxInt64
	for holder, s := range a.slices {
		if s.expires <= now {
			a.outstanding -= s.held
			delete(a.slices, holder)
			continue
		}
		a.nextExpiry = min(a.nextExpiry, s.expires)
	}
}

// clamp drops the stock that exceeds the capacity together with outstanding slices.
func (a *account) clamp(capacity float64) {
	a.stock = math.Max(0, math.Min(a.stock, capacity-float64(a.outstanding)))
}

// reconcile updates a slice to what its holder reports, and returns it. renewed reports that
// its lease had not ended. Operations that the holder neither keeps nor returns count as spent.
func (a *account) reconcile(holder proxyIncarnation, h Holding) (s *slice, renewed bool) {
	s = a.slices[holder]
	if s == nil {
		s = &slice{}
		a.slices[holder] = s
		return s, false
	}
	kept := min(h.Held, s.held)
	a.stock += float64(min(h.Returned, s.held-kept))
	a.outstanding -= s.held - kept
	s.held = kept
	return s, true
}

// grant moves n operations from stock to a slice, and sets the end of its lease.
func (a *account) grant(s *slice, n int64, expires kernel.Micros) {
	a.stock -= float64(n)
	a.outstanding += n
	s.held += n
	s.expires = expires
	a.nextExpiry = min(a.nextExpiry, expires)
}

// Account is the state of a tenant's account, for display.
type Account struct {
	Stock       float64 `json:"stock"`
	Outstanding int64   `json:"out"`     // in slices
	Holders     int     `json:"holders"` // number of holders of slices with operations
	Capacity    float64 `json:"capacity"`
}

// Accounts returns the accounts of all tenants that proxies have reported, by tenant.
func (l *Ledger) Accounts(now kernel.Micros) map[string]Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]Account{}
	for tenant, a := range l.accounts {
		limit := l.limits[tenant]
		l.advance(a, now, limit)
		view := Account{Stock: a.stock, Outstanding: a.outstanding, Capacity: l.capacity(now, limit)}
		for _, s := range a.slices {
			if s.held > 0 {
				view.Holders++
			}
		}
		out[tenant] = view
	}
	return out
}
