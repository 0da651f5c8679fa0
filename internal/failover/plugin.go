package failover

import (
	"indigowalk/internal/controlstate"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "failover", Rank: 60, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			readLeases := NewReadLeases()
			kernel.Offer(k, readLeases)
			manager := New(k, Config{
				Name: s.NodeName, PlatformAddr: s.PlatformAddr, Leaderless: s.Deploy == settings.DeployAPI, ReadLease: settings.FromMillis(s.ReaderLeaseMs),
				Dialer:         dbconn.Dialer{Net: k.Net, ClientName: "failover", ConnectTimeout: settings.FromMillis(s.CheckTimeoutMs), UnresponsiveTimeout: settings.FromMillis(s.PeerTimeoutMs)},
				RequestTimeout: kernel.Second, HeartbeatWait: 700 * kernel.Millisecond, DrainTime: settings.FromMillis(s.DrainMs),
				FirstHeartbeatTimeout: settings.FromMillis(s.HeartbeatMs + s.ContactMs),
			}, kernel.Need[*controlstate.Replica](k), kernel.Need[*discovery.Registry](k),
				kernel.Need[*health.Monitor](k), readLeases)
			kernel.Offer(k, manager)
			if !manager.cfg.Leaderless {
				manager.registry.CheckAddresses(manager.respondsAtAddress)
			}
			manager.registerHandlers(kernel.Need[*rpc.Endpoint](k))
			k.Supervise("failover", manager.Serve)
			return nil
		},
	})
}
