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
	testLease   = 600 * kernel.Millisecond
	testWindow  = 2 * kernel.Second
	callTimeout = 200 * kernel.Millisecond
)

// zeroTolerance is a tolerance of zero, so that nothing is granted in the first lease of a term.
var zeroTolerance = Tolerance{Window: testWindow}

// tolerances are the tolerances that are simulated.
var tolerances = []Tolerance{zeroTolerance, {Window: testWindow, Slack: 20}, {Window: testWindow, Excess: 0.2, Slack: 10}}

// sentOperation is an operation that was sent to a database.
type sentOperation struct {
	tenant string
	at     kernel.Micros
	term   int64 // of the ledger that granted it
}

// tenants are the names of the simulated tenants.
var tenants = []string{"steady", "fast", "bursty", "small", "changing"}

// limitsSince holds the limits in force since a time.
type limitsSince struct {
	since  kernel.Micros
	limits map[string]Limit
}

// simulation is one random schedule of requests and faults.
type simulation struct {
	random           *rand.Rand
	now              kernel.Micros
	events           schedule
	tolerance        Tolerance
	ledger           *Ledger
	term             int64
	ledgerDown       bool // there is no ledger
	openingCompleted bool // it is known that no slices of a term before the last are outstanding
	proxies          []*simulatedProxy
	sent             []sentOperation
	limits           []limitsSince
	violation        string // the violation that was found, "" if none
	noBursts         bool
	lateShare        float64       // share of the operations that are sent just before their lease ends
	maxInterval      kernel.Micros // maximum interval between two demands
}

// simulatedProxy is a proxy whose requests, freezes and restarts are simulated.
type simulatedProxy struct {
	sim         *simulation
	name        string
	client      *Client
	pendingCall int64         // number of the request that is in flight, 0 if none
	calls       int64         // number of requests so far
	frozenUntil kernel.Micros // until then the proxy does nothing
}

func (s *simulation) after(span kernel.Micros, do func()) {
	heap.Push(&s.events, event{s.now + span, do})
}

func (s *simulation) randomUpTo(span kernel.Micros) kernel.Micros {
	return kernel.Micros(s.random.Int64N(int64(span) + 1))
}

// start begins an incarnation of the proxy.
func (p *simulatedProxy) start() {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	k.Clock = manualClock{&p.sim.now, kernel.Micros(p.sim.random.Int64N(int64(kernel.Second))) + kernel.Second}
	p.client = NewClient(k, p.name, nil)
	p.calls++
	p.client.incarnation = p.calls
	p.pendingCall = 0
}

// whenRunning runs an action now, or once the proxy is no longer frozen. It is dropped if the
// proxy restarts in between.
func (p *simulatedProxy) whenRunning(do func()) {
	client := p.client
	if p.sim.now < p.frozenUntil {
		p.sim.after(p.frozenUntil-p.sim.now+1, func() {
			if p.client == client {
				p.whenRunning(do)
			}
		})
		return
	}
	do()
}

// demand simulates that a client wants one operation.
func (p *simulatedProxy) demand(tenant string) {
	a := p.client.recordDemand(tenant)
	admission, ok := p.client.tryAdmit(tenant, a)
	if !ok {
		a.waiting++
		p.sim.after(50*kernel.Millisecond, func() { a.waiting-- })
		p.sendRequest()
		return
	}
	term := p.client.term
	if admission.leaseNumber == previousTermLease {
		term-- // from the slice of the previous term
	}
	client, span := p.client, p.sim.randomUpTo(20*kernel.Millisecond)
	switch {
	case p.sim.random.IntN(20) == 0:
		span = p.sim.randomUpTo(2 * testLease)
	case p.sim.random.Float64() < p.sim.lateShare:
		span = max(0, admission.Until-p.client.k.Clock.Now()-1)
	}
	p.sim.after(span, func() {
		if p.client == client {
			p.whenRunning(func() { p.send(tenant, admission, term) })
		}
	})
}

// send checks the admission and sends the operation, in one step.
func (p *simulatedProxy) send(tenant string, admission Admission, term int64) {
	if p.client.k.Clock.Now() >= admission.Until || p.sim.random.IntN(20) == 0 {
		p.client.Return(admission)
		return
	}
	recorded := p.sim.recordedHolding(tenant, proxyIncarnation{p.name, p.client.incarnation})
	if term == p.sim.ledger.term && recorded == 0 || term < p.sim.ledger.term && p.sim.now >= p.sim.ledger.previousLeasesEnd {
		p.sim.violation = fmt.Sprintf("%s sends an operation of %s under a lease that has ended at the ledger", p.name, tenant)
	}
	p.sim.sent = append(p.sim.sent, sentOperation{tenant, p.sim.now, term})
	p.client.Spend(admission)
}

// sendRequest sends the next request of the proxy, if there is one, over a network that loses,
// repeats and delays messages.
func (p *simulatedProxy) sendRequest() {
	if p.pendingCall != 0 {
		return
	}
	req, needed := p.client.nextRequest()
	if !needed {
		return
	}
	p.calls++
	call, client, requestedAt := p.calls, p.client, p.client.k.Clock.Now()
	p.pendingCall = call
	complete := func(resp sliceResponse, err error) {
		if p.client != client {
			return
		}
		p.whenRunning(func() {
			if p.pendingCall == call {
				p.pendingCall = 0
				p.client.apply(req, resp, err, requestedAt)
			}
		})
	}
	p.sim.after(callTimeout, func() { complete(sliceResponse{}, errors.New("no response")) })
	for range 1 + p.sim.random.IntN(6)/5 {
		if p.sim.random.IntN(10) > 0 {
			p.sim.after(p.sim.delay(), func() { p.sim.deliver(req, complete) })
		}
	}
}

// delay is the time a message takes: rarely longer than the response timeout.
func (s *simulation) delay() kernel.Micros {
	if s.random.IntN(15) == 0 {
		return s.randomUpTo(3 * testLease)
	}
	return s.randomUpTo(10 * kernel.Millisecond)
}

// deliver hands a request to the current ledger.
func (s *simulation) deliver(req sliceRequest, complete func(sliceResponse, error)) {
	if s.ledgerDown {
		return
	}
	resp, err := s.ledger.ProcessRequest(s.now, req)
	if errors.Is(err, ErrMalformed) || err != nil && resp.NewestIncarnation == 0 || s.random.IntN(10) == 0 {
		return
	}
	s.after(s.delay(), func() { complete(resp, nil) })
}

// startNextTerm replaces the ledger by that of the next term.
func (s *simulation) startNextTerm() {
	s.term++
	s.ledgerDown = false
	ledger := NewLedger(s.term, s.now, testLease, s.tolerance)
	s.ledger = ledger
	ledger.SetLimits(s.now, s.limits[len(s.limits)-1].limits)
	if s.openingCompleted {
		s.openingCompleted = false
		s.after(s.randomUpTo(100*kernel.Millisecond), func() { ledger.GrantEarly(s.now) })
	}
	s.after(testLease+s.randomUpTo(100*kernel.Millisecond), func() {
		if s.ledger == ledger && !s.ledgerDown {
			s.openingCompleted = true
		}
	})
}

// changeLimits puts new limits in force.
func (s *simulation) changeLimits() {
	limits := map[string]Limit{"steady": {PerS: 20, Burst: 10}, "fast": {PerS: 200, Burst: 10}, "bursty": {PerS: 5, Burst: 40}, "small": {PerS: 2, Burst: 1}}
	if s.random.IntN(3) > 0 {
		limits["changing"] = Limit{PerS: 1 + 40*s.random.Float64(), Burst: 20 * s.random.Float64()}
	}
	s.limits = append(s.limits, limitsSince{s.now, limits})
	if s.ledger != nil {
		s.ledger.SetLimits(s.now, limits)
	}
}

// injectFault injects a random fault into a proxy or the ledger, or changes the limits.
func (s *simulation) injectFault() {
	proxy := s.proxies[s.random.IntN(len(s.proxies))]
	switch s.random.IntN(6) {
	case 0:
		proxy.start()
	case 1:
		proxy.frozenUntil = s.now + s.randomUpTo(2*testLease)
	case 2, 3:
		s.burst()
		s.after(60*kernel.Millisecond, func() { s.ledgerDown = true })
		s.after(60*kernel.Millisecond+s.randomUpTo(2*testLease), s.startNextTerm)
	case 4:
		s.changeLimits()
	case 5:
		s.burst()
		s.after(60*kernel.Millisecond, s.startNextTerm)
		next := 60 * kernel.Millisecond
		for s.random.IntN(2) == 0 { // the new primary is replaced soon
			next += s.randomUpTo(testLease / 2)
			s.after(next, s.burst)
			next += 60 * kernel.Millisecond
			s.after(next, s.startNextTerm)
		}
		s.after(next+s.randomUpTo(testLease), s.burst)
	}
}

// burst makes proxies request as much as they can get, and hold it to the end of the lease.
func (s *simulation) burst() {
	if s.noBursts {
		return
	}
	lateShare := s.lateShare
	s.lateShare = 1
	for i := range 20 {
		s.after(kernel.Micros(2*i)*kernel.Millisecond, func() {
			for _, proxy := range s.proxies {
				if s.now >= proxy.frozenUntil {
					for range 4 {
						proxy.demand(tenants[i%len(tenants)])
					}
				}
			}
		})
	}
	s.after(50*kernel.Millisecond, func() { s.lateShare = lateShare })
}

// run simulates a period.
func (s *simulation) run(span kernel.Micros) {
	s.changeLimits()
	s.startNextTerm()
	for i := range 4 {
		proxy := &simulatedProxy{sim: s, name: fmt.Sprint("carrier-", i)}
		proxy.start()
		s.proxies = append(s.proxies, proxy)
	}
	var generateDemand, sendRequests, injectFaults func()
	generateDemand = func() {
		proxy := s.proxies[s.random.IntN(len(s.proxies))]
		tenant := tenants[s.random.IntN(len(tenants))]
		if s.now >= proxy.frozenUntil {
			proxy.demand(tenant)
		}
		s.after(s.randomUpTo(s.maxInterval), generateDemand)
	}
	sendRequests = func() {
		for _, proxy := range s.proxies {
			if s.now >= proxy.frozenUntil {
				proxy.sendRequest()
			}
		}
		s.after(20*kernel.Millisecond, sendRequests)
	}
	injectFaults = func() {
		s.injectFault()
		s.maxInterval = kernel.Micros(1+s.random.IntN(12)) * kernel.Millisecond
		if !s.noBursts && s.random.IntN(2) == 0 {
			s.maxInterval = kernel.Second // low demand, so that stock grows to the capacity
		}
		s.after(s.randomUpTo(10*kernel.Second), injectFaults)
	}
	generateDemand()
	sendRequests()
	s.after(3*kernel.Second, injectFaults)
	for step := 0; s.events[0].at < span; step++ {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.do()
		if step%4 == 0 && s.violation == "" {
			s.violation = cmp.Or(s.findUncovered(), s.findUnbalanced())
		}
		if s.violation != "" {
			return
		}
	}
}
