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

// deregistered is how long after its leaving a database may still receive: it
// tells first and ends then.
const deregistered = kernel.Second

// staying picks the databases that neither drain nor are gone.
func staying(dbs []discovery.Database) []discovery.Database {
	return pick(dbs, func(d discovery.Database) bool { return !d.Draining && !d.Gone })
}

// running picks the databases that are not gone.
func running(dbs []discovery.Database) []discovery.Database {
	return pick(dbs, func(d discovery.Database) bool { return !d.Gone })
}

func pick(dbs []discovery.Database, ok func(discovery.Database) bool) []discovery.Database {
	return slices.DeleteFunc(slices.Clone(dbs), func(d discovery.Database) bool { return !ok(d) })
}

// compare tells the replicas that are paused, with their positions, from those
// that are absent.
func compare(replicas []discovery.Database, paused map[string]lineprotocol.Position) (copies []Copy, absent []Absent) {
	for _, d := range replicas {
		if pos, ok := paused[d.ID]; ok && !d.Gone {
			copies = append(copies, Copy{d.ID, pos, d.Draining})
			continue
		}
		a := Absent{ID: d.ID, Gone: d.Gone}
		if limit, ok := lineprotocol.ParsePosition(d.Limit); ok {
			a.Limit = &limit
		}
		absent = append(absent, a)
	}
	return copies, absent
}

// confine notes the limits of databases that were paused at these positions.
// One that neither drains nor is gone may restart at any time and receive.
func confine(known map[string]discovery.Database, paused map[string]lineprotocol.Position) {
	for id, pos := range paused {
		if d, ok := known[id]; ok && (d.Draining || d.Gone) {
			d.Limit = pos.String()
			known[id] = d
		}
	}
}

// free clears the limits of databases that are about to receive again.
func free(known map[string]discovery.Database) {
	for id, d := range known {
		if !d.Gone {
			d.Limit = ""
			known[id] = d
		}
	}
}

// forget removes databases that are gone. Whoever is promoted later must hold
// what they may have held: up to their limits, and not past a position that
// covered every acknowledged commit after they had ended.
func forget(l *Lead, known map[string]discovery.Database, covered lineprotocol.Position) {
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

// follows tells whether a replica that stays has received what the primary
// held when it was asked, which is told too. Those that stay are told CONTINUE,
// which answers what STAT does and takes no slot.
func (c *Manager) follows(ctx context.Context, lead discovery.Database, stay []discovery.Database) (bool, lineprotocol.Position, error) {
	row, err := c.ask(ctx, lead, "STAT")
	if err != nil {
		return false, lineprotocol.Position{}, err
	}
	if !row.primary {
		return false, lineprotocol.Position{}, errNotYet
	}
	conns := c.openAll(ctx, pick(stay, func(d discovery.Database) bool { return c.health.Up(d.ID) }))
	defer closeAll(conns)
	for tries := 0; tries < 3 && len(conns) > 0; tries++ {
		if tries > 0 {
			time.Sleep(busyPause.Duration()) // what is on its way arrives
		}
		for _, r := range c.sayAll(conns, "CONTINUE") {
			if !r.primary && !r.received.Less(row.received) {
				return true, row.received, nil
			}
		}
	}
	return false, row.received, nil
}

// tend keeps the next move from depending on databases that leave, while the
// service has a lead: no commit is to rest on them alone. One that is gone is
// forgotten, with what the lead held after it had ended. One that drains is
// paused, and its limit noted, as long as a replica that stays receives; if
// none does it receives again.
func (c *Manager) tend(ctx context.Context, s *snapshot, l Lead) error {
	lead, there := s.databases[l.ID]
	if !there {
		return errNotYet
	}
	replicas := s.replicas(l.Service, l.ID)
	ended := map[string]bool{}
	for _, d := range replicas {
		ended[d.ID] = d.Gone && (d.Limit != "" || c.since("gone "+d.ID) > deregistered)
	}
	ok, covered, err := c.follows(ctx, lead, staying(replicas))
	if err != nil {
		return err
	}
	if err := c.edit(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
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
		forget(now, gone, covered)
		return nil
	}); err != nil {
		return err
	}
	for id, forgotten := range ended {
		if forgotten {
			c.again("gone " + id)
		}
	}
	leaving := pick(replicas, func(d discovery.Database) bool { return d.Draining && !d.Gone })
	if !ok {
		return c.letReceive(ctx, l, leaving)
	}
	// One with a limit receives again if a CONTINUE of before its draining came
	// late, or it restarted: it is paused anew.
	rows := c.askAll(ctx, pick(leaving, func(d discovery.Database) bool { return d.Limit != "" }), "STAT")
	_, err = c.pause(ctx, l, pick(leaving, func(d discovery.Database) bool {
		r, answered := rows[d.ID]
		return d.Limit == "" || answered && r.held == 0
	}))
	return err
}

// pauseLeaving pauses, once the lead has failed, the replicas that leave: they may
// end before every pooler has left the lead, and nobody could say then what they
// held. It returns the term at which they are paused.
func (c *Manager) pauseLeaving(ctx context.Context, s *snapshot, l Lead) int64 {
	leaving := pick(s.replicas(l.Service, l.ID), func(d discovery.Database) bool {
		return d.Draining && !d.Gone && d.Limit == "" && c.health.Up(d.ID)
	})
	if len(leaving) == 0 {
		return l.Hold
	}
	hold, err := c.pause(ctx, l, leaving)
	if err != nil {
		c.k.Counters.Add("failover.early_pause_failed", 1)
	}
	return max(hold, l.Hold)
}

// pause has replicas stop receiving, at a term that it returns, and notes how far
// they got.
func (c *Manager) pause(ctx context.Context, l Lead, leaving []discovery.Database) (hold int64, err error) {
	conns := c.openAll(ctx, leaving)
	defer closeAll(conns)
	hold = max(l.Term, l.Hold, loginTerm(conns))
	for _, r := range c.sayAll(conns, "STAT") {
		hold = max(hold, r.term, r.held)
	}
	hold++
	paused := map[string]lineprotocol.Position{}
	for id, r := range c.sayAll(conns, "PAUSE "+strconv.FormatInt(hold, 10)) {
		if r.held == hold {
			paused[id] = r.received
		}
	}
	if len(paused) < len(conns) {
		c.again("tend " + l.Service) // the old primary, which has not stepped down yet
	}
	err = c.edit(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if len(paused) > 0 && now.ID == l.ID && now.Turn == l.Turn && now.Moving == l.Moving && now.To == "" {
			now.Hold = hold
			confine(known, paused)
		}
		return nil
	})
	return hold, err
}

// letReceive has paused replicas receive again, where no other does.
func (c *Manager) letReceive(ctx context.Context, l Lead, leaving []discovery.Database) error {
	rows := c.askAll(ctx, leaving, "STAT")
	held := pick(leaving, func(d discovery.Database) bool { return d.Limit != "" || rows[d.ID].held != 0 })
	if len(held) == 0 {
		return nil
	}
	err := c.edit(ctx, l.Service, func(now *Lead, known map[string]discovery.Database) error {
		if now.ID != l.ID || now.Turn != l.Turn || now.Moving {
			return fmt.Errorf("%w: the lead moves", errNotYet)
		}
		free(known)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	c.k.Counters.Add("failover.leaving_needed", 1)
	c.askAll(ctx, held, "CONTINUE")
	return nil
}
