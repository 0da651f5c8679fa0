// Package loadbalance picks a database for a request out of the many equivalent databases
// of a service. Nodes do not exchange their current loads. Instead, each node uses a small subset
// of the databases, so that its own observations cover much of the traffic of each.
package loadbalance

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/latency"
)

// Parameters of the cost of a database. Its relative latency is the time of its responses
// divided by the typical response time of their route. Observations decay, so that a
// database that was slow is tried again. Weights are those of one observation in an
// exponentially weighted moving average, and decays are time constants.
const (
	latencyWeight      = 0.12
	maxRelativeLatency = 4                 // cap for one response: a slow one may be due to the request itself
	localDecay         = 3 * kernel.Second // towards the cost reported for all nodes
	clusterDecay       = 20 * kernel.Second
	failureWeight      = 0.3
	failureDecay       = 3 * kernel.Second
	// failureCost is the cost added for a database whose requests all fail, in typical
	// response times.
	failureCost = 30
	// fullPause is how long a database is avoided after it reported that it is full.
	fullPause = 150 * kernel.Millisecond
	// nodesPerDatabase is the number of nodes of a zone that use a database.
	nodesPerDatabase = 4
	// minSubset is the minimum number of databases that a node uses, if there are as many.
	minSubset = 4
	// remoteZoneCost is the cost added for a database in another zone, in typical
	// response times.
	remoteZoneCost = 0.35
	// sampleSize is the number of randomly chosen databases that a node compares for a
	// request. If each node took the best of all, the nodes would overload the same few
	// databases before their observations show it.
	sampleSize = 8
)

// databaseStats is what this node has observed of one database.
type databaseStats struct {
	inFlight        int             // number of requests in flight
	startTimes      []kernel.Micros // their start times, oldest first
	relativeLatency float64
	latencyAt       kernel.Micros
	failureRate     float64
	failureAt       kernel.Micros
	fullUntil       kernel.Micros // until then the database is taken to be full
	lastServed      kernel.Micros // when it last served a request
}

// Balancer picks databases by their recent latency, failures and load.
type Balancer struct {
	clock kernel.Clock

	mu           sync.Mutex
	databases    map[string]*databaseStats // by ID
	typical      latency.Averages
	subsets      map[string]subset       // by service
	clusterCosts map[string]reportedCost // as reported for all nodes
	observed     map[string]Observation  // since the last call of TakeObservations
}

// reportedCost is the cost of a request at a database, from the observations of all nodes.
type reportedCost struct {
	cost    float64
	updated kernel.Micros
}

// Observation is what this node observed of a database: the number of responses, the sum of
// their relative latencies, and the number of failed requests.
type Observation struct {
	Responses       int
	RelativeLatency float64
	Failures        int
}

// TakeObservations returns the observations made since it was last called, by database ID.
func (b *Balancer) TakeObservations() map[string]Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.observed
	b.observed = map[string]Observation{}
	return taken
}

// UpdateClusterCosts stores the costs that were computed from the observations of all nodes, by
// database ID, in hundredths of a typical response time.
func (b *Balancer) UpdateClusterCosts(costs map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	for id, cost := range costs {
		b.clusterCosts[id] = reportedCost{float64(cost) / 100, now}
	}
}

// clusterCost returns the decayed cost reported for all nodes, 1 if there is none.
func (b *Balancer) clusterCost(id string, now kernel.Micros) float64 {
	reported, ok := b.clusterCosts[id]
	if !ok {
		return 1
	}
	return decayed(reported.cost, 1, reported.updated, now, clusterDecay)
}

// New returns a load balancer without observations.
func New(clock kernel.Clock) *Balancer {
	return &Balancer{
		clock: clock, databases: map[string]*databaseStats{}, subsets: map[string]subset{},
		clusterCosts: map[string]reportedCost{}, observed: map[string]Observation{},
	}
}

// Candidates are the databases that Pick chooses from, and what the choice depends on.
type Candidates struct {
	Service   string
	Databases []discovery.Database
	Self      string
	Zone      string
	Peers     []string // the nodes of this zone, including this one
	Up        func(id string) bool
	Avoid     []string // IDs of databases that were already tried
}

// subset is how this node divides the databases of a service.
type subset struct {
	databases []discovery.Database // all, as given when this was computed
	peers     []string
	own       []discovery.Database // used by this node, in its zone if there are any there
	remote    []discovery.Database // used by this node, in other zones
	remaining []discovery.Database // all others but draining ones
}

func hash(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	// FNV alone gives similar hashes to strings that differ only near their ends.
	mixed := h.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// subsetOf returns how this node divides the databases of a service.
// Databases and nodes of a zone are ordered by their hashes, and each node uses a range of
// the databases that begins at a position proportional to its own. That covers all
// databases evenly, and a node or database that joins or leaves shifts the ranges only a
// little.
func (b *Balancer) subsetOf(candidates Candidates) subset {
	sub := b.subsets[candidates.Service]
	if sameSlice(sub.databases, candidates.Databases) && slices.Equal(sub.peers, candidates.Peers) {
		return sub
	}
	sub = subset{databases: candidates.Databases, peers: candidates.Peers}
	var sameZone, otherZones []discovery.Database
	for _, d := range candidates.Databases {
		switch {
		case d.Draining:
		case d.Zone == candidates.Zone:
			sameZone = append(sameZone, d)
		default:
			otherZones = append(otherZones, d)
		}
	}
	if len(sameZone) == 0 {
		sameZone, otherZones = otherZones, nil
	}
	rank := 0
	for _, p := range candidates.Peers {
		if p != candidates.Self && hash(p) < hash(candidates.Self) {
			rank++
		}
	}
	nodes := max(1, len(candidates.Peers))
	size := max(minSubset, (nodesPerDatabase*len(sameZone)+nodes-1)/nodes)
	sub.own, sub.remaining = cutRange(sameZone, rank*len(sameZone)/nodes, size)
	if len(otherZones) > 0 {
		var others []discovery.Database
		sub.remote, others = cutRange(otherZones, int(hash(candidates.Self)%uint64(len(otherZones))), (size+1)/2)
		sub.remaining = append(sub.remaining, others...)
	}
	b.subsets[candidates.Service] = sub
	return sub
}

// cutRange sorts databases by their hashes and returns the circular range of the given
// start and size, and the databases outside it.
func cutRange(all []discovery.Database, start, size int) (in, out []discovery.Database) {
	positions := make(map[string]uint64, len(all))
	for _, d := range all {
		positions[d.ID] = hash(d.ID)
	}
	slices.SortFunc(all, func(a, b discovery.Database) int { return cmp.Compare(positions[a.ID], positions[b.ID]) })
	rotated := append(slices.Clone(all[start:]), all[:start]...)
	size = min(size, len(all))
	return rotated[:size:size], rotated[size:]
}

// sameSlice reports whether two slices share their elements. That suffices to tell that they
// are equal, as elements are never changed in place.
func sameSlice(a, b []discovery.Database) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// statsOf returns the statistics of a database, and creates them if there are none.
func (b *Balancer) statsOf(id string) *databaseStats {
	stats := b.databases[id]
	if stats == nil {
		stats = &databaseStats{relativeLatency: 1}
		b.databases[id] = stats
	}
	return stats
}

// decayed returns a value that was valid at a time, after its exponential decay towards a
// baseline.
func decayed(value, baseline float64, at, now, timeConstant kernel.Micros) float64 {
	return baseline + (value-baseline)*math.Exp(-float64(now-at)/float64(timeConstant))
}

// cost returns the expected duration of a request, in typical response times.
func (b *Balancer) cost(d discovery.Database, now kernel.Micros, typical float64) float64 {
	stats, clusterCost := b.databases[d.ID], b.clusterCost(d.ID, now)
	if stats == nil {
		return clusterCost
	}
	relativeLatency := decayed(stats.relativeLatency, clusterCost, stats.latencyAt, now, localDecay)
	if len(stats.startTimes) > 0 && typical > 0 {
		// A request without a response yet shows that the database is at least that slow.
		// Half the age of the oldest one is taken as a minimum.
		relativeLatency = max(relativeLatency, float64(now-stats.startTimes[0])/typical/2)
	}
	total := relativeLatency * (1 + float64(stats.inFlight)/float64(max(1, d.Slots)))
	total += failureCost * decayed(stats.failureRate, 0, stats.failureAt, now, failureDecay)
	if now < stats.fullUntil {
		total += failureCost
	}
	return total
}

// Pick returns the database to send a request of a route to, or false if there is none.
func (b *Balancer) Pick(route string, candidates Candidates) (discovery.Database, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, typical := b.clock.Now(), b.typical.Average(route)
	sub := b.subsetOf(candidates)
	var best discovery.Database
	lowest, found := 0.0, false
	// consider compares up to limit randomly chosen databases that are up and not to be
	// avoided, and keeps the cheapest found so far.
	consider := func(all []discovery.Database, limit int, surcharge float64) {
		order := rand.Perm(len(all))
		for _, i := range order {
			d := all[i]
			if limit == 0 {
				return
			}
			if !candidates.Up(d.ID) || slices.Contains(candidates.Avoid, d.ID) {
				continue
			}
			limit--
			if cost := b.cost(d, now, typical) + surcharge; !found || cost < lowest {
				best, lowest, found = d, cost, true
			}
		}
	}
	consider(sub.own, sampleSize, 0)
	consider(sub.remote, 1, remoteZoneCost)
	for range 2 {
		if !found || lowest >= failureCost/2 {
			consider(sub.own, len(sub.own), 0)
			consider(sub.remaining, sampleSize, remoteZoneCost)
		}
	}
	return best, found
}

// Begin counts a request as in flight at a database, and returns its start time for End.
func (b *Balancer) Begin(id string) (startedAt kernel.Micros) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.statsOf(id)
	startedAt = b.clock.Now()
	stats.inFlight++
	stats.startTimes = append(stats.startTimes, startedAt)
	return startedAt
}

// End removes a request that Begin counted, and records its outcome. Its duration counts
// towards the relative latency only if it was served.
func (b *Balancer) End(route, id string, startedAt kernel.Micros, outcome Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats, now := b.statsOf(id), b.clock.Now()
	stats.inFlight--
	if i := slices.Index(stats.startTimes, startedAt); i >= 0 {
		stats.startTimes = slices.Delete(stats.startTimes, i, i+1)
	}
	failureRate := decayed(stats.failureRate, 0, stats.failureAt, now, failureDecay)
	switch outcome {
	case Served:
		typical := b.typical.Add(route, now-startedAt, now)
		relativeLatency := decayed(stats.relativeLatency, b.clusterCost(id, now), stats.latencyAt, now, localDecay)
		stats.relativeLatency = relativeLatency + latencyWeight*(min(float64(now-startedAt)/max(typical, 1), maxRelativeLatency)-relativeLatency)
		stats.latencyAt, stats.lastServed = now, now
		observation := b.observed[id]
		observation.Responses++
		observation.RelativeLatency += min(float64(now-startedAt)/max(typical, 1), maxRelativeLatency)
		b.observed[id] = observation
		stats.failureRate, stats.failureAt = failureRate*(1-failureWeight), now
	case Full:
		stats.fullUntil = now + fullPause
	case Failed:
		stats.failureRate, stats.failureAt = failureRate+failureWeight*(1-failureRate), now
		observation := b.observed[id]
		observation.Failures++
		b.observed[id] = observation
	}
}

// Outcome is how a request at a database ended.
type Outcome int

// Outcomes of a request.
const (
	Served Outcome = iota // successful response
	Full                  // the database refused the request because it is full
	Failed                // no response, or one that reports a fault
	Unused                // the request was not sent
)

// TypicalLatency returns the typical response time of a route, 0 if there was no response yet.
func (b *Balancer) TypicalLatency(route string) kernel.Micros {
	b.mu.Lock()
	defer b.mu.Unlock()
	return kernel.Micros(b.typical.Average(route))
}

// LastServed returns when a database last served a request of this node, 0 if never.
func (b *Balancer) LastServed(id string) kernel.Micros {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stats := b.databases[id]; stats != nil {
		return stats.lastServed
	}
	return 0
}

// Prune drops the state of databases that no longer exist. Observations of a database with
// requests in flight stay.
func (b *Balancer) Prune(current map[string]discovery.Database) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, stats := range b.databases {
		if _, ok := current[id]; !ok && stats.inFlight == 0 {
			delete(b.databases, id)
		}
	}
	for id := range b.clusterCosts {
		if _, ok := current[id]; !ok {
			delete(b.clusterCosts, id)
		}
	}
}
