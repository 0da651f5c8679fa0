package gateway

import (
	"context"
	"net"

	"indigowalk/internal/distribution"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/loadbalance"
	"indigowalk/internal/membership"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/quota"
	"indigowalk/internal/retrybudget"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "gateway", Rank: 80, Roles: []string{"gateway"},
		Build: func(k *kernel.Kernel) error {
			live := kernel.Need[*settings.Live](k)
			s := live.Now()
			if s.ClientAddr == "" {
				return &settings.Error{Key: "listen.client_addr", Reason: "a gateway needs it"}
			}
			if s.ReadyAddr == "" {
				return &settings.Error{Key: "listen.ready_addr", Reason: "a gateway needs it"}
			}
			subscriber := kernel.Need[*distribution.Subscriber](k)
			kernel.Offer(k, httpconn.HealthPath(func(service string) string {
				if svc := subscriber.Config().Service(service); svc != nil && svc.HealthPath != "" {
					return svc.HealthPath
				}
				return "/healthz"
			}))
			retries := retrybudget.New(k.Clock, func() float64 { return live.Now().RetryRatio }, kernel.Micros(s.RetryWindowS)*kernel.Second)
			g := New(k, Config{
				ClientAddr: s.ClientAddr, Zone: s.Zone, NetMbps: s.NetMbps,
				GracePeriod: func() kernel.Micros { return kernel.Micros(live.Now().GraceS) * kernel.Second },
			}, Services{
				Control:  subscriber,
				Pools:    kernel.Need[*httpconn.Pools](k),
				Balancer: kernel.Need[*loadbalance.Balancer](k),
				Health:   kernel.Need[*health.Monitor](k),
				Ring:     kernel.Need[*membership.Memberlist](k),
				Retries:  retries,
				Quota:    kernel.Need[*quota.Client](k),
				Failures: kernel.Need[*failurelog.Log](k),
				Stalls:   kernel.Need[*kernel.StallDetector](k),
				Memory:   kernel.Need[*memorybudget.Budget](k),
			})
			kernel.Offer[httpconn.Wrap](k, func(c net.Conn) net.Conn { return &meteredConn{c, g.meter} })
			g.server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return context.WithValue(ctx, connKey{}, c)
			}
			k.Counters.Observable("gateway.requests_open", g.openRequests)
			k.Counters.Observable("gateway.connections_open", g.openConnections)
			k.Supervise("gateway", g.Serve)
			k.OnShutdown(g.Drain)
			k.Supervise("ready", func(ctx context.Context) error { return kernel.ServeReady(ctx, k.Net, s.ReadyAddr, g.Ready) })
			return nil
		},
	})
}
