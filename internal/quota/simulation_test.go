package quota

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"

	"indigowalk/internal/kernel"
)

// manualClock is a clock that is set by hand, with a zero of its own.
type manualClock struct {
	base *kernel.Micros
	zero kernel.Micros
}

func (c manualClock) Now() kernel.Micros { return *c.base + c.zero }

// event is an action at a time.
type event struct {
	at kernel.Micros
	do func()
}

// schedule is a heap of events.
type schedule []event

func (s schedule) Len() int { return len(s) }

func (s schedule) Less(i, j int) bool { return s[i].at < s[j].at }

func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

func (s *schedule) Push(x any) { *s = append(*s, x.(event)) }

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

const (
	testLease  = 600 * kernel.Millisecond
	testWindow = 2 * kernel.Second
	callWait   = 200 * kernel.Millisecond
)

// strict is a tolerance of zero, so that nothing is granted in the first lease of a term.
var strict = Tolerance{Window: testWindow}

// tolerances are the tolerances that are simulated.
var tolerances = []Tolerance{strict, {Window: testWindow, Slack: 20}, {Window: testWindow, Excess: 0.2, Slack: 10}}

// sending is an operation that was sent to a database.
type sentOperation struct {
	tenant string
	at     kernel.Micros
	term   int64 // of the ledger that granted it
}

// tenants are the names of the simulated tenants.
var tenants = []string{"steady", "fast", "bursty", "small", "changing"}

// limitsSince is the limits in force since a time.
type limitsSince struct {
	since kernel.Micros
	by    map[string]Limit
}

// simulation is one random schedule of requests and faults.
type simulation struct {
	r                *rand.Rand
	now              kernel.Micros
	events           schedule
	tolerance        Tolerance
	ledger           *Ledger
	term             int64
	down             bool // there is no ledger
	openingCompleted bool // it is known that no slices of a term before the last are outstanding
	proxies          []*simulatedProxy
	sent             []sentOperation
	limits           []limitsSince
	violation        string        // the violation that was found, "" if none
	steady           bool          // demand has no bursts
	lateShare        float64       // share of the operations that are sent just before their lease ends
	maxInterval      kernel.Micros // maximum interval between two demands
}

// simulatedProxy is a proxy whose requests, freezes and restarts are simulated.
type simulatedProxy struct {
	p           *simulation
	name        string
	client      *Client
	pendingCall int64         // number of the request that is in flight, 0 if none
	calls       int64         // number of requests so far
	frozenUntil kernel.Micros // until then the proxy does nothing
}

func (p *simulation) after(span kernel.Micros, do func()) {
	heap.Push(&p.events, event{p.now + span, do})
}

func (p *simulation) randomUpTo(span kernel.Micros) kernel.Micros {
	return kernel.Micros(p.r.Int64N(int64(span) + 1))
}

// start begins an incarnation of the proxy.
func (c *simulatedProxy) start() {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	k.Clock = manualClock{&c.p.now, kernel.Micros(c.p.r.Int64N(int64(kernel.Second))) + kernel.Second}
	c.client = NewClient(k, c.name, nil)
	c.calls++
	c.client.incarnation = c.calls
	c.pendingCall = 0
}

// whenRunning runs an action now, or once the proxy is no longer frozen. It is dropped if the
// proxy restarts in between.
func (c *simulatedProxy) whenRunning(do func()) {
	client := c.client
	if c.p.now < c.frozenUntil {
		c.p.after(c.frozenUntil-c.p.now+1, func() {
			if c.client == client {
				c.whenRunning(do)
			}
		})
		return
	}
	do()
}

// demand simulates that a client wants one operation.
func (c *simulatedProxy) demand(tenant string) {
	a := c.client.recordDemand(tenant)
	admission, ok := c.client.tryAdmit(tenant, a)
	if !ok {
		a.waiting++
		c.p.after(50*kernel.Millisecond, func() { a.waiting-- })
		c.sendRequest()
		return
	}
	term := c.client.term
	if admission.leaseNumber == previousTermLease {
		term-- // from the slice of the previous term
	}
	client, span := c.client, c.p.randomUpTo(20*kernel.Millisecond)
	switch {
	case c.p.r.IntN(20) == 0:
		span = c.p.randomUpTo(2 * testLease)
	case c.p.r.Float64() < c.p.lateShare:
		span = max(0, admission.Until-c.client.k.Clock.Now()-1)
	}
	c.p.after(span, func() {
		if c.client == client {
			c.whenRunning(func() { c.send(tenant, admission, term) })
		}
	})
}

// send is the step that checks the admission and sends the operation.
func (c *simulatedProxy) send(tenant string, a Admission, term int64) {
	if c.client.k.Clock.Now() >= a.Until || c.p.r.IntN(20) == 0 {
		c.client.Return(a)
		return
	}
	counted := c.p.counted(tenant, proxyProcess{c.name, c.client.incarnation})
	if term == c.p.ledger.term && counted == 0 || term < c.p.ledger.term && c.p.now >= c.p.ledger.previousLeasesEnd {
		c.p.violation = fmt.Sprintf("%s sends an operation of %s under a lease that has ended at the ledger", c.name, tenant)
	}
	c.p.sent = append(c.p.sent, sentOperation{tenant, c.p.now, term})
	c.client.Spend(a)
}

// sendRequest sends the next request of the proxy, if there is one, over a network that loses,
// repeats and delays messages.
func (c *simulatedProxy) sendRequest() {
	if c.pendingCall != 0 {
		return
	}
	req, needed := c.client.nextRequest()
	if !needed {
		return
	}
	c.calls++
	call, client, requestedAt := c.calls, c.client, c.client.k.Clock.Now()
	c.pendingCall = call
	complete := func(a sliceResponse, err error) {
		if c.client != client {
			return
		}
		c.whenRunning(func() {
			if c.pendingCall == call {
				c.pendingCall = 0
				c.client.apply(req, a, err, requestedAt)
			}
		})
	}
	c.p.after(callWait, func() { complete(sliceResponse{}, errors.New("no response")) })
	for range 1 + c.p.r.IntN(6)/5 {
		if c.p.r.IntN(10) > 0 {
			c.p.after(c.p.delay(), func() { c.p.deliver(req, complete) })
		}
	}
}

// delay is the time a message takes: rarely longer than the response timeout.
func (p *simulation) delay() kernel.Micros {
	if p.r.IntN(15) == 0 {
		return p.randomUpTo(3 * testLease)
	}
	return p.randomUpTo(10 * kernel.Millisecond)
}

// deliver hands a request to the current ledger.
func (p *simulation) deliver(req sliceRequest, complete func(sliceResponse, error)) {
	if p.down {
		return
	}
	a, err := p.ledger.Take(p.now, req)
	if errors.Is(err, ErrMalformed) || err != nil && a.NewestIncarnation == 0 || p.r.IntN(10) == 0 {
		return
	}
	p.after(p.delay(), func() { complete(a, nil) })
}

// startTerm replaces the ledger by that of the next term.
func (p *simulation) startTerm() {
	p.term++
	p.down = false
	l := NewLedger(p.term, p.now, testLease, p.tolerance)
	p.ledger = l
	l.SetLimits(p.now, p.limits[len(p.limits)-1].by)
	if p.openingCompleted {
		p.openingCompleted = false
		p.after(p.randomUpTo(100*kernel.Millisecond), func() { l.GrantEarly(p.now) })
	}
	p.after(testLease+p.randomUpTo(100*kernel.Millisecond), func() {
		if p.ledger == l && !p.down {
			p.openingCompleted = true
		}
	})
}

// changeLimits puts new limits in force.
func (p *simulation) changeLimits() {
	by := map[string]Limit{"steady": {PerS: 20, Burst: 10}, "fast": {PerS: 200, Burst: 10}, "bursty": {PerS: 5, Burst: 40}, "small": {PerS: 2, Burst: 1}}
	if p.r.IntN(3) > 0 {
		by["changing"] = Limit{PerS: 1 + 40*p.r.Float64(), Burst: 20 * p.r.Float64()}
	}
	p.limits = append(p.limits, limitsSince{p.now, by})
	if p.ledger != nil {
		p.ledger.SetLimits(p.now, by)
	}
}

// injectFault has a random fault happen to a proxy or to the ledger.
func (p *simulation) injectFault() {
	c := p.proxies[p.r.IntN(len(p.proxies))]
	switch p.r.IntN(6) {
	case 0:
		c.start()
	case 1:
		c.frozenUntil = p.now + p.randomUpTo(2*testLease)
	case 2, 3:
		p.burst()
		p.after(60*kernel.Millisecond, func() { p.down = true })
		p.after(60*kernel.Millisecond+p.randomUpTo(2*testLease), p.startTerm)
	case 4:
		p.changeLimits()
	case 5:
		p.burst()
		p.after(60*kernel.Millisecond, p.startTerm)
		next := 60 * kernel.Millisecond
		for p.r.IntN(2) == 0 { // the new primary is replaced soon
			next += p.randomUpTo(testLease / 2)
			p.after(next, p.burst)
			next += 60 * kernel.Millisecond
			p.after(next, p.startTerm)
		}
		p.after(next+p.randomUpTo(testLease), p.burst)
	}
}

// burst makes proxies take as much as there is, and hold it to the end of the lease.
func (p *simulation) burst() {
	if p.steady {
		return
	}
	lateShare := p.lateShare
	p.lateShare = 1
	for i := range 20 {
		p.after(kernel.Micros(2*i)*kernel.Millisecond, func() {
			for _, c := range p.proxies {
				if p.now >= c.frozenUntil {
					for range 4 {
						c.demand(tenants[i%len(tenants)])
					}
				}
			}
		})
	}
	p.after(50*kernel.Millisecond, func() { p.lateShare = lateShare })
}

// run simulates a period.
func (p *simulation) run(span kernel.Micros) {
	p.changeLimits()
	p.startTerm()
	for i := range 4 {
		c := &simulatedProxy{p: p, name: fmt.Sprint("carrier-", i)}
		c.start()
		p.proxies = append(p.proxies, c)
	}
	var generateDemand, sendRequests, injectFaults func()
	generateDemand = func() {
		c := p.proxies[p.r.IntN(len(p.proxies))]
		tenant := tenants[p.r.IntN(len(tenants))]
		if p.now >= c.frozenUntil {
			c.demand(tenant)
		}
		p.after(p.randomUpTo(p.maxInterval), generateDemand)
	}
	sendRequests = func() {
		for _, c := range p.proxies {
			if p.now >= c.frozenUntil {
				c.sendRequest()
			}
		}
		p.after(20*kernel.Millisecond, sendRequests)
	}
	injectFaults = func() {
		p.injectFault()
		p.maxInterval = kernel.Micros(1+p.r.IntN(12)) * kernel.Millisecond
		if !p.steady && p.r.IntN(2) == 0 {
			p.maxInterval = kernel.Second // low demand, so that stock grows to the capacity
		}
		p.after(p.randomUpTo(10*kernel.Second), injectFaults)
	}
	generateDemand()
	sendRequests()
	p.after(3*kernel.Second, injectFaults)
	for step := 0; p.events[0].at < span; step++ {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
		if step%4 == 0 && p.violation == "" {
			p.violation = cmp.Or(p.findUncovered(), p.findUnbalanced())
		}
		if p.violation != "" {
			return
		}
	}
}
