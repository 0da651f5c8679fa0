package catalogue

import (
	"indigowalk/internal/charter"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "catalogue", Rank: 30, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			foundation.Offer(k, New(k, foundation.Need[*vault.Vault](k), s.OrdersKept))
			return nil
		},
	})
}
