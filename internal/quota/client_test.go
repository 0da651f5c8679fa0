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

// fixture is a client with the ledger that it asks, at hand.
type fixture struct {
	*testing.T
	client *Client
	ledger *Ledger
	asked  atomic.Int64
	away   bool
}

// withClient runs a test with a client of a ledger that has been open for a while.
func withClient(t *testing.T, limit Limit, test func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
		f := &fixture{T: t}
		f.ledger = NewLedger(1, k.Clock.Now(), testLease, strict)
		f.ledger.SetLimits(k.Clock.Now(), map[string]Limit{"ann": limit, "bob": limit})
		f.client = NewClient(k, "a", func(_ context.Context, q ask) (answer, error) {
			f.asked.Add(1)
			time.Sleep(time.Millisecond)
			if f.away {
				return answer{}, errors.New("not reached")
			}
			return f.ledger.Take(k.Clock.Now(), q)
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

// spend sends one operation; it reports whether that was admitted, and how long it took.
func (f *fixture) spend(tenant string, limit Limit) (bool, time.Duration) {
	began := time.Now()
	a, err := f.client.Admit(tenant, limit, 100*kernel.Millisecond)
	var exhausted *Exhausted
	switch {
	case err == nil:
		f.client.Sent(a)
	case !errors.As(err, &exhausted) || exhausted.ComeBack < leastComeBack:
		f.Errorf("refused with %v", err)
	}
	return err == nil, time.Since(began)
}

// A tenant without a limit asks nothing, one that is used seldom is asked for once per
// operation, and one that is used often far less than that, without waiting.
func TestRoundTrips(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		for range 50 {
			if ok, took := f.spend("free", Limit{}); !ok || took > 0 {
				f.Errorf("no limit: %v after %v", ok, took)
			}
		}
		if f.asked.Load() != 0 {
			f.Errorf("asked %d times for a tenant without a limit", f.asked.Load())
		}
		for range 20 {
			time.Sleep(3 * time.Second)
			if ok, took := f.spend("bob", limit); !ok || took > 5*time.Millisecond {
				f.Errorf("seldom used: %v after %v", ok, took)
			}
		}
		if f.asked.Load() != 20 {
			f.Errorf("asked %d times for 20 operations, one in 3 s", f.asked.Load())
		}
		f.asked.Store(0)
		waited := 0
		for i := range 1000 {
			time.Sleep(20 * time.Millisecond)
			ok, took := f.spend("ann", limit)
			if !ok {
				f.Errorf("operation %d is refused", i)
			}
			if took > 0 {
				waited++
			}
		}
		if f.asked.Load() > 150 || waited > 20 {
			f.Errorf("asked %d times for 1,000 operations, of which %d waited", f.asked.Load(), waited)
		}
		time.Sleep(2 * time.Second)
		if held := f.client.Uses()["ann"].Held; held != 0 {
			f.Errorf("held at rest: %v", held)
		}
	})
}

// What is over the limit is refused, soon and without a call each; the rest is served.
func TestOverTheLimit(t *testing.T) {
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
			f.Errorf("another tenant is served: %v after %v", ok, took)
		}
		served, slowest := 0, time.Duration(0)
		for range sent {
			o := <-outcomes
			slowest = max(slowest, o.took)
			if o.ok {
				served++
			}
		}
		if served < 180 || served > 212 || slowest > 100*time.Millisecond || f.asked.Load() > 400 {
			f.Errorf("%d of %d served, the slowest after %v, with %d calls", served, sent, slowest, f.asked.Load())
		}
	})
}

// Operations that wait are bounded in number.
func TestWaitingIsBounded(t *testing.T) {
	limit := Limit{PerS: 20, Burst: 10}
	withClient(t, limit, func(f *fixture) {
		f.away = true
		refusedAtOnce, done := 0, make(chan time.Duration)
		for range 3 * mostWaiting {
			go func() {
				_, took := f.spend("ann", limit)
				done <- took
			}()
		}
		for range 3 * mostWaiting {
			if took := <-done; took < time.Millisecond {
				refusedAtOnce++
			}
		}
		if refusedAtOnce != 2*mostWaiting {
			f.Errorf("%d of %d are refused at once", refusedAtOnce, 3*mostWaiting)
		}
	})
}

// A carrier that is cut off spends what it has until the lease ends, and goes on as soon
// as it is back.
func TestCutOff(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		for range 100 {
			f.spend("ann", limit)
			time.Sleep(10 * time.Millisecond)
		}
		f.away = true
		served := 0
		for range 100 {
			if ok, _ := f.spend("ann", limit); ok {
				served++
			}
			time.Sleep(10 * time.Millisecond)
		}
		if held := f.client.Uses()["ann"].Held; served < 10 || served > 70 || held != 0 {
			f.Errorf("%d served while cut off, %d held at its end", served, held)
		}
		f.away = false
		time.Sleep(2 * unreachedPause.Duration())
		if ok, took := f.spend("ann", limit); !ok || took > 10*time.Millisecond {
			f.Errorf("back again: %v after %v", ok, took)
		}
	})
}

// What a leave is for must be sent before its lease ends, and what is not sent is there
// for the next.
func TestLeaveEnds(t *testing.T) {
	limit := Limit{PerS: 1, Burst: 2}
	withClient(t, limit, func(f *fixture) {
		a, err := f.client.Admit("ann", limit, 100*kernel.Millisecond)
		if err != nil {
			f.Fatal(err)
		}
		if left := a.Until - f.client.k.Clock.Now(); left <= 0 || left > testLease-leaseMargin {
			f.Errorf("a leave for %d ms", left.Millis())
		}
		f.client.Unused(a)
		asked := f.asked.Load()
		if ok, took := f.spend("ann", limit); !ok || took > 0 || f.asked.Load() != asked {
			f.Errorf("what was not sent: %v after %v", ok, took)
		}
		b, err := f.client.Admit("ann", limit, 100*kernel.Millisecond)
		if err != nil {
			f.Fatal(err)
		}
		time.Sleep(testLease.Duration())
		if now := f.client.k.Clock.Now(); now < b.Until {
			f.Errorf("a leave that lasts for longer than its lease")
		}
		f.client.Unused(b)
		time.Sleep(testLease.Duration())
		if held := f.client.Uses()["ann"].Held; held != 0 {
			f.Errorf("held at rest: %v", held)
		}
	})
}

// A carrier whose clock has stepped back begins a life after the one that is known.
func TestClockSteppedBack(t *testing.T) {
	limit := Limit{PerS: 100, Burst: 100}
	withClient(t, limit, func(f *fixture) {
		f.client.call = func(ctx context.Context, q ask) (answer, error) {
			a, err := f.ledger.Take(f.client.k.Clock.Now(), q)
			if a.Newest > 0 {
				err = nil
			}
			return a, err
		}
		if _, err := f.ledger.Take(f.client.k.Clock.Now(), ask{Carrier: "a", Life: f.client.life + 7, Seq: 9}); err != nil {
			f.Fatal(err)
		}
		if ok, _ := f.spend("ann", limit); !ok {
			f.Error("refused")
		}
	})
}

// Thousands of tenants are asked for in calls of bounded size, and forgotten at rest.
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
				f.Error("refused")
			}
		}
		if f.asked.Load() < 3000/mostAsked || f.asked.Load() > 20 {
			f.Errorf("asked %d times", f.asked.Load())
		}
		time.Sleep(3 * forgetAfter.Duration())
		if n := len(f.client.allotments); n > 0 {
			f.Errorf("%d tenants are known at rest", n)
		}
	})
}
