package quota

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"indigowalk/internal/kernel"
)

// uncovered returns a carrier that can spend what the ledger does not count as out, ""
// if there is none.
func (p *play) uncovered() string {
	for _, c := range p.carriers {
		now := c.client.k.Clock.Now()
		for tenant, a := range c.client.allotments {
			held, old := a.free+max(0, a.admitted), a.old
			if now >= a.until {
				held = 0
			}
			if now >= a.oldUntil {
				old = 0
			}
			counted := p.counted(tenant, holder{c.name, c.client.life})
			switch {
			case p.now >= p.ledger.opens && (old > 0 || c.client.term != p.ledger.term && held > 0):
				return fmt.Sprintf("%s holds %d of %s of a term that is over", c.name, held+old, tenant)
			case c.client.term == p.ledger.term && held > counted:
				return fmt.Sprintf("%s holds %d of %s, and the ledger counts %d", c.name, held, tenant, counted)
			}
		}
	}
	return ""
}

// unbalanced returns a tenant of which there is more than the rate has added since the
// ledger began to grant, or more in stock than there is room for; "" if there is none.
func (p *play) unbalanced() string {
	for tenant, a := range p.ledger.accounts {
		limit := p.limits[len(p.limits)-1].by[tenant]
		capacity := p.ledger.capacity(p.now, limit)
		if room := max(0, capacity-float64(a.out)); a.stock > room+1e-6 && a.at == p.now {
			return fmt.Sprintf("%s: %.1f in stock, and %d of %.1f out", tenant, a.stock, a.out, capacity)
		}
		if tenant == "changing" {
			continue
		}
		if all, most := a.stock+p.spendable(tenant), limit.Burst+p.tolerance.exceeding(limit); all > max(1, most)+1e-6 {
			return fmt.Sprintf("%s: %.1f can be spent or are in stock, of %.1f", tenant, all, most)
		}
		sum := a.stock
		for _, s := range p.sendings {
			if s.tenant == tenant && s.term == p.ledger.term {
				sum++
			}
		}
		if added := limit.PerS * float64(p.now-p.ledger.begins) / float64(kernel.Second); sum > max(0, added)+1e-6 {
			return fmt.Sprintf("%s: %.1f are sent or in stock, and %.1f have been added", tenant, sum, added)
		}
	}
	return ""
}

// spendable is how much carriers can spend of a tenant, of slices of any term.
func (p *play) spendable(tenant string) (sum float64) {
	for _, c := range p.carriers {
		a, now := c.client.allotments[tenant], c.client.k.Clock.Now()
		if a != nil && now < a.until {
			sum += float64(a.free + max(0, a.admitted))
		}
		if a != nil && now < a.oldUntil {
			sum += float64(a.old)
		}
	}
	return sum
}

// counted is how much the ledger takes a holder to have.
func (p *play) counted(tenant string, who holder) int64 {
	a := p.ledger.accounts[tenant]
	if a == nil || a.slices[who] == nil || p.now >= a.slices[who].until {
		return 0
	}
	return a.slices[who].held
}

// most is what a tenant may do in a window that begins then: by the highest limit that
// was in force in it, or that slices may still be of.
func (p *play) most(tenant string, from kernel.Micros) (most float64) {
	for i, l := range p.limits {
		ended := i+1 < len(p.limits) && p.limits[i+1].since < from-testWindow-testLease
		if !ended && l.since <= from+testWindow {
			limit := l.by[tenant]
			most = max(most, p.tolerance.allowed(limit)+p.tolerance.exceeding(limit))
		}
	}
	return most
}

// excess returns the first window with too many operations, "" if there is none.
func (p *play) excess() string {
	for _, tenant := range tenants {
		var at []kernel.Micros
		for _, s := range p.sendings {
			if s.tenant == tenant {
				at = append(at, s.at)
			}
		}
		slices.SortFunc(at, cmp.Compare[kernel.Micros])
		for i, first := 0, 0; i < len(at); i++ {
			for at[i]-at[first] > testWindow {
				first++
			}
			if n, most := i-first+1, p.most(tenant, at[first]); float64(n) > most+1 {
				return fmt.Sprintf("%s: %d operations within %d ms to %d ms, and %.1f are allowed", tenant, n, testWindow.Millis(), at[i].Millis(), most)
			}
		}
	}
	return ""
}

// newPlay is the play of a seed.
func newPlay(seed uint64) *play {
	return &play{
		r: rand.New(rand.NewPCG(seed, 1)), tolerance: tolerances[seed%4%3],
		atLast: float64(seed%3) / 2, flood: kernel.Micros(1+seed%4) * 5 * kernel.Millisecond,
	}
}

// length is how long each is played.
const length = 40 * kernel.Second

// Whatever is lost, repeated, late, frozen, restarted or taken over: no window has more
// operations than the limit allows and what is used of the tolerance.
func TestBoundOverRandomSchedules(t *testing.T) {
	for seed := range uint64(80) {
		p := newPlay(seed)
		p.run(length)
		if p.wrong == "" {
			p.wrong = p.excess()
		}
		if p.wrong != "" {
			t.Fatalf("seed %d: %s", seed, p.wrong)
		}
	}
}

// What is held back must not cost much: there is a take-over each 10 s here, with a
// pause of a lease on average and, under a tolerance of nothing, a lease besides.
func TestServedOverRandomSchedules(t *testing.T) {
	const plays = 20
	served := 0
	for seed := range uint64(plays) {
		p := newPlay(3 * seed)
		p.steady = true
		p.run(length)
		for _, s := range p.sendings {
			if s.tenant == "steady" {
				served++
			}
		}
	}
	if rate := float64(served) / plays / float64(length/kernel.Second); rate < 10 {
		t.Errorf("of a limit of 20 a second %.1f were served", rate)
	}
}
