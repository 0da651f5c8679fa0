package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigowalk/internal/kernel"
)

// findUncovered describes a proxy that can spend operations that the ledger does not count as
// outstanding; "" if there is none.
func (s *simulation) findUncovered() string {
	for _, proxy := range s.proxies {
		now := proxy.client.k.Clock.Now()
		for tenant, a := range proxy.client.allotments {
			held, previous := a.free+max(0, a.admitted), a.previousFree
			if now >= a.expires {
				held = 0
			}
			if now >= a.previousExpires {
				previous = 0
			}
			recorded := s.recordedHolding(tenant, proxyIncarnation{proxy.name, proxy.client.incarnation})
			switch {
			case s.now >= s.ledger.previousLeasesEnd && (previous > 0 || proxy.client.term != s.ledger.term && held > 0):
				return fmt.Sprintf("%s holds %d of %s from a term that has ended", proxy.name, held+previous, tenant)
			case proxy.client.term == s.ledger.term && held > recorded:
				return fmt.Sprintf("%s holds %d of %s, but the ledger counts %d", proxy.name, held, tenant, recorded)
			}
		}
	}
	return ""
}

// findUnbalanced describes a tenant that has more operations than the rate has added since the
// ledger began to grant, or more in stock than the capacity allows; "" if there is none.
func (s *simulation) findUnbalanced() string {
	for tenant, a := range s.ledger.accounts {
		limit := s.limits[len(s.limits)-1].limits[tenant]
		capacity := s.ledger.capacity(s.now, limit)
		if room := max(0, capacity-float64(a.outstanding)); a.stock > room+1e-6 && a.refilledAt == s.now {
			return fmt.Sprintf("%s: %.1f operations in stock and %d outstanding, with a capacity of %.1f", tenant, a.stock, a.outstanding, capacity)
		}
		if tenant == "changing" {
			continue
		}
		if total, allowed := a.stock+s.spendable(tenant), limit.Burst+s.tolerance.usableExcess(limit); total > max(1, allowed)+1e-6 {
			return fmt.Sprintf("%s: %.1f operations are in stock or can be spent, more than %.1f", tenant, total, allowed)
		}
		sum := a.stock
		for _, operation := range s.sent {
			if operation.tenant == tenant && operation.term == s.ledger.term {
				sum++
			}
		}
		if added := limit.PerS * float64(s.now-s.ledger.grantsFrom) / float64(kernel.Second); sum > max(0, added)+1e-6 {
			return fmt.Sprintf("%s: %.1f operations are in stock or were sent, but only %.1f were added", tenant, sum, added)
		}
	}
	return ""
}

// spendable returns how many operations of a tenant proxies can spend, from slices of any term.
func (s *simulation) spendable(tenant string) (sum float64) {
	for _, proxy := range s.proxies {
		a, now := proxy.client.allotments[tenant], proxy.client.k.Clock.Now()
		if a != nil && now < a.expires {
			sum += float64(a.free + max(0, a.admitted))
		}
		if a != nil && now < a.previousExpires {
			sum += float64(a.previousFree)
		}
	}
	return sum
}

// recordedHolding returns how many operations of a tenant a holder has by the records of the
// ledger.
func (s *simulation) recordedHolding(tenant string, holder proxyIncarnation) int64 {
	a := s.ledger.accounts[tenant]
	if a == nil || a.slices[holder] == nil || s.now >= a.slices[holder].expires {
		return 0
	}
	return a.slices[holder].held
}

// maxOperations returns the maximum number of operations of a tenant in a window: by the
// highest limit that was in force in it, or under which slices may still be outstanding.
func (s *simulation) maxOperations(tenant string, from kernel.Micros) (highest float64) {
	for i, entry := range s.limits {
		ended := i+1 < len(s.limits) && s.limits[i+1].since < from-testWindow-testLease
		if !ended && entry.since <= from+testWindow {
			limit := entry.limits[tenant]
			highest = max(highest, s.tolerance.allowed(limit)+s.tolerance.usableExcess(limit))
		}
	}
	return highest
}

// findExcess describes the first window with too many operations; "" if there is none.
func (s *simulation) findExcess() string {
	for _, tenant := range tenants {
		var at []kernel.Micros
		for _, operation := range s.sent {
			if operation.tenant == tenant {
				at = append(at, operation.at)
			}
		}
		slices.SortFunc(at, cmp.Compare[kernel.Micros])
		for i, first := 0, 0; i < len(at); i++ {
			for at[i]-at[first] > testWindow {
				first++
			}
			if n, limit := i-first+1, s.maxOperations(tenant, at[first]); float64(n) > limit+1 {
				return fmt.Sprintf("%s: %d operations in the window of %d ms that ends at %d ms, but only %.1f are allowed", tenant, n, testWindow.Millis(), at[i].Millis(), limit)
			}
		}
	}
	return ""
}

// newSimulation returns the simulation of a seed.
func newSimulation(seed uint64) *simulation {
	return &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), tolerance: tolerances[seed%4%3],
		lateShare: float64(seed%3) / 2, maxInterval: kernel.Micros(1+seed%4) * 5 * kernel.Millisecond,
	}
}

// simulatedPeriod is the period that each simulation covers.
const simulatedPeriod = 40 * kernel.Second

// No window has more operations than the limit and the usable excess allow, also when messages
// are lost, repeated or late, proxies freeze or restart, and the primary changes.
func TestWindowBoundUnderRandomFaults(t *testing.T) {
	for seed := range uint64(80) {
		sim := newSimulation(seed)
		sim.run(simulatedPeriod)
		if sim.violation == "" {
			sim.violation = sim.findExcess()
		}
		if sim.violation != "" {
			t.Fatalf("seed %d: %s", seed, sim.violation)
		}
	}
}

// The operations that are held back for the bound must not cost much throughput. The primary
// changes about every 10 s here; each change costs a pause of one lease on average and, under a
// tolerance of zero, one more lease.
func TestThroughputUnderRandomFaults(t *testing.T) {
	const runs = 20
	served := 0
	for seed := range uint64(runs) {
		sim := newSimulation(3 * seed)
		sim.noBursts = true
		sim.run(simulatedPeriod)
		for _, operation := range sim.sent {
			if operation.tenant == "steady" {
				served++
			}
		}
	}
	if rate := float64(served) / runs / float64(simulatedPeriod/kernel.Second); rate < 10 {
		t.Errorf("%.1f operations per second were served with a limit of 20", rate)
	}
}
