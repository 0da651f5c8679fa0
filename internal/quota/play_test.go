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

// manualClock is a clock that is set, with an own zero.
type manualClock struct {
	world *kernel.Micros
	zero  kernel.Micros
}

func (c manualClock) Now() kernel.Micros { return *c.world + c.zero }

// event is something that happens at a time.
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

// strict is a tolerance that leaves no room, so that nothing is granted in the first
// lease of a term.
var strict = Tolerance{Window: testWindow}

// tolerances are those that are played.
var tolerances = []Tolerance{strict, {Window: testWindow, Slack: 20}, {Window: testWindow, Excess: 0.2, Slack: 10}}

// sending is an operation that was sent to a database.
type sending struct {
	tenant string
	at     kernel.Micros
	term   int64 // of the ledger that granted it
}

// tenants are those that clients are of.
var tenants = []string{"steady", "fast", "bursty", "small", "changing"}

// limits in force since a time.
type limits struct {
	since kernel.Micros
	by    map[string]Limit
}

// play is one random schedule.
type play struct {
	r         *rand.Rand
	now       kernel.Micros
	events    schedule
	tolerance Tolerance
	ledger    *Ledger
	term      int64
	down      bool // there is no ledger
	settled   bool // it is known that no slices of a term before the last are out
	carriers  []*playedCarrier
	sendings  []sending
	limits    []limits
	wrong     string        // what must not be, "" if nothing
	steady    bool          // demand is
	atLast    float64       // share of the operations that are sent in the last moment
	flood     kernel.Micros // between two wishes, at most
}

// playedCarrier is a carrier whose calls, freezes and deaths are played.
type playedCarrier struct {
	p      *play
	name   string
	client *Client
	call   int64         // the number of the call that is waited for, 0 for none
	calls  int64         // so far
	frozen kernel.Micros // until then nothing is done
}

func (p *play) after(span kernel.Micros, do func()) {
	heap.Push(&p.events, event{p.now + span, do})
}

func (p *play) upTo(span kernel.Micros) kernel.Micros {
	return kernel.Micros(p.r.Int64N(int64(span) + 1))
}

// start begins a life of the carrier.
func (c *playedCarrier) start() {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	k.Clock = manualClock{&c.p.now, kernel.Micros(c.p.r.Int64N(int64(kernel.Second))) + kernel.Second}
	c.client = NewClient(k, c.name, nil)
	c.calls++
	c.client.life = c.calls
	c.call = 0
}

// whenAwake does something now, or when the carrier is not frozen any more; not if it
// has ended meanwhile.
func (c *playedCarrier) whenAwake(do func()) {
	life := c.client
	if c.p.now < c.frozen {
		c.p.after(c.frozen-c.p.now+1, func() {
			if c.client == life {
				c.whenAwake(do)
			}
		})
		return
	}
	do()
}

// want is one operation that a client wishes for.
func (c *playedCarrier) want(tenant string) {
	a := c.client.wanted(tenant)
	admission, ok := c.client.admit(tenant, a)
	if !ok {
		a.waiting++
		c.p.after(50*kernel.Millisecond, func() { a.waiting-- })
		c.ask()
		return
	}
	term := c.client.term
	if admission.lease == endedLease {
		term-- // it is left of the one before
	}
	life, span := c.client, c.p.upTo(20*kernel.Millisecond)
	switch {
	case c.p.r.IntN(20) == 0:
		span = c.p.upTo(2 * testLease)
	case c.p.r.Float64() < c.p.atLast:
		span = max(0, admission.Until-c.client.k.Clock.Now()-1)
	}
	c.p.after(span, func() {
		if c.client == life {
			c.whenAwake(func() { c.send(tenant, admission, term) })
		}
	})
}

// send is the step at which the leave is looked at.
func (c *playedCarrier) send(tenant string, a Admission, term int64) {
	if c.client.k.Clock.Now() >= a.Until || c.p.r.IntN(20) == 0 {
		c.client.Unused(a)
		return
	}
	counted := c.p.counted(tenant, holder{c.name, c.client.life})
	if term == c.p.ledger.term && counted == 0 || term < c.p.ledger.term && c.p.now >= c.p.ledger.opens {
		c.p.wrong = fmt.Sprintf("%s sends for %s what the ledger takes for over", c.name, tenant)
	}
	c.p.sendings = append(c.p.sendings, sending{tenant, c.p.now, term})
	c.client.Sent(a)
}

// ask sends what the carrier has to ask, over a network that loses, repeats and delays.
func (c *playedCarrier) ask() {
	if c.call != 0 {
		return
	}
	q, needed := c.client.next()
	if !needed {
		return
	}
	c.calls++
	call, life, asked := c.calls, c.client, c.client.k.Clock.Now()
	c.call = call
	settle := func(a answer, err error) {
		if c.client != life {
			return
		}
		c.whenAwake(func() {
			if c.call == call {
				c.call = 0
				c.client.apply(q, a, err, asked)
			}
		})
	}
	c.p.after(callWait, func() { settle(answer{}, errors.New("no answer")) })
	for range 1 + c.p.r.IntN(6)/5 {
		if c.p.r.IntN(10) > 0 {
			c.p.after(c.p.delay(), func() { c.p.arrive(q, settle) })
		}
	}
}

// delay is how long a message is on its way: seldom longer than is waited for it.
func (p *play) delay() kernel.Micros {
	if p.r.IntN(15) == 0 {
		return p.upTo(3 * testLease)
	}
	return p.upTo(10 * kernel.Millisecond)
}

// arrive is a message at whoever holds the stock then.
func (p *play) arrive(q ask, settle func(answer, error)) {
	if p.down {
		return
	}
	a, err := p.ledger.Take(p.now, q)
	if errors.Is(err, ErrMalformed) || err != nil && a.Newest == 0 || p.r.IntN(10) == 0 {
		return
	}
	p.after(p.delay(), func() { settle(a, nil) })
}

// lead has another ledger hold the stock from now on.
func (p *play) lead() {
	p.term++
	p.down = false
	l := NewLedger(p.term, p.now, testLease, p.tolerance)
	p.ledger = l
	l.SetLimits(p.now, p.limits[len(p.limits)-1].by)
	if p.settled {
		p.settled = false
		p.after(p.upTo(100*kernel.Millisecond), func() { l.Narrow(p.now) })
	}
	p.after(testLease+p.upTo(100*kernel.Millisecond), func() {
		if p.ledger == l && !p.down {
			p.settled = true
		}
	})
}

// limit puts limits in force.
func (p *play) limit() {
	by := map[string]Limit{"steady": {PerS: 20, Burst: 10}, "fast": {PerS: 200, Burst: 10}, "bursty": {PerS: 5, Burst: 40}, "small": {PerS: 2, Burst: 1}}
	if p.r.IntN(3) > 0 {
		by["changing"] = Limit{PerS: 1 + 40*p.r.Float64(), Burst: 20 * p.r.Float64()}
	}
	p.limits = append(p.limits, limits{p.now, by})
	if p.ledger != nil {
		p.ledger.SetLimits(p.now, by)
	}
}

// disturb has something happen to a carrier or to the ledger.
func (p *play) disturb() {
	c := p.carriers[p.r.IntN(len(p.carriers))]
	switch p.r.IntN(6) {
	case 0:
		c.start()
	case 1:
		c.frozen = p.now + p.upTo(2*testLease)
	case 2, 3:
		p.rush()
		p.after(60*kernel.Millisecond, func() { p.down = true })
		p.after(60*kernel.Millisecond+p.upTo(2*testLease), p.lead)
	case 4:
		p.limit()
	case 5:
		p.rush()
		p.after(60*kernel.Millisecond, p.lead)
		next := 60 * kernel.Millisecond
		for p.r.IntN(2) == 0 { // it does not lead for long
			next += p.upTo(testLease / 2)
			p.after(next, p.rush)
			next += 60 * kernel.Millisecond
			p.after(next, p.lead)
		}
		p.after(next+p.upTo(testLease), p.rush)
	}
}

// rush has carriers take as much as there is, and hold it.
func (p *play) rush() {
	if p.steady {
		return
	}
	atLast := p.atLast
	p.atLast = 1
	for i := range 20 {
		p.after(kernel.Micros(2*i)*kernel.Millisecond, func() {
			for _, c := range p.carriers {
				if p.now >= c.frozen {
					for range 4 {
						c.want(tenants[i%len(tenants)])
					}
				}
			}
		})
	}
	p.after(50*kernel.Millisecond, func() { p.atLast = atLast })
}

// run plays for a while.
func (p *play) run(span kernel.Micros) {
	p.limit()
	p.lead()
	for i := range 4 {
		c := &playedCarrier{p: p, name: fmt.Sprint("carrier-", i)}
		c.start()
		p.carriers = append(p.carriers, c)
	}
	var wish, look, trouble func()
	wish = func() {
		c := p.carriers[p.r.IntN(len(p.carriers))]
		tenant := tenants[p.r.IntN(len(tenants))]
		if p.now >= c.frozen {
			c.want(tenant)
		}
		p.after(p.upTo(p.flood), wish)
	}
	look = func() {
		for _, c := range p.carriers {
			if p.now >= c.frozen {
				c.ask()
			}
		}
		p.after(20*kernel.Millisecond, look)
	}
	trouble = func() {
		p.disturb()
		p.flood = kernel.Micros(1+p.r.IntN(12)) * kernel.Millisecond
		if !p.steady && p.r.IntN(2) == 0 {
			p.flood = kernel.Second // so that stock grows to the capacity
		}
		p.after(p.upTo(10*kernel.Second), trouble)
	}
	wish()
	look()
	p.after(3*kernel.Second, trouble)
	for turn := 0; p.events[0].at < span; turn++ {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
		if turn%4 == 0 && p.wrong == "" {
			p.wrong = cmp.Or(p.uncovered(), p.unbalanced())
		}
		if p.wrong != "" {
			return
		}
	}
}
