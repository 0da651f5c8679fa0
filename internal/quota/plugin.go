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
			s := kernel.Need[*settings.Live](k).Now()
			h := NewHolder(k, kernel.Need[*controlstate.Replica](k), settings.Span(s.QuotaLeaseMs), Tolerance{
				Window: kernel.Micros(s.QuotaWindowS) * kernel.Second, Excess: s.QuotaExcess, Slack: s.QuotaSlack,
			})
			rpc.On(kernel.Need[*rpc.Endpoint](k), takeOp, h.onTake)
			kernel.Offer(k, h)
			k.Supervise("quota", h.Serve)
			return nil
		},
	})
	kernel.Register(kernel.Plugin{
		Name: "quota-client", Rank: 75, Roles: []string{"pooler", "gateway"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			subscriber := kernel.Need[*distribution.Subscriber](k)
			endpoint := kernel.Need[*rpc.Endpoint](k)
			c := NewClient(k, s.NodeName, func(ctx context.Context, q ask) (answer, error) {
				return call(ctx, endpoint, subscriber.ControlNode(), q)
			})
			kernel.Offer(k, c)
			k.Supervise("quota", c.Serve)
			return nil
		},
	})
}

// errNoLedger says that there is none where it was asked for.
var errNoLedger = errors.New("quota: no ledger is known")

// answerWait is how long the ledger's answer is waited for.
const answerWait = 200 * kernel.Millisecond

// call asks the ledger at the control node that is taken for the primary.
func call(ctx context.Context, endpoint *rpc.Endpoint, addr string, q ask) (a answer, err error) {
	if addr == "" {
		return a, errNoLedger
	}
	if err := endpoint.Call(ctx, addr, takeOp, q, &a, answerWait); err != nil {
		return a, err
	}
	if a.Term == 0 && a.Newest == 0 {
		return a, errNoLedger
	}
	return a, nil
}
