package failover

import (
	"context"
	"errors"
	"fmt"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/rpc"
)

// AcceptOp is the RPC by which an operator accepts that acknowledged commits of a service may be
// lost.
const AcceptOp = "failover.accept_loss"

// AcceptLoss is the request of an operator who knows that a database that a failover waits for
// will not come back.
type AcceptLoss struct {
	Service    string `json:"svc"`
	FailoverID int64  `json:"turn"` // number of the failover that is waiting
	By         string `json:"by"`   // the operator, for the record
}

// LossAcceptance records such a request. It is kept with the leader.
type LossAcceptance struct {
	FailoverID int64  `json:"turn"`
	By         string `json:"by"`
	AtMs       int64  `json:"at_ms"` // Unix time in milliseconds
}

// Errors of rejected requests.
var (
	ErrNoName     = errors.New("failover: who accepts the loss must be named") // or the name exceeds maxNameLength
	ErrNotWaiting = errors.New("failover: no move of that service and turn waits for a database")
)

// maxNameLength bounds the stored name of the operator, in bytes.
const maxNameLength = 200

// registerHandlers registers the operators' requests at the RPC endpoint.
func (c *Manager) registerHandlers(b *rpc.Endpoint) {
	rpc.HandleTyped(b, AcceptOp, func(ctx context.Context, q AcceptLoss) (any, error) { return struct{}{}, c.Accept(ctx, q) })
}

// Accept records a request for the failover that is waiting now, and for no other: the next one
// waits again. A repeated request has no further effect.
func (c *Manager) Accept(ctx context.Context, q AcceptLoss) error {
	if q.By == "" || len(q.By) > maxNameLength {
		return ErrNoName
	}
	if _, err := c.state.Term(); err != nil {
		return err
	}
	err := c.updateService(ctx, q.Service, func(l *Leader, _ map[string]discovery.Database) error {
		if !l.FailoverInProgress || l.FailoverID != q.FailoverID || q.FailoverID == 0 || l.To != "" {
			return ErrNotWaiting
		}
		if l.Accepted.FailoverID != q.FailoverID {
			l.Accepted = LossAcceptance{q.FailoverID, q.By, time.Now().UnixMilli()}
		}
		return nil
	})
	switch {
	case errors.Is(err, ErrNotWaiting):
		return ErrNotWaiting
	case errors.Is(err, controlstate.ErrNotPrimary):
		return controlstate.ErrNotPrimary
	case err != nil:
		return fmt.Errorf("failover: %w", err)
	}
	c.k.Counters.Add("failover.losses_accepted", 1)
	c.k.Log.Warn("an operator accepts that acknowledged commits may be lost", "service", q.Service, "turn", q.FailoverID, "by", q.By)
	return nil
}

// canAcceptLoss reports whether an operator may override this refusal to choose a primary.
func canAcceptLoss(refusal string) bool {
	switch refusal {
	case unresponsiveMayHoldCommit, removedMayHaveHeldCommit, allHoldersRemoved, awaitingFirstHeartbeat, acknowledgedCommitMissing:
		return true
	}
	return false
}
