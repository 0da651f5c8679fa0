package failover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// simPooler is a simulated pooler; it reports the same things as the poolers' own code.
type simPooler struct {
	name            string
	incarnation     int64
	leaseEnd        kernel.Micros // by the pooler's own reckoning, measured from before it polled
	learnedFailover int64         // number of the failover that it has learned of
	left            int64
	acked           lineprotocol.Position
	certain         lineprotocol.Position
	stamp           kernel.Micros // of the last response that it received
	term            int64
	observed        lineprotocol.Position
	known           int64 // incarnation that is registered in the control state
}

// history is a random history of one service's primary, whose commits are numbered, of the poolers
// that acknowledge them, and of the control node. Polls, responses and the control node's memory
// may be lost.
type history struct {
	r            *rand.Rand
	now          kernel.Micros
	term         int64
	failoverID   int64
	inFailover   bool
	lastNumber   int64
	newestAcked  lineprotocol.Position // newest commit that was acknowledged to a client
	readers      *Readers
	poolers      []*simPooler
	incarnations int64
	boundsGiven  int // how often an upper bound was given
	// Faults to inject, to see that the check detects them.
	forgetsIncarnations, stampsLate, countsOld, claimsMore bool
}

const historyLease = kernel.Micros(50)

func newHistory(seed uint64) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 2)), now: 1000, term: 1, readers: NewReaders()}
	for _, name := range []string{"a", "b", "c"} {
		h.poolers = append(h.poolers, &simPooler{name: name})
		h.restart(h.poolers[len(h.poolers)-1])
	}
	h.takeOver()
	return h
}

func (h *history) restart(c *simPooler) {
	h.incarnations++
	*c = simPooler{name: c.name, incarnation: h.incarnations, known: c.known}
}

// takeOver makes another control node the primary, which knows the registered incarnations.
func (h *history) takeOver() {
	h.term++
	registered := map[string]int64{}
	for _, c := range h.poolers {
		if c.known > 0 {
			registered[c.name] = c.known
		}
	}
	h.readers.BeginTerm(h.term, registered, h.now, historyLease)
	h.readers.SetLedServices([]string{"svc"})
}

// poll lets a pooler poll; the poll or its response may be lost.
func (h *history) poll(c *simPooler) {
	sentAt := h.now
	if c.learnedFailover > c.left && h.r.IntN(2) == 0 {
		c.left = c.learnedFailover
	}
	report := Report{}
	if c.left > 0 && h.inFailover && c.left == h.failoverID {
		report = Report{Left: map[string]int64{"svc": c.left}, AckedUpperBound: map[string]lineprotocol.Position{"svc": c.acked}}
		if c.certain.Number > 0 {
			report.AckedLowerBound = map[string]lineprotocol.Position{"svc": c.certain}
		}
	}
	observation := Observation{Term: c.term, Stamp: c.stamp, At: map[string]lineprotocol.Position{"svc": c.observed}}
	if h.r.IntN(4) == 0 {
		return // the poll is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	c.known = max(c.known, c.incarnation)
	if _, ok := h.readers.RecordReport(c.name, c.incarnation, received(report), h.now); !ok {
		return
	}
	if c.stamp > 0 && c.observed.Number > 0 {
		h.readers.RecordObservation(observation)
	}
	if !h.readers.Grant(c.name, c.incarnation, h.now+historyLease) {
		return
	}
	stamp := h.now
	if h.stampsLate {
		stamp += 30
	}
	if h.r.IntN(4) == 0 {
		return // the response is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	c.leaseEnd, c.stamp, c.term, c.observed = sentAt+historyLease, stamp, h.term, lineprotocol.Position{}
	if h.inFailover {
		c.learnedFailover = h.failoverID
	}
}

// received returns a copy of a report, as decoded from a message it shares nothing with the
// sender.
func received(r Report) Report {
	return Report{Left: maps.Clone(r.Left), AckedUpperBound: maps.Clone(r.AckedUpperBound), AckedLowerBound: maps.Clone(r.AckedLowerBound)}
}

// serve lets a pooler run a statement at the primary and acknowledge a commit.
func (h *history) serve(c *simPooler) {
	if h.now >= c.leaseEnd || c.learnedFailover == h.failoverID && h.inFailover {
		return
	}
	if h.r.IntN(2) == 0 {
		h.lastNumber++
		if c.left < h.failoverID || !h.inFailover {
			h.newestAcked = lineprotocol.Position{Term: 1, Number: h.lastNumber}
			c.certain = c.acked.Next()
			if h.claimsMore {
				c.certain = h.newestAcked.Next()
			}
			c.acked = h.newestAcked
		}
	}
	if c.stamp > 0 {
		c.observed = lineprotocol.Position{Term: 1, Number: h.lastNumber}
	}
}

// step takes one random step; it returns false if the control node's upper bound does not cover
// the acknowledged commits, or its lower bound is past them.
func (h *history) step() bool {
	h.now += kernel.Micros(1 + h.r.IntN(4))
	c := h.poolers[h.r.IntN(len(h.poolers))]
	switch e := h.r.IntN(40); {
	case e < 16:
		h.serve(c)
	case e < 32:
		h.poll(c)
	case e == 32 && h.r.IntN(3) == 0:
		if h.forgetsIncarnations {
			h.readers.acks.unreportedUntil = 0
		}
		h.restart(c)
	case e == 33 && h.r.IntN(10) == 0:
		h.takeOver()
	case e == 34 && !h.inFailover:
		h.failoverID, h.inFailover = h.failoverID+1, true
	case e > 34 && h.inFailover:
		left, _ := h.readers.AllLeft("svc", h.failoverID, h.now)
		if !left {
			return true
		}
		failoverID := h.failoverID
		if h.countsOld {
			failoverID--
		}
		bound, known := h.readers.AcknowledgedUpperBound("svc", failoverID)
		if known && bound.Less(h.newestAcked) {
			return false
		}
		if certain, known := h.readers.AcknowledgedLowerBound("svc", h.failoverID); known && h.newestAcked.Less(certain) {
			return false
		}
		if known {
			h.boundsGiven++
		}
		h.inFailover = false // another database leads, or the failover is cancelled
	}
	if h.forgetsIncarnations {
		h.readers.acks.unreportedUntil = 0
	}
	return true
}

// Whichever poolers, polls and control nodes are lost, an upper bound that is given must cover
// every commit that was acknowledged to a client; and it must be given often enough.
func TestAcknowledgedBoundsHoldUnderLoss(t *testing.T) {
	boundsGiven, failovers := 0, int64(0)
	for seed := range uint64(2000) {
		h := newHistory(seed)
		for range 400 {
			if !h.step() {
				t.Fatalf("history %d: %v was acknowledged to a client, but the bounds contradict that", seed, h.newestAcked)
			}
		}
		boundsGiven, failovers = boundsGiven+h.boundsGiven, failovers+h.failoverID
	}
	if int64(boundsGiven) < failovers/5 {
		t.Errorf("an upper bound was given in only %d of %d failovers", boundsGiven, failovers)
	}
}

// The check of the history must detect each injected fault.
func TestHistoryDetectsWrongBounds(t *testing.T) {
	for name, injectFault := range map[string]func(*history){
		"ended incarnations are forgotten":              func(h *history) { h.forgetsIncarnations = true },
		"stamps are in the future":                      func(h *history) { h.stampsLate = true },
		"reports for an earlier failover count":         func(h *history) { h.countsOld = true },
		"the lower bound exceeds what was acknowledged": func(h *history) { h.claimsMore = true },
	} {
		found := false
		for seed := uint64(0); seed < 4000 && !found; seed++ {
			h := newHistory(seed)
			injectFault(h)
			for i := 0; i < 400 && !found; i++ {
				found = !h.step()
			}
		}
		if !found {
			t.Errorf("%s: not detected", name)
		}
	}
}

// Of many services each pooler must be asked to observe some, the same ones for a while, and all
// poolers together all of them.
func TestObservedServicesAreSpreadOverPoolers(t *testing.T) {
	r := NewReaders()
	var services []string
	for i := range 60 {
		services = append(services, fmt.Sprint("svc", i))
	}
	asked := map[string]bool{}
	for i := range 40 {
		pooler := fmt.Sprint("pooler-", i)
		slices.Reverse(services) // the order must not matter
		r.SetLedServices(services)
		first := r.ServicesToObserve(pooler, 10*observeRotation)
		if len(first) != maxServicesToObserve {
			t.Fatalf("%s is asked to observe %d services", pooler, len(first))
		}
		slices.Reverse(services)
		r.SetLedServices(services)
		if again := r.ServicesToObserve(pooler, 11*observeRotation-1); !slices.Equal(first, again) {
			t.Errorf("%s is asked to observe %v, and soon after %v", pooler, first, again)
		}
		for _, service := range first {
			asked[service] = true
		}
	}
	if len(asked) != len(services) {
		t.Errorf("only %d of %d services are observed", len(asked), len(services))
	}
}
