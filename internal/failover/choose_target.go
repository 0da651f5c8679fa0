package failover

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/lineprotocol"
)

// advanceFailover starts the failover of a service if one is needed, and carries out its next
// steps. If another control node becomes the primary meanwhile, it continues from the recorded
// state.
func (m *Manager) advanceFailover(ctx context.Context, svc string) error {
	s, err := m.loadSnapshot()
	if err != nil {
		return err
	}
	l := s.leaders[svc]
	if !l.FailoverInProgress {
		if !needsFailover(s.services[svc], l.ID, m.health.Up) {
			return nil
		}
		oldPrimary, found := s.databases[l.ID]
		failed := !found || oldPrimary.Gone || !m.health.Up(l.ID)
		if !failed {
			// The leader continues to serve until there is a replica that can be promoted at once.
			if ok, _, err := m.hasCaughtUpReplica(ctx, oldPrimary, notLeaving(s.replicas(svc, l.ID))); err == nil && !ok {
				m.setWaitReason(svc, replicasBehindPrimary, ChoiceInput{})
				return errRetryLater
			}
		}
		err := m.updateLeader(ctx, svc, func(l *Leader) error {
			l.FailoverInProgress, l.Failed, l.Target, l.ChosenPosition, l.PlatformCalled, l.FailoverID = true, failed, "", "", false, l.FailoverID+1
			return nil
		})
		if err != nil {
			return err
		}
		m.k.Counters.Add("failover.moves", 1)
		m.k.Log.Info("lead moves", "service", svc, "from", l.ID)
		if s, err = m.loadSnapshot(); err != nil {
			return err
		}
		l = s.leaders[svc]
	}
	if l.Target == "" {
		if err := m.chooseTarget(ctx, s, &l); err != nil {
			return err
		}
	}
	return m.promote(ctx, s, l)
}

// awaitRelease waits until no pooler can use the old primary any more: each has released it for
// this failover, or holds no lease.
func (m *Manager) awaitRelease(ctx context.Context, l Leader) error {
	for {
		changed := m.readLeases.Changed()
		released, wait := m.readLeases.AllReleased(l.Service, l.FailoverID, m.k.Clock.Now())
		if released {
			return nil
		}
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// chooseTarget pauses the replicas, compares their positions and makes the choice durable.
func (m *Manager) chooseTarget(ctx context.Context, s *snapshot, l *Leader) error {
	if err := m.awaitReleaseAndPauseLeaving(ctx, s, l); err != nil {
		return err
	}
	oldPrimary, found := s.oldPrimary(*l)
	alive := found && !oldPrimary.Gone && m.health.Up(oldPrimary.ID)
	input, newestTerm := m.choiceInput(ctx, s, *l, oldPrimary, alive)
	replicas := s.replicas(l.Service, l.ID)
	replicas = slices.DeleteFunc(replicas, func(d discovery.Database) bool { return d.ID == oldPrimary.ID })
	conns := m.openAll(ctx, notGone(replicas))
	defer closeAll(conns)
	result := m.pauseAll(conns, *l, newestTerm)
	if result.promoted != "" {
		return m.commitChoice(ctx, s, l, result.promoted, l.Term, result.pauseTerm, result.positions[result.promoted])
	}
	input.Paused, input.Absent = splitByPaused(replicas, result.positions)
	l.PauseTerm = result.pauseTerm
	target, refusal := m.decideTarget(l, input)
	if target != "" {
		m.k.Log.Info("choice", append(input.logAttributes(), "service", l.Service, "to", target)...)
		return m.commitChoice(ctx, s, l, target, result.newestTerm, result.pauseTerm, result.positions[target])
	}
	if refusal == removedMayHaveHeldCommit && (!found || oldPrimary.Gone) {
		refusal = allHoldersRemoved
	}
	m.setWaitReason(l.Service, refusal, input)
	if err := m.recordLeavingCommitLimits(ctx, *l, result.positions); err != nil {
		return err
	}
	if input.PrimaryPosition != nil && l.PlatformCalled {
		// The database that was chosen earlier is lost and the old primary is running again. Only
		// the old primary holds everything, so it is promoted like any other database.
		return m.commitChoice(ctx, s, l, oldPrimary.ID, result.newestTerm, result.pauseTerm, *input.PrimaryPosition)
	}
	if input.PrimaryPosition != nil || alive && !oldPrimary.Draining { // let the replicas catch up
		m.executeAll(ctx, notLeaving(replicas), "CONTINUE")
		if !l.PlatformCalled {
			if err := m.cancelFailover(ctx, l, refusal); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%w: %s", errRetryLater, refusal)
}

// awaitReleaseAndPauseLeaving waits until the poolers have released the old primary. From then on
// no commit of it is acknowledged to a client, even if a late CONTINUE resumes a replica; what was
// acknowledged before is held by the replicas that are queried then. If the old primary has failed,
// draining replicas are paused during the wait. If it still responds, they are paused later, once
// the poolers' statements in progress there have ended.
func (m *Manager) awaitReleaseAndPauseLeaving(ctx context.Context, s *snapshot, l *Leader) error {
	pauseTerm := make(chan int64, 1)
	go func(l Leader) {
		if !l.Failed {
			pauseTerm <- l.PauseTerm
			return
		}
		pauseTerm <- m.pauseLeaving(ctx, s, l)
	}(*l)
	err := m.awaitRelease(ctx, *l)
	l.PauseTerm = <-pauseTerm
	return err
}

// choiceInput returns the part of the input for the choice that is known before the replicas are
// queried, and the newest known term.
func (m *Manager) choiceInput(ctx context.Context, s *snapshot, l Leader, oldPrimary discovery.Database, alive bool) (input ChoiceInput, newestTerm int64) {
	input = ChoiceInput{SyncReplicas: s.syncReplicas(l.Service)}
	input.MinPosition, _ = lineprotocol.ParsePosition(l.MinPosition)
	if position, ok := lineprotocol.ParsePosition(l.ChosenPosition); ok {
		input.ChosenPosition = &position
	}
	reported := m.readLeases.ReportedCommits(l.Service, l.FailoverID)
	input.ReportedUpperBound = reported.UpperBound
	if reported.Complete {
		input.AckedUpperBound = &reported.UpperBound
	}
	waived, _ := lineprotocol.ParsePosition(l.WaivedPosition)
	if lowerBound, known := m.readLeases.AcknowledgedLowerBound(l.Service, l.FailoverID); known && waived.Less(lowerBound) {
		input.AckedLowerBound = &lowerBound
	}
	input.FirstHeartbeatsElapsed = m.elapsedSinceFirst(fmt.Sprintf("first heartbeats %s %d", l.Service, l.FailoverID)) > m.cfg.FirstHeartbeatTimeout
	newestTerm = l.Term
	if alive {
		if row, err := m.execute(ctx, oldPrimary, "STAT"); err == nil && row.primary {
			input.PrimaryPosition, newestTerm = &row.received, max(newestTerm, row.term)
		}
	}
	return input, newestTerm
}

// pauseResult is what pauseAll learned from the replicas.
type pauseResult struct {
	newestTerm int64                            // that any database knows
	pauseTerm  int64                            // at which the replicas are paused
	positions  map[string]lineprotocol.Position // of the paused replicas, by ID
	promoted   string                           // a database promoted in this failover whose promotion has not been recorded
}

// pauseAll pauses replicas at a new term, which must be newer than any that they know. The
// positions received at login contain terms, so PAUSE is sent first: it takes no slot, and returns
// the same data as STAT even at a primary, which it does not pause. STAT, for which an overloaded
// replica has no slot, is sent only to those that PAUSE did not pause; then PAUSE is sent again.
func (m *Manager) pauseAll(conns map[string]*dbconn.Conn, l Leader, newestTerm int64) pauseResult {
	result := pauseResult{newestTerm: newestTerm, positions: map[string]lineprotocol.Position{}}
	result.pauseTerm = max(newestTerm, l.PauseTerm, loginTerm(conns)) + 1
	rows := m.executeOnAll(conns, "PAUSE "+strconv.FormatInt(result.pauseTerm, 10))
	notPaused := maps.Clone(conns)
	maps.DeleteFunc(notPaused, func(id string, _ *dbconn.Conn) bool { return rows[id].pausedTerm == result.pauseTerm })
	if len(notPaused) > 0 {
		maxPausedTerm := int64(0)
		for id, row := range m.executeOnAll(notPaused, "STAT") {
			if row.primary && l.PlatformCalled && row.term > l.Term {
				result.promoted, result.positions[id] = id, row.received
				return result
			}
			result.newestTerm, maxPausedTerm = max(result.newestTerm, row.term), max(maxPausedTerm, row.pausedTerm)
			if row.primary && row.term < l.Term {
				// It is a former leader that has not learned of its successor.
				m.executeOn(conns[id], "STEPDOWN "+strconv.FormatInt(l.Term, 10))
			}
		}
		result.pauseTerm = max(result.pauseTerm, result.newestTerm, maxPausedTerm) + 1
		rows = m.executeOnAll(conns, "PAUSE "+strconv.FormatInt(result.pauseTerm, 10))
	}
	for id, row := range rows {
		result.newestTerm = max(result.newestTerm, row.term)
		if row.pausedTerm == result.pauseTerm {
			result.positions[id] = row.received
		}
	}
	return result
}

// decideTarget chooses the replica to promote, or returns why none can be chosen. A refusal is
// overridden if an operator has accepted the loss.
func (m *Manager) decideTarget(l *Leader, input ChoiceInput) (target, refusal string) {
	target, refusal = ChoosePrimary(input)
	accepted := target == "" && l.Accepted.FailoverID == l.FailoverID && canAcceptLoss(refusal)
	if accepted {
		target = MostAdvanced(input.Paused)
		l.MinPosition = "" // the operator accepted that these commits may be lost
		if input.AckedLowerBound != nil {
			l.WaivedPosition = input.AckedLowerBound.String()
		}
		m.k.Log.Warn("chosen though acknowledged commits may be lost", "service", l.Service, "to", target, "why", refusal, "accepted by", l.Accepted.By)
	}
	epoch, _ := m.controlState.Lease()
	m.k.Recorder.Add(ChoiceKind, Choice{l.Service, epoch, input, target, accepted})
	if target == "" {
		m.k.Counters.Add("failover.choice_refused", 1)
	}
	return target, refusal
}

// recordLeavingCommitLimits records the commit limits of leaving databases while no target is
// chosen, so that they need not respond again later.
func (m *Manager) recordLeavingCommitLimits(ctx context.Context, l Leader, positions map[string]lineprotocol.Position) error {
	return m.updateService(ctx, l.Service, func(current *Leader, databases map[string]discovery.Database) error {
		if current.FailoverID == l.FailoverID && current.FailoverInProgress && current.Target == "" {
			recordCommitLimits(databases, positions)
		}
		return nil
	})
}

// commitChoice makes the choice durable, unless a database has joined since the snapshot on which
// it is based. After the promotion every replica receives commits again, so only the commit limits
// of databases that are gone remain valid.
func (m *Manager) commitChoice(ctx context.Context, s *snapshot, l *Leader, target string, newestTerm, pauseTerm int64, position lineprotocol.Position) error {
	err := m.updateService(ctx, l.Service, func(current *Leader, databases map[string]discovery.Database) error {
		if !current.FailoverInProgress || current.FailoverID != l.FailoverID {
			return errRetryLater
		}
		for id := range databases {
			if _, seen := s.databases[id]; !seen {
				return fmt.Errorf("%w: %s has joined", errRetryLater, id)
			}
		}
		current.Target, current.PlatformCalled, current.Term, current.PauseTerm, current.ChosenPosition = target, true, newestTerm, pauseTerm, position.String()
		if current.Accepted.FailoverID == current.FailoverID && l.MinPosition == "" {
			current.MinPosition, current.WaivedPosition = "", l.WaivedPosition
		}
		removeGone(current, databases, position)
		clearCommitLimits(databases)
		*l = *current
		return nil
	})
	if err == nil {
		m.clearWaitReason(l.Service)
		m.k.Log.Info("next lead chosen", "service", l.Service, "to", target, "superseding", newestTerm, "received", position.String())
	}
	return err
}

// setWaitReason records why a service's failover is waiting, and logs each reason once.
func (m *Manager) setWaitReason(svc, reason string, input ChoiceInput) {
	detail, best := reason, input.mostAdvancedPosition()
	for _, a := range input.mayBeAhead(best) {
		detail += "; " + a.ID
		if a.Gone {
			detail += ", gone"
		}
	}
	if best.Less(input.MinPosition) {
		detail += fmt.Sprintf("; %s was held, %s is left", input.MinPosition, best)
	}
	if reason == acknowledgedCommitMissing {
		detail += fmt.Sprintf("; %s was acknowledged, %s is left", input.AckedLowerBound, best)
	}
	m.mu.Lock()
	unchanged := m.waitReasons[svc] == detail
	m.waitReasons[svc] = detail
	m.mu.Unlock()
	if !unchanged {
		m.k.Log.Info("move waits", append(input.logAttributes(), "service", svc, "why", reason)...)
	}
}

// clearWaitReason records that a service's failover is no longer waiting.
func (m *Manager) clearWaitReason(svc string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waitReasons, svc)
}

// WaitReasons returns, by service, why its failover is waiting.
func (m *Manager) WaitReasons() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.waitReasons)
}

// cancelFailover ends a failover before any database was promoted: the old primary remains the
// leader.
func (m *Manager) cancelFailover(ctx context.Context, l *Leader, why string) error {
	m.clearWaitReason(l.Service)
	m.k.Log.Info("failover cancelled", "service", l.Service, "why", why)
	return m.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && !current.PlatformCalled {
			current.FailoverInProgress, current.Failed = false, false
		}
		return nil
	})
}
