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

// FindBlocked returns why the failover of a service is blocked. It returns an error if none of the
// reports is from the primary control node, if the service is unknown, or if its failover is not
// blocked.
func (s *System) FindBlocked(service string) (*BlockedFailover, error) {
	primary := s.Primary()
	if primary == nil {
		return nil, errNoPrimary
	}
	leader, known := primary.Leaders[service]
	if !known {
		return nil, fmt.Errorf("no service %q has a lead", service)
	}
	reason, blocked := primary.WaitReasons[service]
	if !blocked || !leader.FailoverInProgress {
		return nil, fmt.Errorf("service %s does not wait: %s leads it", service, leader.ID)
	}
	return &BlockedFailover{service, leader.FailoverID, reason, primary.Addr}, nil
}

// Print writes why the failover is blocked, and the command by which an operator can accept the loss.
func (b *BlockedFailover) Print(out io.Writer) {
	fmt.Fprintf(out, "service %s waits: %s\n", b.Service, b.Reason)
	fmt.Fprintln(out, "If that database does not come back, and only then, the loss can be accepted:")
	fmt.Fprintf(out, "    indigowalk accept-loss --turn %d --by YOUR-NAME %s %s\n", b.FailoverID, b.Service, b.Control)
	fmt.Fprintln(out, "Commits that clients were told of may be gone then. The order is kept with the service's lead.")
}

// AcceptLoss asks the control node to accept the loss of acknowledged commits, and to record by as the
// operator who accepted it. If failoverID is not the ID of the reported failover, it returns an error
// and sends nothing.
func (b *BlockedFailover) AcceptLoss(ctx context.Context, network kernel.Network, failoverID int64, by string) error {
	if failoverID != b.FailoverID {
		return fmt.Errorf("service %s is at turn %d, not %d: look again at what it waits for", b.Service, b.FailoverID, failoverID)
	}
	endpoint := rpc.NewEndpoint(kernel.NewKernel("tools", network, slog.New(slog.DiscardHandler)), "")
	defer endpoint.CloseConnections()
	request := failover.AcceptLoss{Service: b.Service, FailoverID: failoverID, By: by}
	if err := endpoint.Call(ctx, b.Control, failover.AcceptLossOp, request, nil, requestTimeout); err != nil {
		return fmt.Errorf("the order was not taken: %w", err)
	}
	return nil
}
