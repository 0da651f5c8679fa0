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
			ring := kernel.Need[*membership.Memberlist](k)
			v, err := Open(k, kernel.Need[*rpc.Endpoint](k), Config{
				Name: s.NodeName, Dir: s.DataDir, Bootstrap: s.Bootstrap,
				Seeds:             func() []string { return liveSettings.Now().SeedPeers() },
				Lease:             settings.FromMillis(s.ControlLeaseMs),
				WitnessTimeout:    settings.FromMillis(s.WitnessTimeoutMs),
				CatchupTimeout:    kernel.Micros(s.CatchupS) * kernel.Second,
				FailuresTolerated: int(s.TolerateHosts),
				ControlNodes:      func() []string { return ring.Peers("control") },
				Reachable:         ring.Reachable,
				MembershipChanged: ring.Changed,
			})
			if err != nil {
				return err
			}
			kernel.Offer(k, v)
			k.Supervise("controlstate", v.Serve)
			k.OnShutdown(v.Leave)
			k.OnExit(v.Close)
			return nil
		},
	})
}
