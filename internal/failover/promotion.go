package failover

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// promote makes the platform promote the chosen database, waits until that is the primary, and
// records it as the leader. If the database is not running, the choice is withdrawn.
func (m *Manager) promote(ctx context.Context, s *snapshot, l Leader) error {
	if err := m.awaitRelease(ctx, l); err != nil {
		return err
	}
	target, found := s.databases[l.Target]
	err := errNotRunning
	observedBefore := m.registry.Observed()[l.Target]
	if found {
		err = m.callPlatform(ctx, l)
	}
	if errors.Is(err, errNotRunning) {
		return m.updateLeader(ctx, l.Service, func(current *Leader) error {
			if current.FailoverID == l.FailoverID && current.Target == l.Target {
				current.Target = ""
			}
			return nil
		})
	}
	if err != nil {
		return err
	}
	supersededTerm := l.Term
	if target.ID == l.ID || target.HadID(l.ID) {
		supersededTerm-- // the previous leader may become the primary again without a new term
	}
	if l.Term, err = m.awaitPromotion(ctx, l, target, observedBefore, supersededTerm); err != nil {
		return err
	}
	oldID := l.ID
	err = m.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && current.Target == l.Target {
			*current = current.completed(l.Target, l.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	m.k.Log.Info("lead moved", "service", l.Service, "from", oldID, "to", l.Target, "term", l.Term)
	m.clearAttempt("leaving " + l.Service)
	others := s.replicas(l.Service, l.Target)
	for _, d := range others {
		if d.ID == oldID {
			go m.execute(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	for _, d := range notLeaving(others) {
		if d.ID != oldID {
			go m.execute(ctx, d, "CONTINUE")
		}
	}
	return nil
}

// awaitPromotion waits until the database is the primary of a term newer than supersededTerm, and
// returns that term. The database sends a heartbeat as soon as its role changes; if none arrives,
// it is queried.
func (m *Manager) awaitPromotion(ctx context.Context, l Leader, target discovery.Database, observedBefore discovery.ObservedState, supersededTerm int64) (int64, error) {
	deadline := m.k.Clock.Now() + 3*kernel.Second
	for m.k.Clock.Now() < deadline && ctx.Err() == nil {
		changed := m.registry.Changed()
		if observed := m.registry.Observed()[target.ID]; observed.Role == "primary" && observedBefore.Role == "replica" {
			return supersededTerm + 1, nil
		}
		timer := time.NewTimer(m.cfg.HeartbeatWait.Duration())
		select {
		case <-changed:
			timer.Stop()
			continue
		case <-timer.C:
		}
		if row, err := m.execute(ctx, target, "STAT"); err != nil {
			return 0, err
		} else if row.primary && row.term > supersededTerm {
			m.checkPromotedPosition(l, row)
			return row.term, nil
		}
	}
	return 0, errRetryLater
}

// checkPromotedPosition checks that a promoted database holds everything that it held when it was
// chosen.
func (m *Manager) checkPromotedPosition(l Leader, row statRow) {
	chosenPosition, known := lineprotocol.ParsePosition(l.ChosenPosition)
	m.k.Invariants.Check(!known || !row.received.Less(chosenPosition), invariant.PromotedReachesMinimum,
		"%s leads %s at position %s but was chosen at position %s", l.Target, l.Service, row.received, l.ChosenPosition)
}

// reconcileReplicas resumes paused replicas, demotes every database that acts as the primary
// without being the leader, and handles databases that are leaving.
func (m *Manager) reconcileReplicas(ctx context.Context, s *snapshot, l Leader) {
	m.resumeReplicas(ctx, s, l)
	leaving := false
	for _, d := range s.replicas(l.Service, l.ID) {
		leaving = leaving || d.Gone || d.Draining
		if s.observed[d.ID].Role == "primary" && l.Term != 0 && !d.Gone && m.attemptDue("demote "+d.ID) {
			go m.execute(ctx, d, "STEPDOWN "+strconv.FormatInt(l.Term, 10))
		}
	}
	if leaving && m.attemptDue("leaving "+l.Service) {
		m.runExclusive(l.Service, func() error { return m.reconcileLeaving(ctx, s, l) })
	}
}

// attemptRetention is how long the time of an attempt is kept. It exceeds every retry interval. An
// older time may belong to a database that has left, and must not be taken for that of a new one
// with the same name.
const attemptRetention = 600 * kernel.Second

// dropOldAttempts drops the times older than attemptRetention. The caller holds m.mu.
func (m *Manager) dropOldAttempts(now kernel.Micros) {
	maps.DeleteFunc(m.attempts, func(_ string, at kernel.Micros) bool { return now-at > attemptRetention })
}

// attemptDue limits an action that is repeated until it succeeds to once per second. It reports
// whether the action is due, and if so records the attempt.
func (m *Manager) attemptDue(action string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.k.Clock.Now()
	m.dropOldAttempts(now)
	if now-m.attempts[action] < kernel.Second && m.attempts[action] != 0 {
		return false
	}
	m.attempts[action] = now
	return true
}

// clearAttempt makes a rate-limited action due at once.
func (m *Manager) clearAttempt(action string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.attempts, action)
}

// elapsedSinceFirst returns the time since its first call with that key. The key is dropped after
// attemptRetention: the next call is a first one again.
func (m *Manager) elapsedSinceFirst(key string) kernel.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.k.Clock.Now()
	m.dropOldAttempts(now)
	if m.attempts[key] == 0 {
		m.attempts[key] = now
	}
	return now - m.attempts[key]
}

// callPlatform calls the platform as the duty holder. It does so only in the control state's term
// in which the failover was examined, and ends the call well before the lease ends.
func (m *Manager) callPlatform(ctx context.Context, l Leader) error {
	epoch, remaining := controlstate.TermFromContext(ctx).Lease()
	wait := min(remaining-100*kernel.Millisecond, kernel.Second)
	if wait < 100*kernel.Millisecond {
		return errRetryLater
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	m.k.Counters.Add("failover.platform_calls", 1)
	return m.platform.failover(ctx, epoch, l.Service, l.Target)
}
