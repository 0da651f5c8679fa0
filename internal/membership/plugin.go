package membership

import (
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "membership", Rank: 15, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			l := New(k, Config{
				Self: Member{
					Addr: kernel.Need[*rpc.Endpoint](k).Addr(), Name: s.NodeName, Role: k.Role, Zone: s.Zone,
				},
				Seeds:         s.SeedPeers(),
				ProbeInterval: settings.FromMillis(s.ProbeIntervalMs),
			})
			kernel.Offer(k, l)
			k.Supervise("membership", l.Serve)
			k.OnShutdown(l.Leave)
			return nil
		},
	})
}
