package circulation

import (
	"indigowalk/internal/charter"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rpc"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "circulation", Rank: 15, Roles: []string{"desk", "turnstile", "archive", "hollow"},
		Build: func(k *foundation.Kernel) error {
			s := foundation.Need[*charter.Book](k).Now()
			r := New(k, Config{
				Self: Member{
					Addr: foundation.Need[*rpc.Endpoint](k).Addr(), Name: s.NodeName, Role: k.Role, Zone: s.Zone,
				},
				Seeds: s.SeedPeers(),
				Probe: charter.Span(s.ProbeMs),
			})
			foundation.Offer(k, r)
			k.Supervise("circulation", r.Serve)
			k.OnLeave(r.Leave)
			return nil
		},
	})
}
