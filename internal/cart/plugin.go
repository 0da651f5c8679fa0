package cart

import (
	"context"
	"errors"
	"net"

	"indigowalk/internal/accessions"
	"indigowalk/internal/charter"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rota"
	"indigowalk/internal/stacks"
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
	foundation.Register(foundation.Plugin{
		Name: "cart", Rank: 50, Roles: []string{"turnstile"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			d := &Dialer{
				Net: k.Net, Connect: connectTimes * charter.Span(s.CheckWaitMs), Silence: charter.Span(s.SilenceMs),
				Pace: make(chan struct{}, stacks.MaxDials),
				Wrap: func(c net.Conn) net.Conn { return foundation.Need[Wrap](k)(c) },
				Path: func(svc string) string { return foundation.Need[HealthPath](k)(svc) },
			}
			r := rota.New(k.Clock)
			foundation.Offer(k, r)
			st := stacks.New[Want](k, stacks.Config[*Conn]{
				Open: d.Open, Probe: d.Probe,
				OpenWait: foundation.Second, CheckWait: charter.Span(s.CheckWaitMs),
				IdleFor: 8 * foundation.Second, UnusedFor: 5 * foundation.Second,
				Share: func(svc string) int { return foundation.Need[stacks.Share](k)(svc) },
				Most:  most(s.MaxFDs),
				Doubt: true,
			}, foundation.Need[*conservator.Conservator](k))
			foundation.Offer(k, st)
			foundation.Offer(k, stacks.Stocker(func(dbs map[string]accessions.Database) {
				st.Stock(dbs)
				r.Keep(dbs)
			}))
			foundation.Offer(k, stacks.Counts(st.Counts))
			foundation.Offer[conservator.Checker](k, func(ctx context.Context, id string) bool {
				began := k.Clock.Now()
				err := st.Check(ctx, id)
				// A database that is full resets a check as it does a request. What
				// requests show meanwhile outranks it.
				return stacks.Stands(err) || errors.Is(err, stacks.ErrBroken) && r.Answered(id) >= began
			})
			k.Supervise("cart", st.Serve)
			return nil
		},
	})
}
