package dbconn

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"

	"indigowalk/internal/connpool"
	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "dbconn", Rank: 50, Roles: []string{"pooler"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			dialer := &Dialer{
				Net: k.Net, ClientName: s.NodeName, ConnectTimeout: settings.FromMillis(s.CheckTimeoutMs), UnresponsiveTimeout: settings.FromMillis(s.PeerTimeoutMs),
				DialSlots: make(chan struct{}, connpool.MaxConcurrentDials),
			}
			pools := connpool.New[Want](k, connpool.Config[Want, *Conn]{
				Open: func(ctx context.Context, db discovery.Database, want Want, wait kernel.Micros) (*Conn, error) {
					return dialer.OpenForTenant(ctx, db, want.Tenant, wait)
				},
				Evict:       true,
				OpenTimeout: 2 * kernel.Second, CheckTimeout: settings.FromMillis(s.CheckTimeoutMs), IdleTimeout: 15 * kernel.Second, UnusedTimeout: 5 * kernel.Second,
				MaxPerDatabase: func(svc string) int { return kernel.Need[connpool.MaxPerDatabase](k)(svc) },
			}, kernel.Need[*health.Monitor](k))
			kernel.Offer(k, pools)
			kernel.Offer(k, connpool.DatabaseUpdater(pools.SetDatabases))
			kernel.Offer(k, connpool.ConnectionCounts(pools.Counts))
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool { return connpool.CheckPassed(pools.Check(ctx, id)) })
			k.Supervise("dbconn", pools.Serve)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "dbconn-check", Rank: 50, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			replica := kernel.Need[*controlstate.Replica](k)
			dialer := &Dialer{
				Net: k.Net, ClientName: "control", ConnectTimeout: settings.FromMillis(s.CheckTimeoutMs), UnresponsiveTimeout: settings.FromMillis(s.PeerTimeoutMs),
				DialSlots: make(chan struct{}, connpool.MaxConcurrentDials),
			}
			unresponsive := &connpool.UnresponsiveTracker{}
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool {
				return probe(ctx, k, replica, dialer, unresponsive, id)
			})
			return nil
		},
	})
}

// probe tests, for a control node, whether a database accepts a connection. If several databases are
// unresponsive at about the same time, the control node's own link may be saturated: they are tried
// again with twice the time limit, before the failure leads to a failover.
func probe(ctx context.Context, k *kernel.Kernel, replica *controlstate.Replica, dialer *Dialer, unresponsive *connpool.UnresponsiveTracker, id string) bool {
	raw, err := replica.Read(discovery.Key(id))
	if err != nil || raw == nil {
		return true // this node is no longer the primary, or the database was removed: no decision is needed
	}
	var db discovery.Database
	if err := json.Unmarshal(raw, &db); err != nil {
		k.Counters.Add("dbconn.unreadable", 1)
		return true
	}
	conn, err := dialer.Open(ctx, db, dialer.ConnectTimeout)
	if errors.Is(err, connpool.ErrUnresponsive) && !errors.Is(err, syscall.ECONNREFUSED) && unresponsive.Record(k.Clock.Now(), id) {
		k.Counters.Add("dbconn.probed_again", 1)
		longer := *dialer
		longer.ConnectTimeout *= 2
		conn, err = longer.Open(ctx, db, longer.ConnectTimeout)
	}
	if err != nil {
		return connpool.CheckPassed(err)
	}
	conn.Close()
	return true
}
