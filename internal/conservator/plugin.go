package conservator

import (
	"context"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

// order is that in which peers are told: those that may move a lead first, and
// of the others each process begins with another.
func order(archives, desks []string) []string {
	at := 0
	if len(desks) > 0 {
		at = rand.IntN(len(desks))
	}
	return slices.Concat(archives, desks[at:], desks[:at])
}

// tellShare is the part of the link that telling peers of faults may take.
const tellShare = 0.2

func init() {
	foundation.Register(foundation.Plugin{
		Name: "conservator", Rank: 40, Roles: []string{"desk", "turnstile", "archive", "hollow"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			ring := foundation.Need[*circulation.Ring](k)
			heed := func() bool { return true }
			if k.Role == "archive" {
				// An archive has no sessions; it only needs to know for the
				// custodian, which works in the vault's primary.
				v, leads := foundation.Need[*vault.Vault](k), s.Deploy != charter.API
				heed = func() bool {
					_, left := v.Lease()
					return leads && left > 0
				}
			}
			// Where no lead is ever moved, archives need not hear.
			carrier, movers := "desk", func() []string { return ring.Peers("archive") }
			if s.Deploy == charter.API {
				carrier, movers = "turnstile", func() []string { return nil }
			}
			c := New(k, Config{
				Interval: charter.Span(s.CheckMs),
				First:    charter.Span(s.CheckMs) / 10,
				Check:    func(ctx context.Context, id string) bool { return foundation.Need[Checker](k)(ctx, id) },
				Self:     ring.Self().Addr,
				Peers:    func() []string { return order(movers(), ring.Peers(carrier)) },
				Archives: movers,
				Tell:     ring.Tell,
				Heed:     heed,
				Rate:     tellShare * s.NetMbps / 8,
			})
			ring.Handle(NoticeKind, c.Notified)
			foundation.Offer(k, c)
			k.Supervise("conservator", c.Serve)
			return nil
		},
	})
}
