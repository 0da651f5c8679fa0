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
			d := &Dialer{
				Net: k.Net, Who: s.NodeName, Connect: settings.Span(s.CheckWaitMs), Silence: settings.Span(s.SilenceMs),
				DialSlots: make(chan struct{}, connpool.MaxDials),
			}
			sh := connpool.New[Want](k, connpool.Config[Want, *Conn]{
				Open: func(ctx context.Context, db discovery.Database, want Want, wait kernel.Micros) (*Conn, error) {
					return d.OpenForTenant(ctx, db, want.Tenant, wait)
				},
				Evict:    true,
				OpenWait: 2 * kernel.Second, CheckWait: settings.Span(s.CheckWaitMs), IdleFor: 15 * kernel.Second, UnusedFor: 5 * kernel.Second,
				Share: func(svc string) int { return kernel.Need[connpool.Share](k)(svc) },
			}, kernel.Need[*health.Monitor](k))
			kernel.Offer(k, sh)
			kernel.Offer(k, connpool.Updater(sh.Stock))
			kernel.Offer(k, connpool.Counts(sh.Counts))
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool { return connpool.Stands(sh.Check(ctx, id)) })
			k.Supervise("dbconn", sh.Serve)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "dbconn-check", Rank: 50, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			v := kernel.Need[*controlstate.Replica](k)
			d := &Dialer{
				Net: k.Net, Who: "control", Connect: settings.Span(s.CheckWaitMs), Silence: settings.Span(s.SilenceMs),
				DialSlots: make(chan struct{}, connpool.MaxDials),
			}
			quiet := &connpool.UnresponsiveTracker{}
			kernel.Offer[health.Checker](k, func(ctx context.Context, id string) bool {
				return probe(ctx, k, v, d, quiet, id)
			})
			return nil
		},
	})
}

// probe tries, for a control node, whether a database takes a connection. Where
// several do not answer at once it may be the control node's own link that is full:
// before leads are moved for it, they are tried again, and longer.
func probe(ctx context.Context, k *kernel.Kernel, v *controlstate.Replica, d *Dialer, quiet *connpool.UnresponsiveTracker, id string) bool {
	raw, err := v.Read(discovery.Key(id))
	if err != nil || raw == nil {
		return true // not the primary any more, or gone: nothing to decide
	}
	var db discovery.Database
	if err := json.Unmarshal(raw, &db); err != nil {
		k.Counters.Add("dbconn.unreadable", 1)
		return true
	}
	c, err := d.Open(ctx, db, d.Connect)
	if errors.Is(err, connpool.ErrSilent) && !errors.Is(err, syscall.ECONNREFUSED) && quiet.Record(k.Clock.Now(), id) {
		k.Counters.Add("dbconn.probed_again", 1)
		longer := *d
		longer.Connect *= 2
		c, err = longer.Open(ctx, db, longer.Connect)
	}
	if err != nil {
		return connpool.Stands(err)
	}
	c.Close()
	return true
}
