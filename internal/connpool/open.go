package connpool

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"indigowalk/internal/kernel"
)

// openForWaiters starts opening connections for waiters, within the share.
func (s *Pools[W, C]) openForWaiters(p *pool[W, C], share int) {
	if s.k.Clock.Now() < p.atLimitUntil {
		share = max(1, p.open)
	}
	// Grow gradually: a connection that becomes free serves a waiter sooner than one that
	// all proxies open at the same time.
	for _, w := range p.waiting {
		switch {
		case w.opening:
			continue
		case p.opening >= max(1, p.open), p.open+p.opening >= share && !s.evictIdle(p), !s.makeRoom():
			return
		}
		w.opening = true
		p.opening++
		go s.openFor(p, w)
	}
}

// evictIdle closes the longest-idle connection to the database, to make room for one that suits a
// waiter. It reports whether there was one to close.
func (s *Pools[W, C]) evictIdle(p *pool[W, C]) bool {
	if !s.cfg.Evict || len(p.idle) == 0 {
		return false
	}
	s.k.Counters.Add("connpool.evicted", 1)
	s.closeConn(p, p.idle[0].c)
	p.idle = p.idle[1:]
	return true
}

// makeRoom reports whether one more connection may be opened within the overall limit. At the
// limit it closes the longest-idle connection to any database.
func (s *Pools[W, C]) makeRoom() bool {
	if s.cfg.MaxConnections == 0 || len(s.origins) < s.cfg.MaxConnections {
		return true
	}
	var oldest *pool[W, C]
	for _, p := range s.pools {
		if len(p.idle) > 0 && (oldest == nil || p.idle[0].since < oldest.idle[0].since) {
			oldest = p
		}
	}
	if oldest == nil {
		s.k.Counters.Add("connpool.no_room", 1)
		return false
	}
	s.closeConn(oldest, oldest.idle[0].c)
	oldest.idle = oldest.idle[1:]
	return true
}

// openFor opens a connection as one waiter needs it. Once open, it goes to the most urgent
// waiter that it suits.
func (s *Pools[W, C]) openFor(p *pool[W, C], w *waiter[W, C]) {
	s.mu.Lock()
	ctx, db := s.ctx, p.db
	s.mu.Unlock()
	_, gen := s.health.State(db.ID)
	c, err := s.cfg.Open(ctx, db, w.want, s.cfg.OpenTimeout)
	s.k.Counters.Add("connpool.opened", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.opening--
	w.opening = false
	if err != nil {
		s.openFailed(p, db.ID, gen, err)
		return
	}
	s.admit(p, c, gen)
	s.openForWaiters(p, max(1, s.cfg.Share(p.db.Service)))
}

// openFailed handles a failed attempt to open a connection. A database at its connection limit, a
// rejection and a slow log-in are not reported to the health monitor; other failures are.
func (s *Pools[W, C]) openFailed(p *pool[W, C], id string, gen int64, err error) {
	if errors.Is(err, ErrConnectionLimit) {
		s.k.Counters.Add("connpool.capped", 1)
		p.atLimitUntil = s.k.Clock.Now() + 500*kernel.Millisecond
		if p.open > 0 {
			return // the waiters share the connections that are open
		}
		p.failWaiters(ErrPoolExhausted)
		return
	}
	if errors.Is(err, ErrRejected) {
		s.k.Counters.Add("connpool.rejected", 1)
		p.failWaiters(ErrRejected)
		return
	}
	if errors.Is(err, ErrNotReady) {
		s.k.Counters.Add("connpool.slow_logins", 1)
		s.openForWaiters(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.k.Counters.Add("connpool.open_failed", 1)
	unresponsive := errors.Is(err, ErrUnresponsive)
	if unresponsive && s.cfg.SuspectOwnLink && !errors.Is(err, syscall.ECONNREFUSED) && s.unresponsive.Record(s.k.Clock.Now(), id) {
		s.k.Counters.Add("connpool.silence_doubted", 1)
		unresponsive = false
	}
	s.health.Report(id, gen, unresponsive)
	p.failWaiters(ErrBroken)
}

// grantOrIdle hands a connection to the most urgent waiter that it suits, or makes it idle.
func (s *Pools[W, C]) grantOrIdle(p *pool[W, C], c C) {
	for i, w := range p.waiting {
		if c.Fit(w.want, 0) >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			s.markLent(p, c)
			w.ch <- grant[C]{c: c}
			return
		}
	}
	p.idle = append(p.idle, idleConn[C]{c, s.k.Clock.Now()})
}

// Check tests whether the database accepts a new connection, and adds that connection to the pool.
func (s *Pools[W, C]) Check(ctx context.Context, id string) error {
	s.mu.Lock()
	p := s.pools[id]
	if p == nil {
		s.mu.Unlock()
		return ErrBroken
	}
	db := p.db
	s.mu.Unlock()
	up, gen := s.health.State(id)
	c, err := s.cfg.Probe(ctx, db, s.cfg.CheckTimeout)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !up {
		gen++ // a successful check begins the next generation
	}
	s.admit(p, c, gen)
	return nil
}

// CheckPassed reports whether a check that ended with err shows that the database is up: being at its
// connection limit or slow to log in is not a failure.
func CheckPassed(err error) bool {
	return err == nil || errors.Is(err, ErrConnectionLimit) || errors.Is(err, ErrNotReady)
}

// admit adds a new connection to its pool.
func (s *Pools[W, C]) admit(p *pool[W, C], c C, gen int64) {
	p.open++
	s.origins[c] = origin[W, C]{pool: p, id: p.db.ID, address: p.db.Address, generation: gen}
	c.Attach(gen, func(byUs, unresponsive bool) { s.handleBroken(c, byUs, unresponsive) })
	if s.pools[p.db.ID] != p || !c.Alive() {
		s.closeConn(p, c)
		p.failWaiters(ErrBroken)
		return
	}
	s.grantOrIdle(p, c)
}
