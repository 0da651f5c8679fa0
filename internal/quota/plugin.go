package quota

import (
	"context"
	"errors"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

func init() {
	kernel.Register(kernel.Plugin{
		Name: "quota-holder", Rank: 75, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			current := kernel.Need[*settings.Live](k).Now()
			server := NewLedgerServer(k, kernel.Need[*controlstate.Replica](k), settings.FromMillis(current.QuotaLeaseMs), Tolerance{
				Window: kernel.Micros(current.QuotaWindowS) * kernel.Second, Excess: current.QuotaExcess, Slack: current.QuotaSlack,
			})
			rpc.HandleTyped(kernel.Need[*rpc.Endpoint](k), requestOp, server.handleRequest)
			kernel.Offer(k, server)
			k.Supervise("quota", server.Serve)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "quota-client", Rank: 75, Roles: []string{"pooler", "gateway"},
		Build: func(k *kernel.Kernel) error {
			current := kernel.Need[*settings.Live](k).Now()
			subscriber := kernel.Need[*distribution.Subscriber](k)
			endpoint := kernel.Need[*rpc.Endpoint](k)
			client := NewClient(k, current.NodeName, func(ctx context.Context, req sliceRequest) (sliceResponse, error) {
				return requestSlices(ctx, endpoint, subscriber.ControlNode(), req)
			})
			kernel.Offer(k, client)
			k.Supervise("quota", client.Serve)
			return nil
		},
	})
}

// errNoLedger says that the control node has no ledger, or that the proxy knows no control node
// to send the request to.
var errNoLedger = errors.New("quota: no active ledger")

// responseTimeout is how long a proxy waits for the response of the ledger.
const responseTimeout = 200 * kernel.Millisecond

// requestSlices sends a request to the ledger at addr, the control node that is assumed to
// be the primary.
func requestSlices(ctx context.Context, endpoint *rpc.Endpoint, addr string, req sliceRequest) (resp sliceResponse, err error) {
	if addr == "" {
		return resp, errNoLedger
	}
	if err := endpoint.Call(ctx, addr, requestOp, req, &resp, responseTimeout); err != nil {
		return resp, err
	}
	if resp.Term == 0 && resp.NewestIncarnation == 0 {
		return resp, errNoLedger
	}
	return resp, nil
}
