package turnstile

import (
	"context"
	"net"

	"indigowalk/internal/cart"
	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/renewals"
	"indigowalk/internal/rota"
	"indigowalk/internal/subscription"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "turnstile", Rank: 80, Roles: []string{"turnstile"},
		Build: func(k *foundation.Kernel) error {
			book := foundation.Need[*charter.Book](k)
			s := book.Now()
			if s.ClientAddr == "" {
				return &charter.Error{Key: "listen.client_addr", Reason: "a turnstile needs it"}
			}
			if s.ReadyAddr == "" {
				return &charter.Error{Key: "listen.ready_addr", Reason: "a turnstile needs it"}
			}
			card := foundation.Need[*subscription.Card](k)
			foundation.Offer(k, cart.HealthPath(func(service string) string {
				if svc := card.Config().Service(service); svc != nil && svc.HealthPath != "" {
					return svc.HealthPath
				}
				return "/healthz"
			}))
			again := renewals.New(k.Clock, func() float64 { return book.Now().RetryRatio }, foundation.Micros(s.RetryWindowS)*foundation.Second)
			t := New(k, Config{
				ClientAddr: s.ClientAddr, Zone: s.Zone, NetMbps: s.NetMbps,
				Grace: func() foundation.Micros { return foundation.Micros(book.Now().GraceS) * foundation.Second },
			}, card, foundation.Need[*cart.Stacks](k), foundation.Need[*rota.Rota](k),
				foundation.Need[*conservator.Conservator](k), foundation.Need[*circulation.Ring](k), again)
			foundation.Offer[cart.Wrap](k, func(c net.Conn) net.Conn { return &gauged{c, t.gauge} })
			t.srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			}
			k.Supervise("turnstile", t.Serve)
			k.OnLeave(t.Leave)
			k.Supervise("ready", func(ctx context.Context) error { return foundation.ServeReady(ctx, k.Net, s.ReadyAddr, t.Ready) })
			return nil
		},
	})
}
