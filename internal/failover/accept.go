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

// AcceptLossOp is the RPC by which an operator accepts that acknowledged commits of a service may
// be lost.
const AcceptLossOp = "failover.accept_loss"

// AcceptLoss is the request of an operator who knows that a database for which a failover is
// waiting will not return. The response to a malformed request contains the name of the type
// ("json: cannot unmarshal ... field AcceptLoss.svc"), so it must not change.
type AcceptLoss struct {
	Service    string `json:"svc"`
	FailoverID int64  `json:"turn"` // ID of the waiting failover; operators know it as the turn
	By         string `json:"by"`   // name of the operator
}

// LossAcceptance is the record of an accepted loss. It is stored in the service's Leader record.
type LossAcceptance struct {
	FailoverID int64  `json:"turn"`
	By         string `json:"by"`
	AtMs       int64  `json:"at_ms"` // Unix time in milliseconds
}

// Errors returned by AcceptLoss for requests that it rejects.
var (
	ErrNoOperator = errors.New("failover: the operator's name is missing or too long") // longer than maxNameLength
	ErrNotWaiting = errors.New("failover: no failover of that service with that turn is waiting for a database")
)

// maxNameLength is the maximum length of an operator's name, in bytes.
const maxNameLength = 200

// registerHandlers registers the handlers of operators' requests at the RPC endpoint.
func (m *Manager) registerHandlers(endpoint *rpc.Endpoint) {
	rpc.HandleTyped(endpoint, AcceptLossOp, func(ctx context.Context, q AcceptLoss) (any, error) { return struct{}{}, m.AcceptLoss(ctx, q) })
}

// AcceptLoss records that the loss is accepted for the failover that is waiting now. The acceptance
// does not extend to later failovers, which wait again. A repeated request has no further effect.
func (m *Manager) AcceptLoss(ctx context.Context, request AcceptLoss) error {
	if request.By == "" || len(request.By) > maxNameLength {
		return ErrNoOperator
	}
	if _, err := m.controlState.Term(); err != nil {
		return err
	}
	err := m.updateService(ctx, request.Service, func(l *Leader, _ map[string]discovery.Database) error {
		if !l.FailoverInProgress || l.FailoverID != request.FailoverID || request.FailoverID == 0 || l.Target != "" {
			return ErrNotWaiting
		}
		if l.Accepted.FailoverID != request.FailoverID {
			l.Accepted = LossAcceptance{request.FailoverID, request.By, time.Now().UnixMilli()}
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
	m.k.Counters.Add("failover.losses_accepted", 1)
	m.k.Log.Warn("an operator accepts that acknowledged commits may be lost", "service", request.Service, "turn", request.FailoverID, "by", request.By)
	return nil
}

// canAcceptLoss reports whether an operator may override the given reason not to choose a primary.
func canAcceptLoss(refusal string) bool {
	switch refusal {
	case unresponsiveMayHoldCommit, removedMayHaveHeldCommit, allHoldersRemoved, awaitingFirstHeartbeat, acknowledgedCommitMissing:
		return true
	}
	return false
}
