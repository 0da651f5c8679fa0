package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/standin"
	"indigowalk/internal/tools"
)

// rule is how far quotas may be exceeded, as the settings have it by default.
var rule = quota.Tolerance{Window: 5 * kernel.Second, Excess: 0.1, Slack: 20}

// arrivals are the operations that databases ran, by tenant.
type arrivals struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// watch notes the arrivals at a group's databases; it is called before there are any.
func watch(g *Group) *arrivals {
	a := &arrivals{at: map[string][]time.Time{}}
	g.Observe.Ran = func(r standin.Run) {
		a.mu.Lock()
		defer a.mu.Unlock()
		if r.Begins {
			a.at[r.Who] = append(a.at[r.Who], time.Now())
		}
	}
	return a
}

// between counts a tenant's arrivals in a span.
func (a *arrivals) between(tenant string, from, to time.Time) (n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, at := range a.at[tenant] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// within fails unless every window since a time has no more arrivals than allowed.
func (a *arrivals) within(t TB, tenant routeconfig.Tenant, since time.Time) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	most := rule.MaxOperations(quota.Limit{PerS: tenant.RatePerS, Burst: tenant.Burst})
	at := a.at[tenant.Name]
	for first, i := 0, 0; i < len(at); i++ {
		for at[i].Sub(at[first]) > rule.Window.Duration() || at[first].Before(since) {
			first++
		}
		if n := i - first + 1; float64(n) > most {
			t.Errorf("%s: %d operations within %v, and %.0f are allowed", tenant.Name, n, rule.Window.Duration(), most)
			return
		}
	}
}

// limited is a tenant whose key is its name.
func limited(name string, rate, burst float64) routeconfig.Tenant {
	t := tenant(name, "key-"+name)
	t.RatePerS, t.Burst = rate, burst
	return t
}

// demand is clients of one tenant in one zone.
type demand struct {
	stop            chan struct{}
	done            sync.WaitGroup
	mu              sync.Mutex
	served, refused int
	last            time.Time     // when one was served
	gap             time.Duration // the longest between two that were
}

// demand has clients of a tenant send operations at a zone's pooler, at so many a second,
// whatever becomes of them.
func (w *World) demand(g *Group, zone int, tenant string, perSecond int) *demand {
	const clients = 8
	d := &demand{stop: make(chan struct{}), last: time.Now()}
	for i := range clients {
		d.done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			for n := 0; ; n++ {
				select {
				case <-d.stop:
					return
				case <-time.After(clients * time.Second / time.Duration(perSecond)):
				}
				d.operate(w, g, zone, tenant, n)
			}
		})
	}
	return d
}

// operate is one operation: a statement, or a transaction of two.
func (d *demand) operate(w *World, g *Group, zone int, tenant string, n int) {
	s, _ := w.loginAs(zone, "p.ledger", "key-"+tenant)
	if s == nil {
		return
	}
	defer s.Close()
	g.SetSessionTenant(s.Name, tenant)
	texts := []string{fmt.Sprintf("PUT %s%d %d", tenant, zone, n)}
	if n%3 == 0 {
		texts = []string{"BEGIN", "FETCH " + tenant, texts[0], "COMMIT"}
	}
	code := ""
	for _, text := range texts {
		a, _ := s.Query(text)
		if code = a.Code; code != "" {
			break
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch code {
	case "":
		d.gap = max(d.gap, time.Since(d.last))
		d.last = time.Now()
		d.served++
	case lineprotocol.Retry:
		d.refused++
	}
}

func (d *demand) end() (served, refused int) {
	close(d.stop)
	d.done.Wait()
	return d.served, d.refused
}

// One tenant that floods every node has what its limit allows, and no more; others are
// served as if it were not there, and one without a limit is not counted.
func TestQuotaOverAllNodes(t *testing.T) {
	play(t, func(w *World, g *Group) {
		ran := watch(g)
		hot, quiet, free := limited("hot", 40, 20), limited("quiet", 40, 20), limited("free", 0, 0)
		w.put(1, w.withTenants(2, hot, quiet, free))
		time.Sleep(5 * time.Second)
		began := time.Now()
		var hots, quiets []*demand
		for z := 1; z <= 4; z++ {
			hots = append(hots, w.demand(g, z, "hot", 50))
			quiets = append(quiets, w.demand(g, z, "quiet", 6))
		}
		unlimited := w.demand(g, 2, "free", 80)
		time.Sleep(15 * time.Second)
		w.Until("the status names the tenant whose stock is empty", 2*time.Second, func() bool {
			status := w.status()
			return strings.Contains(status, "tenants: 3, 2 with a limit, 1 with nothing in stock") && strings.Contains(status, "  tenant hot: 0.")
		})
		for i, d := range quiets {
			if served, refused := d.end(); refused > 0 || served < 80 {
				t.Errorf("a quiet tenant in zone %d: %d served, %d refused", i+1, served, refused)
			}
		}
		if served, refused := unlimited.end(); refused > 0 || served < 1000 {
			t.Errorf("a tenant without a limit: %d served, %d refused", served, refused)
		}
		for _, d := range hots {
			d.end()
		}
		if n := ran.between("hot", began, time.Now()); n < 15*36 {
			t.Errorf("of a limit of 40 a second, %d operations ran in 15 s", n)
		}
		ran.within(t, hot, began)
		ran.within(t, quiet, began)
	})
}

// flooded plays with one tenant that floods from every zone.
func flooded(t *testing.T, f func(w *World, hot routeconfig.Tenant, ran *arrivals)) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.Settings = "tune.record_kb=8192\n"
		g := w.Group("ledger")
		w.Boot()
		w.Configure()
		ran := watch(g)
		hot := limited("hot", 40, 40)
		w.put(1, w.withTenants(2, hot))
		time.Sleep(5 * time.Second)
		began := time.Now()
		var demands []*demand
		for z := 1; z <= 4; z++ {
			demands = append(demands, w.demand(g, z, "hot", 40))
		}
		time.Sleep(6 * time.Second)
		f(w, hot, ran)
		for _, d := range demands {
			d.end()
		}
		ran.within(t, hot, began)
		audited(w, ran)
	})
}

// audited fails unless the recordings of all nodes show what the databases saw.
func audited(w *World, ran *arrivals) {
	w.T.Helper()
	var paths []string
	for z := 1; z <= w.Zones; z++ {
		for _, role := range []string{"control", "pooler"} {
			path := filepath.Join(w.Process(role, z).dir, role+".recording")
			paths = append(paths, path)
			if _, err := os.Stat(path + kernel.PreviousSuffix); err == nil {
				paths = append(paths, path+kernel.PreviousSuffix)
			}
		}
	}
	c, err := tools.CheckQuota(paths)
	if err != nil {
		w.T.Errorf("the recordings: %v", err)
		return
	}
	if seen := ran.between("hot", time.Time{}, time.Now()); c.Excess != nil || len(c.LeftOut) > 0 || c.Operations < seen || c.Operations > seen+seen/50 {
		w.T.Errorf("the recordings of %d operations at databases: %+v", seen, c)
	}
}

// The next primary of the control state grants slices soon, and none that the one
// before may have granted.
func TestQuotaHolderLost(t *testing.T) {
	flooded(t, func(w *World, hot routeconfig.Tenant, ran *arrivals) {
		for range 2 {
			lost := controlPrimary(w)
			w.Process("control", lost).Kill()
			began := time.Now()
			w.Until("operations run again", 3*time.Second, func() bool {
				return ran.between("hot", began.Add(1500*time.Millisecond), time.Now()) > 20
			})
			w.Start("control", lost, false)
			time.Sleep(8 * time.Second)
			if n := ran.between("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
				t.Errorf("of a limit of 40 a second, %d operations ran in 4 s", n)
			}
		}
	})
}

// With the control nodes parted in two, only the side of the primary is granted slices.
func TestQuotaCutInTwo(t *testing.T) {
	flooded(t, func(w *World, hot routeconfig.Tenant, ran *arrivals) {
		for _, alone := range []int{controlPrimary(w), 1 + controlPrimary(w)%4} {
			w.Isolate(alone, true)
			time.Sleep(7 * time.Second)
			w.Isolate(alone, false)
			time.Sleep(6 * time.Second)
			if n := ran.between("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
				t.Errorf("of a limit of 40 a second, %d operations ran in 4 s", n)
			}
		}
	})
}

// After all power is lost nothing is known of what was granted.
func TestQuotaPowerLost(t *testing.T) {
	flooded(t, func(w *World, hot routeconfig.Tenant, ran *arrivals) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("pooler", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("pooler", z, false)
		}
		time.Sleep(12 * time.Second)
		if n := ran.between("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
			t.Errorf("of a limit of 40 a second, %d operations ran in 4 s", n)
		}
	})
}

// A lower limit binds a window after every node knows it; a tenant that is taken away
// is not served, and has the new limit when it comes back.
func TestQuotaLowered(t *testing.T) {
	flooded(t, func(w *World, hot routeconfig.Tenant, ran *arrivals) {
		low := limited("hot", 5, 5)
		w.put(2, w.withTenants(3, low))
		since := time.Now()
		time.Sleep(8 * time.Second)
		ran.within(t, low, since.Add(rule.Window.Duration()))
		w.put(3, w.withTenants(4, limited("other", 5, 5)))
		time.Sleep(time.Second)
		if n := ran.between("hot", time.Now().Add(-500*time.Millisecond), time.Now()); n > 0 {
			t.Errorf("a tenant that is gone: %d operations ran", n)
		}
		w.put(4, w.withTenants(5, low))
		time.Sleep(8 * time.Second)
		ran.within(t, low, since.Add(rule.Window.Duration()))
		if n := ran.between("hot", time.Now().Add(-4*time.Second), time.Now()); n < 18 {
			t.Errorf("of a limit of 5 a second, %d operations ran in 4 s", n)
		}
	})
}
