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

// shutdownGrace is how long after its leaving a database may still receive: it
// tells first and ends then.
const shutdownGrace = kernel.Second

// remaining picks the databases that neither drain nor are gone.
func remaining(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Draining && !d.Gone })
}

// notGone picks the databases that are not gone.
func notGone(dbs []discovery.Database) []discovery.Database {
	return filter(dbs, func(d discovery.Database) bool { return !d.Gone })
}

func filter(dbs []discovery.Database, ok func(discovery.Database) bool) []discovery.Database {
	return slices.DeleteFunc(slices.Clone(dbs), func(d discovery.Database) bool { return !ok(d) })
}

// splitByPaused tells the replicas that are paused, with their positions, from those
// that are absent.
func splitByPaused(replicas []discovery.Database, paused map[string]lineprotocol.Position) (copies []Copy, absent []AbsentReplica) {
	for _, d := range replicas {
		if pos, ok := paused[d.ID]; ok && !d.Gone {
			copies = append(copies, Copy{d.ID, pos, d.Draining})
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

// recordLimits notes the limits of databases that were paused at these positions.
// One that neither drains nor is gone may restart at any time and receive.
func recordLimits(known map[string]discovery.Database, paused map[string]lineprotocol.Position) {
	for id, pos := range paused {
		if d, ok := known[id]; ok && (d.Draining || d.Gone) {
			d.Limit = pos.String()
			known[id] = d
		}
	}
}

// clearLimits clears the limits of databases that are about to receive again.
func clearLimits(known map[string]discovery.Database) {
	for id, d := range known {
		if !d.Gone {
			d.Limit = ""
			known[id] = d
		}
	}
}

// removeGone removes databases that are gone. Whoever is promoted later must hold
// what they may have held: up to their limits, and not past a position that
// covered every acknowledged commit after they had ended.
func removeGone(l *Lead, known map[string]discovery.Database, covered lineprotocol.Position) {
	least, _ := lineprotocol.ParsePosition(l.Least)
	for id, d := range known {
		if !d.Gone {
			continue
		}
		held := covered
		if limit, ok := lineprotocol.ParsePosition(d.Limit); ok && limit.Less(held) {
			held = limit
		}
		if least.Less(held) {
			least, l.Least = held, held.String()
		}
		delete(known, id)
	}
}

// hasCaughtUpReplica tells whether a replica that stays has received what the primary
// held when it was asked, which is told too. Those that stay are told CONTINUE,
// which answers what STAT does and takes no slot.
func (c *Manager) hasCaughtUpReplica(ctx context.Context, lead discovery.Database, stay []discovery.Database) (bool, lineprotocol.Position, error) {
	row, err := c.execute(ctx, lead, "STAT")
	if err != nil {
		return false, lineprotocol.Position{}, err
	}
	if !row.primary {
		return false, lineprotocol.Position{}, errRetryLater
	}
	conns := c.openAll(ctx, filter(stay, func(d discovery.Database) bool { return c.health.Up(d.ID) }))
	defer closeAll(conns)
	for tries := 0; tries < 3 && len(conns) > 0; tries++ {
		if tries > 0 {
			time.Sleep(busyRetryInterval.Duration()) // what is on its way arrives
		}
		for _, r := range c.executeOnAll(conns, "CONTINUE") {
			if !r.primary && !r.received.Less(row.received) {
				return true, row.received, nil
			}
		}
	}
	return false, row.received, nil
}

// reconcileLeaving keeps the next move from depending on databases that leave, while the
// service has a lead: no commit is to rest on them alone. One that is gone is
// forgotten, with what the lead held after it had ended. One that drains is
// paused, and its limit noted, as long as a replica that stays receives; if
// none does it receives again.
func (c *Manager) reconcileLeaving(ctx context.Context, s *snapshot, l Lead) error {
	lead, there := s.databases[l.ID]
	if !there {
		return errRetryLater
	}
	replicas := s.replicas(l.Service, l.ID)
	ended := map[string]bool{}
	for _, d := range replicas {
		ended[d.ID] = d.Gone && (d.Limit != "" || c.elapsedSinceFirst("gone "+d.ID) > shutdownGrace)
	}
	ok, covered, err := c.hasCaughtUpReplica(ctx, lead, remaining(replicas))
	if err != nil {
		return err
	}
	if err := c.updateService(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if now.ID != l.ID {
			return nil
		}
		gone := map[string]discovery.Database{}
		for id, d := range known {
			if ended[id] {
				gone[id] = d
				delete(known, id)
			}
		}
		removeGone(now, gone, covered)
		return nil
	}); err != nil {
		return err
	}
	for id, forgotten := range ended {
		if forgotten {
			c.clearAttempt("gone " + id)
		}
	}
	leaving := filter(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !ok {
		return c.resumeLeaving(ctx, l, leaving)
	}
	// One with a limit receives again if a CONTINUE of before its draining came
	// late, or it restarted: it is paused anew.
	rows := c.executeAll(ctx, filter(leaving, func(d discovery.Database) bool { return d.Limit != "" }), "STAT")
	_, err = c.pauseReplicas(ctx, l, filter(leaving, func(d discovery.Database) bool {
		r, answered := rows[d.ID]
		return d.Limit == "" || answered && r.pausedTerm == 0
	}))
	return err
}

// pauseLeaving pauses, once the lead has failed, the replicas that leave: they may
// end before every pooler has left the lead, and nobody could say then what they
// held. It returns the term at which they are paused.
func (c *Manager) pauseLeaving(ctx context.Context, s *snapshot, l Lead) int64 {
	leaving := filter(s.replicas(l.Service, l.ID), func(d discovery.Database) bool {
		return d.Draining && !d.Gone && d.Limit == "" && c.health.Up(d.ID)
	})
	if len(leaving) == 0 {
		return l.PauseTerm
	}
	hold, err := c.pauseReplicas(ctx, l, leaving)
	if err != nil {
		c.k.Counters.Add("failover.early_pause_failed", 1)
	}
	return max(hold, l.PauseTerm)
}

// pauseReplicas has replicas stop receiving, at a term that it returns, and notes how far
// they got.
func (c *Manager) pauseReplicas(ctx context.Context, l Lead, leaving []discovery.Database) (hold int64, err error) {
	conns := c.openAll(ctx, leaving)
	defer closeAll(conns)
	hold = max(l.Term, l.PauseTerm, loginTerm(conns))
	for _, r := range c.executeOnAll(conns, "STAT") {
		hold = max(hold, r.term, r.pausedTerm)
	}
	hold++
	paused := map[string]lineprotocol.Position{}
	for id, r := range c.executeOnAll(conns, "PAUSE "+strconv.FormatInt(hold, 10)) {
		if r.pausedTerm == hold {
			paused[id] = r.received
		}
	}
	if len(paused) < len(conns) {
		c.clearAttempt("tend " + l.Service) // the old primary, which has not stepped down yet
	}
	err = c.updateService(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if len(paused) > 0 && now.ID == l.ID && now.Turn == l.Turn && now.Moving == l.Moving && now.To == "" {
			now.PauseTerm = hold
			recordLimits(known, paused)
		}
		return nil
	})
	return hold, err
}

// resumeLeaving has paused replicas receive again, where no other does.
func (c *Manager) resumeLeaving(ctx context.Context, l Lead, leaving []discovery.Database) error {
	rows := c.executeAll(ctx, leaving, "STAT")
	held := filter(leaving, func(d discovery.Database) bool { return d.Limit != "" || rows[d.ID].pausedTerm != 0 })
	if len(held) == 0 {
		return nil
	}
	err := c.updateService(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if now.ID != l.ID || now.Turn != l.Turn || now.Moving {
			return fmt.Errorf("%w: the lead moves", errRetryLater)
		}
		clearLimits(known)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	c.k.Counters.Add("failover.leaving_needed", 1)
	c.executeAll(ctx, held, "CONTINUE")
	return nil
}
