package desk

import (
	"context"

	"indigowalk/internal/charter"
	"indigowalk/internal/conservator"
	"indigowalk/internal/findingaid"
	"indigowalk/internal/foundation"
	"indigowalk/internal/shelf"
	"indigowalk/internal/subscription"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "desk", Rank: 80, Roles: []string{"desk"},
		Build: func(k *foundation.Kernel) error {
			book := foundation.Need[*charter.Book](k)
			s := book.Now()
			if s.ClientAddr == "" {
				return &charter.Error{Key: "listen.client_addr", Reason: "a desk needs it"}
			}
			if s.ReadyAddr == "" {
				return &charter.Error{Key: "listen.ready_addr", Reason: "a desk needs it"}
			}
			d := New(k, Config{
				ClientAddr: s.ClientAddr, Zone: s.Zone, Quiet: charter.Span(s.QuietMs),
				Grace: func() foundation.Micros { return foundation.Micros(book.Now().GraceS) * foundation.Second },
			}, foundation.Need[*subscription.Card](k), foundation.Need[*findingaid.Aid](k),
				foundation.Need[*shelf.Shelf](k), foundation.Need[*conservator.Conservator](k))
			k.Supervise("desk", d.Serve)
			k.OnLeave(d.Leave)
			k.Supervise("ready", func(ctx context.Context) error {
				return foundation.ServeReady(ctx, k.Net, s.ReadyAddr, d.Ready)
			})
			return nil
		},
	})
}
