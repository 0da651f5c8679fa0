package findingaid

import "indigowalk/internal/foundation"

func init() {
	foundation.Register(foundation.Plugin{
		Name: "findingaid", Rank: 55, Roles: []string{"desk"},
		Build: func(k *foundation.Kernel) error {
			foundation.Offer(k, New(k.Clock))
			return nil
		},
	})
}
