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

// carrier is a pooler of the history: what it reports, as the poolers' own code does.
type carrier struct {
	name     string
	life     int64
	leaseEnd kernel.Micros // on its own, measured from before it asked
	learnt   int64         // turn of the move that it has heard of
	left     int64
	acked    lineprotocol.Position
	certain  lineprotocol.Position
	stamp    kernel.Micros // of the last answer that it had
	term     int64
	seen     lineprotocol.Position
	known    int64 // life that the control state has
}

// acks is a history of one service's primary, whose commits are numbered, of the
// poolers that acknowledge them, and of the control node, whose polls, answers and memory
// may be lost.
type acks struct {
	r        *rand.Rand
	now      kernel.Micros
	term     int64
	turn     int64
	moving   bool
	number   int64
	newest   lineprotocol.Position // that a client was told of
	readers  *Readers
	carriers []*carrier
	lives    int64
	told     int // how often a bound was
	// What is left out, to see that the check finds it.
	forgetsLives, stampsLate, countsOld, claimsMore bool
}

const historyLease = kernel.Micros(50)

func newAcks(seed uint64) *acks {
	h := &acks{r: rand.New(rand.NewPCG(seed, 2)), now: 1000, term: 1, readers: NewReaders()}
	for _, name := range []string{"a", "b", "c"} {
		h.carriers = append(h.carriers, &carrier{name: name})
		h.restart(h.carriers[len(h.carriers)-1])
	}
	h.takeOver()
	return h
}

func (h *acks) restart(c *carrier) {
	h.lives++
	*c = carrier{name: c.name, life: h.lives, known: c.known}
}

// takeOver has another control node lead, which knows the lives that were registered.
func (h *acks) takeOver() {
	h.term++
	registered := map[string]int64{}
	for _, c := range h.carriers {
		if c.known > 0 {
			registered[c.name] = c.known
		}
	}
	h.readers.Term(h.term, registered, h.now, historyLease)
	h.readers.SetLedServices([]string{"svc"})
}

// poll has a pooler poll; the poll, or its answer, may be lost.
func (h *acks) poll(c *carrier) {
	asked := h.now
	if c.learnt > c.left && h.r.IntN(2) == 0 {
		c.left = c.learnt
	}
	report := Report{}
	if c.left > 0 && h.moving && c.left == h.turn {
		report = Report{Left: map[string]int64{"svc": c.left}, Acked: map[string]lineprotocol.Position{"svc": c.acked}}
		if c.certain.Number > 0 {
			report.Certain = map[string]lineprotocol.Position{"svc": c.certain}
		}
	}
	saw := Sighting{Term: c.term, Stamp: c.stamp, At: map[string]lineprotocol.Position{"svc": c.seen}}
	if h.r.IntN(4) == 0 {
		return // it is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	c.known = max(c.known, c.life)
	if _, ok := h.readers.Heard(c.name, c.life, received(report), h.now); !ok {
		return
	}
	if c.stamp > 0 && c.seen.Number > 0 {
		h.readers.Sighted(saw)
	}
	if !h.readers.Grant(c.name, c.life, h.now+historyLease) {
		return
	}
	stamp := h.now
	if h.stampsLate {
		stamp += 30
	}
	if h.r.IntN(4) == 0 {
		return // the answer is lost
	}
	h.now += kernel.Micros(h.r.IntN(3))
	c.leaseEnd, c.stamp, c.term, c.seen = asked+historyLease, stamp, h.term, lineprotocol.Position{}
	if h.moving {
		c.learnt = h.turn
	}
}

// received is a report as it comes out of a message, apart from the sender's.
func received(r Report) Report {
	return Report{Left: maps.Clone(r.Left), Acked: maps.Clone(r.Acked), Certain: maps.Clone(r.Certain)}
}

// serve has a pooler run a statement at the primary, and acknowledge a commit.
func (h *acks) serve(c *carrier) {
	if h.now >= c.leaseEnd || c.learnt == h.turn && h.moving {
		return
	}
	if h.r.IntN(2) == 0 {
		h.number++
		if c.left < h.turn || !h.moving {
			h.newest = lineprotocol.Position{Term: 1, Number: h.number}
			c.certain = c.acked.Next()
			if h.claimsMore {
				c.certain = h.newest.Next()
			}
			c.acked = h.newest
		}
	}
	if c.stamp > 0 {
		c.seen = lineprotocol.Position{Term: 1, Number: h.number}
	}
}

// step is one thing that may happen; it reports false if the control node bounds the
// commits too low, or is certain of one that no client was told of.
func (h *acks) step() bool {
	h.now += kernel.Micros(1 + h.r.IntN(4))
	c := h.carriers[h.r.IntN(len(h.carriers))]
	switch e := h.r.IntN(40); {
	case e < 16:
		h.serve(c)
	case e < 32:
		h.poll(c)
	case e == 32 && h.r.IntN(3) == 0:
		if h.forgetsLives {
			h.readers.acks.unreportedUntil = 0
		}
		h.restart(c)
	case e == 33 && h.r.IntN(10) == 0:
		h.takeOver()
	case e == 34 && !h.moving:
		h.turn, h.moving = h.turn+1, true
	case e > 34 && h.moving:
		left, _ := h.readers.AllLeft("svc", h.turn, h.now)
		if !left {
			return true
		}
		turn := h.turn
		if h.countsOld {
			turn--
		}
		bound, known := h.readers.AcknowledgedUpperBound("svc", turn)
		if known && bound.Less(h.newest) {
			return false
		}
		if certain, known := h.readers.AcknowledgedLowerBound("svc", h.turn); known && h.newest.Less(certain) {
			return false
		}
		if known {
			h.told++
		}
		h.moving = false // another leads, or the move is called off
	}
	if h.forgetsLives {
		h.readers.acks.unreportedUntil = 0
	}
	return true
}

// AcknowledgedIsKnown: whatever poolers, polls and control nodes are lost, a bound that is
// told covers every commit that a client was told of; and mostly one is told.
func TestAcknowledgedIsKnown(t *testing.T) {
	told, moves := 0, int64(0)
	for seed := range uint64(2000) {
		h := newAcks(seed)
		for range 400 {
			if !h.step() {
				t.Fatalf("history %d: a client was told of %v, and less is taken for the newest", seed, h.newest)
			}
		}
		told, moves = told+h.told, moves+h.turn
	}
	if int64(told) < moves/5 {
		t.Errorf("a bound was told in %d of %d moves", told, moves)
	}
}

// The check finds what is left out.
func TestBoundsThatAreTooLowAreFound(t *testing.T) {
	for name, spoil := range map[string]func(*acks){
		"lives that ended are forgotten": func(h *acks) { h.forgetsLives = true },
		"stamps lie ahead":               func(h *acks) { h.stampsLate = true },
		"reports of an earlier turn":     func(h *acks) { h.countsOld = true },
		"more is claimed than was told":  func(h *acks) { h.claimsMore = true },
	} {
		found := false
		for seed := uint64(0); seed < 4000 && !found; seed++ {
			h := newAcks(seed)
			spoil(h)
			for i := 0; i < 400 && !found; i++ {
				found = !h.step()
			}
		}
		if !found {
			t.Errorf("%s: not found", name)
		}
	}
}

// Of many services each pooler is asked for some, the same ones for a while, and all
// together for all.
func TestWantedAreSpread(t *testing.T) {
	r := NewReaders()
	var services []string
	for i := range 60 {
		services = append(services, fmt.Sprint("svc", i))
	}
	asked := map[string]bool{}
	for i := range 40 {
		pooler := fmt.Sprint("pooler-", i)
		slices.Reverse(services) // they are not in order
		r.SetLedServices(services)
		first := r.Wanted(pooler, 10*observeRotation)
		if len(first) != maxServicesToObserve {
			t.Fatalf("%s is asked for %d services", pooler, len(first))
		}
		slices.Reverse(services)
		r.SetLedServices(services)
		if again := r.Wanted(pooler, 11*observeRotation-1); !slices.Equal(first, again) {
			t.Errorf("%s is asked for %v, and for %v soon after", pooler, first, again)
		}
		for _, service := range first {
			asked[service] = true
		}
	}
	if len(asked) != len(services) {
		t.Errorf("%d of %d services are asked for", len(asked), len(services))
	}
}
