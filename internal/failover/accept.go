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

// AcceptOp is the call by which an operator accepts that acknowledged commits of a
// service may be lost.
const AcceptOp = "failover.accept_loss"

// AcceptLoss is the order of an operator who knows that a database which a move
// waits for does not come back.
type AcceptLoss struct {
	Service string `json:"svc"`
	Turn    int64  `json:"turn"` // of the move that waits
	By      string `json:"by"`   // who gives it, for the record
}

// LossAcceptance is the record of such an order. It stays with the lead.
type LossAcceptance struct {
	Turn int64  `json:"turn"`
	By   string `json:"by"`
	AtMs int64  `json:"at_ms"` // time of day, in milliseconds since 1970
}

// Errors of an order that is not taken.
var (
	ErrNoName     = errors.New("failover: who accepts the loss must be named")
	ErrNotWaiting = errors.New("failover: no move of that service and turn waits for a database")
)

// maxNameLength bounds what is kept of who gave an order.
const maxNameLength = 200

// registerHandlers takes orders through the endpoint.
func (c *Manager) registerHandlers(b *rpc.Endpoint) {
	rpc.On(b, AcceptOp, func(ctx context.Context, q AcceptLoss) (any, error) { return struct{}{}, c.Accept(ctx, q) })
}

// Accept takes an order for the move that waits now, and no other: the next one
// waits again. Given twice, it is taken once.
func (c *Manager) Accept(ctx context.Context, q AcceptLoss) error {
	if q.By == "" || len(q.By) > maxNameLength {
		return ErrNoName
	}
	if _, err := c.state.Term(); err != nil {
		return err
	}
	err := c.updateService(ctx, q.Service, func(l *Lead, _ map[string]discovery.Database) error {
		if !l.Moving || l.Turn != q.Turn || q.Turn == 0 || l.To != "" {
			return ErrNotWaiting
		}
		if l.Accepted.Turn != q.Turn {
			l.Accepted = LossAcceptance{q.Turn, q.By, time.Now().UnixMilli()}
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
	c.k.Log.Warn("an operator accepts that acknowledged commits may be lost", "service", q.Service, "turn", q.Turn, "by", q.By)
	return nil
}

// canAcceptLoss tells whether an operator may have the choice made all the same.
func canAcceptLoss(refusal string) bool {
	switch refusal {
	case unresponsiveMayHoldCommit, removedMayHaveHeldCommit, allHoldersRemoved, awaitingFirstHeartbeat, acknowledgedCommitMissing:
		return true
	}
	return false
}
