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

// quotaTolerance is by how much quotas may be exceeded with the default settings.
var quotaTolerance = quota.Tolerance{Window: 5 * kernel.Second, Excess: 0.1, Slack: 20}

// operationTimes records when databases began operations, by tenant.
type operationTimes struct {
	mu       sync.Mutex
	byTenant map[string][]time.Time
}

// recordOperations records the operations that a group's databases run. It must be called before
// the first one.
func recordOperations(g *Group) *operationTimes {
	o := &operationTimes{byTenant: map[string][]time.Time{}}
	g.Observer.Ran = func(run standin.Run) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if run.Begins {
			o.byTenant[run.Tenant] = append(o.byTenant[run.Tenant], time.Now())
		}
	}
	return o
}

// countBetween counts a tenant's operations from one time up to another, exclusive.
func (o *operationTimes) countBetween(tenant string, from, to time.Time) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, at := range o.byTenant[tenant] {
		if !at.Before(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// checkLimit fails the test if any window that begins at or after since has more operations than
// the tenant's limit and quotaTolerance allow.
func (o *operationTimes) checkLimit(t TB, tenant routeconfig.Tenant, since time.Time) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	maxOperations := quotaTolerance.MaxOperations(quota.Limit{PerS: tenant.RatePerS, Burst: tenant.Burst})
	times := o.byTenant[tenant.Name]
	for first, i := 0, 0; i < len(times); i++ {
		for times[i].Sub(times[first]) > quotaTolerance.Window.Duration() || times[first].Before(since) {
			first++
		}
		if n := i - first + 1; float64(n) > maxOperations {
			t.Errorf("tenant %s: %d operations within %v, at most %.0f are allowed", tenant.Name, n, quotaTolerance.Window.Duration(), maxOperations)
			return
		}
	}
}

// limitedTenant returns a tenant with a limit, whose API key is "key-" followed by its name.
func limitedTenant(name string, rate, burst float64) routeconfig.Tenant {
	t := newTenant(name, "key-"+name)
	t.RatePerS, t.Burst = rate, burst
	return t
}

// tenantLoad is a load by clients of one tenant in one zone.
type tenantLoad struct {
	stop            chan struct{}
	done            sync.WaitGroup
	mu              sync.Mutex
	served, refused int
	lastServed      time.Time
	longestGap      time.Duration // between two served operations
}

// startTenantLoad starts clients of a tenant that send operations to a zone's pooler at the given
// rate, whether they are served or not.
func (w *World) startTenantLoad(g *Group, zone int, tenant string, perSecond int) *tenantLoad {
	const clients = 8
	l := &tenantLoad{stop: make(chan struct{}), lastServed: time.Now()}
	for i := range clients {
		l.done.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / time.Duration(perSecond))
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(clients * time.Second / time.Duration(perSecond)):
				}
				l.runOperation(w, g, zone, tenant, n)
			}
		})
	}
	return l
}

// runOperation opens a session and runs operation n: a transaction of two statements if n is a
// multiple of 3, otherwise a single statement.
func (l *tenantLoad) runOperation(w *World, g *Group, zone int, tenant string, n int) {
	s, _ := w.loginWithKey(zone, "p.ledger", "key-"+tenant)
	if s == nil {
		return
	}
	defer s.Close()
	g.SetSessionTenant(s.Name, tenant)
	statements := []string{fmt.Sprintf("PUT %s%d %d", tenant, zone, n)}
	if n%3 == 0 {
		statements = []string{"BEGIN", "FETCH " + tenant, statements[0], "COMMIT"}
	}
	code := ""
	for _, statement := range statements {
		answer, _ := s.Query(statement)
		if code = answer.Code; code != "" {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch code {
	case "":
		l.longestGap = max(l.longestGap, time.Since(l.lastServed))
		l.lastServed = time.Now()
		l.served++
	case lineprotocol.Retry:
		l.refused++
	}
}

// finish stops the clients and returns how many operations were served and refused.
func (l *tenantLoad) finish() (served, refused int) {
	close(l.stop)
	l.done.Wait()
	return l.served, l.refused
}

// A tenant that floods every node gets what its limit allows and no more. Other tenants are served
// as if it did not exist, and the operations of a tenant without a limit are not counted.
func TestQuotaAcrossNodes(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		operations := recordOperations(g)
		hot, quiet, free := limitedTenant("hot", 40, 20), limitedTenant("quiet", 40, 20), limitedTenant("free", 0, 0)
		w.replaceAndAwait(1, w.configurationWithTenants(2, hot, quiet, free))
		time.Sleep(5 * time.Second)
		start := time.Now()
		var hotLoads, quietLoads []*tenantLoad
		for z := 1; z <= 4; z++ {
			hotLoads = append(hotLoads, w.startTenantLoad(g, z, "hot", 50))
			quietLoads = append(quietLoads, w.startTenantLoad(g, z, "quiet", 6))
		}
		freeLoad := w.startTenantLoad(g, 2, "free", 80)
		time.Sleep(15 * time.Second)
		w.WaitUntil("the status reports the tenant whose stock is empty", 2*time.Second, func() bool {
			status := w.statusText()
			return strings.Contains(status, "tenants: 3, 2 with a limit, 1 with nothing in stock") && strings.Contains(status, "  tenant hot: 0.")
		})
		for i, load := range quietLoads {
			if served, refused := load.finish(); refused > 0 || served < 80 {
				t.Errorf("tenant below its limit, zone %d: %d operations served, %d refused", i+1, served, refused)
			}
		}
		if served, refused := freeLoad.finish(); refused > 0 || served < 1000 {
			t.Errorf("tenant without a limit: %d operations served, %d refused", served, refused)
		}
		for _, load := range hotLoads {
			load.finish()
		}
		if n := operations.countBetween("hot", start, time.Now()); n < 15*36 {
			t.Errorf("limit of 40 operations per second: only %d ran in 15 s", n)
		}
		operations.checkLimit(t, hot, start)
		operations.checkLimit(t, quiet, start)
	})
}

// withFloodingTenant runs a scenario while clients in every zone exceed the limit of one tenant,
// and then checks the limit and the recordings.
func withFloodingTenant(t *testing.T, scenario func(w *World, hot routeconfig.Tenant, operations *operationTimes)) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.Settings = "tune.record_kb=8192\n"
		g := w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		operations := recordOperations(g)
		hot := limitedTenant("hot", 40, 40)
		w.replaceAndAwait(1, w.configurationWithTenants(2, hot))
		time.Sleep(5 * time.Second)
		start := time.Now()
		var loads []*tenantLoad
		for z := 1; z <= 4; z++ {
			loads = append(loads, w.startTenantLoad(g, z, "hot", 40))
		}
		time.Sleep(6 * time.Second)
		scenario(w, hot, operations)
		for _, load := range loads {
			load.finish()
		}
		operations.checkLimit(t, hot, start)
		checkRecordings(w, operations)
	})
}

// checkRecordings fails the test unless the quota check of all nodes' recordings finds the
// operations that the databases ran, up to 2 % more, and no excess.
func checkRecordings(w *World, operations *operationTimes) {
	w.T.Helper()
	var paths []string
	for z := 1; z <= w.Zones(); z++ {
		for _, role := range []string{"control", "pooler"} {
			path := filepath.Join(w.Process(role, z).dir, role+".recording")
			paths = append(paths, path)
			if _, err := os.Stat(path + kernel.PreviousSuffix); err == nil {
				paths = append(paths, path+kernel.PreviousSuffix)
			}
		}
	}
	check, err := tools.CheckQuota(paths)
	if err != nil {
		w.T.Errorf("checking the recordings: %v", err)
		return
	}
	if executed := operations.countBetween("hot", time.Time{}, time.Now()); check.Excess != nil || len(check.LeftOut) > 0 || check.Operations < executed || check.Operations > executed+executed/50 {
		w.T.Errorf("the databases ran %d operations, the recordings show %+v", executed, check)
	}
}

// After the control primary is killed, the next one soon grants slices, but none of the stock that
// the previous one may have granted.
func TestQuotaAfterControlFailover(t *testing.T) {
	withFloodingTenant(t, func(w *World, hot routeconfig.Tenant, operations *operationTimes) {
		for range 2 {
			killed := controlPrimaryZone(w)
			w.Process("control", killed).Kill()
			start := time.Now()
			w.WaitUntil("operations run after the failover", 3*time.Second, func() bool {
				return operations.countBetween("hot", start.Add(1500*time.Millisecond), time.Now()) > 20
			})
			w.Start("control", killed, false)
			time.Sleep(8 * time.Second)
			if n := operations.countBetween("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
				t.Errorf("limit of 40 operations per second: only %d ran in 4 s", n)
			}
		}
	})
}

// While the control primary, or the node after it, is partitioned from the others, slices are
// granted only on the primary's side.
func TestQuotaPartition(t *testing.T) {
	withFloodingTenant(t, func(w *World, hot routeconfig.Tenant, operations *operationTimes) {
		for _, isolated := range []int{controlPrimaryZone(w), 1 + controlPrimaryZone(w)%4} {
			w.Isolate(isolated, true)
			time.Sleep(7 * time.Second)
			w.Isolate(isolated, false)
			time.Sleep(6 * time.Second)
			if n := operations.countBetween("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
				t.Errorf("limit of 40 operations per second: only %d ran in 4 s", n)
			}
		}
	})
}

// After all nodes have lost power, no record exists of the slices that were granted before. The
// limit still holds, and operations run again.
func TestQuotaPowerLoss(t *testing.T) {
	withFloodingTenant(t, func(w *World, hot routeconfig.Tenant, operations *operationTimes) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("pooler", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("pooler", z, false)
		}
		time.Sleep(12 * time.Second)
		if n := operations.countBetween("hot", time.Now().Add(-4*time.Second), time.Now()); n < 4*36 {
			t.Errorf("limit of 40 operations per second: only %d ran in 4 s", n)
		}
	})
}

// A lowered limit is enforced one window after every node has it. A tenant that is removed is not
// served, and has the lowered limit when it is added again.
func TestQuotaLimitLowered(t *testing.T) {
	withFloodingTenant(t, func(w *World, hot routeconfig.Tenant, operations *operationTimes) {
		lowered := limitedTenant("hot", 5, 5)
		w.replaceAndAwait(2, w.configurationWithTenants(3, lowered))
		changedAt := time.Now()
		time.Sleep(8 * time.Second)
		operations.checkLimit(t, lowered, changedAt.Add(quotaTolerance.Window.Duration()))
		w.replaceAndAwait(3, w.configurationWithTenants(4, limitedTenant("other", 5, 5)))
		time.Sleep(time.Second)
		if n := operations.countBetween("hot", time.Now().Add(-500*time.Millisecond), time.Now()); n > 0 {
			t.Errorf("removed tenant: %d operations ran", n)
		}
		w.replaceAndAwait(4, w.configurationWithTenants(5, lowered))
		time.Sleep(8 * time.Second)
		operations.checkLimit(t, lowered, changedAt.Add(quotaTolerance.Window.Duration()))
		if n := operations.countBetween("hot", time.Now().Add(-4*time.Second), time.Now()); n < 18 {
			t.Errorf("limit of 5 operations per second: only %d ran in 4 s", n)
		}
	})
}
