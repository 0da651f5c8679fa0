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

// shutdownGrace is how long after deregistering a database may still receive commits: it
// deregisters first and then shuts down.
const shutdownGrace = kernel.Second

// remaining returns the databases that are neither draining nor gone.
func remaining(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Draining && !d.Gone })
}

// notGone returns the databases that are not gone.
func notGone(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Gone })
}

func filter(dbs []discovery.Database, ok func(discovery.Database) bool) []discovery.Database {
	return slices.DeleteFunc(slices.Clone(dbs), func(d discovery.Database) bool { return !ok(d) })
}

// splitByPaused splits the replicas into those that are paused, with their positions, and those
// that are absent.
func splitByPaused(replicas []discovery.Database, paused map[string]lineprotocol.Position) (copies []PausedReplica, absent []AbsentReplica) {
	for _, d := range replicas {
		if pos, ok := paused[d.ID]; ok && !d.Gone {
			copies = append(copies, PausedReplica{d.ID, pos, d.Draining})
			continue
		}
		a := AbsentReplica{ID: d.ID, Gone: d.Gone}
		if limit, ok := lineprotocol.ParsePosition(d.Limit); ok {
			a.Limit = &limit
		}
		absent = append(absent, a)
	}
	return copies, absent
}

// recordLimits records the limits of databases that were paused at these positions. A database
// that is neither draining nor gone gets none, since it may restart at any time and receive
// commits.
func recordLimits(known map[string]discovery.Database, paused map[string]lineprotocol.Position) {
	for id, pos := range paused {
		if d, ok := known[id]; ok && (d.Draining || d.Gone) {
			d.Limit = pos.String()
			known[id] = d
		}
	}
}

// clearLimits clears the limits of databases that are about to receive commits again.
func clearLimits(known map[string]discovery.Database) {
	for id, d := range known {
		if !d.Gone {
			d.Limit = ""
			known[id] = d
		}
	}
}

// removeGone removes databases that are gone. Any database that is promoted later must hold what
// they may have held: commits up to their limits, but not past a position that covered every
// acknowledged commit after they had ended.
func removeGone(l *Leader, known map[string]discovery.Database, covered lineprotocol.Position) {
	minPosition, _ := lineprotocol.ParsePosition(l.MinPosition)
	for id, d := range known {
		if !d.Gone {
			continue
		}
		held := covered
		if limit, ok := lineprotocol.ParsePosition(d.Limit); ok && limit.Less(held) {
			held = limit
		}
		if minPosition.Less(held) {
			minPosition, l.MinPosition = held, held.String()
		}
		delete(known, id)
	}
}

// hasCaughtUpReplica reports whether one of the given replicas has received everything that the
// primary held when it was queried, and returns that position. The replicas are sent CONTINUE,
// which returns the same data as STAT and takes no slot.
func (c *Manager) hasCaughtUpReplica(ctx context.Context, leader discovery.Database, candidates []discovery.Database) (bool, lineprotocol.Position, error) {
	row, err := c.execute(ctx, leader, "STAT")
	if err != nil {
		return false, lineprotocol.Position{}, err
	}
	if !row.primary {
		return false, lineprotocol.Position{}, errRetryLater
	}
	conns := c.openAll(ctx, filter(candidates, func(d discovery.Database) bool { return c.health.Up(d.ID) }))
	defer closeAll(conns)
	for tries := 0; tries < 3 && len(conns) > 0; tries++ {
		if tries > 0 {
			time.Sleep(busyRetryInterval.Duration()) // let commits in flight arrive
		}
		for _, r := range c.executeOnAll(conns, "CONTINUE") {
			if !r.primary && !r.received.Less(row.received) {
				return true, row.received, nil
			}
		}
	}
	return false, row.received, nil
}

// reconcileLeaving keeps the next failover from depending on databases that are leaving, while
// the service has a leader: no commit may be held by them alone. One that is gone is removed, and
// what the leader held after it had ended is recorded. One that is draining is paused, and its
// limit recorded, as long as a replica that is not draining receives commits; if none does, it
// receives them again.
func (c *Manager) reconcileLeaving(ctx context.Context, s *snapshot, l Leader) error {
	leader, there := s.databases[l.ID]
	if !there {
		return errRetryLater
	}
	replicas := s.replicas(l.Service, l.ID)
	ended := map[string]bool{}
	for _, d := range replicas {
		ended[d.ID] = d.Gone && (d.Limit != "" || c.elapsedSinceFirst("gone "+d.ID) > shutdownGrace)
	}
	ok, covered, err := c.hasCaughtUpReplica(ctx, leader, remaining(replicas))
	if err != nil {
		return err
	}
	if err := c.updateService(ctx, l.Service, func(current *Leader, known map[string]discovery.Database) error {
		if current.ID != l.ID {
			return nil
		}
		gone := map[string]discovery.Database{}
		for id, d := range known {
			if ended[id] {
				gone[id] = d
				delete(known, id)
			}
		}
		removeGone(current, gone, covered)
		return nil
	}); err != nil {
		return err
	}
	for id, hasEnded := range ended {
		if hasEnded {
			c.clearAttempt("gone " + id)
		}
	}
	leaving := filter(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !ok {
		return c.resumeLeaving(ctx, l, leaving)
	}
	// A replica that has a limit receives commits again if a CONTINUE that was sent before it
	// started draining arrived late, or if it restarted: it is paused again.
	rows := c.executeAll(ctx, filter(leaving, func(d discovery.Database) bool { return d.Limit != "" }), "STAT")
	_, err = c.pauseReplicas(ctx, l, filter(leaving, func(d discovery.Database) bool {
		r, answered := rows[d.ID]
		return d.Limit == "" || answered && r.pausedTerm == 0
	}))
	return err
}

// pauseLeaving pauses draining replicas as soon as the leader has failed: they may shut down
// before every pooler has left the leader, and then nobody could tell what they held. It returns
// the term at which the replicas are paused.
func (c *Manager) pauseLeaving(ctx context.Context, s *snapshot, l Leader) int64 {
	leaving := filter(s.replicas(l.Service, l.ID), func(d discovery.Database) bool {
		return d.Draining && !d.Gone && d.Limit == "" && c.health.Up(d.ID)
	})
	if len(leaving) == 0 {
		return l.PauseTerm
	}
	pauseTerm, err := c.pauseReplicas(ctx, l, leaving)
	if err != nil {
		c.k.Counters.Add("failover.early_pause_failed", 1)
	}
	return max(pauseTerm, l.PauseTerm)
}

// pauseReplicas makes replicas stop receiving commits, at a term that it returns, and records how
// far they got.
func (c *Manager) pauseReplicas(ctx context.Context, l Leader, leaving []discovery.Database) (pauseTerm int64, err error) {
	conns := c.openAll(ctx, leaving)
	defer closeAll(conns)
	pauseTerm = max(l.Term, l.PauseTerm, loginTerm(conns))
	for _, r := range c.executeOnAll(conns, "STAT") {
		pauseTerm = max(pauseTerm, r.term, r.pausedTerm)
	}
	pauseTerm++
	paused := map[string]lineprotocol.Position{}
	for id, r := range c.executeOnAll(conns, "PAUSE "+strconv.FormatInt(pauseTerm, 10)) {
		if r.pausedTerm == pauseTerm {
			paused[id] = r.received
		}
	}
	if len(paused) < len(conns) {
		c.clearAttempt("leaving " + l.Service) // one of them is the old primary, which has not stepped down yet
	}
	err = c.updateService(ctx, l.Service, func(current *Leader, known map[string]discovery.Database) error {
		if len(paused) > 0 && current.ID == l.ID && current.FailoverID == l.FailoverID && current.FailoverInProgress == l.FailoverInProgress && current.To == "" {
			current.PauseTerm = pauseTerm
			recordLimits(known, paused)
		}
		return nil
	})
	return pauseTerm, err
}

// resumeLeaving makes paused draining replicas receive commits again when no other replica does.
func (c *Manager) resumeLeaving(ctx context.Context, l Leader, leaving []discovery.Database) error {
	rows := c.executeAll(ctx, leaving, "STAT")
	paused := filter(leaving, func(d discovery.Database) bool { return d.Limit != "" || rows[d.ID].pausedTerm != 0 })
	if len(paused) == 0 {
		return nil
	}
	err := c.updateService(ctx, l.Service, func(current *Leader, known map[string]discovery.Database) error {
		if current.ID != l.ID || current.FailoverID != l.FailoverID || current.FailoverInProgress {
			return fmt.Errorf("%w: the lead moves", errRetryLater)
		}
		clearLimits(known)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	c.k.Counters.Add("failover.leaving_needed", 1)
	c.executeAll(ctx, paused, "CONTINUE")
	return nil
}
