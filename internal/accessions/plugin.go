package accessions

import (
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "accessions", Rank: 30, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			foundation.Offer(k, New(k, foundation.Need[*vault.Vault](k)))
			return nil
		},
	})
}
