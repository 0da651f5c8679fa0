package controlstate

import (
	"indigowalk/internal/kernel"
	"indigowalk/internal/membership"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "controlstate", Rank: 20, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			liveSettings := kernel.Need[*settings.Live](k)
			s := liveSettings.Now()
			if s.DataDir == "" {
				return &settings.Error{Key: "data_dir", Reason: "a control node needs a disk"}
			}
			memberlist := kernel.Need[*membership.Memberlist](k)
			replica, err := Open(k, kernel.Need[*rpc.Endpoint](k), Config{
				Name: s.NodeName, Dir: s.DataDir, Bootstrap: s.Bootstrap,
				Seeds:             func() []string { return liveSettings.Now().SeedPeers() },
				Lease:             settings.FromMillis(s.ControlLeaseMs),
				WitnessTimeout:    settings.FromMillis(s.WitnessTimeoutMs),
				CatchupTimeout:    kernel.Micros(s.CatchupS) * kernel.Second,
				FailuresTolerated: int(s.TolerateHosts),
				ControlNodes:      func() []string { return memberlist.Peers("control") },
				Reachable:         memberlist.Reachable,
				MembershipChanged: memberlist.Changed,
			})
			if err != nil {
				return err
			}
			kernel.Offer(k, replica)
			k.Supervise("controlstate", replica.Serve)
			k.OnShutdown(replica.Leave)
			k.OnExit(replica.Close)
			return nil
		},
	})
}
