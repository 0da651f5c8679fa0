package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// One poll of the primary control node fails, while the pooler does not list it among the control
// nodes. Since other control nodes name it as the primary, the pooler must poll it again and not
// avoid it for good.
func TestPollIsRetriedAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNet(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		endpoint := func(host, addr string) (*kernel.Kernel, *rpc.Endpoint) {
			k := kernel.NewKernel("control", network.Host(host), slog.New(slog.DiscardHandler))
			return k, rpc.NewEndpoint(k, addr)
		}
		const primary, other = "10.0.0.1:7440", "10.0.0.2:7440"
		var polls atomic.Int32
		_, primaryEndpoint := endpoint("10.0.0.1", primary)
		primaryEndpoint.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			if polls.Add(1) == 2 {
				return nil, errors.New("temporarily unavailable")
			}
			time.Sleep(100 * time.Millisecond)
			return map[string]any{"epoch": 1, "seq": 1, "lease_us": 500_000}, nil
		})
		_, otherEndpoint := endpoint("10.0.0.2", other)
		otherEndpoint.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			return map[string]any{"elsewhere": primary}, nil
		})
		k, poolerEndpoint := endpoint("10.0.0.3", "10.0.0.3:7441")
		subscriber := distribution.NewSubscriber(k, poolerEndpoint, distribution.SubscriberConfig{
			ProxyName: "d", PollWait: func() kernel.Micros { return 600 * kernel.Millisecond },
			ControlNodes:  func() []string { return []string{other} },
			Peers:         func() []string { return nil },
			Lease:         2500 * kernel.Millisecond,
			DownDatabases: func() map[string]int64 { return nil },
			OnDatabases:   func(map[string]discovery.Database) {},
			Bounds:        func() distribution.Bounds { return distribution.Bounds{} },
		})
		go primaryEndpoint.Serve(ctx)
		go otherEndpoint.Serve(ctx)
		go subscriber.Serve(ctx)
		time.Sleep(3 * time.Second)
		if _, _, _, leaseLeft := subscriber.Version(); polls.Load() < 10 || leaseLeft <= 0 {
			t.Errorf("the primary was polled %d times and the lease runs for another %d us, want at least 10 polls and a valid lease", polls.Load(), leaseLeft)
		}
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			network.CloseSockets(host)
		}
		time.Sleep(5 * time.Second)
	})
}
