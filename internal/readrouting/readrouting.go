// Package readrouting picks the database for a statement.
//
// The position rule: the position in an answer of a primary, dated by when
// its statement was sent, covers every commit acknowledged before that time.
// A replica that has reached a position dated after a read's bound is
// therefore fresh enough for the read.
package readrouting

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/latency"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/routeconfig"
)

// Choice is where a statement may go.
type Choice struct {
	Database discovery.Database
	Primary  bool                  // under the read lease, with no position asked for
	After    lineprotocol.Position // what a replica must have reached
}

// Request describes a statement that is to be placed.
type Request struct {
	Service  string
	Type     string // of the route
	Stale    kernel.Micros
	Received kernel.Micros         // when its first byte was here at the latest
	Last     lineprotocol.Position // the session's own last commit
	Write    bool                  // or a plain transaction
	Avoid    map[string]bool       // tried in vain
}

// Candidates is what a choice is made from.
type Candidates struct {
	Databases []discovery.Database
	Lead      failover.Lead
	Leased    bool // the read lease covers the lead now
	Zone      string
	Up        func(id string) bool
	Busy      func(id string) int
	Idle      func(id string) bool // a connection to it waits for use
}

type observation struct {
	sent kernel.Micros
	pos  lineprotocol.Position
}

// Observations that are kept: spaced by observationSpacing, none older than observationRetention.
const (
	observationSpacing  = 40 * kernel.Millisecond
	observationRetention = 10 * kernel.Second
)

// lagBackoff is for how long a replica that answered LAGGING is passed over at
// first; it doubles up to maxLagBackoff while it keeps doing so.
const (
	lagBackoff    = 100 * kernel.Millisecond
	maxLagBackoff = 800 * kernel.Millisecond
)

type lagState struct{ until, backoff kernel.Micros }

// How answers' times weigh: each database's pace is its answers' time over
// what is usual on their route, of late; a pace not heard of for a while latencyDecay
// to the usual, so that a slow database is tried again.
const (
	latencyWeight = 0.15
	latencyDecay      = 1500 * kernel.Millisecond
)

type relativeLatency struct {
	ratio float64
	at    kernel.Micros
}

func (p relativeLatency) current(now kernel.Micros) float64 {
	if p.at == 0 {
		return 1
	}
	return 1 + (p.ratio-1)*math.Exp(-float64(now-p.at)/float64(latencyDecay))
}

// Router remembers observations of the primaries, and who lags.
type Router struct {
	clock kernel.Clock

	mu   sync.Mutex
	observations map[string][]observation
	// By database; what is not used any more is dropped at the sweep.
	lagging   map[string]lagState
	latencies  map[string]relativeLatency
	sweep kernel.Sweep

	typical latency.Usual
}

// New returns a router without observations.
func New(clock kernel.Clock) *Router {
	return &Router{
		clock: clock, observations: map[string][]observation{}, lagging: map[string]lagState{}, latencies: map[string]relativeLatency{},
	}
}

// Observe notes a position that covers all commits acknowledged before sent.
func (a *Router) Observe(service string, sent kernel.Micros, pos lineprotocol.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.observations[service]
	if n := len(list); n > 0 && sent < list[n-1].sent+observationSpacing {
		return
	}
	first := 0
	for first < len(list) && list[first].sent < sent-observationRetention {
		first++
	}
	a.observations[service] = append(list[first:], observation{sent, pos})
}

// covering returns the oldest position dated at or after t: of those that
// serve, the one that replicas are most likely to have reached.
func (a *Router) covering(service string, t kernel.Micros) (lineprotocol.Position, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range a.observations[service] {
		if o.sent >= t {
			return o.pos, true
		}
	}
	return lineprotocol.Position{}, false
}

// Lagging notes that a replica has not reached a position yet.
func (a *Router) Lagging(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	l := a.lagging[id]
	if now < l.until {
		return
	}
	if l.backoff = min(2*l.backoff, maxLagBackoff); now > l.until+2*maxLagBackoff || l.backoff == 0 {
		l.backoff = lagBackoff
	}
	l.until = now + l.backoff
	a.lagging[id] = l
}

func (a *Router) isLagging(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now() < a.lagging[id].until
}

// Took notes how long a read of the route took at a database.
func (a *Router) Took(route, id string, span kernel.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	usual := a.typical.Add(route, span, now)
	if a.sweep.Due(now) {
		maps.DeleteFunc(a.lagging, func(_ string, l lagState) bool { return now-l.until > kernel.Kept })
		maps.DeleteFunc(a.latencies, func(_ string, p relativeLatency) bool { return now-p.at > kernel.Kept })
	}
	r := a.latencies[id].current(now)
	a.latencies[id] = relativeLatency{r + latencyWeight*(float64(span)/max(usual, 1)-r), now}
}

// Usual is how long a read of the route usually takes, 0 if none was seen.
func (a *Router) Usual(route string) kernel.Micros {
	a.mu.Lock()
	defer a.mu.Unlock()
	return kernel.Micros(a.typical.Of(route))
}

func (a *Router) latencyOf(id string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latencies[id].current(a.clock.Now())
}

// Pick returns a choice, or false if there is none at present.
func (a *Router) Pick(q Request, s Candidates) (Choice, bool) {
	if q.Type != routeconfig.Primary && !q.Write {
		if c, ok := a.pickReplica(q, s); ok {
			return c, true
		}
	}
	if !s.Leased || !s.Up(s.Lead.ID) {
		return Choice{}, false
	}
	for _, d := range s.Databases {
		if d.ID == s.Lead.ID {
			return Choice{Database: d, Primary: true}, true
		}
	}
	return Choice{}, false
}

// Why there is no choice.
const (
	NoLeader        = "no_lead_known"
	FailoverInProgress     = "lead_moves"
	NoLease       = "no_lease"
	LeaderDown      = "lead_held_as_down"
	LeaderNotListed   = "lead_not_among_databases"
	NoReplica     = "no_replica_fresh_and_up"
	NoObservation = "no_position_of_primary_known"
)

// Explain tells why there was no choice, as things are now: what keeps the primary from
// being used and, for reads that a replica may serve, what keeps those.
func (a *Router) Explain(q Request, s Candidates) string {
	if q.Type == routeconfig.Primary || q.Write {
		return primaryReason(s)
	}
	replicas := NoReplica
	if _, ok := a.covering(q.Service, q.Received-q.Stale); !ok {
		replicas = NoObservation
	}
	return replicas + " and " + primaryReason(s)
}

// primaryReason tells what keeps the primary from being used.
func primaryReason(s Candidates) string {
	switch {
	case s.Lead.ID == "":
		return NoLeader
	case s.Lead.Moving:
		return FailoverInProgress
	case !s.Leased:
		return NoLease
	case !s.Up(s.Lead.ID):
		return LeaderDown
	}
	return LeaderNotListed
}

func (a *Router) pickReplica(q Request, s Candidates) (Choice, bool) {
	pos, ok := a.covering(q.Service, q.Received-q.Stale)
	if !ok {
		return Choice{}, false
	}
	if q.Type == routeconfig.Nearest && pos.Less(q.Last) {
		pos = q.Last
	}
	best, cost := -1, 0.0
	for i, d := range s.Databases {
		if d.ID == s.Lead.ID || d.Draining || q.Avoid[d.ID] || !s.Up(d.ID) || a.isLagging(d.ID) {
			continue
		}
		// The wait to expect: this pooler's own share of the busy slots, at the
		// database's pace. Another zone is like half a statement more, a
		// connection that must be opened first like a whole one.
		c := a.latencyOf(d.ID) * (1 + float64(s.Busy(d.ID)) + 0.2*rand.Float64())
		if !s.Idle(d.ID) {
			c++
		}
		if d.Zone != s.Zone {
			c += 0.5
		}
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Database: s.Databases[best], After: pos}, true
}
