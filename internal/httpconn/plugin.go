package httpconn

import (
	"context"
	"errors"
	"net"

	"indigowalk/internal/connpool"
	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/loadbalance"
	"indigowalk/internal/settings"
)

// HealthPath tells where a service's databases answer how they are.
type HealthPath func(service string) string

// connectTimes: requests do not wait for a connection that takes long, but go
// elsewhere, so there is time to tell a dark database from a full link.
const connectTimes = 4

// notSockets are descriptors that are kept for files.
const notSockets = 200

// most is how many connections to databases there may be, half of all sockets.
func most(fds int64) int { return int(max(0, fds-notSockets)) / 2 }

func init() {
	kernel.Register(kernel.Plugin{
		Name: "httpconn", Rank: 50, Roles: []string{"gateway"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			d := &Dialer{
				Net: k.Net, Connect: connectTimes * settings.Span(s.CheckWaitMs), Silence: settings.Span(s.SilenceMs),
				Pace: make(chan struct{}, connpool.MaxDials),
				Wrap: func(c net.Conn) net.Conn { return kernel.Need[Wrap](k)(c) },
				Path: func(svc string) string { return kernel.Need[HealthPath](k)(svc) },
			}
			r := loadbalance.New(k.Clock)
			kernel.Offer(k, r)
			st := connpool.New[Want](k, connpool.Config[Want, *Conn]{
				Open: func(ctx context.Context, db discovery.Database, _ Want, wait kernel.Micros) (*Conn, error) {
					return d.Open(ctx, db, wait)
				},
				Probe:    d.Probe,
				OpenWait: kernel.Second, CheckWait: settings.Span(s.CheckWaitMs),
				IdleFor: 8 * kernel.Second, UnusedFor: 5 * kernel.Second,
				Share: func(svc string) int { return kernel.Need[connpool.Share](k)(svc) },
				Most:  most(s.MaxFDs),
				Doubt: true,
			}, kernel.Need[*health.Monitor](k))
			kernel.Offer(k, st)
			kernel.Offer(k, connpool.Updater(func(dbs map[string]discovery.Database) {
				st.Stock(dbs)
				r.Prune(dbs)
			}))
			kernel.Offer(k, connpool.Counts(st.Counts))
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool {
				began := k.Clock.Now()
				err := st.Check(ctx, id)
				// A database that is full resets a check as it does a request. What
				// requests show meanwhile outranks it.
				return connpool.Stands(err) || errors.Is(err, connpool.ErrBroken) && r.LastServed(id) >= began
			})
			k.Supervise("httpconn", st.Serve)
			return nil
		},
	})
}
