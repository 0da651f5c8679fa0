package quota

import (
	"errors"
	"fmt"
	"testing"

	"indigowalk/internal/kernel"
)

// grantStart is when the ledger of the first term begins to grant.
const grantStart = testLease

// newOpenLedger returns a ledger that has been granting long enough for its stock to be full.
func newOpenLedger(limit Limit) (l *Ledger, now kernel.Micros) {
	l = NewLedger(1, 0, testLease, zeroTolerance)
	l.SetLimits(0, map[string]Limit{"ann": limit, "free": {}})
	return l, grantStart + 100*kernel.Second
}

func requestGrant(t *testing.T, l *Ledger, now kernel.Micros, req sliceRequest) Grant {
	t.Helper()
	resp, err := l.ProcessRequest(now, req)
	if err != nil || len(resp.Grants) != 1 {
		t.Fatalf("%+v: %+v, %v", req, resp, err)
	}
	return resp.Grants[0]
}

// A proxy cannot return or keep more than it was granted, cannot repeat a request, and is
// rejected once a later incarnation is known.
func TestInvalidProxyReports(t *testing.T) {
	l, now := newOpenLedger(Limit{PerS: 1, Burst: 20})
	if grant := requestGrant(t, l, now, sliceRequest{"a", 5, 1, []Holding{{Tenant: "ann", Held: 50, Returned: 50, Want: 4}}}); grant.Renewed || grant.Granted != 4 {
		t.Errorf("after a report of a slice that was never granted: %+v", grant)
	}
	requestGrant(t, l, now, sliceRequest{"a", 5, 2, []Holding{{Tenant: "ann", Held: 50, Returned: 50}}})
	if a := l.Accounts(now)["ann"]; a.Outstanding != 4 || a.Stock != 16 || a.Holders != 1 {
		t.Errorf("after a report of more held than was granted: %+v", a)
	}
	requestGrant(t, l, now, sliceRequest{"a", 5, 3, []Holding{{Tenant: "ann", Held: 1, Returned: 50}}})
	if a := l.Accounts(now)["ann"]; a.Outstanding != 1 || a.Stock != 19 {
		t.Errorf("after a report of more returned than was granted: %+v", a)
	}
	for _, c := range []struct {
		name   string
		req    sliceRequest
		want   error
		newest int64
	}{
		{"a repeated request", sliceRequest{"a", 5, 3, nil}, ErrStale, 0},
		{"an earlier request", sliceRequest{"a", 5, 2, nil}, ErrStale, 0},
		{"an earlier incarnation", sliceRequest{"a", 4, 9, nil}, ErrStale, 5},
		{"no proxy name", sliceRequest{"", 4, 9, nil}, ErrMalformed, 0},
		{"no incarnation", sliceRequest{"a", 0, 9, nil}, ErrMalformed, 0},
		{"no sequence number", sliceRequest{"a", 6, 0, nil}, ErrMalformed, 0},
	} {
		if a, err := l.ProcessRequest(now, c.req); !errors.Is(err, c.want) || a.NewestIncarnation != c.newest {
			t.Errorf("%s: %+v, %v", c.name, a, err)
		}
	}
	for name, h := range map[string]Holding{
		"an unknown tenant": {Tenant: "eve", Want: 4},
		"negative held":     {Tenant: "ann", Held: -4, Want: 4},
		"negative returned": {Tenant: "ann", Returned: -4, Want: 4},
		"negative wanted":   {Tenant: "ann", Want: -4},
	} {
		if grant := requestGrant(t, l, now, sliceRequest{name, 1, 1, []Holding{h}}); grant.Granted != 0 || grant.RetryAfter == 0 {
			t.Errorf("%s: %+v", name, grant)
		}
	}
	if grant := requestGrant(t, l, now, sliceRequest{"c", 1, 1, []Holding{{Tenant: "free", Want: 7}}}); grant.Granted != 7 {
		t.Errorf("a tenant without a limit: %+v", grant)
	}
	if n := len(l.Accounts(now)); n != 1 {
		t.Errorf("%d accounts are kept", n)
	}
	for i := range 2 * maxProxies {
		_, _ = l.ProcessRequest(now, sliceRequest{Proxy: string(rune('A' + i)), Incarnation: 1, Seq: 1})
	}
	if n := len(l.latestRequests); n != maxProxies {
		t.Errorf("%d proxies are remembered", n)
	}
}

// A proxy that requests all stock is granted only a share of it, so that some is left for the
// next proxy. Each is told when to request again.
func TestGrantLeavesStock(t *testing.T) {
	l, now := newOpenLedger(Limit{PerS: 10, Burst: 20})
	left := 20.0
	for i, want := range []int64{10, 5, 3, 1, 1, 0} {
		grant := requestGrant(t, l, now, sliceRequest{string(rune('a' + i)), 1, 1, []Holding{{Tenant: "ann", Want: 1000}}})
		if grant.Granted != want || grant.RetryAfter == 0 {
			t.Errorf("grant %d: %+v", i, grant)
		}
		left -= float64(grant.Granted)
	}
	grant := requestGrant(t, l, now, sliceRequest{"z", 1, 1, []Holding{{Tenant: "ann", Want: 1}}})
	if grant.Granted != 0 || grant.RetryAfter != 100*kernel.Millisecond {
		t.Errorf("with no stock and a rate of 10 per second: %+v", grant)
	}
}

// A lower limit applies at once to stock, and to slices once their leases end. A tenant that is
// removed and added again has no more than before.
func TestLoweredLimit(t *testing.T) {
	l, now := newOpenLedger(Limit{PerS: 10, Burst: 20})
	requestGrant(t, l, now, sliceRequest{"a", 1, 1, []Holding{{Tenant: "ann", Want: 10}}})
	l.SetLimits(now, map[string]Limit{"ann": {PerS: 1, Burst: 4}})
	if a := l.Accounts(now)["ann"]; a.Stock != 0 || a.Outstanding != 10 || a.Capacity != 4 {
		t.Errorf("under the lower limit: %+v", a)
	}
	now += testLease
	if a := l.Accounts(now)["ann"]; a.Stock > 0.61 || a.Outstanding != 0 {
		t.Errorf("after the lease of the slice ended: %+v", a)
	}
	l.SetLimits(now, map[string]Limit{})
	l.SetLimits(now+kernel.Second, map[string]Limit{"ann": {PerS: 1, Burst: 4}})
	if a := l.Accounts(now + kernel.Second)["ann"]; a.Stock > 2 {
		t.Errorf("after the tenant was removed for a second: %+v", a)
	}
	l.SetLimits(now+kernel.Second, map[string]Limit{})
	l.SetLimits(now+kernel.Second+testWindow+testLease, map[string]Limit{})
	if n := len(l.Accounts(now)); n != 0 {
		t.Errorf("%d accounts of removed tenants are kept", n)
	}
}

// While slices of the previous term may be outstanding, only the opening capacity is granted,
// and stock does not grow beyond it.
func TestOpeningPeriod(t *testing.T) {
	limit := Limit{PerS: 1000, Burst: 1000}
	tolerance := Tolerance{Window: testWindow, Slack: 100}
	l := NewLedger(2, 0, testLease, tolerance)
	l.SetLimits(0, map[string]Limit{"ann": limit})
	stock := func(now kernel.Micros) float64 { return l.Accounts(now)["ann"].Stock }
	if grant := requestGrant(t, l, 1, sliceRequest{"a", 1, 1, []Holding{{Tenant: "ann", Want: 9}}}); grant.Granted != 0 || grant.RetryAfter < testLease-2 {
		t.Errorf("before the ledger grants: %+v", grant)
	}
	l.GrantEarly(100 * kernel.Millisecond)
	if got := stock(110 * kernel.Millisecond); got != 10 {
		t.Errorf("stock 10 ms after the ledger began to grant: %v", got)
	}
	if got := stock(400 * kernel.Millisecond); got != 35 {
		t.Errorf("stock while slices of the previous term may be outstanding: %v", got)
	}
	if got := stock(testLease + 10*kernel.Millisecond); got != 45 {
		t.Errorf("stock 10 ms after the opening period: %v", got)
	}
	if got := stock(testLease + 10*kernel.Second); got != 1035 {
		t.Errorf("stock 10 s after the opening period: %v", got)
	}
	l.GrantEarly(testLease + 10*kernel.Second) // too late to have an effect
	if got := stock(testLease + 11*kernel.Second); got != 1035 {
		t.Errorf("stock after a late GrantEarly: %v", got)
	}
}

// The tolerance is split between the terms as the design describes, and the split costs little
// capacity.
func TestCapacity(t *testing.T) {
	tolerance := Tolerance{Window: 5 * kernel.Second, Excess: 0.1, Slack: 20}
	for _, c := range []struct {
		limit                   Limit
		capacity, maxOperations float64
	}{
		{Limit{215, 215}, 215 + 129./2 + 7, 1290*1.1 + 20},
		{Limit{1, 0}, 0.25 + 7, 5*1.1 + 20},
	} {
		if got := tolerance.Capacity(c.limit); got != c.capacity {
			t.Errorf("%+v: capacity %v, want %v", c.limit, got, c.capacity)
		}
		if got := tolerance.MaxOperations(c.limit); got < c.maxOperations-1e-6 || got > c.maxOperations+1e-6 {
			t.Errorf("%+v: at most %v operations in a window, want %v", c.limit, got, c.maxOperations)
		}
	}
	for _, limit := range []Limit{{215, 215}, {1, 0}} {
		if sum := tolerance.Capacity(limit) + tolerance.OpeningCapacity(limit); sum > tolerance.MaxOperations(limit)-tolerance.allowed(limit)+limit.Burst-6 {
			t.Errorf("%+v: the capacities of a term and the opening of the next are %v together", limit, sum)
		}
	}
	if got := zeroTolerance.Capacity(Limit{PerS: 0.01}); got != 1 {
		t.Errorf("the capacity for a rate of 0.01 per second is %v, want 1", got)
	}
}

// BenchmarkProcessRequest measures a request for one operation of one of 72 tenants, from 91
// proxies that each hold slices.
func BenchmarkProcessRequest(b *testing.B) {
	l := NewLedger(1, 0, testLease, zeroTolerance)
	limits := map[string]Limit{}
	var tenants, proxies []string
	for i := range 72 {
		tenants = append(tenants, fmt.Sprint("tenant-", i))
		limits[tenants[i]] = Limit{PerS: 1e6, Burst: 1e6}
	}
	for i := range 91 {
		proxies = append(proxies, fmt.Sprint("carrier-", i))
	}
	l.SetLimits(0, limits)
	now := grantStart + kernel.Second
	for i := range b.N {
		now += 10
		req := sliceRequest{proxies[i%len(proxies)], 1, int64(i + 1), []Holding{{Tenant: tenants[i%len(tenants)], Want: 1}}}
		if _, err := l.ProcessRequest(now, req); err != nil {
			b.Fatal(err)
		}
	}
}
