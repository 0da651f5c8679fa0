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

// pipeNetwork is a network with one address, which is in use at the first Listen; connections
// to it are pipes.
type pipeNetwork struct {
	Network
	listenCalls int
	conns       chan net.Conn
}

func (n *pipeNetwork) Listen(string) (net.Listener, error) {
	if n.listenCalls++; n.listenCalls == 1 {
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

// Counters and observed values are served in the Prometheus text format, even if the address is in use
// at first.
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
		client, server := net.Pipe()
		defer client.Close()
		network.conns <- server
		if _, err := io.WriteString(client, "GET "+MetricsPath+" HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(response.Body)
		want := "indigowalk_connpool_open 7\nindigowalk_failure_no_replica_fresh_and_up_and_lead_moves 1\n" +
			"indigowalk_kernel_metrics_address_in_use 1\nindigowalk_pooler_refused 3\n"
		if err != nil || string(raw) != want {
			t.Errorf("reading the metrics: error %v, got %q", err, raw)
		}
		close(network.conns)
	})
}

// jumpingClock is a clock that jumps ahead by offset, as it appears to a stalled process.
type jumpingClock struct {
	Clock
	offset atomic.Int64
}

func (c *jumpingClock) Now() Micros { return c.Clock.Now() + Micros(c.offset.Load()) }

// A stall is detected, even before the detector's own check has run again.
func TestStallDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		clock := &jumpingClock{Clock: NewMonotonicClock()}
		k.Clock = clock
		detector := NewStallDetector(k)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go detector.Serve(ctx)
		time.Sleep(3 * time.Second)
		synctest.Wait()
		if began := k.Clock.Now(); detector.StalledSince(began-Second) || k.Counters.Counter("kernel.stalls").Load() != 0 {
			t.Error("a stall is reported where there was none")
		}
		clock.offset.Add(int64(2 * Second))
		if !detector.StalledSince(k.Clock.Now() - Second) {
			t.Error("a stall that has just ended is not detected")
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if k.Counters.Counter("kernel.stalls").Load() != 1 || k.Counters.Counter("kernel.stalled_ms").Load() < 1500 {
			t.Error("the counters of the number and length of stalls miss a stall")
		}
		if detector.StalledSince(k.Clock.Now()) {
			t.Error("a stall that ended earlier is still reported")
		}
	})
}
