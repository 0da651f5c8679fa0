package conservator

import (
	"context"
	"slices"

	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "conservator", Rank: 40, Roles: []string{"desk", "archive"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			ring := foundation.Need[*circulation.Ring](k)
			heed := func() bool { return true }
			if k.Role == "archive" {
				// An archive has no sessions; it only needs to know for the
				// custodian, which works in the vault's primary.
				v := foundation.Need[*vault.Vault](k)
				heed = func() bool {
					_, left := v.Lease()
					return left > 0
				}
			}
			c := New(k, Config{
				Interval: charter.Span(s.CheckMs),
				First:    charter.Span(s.CheckMs) / 10,
				Check:    func(ctx context.Context, id string) bool { return foundation.Need[Checker](k)(ctx, id) },
				Peers:    func() []string { return slices.Concat(ring.Peers("desk"), ring.Peers("archive")) },
				Archives: func() []string { return ring.Peers("archive") },
				Send:     ring.Send,
				Heed:     heed,
			})
			ring.Handle(NoticeKind, c.Notified)
			foundation.Offer(k, c)
			k.Supervise("conservator", c.Serve)
			return nil
		},
	})
}
