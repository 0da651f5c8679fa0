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

// notificationOrder returns the peers in the order in which they are notified: first the control
// nodes, which may start a failover, then the others, from a random one on.
func notificationOrder(controlNodes, poolers []string) []string {
	start := 0
	if len(poolers) > 0 {
		start = rand.IntN(len(poolers))
	}
	return slices.Concat(controlNodes, poolers[start:], poolers[:start])
}

// noticeLinkShare is the share of the link's bandwidth that notices may use.
const noticeLinkShare = 0.2

func init() {
	kernel.Register(kernel.Plugin{
		Name: "health", Rank: 40, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			members := kernel.Need[*membership.Memberlist](k)
			acceptNotices := func() bool { return true }
			if k.Role == "control" {
				// A control node has no sessions. It needs the state of databases only for the
				// failover manager, which acts only at the primary of the control state.
				replica, hasFailovers := kernel.Need[*controlstate.Replica](k), s.Deploy != settings.DeployAPI
				acceptNotices = func() bool {
					_, remaining := replica.Lease()
					return hasFailovers && remaining > 0
				}
			}
			// Where there are no failovers, control nodes need no notices.
			proxyRole, controlNodes := "pooler", func() []string { return members.Peers("control") }
			if s.Deploy == settings.DeployAPI {
				proxyRole, controlNodes = "gateway", func() []string { return nil }
			}
			monitor := New(k, Config{
				Interval:      settings.FromMillis(s.CheckIntervalMs),
				FirstCheck:    settings.FromMillis(s.CheckIntervalMs) / 10,
				Check:         func(ctx context.Context, id string) bool { return kernel.Need[Checker](k)(ctx, id) },
				Self:          members.Self().Addr,
				Peers:         func() []string { return notificationOrder(controlNodes(), members.Peers(proxyRole)) },
				ControlNodes:  controlNodes,
				Send:          members.SendDatagram,
				AcceptNotices: acceptNotices,
				NoticeRate:    noticeLinkShare * s.NetMbps / 8,
			})
			members.Handle(NoticeKind, monitor.HandleNotices)
			kernel.Offer(k, monitor)
			k.Supervise("health", monitor.Serve)
			return nil
		},
	})
}
