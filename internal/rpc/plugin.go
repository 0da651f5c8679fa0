package rpc

import (
	"indigowalk/internal/charter"
	"indigowalk/internal/foundation"
)

func init() {
	foundation.Register(foundation.Plugin{
		Name: "rpc", Rank: 10, Roles: []string{"desk", "turnstile", "archive", "hollow"},
		Build: func(k *foundation.Kernel) error {
			port := charter.DeskPort
			if k.Role == "archive" {
				port = charter.ArchivePort
			}
			b := NewEndpoint(k, foundation.Need[*charter.Book](k).Now().Port(port))
			foundation.Offer(k, b)
			k.Supervise("rpc", b.Serve)
			return nil
		},
	})
}
