package testbed

import (
	"math/rand/v2"
	"sync"
	"time"
)

// impairment describes the faults of a link in one direction: from the sender of the bytes to
// their receiver.
type impairment struct {
	cut          bool          // nothing is delivered; data waits up to cutLinkTimeout
	refuse       bool          // new and existing connections are reset
	replyLoss    float64       // share of the responses that are lost together with their connection
	datagramLoss float64       // share of datagrams that are lost
	duplication  float64       // share of datagrams that are delivered twice
	delay        time.Duration // additional latency
}

// combine returns the joint effect of two impairments.
func (i impairment) combine(other impairment) impairment {
	return impairment{
		cut: i.cut || other.cut, refuse: i.refuse || other.refuse, replyLoss: max(i.replyLoss, other.replyLoss),
		datagramLoss: max(i.datagramLoss, other.datagramLoss), duplication: max(i.duplication, other.duplication), delay: i.delay + other.delay,
	}
}

// rule applies an impairment to the links that it matches.
type rule struct {
	matches func(from, to string) bool
	impairment
}

// links holds the rules that impair the links between hosts, which are identified by their addresses.
// A link that no rule matches is unimpaired.
type links struct {
	mu          sync.Mutex
	rules       map[int]rule
	next        int
	changed     chan struct{} // closed at the next change of the rules
	random      *rand.Rand
	unforwarded map[string]bool // caller addresses of the connections that relays accepted but could not forward
}

func newLinks(seed uint64) *links {
	return &links{rules: map[int]rule{}, changed: make(chan struct{}), unforwarded: map[string]bool{}, random: rand.New(rand.NewPCG(seed, linksStream))}
}

// linksStream selects the random number stream of the links.
const linksStream = 9000

// recordUnforwarded records that a relay has accepted a connection from the caller's address but could
// not forward it.
func (l *links) recordUnforwarded(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unforwarded[caller] = true
}

// reachedTarget reports whether the connection from the caller's address reached its target. It
// forgets a failed connection once it has reported it.
func (l *links) reachedTarget(caller string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	unforwarded := l.unforwarded[caller]
	delete(l.unforwarded, caller)
	return !unforwarded
}

// impair activates a rule and returns a function that removes it.
func (l *links) impair(matches func(from, to string) bool, i impairment) (heal func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number := l.next
	l.next++
	l.rules[number] = rule{matches, i}
	l.notifyChange()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.rules, number)
		l.notifyChange()
	}
}

// notifyChange wakes every goroutine that waits for a change of the rules. The caller holds the lock.
func (l *links) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// state returns the current impairment of a link, and a channel that is closed at the next change of
// the rules.
func (l *links) state(from, to string) (impairment, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var combined impairment
	for _, r := range l.rules {
		if r.matches(from, to) {
			combined = combined.combine(r.impairment)
		}
	}
	return combined, l.changed
}

// sample returns true with the given probability.
func (l *links) sample(share float64) bool {
	if share <= 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.Float64() < share
}

// between matches the links between two sets of hosts, in both directions.
func between(some, others map[string]bool) func(from, to string) bool {
	return func(from, to string) bool {
		return some[from] && others[to] || others[from] && some[to]
	}
}

// oneWay matches the links from one set of hosts to another, in this direction only.
func oneWay(from, to map[string]bool) func(from, to string) bool {
	return func(a, b string) bool { return from[a] && to[b] }
}

// hostSet returns a set of host addresses.
func hostSet(addresses ...string) map[string]bool {
	set := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		set[address] = true
	}
	return set
}
