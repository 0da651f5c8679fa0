package kernel

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pipeNetwork has one address, which is in use at first; connections to it are pipes.
type pipeNetwork struct {
	Network
	asked int
	conns chan net.Conn
}

func (n *pipeNetwork) Listen(string) (net.Listener, error) {
	if n.asked++; n.asked == 1 {
		return nil, syscall.EADDRINUSE
	}
	return pipeListener{n}, nil
}

type pipeListener struct{ n *pipeNetwork }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.n.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Counters and observables are told as text, also where the address was in use at first.
func TestMetrics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &pipeNetwork{conns: make(chan net.Conn)}
		k := NewKernel("pooler", network, slog.New(slog.DiscardHandler))
		k.Counters.Add("pooler.refused", 3)
		k.Counters.Add("failure.no_replica_fresh_and_up and lead_moves", 1)
		k.Counters.Observable("connpool.open", func() int64 { return 7 })
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go k.ServeMetrics(ctx, "10.0.0.1:9464")
		ours, theirs := net.Pipe()
		defer ours.Close()
		network.conns <- theirs
		if _, err := io.WriteString(ours, "GET "+MetricsPath+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		answer, err := http.ReadResponse(bufio.NewReader(ours), nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(answer.Body)
		want := "indigowalk_connpool_open 7\nindigowalk_failure_no_replica_fresh_and_up_and_lead_moves 1\n" +
			"indigowalk_kernel_metrics_address_in_use 1\nindigowalk_pooler_refused 3\n"
		if err != nil || string(raw) != want {
			t.Errorf("%v %q", err, raw)
		}
		close(network.conns)
	})
}

// jumpingClock is a clock that stands still for a while when it is told to.
type jumpingClock struct {
	Clock
	ahead atomic.Int64
}

func (c *jumpingClock) Now() Micros { return c.Clock.Now() + Micros(c.ahead.Load()) }

// A process that stood still is noticed, before its own watch has run again too.
func TestStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		clock := &jumpingClock{Clock: SteadyClock()}
		k.Clock = clock
		s := NewStalls(k)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Serve(ctx)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if began := k.Clock.Now(); s.Since(began-Second) || k.Counters.Of("kernel.stalls").Load() != 0 {
			t.Error("a stall where there was none")
		}
		clock.ahead.Add(int64(2 * Second))
		if !s.Since(k.Clock.Now() - Second) {
			t.Error("a stall that has just ended is not noticed")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if k.Counters.Of("kernel.stalls").Load() != 1 || k.Counters.Of("kernel.stalled_ms").Load() < 1500 {
			t.Error("a stall is not counted")
		}
		if s.Since(k.Clock.Now()) {
			t.Error("a stall that is over counts on")
		}
	})
}
