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
	// gather is for how long demands are put together in one call.
	gather = 2 * kernel.Millisecond
	// leaseMargin is kept to the end of a lease, for the way to a database and for
	// clocks that do not run alike.
	leaseMargin = 100 * kernel.Millisecond
	// Parts of a lease: for how much of a tenant's use a carrier holds a slice; how
	// long before its end it is renewed; and after how long without use it is given
	// back then.
	horizonShare = 0.8
	renewShare   = 0.4
	idleShare    = 0.5
	// lowWater is the part of what is to be held at which more is asked for.
	lowWater = 0.5
	// useMemory is over how long the use of a tenant is averaged.
	useMemory = 2 * kernel.Second
	// forgetAfter is after how long without use a tenant is forgotten.
	forgetAfter = 20 * kernel.Second
	// shortestLook is the shortest pause between two looks at leases.
	shortestLook = 20 * kernel.Millisecond
	// unreachedPause is for how long a ledger that can't be reached is left alone.
	unreachedPause = 100 * kernel.Millisecond
	// mostAsked bounds the tenants in one call.
	mostAsked = 500
	// mostWaiting bounds the operations of a tenant that wait for a grant.
	mostWaiting = 32
)

// Client is a carrier's side: its slices.
type Client struct {
	k       *kernel.Kernel
	carrier string
	// call asks the ledger; an error says that there is no answer.
	call func(ctx context.Context, q ask) (answer, error)

	mu         sync.Mutex
	life       int64
	seq        int64
	term       int64
	lease      kernel.Micros // as the ledger told last
	allotments map[string]*allotment
	wake       chan struct{}
}

// allotment is what a carrier has of one tenant's stock. What it holds is free, or
// admitted and not sent yet.
type allotment struct {
	free     int64
	admitted int64
	until    kernel.Micros // end of the lease
	lease    int64         // which lease that is: counted up when one ends
	old      int64         // free when the term of another ledger began
	oldUntil kernel.Micros
	waiting  int           // operations that wait for a grant
	paused   kernel.Micros // until then nothing is asked for
	use      float64       // operations a second, averaged
	used     kernel.Micros // when one was wanted last
	changed  kernel.Bell
}

// NewClient returns a client that holds nothing.
func NewClient(k *kernel.Kernel, carrier string, call func(ctx context.Context, q ask) (answer, error)) *Client {
	return &Client{
		k: k, carrier: carrier, call: call, life: time.Now().UnixMicro(),
		allotments: map[string]*allotment{}, wake: make(chan struct{}, 1),
	}
}

// Admission is leave to send one operation of a tenant. It is used by Sent, or
// returned by Unused.
type Admission struct {
	// Until is when the leave ends.
	Until  kernel.Micros
	tenant string
	from   *allotment // nil if nothing is counted
	lease  int64
}

// endedLease is that of an admission by what was left of the term before: of that
// nothing is counted any more.
const endedLease = -1

// Exhausted says that there is nothing left of a tenant's quota.
type Exhausted struct {
	ComeBack kernel.Micros // when to try again
}

func (e *Exhausted) Error() string {
	return fmt.Sprintf("quota: over the limit, more in %d ms", e.ComeBack.Millis())
}

// Admit takes one operation from what is held of a tenant, for which it waits for so
// long at most. The error is an Exhausted.
func (c *Client) Admit(tenant string, limit Limit, wait kernel.Micros) (Admission, error) {
	if limit.Unlimited() {
		return Admission{Until: math.MaxInt64}, nil
	}
	end := c.k.Clock.Now() + wait
	a := c.wanted(tenant)
	for {
		admission, ok := c.admit(tenant, a)
		if ok {
			return admission, nil
		}
		if !c.await(a, end) {
			c.k.Counters.Add("quota.refused", 1)
			return Admission{}, &Exhausted{c.comeBack(a)}
		}
	}
}

// wanted notes the wish for an operation.
func (c *Client) wanted(tenant string) *allotment {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allotments[tenant]
	if a == nil {
		a = &allotment{}
		c.allotments[tenant] = a
	}
	now := c.k.Clock.Now()
	a.use = a.useAt(now) + float64(kernel.Second)/float64(useMemory)
	a.used = now
	return a
}

// admit takes one, if there is one.
func (c *Client) admit(tenant string, a *allotment) (Admission, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	a.expire(now)
	switch {
	case a.old > 0:
		a.old--
		return Admission{a.oldUntil, tenant, a, endedLease}, true
	case a.free > 0:
		a.free--
		a.admitted++
		if c.low(a) && now >= a.paused {
			c.poke()
		}
		return Admission{a.until, tenant, a, a.lease}, true
	}
	return Admission{}, false
}

// await waits for a change of what is held; false if none is to be waited for.
func (c *Client) await(a *allotment, end kernel.Micros) bool {
	c.mu.Lock()
	now := c.k.Clock.Now()
	if now >= end || a.paused >= end || a.waiting >= mostWaiting {
		c.mu.Unlock()
		return false
	}
	until := end
	if a.paused > now {
		until = a.paused
	} else {
		c.poke()
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

func (c *Client) comeBack(a *allotment) kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(a.paused-c.k.Clock.Now(), leastComeBack)
}

// Sent says that the operation was sent, whatever came of it.
func (c *Client) Sent(a Admission) {
	if c.k.Recorder != nil && a.from != nil {
		c.k.Recorder.Add(SentKind, SentRecord{a.tenant})
	}
	c.end(a, 0)
}

// Unused says that the operation was not sent, and will not be.
func (c *Client) Unused(a Admission) { c.end(a, 1) }

// end ends an admission, of which so much is free again. Of one whose lease is over
// nothing is held any more.
func (c *Client) end(a Admission, free int64) {
	if a.from == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.from.lease == a.lease {
		a.from.admitted--
		a.from.free += free
		c.k.Invariants.Check(a.from.admitted >= 0, invariant.CountsPositive, "%d operations of %s admitted", a.from.admitted, a.tenant)
	}
}

func (a *allotment) useAt(now kernel.Micros) float64 {
	if a.used == 0 {
		return 0
	}
	return a.use * math.Exp(-float64(now-a.used)/float64(useMemory))
}

func (a *allotment) held() int64 { return a.free + a.admitted }

// part is a share of a lease.
func (c *Client) part(share float64) kernel.Micros { return kernel.Micros(share * float64(c.lease)) }

// ahead is how much is to be held for what is to come: nothing for a tenant of which
// less than one operation is expected, since that would rest mostly.
func (c *Client) ahead(a *allotment, now kernel.Micros) int64 {
	return int64(a.useAt(now) * float64(c.part(horizonShare)) / float64(kernel.Second))
}

// low tells whether it is time to ask for more.
func (c *Client) low(a *allotment) bool {
	return float64(a.free) < lowWater*float64(c.ahead(a, a.used))
}

// expire drops what no lease covers any more.
func (a *allotment) expire(now kernel.Micros) {
	if now >= a.until && a.held() > 0 {
		a.drop()
	}
	if now >= a.oldUntil {
		a.old = 0
	}
}

// drop ends the lease.
func (a *allotment) drop() {
	a.free, a.admitted = 0, 0
	a.lease++
}

func (c *Client) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Serve asks for slices until ctx ends, one call at a time.
func (c *Client) Serve(ctx context.Context) error {
	look := time.NewTimer(forgetAfter.Duration())
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-look.C:
		case <-c.wake:
			if !kernel.Sleep(ctx, gather) {
				return nil
			}
		}
		if q, needed := c.next(); needed {
			asked := c.k.Clock.Now()
			c.k.Counters.Add("quota.asked", 1)
			a, err := c.call(ctx, q)
			c.apply(q, a, err, asked)
		}
		look.Reset(c.nextLook().Duration())
	}
}

// nextLook is how long until a lease is to be looked at.
func (c *Client) nextLook() kernel.Micros {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, span := c.k.Clock.Now(), forgetAfter
	for _, a := range c.allotments {
		if a.held() > 0 {
			span = min(span, a.until-c.part(renewShare)-now)
		}
	}
	return max(span, shortestLook)
}

// next puts together what is to be asked now; false if nothing is.
func (c *Client) next() (ask, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	q := ask{Carrier: c.carrier, Life: c.life}
	for tenant, a := range c.allotments {
		a.expire(now)
		if a.held() == 0 && a.old == 0 && a.waiting == 0 && now-a.used > forgetAfter {
			delete(c.allotments, tenant)
			continue
		}
		if len(q.Holdings) == mostAsked {
			c.poke()
			break
		}
		if h, tell := c.holding(a, now); tell {
			h.Tenant = tenant
			q.Holdings = append(q.Holdings, h)
		}
	}
	if len(q.Holdings) == 0 {
		return q, false
	}
	c.seq++
	q.Seq = c.seq
	return q, true
}

// holding is what the ledger is to be told of an allotment; false if nothing is. One
// that rests is given back when its lease would be renewed: a message that is lost
// then loses what it returns.
func (c *Client) holding(a *allotment, now kernel.Micros) (h Holding, tell bool) {
	due := a.held() > 0 && a.until-now <= c.part(renewShare)
	rests := a.waiting == 0 && now-a.used > c.part(idleShare)
	if due && rests {
		h.Returned, a.free = a.free, 0
	}
	h.Held = a.held()
	want := max(int64(a.waiting)-a.free, c.ahead(a, now)-a.held())
	if !rests && now >= a.paused && want > 0 && (a.waiting > 0 || c.low(a)) {
		h.Want = want
	}
	return h, due || h.Want > 0
}

// apply takes in the answer to what was asked at that time.
func (c *Client) apply(q ask, n answer, err error, asked kernel.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	switch {
	case err != nil:
		c.unanswered(q, now)
		return
	case n.Newest > 0:
		c.renew(n.Newest)
		return
	case n.Term != c.term:
		c.enter(n.Term)
	}
	if c.k.Recorder != nil {
		c.k.Recorder.Add(AskedKind, CallRecord{q.Carrier, q.Life, q.Seq, asked})
	}
	c.lease = n.Lease
	until := asked + n.Lease - leaseMargin
	for i, s := range n.Slices {
		a := c.allotments[s.Tenant]
		if a == nil || i >= len(q.Holdings) || q.Holdings[i].Tenant != s.Tenant {
			continue
		}
		a.expire(now)
		if !s.Renewed {
			a.drop()
		}
		a.free += s.Grant
		a.until = until
		if s.ComeBack > 0 {
			a.paused = now + s.ComeBack
		}
		a.changed.Ring()
	}
}

// unanswered notes that the ledger did not answer.
func (c *Client) unanswered(q ask, now kernel.Micros) {
	c.k.Counters.Add("quota.unanswered", 1)
	for _, h := range q.Holdings {
		if a := c.allotments[h.Tenant]; a != nil {
			a.paused = now + unreachedPause
			a.changed.Ring()
		}
	}
}

// renew begins a life after one that the ledger has heard of: the clock by which lives
// are counted has stepped back meanwhile. Whatever an earlier life holds is its own.
func (c *Client) renew(newest int64) {
	if newest < c.life {
		return
	}
	c.life, c.seq = newest+1, 0
	for _, a := range c.allotments {
		a.drop()
		a.old = 0
	}
	c.poke()
}

// enter begins the term of another ledger. What is held of the one before lasts to the
// end of its lease, for which the new one waits.
func (c *Client) enter(term int64) {
	c.term = term
	for _, a := range c.allotments {
		a.old, a.oldUntil = a.free, a.until
		a.drop()
	}
}

// Use is what a carrier does for one tenant.
type Use struct {
	Held int64   `json:"held"`  // operations
	PerS float64 `json:"per_s"` // that are wanted, averaged
}

// Uses tells it of each tenant that was heard of late, by name.
func (c *Client) Uses() map[string]Use {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	out := map[string]Use{}
	for tenant, a := range c.allotments {
		a.expire(now)
		out[tenant] = Use{a.held() + a.old, a.useAt(now)}
	}
	return out
}
