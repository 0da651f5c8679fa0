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
			live := kernel.Need[*settings.Live](k)
			monitor := kernel.Need[*health.Monitor](k)
			NewPublisher(k, kernel.Need[*rpc.Endpoint](k), kernel.Need[*controlstate.Replica](k),
				kernel.Need[*failover.ReadLeases](k), settings.FromMillis(live.Now().ReaderLeaseMs), longPollTimeout(live), monitor.HandleNotice, live.Now().NetMbps)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "distribution-subscriber", Rank: 70, Roles: []string{"pooler", "gateway", "hollow"},
		Build: func(k *kernel.Kernel) error {
			live := kernel.Need[*settings.Live](k)
			members := kernel.Need[*membership.Memberlist](k)
			cfg := SubscriberConfig{
				ProxyName: live.Now().NodeName,
				PollWait:  longPollTimeout(live),
				ControlNodes: func() []string {
					known := members.Peers("control")
					for _, address := range live.Now().SeedPeers() {
						if !slices.Contains(known, address) {
							known = append(known, address)
						}
					}
					return known
				},
				Peers:         func() []string { return members.Peers(k.Role) },
				Lease:         settings.FromMillis(live.Now().ReaderLeaseMs),
				DownDatabases: kernel.Need[*health.Monitor](k).Down,
				OnDatabases:   kernel.Need[connpool.DatabaseUpdater](k),
				OnPosition:    func(string, kernel.Micros, lineprotocol.Position) {},
				Bounds:        func() Bounds { return boundsOf(live.Now()) },
			}
			switch k.Role {
			case "pooler":
				cfg.OnPosition = kernel.Need[*readrouting.Router](k).Observe
				cfg.SendCommitNotice = commitNoticeSender(k, members)
			case "gateway":
				balancer := kernel.Need[*loadbalance.Balancer](k)
				cfg.OnCosts = balancer.UpdateClusterCosts
				cfg.Observations = func() map[string]Observation { return toObservations(balancer.TakeObservations()) }
			}
			subscriber := NewSubscriber(k, kernel.Need[*rpc.Endpoint](k), cfg)
			kernel.Offer(k, subscriber)
			members.Handle(CommitNoticeKind, subscriber.HandleCommitNotice)
			kernel.Offer(k, connpool.MaxPerDatabase(func(service string) int {
				return subscriber.connectionShare(service, 1+len(members.Peers(k.Role)))
			}))
			k.Supervise("distribution", subscriber.Serve)
			return nil
		},
	})
}

// boundsOf returns the bounds that the settings contain.
func boundsOf(s *settings.Settings) Bounds {
	bounds := Bounds{Drain: settings.FromMillis(s.DrainMs), StartupGrace: settings.FromMillis(s.ContactMs)}
	if s.RevokeGlobal {
		bounds.Revoke = settings.FromMillis(s.RevokeMs)
	}
	return bounds
}

// registerMetrics exports the configuration revision and the remaining lease as metrics.
func (s *Subscriber) registerMetrics(counters *kernel.Counters) {
	counters.Observable("distribution.revision", func() int64 {
		_, _, revision, _ := s.Version()
		return revision
	})
	counters.Observable("distribution.lease_left_ms", func() int64 {
		_, _, _, leaseLeft := s.Version()
		return leaseLeft.Millis()
	})
}

// toObservations converts a load balancer's statistics to the form in which polls report them.
func toObservations(stats map[string]loadbalance.Observation) map[string]Observation {
	if len(stats) == 0 {
		return nil
	}
	out := make(map[string]Observation, len(stats))
	for id, observed := range stats {
		out[id] = Observation{observed.Responses, int(100 * observed.RelativeLatency), observed.Failures}
	}
	return out
}

// longPollTimeout is the setting for how long a control node may hold a poll.
func longPollTimeout(live *settings.Live) func() kernel.Micros {
	return func() kernel.Micros { return settings.FromMillis(live.Now().LongPollTimeoutMs) }
}

// reservedShare is the share of max_conns left for health checks, the failover manager and
// proxies that are not known yet.
const reservedShare = 0.1

// unlimitedShare is the share of one proxy where max_conns is 0, that is, unlimited.
const unlimitedShare = 64

// connectionShare returns this proxy's share of the connections to each database of a service,
// whose max_conns is divided among the live proxies. These are the members that this proxy knows
// or, if they are more, the proxies that polled the control node recently: a proxy that has just
// started, or is cut off, knows few members.
func (s *Subscriber) connectionShare(service string, proxies int) int {
	s.mu.RLock()
	config := s.config
	proxies = max(proxies, s.proxyCount)
	s.mu.RUnlock()
	if config == nil {
		return 1
	}
	if svc := config.Service(service); svc != nil {
		return ConnectionShare(svc.MaxConns, proxies)
	}
	return unlimitedShare
}

// ConnectionShare returns one proxy's share of a database's connections.
func ConnectionShare(maxConns, proxies int) int {
	if maxConns == 0 {
		return unlimitedShare
	}
	return max(1, int((1-reservedShare)*float64(maxConns))/max(1, proxies))
}
