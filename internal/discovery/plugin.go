package discovery

import (
	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "discovery", Rank: 30, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			kernel.Offer(k, New(k, kernel.Need[*controlstate.Replica](k)))
			return nil
		},
	})
}
