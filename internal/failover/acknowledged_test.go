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

// simPooler is a simulated pooler. It reports what a real pooler reports.
type simPooler struct {
	name                  string
	incarnation           int64
	leaseEnd              kernel.Micros // by the pooler's clock, counted from when it sent the poll
	learnedFailover       int64         // the newest failover of which it was notified
	released              int64         // the newest failover for which it released the primary
	acked                 lineprotocol.Position
	lowerBound            lineprotocol.Position
	stamp                 kernel.Micros // of the newest response that it received
	term                  int64
	observed              lineprotocol.Position
	registeredIncarnation int64 // in the control state
}

// history is a random history of the primary of one service, whose commits are numbered, of the
// poolers that acknowledge them to clients, and of the control node. Polls and responses may be
// lost, and so may the control node with what it keeps in memory.
type history struct {
	r             *rand.Rand
	now           kernel.Micros
	term          int64
	failoverID    int64
	inFailover    bool
	lastNumber    int64
	newestAcked   lineprotocol.Position // newest commit that was acknowledged to a client
	newestAckedAt kernel.Micros
	readLeases    *ReadLeases
	poolers       []*simPooler
	incarnations  int64
	boundsGiven   int // in how many failovers an upper bound was known
	// Injected faults, which the check must detect.
	ignoresEndedIncarnations, stampsInFuture, acceptsOldReports, lowerBoundTooHigh bool
}

const historyLease = kernel.Micros(50)

func newHistory(seed uint64) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 2)), now: 1000, term: 1, readLeases: NewReadLeases()}
	for _, name := range []string{"a", "b", "c"} {
		h.poolers = append(h.poolers, &simPooler{name: name})
		h.restart(h.poolers[len(h.poolers)-1])
	}
	h.takeOver()
	return h
}

func (h *history) restart(p *simPooler) {
	h.incarnations++
	*p = simPooler{name: p.name, incarnation: h.incarnations, registeredIncarnation: p.registeredIncarnation}
}

// takeOver makes another control node the primary, which knows only the registered incarnations.
func (h *history) takeOver() {
	h.term++
	registered := map[string]int64{}
	for _, p := range h.poolers {
		if p.registeredIncarnation > 0 {
			registered[p.name] = p.registeredIncarnation
		}
	}
	h.readLeases.BeginTerm(h.term, registered, h.now, historyLease)
	h.readLeases.SetServicesWithLeader([]string{"svc"})
}

// poll is one poll of a pooler; the poll or its response may be lost.
func (h *history) poll(p *simPooler) {
	sentAt := h.now
	if p.learnedFailover > p.released && h.r.IntN(2) == 0 {
		p.released = p.learnedFailover
	}
	report := Report{}
	if p.released > 0 && h.inFailover && p.released == h.failoverID {
		report = Report{Released: map[string]int64{"svc": p.released}, AckedUpperBound: map[string]lineprotocol.Position{"svc": p.acked}}
		if p.lowerBound.Number > 0 {
			report.AckedLowerBound = map[string]lineprotocol.Position{"svc": p.lowerBound}
		}
	}
	observation := Observation{Term: p.term, Stamp: p.stamp, Positions: map[string]lineprotocol.Position{"svc": p.observed}}
	if h.r.IntN(4) == 0 {
		return // the poll is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	p.registeredIncarnation = max(p.registeredIncarnation, p.incarnation)
	if _, ok := h.readLeases.RecordReport(p.name, p.incarnation, decodedCopy(report), h.now); !ok {
		return
	}
	if p.stamp > 0 && p.observed.Number > 0 {
		h.readLeases.RecordObservation(observation)
	}
	if !h.readLeases.Grant(p.name, p.incarnation, h.now+historyLease) {
		return
	}
	stamp := h.now
	if h.stampsInFuture {
		stamp += 30
	}
	if h.r.IntN(4) == 0 {
		return // the response is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	p.leaseEnd, p.stamp, p.term, p.observed = sentAt+historyLease, stamp, h.term, lineprotocol.Position{}
	if h.inFailover {
		p.learnedFailover = h.failoverID
	}
}

// decodedCopy returns a copy of a report that, like one decoded from a message, shares no memory
// with the sender's.
func decodedCopy(r Report) Report {
	return Report{Released: maps.Clone(r.Released), AckedUpperBound: maps.Clone(r.AckedUpperBound), AckedLowerBound: maps.Clone(r.AckedLowerBound)}
}

// execute is one statement that a pooler runs at the primary, and the acknowledgement of its
// commit, if it makes one.
func (h *history) execute(p *simPooler) {
	if h.now >= p.leaseEnd || p.learnedFailover == h.failoverID && h.inFailover {
		return
	}
	if h.r.IntN(2) == 0 {
		h.lastNumber++
		if p.released < h.failoverID || !h.inFailover {
			h.newestAcked, h.newestAckedAt = lineprotocol.Position{Term: 1, Number: h.lastNumber}, h.now
			p.lowerBound = p.acked.Next()
			if h.lowerBoundTooHigh {
				p.lowerBound = h.newestAcked.Next()
			}
			p.acked = h.newestAcked
		}
	}
	if p.stamp > 0 {
		p.observed = lineprotocol.Position{Term: 1, Number: h.lastNumber}
	}
}

// step takes one random step. It returns false if the control node's upper bound does not cover all
// acknowledged commits, if one that it does not cover was acknowledged later than the control node
// assumes, or if its lower bound is past them.
func (h *history) step() bool {
	h.now += kernel.Micros(1 + h.r.IntN(4))
	p := h.poolers[h.r.IntN(len(h.poolers))]
	switch event := h.r.IntN(40); {
	case event < 16:
		h.execute(p)
	case event < 32:
		h.poll(p)
	case event == 32 && h.r.IntN(3) == 0:
		if h.ignoresEndedIncarnations {
			h.readLeases.acks.unreportedUntil = 0
		}
		h.restart(p)
	case event == 33 && h.r.IntN(10) == 0:
		h.takeOver()
	case event == 34 && !h.inFailover:
		h.failoverID, h.inFailover = h.failoverID+1, true
	case event > 34 && h.inFailover:
		released, _ := h.readLeases.AllReleased("svc", h.failoverID, h.now)
		if !released {
			return true
		}
		failoverID := h.failoverID
		if h.acceptsOldReports {
			failoverID--
		}
		commits := h.readLeases.ReportedCommits("svc", failoverID)
		if commits.Complete && commits.UpperBound.Less(h.newestAcked) {
			return false
		}
		if commits.UpperBound.Less(h.newestAcked) && commits.UnreportedUntil < h.newestAckedAt {
			return false
		}
		if lowerBound, known := h.readLeases.AcknowledgedLowerBound("svc", h.failoverID); known && h.newestAcked.Less(lowerBound) {
			return false
		}
		if commits.Complete {
			h.boundsGiven++
		}
		h.inFailover = false // another database leads, or the failover is cancelled
	}
	if h.ignoresEndedIncarnations {
		h.readLeases.acks.unreportedUntil = 0
	}
	return true
}

// Whichever poolers, polls and control nodes are lost, a known upper bound must cover every commit
// that was acknowledged to a client, and a bound must be known often enough.
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
		t.Errorf("an upper bound was known in only %d of %d failovers", boundsGiven, failovers)
	}
}

// The check in step must detect each injected fault.
func TestHistoryDetectsWrongBounds(t *testing.T) {
	for name, injectFault := range map[string]func(*history){
		"ended incarnations are forgotten":              func(h *history) { h.ignoresEndedIncarnations = true },
		"stamps are in the future":                      func(h *history) { h.stampsInFuture = true },
		"reports for an earlier failover count":         func(h *history) { h.acceptsOldReports = true },
		"the lower bound exceeds what was acknowledged": func(h *history) { h.lowerBoundTooHigh = true },
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

// Each pooler must be asked to observe a part of the services, the same ones during a rotation
// period, and all poolers together must observe all services.
func TestObservedServicesAreSpreadOverPoolers(t *testing.T) {
	readLeases := NewReadLeases()
	var services []string
	for i := range 60 {
		services = append(services, fmt.Sprint("svc", i))
	}
	asked := map[string]bool{}
	for i := range 40 {
		pooler := fmt.Sprint("pooler-", i)
		slices.Reverse(services) // the order must not matter
		readLeases.SetServicesWithLeader(services)
		first := readLeases.ServicesToObserve(pooler, 10*observeRotation)
		if len(first) != maxServicesToObserve {
			t.Fatalf("%s is asked to observe %d services", pooler, len(first))
		}
		slices.Reverse(services)
		readLeases.SetServicesWithLeader(services)
		if again := readLeases.ServicesToObserve(pooler, 11*observeRotation-1); !slices.Equal(first, again) {
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
