package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// impairment is what is wrong with the links that it matches, in the direction of the
// bytes: from who sends them to who would get them.
type impairment struct {
	cut       bool          // nothing passes; what is on its way waits
	refuse    bool          // new connections are reset, those that there are too
	loseReply float64       // share of the answers that are lost with their connection
	lose      float64       // share of datagrams that are lost
	repeat    float64       // share of datagrams that come twice
	delay     time.Duration // more time for everything
}

// worse is what two impairments make together.
func (i impairment) worse(o impairment) impairment {
	return impairment{
		cut: i.cut || o.cut, refuse: i.refuse || o.refuse, loseReply: max(i.loseReply, o.loseReply),
		lose: max(i.lose, o.lose), repeat: max(i.repeat, o.repeat), delay: i.delay + o.delay,
	}
}

// rule is an impairment of some links.
type rule struct {
	matches func(from, to string) bool
	impairment
}

// links are all links between hosts, by their addresses. They are whole but for the
// rules in force.
type links struct {
	mu      sync.Mutex
	rules   map[int]rule
	next    int
	changed chan struct{} // closes at the next change of the rules
	random  *rand.Rand
	unmade  map[string]bool // calls that relays took and could not pass on, by the caller's address
}

func newLinks(seed uint64) *links {
	return &links{rules: map[int]rule{}, changed: make(chan struct{}), unmade: map[string]bool{}, random: rand.New(rand.NewPCG(seed, linksStream))}
}

// linksStream is the stream of random numbers that links draw from.
const linksStream = 9000

// noteUnmade notes that a call was taken by a relay and reached nobody behind it.
func (l *links) noteUnmade(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unmade[caller] = true
}

// made tells, once, whether a call from that address reached whom it was for.
func (l *links) made(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unmade := l.unmade[caller]
	delete(l.unmade, caller)
	return !unmade
}

// impair puts a rule in force and returns what takes it back.
func (l *links) impair(matches func(from, to string) bool, i impairment) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.next
	l.next++
	l.rules[number] = rule{matches, i}
	l.ring()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.rules, number)
		l.ring()
	}
}

// ring wakes whoever waits for a change. The caller holds the lock.
func (l *links) ring() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// state is what is wrong with a link now, and a channel that closes when that may have
// changed.
func (l *links) state(from, to string) (impairment, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all impairment
	for _, r := range l.rules {
		if r.matches(from, to) {
			all = all.worse(r.impairment)
		}
	}
	return all, l.changed
}

// draw tells whether something that happens to such a share happens now.
func (l *links) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

// between matches the links of some hosts with others, both ways.
func between(some, others map[string]bool) func(from, to string) bool {
	return func(from, to string) bool {
		return some[from] && others[to] || others[from] && some[to]
	}
}

// oneWay matches the links from some hosts to others.
func oneWay(from, to map[string]bool) func(from, to string) bool {
	return func(a, b string) bool { return from[a] && to[b] }
}

// hostSet are hosts by address.
func hostSet(addresses ...string) map[string]bool {
	set := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		set[address] = true
	}
	return set
}
