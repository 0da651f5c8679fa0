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
			current := kernel.Need[*settings.Live](k).Now()
			kernel.Offer(k, New(k, kernel.Need[*controlstate.Replica](k), current.ChangesRemembered))
			return nil
		},
	})
}
