package shelf

import (
	"context"
	"encoding/json"
	"errors"
	"syscall"

	"indigowalk/internal/accessions"
	"indigowalk/internal/charter"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/stacks"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "shelf", Rank: 50, Roles: []string{"desk"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			d := &Dialer{
				Net: k.Net, Who: s.NodeName, Connect: charter.Span(s.CheckWaitMs), Silence: charter.Span(s.SilenceMs),
				Pace: make(chan struct{}, stacks.MaxDials),
			}
			sh := stacks.New[map[string]string](k, stacks.Config[*Conn]{
				Open:     d.Open,
				OpenWait: 2 * foundation.Second, CheckWait: charter.Span(s.CheckWaitMs), IdleFor: 15 * foundation.Second, UnusedFor: 5 * foundation.Second,
				Share: func(svc string) int { return foundation.Need[stacks.Share](k)(svc) },
			}, foundation.Need[*conservator.Conservator](k))
			foundation.Offer(k, sh)
			foundation.Offer(k, stacks.Stocker(sh.Stock))
			foundation.Offer(k, stacks.Counts(sh.Counts))
			foundation.Offer[conservator.Checker](k, func(ctx context.Context, id string) bool { return stacks.Stands(sh.Check(ctx, id)) })
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
				Pace: make(chan struct{}, stacks.MaxDials),
			}
			quiet := &stacks.Silences{}
			foundation.Offer[conservator.Checker](k, func(ctx context.Context, id string) bool {
				return probe(ctx, k, v, d, quiet, id)
			})
			return nil
		},
	})
}

// probe tries, for an archive, whether a database takes a connection. Where
// several do not answer at once it may be the archive's own link that is full:
// before leads are moved for it, they are tried again, and longer.
func probe(ctx context.Context, k *foundation.Kernel, v *vault.Vault, d *Dialer, quiet *stacks.Silences, id string) bool {
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
	if errors.Is(err, stacks.ErrSilent) && !errors.Is(err, syscall.ECONNREFUSED) && quiet.Note(k.Clock.Now(), id) {
		k.Counters.Add("shelf.probed_again", 1)
		longer := *d
		longer.Connect *= 2
		c, err = longer.Open(ctx, db, longer.Connect)
	}
	if err != nil {
		return stacks.Stands(err)
	}
	c.Close()
	return true
}
