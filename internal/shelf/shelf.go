package shelf

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/accessions"
	"indigowalk/internal/conservator"
	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
)

// Config is what a shelf is built from.
type Config struct {
	Dialer    Dialer
	OpenWait  foundation.Micros // for a log-in
	CheckWait foundation.Micros // for the log-in of a check
	IdleFor   foundation.Micros // after which a spare connection is closed
	UnusedFor foundation.Micros // after which a database is left without any
	Share     func(service string) int
}

// Shelf holds this desk's server connections to all databases.
type Shelf struct {
	k      *foundation.Kernel
	cfg    Config
	health *conservator.Conservator

	mu    sync.Mutex
	ctx   context.Context
	pools map[string]*pool
}

type pool struct {
	db      accessions.Database
	idle    []*Conn
	open    int // connections there are, borrowed ones included
	opening int
	waiting []*waiter
	fullTil foundation.Micros // the database refused more connections
}

type waiter struct {
	prio int
	ch   chan grant
}

type grant struct {
	c   *Conn
	err error
}

// New returns an empty shelf.
func New(k *foundation.Kernel, cfg Config, health *conservator.Conservator) *Shelf {
	return &Shelf{k: k, cfg: cfg, health: health, ctx: context.Background(), pools: map[string]*pool{}}
}

// Stock names the databases there are; connections to others are closed once
// they are idle.
func (s *Shelf) Stock(dbs map[string]accessions.Database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range dbs {
		p := s.pools[id]
		if p == nil {
			s.pools[id] = &pool{db: d}
			continue
		}
		if p.db.Address != d.Address || p.db.Service != d.Service {
			p.closeIdle()
		}
		p.db = d
	}
	for id, p := range s.pools {
		if _, ok := dbs[id]; !ok {
			p.fail(ErrBroken)
			p.closeIdle()
			delete(s.pools, id)
			s.health.Forget(id)
		}
	}
}

func (p *pool) closeIdle() {
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}

func (p *pool) fail(err error) {
	for _, w := range p.waiting {
		w.ch <- grant{nil, err}
	}
	p.waiting = nil
}

// Busy returns how many connections to the database are borrowed or awaited.
func (s *Shelf) Busy(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[id]; p != nil {
		return p.open - len(p.idle) + len(p.waiting)
	}
	return 0
}

// Idle tells whether a connection to the database waits for use.
func (s *Shelf) Idle(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[id]
	return p != nil && len(p.idle) > 0
}

// Counts returns the open and idle connections by database.
func (s *Shelf) Counts() map[string][2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][2]int{}
	for id, p := range s.pools {
		out[id] = [2]int{p.open, len(p.idle)}
	}
	return out
}

// queueFactor bounds those who wait for a connection, per connection allowed.
const queueFactor = 6

// Borrow hands out a connection to the database, one with the wanted values
// if it can, within the span. ErrFull says that the queue is full of others
// as urgent, ErrDeadline that none came free in time.
func (s *Shelf) Borrow(id string, prio int, values map[string]string, wait foundation.Micros) (*Conn, error) {
	s.mu.Lock()
	p := s.pools[id]
	if p == nil {
		s.mu.Unlock()
		return nil, ErrBroken
	}
	if c := p.take(values); c != nil {
		s.mu.Unlock()
		return c, nil
	}
	share := max(1, s.cfg.Share(p.db.Service))
	if len(p.waiting) >= queueFactor*share && !p.displace(prio) {
		s.mu.Unlock()
		s.k.Counters.Add("shelf.queue_full", 1)
		return nil, ErrFull
	}
	w := &waiter{prio, make(chan grant, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, prio, func(o *waiter, prio int) int {
		if o.prio <= prio {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, at, w)
	s.extend(p, share)
	s.mu.Unlock()

	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case g := <-w.ch:
		return g.c, g.err
	case <-t.C:
	}
	s.mu.Lock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		s.mu.Unlock()
		return nil, ErrDeadline
	}
	s.mu.Unlock()
	g := <-w.ch // it was granted at the last moment
	return g.c, g.err
}

// displace makes room by refusing the least urgent, if less urgent than prio.
func (p *pool) displace(prio int) bool {
	last := len(p.waiting) - 1
	if last < 0 || p.waiting[last].prio <= prio {
		return false
	}
	p.waiting[last].ch <- grant{nil, ErrFull}
	p.waiting = p.waiting[:last]
	return true
}

// take picks an idle connection: one with the same values, else a clean one,
// else the one used last.
func (p *pool) take(values map[string]string) *Conn {
	best, rank := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		r := 0
		switch {
		case maps.Equal(c.values, values):
			r = 2
		case len(c.values) == 0:
			r = 1
		}
		if c.Alive() && r > rank {
			best, rank = i, r
		}
	}
	if best < 0 {
		return nil
	}
	c := p.idle[best]
	p.idle = slices.Delete(p.idle, best, best+1)
	return c
}

// extend opens connections for those who wait, as far as the share goes.
func (s *Shelf) extend(p *pool, share int) {
	if s.k.Clock.Now() < p.fullTil {
		share = max(1, p.open)
	}
	// Step by step: a connection that becomes free serves sooner than one that
	// all desks open at the same time.
	for p.opening < min(len(p.waiting), max(1, p.open)) && p.open+p.opening < share {
		p.opening++
		go s.openOne(p)
	}
}

func (s *Shelf) openOne(p *pool) {
	s.mu.Lock()
	ctx, db := s.ctx, p.db
	s.mu.Unlock()
	_, gen := s.health.State(db.ID)
	c, err := s.cfg.Dialer.Open(ctx, db, s.cfg.OpenWait)
	s.k.Counters.Add("shelf.opened", 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.opening--
	if err != nil {
		s.openFailed(p, db.ID, gen, err)
		return
	}
	s.admit(p, c, gen)
	s.extend(p, max(1, s.cfg.Share(p.db.Service)))
}

func (s *Shelf) openFailed(p *pool, id string, gen int64, err error) {
	if errors.Is(err, ErrRejected) {
		s.k.Counters.Add("shelf.rejected", 1)
		if isFull(err) {
			p.fullTil = s.k.Clock.Now() + 500*foundation.Millisecond
			if p.open > 0 {
				return // those who wait get the connections there are
			}
			p.fail(ErrFull)
			return
		}
		p.fail(ErrRejected)
		return
	}
	if errors.Is(err, ErrSlow) {
		s.k.Counters.Add("shelf.slow_logins", 1)
		s.extend(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.k.Counters.Add("shelf.open_failed", 1)
	s.health.Report(id, gen, errors.Is(err, ErrSilent))
	p.fail(ErrBroken)
}

// isFull tells a database's MAXCONN from other refusals.
func isFull(err error) bool {
	return errors.Is(err, ErrRejected) && strings.Contains(err.Error(), folio.MaxConn)
}

func (s *Shelf) put(p *pool, c *Conn) {
	if len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		w.ch <- grant{c, nil}
		return
	}
	c.idleAt = s.k.Clock.Now()
	p.idle = append(p.idle, c)
}

// Return gives a connection back. Only one in state I, with every answer
// taken, can serve others; any other is closed, which rolls back.
func (s *Shelf) Return(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := c.home
	c.mu.Lock()
	clean := c.waiting == 0 && !c.closed
	c.mu.Unlock()
	surplus := p.open > max(1, s.cfg.Share(p.db.Service)) // other desks have come
	if surplus || s.pools[c.DB.ID] != p || c.state != 'I' || !clean || !c.Alive() || p.db.Address != c.DB.Address {
		c.Close()
		p.open--
		s.extend(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.put(p, c)
}

// died is called when a connection broke. One that was idle is dropped here;
// a borrowed one by whoever returns it.
func (s *Shelf) died(c *Conn, byUs bool) {
	s.mu.Lock()
	p := c.home
	if i := slices.Index(p.idle, c); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		p.open--
	}
	known := s.pools[c.DB.ID] == p && !p.db.Draining
	s.mu.Unlock()
	if !byUs && known {
		s.k.Counters.Add("shelf.broken", 1)
		s.health.Report(c.DB.ID, c.Generation, c.silent)
	}
}

// Check tries whether the database takes a new connection, and keeps it.
func (s *Shelf) Check(ctx context.Context, id string) bool {
	s.mu.Lock()
	p := s.pools[id]
	if p == nil {
		s.mu.Unlock()
		return false
	}
	db := p.db
	s.mu.Unlock()
	up, gen := s.health.State(id)
	c, err := s.cfg.Dialer.Open(ctx, db, s.cfg.CheckWait)
	if err != nil {
		return isFull(err) || errors.Is(err, ErrSlow)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !up {
		gen++ // it is opened for the generation that this check begins
	}
	s.admit(p, c, gen)
	return true
}

// admit puts a new connection into its pool.
func (s *Shelf) admit(p *pool, c *Conn, gen int64) {
	c.Generation, c.home = gen, p
	c.mu.Lock()
	c.onDead = s.died
	c.mu.Unlock()
	p.open++
	if s.pools[p.db.ID] != p || !c.Alive() {
		c.Close()
		p.open--
		p.fail(ErrBroken)
		return
	}
	s.put(p, c)
}

// Serve closes spare connections and refuses those who wait for a database
// that went down.
func (s *Shelf) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	tick := time.NewTicker(foundation.Second.Duration())
	defer tick.Stop()
	for {
		changed := s.health.Changed()
		down := s.health.Down()
		s.mu.Lock()
		for id := range down {
			if p := s.pools[id]; p != nil {
				p.fail(ErrBroken)
				p.closeIdle()
			}
		}
		s.closeSpare()
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

func (s *Shelf) closeSpare() {
	now := s.k.Clock.Now()
	for _, p := range s.pools {
		share := max(1, s.cfg.Share(p.db.Service))
		if n := len(p.idle); n > 0 && n == p.open && now-p.idle[n-1].idleAt > s.cfg.UnusedFor {
			p.closeIdle()
		}
		for len(p.idle) > 1 && now-p.idle[0].idleAt > s.cfg.IdleFor || len(p.idle) > 0 && p.open > share {
			p.idle[0].Close()
			p.idle = p.idle[1:]
			p.open--
		}
	}
}
