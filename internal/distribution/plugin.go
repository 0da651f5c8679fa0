package distribution

import (
	"slices"

	"indigowalk/internal/connpool"
	"indigowalk/internal/controlstate"
	"indigowalk/internal/failover"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/loadbalance"
	"indigowalk/internal/membership"
	"indigowalk/internal/readrouting"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "distribution-publisher", Rank: 70, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			book := kernel.Need[*settings.Live](k)
			health := kernel.Need[*health.Monitor](k)
			NewPublisher(k, kernel.Need[*rpc.Endpoint](k), kernel.Need[*controlstate.Replica](k),
				kernel.Need[*failover.Readers](k), settings.Span(book.Now().ReaderLeaseMs), pollSpan(book), health.Heard, book.Now().NetMbps)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "distribution-subscriber", Rank: 70, Roles: []string{"pooler", "gateway", "hollow"},
		Build: func(k *kernel.Kernel) error {
			book := kernel.Need[*settings.Live](k)
			ring := kernel.Need[*membership.Ring](k)
			cfg := SubscriberConfig{
				Pooler: book.Now().NodeName,
				Poll:   pollSpan(book),
				ControlNodes: func() []string {
					known := ring.Peers("control")
					for _, a := range book.Now().SeedPeers() {
						if !slices.Contains(known, a) {
							known = append(known, a)
						}
					}
					return known
				},
				Peers:    func() []string { return ring.Peers(k.Role) },
				Lease:    settings.Span(book.Now().ReaderLeaseMs),
				Down:     kernel.Need[*health.Monitor](k).Down,
				Applied:  kernel.Need[connpool.Updater](k),
				Observed: func(string, kernel.Micros, lineprotocol.Position) {},
				Bounds: func() Bounds {
					now := book.Now()
					bounds := Bounds{Drain: settings.Span(now.DrainMs), Contact: settings.Span(now.ContactMs)}
					if now.RevokeGlobal {
						bounds.Revoke = settings.Span(now.RevokeMs)
					}
					return bounds
				},
			}
			switch k.Role {
			case "pooler":
				cfg.Observed = kernel.Need[*readrouting.Router](k).Observe
			case "gateway":
				r := kernel.Need[*loadbalance.Balancer](k)
				cfg.Paces = r.Told
				cfg.Seen = func() map[string]Seen { return seenOf(r.Seen()) }
			}
			c := NewSubscriber(k, kernel.Need[*rpc.Endpoint](k), cfg)
			kernel.Offer(k, c)
			kernel.Offer(k, connpool.Share(func(service string) int {
				return c.share(service, 1+len(ring.Peers(k.Role)))
			}))
			k.Supervise("distribution", c.Serve)
			return nil
		},
	})
}

// tell has the newest configuration and the lease told with the counters.
func (c *Subscriber) tell(counters *kernel.Counters) {
	counters.Observable("distribution.revision", func() int64 {
		_, _, revision, _ := c.Version()
		return revision
	})
	counters.Observable("distribution.lease_left_ms", func() int64 {
		_, _, _, left := c.Version()
		return left.Millis()
	})
}

// seenOf is what a load balancer has seen, as it is told.
func seenOf(seen map[string]loadbalance.Sight) map[string]Seen {
	if len(seen) == 0 {
		return nil
	}
	out := make(map[string]Seen, len(seen))
	for id, s := range seen {
		out[id] = Seen{s.Answers, int(100 * s.Paces), s.Failures}
	}
	return out
}

func pollSpan(book *settings.Live) func() kernel.Micros {
	return func() kernel.Micros { return settings.Span(book.Now().PollMs) }
}

// reserve is the part of max_conns left to checks, to the failover manager and to
// poolers that are not known of yet.
const reserve = 0.1

// unlimited stands in for a max_conns of 0.
const unlimited = 64

// share splits max_conns of a service's databases over the live poolers: those
// that this one knows as members or, if they are more, that the control node heard of
// late. A pooler that has just started, or is cut off, knows few members.
func (c *Subscriber) share(service string, poolers int) int {
	c.mu.RLock()
	conf := c.conf
	poolers = max(poolers, c.poolers)
	c.mu.RUnlock()
	if conf == nil {
		return 1
	}
	if s := conf.Service(service); s != nil {
		return Split(s.MaxConns, poolers)
	}
	return unlimited
}

// Split is one pooler's share of a database's connections.
func Split(maxConns, poolers int) int {
	if maxConns == 0 {
		return unlimited
	}
	return max(1, int((1-reserve)*float64(maxConns))/max(1, poolers))
}
