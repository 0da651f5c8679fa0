package failover

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// shutdownGrace is how long a draining database may still receive commits after it has deregistered,
// which it does before it shuts down.
const shutdownGrace = kernel.Second

// notLeaving returns the databases that are not leaving: neither draining nor gone.
func notLeaving(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Draining && !d.Gone })
}

// notGone returns the databases that are not gone.
func notGone(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Gone })
}

func filter(dbs []discovery.Database, ok func(discovery.Database) bool) []discovery.Database {
	return slices.DeleteFunc(slices.Clone(dbs), func(d discovery.Database) bool { return !ok(d) })
}

// splitByPaused splits the replicas into those that were paused, at the given positions, and those
// that are absent.
func splitByPaused(replicas []discovery.Database, positions map[string]lineprotocol.Position) (pausedReplicas []PausedReplica, absent []AbsentReplica) {
	for _, d := range replicas {
		if position, ok := positions[d.ID]; ok && !d.Gone {
			pausedReplicas = append(pausedReplicas, PausedReplica{d.ID, position, d.Draining})
			continue
		}
		a := AbsentReplica{ID: d.ID, Gone: d.Gone}
		if limit, ok := lineprotocol.ParsePosition(d.CommitLimit); ok {
			a.CommitLimit = &limit
		}
		absent = append(absent, a)
	}
	return pausedReplicas, absent
}

// recordCommitLimits records the positions at which databases were paused as their commit limits. A
// database that is not leaving gets none, since it may restart at any time and receive commits.
func recordCommitLimits(databases map[string]discovery.Database, positions map[string]lineprotocol.Position) {
	for id, position := range positions {
		if d, ok := databases[id]; ok && (d.Draining || d.Gone) {
			d.CommitLimit = position.String()
			databases[id] = d
		}
	}
}

// clearCommitLimits clears the commit limits of databases that are about to receive commits again.
func clearCommitLimits(databases map[string]discovery.Database) {
	for id, d := range databases {
		if !d.Gone {
			d.CommitLimit = ""
			databases[id] = d
		}
	}
}

// removeGone removes databases that are gone. Any database that is promoted later must hold what
// they may have held, so MinPosition is raised to that: commits up to their commit limits, but not
// past covered, a position that covered every acknowledged commit after they had ended.
func removeGone(l *Leader, databases map[string]discovery.Database, covered lineprotocol.Position) {
	minPosition, _ := lineprotocol.ParsePosition(l.MinPosition)
	for id, d := range databases {
		if !d.Gone {
			continue
		}
		maxHeld := covered
		if limit, ok := lineprotocol.ParsePosition(d.CommitLimit); ok && limit.Less(maxHeld) {
			maxHeld = limit
		}
		if minPosition.Less(maxHeld) {
			minPosition, l.MinPosition = maxHeld, maxHeld.String()
		}
		delete(databases, id)
	}
}

// hasCaughtUpReplica reports whether one of the candidates has received everything that the leader
// held when it was queried, and returns the leader's position at that time. The candidates are sent
// CONTINUE, which returns the same data as STAT but takes no slot.
func (m *Manager) hasCaughtUpReplica(ctx context.Context, leader discovery.Database, candidates []discovery.Database) (bool, lineprotocol.Position, error) {
	leaderRow, err := m.execute(ctx, leader, "STAT")
	if err != nil {
		return false, lineprotocol.Position{}, err
	}
	if !leaderRow.primary {
		return false, lineprotocol.Position{}, errRetryLater
	}
	conns := m.openAll(ctx, filter(candidates, func(d discovery.Database) bool { return m.health.Up(d.ID) }))
	defer closeAll(conns)
	for attempt := 0; attempt < 3 && len(conns) > 0; attempt++ {
		if attempt > 0 {
			time.Sleep(busyRetryInterval.Duration()) // let commits in flight arrive
		}
		for _, row := range m.executeOnAll(conns, "CONTINUE") {
			if !row.primary && !row.received.Less(leaderRow.received) {
				return true, leaderRow.received, nil
			}
		}
	}
	return false, leaderRow.received, nil
}

// reconcileLeaving makes the next failover independent of databases that are leaving, while the
// service has a leader: no replica that is leaving may be the only one to hold a commit. A database
// that is gone is removed, and the position that the leader held after that had ended is recorded.
// A draining replica is paused, and its commit limit recorded, as long as a replica that is not
// draining receives commits; if none does, the draining one receives them again.
func (m *Manager) reconcileLeaving(ctx context.Context, s *snapshot, l Leader) error {
	leader, found := s.databases[l.ID]
	if !found {
		return errRetryLater
	}
	replicas := s.replicas(l.Service, l.ID)
	ended := map[string]bool{}
	for _, d := range replicas {
		ended[d.ID] = d.Gone && (d.CommitLimit != "" || m.elapsedSinceFirst("gone "+d.ID) > shutdownGrace)
	}
	caughtUp, leaderPosition, err := m.hasCaughtUpReplica(ctx, leader, notLeaving(replicas))
	if err != nil {
		return err
	}
	if err := m.updateService(ctx, l.Service, func(current *Leader, databases map[string]discovery.Database) error {
		if current.ID != l.ID {
			return nil
		}
		gone := map[string]discovery.Database{}
		for id, d := range databases {
			if ended[id] {
				gone[id] = d
				delete(databases, id)
			}
		}
		removeGone(current, gone, leaderPosition)
		return nil
	}); err != nil {
		return err
	}
	for id, hasEnded := range ended {
		if hasEnded {
			m.clearAttempt("gone " + id)
		}
	}
	leaving := filter(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !caughtUp {
		return m.resumeLeaving(ctx, l, leaving)
	}
	// A replica with a commit limit receives commits again if a CONTINUE that was sent before it
	// started draining has arrived late, or if it has restarted. Then it is paused again.
	rows := m.executeAll(ctx, filter(leaving, func(d discovery.Database) bool { return d.CommitLimit != "" }), "STAT")
	_, err = m.pauseReplicas(ctx, l, filter(leaving, func(d discovery.Database) bool {
		row, responded := rows[d.ID]
		return d.CommitLimit == "" || responded && row.pausedTerm == 0
	}))
	return err
}

// pauseLeaving pauses the draining replicas as soon as the leader has failed: they may shut down
// before every pooler has released the leader, and then it would not be known how far they got. It
// returns the term at which the replicas are paused.
func (m *Manager) pauseLeaving(ctx context.Context, s *snapshot, l Leader) int64 {
	leaving := filter(s.replicas(l.Service, l.ID), func(d discovery.Database) bool {
		return d.Draining && !d.Gone && d.CommitLimit == "" && m.health.Up(d.ID)
	})
	if len(leaving) == 0 {
		return l.PauseTerm
	}
	pauseTerm, err := m.pauseReplicas(ctx, l, leaving)
	if err != nil {
		m.k.Counters.Add("failover.early_pause_failed", 1)
	}
	return max(pauseTerm, l.PauseTerm)
}

// pauseReplicas pauses replicas, so that they receive no more commits, and records their commit
// limits. It returns the term at which they are paused.
func (m *Manager) pauseReplicas(ctx context.Context, l Leader, replicas []discovery.Database) (pauseTerm int64, err error) {
	conns := m.openAll(ctx, replicas)
	defer closeAll(conns)
	pauseTerm = max(l.Term, l.PauseTerm, loginTerm(conns))
	for _, row := range m.executeOnAll(conns, "STAT") {
		pauseTerm = max(pauseTerm, row.term, row.pausedTerm)
	}
	pauseTerm++
	positions := map[string]lineprotocol.Position{}
	for id, row := range m.executeOnAll(conns, "PAUSE "+strconv.FormatInt(pauseTerm, 10)) {
		if row.pausedTerm == pauseTerm {
			positions[id] = row.received
		}
	}
	if len(positions) < len(conns) {
		m.clearAttempt("leaving " + l.Service) // one of them is the old primary, which has not stepped down yet
	}
	err = m.updateService(ctx, l.Service, func(current *Leader, databases map[string]discovery.Database) error {
		if len(positions) > 0 && current.ID == l.ID && current.FailoverID == l.FailoverID && current.FailoverInProgress == l.FailoverInProgress && current.Target == "" {
			current.PauseTerm = pauseTerm
			recordCommitLimits(databases, positions)
		}
		return nil
	})
	return pauseTerm, err
}

// resumeLeaving resumes paused draining replicas when no other replica receives commits.
func (m *Manager) resumeLeaving(ctx context.Context, l Leader, leaving []discovery.Database) error {
	rows := m.executeAll(ctx, leaving, "STAT")
	paused := filter(leaving, func(d discovery.Database) bool { return d.CommitLimit != "" || rows[d.ID].pausedTerm != 0 })
	if len(paused) == 0 {
		return nil
	}
	err := m.updateService(ctx, l.Service, func(current *Leader, databases map[string]discovery.Database) error {
		if current.ID != l.ID || current.FailoverID != l.FailoverID || current.FailoverInProgress {
			return fmt.Errorf("%w: a failover has begun", errRetryLater)
		}
		clearCommitLimits(databases)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	m.k.Counters.Add("failover.leaving_needed", 1)
	m.executeAll(ctx, paused, "CONTINUE")
	return nil
}
