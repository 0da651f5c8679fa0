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

// BlockedFailover describes a service whose failover is blocked until a database responds.
type BlockedFailover struct {
	Service    string `json:"svc"`
	FailoverID int64  `json:"turn"`
	Reason     string `json:"why"`
	Control    string `json:"control"` // internal address of the control node that reported it
}

// errNoPrimary is returned if none of the queried processes is the primary control node.
var errNoPrimary = errors.New("no control node that was asked leads; ask others, or all with the primary among them")

// FindBlocked reports why the failover of a service is blocked. It returns an error if there is no
// primary among the reports, or if the service is unknown or not waiting.
func (s *System) FindBlocked(service string) (*BlockedFailover, error) {
	p := s.Primary()
	if p == nil {
		return nil, errNoPrimary
	}
	leader, known := p.Leads[service]
	if !known {
		return nil, fmt.Errorf("no service %q has a lead", service)
	}
	reason, waiting := p.WaitReasons[service]
	if !waiting || !leader.FailoverInProgress {
		return nil, fmt.Errorf("service %s does not wait: %s leads it", service, leader.ID)
	}
	return &BlockedFailover{service, leader.FailoverID, reason, p.Addr}, nil
}

// Print writes the reason for the wait, and the command by which an operator can accept the loss.
func (w *BlockedFailover) Print(out io.Writer) {
	fmt.Fprintf(out, "service %s waits: %s\n", w.Service, w.Reason)
	fmt.Fprintln(out, "If that database does not come back, and only then, the loss can be accepted:")
	fmt.Fprintf(out, "    indigowalk accept-loss --turn %d --by YOUR-NAME %s %s\n", w.FailoverID, w.Service, w.Control)
	fmt.Fprintln(out, "Commits that clients were told of may be gone then. The order is kept with the service's lead.")
}

// AcceptLoss sends the order to accept the loss of acknowledged commits to the control node. It is
// refused locally if failoverID is not the failover number that was reported.
func (w *BlockedFailover) AcceptLoss(ctx context.Context, n kernel.Network, failoverID int64, by string) error {
	if failoverID != w.FailoverID {
		return fmt.Errorf("service %s is at turn %d, not %d: look again at what it waits for", w.Service, w.FailoverID, failoverID)
	}
	endpoint := rpc.NewEndpoint(kernel.NewKernel("tools", n, slog.New(slog.DiscardHandler)), "")
	defer endpoint.CloseConnections()
	order := failover.AcceptLoss{Service: w.Service, FailoverID: failoverID, By: by}
	if err := endpoint.Call(ctx, w.Control, failover.AcceptOp, order, nil, requestTimeout); err != nil {
		return fmt.Errorf("the order was not taken: %w", err)
	}
	return nil
}
