package shelf

import (
	"context"
	"encoding/json"
	"errors"

	"indigowalk/internal/accessions"
	"indigowalk/internal/charter"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

// Share tells how many connections a desk may hold to one database of a
// service.
type Share func(service string) int

// maxDials bounds the connections that a process is making at one time.
const maxDials = 16

func init() {
	foundation.Register(foundation.Plugin{
		Name: "shelf", Rank: 50, Roles: []string{"desk"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			sh := New(k, Config{
				Dialer: Dialer{
					Net: k.Net, Who: s.NodeName, Connect: charter.Span(s.CheckWaitMs), Silence: charter.Span(s.SilenceMs),
					Pace: make(chan struct{}, maxDials),
				},
				OpenWait: 2 * foundation.Second, CheckWait: charter.Span(s.CheckWaitMs), IdleFor: 15 * foundation.Second,
				Share: func(svc string) int { return foundation.Need[Share](k)(svc) },
			}, foundation.Need[*conservator.Conservator](k))
			foundation.Offer(k, sh)
			foundation.Offer[conservator.Checker](k, sh.Check)
			k.Supervise("shelf", sh.Serve)
			return nil
		},
	})
	foundation.Register(foundation.Plugin{
		Name: "shelf-check", Rank: 50, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			v := foundation.Need[*vault.Vault](k)
			d := &Dialer{
				Net: k.Net, Who: "archive", Connect: charter.Span(s.CheckWaitMs), Silence: charter.Span(s.SilenceMs),
				Pace: make(chan struct{}, maxDials),
			}
			foundation.Offer[conservator.Checker](k, func(ctx context.Context, id string) bool {
				return probe(ctx, k, v, d, id)
			})
			return nil
		},
	})
}

// probe tries, for an archive, whether a database takes a connection.
func probe(ctx context.Context, k *foundation.Kernel, v *vault.Vault, d *Dialer, id string) bool {
	raw, err := v.Read(accessions.Key(id))
	if err != nil || raw == nil {
		return true // not the primary any more, or gone: nothing to decide
	}
	var db accessions.Database
	if err := json.Unmarshal(raw, &db); err != nil {
		k.Counters.Add("shelf.unreadable", 1)
		return true
	}
	c, err := d.Open(ctx, db, d.Connect)
	if err != nil {
		return isFull(err) || errors.Is(err, ErrSlow)
	}
	c.Close()
	return true
}
