package pooler

import (
	"context"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/distribution"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/quota"
	"indigowalk/internal/readrouting"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "pooler", Rank: 80, Roles: []string{"pooler"},
		Build: func(k *kernel.Kernel) error {
			live := kernel.Need[*settings.Live](k)
			s := live.Now()
			if s.ClientAddr == "" {
				return &settings.Error{Key: "listen.client_addr", Reason: "a pooler needs it"}
			}
			if s.ReadyAddr == "" {
				return &settings.Error{Key: "listen.ready_addr", Reason: "a pooler needs it"}
			}
			p := New(k, Config{
				ClientAddr: s.ClientAddr, Zone: s.Zone, SuspicionTimeout: settings.FromMillis(s.SuspicionTimeoutMs),
				GracePeriod: func() kernel.Micros { return kernel.Micros(live.Now().GraceS) * kernel.Second },
			}, Services{
				Control:  kernel.Need[*distribution.Subscriber](k),
				Router:   kernel.Need[*readrouting.Router](k),
				Pool:     kernel.Need[*dbconn.Pool](k),
				Health:   kernel.Need[*health.Monitor](k),
				Quota:    kernel.Need[*quota.Client](k),
				Failures: kernel.Need[*failurelog.Log](k),
				Stalls:   kernel.Need[*kernel.StallDetector](k),
				Memory:   kernel.Need[*memorybudget.Budget](k),
			})
			k.Counters.Observable("pooler.sessions_open", p.openSessions)
			k.Supervise("pooler", p.Serve)
			k.OnShutdown(p.Drain)
			k.Supervise("ready", func(ctx context.Context) error {
				return kernel.ServeReady(ctx, k.Net, s.ReadyAddr, p.Ready)
			})
			return nil
		},
	})
}
