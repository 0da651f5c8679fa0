package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// One poll of the primary fails, and the pooler knows it as no member: it is asked
// again by the word of others, not shunned for good.
func TestAPollThatFailedOnceIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNet(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		endpoint := func(host, addr string) (*kernel.Kernel, *rpc.Endpoint) {
			k := kernel.NewKernel("control", n.Host(host), slog.New(slog.DiscardHandler))
			return k, rpc.NewEndpoint(k, addr)
		}
		const primary, other = "10.0.0.1:7440", "10.0.0.2:7440"
		asked := 0
		_, p := endpoint("10.0.0.1", primary)
		p.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			if asked++; asked == 2 {
				return nil, errors.New("not now")
			}
			time.Sleep(100 * time.Millisecond)
			return map[string]any{"epoch": 1, "seq": 1, "lease_us": 500_000}, nil
		})
		_, o := endpoint("10.0.0.2", other)
		o.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			return map[string]any{"elsewhere": primary}, nil
		})
		k, b := endpoint("10.0.0.3", "10.0.0.3:7441")
		subscriber := distribution.NewSubscriber(k, b, distribution.SubscriberConfig{
			ProxyName: "d", PollWait: func() kernel.Micros { return 600 * kernel.Millisecond },
			ControlNodes:  func() []string { return []string{other} },
			Peers:         func() []string { return nil },
			Lease:         2500 * kernel.Millisecond,
			DownDatabases: func() map[string]int64 { return nil },
			OnDatabases:   func(map[string]discovery.Database) {},
			Bounds:        func() distribution.Bounds { return distribution.Bounds{} },
		})
		go p.Serve(ctx)
		go o.Serve(ctx)
		go subscriber.Serve(ctx)
		time.Sleep(3 * time.Second)
		if _, _, _, left := subscriber.Version(); asked < 10 || left <= 0 {
			t.Errorf("the primary was asked %d times, the lease runs for %d us", asked, left)
		}
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			n.Reset(host)
		}
		time.Sleep(5 * time.Second)
	})
}
