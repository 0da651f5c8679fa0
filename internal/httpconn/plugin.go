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

// HealthPath returns the path of a service's health endpoint.
type HealthPath func(service string) string

// connectTimeoutFactor is the connect timeout as a multiple of the health check timeout. Requests go
// to another database instead of waiting for a slow connection, so the timeout can be long enough to
// distinguish an unreachable database from a saturated link.
const connectTimeoutFactor = 4

// reservedDescriptors is the number of file descriptors that are kept free for files.
const reservedDescriptors = 200

// maxConnections returns the maximum number of connections to databases, given the limit on file
// descriptors: half of the sockets that it allows. The other half is left to client connections.
func maxConnections(fds int64) int { return int(max(0, fds-reservedDescriptors)) / 2 }

func init() {
	kernel.Register(kernel.Plugin{
		Name: "httpconn", Rank: 50, Roles: []string{"gateway"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			dialer := &Dialer{
				Net: k.Net, ConnectTimeout: connectTimeoutFactor * settings.FromMillis(s.CheckTimeoutMs), UnresponsiveTimeout: settings.FromMillis(s.PeerTimeoutMs),
				DialSlots:  make(chan struct{}, connpool.MaxConcurrentDials),
				Wrap:       func(c net.Conn) net.Conn { return kernel.Need[Wrap](k)(c) },
				HealthPath: func(svc string) string { return kernel.Need[HealthPath](k)(svc) },
			}
			balancer := loadbalance.New(k.Clock)
			kernel.Offer(k, balancer)
			pools := connpool.New[Want](k, connpool.Config[Want, *Conn]{
				Open: func(ctx context.Context, db discovery.Database, _ Want, wait kernel.Micros) (*Conn, error) {
					return dialer.Open(ctx, db, wait)
				},
				Probe:       dialer.Probe,
				OpenTimeout: kernel.Second, CheckTimeout: settings.FromMillis(s.CheckTimeoutMs),
				IdleTimeout: 8 * kernel.Second, UnusedTimeout: 5 * kernel.Second,
				MaxPerDatabase: func(svc string) int { return kernel.Need[connpool.MaxPerDatabase](k)(svc) },
				MaxConnections: maxConnections(s.MaxFDs),
				SuspectOwnLink: true,
			}, kernel.Need[*health.Monitor](k))
			kernel.Offer(k, pools)
			kernel.Offer(k, connpool.DatabaseUpdater(func(dbs map[string]discovery.Database) {
				pools.SetDatabases(dbs)
				balancer.Prune(dbs)
			}))
			kernel.Offer(k, connpool.ConnectionCounts(pools.Counts))
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool {
				began := k.Clock.Now()
				err := pools.Check(ctx, id)
				// A database at capacity resets connections, including those of health checks.
				// So a check whose connection broke still passes if the database has served a
				// request since the check began.
				return connpool.CheckPassed(err) || errors.Is(err, connpool.ErrBroken) && balancer.LastServed(id) >= began
			})
			k.Supervise("httpconn", pools.Serve)
			return nil
		},
	})
}
