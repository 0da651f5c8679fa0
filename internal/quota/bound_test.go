package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigowalk/internal/kernel"
)

// findUncovered describes a proxy that can spend operations which the ledger does not count as
// outstanding; "" if there is none.
func (p *simulation) findUncovered() string {
	for _, c := range p.proxies {
		now := c.client.k.Clock.Now()
		for tenant, a := range c.client.allotments {
			held, previous := a.free+max(0, a.admitted), a.previousFree
			if now >= a.expires {
				held = 0
			}
			if now >= a.previousExpires {
				previous = 0
			}
			counted := p.counted(tenant, proxyProcess{c.name, c.client.incarnation})
			switch {
			case p.now >= p.ledger.previousLeasesEnd && (previous > 0 || c.client.term != p.ledger.term && held > 0):
				return fmt.Sprintf("%s holds %d of %s from a term that has ended", c.name, held+previous, tenant)
			case c.client.term == p.ledger.term && held > counted:
				return fmt.Sprintf("%s holds %d of %s, but the ledger counts %d", c.name, held, tenant, counted)
			}
		}
	}
	return ""
}

// findUnbalanced describes a tenant of which there is more than the rate has added since the
// ledger began to grant, or more in stock than the capacity allows; "" if there is none.
func (p *simulation) findUnbalanced() string {
	for tenant, a := range p.ledger.accounts {
		limit := p.limits[len(p.limits)-1].by[tenant]
		capacity := p.ledger.capacity(p.now, limit)
		if room := max(0, capacity-float64(a.outstanding)); a.stock > room+1e-6 && a.refilledAt == p.now {
			return fmt.Sprintf("%s: %.1f in stock and %d outstanding, with a capacity of %.1f", tenant, a.stock, a.outstanding, capacity)
		}
		if tenant == "changing" {
			continue
		}
		if total, allowed := a.stock+p.spendable(tenant), limit.Burst+p.tolerance.usableExcess(limit); total > max(1, allowed)+1e-6 {
			return fmt.Sprintf("%s: %.1f are in stock or can be spent, more than %.1f", tenant, total, allowed)
		}
		sum := a.stock
		for _, s := range p.sent {
			if s.tenant == tenant && s.term == p.ledger.term {
				sum++
			}
		}
		if added := limit.PerS * float64(p.now-p.ledger.grantsFrom) / float64(kernel.Second); sum > max(0, added)+1e-6 {
			return fmt.Sprintf("%s: %.1f are in stock or were sent, but only %.1f were added", tenant, sum, added)
		}
	}
	return ""
}

// spendable returns how much proxies can spend of a tenant, of slices of any term.
func (p *simulation) spendable(tenant string) (sum float64) {
	for _, c := range p.proxies {
		a, now := c.client.allotments[tenant], c.client.k.Clock.Now()
		if a != nil && now < a.expires {
			sum += float64(a.free + max(0, a.admitted))
		}
		if a != nil && now < a.previousExpires {
			sum += float64(a.previousFree)
		}
	}
	return sum
}

// counted returns how much of a tenant the ledger assumes a holder to have.
func (p *simulation) counted(tenant string, who proxyProcess) int64 {
	a := p.ledger.accounts[tenant]
	if a == nil || a.slices[who] == nil || p.now >= a.slices[who].expires {
		return 0
	}
	return a.slices[who].held
}

// maxOperations returns the maximum number of operations of a tenant in a window: by the
// highest limit that was in force in it, or under which slices may still be outstanding.
func (p *simulation) maxOperations(tenant string, from kernel.Micros) (highest float64) {
	for i, l := range p.limits {
		ended := i+1 < len(p.limits) && p.limits[i+1].since < from-testWindow-testLease
		if !ended && l.since <= from+testWindow {
			limit := l.by[tenant]
			highest = max(highest, p.tolerance.allowed(limit)+p.tolerance.usableExcess(limit))
		}
	}
	return highest
}

// findExcess describes the first window with too many operations; "" if there is none.
func (p *simulation) findExcess() string {
	for _, tenant := range tenants {
		var at []kernel.Micros
		for _, s := range p.sent {
			if s.tenant == tenant {
				at = append(at, s.at)
			}
		}
		slices.SortFunc(at, cmp.Compare[kernel.Micros])
		for i, first := 0, 0; i < len(at); i++ {
			for at[i]-at[first] > testWindow {
				first++
			}
			if n, limit := i-first+1, p.maxOperations(tenant, at[first]); float64(n) > limit+1 {
				return fmt.Sprintf("%s: %d operations in the window of %d ms that ends at %d ms, but only %.1f are allowed", tenant, n, testWindow.Millis(), at[i].Millis(), limit)
			}
		}
	}
	return ""
}

// newSimulation returns the simulation of a seed.
func newSimulation(seed uint64) *simulation {
	return &simulation{
		r: rand.New(rand.NewPCG(seed, 1)), tolerance: tolerances[seed%4%3],
		lateShare: float64(seed%3) / 2, maxInterval: kernel.Micros(1+seed%4) * 5 * kernel.Millisecond,
	}
}

// simulated is the period that each simulation covers.
const simulated = 40 * kernel.Second

// No window has more operations than the limit and the usable excess allow, whatever messages
// are lost, repeated or late, and whichever proxies freeze or restart or primaries change.
func TestBoundOverRandomSchedules(t *testing.T) {
	for seed := range uint64(80) {
		p := newSimulation(seed)
		p.run(simulated)
		if p.violation == "" {
			p.violation = p.findExcess()
		}
		if p.violation != "" {
			t.Fatalf("seed %d: %s", seed, p.violation)
		}
	}
}

// What is held back must not cost much. There is a change of primary about every 10 s here,
// each with a pause of a lease on average and, under a tolerance of zero, another lease.
func TestServedOverRandomSchedules(t *testing.T) {
	const simulations = 20
	served := 0
	for seed := range uint64(simulations) {
		p := newSimulation(3 * seed)
		p.steady = true
		p.run(simulated)
		for _, s := range p.sent {
			if s.tenant == "steady" {
				served++
			}
		}
	}
	if rate := float64(served) / simulations / float64(simulated/kernel.Second); rate < 10 {
		t.Errorf("%.1f operations per second were served with a limit of 20", rate)
	}
}
