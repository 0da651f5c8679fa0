package quota

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

const (
	// batchDelay is how long demand is collected into one request.
	batchDelay = 2 * kernel.Millisecond
	// leaseMargin is how much earlier than the ledger a proxy ends a lease, to allow for the
	// delay on the way to a database and for differences in clock rates.
	leaseMargin = 100 * kernel.Millisecond
	// horizonShare is the share of a lease for whose expected use a proxy holds operations.
	horizonShare = 0.8
	// renewShare is the share of a lease that is left when the lease is renewed.
	renewShare = 0.4
	// idleShare is the share of a lease after which an unused slice is returned instead of
	// renewed.
	idleShare = 0.5
	// lowWatermark is the share of the target holding below which more is requested.
	lowWatermark = 0.5
	// rateAveraging is the time constant with which the request rate of a tenant is averaged.
	rateAveraging = 2 * kernel.Second
	// forgetAfter is how long a tenant without use is remembered.
	forgetAfter = 20 * kernel.Second
	// minCheckInterval is the minimum interval between two checks of leases.
	minCheckInterval = 20 * kernel.Millisecond
	// unreachablePause is how long no request is sent after the ledger did not respond.
	unreachablePause = 100 * kernel.Millisecond
	// maxHoldings bounds the number of tenants in one request.
	maxHoldings = 500
	// maxWaiting bounds the number of operations of a tenant that wait for a grant.
	maxWaiting = 32
)

// Client holds the slices of a proxy, and requests more from the ledger.
type Client struct {
	k     *kernel.Kernel
	proxy string
	// call sends a request to the ledger; on an error there is no response.
	call func(ctx context.Context, req sliceRequest) (sliceResponse, error)

	mu          sync.Mutex
	incarnation int64
	seq         int64
	term        int64
	lease       kernel.Micros // duration, from the latest response of the ledger
	allotments  map[string]*allotment
	wake        chan struct{}
}

// allotment is what a proxy holds of one tenant's stock. Held operations are either free, or
// admitted and not sent yet.
type allotment struct {
	free            int64
	admitted        int64
	expires         kernel.Micros // end of the lease
	leaseNumber     int64         // number of the lease, incremented when one ends
	previousFree    int64         // left of the slice of the previous term, spendable until previousExpires
	previousExpires kernel.Micros
	waiting         int           // number of operations that wait for a grant
	pausedUntil     kernel.Micros // until then nothing is requested
	rate            float64       // wanted operations per second, averaged, as of lastWanted
	lastWanted      kernel.Micros // when an operation was last wanted
	changed         kernel.Notifier
}

// NewClient returns a client that holds nothing.
func NewClient(k *kernel.Kernel, proxy string, call func(ctx context.Context, req sliceRequest) (sliceResponse, error)) *Client {
	return &Client{
		k: k, proxy: proxy, call: call, incarnation: time.Now().UnixMicro(),
		allotments: map[string]*allotment{}, wake: make(chan struct{}, 1),
	}
}

// Admission is the permission to send one operation of a tenant. It must be passed to Spend
// or Return.
type Admission struct {
	// Until is when the permission ends.
	Until       kernel.Micros
	tenant      string
	allotment   *allotment // nil if the operation is not counted
	leaseNumber int64
}

// previousTermLease is the lease number of an admission from the slice of the previous term,
// of which nothing is counted any more.
const previousTermLease = -1

// ExhaustedError is the error that a tenant's quota is used up.
type ExhaustedError struct {
	RetryAfter kernel.Micros // when to try again
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("quota: over the limit, more in %d ms", e.RetryAfter.Millis())
}

// Admit admits one operation against the slice that is held of a tenant. If none is free, it
// waits for one, at most for wait. It fails only if the quota is used up; the error says when to
// try again.
func (c *Client) Admit(tenant string, limit Limit, wait kernel.Micros) (Admission, error) {
	if limit.Unlimited() {
		return Admission{Until: math.MaxInt64}, nil
	}
	end := c.k.Clock.Now() + wait
	a := c.recordDemand(tenant)
	for {
		admission, ok := c.tryAdmit(tenant, a)
		if ok {
			return admission, nil
		}
		if !c.awaitChange(a, end) {
			c.k.Counters.Add("quota.refused", 1)
			return Admission{}, &ExhaustedError{c.retryAfter(a)}
		}
	}
}

// recordDemand counts a wanted operation in the rate of a tenant, and returns its allotment.
func (c *Client) recordDemand(tenant string) *allotment {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allotments[tenant]
	if a == nil {
		a = &allotment{}
		c.allotments[tenant] = a
	}
	now := c.k.Clock.Now()
	a.rate = a.rateAt(now) + float64(kernel.Second)/float64(rateAveraging)
	a.lastWanted = now
	return a
}

// tryAdmit admits one operation if one is free, first from the slice of the previous term.
func (c *Client) tryAdmit(tenant string, a *allotment) (Admission, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	a.expire(now)
	switch {
	case a.previousFree > 0:
		a.previousFree--
		return Admission{a.previousExpires, tenant, a, previousTermLease}, true
	case a.free > 0:
		a.free--
		a.admitted++
		if c.belowWatermark(a) && now >= a.pausedUntil {
			c.wakeServe()
		}
		return Admission{a.expires, tenant, a, a.leaseNumber}, true
	}
	return Admission{}, false
}

// awaitChange waits until the allotment changes, or until the end of a pause or of the given
// time. It returns false without waiting if that cannot help.
func (c *Client) awaitChange(a *allotment, end kernel.Micros) bool {
	c.mu.Lock()
	now := c.k.Clock.Now()
	if now >= end || a.pausedUntil >= end || a.waiting >= maxWaiting {
		c.mu.Unlock()
		return false
	}
	until := end
	if a.pausedUntil > now {
		until = a.pausedUntil
	} else {
		c.wakeServe()
	}
	a.waiting++
	changed := a.changed.Wait()
	c.mu.Unlock()

	t := time.NewTimer((until - now).Duration())
	select {
	case <-changed:
	case <-t.C:
	}
	t.Stop()

	c.mu.Lock()
	defer c.mu.Unlock()
	a.waiting--
	return true
}

// retryAfter returns how long no more is requested of an allotment, at least minRetryAfter.
func (c *Client) retryAfter(a *allotment) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(a.pausedUntil-c.k.Clock.Now(), minRetryAfter)
}

// Spend records that the operation was sent, whatever its result.
func (c *Client) Spend(a Admission) {
	if c.k.Recorder != nil && a.allotment != nil {
		c.k.Recorder.Add(SentKind, SentRecord{a.tenant})
	}
	c.finish(a, 0)
}

// Return records that the operation was not sent, and will not be.
func (c *Client) Return(a Admission) { c.finish(a, 1) }

// finish ends an admission and adds returned to the free operations. If the lease of the
// admission has ended, its operation is not held any more, and nothing is changed.
func (c *Client) finish(a Admission, returned int64) {
	if a.allotment == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.allotment.leaseNumber == a.leaseNumber {
		a.allotment.admitted--
		a.allotment.free += returned
		c.k.Invariants.Check(a.allotment.admitted >= 0, invariant.CountsNonNegative, "%d operations of %s admitted", a.allotment.admitted, a.tenant)
	}
}

// rateAt returns the averaged rate of wanted operations per second, as of now.
func (a *allotment) rateAt(now kernel.Micros) float64 {
	if a.lastWanted == 0 {
		return 0
	}
	return a.rate * math.Exp(-float64(now-a.lastWanted)/float64(rateAveraging))
}

func (a *allotment) held() int64 { return a.free + a.admitted }

// leaseShare returns a share of the duration of a lease.
func (c *Client) leaseShare(s float64) kernel.Micros { return kernel.Micros(s * float64(c.lease)) }

// targetHolding returns how many operations to hold for the expected use. It is 0 for a
// tenant of which less than one operation is expected, since a held one would mostly be idle.
func (c *Client) targetHolding(a *allotment, now kernel.Micros) int64 {
	return int64(a.rateAt(now) * float64(c.leaseShare(horizonShare)) / float64(kernel.Second))
}

// belowWatermark reports whether it is time to request more.
func (c *Client) belowWatermark(a *allotment) bool {
	return float64(a.free) < lowWatermark*float64(c.targetHolding(a, a.lastWanted))
}

// expire drops what is no longer covered by a lease.
func (a *allotment) expire(now kernel.Micros) {
	if now >= a.expires && a.held() > 0 {
		a.dropLease()
	}
	if now >= a.previousExpires {
		a.previousFree = 0
	}
}

// dropLease ends the lease and drops everything held under it.
func (a *allotment) dropLease() {
	a.free, a.admitted = 0, 0
	a.leaseNumber++
}

// wakeServe makes Serve check for something to request.
func (c *Client) wakeServe() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve requests slices until ctx ends, with one request in flight at a time.
func (c *Client) Serve(ctx context.Context) error {
	timer := time.NewTimer(forgetAfter.Duration())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-c.wake:
			if !kernel.Sleep(ctx, batchDelay) {
				return nil
			}
		}
		if req, needed := c.nextRequest(); needed {
			requestedAt := c.k.Clock.Now()
			c.k.Counters.Add("quota.asked", 1)
			resp, err := c.call(ctx, req)
			c.apply(req, resp, err, requestedAt)
		}
		timer.Reset(c.untilNextCheck().Duration())
	}
}

// untilNextCheck returns how long it takes until a lease is due for renewal.
func (c *Client) untilNextCheck() kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, span := c.k.Clock.Now(), forgetAfter
	for _, a := range c.allotments {
		if a.held() > 0 {
			span = min(span, a.expires-c.leaseShare(renewShare)-now)
		}
	}
	return max(span, minCheckInterval)
}

// nextRequest builds the request to send now; it returns false if there is nothing to send. It
// also removes tenants that have not been used for long.
func (c *Client) nextRequest() (sliceRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	req := sliceRequest{Proxy: c.proxy, Incarnation: c.incarnation}
	for tenant, a := range c.allotments {
		a.expire(now)
		if a.held() == 0 && a.previousFree == 0 && a.waiting == 0 && now-a.lastWanted > forgetAfter {
			delete(c.allotments, tenant)
			continue
		}
		if len(req.Holdings) == maxHoldings {
			c.wakeServe()
			break
		}
		if h, report := c.reportHolding(a, now); report {
			h.Tenant = tenant
			req.Holdings = append(req.Holdings, h)
		}
	}
	if len(req.Holdings) == 0 {
		return req, false
	}
	c.seq++
	req.Seq = c.seq
	return req, true
}

// reportHolding returns what to report of an allotment to the ledger, and whether there is
// anything to report. An idle allotment is returned when its lease is due for renewal, not
// earlier: if that request is lost, so is what it returns.
func (c *Client) reportHolding(a *allotment, now kernel.Micros) (h Holding, report bool) {
	due := a.held() > 0 && a.expires-now <= c.leaseShare(renewShare)
	idle := a.waiting == 0 && now-a.lastWanted > c.leaseShare(idleShare)
	if due && idle {
		h.Returned, a.free = a.free, 0
	}
	h.Held = a.held()
	want := max(int64(a.waiting)-a.free, c.targetHolding(a, now)-a.held())
	if !idle && now >= a.pausedUntil && want > 0 && (a.waiting > 0 || c.belowWatermark(a)) {
		h.Want = want
	}
	return h, due || h.Want > 0
}

// apply processes the response to a request that was sent at requestedAt.
func (c *Client) apply(req sliceRequest, resp sliceResponse, err error, requestedAt kernel.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	switch {
	case err != nil:
		c.pauseRequests(req, now)
		return
	case resp.NewestIncarnation > 0:
		c.restartIncarnation(resp.NewestIncarnation)
		return
	case resp.Term != c.term:
		c.enterTerm(resp.Term)
	}
	if c.k.Recorder != nil {
		c.k.Recorder.Add(RequestedKind, CallRecord{req.Proxy, req.Incarnation, req.Seq, requestedAt})
	}
	c.lease = resp.Lease
	until := requestedAt + resp.Lease - leaseMargin
	for i, g := range resp.Grants {
		a := c.allotments[g.Tenant]
		if a == nil || i >= len(req.Holdings) || req.Holdings[i].Tenant != g.Tenant {
			continue
		}
		a.expire(now)
		if !g.Renewed {
			a.dropLease()
		}
		a.free += g.Granted
		a.expires = until
		if g.RetryAfter > 0 {
			a.pausedUntil = now + g.RetryAfter
		}
		a.changed.NotifyAll()
	}
}

// pauseRequests records that the ledger did not respond to a request.
func (c *Client) pauseRequests(req sliceRequest, now kernel.Micros) {
	c.k.Counters.Add("quota.unanswered", 1)
	for _, h := range req.Holdings {
		if a := c.allotments[h.Tenant]; a != nil {
			a.pausedUntil = now + unreachablePause
			a.changed.NotifyAll()
		}
	}
}

// restartIncarnation begins an incarnation later than the newest that the ledger knows: the
// clock from which incarnation numbers are taken has stepped back since. Slices belong to the
// incarnation to which they were granted, so those held so far are dropped.
func (c *Client) restartIncarnation(newest int64) {
	if newest < c.incarnation {
		return
	}
	c.incarnation, c.seq = newest+1, 0
	for _, a := range c.allotments {
		a.dropLease()
		a.previousFree = 0
	}
	c.wakeServe()
}

// enterTerm begins the term of another ledger. What is held of the previous term remains valid
// to the end of its lease, for which the new ledger waits.
func (c *Client) enterTerm(term int64) {
	c.term = term
	for _, a := range c.allotments {
		a.previousFree, a.previousExpires = a.free, a.expires
		a.dropLease()
	}
}

// TenantUsage is what a proxy holds and needs of one tenant's quota.
type TenantUsage struct {
	Held int64   `json:"held"`  // operations
	PerS float64 `json:"per_s"` // wanted operations per second, averaged
}

// Usage returns the usage of each recently used tenant, by tenant.
func (c *Client) Usage() map[string]TenantUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	out := map[string]TenantUsage{}
	for tenant, a := range c.allotments {
		a.expire(now)
		out[tenant] = TenantUsage{a.held() + a.previousFree, a.rateAt(now)}
	}
	return out
}
