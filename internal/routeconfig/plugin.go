package routeconfig

import (
	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "routeconfig", Rank: 30, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			kernel.Offer(k, New(k, kernel.Need[*controlstate.Replica](k), s.OrdersKept))
			return nil
		},
	})
}
