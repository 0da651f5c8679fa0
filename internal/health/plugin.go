package health

import (
	"context"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/membership"
	"indigowalk/internal/settings"
)

// notificationOrder is that in which peers are told: those that may move a lead first, and
// of the others each process begins with another.
func notificationOrder(controlNodes, poolers []string) []string {
	at := 0
	if len(poolers) > 0 {
		at = rand.IntN(len(poolers))
	}
	return slices.Concat(controlNodes, poolers[at:], poolers[:at])
}

// noticeLinkShare is the part of the link that telling peers of faults may take.
const noticeLinkShare = 0.2

func init() {
	kernel.Register(kernel.Plugin{
		Name: "health", Rank: 40, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			ring := kernel.Need[*membership.Ring](k)
			heed := func() bool { return true }
			if k.Role == "control" {
				// A control node has no sessions; it only needs to know for the
				// failover manager, which works in the control state's primary.
				v, leads := kernel.Need[*controlstate.Replica](k), s.Deploy != settings.API
				heed = func() bool {
					_, left := v.Lease()
					return leads && left > 0
				}
			}
			// Where no lead is ever moved, control nodes need not hear.
			carrier, movers := "pooler", func() []string { return ring.Peers("control") }
			if s.Deploy == settings.API {
				carrier, movers = "gateway", func() []string { return nil }
			}
			c := New(k, Config{
				Interval:     settings.Span(s.CheckMs),
				FirstCheck:        settings.Span(s.CheckMs) / 10,
				Check:        func(ctx context.Context, id string) bool { return kernel.Need[Checker](k)(ctx, id) },
				Self:         ring.Self().Addr,
				Peers:        func() []string { return notificationOrder(movers(), ring.Peers(carrier)) },
				ControlNodes: movers,
				Send:         ring.Tell,
				AcceptNotices:         heed,
				NoticeRate:         noticeLinkShare * s.NetMbps / 8,
			})
			ring.Handle(NoticeKind, c.HandleNotices)
			kernel.Offer(k, c)
			k.Supervise("health", c.Serve)
			return nil
		},
	})
}
