package subscription

import (
	"slices"

	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/conservator"
	"indigowalk/internal/custodian"
	"indigowalk/internal/findingaid"
	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rota"
	"indigowalk/internal/rpc"
	"indigowalk/internal/stacks"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "subscription-office", Rank: 70, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			book := foundation.Need[*charter.Book](k)
			health := foundation.Need[*conservator.Conservator](k)
			NewOffice(k, foundation.Need[*rpc.Endpoint](k), foundation.Need[*vault.Vault](k),
				foundation.Need[*custodian.Readers](k), charter.Span(book.Now().ReaderLeaseMs), pollSpan(book), health.Heard, book.Now().NetMbps)
			return nil
		},
	})
	foundation.Register(foundation.Plugin{
		Name: "subscription-card", Rank: 70, Roles: []string{"desk", "turnstile", "hollow"},
		Build: func(k *foundation.Kernel) error {
			book := foundation.Need[*charter.Book](k)
			ring := foundation.Need[*circulation.Ring](k)
			cfg := CardConfig{
				Desk: book.Now().NodeName,
				Poll: pollSpan(book),
				Archives: func() []string {
					known := ring.Peers("archive")
					for _, a := range book.Now().SeedPeers() {
						if !slices.Contains(known, a) {
							known = append(known, a)
						}
					}
					return known
				},
				Peers:    func() []string { return ring.Peers(k.Role) },
				Lease:    charter.Span(book.Now().ReaderLeaseMs),
				Down:     foundation.Need[*conservator.Conservator](k).Down,
				Applied:  foundation.Need[stacks.Stocker](k),
				Observed: func(string, foundation.Micros, folio.Position) {},
				Bounds: func() DrainBounds {
					now := book.Now()
					return DrainBounds{Drain: charter.Span(now.DrainMs), Contact: charter.Span(now.ContactMs)}
				},
			}
			switch k.Role {
			case "desk":
				cfg.Observed = foundation.Need[*findingaid.Aid](k).Observe
			case "turnstile":
				r := foundation.Need[*rota.Rota](k)
				cfg.Paces = r.Told
				cfg.Seen = func() map[string]Seen { return seenOf(r.Seen()) }
			}
			c := NewCard(k, foundation.Need[*rpc.Endpoint](k), cfg)
			foundation.Offer(k, c)
			foundation.Offer(k, stacks.Share(func(service string) int {
				return c.share(service, 1+len(ring.Peers(k.Role)))
			}))
			k.Supervise("subscription", c.Serve)
			return nil
		},
	})
}

// seenOf is what a rota has seen, as it is told.
func seenOf(seen map[string]rota.Sight) map[string]Seen {
	if len(seen) == 0 {
		return nil
	}
	out := make(map[string]Seen, len(seen))
	for id, s := range seen {
		out[id] = Seen{s.Answers, int(100 * s.Paces), s.Failures}
	}
	return out
}

func pollSpan(book *charter.Book) func() foundation.Micros {
	return func() foundation.Micros { return charter.Span(book.Now().PollMs) }
}

// reserve is the part of max_conns left to checks, to the custodian and to
// desks that are not known of yet.
const reserve = 0.1

// unlimited stands in for a max_conns of 0.
const unlimited = 64

// share splits max_conns of a service's databases over the live desks: those
// that this one knows as members or, if they are more, that the archive heard of
// late. A desk that has just started, or is cut off, knows few members.
func (c *Card) share(service string, desks int) int {
	c.mu.RLock()
	conf := c.conf
	desks = max(desks, c.desks)
	c.mu.RUnlock()
	if conf == nil {
		return 1
	}
	if s := conf.Service(service); s != nil {
		return Split(s.MaxConns, desks)
	}
	return unlimited
}

// Split is one desk's share of a database's connections.
func Split(maxConns, desks int) int {
	if maxConns == 0 {
		return unlimited
	}
	return max(1, int((1-reserve)*float64(maxConns))/max(1, desks))
}
