package connpool

import (
	"context"
	"errors"
	"slices"
	"syscall"

	"indigowalk/internal/kernel"
)

// extend opens connections for those who wait, as far as the share goes.
func (s *Pools[W, C]) extend(p *pool[W, C], share int) {
	if s.k.Clock.Now() < p.fullTil {
		share = max(1, p.open)
	}
	// Step by step: a connection that becomes free serves sooner than one that
	// all poolers open at the same time.
	for _, w := range p.waiting {
		switch {
		case w.opened:
			continue
		case p.opening >= max(1, p.open), p.open+p.opening >= share && !s.evict(p), !s.room():
			return
		}
		w.opened = true
		p.opening++
		go s.openOne(p, w)
	}
}

// evict closes the connection to the database that has been idle for longest, to
// make place for one that suits who waits; it reports whether there was one.
func (s *Pools[W, C]) evict(p *pool[W, C]) bool {
	if !s.cfg.Evict || len(p.idle) == 0 {
		return false
	}
	s.k.Counters.Add("connpool.evicted", 1)
	s.end(p, p.idle[0].c)
	p.idle = p.idle[1:]
	return true
}

// room tells whether one more connection may be opened; if there are as many as
// there may be, the one that has been idle for longest goes.
func (s *Pools[W, C]) room() bool {
	if s.cfg.Most == 0 || len(s.origins) < s.cfg.Most {
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
	s.end(oldest, oldest.idle[0].c)
	oldest.idle = oldest.idle[1:]
	return true
}

// openOne opens a connection for one who waits; whoever is more urgent and suits may
// have it.
func (s *Pools[W, C]) openOne(p *pool[W, C], w *waiter[W, C]) {
	s.mu.Lock()
	ctx, db := s.ctx, p.db
	s.mu.Unlock()
	_, gen := s.health.State(db.ID)
	c, err := s.cfg.Open(ctx, db, w.want, s.cfg.OpenWait)
	s.k.Counters.Add("connpool.opened", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.opening--
	w.opened = false
	if err != nil {
		s.openFailed(p, db.ID, gen, err)
		return
	}
	s.admit(p, c, gen)
	s.extend(p, max(1, s.cfg.Share(p.db.Service)))
}

func (s *Pools[W, C]) openFailed(p *pool[W, C], id string, gen int64, err error) {
	if errors.Is(err, ErrCapped) {
		s.k.Counters.Add("connpool.capped", 1)
		p.fullTil = s.k.Clock.Now() + 500*kernel.Millisecond
		if p.open > 0 {
			return // those who wait get the connections there are
		}
		p.fail(ErrFull)
		return
	}
	if errors.Is(err, ErrRejected) {
		s.k.Counters.Add("connpool.rejected", 1)
		p.fail(ErrRejected)
		return
	}
	if errors.Is(err, ErrSlow) {
		s.k.Counters.Add("connpool.slow_logins", 1)
		s.extend(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.k.Counters.Add("connpool.open_failed", 1)
	sure := errors.Is(err, ErrSilent)
	if sure && s.cfg.Doubt && !errors.Is(err, syscall.ECONNREFUSED) && s.quiet.Note(s.k.Clock.Now(), id) {
		s.k.Counters.Add("connpool.silence_doubted", 1)
		sure = false
	}
	s.health.Report(id, gen, sure)
	p.fail(ErrBroken)
}

func (s *Pools[W, C]) put(p *pool[W, C], c C) {
	for i, w := range p.waiting {
		if c.Fit(w.want, 0) >= 0 {
			p.waiting = slices.Delete(p.waiting, i, i+1)
			s.lend(p, c)
			w.ch <- grant[C]{c: c}
			return
		}
	}
	p.idle = append(p.idle, resting[C]{c, s.k.Clock.Now()})
}

// Check tries whether the database takes a new connection, and keeps it.
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
	c, err := s.cfg.Probe(ctx, db, s.cfg.CheckWait)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !up {
		gen++ // it is opened for the generation that this check begins
	}
	s.admit(p, c, gen)
	return nil
}

// Stands tells whether a check that ended so found the database up: full and
// slow are no faults.
func Stands(err error) bool {
	return err == nil || errors.Is(err, ErrCapped) || errors.Is(err, ErrSlow)
}

// admit puts a new connection into its pool.
func (s *Pools[W, C]) admit(p *pool[W, C], c C, gen int64) {
	p.open++
	s.origins[c] = origin[W, C]{pool: p, id: p.db.ID, address: p.db.Address, generation: gen}
	c.Attach(gen, func(byUs, silent bool) { s.died(c, byUs, silent) })
	if s.pools[p.db.ID] != p || !c.Alive() {
		s.end(p, c)
		p.fail(ErrBroken)
		return
	}
	s.put(p, c)
}
