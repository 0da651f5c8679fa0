package custodian

import (
	"indigowalk/internal/accessions"
	"indigowalk/internal/charter"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/shelf"
	"indigowalk/internal/vault"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "custodian", Rank: 60, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			readers := NewReaders()
			foundation.Offer(k, readers)
			c := New(k, Config{
				Name: s.NodeName, Platform: s.Platform, Leadless: s.Deploy == charter.API, ReaderLease: charter.Span(s.ReaderLeaseMs),
				Dialer:  shelf.Dialer{Net: k.Net, Who: "custodian", Connect: charter.Span(s.CheckWaitMs), Silence: charter.Span(s.SilenceMs)},
				AskWait: foundation.Second, BeatWait: 700 * foundation.Millisecond,
			}, foundation.Need[*vault.Vault](k), foundation.Need[*accessions.Accessions](k),
				foundation.Need[*conservator.Conservator](k), readers)
			foundation.Offer(k, c)
			k.Supervise("custodian", c.Serve)
			return nil
		},
	})
}
