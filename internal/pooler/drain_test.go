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

// jumpingClock is a monotonic clock as seen by a process that stalls now and then.
type jumpingClock struct {
	started time.Time
	offset  atomic.Int64
}

func (c *jumpingClock) Now() kernel.Micros {
	return kernel.Micros(time.Since(c.started)/time.Microsecond) + kernel.Micros(c.offset.Load())
}

// A process that stalled may have been sent the signal to terminate at any moment of the stall, and
// the sender counts the grace period from then. So the stall counts towards the grace period.
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
		d := &Pooler{k: k, cfg: Config{GracePeriod: func() kernel.Micros { return gracePeriod }}, terminate: make(chan struct{}), stalls: stalls}
		d.sessions = map[*session]struct{}{{pooler: d, busy: true}: {}}
		time.Sleep(1050 * time.Millisecond)
		clock.offset.Add(int64(stall))
		start := time.Now()
		go d.Drain(ctx)
		<-d.terminate
		if elapsed := time.Since(start); elapsed > (gracePeriod - stall - responseReserve + 200*kernel.Millisecond).Duration() {
			t.Errorf("statements are canceled %v after the end of a stall that took %v of the grace period", elapsed, stall.Duration())
		}
		time.Sleep(time.Second)
	})
}

// A statement that has arrived when a draining pooler closes its sessions is read, even if the
// session's goroutine has not run since.
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
		t.Fatal("a session that is not draining does not read")
	}
	if _, err := client.Write([]byte("QUERY s1.1 FETCH x\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	s.closeAfterResponse()
	if line, err := s.reader.Line(); err != nil {
		t.Errorf("the message that has arrived was not read: %q, %v", line, err)
	}
}
