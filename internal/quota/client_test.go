package quota

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// fixture is a client that calls its ledger directly.
type fixture struct {
	*testing.T
	client            *Client
	ledger            *Ledger
	requests          atomic.Int64
	ledgerUnreachable bool
}

// withClient runs a test with a client of a ledger that has been granting for a while.
func withClient(t *testing.T, limit Limit, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		f := &fixture{T: t}
		f.ledger = NewLedger(1, k.Clock.Now(), testLease, zeroTolerance)
		f.ledger.SetLimits(k.Clock.Now(), map[string]Limit{"ann": limit, "bob": limit})
		f.client = NewClient(k, "a", func(_ context.Context, req sliceRequest) (sliceResponse, error) {
			f.requests.Add(1)
			time.Sleep(time.Millisecond)
			if f.ledgerUnreachable {
				return sliceResponse{}, errors.New("unreachable")
			}
			return f.ledger.ProcessRequest(k.Clock.Now(), req)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.client.Serve(ctx) }()
		time.Sleep(time.Minute)
		test(f)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// spend sends one operation. It returns whether it was admitted, and how long that took.
func (f *fixture) spend(tenant string, limit Limit) (bool, time.Duration) {
	start := time.Now()
	admission, err := f.client.Admit(tenant, limit, 100*kernel.Millisecond)
	var exhausted *ExhaustedError
	switch {
	case err == nil:
		f.client.Spend(admission)
	case !errors.As(err, &exhausted) || exhausted.RetryAfter < minRetryAfter:
		f.Errorf("refused with %v", err)
	}
	return err == nil, time.Since(start)
}

// A tenant without a limit causes no requests, a rarely used tenant one per operation, and a
// frequently used tenant far fewer than that, mostly without waiting.
func TestRequestsPerOperation(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		for range 50 {
			if ok, took := f.spend("free", Limit{}); !ok || took > 0 {
				f.Errorf("tenant without a limit: admitted %v after %v", ok, took)
			}
		}
		if f.requests.Load() != 0 {
			f.Errorf("%d requests for a tenant without a limit", f.requests.Load())
		}
		for range 20 {
			time.Sleep(3 * time.Second)
			if ok, took := f.spend("bob", limit); !ok || took > 5*time.Millisecond {
				f.Errorf("rarely used tenant: admitted %v after %v", ok, took)
			}
		}
		if f.requests.Load() != 20 {
			f.Errorf("%d requests for 20 operations, one per 3 s", f.requests.Load())
		}
		f.requests.Store(0)
		waited := 0
		for i := range 1000 {
			time.Sleep(20 * time.Millisecond)
			ok, took := f.spend("ann", limit)
			if !ok {
				f.Errorf("operation %d was refused", i)
			}
			if took > 0 {
				waited++
			}
		}
		if f.requests.Load() > 150 || waited > 20 {
			f.Errorf("%d requests for 1,000 operations, of which %d waited", f.requests.Load(), waited)
		}
		time.Sleep(2 * time.Second)
		if held := f.client.Usage()["ann"].Held; held != 0 {
			f.Errorf("held when idle: %v", held)
		}
	})
}

// Operations above the limit are refused soon and without a request for each; those within it
// are served, and so are other tenants.
func TestDemandOverLimit(t *testing.T) {
	limit := Limit{PerS: 20, Burst: 10}
	withClient(t, limit, func(f *fixture) {
		type outcome struct {
			ok   bool
			took time.Duration
		}
		const sent = 2000 // within 10 s
		outcomes := make(chan outcome, sent)
		for range sent {
			go func() {
				ok, took := f.spend("ann", limit)
				outcomes <- outcome{ok, took}
			}()
			time.Sleep(5 * time.Millisecond)
		}
		if ok, took := f.spend("bob", limit); !ok || took > 5*time.Millisecond {
			f.Errorf("another tenant: admitted %v after %v", ok, took)
		}
		served, slowest := 0, time.Duration(0)
		for range sent {
			result := <-outcomes
			slowest = max(slowest, result.took)
			if result.ok {
				served++
			}
		}
		if served < 180 || served > 212 || slowest > 100*time.Millisecond || f.requests.Load() > 400 {
			f.Errorf("%d of %d operations served, the slowest result after %v, with %d requests", served, sent, slowest, f.requests.Load())
		}
	})
}

// The number of operations that wait for a grant is bounded.
func TestWaitingIsBounded(t *testing.T) {
	limit := Limit{PerS: 20, Burst: 10}
	withClient(t, limit, func(f *fixture) {
		f.ledgerUnreachable = true
		refusedAtOnce, done := 0, make(chan time.Duration)
		for range 3 * maxWaiting {
			go func() {
				_, took := f.spend("ann", limit)
				done <- took
			}()
		}
		for range 3 * maxWaiting {
			if took := <-done; took < time.Millisecond {
				refusedAtOnce++
			}
		}
		if refusedAtOnce != 2*maxWaiting {
			f.Errorf("%d of %d operations were refused without waiting", refusedAtOnce, 3*maxWaiting)
		}
	})
}

// A proxy that cannot reach the ledger spends what it holds until the lease ends, and resumes
// as soon as the ledger is reachable again.
func TestLedgerUnreachable(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		for range 100 {
			f.spend("ann", limit)
			time.Sleep(10 * time.Millisecond)
		}
		f.ledgerUnreachable = true
		served := 0
		for range 100 {
			if ok, _ := f.spend("ann", limit); ok {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if held := f.client.Usage()["ann"].Held; served < 10 || served > 70 || held != 0 {
			f.Errorf("%d served while the ledger was unreachable, %d held at the end", served, held)
		}
		f.ledgerUnreachable = false
		time.Sleep(2 * unreachablePause.Duration())
		if ok, took := f.spend("ann", limit); !ok || took > 10*time.Millisecond {
			f.Errorf("with a reachable ledger again: admitted %v after %v", ok, took)
		}
	})
}

// An admission ends before the lease of its slice, and an operation that was not sent is
// available to the next one.
func TestAdmissionEndsWithLease(t *testing.T) {
	limit := Limit{PerS: 1, Burst: 2}
	withClient(t, limit, func(f *fixture) {
		first, err := f.client.Admit("ann", limit, 100*kernel.Millisecond)
		if err != nil {
			f.Fatal(err)
		}
		if left := first.Until - f.client.k.Clock.Now(); left <= 0 || left > testLease-leaseMargin {
			f.Errorf("the admission lasts %d ms", left.Millis())
		}
		f.client.Return(first)
		requests := f.requests.Load()
		if ok, took := f.spend("ann", limit); !ok || took > 0 || f.requests.Load() != requests {
			f.Errorf("after an unused admission: admitted %v after %v", ok, took)
		}
		second, err := f.client.Admit("ann", limit, 100*kernel.Millisecond)
		if err != nil {
			f.Fatal(err)
		}
		time.Sleep(testLease.Duration())
		if now := f.client.k.Clock.Now(); now < second.Until {
			f.Errorf("an admission lasts longer than its lease")
		}
		f.client.Return(second)
		time.Sleep(testLease.Duration())
		if held := f.client.Usage()["ann"].Held; held != 0 {
			f.Errorf("held when idle: %v", held)
		}
	})
}

// A proxy whose clock has stepped back begins an incarnation later than the one that the
// ledger knows.
func TestClockSteppedBack(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		f.client.call = func(ctx context.Context, req sliceRequest) (sliceResponse, error) {
			resp, err := f.ledger.ProcessRequest(f.client.k.Clock.Now(), req)
			if resp.NewestIncarnation > 0 {
				err = nil
			}
			return resp, err
		}
		if _, err := f.ledger.ProcessRequest(f.client.k.Clock.Now(), sliceRequest{Proxy: "a", Incarnation: f.client.incarnation + 7, Seq: 9}); err != nil {
			f.Fatal(err)
		}
		if ok, _ := f.spend("ann", limit); !ok {
			f.Error("the operation was refused")
		}
	})
}

// Operations of thousands of tenants are requested in messages of bounded size, and idle tenants
// are forgotten.
func TestManyTenants(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		limits := map[string]Limit{}
		for i := range 3000 {
			limits[fmt.Sprint("t", i)] = limit
		}
		f.ledger.SetLimits(f.client.k.Clock.Now(), limits)
		done := make(chan bool)
		for tenant := range limits {
			go func() {
				ok, _ := f.spend(tenant, limit)
				done <- ok
			}()
		}
		for range limits {
			if !<-done {
				f.Error("an operation was refused")
			}
		}
		if f.requests.Load() < 3000/maxHoldings || f.requests.Load() > 20 {
			f.Errorf("%d requests for 3000 tenants", f.requests.Load())
		}
		time.Sleep(3 * forgetAfter.Duration())
		if n := len(f.client.allotments); n > 0 {
			f.Errorf("%d idle tenants are remembered", n)
		}
	})
}
