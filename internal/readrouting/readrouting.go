// Package readrouting picks the database for a statement.
//
// Freshness rule: the position in a primary's response, dated by when its statement was sent,
// covers every commit acknowledged before that time. A replica that has reached a position dated
// after the oldest time that a read may see is therefore fresh enough for the read.
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

// Choice is the database that a statement may go to.
type Choice struct {
	Database    discovery.Database
	Primary     bool                  // under the read lease, without a required position
	MinPosition lineprotocol.Position // what a replica must have reached
}

// Request describes a statement that is to be routed.
type Request struct {
	Service      string
	Type         string // of the route
	MaxStaleness kernel.Micros
	Received     kernel.Micros         // no earlier than the arrival of its first byte
	LastCommit   lineprotocol.Position // the session's own last commit
	Write        bool                  // a write or a plain transaction
	Avoid        map[string]bool       // databases that were tried without success
}

// Candidates is what a choice is made from.
type Candidates struct {
	Databases []discovery.Database
	Leader    failover.Leader
	Leased    bool // the read lease covers the leader now
	Zone      string
	Up        func(id string) bool
	Busy      func(id string) int
	Idle      func(id string) bool // whether an idle connection to the database is available
}

// observation is a position of a primary and when the statement was sent that returned it.
type observation struct {
	sent kernel.Micros
	pos  lineprotocol.Position
}

// Observations kept: at least observationSpacing apart, none older than observationRetention.
const (
	observationSpacing   = 40 * kernel.Millisecond
	observationRetention = 10 * kernel.Second
)

// A replica that answered LAGGING is skipped for lagBackoff at first; the time doubles up to
// maxLagBackoff while it keeps lagging.
const (
	lagBackoff    = 100 * kernel.Millisecond
	maxLagBackoff = 800 * kernel.Millisecond
)

// lagState says until when a lagging replica is skipped, and the current backoff.
type lagState struct{ until, backoff kernel.Micros }

// Weights of response times: the relative latency of a database is the time of its responses over
// what is typical of their route, averaged over recent ones. It decays to the typical value when
// there are no new responses, so that a slow database is tried again.
const (
	latencyWeight = 0.15
	latencyDecay  = 1500 * kernel.Millisecond
)

// relativeLatency is a smoothed ratio of response times to typical ones, as of a time.
type relativeLatency struct {
	ratio float64
	at    kernel.Micros
}

// current returns the ratio after decay; 1 if there is none.
func (l relativeLatency) current(now kernel.Micros) float64 {
	if l.at == 0 {
		return 1
	}
	return 1 + (l.ratio-1)*math.Exp(-float64(now-l.at)/float64(latencyDecay))
}

// Router keeps observations of the primaries and tracks which replicas lag.
type Router struct {
	clock kernel.Clock

	mu           sync.Mutex
	observations map[string][]observation
	// By database; entries that are no longer used are dropped at the sweep.
	lagging   map[string]lagState
	latencies map[string]relativeLatency
	sweep     kernel.SweepTimer

	typical latency.Averages
}

// New returns a router without observations.
func New(clock kernel.Clock) *Router {
	return &Router{
		clock: clock, observations: map[string][]observation{}, lagging: map[string]lagState{}, latencies: map[string]relativeLatency{},
	}
}

// Observe records a position that covers all commits acknowledged before sent.
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

// covering returns the oldest position dated at or after t: of those that are fresh enough, the
// one that replicas are most likely to have reached.
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

// MarkLagging records that a replica has not reached a position yet.
func (a *Router) MarkLagging(id string) {
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

// RecordLatency records how long a read of the route took at a database.
func (a *Router) RecordLatency(route, id string, span kernel.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	usual := a.typical.Add(route, span, now)
	if a.sweep.Due(now) {
		maps.DeleteFunc(a.lagging, func(_ string, l lagState) bool { return now-l.until > kernel.RetentionPeriod })
		maps.DeleteFunc(a.latencies, func(_ string, p relativeLatency) bool { return now-p.at > kernel.RetentionPeriod })
	}
	r := a.latencies[id].current(now)
	a.latencies[id] = relativeLatency{r + latencyWeight*(float64(span)/max(usual, 1)-r), now}
}

// TypicalLatency returns how long a read of the route typically takes, 0 if there was none.
func (a *Router) TypicalLatency(route string) kernel.Micros {
	a.mu.Lock()
	defer a.mu.Unlock()
	return kernel.Micros(a.typical.Average(route))
}

func (a *Router) latencyOf(id string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.latencies[id].current(a.clock.Now())
}

// Pick returns the database for a statement, or false if there is none at present.
func (a *Router) Pick(q Request, s Candidates) (Choice, bool) {
	if q.Type != routeconfig.Primary && !q.Write {
		if c, ok := a.pickReplica(q, s); ok {
			return c, true
		}
	}
	if !s.Leased || !s.Up(s.Leader.ID) {
		return Choice{}, false
	}
	for _, d := range s.Databases {
		if d.ID == s.Leader.ID {
			return Choice{Database: d, Primary: true}, true
		}
	}
	return Choice{}, false
}

// Reasons why there is no choice.
const (
	NoLeader           = "no_lead_known"
	FailoverInProgress = "lead_moves"
	NoLease            = "no_lease"
	LeaderDown         = "lead_held_as_down"
	LeaderNotListed    = "lead_not_among_databases"
	NoReplica          = "no_replica_fresh_and_up"
	NoObservation      = "no_position_of_primary_known"
)

// Explain returns why there is no choice at present: why the primary cannot be used and, for
// reads that a replica may serve, why no replica can.
func (a *Router) Explain(q Request, s Candidates) string {
	if q.Type == routeconfig.Primary || q.Write {
		return primaryReason(s)
	}
	replicas := NoReplica
	if _, ok := a.covering(q.Service, q.Received-q.MaxStaleness); !ok {
		replicas = NoObservation
	}
	return replicas + " and " + primaryReason(s)
}

// primaryReason returns why the primary cannot be used.
func primaryReason(s Candidates) string {
	switch {
	case s.Leader.ID == "":
		return NoLeader
	case s.Leader.FailoverInProgress:
		return FailoverInProgress
	case !s.Leased:
		return NoLease
	case !s.Up(s.Leader.ID):
		return LeaderDown
	}
	return LeaderNotListed
}

// pickReplica returns the replica with the lowest expected cost that is up and may be fresh
// enough.
func (a *Router) pickReplica(q Request, s Candidates) (Choice, bool) {
	pos, ok := a.covering(q.Service, q.Received-q.MaxStaleness)
	if !ok {
		return Choice{}, false
	}
	if q.Type == routeconfig.Nearest && pos.Less(q.LastCommit) {
		pos = q.LastCommit
	}
	best, cost := -1, 0.0
	for i, d := range s.Databases {
		if d.ID == s.Leader.ID || d.Draining || q.Avoid[d.ID] || !s.Up(d.ID) || a.isLagging(d.ID) {
			continue
		}
		// The expected wait: this pooler's own share of the busy slots, at the database's
		// relative latency. Another zone costs like half a statement more, a connection that must
		// be opened first like a whole one.
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
	return Choice{Database: s.Databases[best], MinPosition: pos}, true
}
