package distribution

import (
	"math"
	"sync"

	"indigowalk/internal/kernel"
)

// Observation is what a proxy observed of a database since its last report:
//   - [0]: the number of responses
//   - [1]: the sum, over these responses, of latency divided by usual latency, in hundredths
//   - [2]: the number of failed requests
type Observation [3]int

// observations aggregates what all proxies observe of each database, and publishes the relative
// cost of a request to each database, as a multiple of the usual response time. The aggregate is
// kept in memory only: a new primary starts without observations, and the costs that proxies
// have received decay at the proxies.
type observations struct {
	clock kernel.Clock

	mu          sync.Mutex
	seq         int64 // of the newest published change
	nextPublish kernel.Micros
	byDatabase  map[string]*databaseStats
}

// databaseStats are the aggregated observations of one database.
type databaseStats struct {
	latency       float64 // moving average, as a multiple of the usual latency
	latencyAt     kernel.Micros
	failureRate   float64 // moving average, from 0 to 1
	failureRateAt kernel.Micros
	published     int   // the published cost, in hundredths
	publishedSeq  int64 // observations.seq of that change
}

const (
	// publishInterval is the shortest time between two evaluations of the costs.
	publishInterval = 300 * kernel.Millisecond
	// latencyWeight is the weight of one response in the average latency, and failureWeight that of
	// one response or failure in the failure rate.
	latencyWeight = 0.04
	failureWeight = 0.2
	// Time constants with which the latency decays to the usual one, and the failure rate to 0.
	latencyDecay = 30 * kernel.Second
	failureDecay = 3 * kernel.Second
	// failureCost is what a failure rate of 1 adds to the cost.
	failureCost = 20
	// publishThreshold is the change of a cost, as a share of the published one, above which it is
	// published again.
	publishThreshold = 0.15
	// maxObservedDatabases limits memory use: further databases are ignored.
	maxObservedDatabases = 10_000
)

func newObservations(clock kernel.Clock) *observations {
	return &observations{clock: clock, byDatabase: map[string]*databaseStats{}}
}

// decay returns what remains of v after the elapsed time, as it decays exponentially to the baseline.
func decay(v, baseline float64, elapsed, timeConstant kernel.Micros) float64 {
	return baseline + (v-baseline)*math.Exp(-float64(elapsed)/float64(timeConstant))
}

// add adds the observations that one proxy reported.
func (o *observations) add(reported map[string]Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.clock.Now()
	for id, observed := range reported {
		if observed[0] < 0 || observed[1] < 0 || observed[2] < 0 {
			continue
		}
		stats := o.byDatabase[id]
		if stats == nil {
			if len(o.byDatabase) >= maxObservedDatabases {
				continue
			}
			stats = &databaseStats{latency: 1, latencyAt: now, failureRateAt: now, published: 100}
			o.byDatabase[id] = stats
		}
		if observed[0] > 0 {
			stats.latency = decay(stats.latency, 1, now-stats.latencyAt, latencyDecay)
			mean := float64(observed[1]) / 100 / float64(observed[0])
			stats.latency += (1 - math.Pow(1-latencyWeight, float64(observed[0]))) * (mean - stats.latency)
			stats.latencyAt = now
		}
		stats.failureRate = decay(stats.failureRate, 0, now-stats.failureRateAt, failureDecay)
		stats.failureRate *= math.Pow(1-failureWeight, float64(observed[0]))
		stats.failureRate += (1 - math.Pow(1-failureWeight, float64(observed[2]))) * (1 - stats.failureRate)
		stats.failureRateAt = now
	}
}

// since returns the published costs that changed after seq, in hundredths, and the newest seq. Before
// that it publishes the costs that have changed enough, at most once per publishInterval.
func (o *observations) since(seq int64) (costs map[string]int, newest int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := o.clock.Now(); now >= o.nextPublish {
		o.nextPublish = now + publishInterval
		for _, stats := range o.byDatabase {
			cost := 100 * (decay(stats.latency, 1, now-stats.latencyAt, latencyDecay) + failureCost*decay(stats.failureRate, 0, now-stats.failureRateAt, failureDecay))
			if math.Abs(cost-float64(stats.published)) > publishThreshold*float64(stats.published) {
				o.seq++
				stats.published, stats.publishedSeq = int(cost), o.seq
			}
		}
	}
	if seq >= o.seq {
		return nil, o.seq
	}
	costs = map[string]int{}
	for id, stats := range o.byDatabase {
		if stats.publishedSeq > seq {
			costs[id] = stats.published
		}
	}
	return costs, o.seq
}

// retain removes the observations of databases that no longer exist.
func (o *observations) retain(exists func(id string) bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.byDatabase {
		if !exists(id) {
			delete(o.byDatabase, id)
		}
	}
}
