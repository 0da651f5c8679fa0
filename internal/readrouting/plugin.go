package readrouting

import "indigowalk/internal/kernel"

func init() {
	kernel.Register(kernel.Plugin{
		Name: "readrouting", Rank: 55, Roles: []string{"pooler"},
		Build: func(k *kernel.Kernel) error {
			kernel.Offer(k, New(k.Clock))
			return nil
		},
	})
}
