package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/accessions"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rpc"
	"indigowalk/internal/subscription"
)

// One poll of the primary fails, and the desk knows it as no member: it is asked
// again by the word of others, not shunned for good.
func TestAPollThatFailedOnceIsMadeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNet(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		endpoint := func(host, addr string) (*foundation.Kernel, *rpc.Endpoint) {
			k := foundation.NewKernel("archive", n.Host(host), slog.New(slog.DiscardHandler))
			return k, rpc.NewEndpoint(k, addr)
		}
		const primary, other = "10.0.0.1:7440", "10.0.0.2:7440"
		asked := 0
		_, p := endpoint("10.0.0.1", primary)
		p.Handle("subscription.poll", func(context.Context, json.RawMessage) (any, error) {
			if asked++; asked == 2 {
				return nil, errors.New("not now")
			}
			time.Sleep(100 * time.Millisecond)
			return map[string]any{"epoch": 1, "seq": 1, "lease_us": 500_000}, nil
		})
		_, o := endpoint("10.0.0.2", other)
		o.Handle("subscription.poll", func(context.Context, json.RawMessage) (any, error) {
			return map[string]any{"elsewhere": primary}, nil
		})
		k, b := endpoint("10.0.0.3", "10.0.0.3:7441")
		card := subscription.NewCard(k, b, subscription.CardConfig{
			Desk: "d", Poll: func() foundation.Micros { return 600 * foundation.Millisecond },
			Archives: func() []string { return []string{other} },
			Peers:    func() []string { return nil },
			Lease:    2500 * foundation.Millisecond,
			Down:     func() map[string]int64 { return nil },
			Applied:  func(map[string]accessions.Database) {},
			Bounds:   func() subscription.DrainBounds { return subscription.DrainBounds{} },
		})
		go p.Serve(ctx)
		go o.Serve(ctx)
		go card.Serve(ctx)
		time.Sleep(3 * time.Second)
		if _, _, _, left := card.Version(); asked < 10 || left <= 0 {
			t.Errorf("the primary was asked %d times, the lease runs for %d us", asked, left)
		}
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			n.Reset(host)
		}
		time.Sleep(5 * time.Second)
	})
}
