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
// step. Whoever takes over from this process continues from the recorded state.
func (c *Manager) advanceFailover(ctx context.Context, svc string) error {
	s, err := c.loadSnapshot()
	if err != nil {
		return err
	}
	l := s.leaders[svc]
	if !l.FailoverInProgress {
		if !needsFailover(s.services[svc], l.ID, c.health.Up) {
			return nil
		}
		old, there := s.databases[l.ID]
		failed := !there || old.Gone || !c.health.Up(l.ID)
		if !failed {
			// The leader keeps serving until a replica can take over at once.
			if ok, _, err := c.hasCaughtUpReplica(ctx, old, remaining(s.replicas(svc, l.ID))); err == nil && !ok {
				c.setWaitReason(svc, replicasBehindPrimary, Situation{})
				return errRetryLater
			}
		}
		err := c.updateLeader(ctx, svc, func(l *Leader) error {
			l.FailoverInProgress, l.Failed, l.To, l.ChosenPosition, l.PlatformCalled, l.FailoverID = true, failed, "", "", false, l.FailoverID+1
			return nil
		})
		if err != nil {
			return err
		}
		c.k.Counters.Add("failover.moves", 1)
		c.k.Log.Info("lead moves", "service", svc, "from", l.ID)
		if s, err = c.loadSnapshot(); err != nil {
			return err
		}
		l = s.leaders[svc]
	}
	if l.To == "" {
		if err := c.chooseTarget(ctx, s, &l); err != nil {
			return err
		}
	}
	return c.promote(ctx, s, l)
}

// awaitReadersLeft waits until no pooler can still read at the old primary.
func (c *Manager) awaitReadersLeft(ctx context.Context, l Leader) error {
	for {
		changed := c.readers.Changed()
		ok, wait := c.readers.AllLeft(l.Service, l.FailoverID, c.k.Clock.Now())
		if ok {
			return nil
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// chooseTarget pauses the replicas, compares their positions and makes the choice durable.
func (c *Manager) chooseTarget(ctx context.Context, s *snapshot, l *Leader) error {
	if err := c.awaitReadersAndPauseLeaving(ctx, s, l); err != nil {
		return err
	}
	old, there := s.oldPrimary(*l)
	alive := there && !old.Gone && c.health.Up(old.ID)
	sit, newest := c.situation(ctx, s, *l, old, alive)
	replicas := s.replicas(l.Service, l.ID)
	replicas = slices.DeleteFunc(replicas, func(d discovery.Database) bool { return d.ID == old.ID })
	conns := c.openAll(ctx, notGone(replicas))
	defer closeAll(conns)
	p := c.pauseAll(conns, *l, newest)
	if p.promoted != "" {
		return c.commitChoice(ctx, s, l, p.promoted, l.Term, p.pauseTerm, p.received[p.promoted])
	}
	sit.Copies, sit.Absent = splitByPaused(replicas, p.received)
	l.PauseTerm = p.pauseTerm
	to, refusal := c.decideTarget(l, sit)
	if to != "" {
		return c.commitChoice(ctx, s, l, to, p.newestTerm, p.pauseTerm, p.received[to])
	}
	if refusal == removedMayHaveHeldCommit && (!there || old.Gone) {
		refusal = allHoldersRemoved
	}
	c.setWaitReason(l.Service, refusal, sit)
	if err := c.recordLeavingLimits(ctx, *l, p.received); err != nil {
		return err
	}
	if sit.PrimaryPosition != nil && l.PlatformCalled {
		// The chosen database is lost and the old primary is back: it alone holds everything, and
		// is promoted like any other.
		return c.commitChoice(ctx, s, l, old.ID, p.newestTerm, p.pauseTerm, *sit.PrimaryPosition)
	}
	if sit.PrimaryPosition != nil || alive && !old.Draining { // let the replicas catch up
		c.executeAll(ctx, remaining(replicas), "CONTINUE")
		if !l.PlatformCalled {
			if err := c.cancelFailover(ctx, l, refusal); err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%w: %s", errRetryLater, refusal)
}

// awaitReadersAndPauseLeaving waits until poolers have left the old primary. From then on no
// commit of it is acknowledged to a client, even if a late CONTINUE resumes a replica; what was
// acknowledged before is held by the replicas that are queried. If the old primary has failed,
// draining replicas are paused meanwhile; if it still responds, they are paused only after the
// poolers' outstanding statements there have ended.
func (c *Manager) awaitReadersAndPauseLeaving(ctx context.Context, s *snapshot, l *Leader) error {
	pauseTerm := make(chan int64, 1)
	go func(l Leader) {
		if !l.Failed {
			pauseTerm <- l.PauseTerm
			return
		}
		pauseTerm <- c.pauseLeaving(ctx, s, l)
	}(*l)
	err := c.awaitReadersLeft(ctx, *l)
	l.PauseTerm = <-pauseTerm
	return err
}

// situation returns what is known about the choice before the replicas are queried, and the
// newest known term.
func (c *Manager) situation(ctx context.Context, s *snapshot, l Leader, old discovery.Database, alive bool) (sit Situation, newest int64) {
	sit = Situation{SyncReplicas: s.syncReplicas(l.Service)}
	sit.MinPosition, _ = lineprotocol.ParsePosition(l.MinPosition)
	if position, ok := lineprotocol.ParsePosition(l.ChosenPosition); ok {
		sit.ChosenPosition = &position
	}
	if acked, known := c.readers.AcknowledgedUpperBound(l.Service, l.FailoverID); known {
		sit.AckedUpperBound = &acked
	}
	waived, _ := lineprotocol.ParsePosition(l.Waived)
	if certain, known := c.readers.AcknowledgedLowerBound(l.Service, l.FailoverID); known && waived.Less(certain) {
		sit.AckedLowerBound = &certain
	}
	sit.FirstHeartbeatsElapsed = c.elapsedSinceFirst(fmt.Sprintf("first heartbeats %s %d", l.Service, l.FailoverID)) > c.cfg.FirstHeartbeatTimeout
	newest = l.Term
	if alive {
		if row, err := c.execute(ctx, old, "STAT"); err == nil && row.primary {
			sit.PrimaryPosition, newest = &row.received, max(newest, row.term)
		}
	}
	return sit, newest
}

// pauseResult is what the paused replicas reported.
type pauseResult struct {
	newestTerm int64 // newest term that any of them knows
	pauseTerm  int64 // term at which they are paused
	received   map[string]lineprotocol.Position
	promoted   string // a database promoted in this failover whose promotion was not recorded yet
}

// pauseAll pauses replicas at a new term. PAUSE takes no slot and returns the same data as STAT,
// also at a primary, which it does not pause; the positions received at login contain the terms.
// STAT, for which an overloaded replica has no slot, is sent only to those that are not paused
// then.
func (c *Manager) pauseAll(conns map[string]*dbconn.Conn, l Leader, newest int64) pauseResult {
	p := pauseResult{newestTerm: newest, received: map[string]lineprotocol.Position{}}
	p.pauseTerm = max(newest, l.PauseTerm, loginTerm(conns)) + 1
	rows := c.executeOnAll(conns, "PAUSE "+strconv.FormatInt(p.pauseTerm, 10))
	notPaused := maps.Clone(conns)
	maps.DeleteFunc(notPaused, func(id string, _ *dbconn.Conn) bool { return rows[id].pausedTerm == p.pauseTerm })
	if len(notPaused) > 0 {
		maxPausedTerm := int64(0)
		for id, row := range c.executeOnAll(notPaused, "STAT") {
			if row.primary && l.PlatformCalled && row.term > l.Term {
				p.promoted, p.received[id] = id, row.received
				return p
			}
			p.newestTerm, maxPausedTerm = max(p.newestTerm, row.term), max(maxPausedTerm, row.pausedTerm)
			if row.primary && row.term < l.Term {
				// A former leader that has not learned of its successor.
				c.executeOn(conns[id], "STEPDOWN "+strconv.FormatInt(l.Term, 10))
			}
		}
		p.pauseTerm = max(p.pauseTerm, p.newestTerm, maxPausedTerm) + 1
		rows = c.executeOnAll(conns, "PAUSE "+strconv.FormatInt(p.pauseTerm, 10))
	}
	for id, row := range rows {
		p.newestTerm = max(p.newestTerm, row.term)
		if row.pausedTerm == p.pauseTerm {
			p.received[id] = row.received
		}
	}
	return p
}

// decideTarget chooses a replica, or returns why none can be chosen; a refusal is overridden if
// an operator accepted the loss.
func (c *Manager) decideTarget(l *Leader, sit Situation) (to, refusal string) {
	to, refusal = ChoosePrimary(sit)
	accepted := to == "" && l.Accepted.FailoverID == l.FailoverID && canAcceptLoss(refusal)
	if accepted {
		to = MostAdvanced(sit.Copies)
		l.MinPosition = "" // the operator accepted that these commits may be lost
		if sit.AckedLowerBound != nil {
			l.Waived = sit.AckedLowerBound.String()
		}
		c.k.Log.Warn("chosen though acknowledged commits may be lost", "service", l.Service, "to", to, "why", refusal, "accepted by", l.Accepted.By)
	}
	epoch, _ := c.state.Lease()
	c.k.Recorder.Add(ChoiceKind, Choice{l.Service, epoch, sit, to, accepted})
	if to == "" {
		c.k.Counters.Add("failover.choice_refused", 1)
	}
	return to, refusal
}

// recordLeavingLimits records the limits of leaving databases while there is no leader, so that
// they need not respond afterwards.
func (c *Manager) recordLeavingLimits(ctx context.Context, l Leader, received map[string]lineprotocol.Position) error {
	return c.updateService(ctx, l.Service, func(current *Leader, known map[string]discovery.Database) error {
		if current.FailoverID == l.FailoverID && current.FailoverInProgress && current.To == "" {
			recordLimits(known, received)
		}
		return nil
	})
}

// commitChoice makes the choice durable, unless a database has joined since the snapshot on which
// it is based. The promotion lets every replica receive commits again, so no limit remains valid
// except those of databases that are gone.
func (c *Manager) commitChoice(ctx context.Context, s *snapshot, l *Leader, to string, newest, pauseTerm int64, position lineprotocol.Position) error {
	err := c.updateService(ctx, l.Service, func(current *Leader, known map[string]discovery.Database) error {
		if !current.FailoverInProgress || current.FailoverID != l.FailoverID {
			return errRetryLater
		}
		for id := range known {
			if _, seen := s.databases[id]; !seen {
				return fmt.Errorf("%w: %s has joined", errRetryLater, id)
			}
		}
		current.To, current.PlatformCalled, current.Term, current.PauseTerm, current.ChosenPosition = to, true, newest, pauseTerm, position.String()
		if current.Accepted.FailoverID == current.FailoverID && l.MinPosition == "" {
			current.MinPosition, current.Waived = "", l.Waived
		}
		removeGone(current, known, position)
		clearLimits(known)
		*l = *current
		return nil
	})
	if err == nil {
		c.clearWaitReason(l.Service)
		c.k.Log.Info("next lead chosen", "service", l.Service, "to", to, "superseding", newest, "received", position.String())
	}
	return err
}

// setWaitReason records why a service's failover is waiting, and logs each reason once.
func (c *Manager) setWaitReason(svc, reason string, sit Situation) {
	detail, best := reason, sit.mostAdvancedPosition()
	for _, a := range sit.mayBeAhead(best) {
		detail += "; " + a.ID
		if a.Gone {
			detail += ", gone"
		}
	}
	if best.Less(sit.MinPosition) {
		detail += fmt.Sprintf("; %s was held, %s is left", sit.MinPosition, best)
	}
	if reason == acknowledgedCommitMissing {
		detail += fmt.Sprintf("; %s was acknowledged, %s is left", sit.AckedLowerBound, best)
	}
	c.mu.Lock()
	unchanged := c.waitReasons[svc] == detail
	c.waitReasons[svc] = detail
	c.mu.Unlock()
	if !unchanged {
		c.k.Log.Info("move waits", "service", svc, "why", reason, "answered", sit.Copies, "absent", sit.Absent, "least", sit.MinPosition.String(), "acked", positionText(sit.AckedUpperBound), "certain", positionText(sit.AckedLowerBound))
	}
}

// clearWaitReason records that a service's failover is no longer waiting.
func (c *Manager) clearWaitReason(svc string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waitReasons, svc)
}

// WaitReasons returns, by service, why its failover is waiting.
func (c *Manager) WaitReasons() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.waitReasons)
}

// cancelFailover ends a failover before any database was promoted, because the old primary still
// serves.
func (c *Manager) cancelFailover(ctx context.Context, l *Leader, why string) error {
	c.clearWaitReason(l.Service)
	c.k.Log.Info("failover cancelled", "service", l.Service, "why", why)
	return c.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && !current.PlatformCalled {
			current.FailoverInProgress, current.Failed = false, false
		}
		return nil
	})
}
