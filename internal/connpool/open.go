package connpool

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"indigowalk/internal/kernel"
)

// openForWaiters starts opening connections for waiters, up to maxOpen connections to the database.
// The caller holds ps.mu, as it does for evictIdle, makeRoom, openFailed, grantOrIdle and admit.
func (ps *Pools[Want, C]) openForWaiters(p *pool[Want, C], maxOpen int) {
	if ps.k.Clock.Now() < p.atLimitUntil {
		maxOpen = max(1, p.open)
	}
	// Grow gradually, at most doubling the pool: a waiter is served sooner by a connection that becomes
	// free than by a new one if all proxies open many at the same time.
	for _, w := range p.waiters {
		switch {
		case w.opening:
			continue
		case p.opening >= max(1, p.open), p.open+p.opening >= maxOpen && !ps.evictIdle(p), !ps.makeRoom():
			return
		}
		w.opening = true
		p.opening++
		go ps.openFor(p, w)
	}
}

// evictIdle closes the longest-idle connection to the database, to make room for one that suits a
// waiter. It reports whether it closed one; it never does unless the pools are configured to evict.
func (ps *Pools[Want, C]) evictIdle(p *pool[Want, C]) bool {
	if !ps.cfg.Evict || len(p.idle) == 0 {
		return false
	}
	ps.k.Counters.Add("connpool.evicted", 1)
	ps.closeConn(p, p.idle[0].conn)
	p.idle = p.idle[1:]
	return true
}

// makeRoom reports whether one more connection may be opened within the overall limit. At the
// limit it closes the longest-idle connection to any database.
func (ps *Pools[Want, C]) makeRoom() bool {
	if ps.cfg.MaxConnections == 0 || len(ps.origins) < ps.cfg.MaxConnections {
		return true
	}
	var longestIdle *pool[Want, C]
	for _, p := range ps.pools {
		if len(p.idle) > 0 && (longestIdle == nil || p.idle[0].since < longestIdle.idle[0].since) {
			longestIdle = p
		}
	}
	if longestIdle == nil {
		ps.k.Counters.Add("connpool.no_room", 1)
		return false
	}
	ps.closeConn(longestIdle, longestIdle.idle[0].conn)
	longestIdle.idle = longestIdle.idle[1:]
	return true
}

// openFor opens a connection that suits the given waiter. Once open, it goes to the most urgent
// waiter that it suits, which may be another one.
func (ps *Pools[Want, C]) openFor(p *pool[Want, C], w *waiter[Want, C]) {
	ps.mu.Lock()
	ctx, db := ps.ctx, p.db
	ps.mu.Unlock()
	_, generation := ps.health.State(db.ID)
	c, err := ps.cfg.Open(ctx, db, w.want, ps.cfg.OpenTimeout)
	ps.k.Counters.Add("connpool.opened", 1)
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p.opening--
	w.opening = false
	if err != nil {
		ps.openFailed(p, db.ID, generation, err)
		return
	}
	ps.admit(p, c, generation)
	ps.openForWaiters(p, max(1, ps.cfg.MaxPerDatabase(p.db.Service)))
}

// openFailed handles a failed attempt to open a connection. It reports the failure to the health
// monitor, unless the database was at its connection limit, rejected the connection, or was slow to
// log in.
func (ps *Pools[Want, C]) openFailed(p *pool[Want, C], id string, generation int64, err error) {
	if errors.Is(err, ErrConnectionLimit) {
		ps.k.Counters.Add("connpool.capped", 1)
		p.atLimitUntil = ps.k.Clock.Now() + 500*kernel.Millisecond
		if p.open > 0 {
			return // the waiters share the connections that are open
		}
		p.failWaiters(ErrPoolExhausted)
		return
	}
	if errors.Is(err, ErrRejected) {
		ps.k.Counters.Add("connpool.rejected", 1)
		p.failWaiters(ErrRejected)
		return
	}
	if errors.Is(err, ErrNotReady) {
		ps.k.Counters.Add("connpool.slow_logins", 1)
		ps.openForWaiters(p, max(1, ps.cfg.MaxPerDatabase(p.db.Service)))
		return
	}
	ps.k.Counters.Add("connpool.open_failed", 1)
	// If another database was unresponsive at almost the same time, this process's own link may be at
	// fault. A refused connection is certain evidence all the same.
	unresponsive := errors.Is(err, ErrUnresponsive)
	if unresponsive && ps.cfg.SuspectOwnLink && !errors.Is(err, syscall.ECONNREFUSED) && ps.unresponsive.Record(ps.k.Clock.Now(), id) {
		ps.k.Counters.Add("connpool.silence_doubted", 1)
		unresponsive = false
	}
	ps.health.Report(id, generation, unresponsive)
	p.failWaiters(ErrBroken)
}

// grantOrIdle grants a connection to the most urgent waiter that it suits, or else adds it to the idle
// ones.
func (ps *Pools[Want, C]) grantOrIdle(p *pool[Want, C], c C) {
	for i, w := range p.waiters {
		if c.Score(w.want, 0) >= 0 {
			p.waiters = slices.Delete(p.waiters, i, i+1)
			ps.markBorrowed(p, c)
			w.result <- grant[C]{conn: c}
			return
		}
	}
	p.idle = append(p.idle, idleConn[C]{c, ps.k.Clock.Now()})
}

// Check probes the database over a new connection, which it then adds to the pool. CheckPassed
// evaluates the error.
func (ps *Pools[Want, C]) Check(ctx context.Context, id string) error {
	ps.mu.Lock()
	p := ps.pools[id]
	if p == nil {
		ps.mu.Unlock()
		return ErrBroken
	}
	db := p.db
	ps.mu.Unlock()
	up, generation := ps.health.State(id)
	c, err := ps.cfg.Probe(ctx, db, ps.cfg.CheckTimeout)
	if err != nil {
		return err
	}
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if !up {
		generation++ // a successful check begins the next generation
	}
	ps.admit(p, c, generation)
	return nil
}

// CheckPassed reports whether a check that ended with err shows that the database is up: being at its
// connection limit or slow to log in is not a failure.
func CheckPassed(err error) bool {
	return err == nil || errors.Is(err, ErrConnectionLimit) || errors.Is(err, ErrNotReady)
}

// admit adds a new connection to its pool, or closes it if the pool was replaced or removed, or if the
// connection is already broken.
func (ps *Pools[Want, C]) admit(p *pool[Want, C], c C, generation int64) {
	p.open++
	ps.origins[c] = origin[Want, C]{pool: p, id: p.db.ID, address: p.db.Address, generation: generation}
	c.Attach(generation, func(closedLocally, unresponsive bool) { ps.handleBroken(c, closedLocally, unresponsive) })
	if ps.pools[p.db.ID] != p || !c.Alive() {
		ps.closeConn(p, c)
		p.failWaiters(ErrBroken)
		return
	}
	ps.grantOrIdle(p, c)
}
