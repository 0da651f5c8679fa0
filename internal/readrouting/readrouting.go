// Package readrouting picks the database to which a statement is routed: the primary, or a replica
// that is fresh enough for the read.
//
// The position in a primary's response covers every commit that was acknowledged before the
// statement was sent; that time is the date of the position. A read that may be stale by some
// duration can go to any replica that has reached a position dated no earlier than that duration
// before the read was received.
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

// Choice is the database to which a statement is routed.
type Choice struct {
	Database    discovery.Database
	Primary     bool                  // it is the primary, which is used under the read lease and need not have reached a position
	MinPosition lineprotocol.Position // that a replica must have reached
}

// Request describes a statement that is to be routed.
type Request struct {
	Service      string
	RouteType    string // of the route
	MaxStaleness kernel.Micros
	Received     kernel.Micros         // no earlier than the arrival of its first byte
	LastCommit   lineprotocol.Position // of the session itself
	Write        bool                  // a write or a plain transaction
	Avoid        map[string]bool       // databases that were tried without success, by ID
}

// Candidates holds the databases of a service, and what a choice among them depends on.
type Candidates struct {
	Databases []discovery.Database
	Leader    failover.Leader
	Leased    bool   // the read lease covers the leader now
	Zone      string // of this pooler
	Up        func(id string) bool
	Busy      func(id string) int  // the number of its slots that this pooler uses
	Idle      func(id string) bool // whether an idle connection to the database is available
}

// observation is a position of a primary, and the time at which the statement was sent that
// returned it.
type observation struct {
	sent kernel.Micros
	pos  lineprotocol.Position
}

// The observations that are kept are at least observationSpacing apart, and at most
// observationRetention older than the newest.
const (
	observationSpacing   = 40 * kernel.Millisecond
	observationRetention = 10 * kernel.Second
)

// A replica that responded with LAGGING is skipped for lagBackoff. The backoff doubles up to
// maxLagBackoff while the replica is still lagging.
const (
	lagBackoff    = 100 * kernel.Millisecond
	maxLagBackoff = 800 * kernel.Millisecond
)

// lagState holds until when a lagging replica is skipped, and the current backoff.
type lagState struct{ until, backoff kernel.Micros }

// The relative latency of a database is the ratio of its response times to the typical ones of
// their routes, as an exponentially weighted moving average. It decays to 1 while there are no new
// responses, so that a slow database is tried again.
const (
	latencyWeight = 0.15 // of the newest response
	latencyDecay  = 1500 * kernel.Millisecond
)

// relativeLatency is the relative latency of a database, as of a time.
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

// Router picks databases for statements. For that it keeps observations of the primaries, tracks
// which replicas are lagging, and the latencies of the databases.
type Router struct {
	clock kernel.Clock

	mu           sync.Mutex
	observations map[string][]observation
	// By database ID. Entries that are no longer used are dropped by the sweep.
	lagging   map[string]lagState
	latencies map[string]relativeLatency
	sweep     kernel.SweepTimer

	typical latency.Averages // by route
}

// New returns a router without observations.
func New(clock kernel.Clock) *Router {
	return &Router{
		clock: clock, observations: map[string][]observation{}, lagging: map[string]lagState{}, latencies: map[string]relativeLatency{},
	}
}

// Observe records a primary's position, which covers all commits acknowledged before sent.
func (r *Router) Observe(service string, sent kernel.Micros, pos lineprotocol.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.observations[service]
	if n := len(kept); n > 0 && sent < kept[n-1].sent+observationSpacing {
		return
	}
	first := 0
	for first < len(kept) && kept[first].sent < sent-observationRetention {
		first++
	}
	r.observations[service] = append(kept[first:], observation{sent, pos})
}

// freshPosition returns the first position dated no earlier than oldest: of those that are fresh
// enough, the one that replicas are most likely to have reached.
func (r *Router) freshPosition(service string, oldest kernel.Micros) (lineprotocol.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.observations[service] {
		if o.sent >= oldest {
			return o.pos, true
		}
	}
	return lineprotocol.Position{}, false
}

// MarkLagging records that a replica has not reached a position yet, so that it is skipped for a
// while.
func (r *Router) MarkLagging(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	l := r.lagging[id]
	if now < l.until {
		return
	}
	if l.backoff = min(2*l.backoff, maxLagBackoff); now > l.until+2*maxLagBackoff || l.backoff == 0 {
		l.backoff = lagBackoff
	}
	l.until = now + l.backoff
	r.lagging[id] = l
}

func (r *Router) isLagging(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now() < r.lagging[id].until
}

// RecordLatency records the response time of a database to a read of the route.
func (r *Router) RecordLatency(route, id string, span kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	typical := r.typical.Add(route, span, now)
	if r.sweep.Due(now) {
		maps.DeleteFunc(r.lagging, func(_ string, l lagState) bool { return now-l.until > kernel.RetentionPeriod })
		maps.DeleteFunc(r.latencies, func(_ string, l relativeLatency) bool { return now-l.at > kernel.RetentionPeriod })
	}
	ratio := r.latencies[id].current(now)
	r.latencies[id] = relativeLatency{ratio + latencyWeight*(float64(span)/max(typical, 1)-ratio), now}
}

// TypicalLatency returns the typical response time of reads of the route, 0 if there were none.
func (r *Router) TypicalLatency(route string) kernel.Micros {
	r.mu.Lock()
	defer r.mu.Unlock()
	return kernel.Micros(r.typical.Average(route))
}

func (r *Router) latencyOf(id string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.latencies[id].current(r.clock.Now())
}

// Pick returns the database for a statement, or false if none is available now. A read that a
// replica may serve goes to the primary only if there is no suitable replica.
func (r *Router) Pick(request Request, candidates Candidates) (Choice, bool) {
	if request.RouteType != routeconfig.Primary && !request.Write {
		if choice, ok := r.pickReplica(request, candidates); ok {
			return choice, true
		}
	}
	if !candidates.Leased || !candidates.Up(candidates.Leader.ID) {
		return Choice{}, false
	}
	for _, d := range candidates.Databases {
		if d.ID == candidates.Leader.ID {
			return Choice{Database: d, Primary: true}, true
		}
	}
	return Choice{}, false
}

// Reasons why no database is available.
const (
	NoLeader           = "no_lead_known"
	FailoverInProgress = "lead_moves"
	NoLease            = "no_lease"
	LeaderDown         = "lead_held_as_down"
	LeaderNotListed    = "lead_not_among_databases"
	NoReplica          = "no_replica_fresh_and_up"
	NoObservation      = "no_position_of_primary_known"
)

// Explain returns why no database is available now: why the primary cannot be used and, for reads
// that a replica may serve, why no replica can.
func (r *Router) Explain(request Request, candidates Candidates) string {
	if request.RouteType == routeconfig.Primary || request.Write {
		return primaryReason(candidates)
	}
	replicas := NoReplica
	if _, ok := r.freshPosition(request.Service, request.Received-request.MaxStaleness); !ok {
		replicas = NoObservation
	}
	return replicas + " and " + primaryReason(candidates)
}

// primaryReason returns why the primary cannot be used.
func primaryReason(candidates Candidates) string {
	switch {
	case candidates.Leader.ID == "":
		return NoLeader
	case candidates.Leader.FailoverInProgress:
		return FailoverInProgress
	case !candidates.Leased:
		return NoLease
	case !candidates.Up(candidates.Leader.ID):
		return LeaderDown
	}
	return LeaderNotListed
}

// pickReplica returns the replica with the lowest expected cost, of those that are up and may be
// fresh enough.
func (r *Router) pickReplica(request Request, candidates Candidates) (Choice, bool) {
	pos, ok := r.freshPosition(request.Service, request.Received-request.MaxStaleness)
	if !ok {
		return Choice{}, false
	}
	if request.RouteType == routeconfig.Nearest && pos.Less(request.LastCommit) {
		pos = request.LastCommit
	}
	best, lowestCost := -1, 0.0
	for i, d := range candidates.Databases {
		if d.ID == candidates.Leader.ID || d.Draining || request.Avoid[d.ID] || !candidates.Up(d.ID) || r.isLagging(d.ID) {
			continue
		}
		// The expected waiting time, in statements of typical latency: those that this pooler has
		// in progress at the database and the new one, times the relative latency of the database.
		// A connection that must be opened first counts as one more statement, another zone as
		// half of one.
		cost := r.latencyOf(d.ID) * (1 + float64(candidates.Busy(d.ID)) + 0.2*rand.Float64())
		if !candidates.Idle(d.ID) {
			cost++
		}
		if d.Zone != candidates.Zone {
			cost += 0.5
		}
		if best < 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Database: candidates.Databases[best], MinPosition: pos}, true
}
