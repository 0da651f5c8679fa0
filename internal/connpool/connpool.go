// Package connpool keeps a node's connections to databases, whatever they speak:
// capped, shared, opened step by step and handed to who is most urgent.
package connpool

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
)

// Errors of this layer.
var (
	ErrBroken   = errors.New("connpool: connection broken")
	ErrSilent   = errors.New("connpool: database silent or refusing connections")
	ErrSlow     = errors.New("connpool: database connected but slow to be ready")
	ErrFull     = errors.New("connpool: no connection free")
	ErrCapped   = errors.New("connpool: database takes no more connections")
	ErrDeadline = errors.New("connpool: deadline passed")
	ErrRejected = errors.New("connpool: database rejects the connection")
)

// Line is a connection as the pools need it. W is what a borrower may wish of
// one.
type Line[W any] interface {
	comparable
	Alive() bool
	Close()
	// Clean tells whether it can serve others now.
	Clean() bool
	// Fit tells how well one that has been idle for so long suits; below 0 it
	// does not.
	Fit(want W, idle kernel.Micros) int
	// Attach names the generation under which it was opened, and whom to tell
	// when it breaks.
	Attach(generation int64, died func(byUs, silent bool))
}

// Share tells how many connections a node may hold to one database of a
// service.
type Share func(service string) int

// Counts tells the open and idle connections by database.
type Counts func() map[string][2]int

// Updater takes the databases there are.
type Updater func(map[string]discovery.Database)

// Config is what pools are built from.
type Config[W, C any] struct {
	Open      func(ctx context.Context, db discovery.Database, want W, wait kernel.Micros) (C, error)
	Probe     func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) // Open's for no want, if nil
	OpenWait  kernel.Micros                                                                   // for a log-in
	CheckWait kernel.Micros                                                                   // for the log-in of a check
	IdleFor   kernel.Micros                                                                   // after which a spare connection is closed, if others are left
	UnusedFor kernel.Micros                                                                   // after which a database is left without any
	Share     func(service string) int
	Most      int  // connections to all databases together, 0 for no bound
	Evict     bool // an idle connection that suits nobody makes place for one that does
	Doubt     bool // of several silent databases the node's own link is suspected first
}

// Pools hold this node's connections to all databases.
type Pools[W any, C Line[W]] struct {
	k      *kernel.Kernel
	cfg    Config[W, C]
	health *health.Monitor

	mu      sync.Mutex
	ctx     context.Context
	pools   map[string]*pool[W, C]
	origins map[C]origin[W, C] // of every open connection
	quiet   Silences
	// unknown are the databases that were held as down and not known at the last look.
	unknown map[string]bool
}

// origin is where a connection belongs.
type origin[W, C any] struct {
	pool       *pool[W, C]
	lent       bool
	id         string
	address    string
	generation int64
}

type pool[W, C any] struct {
	db      discovery.Database
	idle    []resting[C]
	open    int // connections there are, borrowed ones included
	lent    int
	opening int
	waiting []*waiter[W, C]
	fullTil kernel.Micros // the database refused more connections
}

type resting[C any] struct {
	c     C
	since kernel.Micros
}

type waiter[W, C any] struct {
	prio   int
	want   W
	opened bool // a connection is being made for it
	ch     chan grant[C]
}

type grant[C any] struct {
	c   C
	err error
}

// New returns empty pools.
func New[W any, C Line[W]](k *kernel.Kernel, cfg Config[W, C], health *health.Monitor) *Pools[W, C] {
	if cfg.Probe == nil {
		cfg.Probe = func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) {
			var any W
			return cfg.Open(ctx, db, any, wait)
		}
	}
	s := &Pools[W, C]{
		k: k, cfg: cfg, health: health, ctx: context.Background(), pools: map[string]*pool[W, C]{}, origins: map[C]origin[W, C]{},
	}
	k.Counters.Observable("connpool.open", s.openConnections)
	health.SetKnown(map[string]bool{}) // none is known before the first Stock
	return s
}

// openConnections is how many connections there are, to all databases.
func (s *Pools[W, C]) openConnections() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.origins))
}

// Stock names the databases there are; connections to others are closed once
// they are idle.
func (s *Pools[W, C]) Stock(dbs map[string]discovery.Database) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, d := range dbs {
		p := s.pools[id]
		if p == nil {
			s.pools[id] = &pool[W, C]{db: d}
			continue
		}
		if p.db.Address != d.Address || p.db.Service != d.Service {
			s.closeIdle(p)
		}
		p.db = d
	}
	known := make(map[string]bool, len(dbs))
	for id := range dbs {
		known[id] = true
	}
	for id, p := range s.pools {
		if !known[id] {
			p.fail(ErrBroken)
			s.closeIdle(p)
			delete(s.pools, id)
		}
	}
	s.health.SetKnown(known)
}

func (s *Pools[W, C]) closeIdle(p *pool[W, C]) {
	for _, r := range p.idle {
		s.end(p, r.c)
	}
	p.idle = nil
}

// end closes a connection that is neither borrowed nor idle any more.
func (s *Pools[W, C]) end(p *pool[W, C], c C) {
	c.Close()
	p.open--
	delete(s.origins, c)
}

func (p *pool[W, C]) fail(err error) {
	for _, w := range p.waiting {
		w.ch <- grant[C]{err: err}
	}
	p.waiting = nil
}

// Busy returns how many connections to the database are borrowed or awaited.
func (s *Pools[W, C]) Busy(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[id]; p != nil {
		return p.open - len(p.idle) + len(p.waiting)
	}
	return 0
}

// Idle tells whether a connection to the database that suits waits for use.
func (s *Pools[W, C]) Idle(id string, want W) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[id]
	return p != nil && slices.ContainsFunc(p.idle, func(r resting[C]) bool { return r.c.Fit(want, 0) >= 0 })
}

// Counts returns the open and idle connections by database.
func (s *Pools[W, C]) Counts() map[string][2]int {
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

// Borrow hands out a connection to the database, the one that suits best, within
// the span. ErrFull says that the queue is full of others
// as urgent, ErrDeadline that none came free in time.
func (s *Pools[W, C]) Borrow(id string, prio int, want W, wait kernel.Micros) (c C, err error) {
	s.mu.Lock()
	p := s.pools[id]
	if p == nil {
		s.mu.Unlock()
		return c, ErrBroken
	}
	if c, ok := s.take(p, want); ok {
		s.lend(p, c)
		s.mu.Unlock()
		return c, nil
	}
	share := max(1, s.cfg.Share(p.db.Service))
	if len(p.waiting) >= queueFactor*share && !p.displace(prio) {
		s.mu.Unlock()
		s.k.Counters.Add("connpool.queue_full", 1)
		return c, ErrFull
	}
	w := &waiter[W, C]{prio: prio, want: want, ch: make(chan grant[C], 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, prio, func(o *waiter[W, C], prio int) int {
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
		return c, ErrDeadline
	}
	s.mu.Unlock()
	g := <-w.ch // it was granted at the last moment
	return g.c, g.err
}

// displace makes room by refusing the least urgent, if less urgent than prio.
func (p *pool[W, C]) displace(prio int) bool {
	last := len(p.waiting) - 1
	if last < 0 || p.waiting[last].prio <= prio {
		return false
	}
	p.waiting[last].ch <- grant[C]{err: ErrFull}
	p.waiting = p.waiting[:last]
	return true
}

// take picks the idle connection that fits best, and of those the one used
// last. Those that suit nobody any more are closed.
func (s *Pools[W, C]) take(p *pool[W, C], want W) (c C, ok bool) {
	now := s.k.Clock.Now()
	best, fit := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		r := p.idle[i]
		if f := r.c.Fit(want, now-r.since); r.c.Alive() && f > fit {
			best, fit = i, f
		}
	}
	if best < 0 {
		return c, false
	}
	c = p.idle[best].c
	p.idle = slices.Delete(p.idle, best, best+1)
	return c, true
}

// Return gives a connection back. Only a clean one can serve others; any other
// is closed.
func (s *Pools[W, C]) Return(c C) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.takeBack(c)
	p := at.pool
	surplus := p.open > max(1, s.cfg.Share(p.db.Service)) // others have come
	if surplus || s.pools[at.id] != p || !c.Clean() || !c.Alive() || p.db.Address != at.address {
		s.end(p, c)
		s.extend(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.put(p, c)
	if len(p.waiting) > 0 {
		s.extend(p, max(1, s.cfg.Share(p.db.Service)))
	}
}

// died is called when a connection broke. One that was idle is dropped here;
// a borrowed one by whoever returns it.
func (s *Pools[W, C]) died(c C, byUs, silent bool) {
	s.mu.Lock()
	at, open := s.origins[c]
	if !open {
		s.mu.Unlock()
		return
	}
	p := at.pool
	if i := slices.IndexFunc(p.idle, func(r resting[C]) bool { return r.c == c }); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		s.end(p, c)
	}
	known := s.pools[at.id] == p && !p.db.Draining
	s.mu.Unlock()
	if !byUs && known {
		s.k.Counters.Add("connpool.broken", 1)
		s.health.Report(at.id, at.generation, silent)
	}
}

// Generation is that of the database when the connection was opened.
func (s *Pools[W, C]) Generation(c C) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins[c].generation
}

// Serve closes spare connections and refuses those who wait for a database
// that went down.
func (s *Pools[W, C]) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	tick := time.NewTicker(kernel.Second.Duration())
	defer tick.Stop()
	for {
		changed := s.health.Changed()
		down := s.health.Down()
		s.mu.Lock()
		for id := range down {
			if p := s.pools[id]; p != nil {
				p.fail(ErrBroken)
				s.closeIdle(p)
			}
		}
		s.closeSpare()
		s.watchDown(down)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

func (s *Pools[W, C]) closeSpare() {
	now := s.k.Clock.Now()
	for _, p := range s.pools {
		share := max(1, s.cfg.Share(p.db.Service))
		if n := len(p.idle); n > 0 && n == p.open && now-p.idle[n-1].since > s.cfg.UnusedFor {
			s.closeIdle(p)
		}
		for len(p.idle) > 1 && now-p.idle[0].since > s.cfg.IdleFor || len(p.idle) > 0 && p.open > share {
			s.end(p, p.idle[0].c)
			p.idle = p.idle[1:]
		}
	}
}
