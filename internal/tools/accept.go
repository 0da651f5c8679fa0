package tools

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"

	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// Waiting is a service whose move waits for a database.
type Waiting struct {
	Service string `json:"svc"`
	Turn    int64  `json:"turn"`
	Why     string `json:"why"`
	Control string `json:"control"` // inner address of the control node that tells so
}

// errNoPrimary says that none of the processes that were asked leads.
var errNoPrimary = errors.New("no control node that was asked leads; ask others, or all with the primary among them")

// WaitingOf tells what the move of a service's lead waits for.
func (s *System) WaitingOf(service string) (*Waiting, error) {
	p := s.Primary()
	if p == nil {
		return nil, errNoPrimary
	}
	lead, known := p.Leads[service]
	if !known {
		return nil, fmt.Errorf("no service %q has a lead", service)
	}
	why, waits := p.Waits[service]
	if !waits || !lead.FailoverInProgress {
		return nil, fmt.Errorf("service %s does not wait: %s leads it", service, lead.ID)
	}
	return &Waiting{service, lead.FailoverID, why, p.Addr}, nil
}

// Print writes what waits, and what may be done.
func (w *Waiting) Print(out io.Writer) {
	fmt.Fprintf(out, "service %s waits: %s\n", w.Service, w.Why)
	fmt.Fprintln(out, "If that database does not come back, and only then, the loss can be accepted:")
	fmt.Fprintf(out, "    indigowalk accept-loss --turn %d --by YOUR-NAME %s %s\n", w.Turn, w.Service, w.Control)
	fmt.Fprintln(out, "Commits that clients were told of may be gone then. The order is kept with the service's lead.")
}

// Accept gives the order.
func (w *Waiting) Accept(ctx context.Context, n kernel.Network, turn int64, by string) error {
	if turn != w.Turn {
		return fmt.Errorf("service %s is at turn %d, not %d: look again at what it waits for", w.Service, w.Turn, turn)
	}
	b := rpc.NewEndpoint(kernel.NewKernel("tools", n, slog.New(slog.DiscardHandler)), "")
	defer b.CloseConnections()
	order := failover.AcceptLoss{Service: w.Service, FailoverID: turn, By: by}
	if err := b.Call(ctx, w.Control, failover.AcceptOp, order, nil, askWait); err != nil {
		return fmt.Errorf("the order was not taken: %w", err)
	}
	return nil
}
