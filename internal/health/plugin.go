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

// notificationOrder returns the order in which peers are notified: first those that may start a
// failover; among the others each process starts at a random one.
func notificationOrder(controlNodes, poolers []string) []string {
	start := 0
	if len(poolers) > 0 {
		start = rand.IntN(len(poolers))
	}
	return slices.Concat(controlNodes, poolers[start:], poolers[:start])
}

// noticeLinkShare is the share of the link that notices of faults may use.
const noticeLinkShare = 0.2

func init() {
	kernel.Register(kernel.Plugin{
		Name: "health", Rank: 40, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			ring := kernel.Need[*membership.Memberlist](k)
			acceptNotices := func() bool { return true }
			if k.Role == "control" {
				// A control node has no sessions; it needs the state of databases only for the
				// failover manager, which works in the control state's primary.
				v, hasFailovers := kernel.Need[*controlstate.Replica](k), s.Deploy != settings.DeployAPI
				acceptNotices = func() bool {
					_, left := v.Lease()
					return hasFailovers && left > 0
				}
			}
			// Where there are no failovers, control nodes need no notices.
			proxyRole, controlNodes := "pooler", func() []string { return ring.Peers("control") }
			if s.Deploy == settings.DeployAPI {
				proxyRole, controlNodes = "gateway", func() []string { return nil }
			}
			c := New(k, Config{
				Interval:      settings.FromMillis(s.CheckMs),
				FirstCheck:    settings.FromMillis(s.CheckMs) / 10,
				Check:         func(ctx context.Context, id string) bool { return kernel.Need[Checker](k)(ctx, id) },
				Self:          ring.Self().Addr,
				Peers:         func() []string { return notificationOrder(controlNodes(), ring.Peers(proxyRole)) },
				ControlNodes:  controlNodes,
				Send:          ring.SendDatagram,
				AcceptNotices: acceptNotices,
				NoticeRate:    noticeLinkShare * s.NetMbps / 8,
			})
			ring.Handle(NoticeKind, c.HandleNotices)
			kernel.Offer(k, c)
			k.Supervise("health", c.Serve)
			return nil
		},
	})
}
