package rpc

import (
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "rpc", Rank: 10, Roles: []string{"pooler", "gateway", "control", "hollow"},
		Build: func(k *kernel.Kernel) error {
			port := settings.ProxyPort
			if k.Role == "control" {
				port = settings.ControlPort
			}
			endpoint := NewEndpoint(k, kernel.Need[*settings.Live](k).Now().Port(port))
			kernel.Offer(k, endpoint)
			k.Supervise("rpc", endpoint.Serve)
			return nil
		},
	})
}
