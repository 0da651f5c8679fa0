package vault

import (
	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rpc"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "vault", Rank: 20, Roles: []string{"archive"},
		Build: func(k *foundation.Kernel) error {
			book := foundation.Need[*charter.Book](k)
			s := book.Now()
			if s.DataDir == "" {
				return &charter.Error{Key: "data_dir", Reason: "an archive needs a disk"}
			}
			ring := foundation.Need[*circulation.Ring](k)
			v, err := Open(k, foundation.Need[*rpc.Endpoint](k), Config{
				Name: s.NodeName, Dir: s.DataDir, Bootstrap: s.Bootstrap,
				Seeds:    func() []string { return book.Now().SeedPeers() },
				Lease:    charter.Span(s.VaultLeaseMs),
				Away:     charter.Span(s.WitnessAwayMs),
				Catchup:  foundation.Micros(s.CatchupS) * foundation.Second,
				Losses:   int(s.TolerateHosts),
				Archives: func() []string { return ring.Peers("archive") },
				Changed:  ring.Changed,
			})
			if err != nil {
				return err
			}
			foundation.Offer(k, v)
			k.Supervise("vault", v.Serve)
			k.OnLeave(v.Leave)
			k.OnEnd(v.Close)
			return nil
		},
	})
}
