package gateway

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// jumpingClock is a monotonic clock that can jump ahead, as a process sees it after a stall.
type jumpingClock struct {
	start  time.Time
	offset atomic.Int64
}

func (c *jumpingClock) Now() kernel.Micros {
	return kernel.Micros(time.Since(c.start)/time.Microsecond) + kernel.Micros(c.offset.Load())
}

// A process may be asked to terminate at any moment during a stall, and the grace period counts from
// that request. A stall just before the drain therefore counts towards the grace period.
func TestStallCountsTowardsGracePeriod(t *testing.T) {
	const gracePeriod, stall = 6 * kernel.Second, 2600 * kernel.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := &jumpingClock{start: time.Now()}
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		k.Clock = clock
		stalls := kernel.NewStallDetector(k)
		go stalls.Serve(ctx)
		g := &Gateway{k: k, cfg: Config{GracePeriod: func() kernel.Micros { return gracePeriod }}, drainExpired: make(chan struct{}), stalls: stalls}
		g.clients = map[net.Conn]*clientState{nil: {busy: true}}
		time.Sleep(1050 * time.Millisecond)
		clock.offset.Add(int64(stall))
		start := time.Now()
		go g.Drain(ctx)
		<-g.drainExpired
		if elapsed := time.Since(start); elapsed > (gracePeriod - stall - finalResponseTime + 200*kernel.Millisecond).Duration() {
			t.Errorf("requests are abandoned %v after the process resumed, %v of its grace period had passed", elapsed, stall.Duration())
		}
		time.Sleep(time.Second)
	})
}
