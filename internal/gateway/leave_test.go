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

// jumpingClock is a steady clock as a process sees it that stands still now and then.
type jumpingClock struct {
	began time.Time
	ahead atomic.Int64
}

func (c *jumpingClock) Now() kernel.Micros {
	return kernel.Micros(time.Since(c.began)/time.Microsecond) + kernel.Micros(c.ahead.Load())
}

// A process may have been told to end at any moment while it stood still: whoever told it
// counts the grace from then.
func TestAStallIsPartOfTheGrace(t *testing.T) {
	const grace, stall = 6 * kernel.Second, 2600 * kernel.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := &jumpingClock{began: time.Now()}
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		k.Clock = clock
		stalls := kernel.NewStalls(k)
		go stalls.Serve(ctx)
		g := &Gateway{k: k, cfg: Config{Grace: func() kernel.Micros { return grace }}, ending: make(chan struct{}), stalls: stalls}
		g.clients = map[net.Conn]*clientState{nil: {busy: true}}
		time.Sleep(1050 * time.Millisecond)
		clock.ahead.Add(int64(stall))
		began := time.Now()
		go g.Leave(ctx)
		<-g.ending
		if took := time.Since(began); took > (grace - stall - lastAnswers + 200*kernel.Millisecond).Duration() {
			t.Errorf("requests are given up %v after the process went on, %v of its grace were over", took, stall.Duration())
		}
		time.Sleep(time.Second)
	})
}
