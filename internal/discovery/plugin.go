package discovery

import (
	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "discovery", Rank: 30, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			leaderless := kernel.Need[*settings.Live](k).Now().Deploy == settings.DeployAPI
			kernel.Offer(k, New(k, kernel.Need[*controlstate.Replica](k), leaderless))
			return nil
		},
	})
}
