package pooler

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
)

// jumpingClock is a monotonic clock that can jump ahead, as a process sees it after a stall.
type jumpingClock struct {
	started time.Time
	offset  atomic.Int64
}

func (c *jumpingClock) Now() kernel.Micros {
	return kernel.Micros(time.Since(c.started)/time.Microsecond) + kernel.Micros(c.offset.Load())
}

// A process may be sent the signal to terminate at any moment during a stall, and the grace period
// counts from that signal. A stall just before the drain therefore counts towards the grace period.
func TestStallCountsTowardsGracePeriod(t *testing.T) {
	const gracePeriod, stall = 6 * kernel.Second, 2600 * kernel.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := &jumpingClock{started: time.Now()}
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		k.Clock = clock
		stalls := kernel.NewStallDetector(k)
		go stalls.Serve(ctx)
		p := &Pooler{k: k, cfg: Config{GracePeriod: func() kernel.Micros { return gracePeriod }}, terminate: make(chan struct{}), stalls: stalls}
		p.sessions = map[*session]struct{}{{pooler: p, busy: true}: {}}
		time.Sleep(1050 * time.Millisecond)
		clock.offset.Add(int64(stall))
		start := time.Now()
		go p.Drain(ctx)
		<-p.terminate
		if elapsed := time.Since(start); elapsed > (gracePeriod - stall - responseReserve + 200*kernel.Millisecond).Duration() {
			t.Errorf("statements are canceled %v after the process resumed, %v of its grace period had passed", elapsed, stall.Duration())
		}
		time.Sleep(time.Second)
	})
}

// When a draining pooler closes its sessions, a session still reads a statement that has already
// arrived, even if its goroutine has not run since the arrival.
func TestClosingSessionReadsReceivedMessage(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp4", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	s := newSession(&Pooler{k: k, memory: memorybudget.New(0)}, c)
	if !s.prepareRead(0) {
		t.Fatal("prepareRead returned false for a session that is not draining")
	}
	if _, err := client.Write([]byte("QUERY s1.1 FETCH x\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	s.closeAfterResponse()
	if line, err := s.reader.Line(); err != nil {
		t.Errorf("a message that had arrived was not read: %q, %v", line, err)
	}
}
