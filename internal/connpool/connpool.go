// Package connpool pools a process's connections to databases, independent of the protocol they
// speak. The pools are capped, shared between sessions and grown gradually; a free connection goes
// to the most urgent waiter it suits.
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

// Errors of connecting to a database and of borrowing a connection.
var (
	ErrBroken          = errors.New("connpool: connection broken")
	ErrUnresponsive    = errors.New("connpool: database unresponsive or refusing connections")
	ErrNotReady        = errors.New("connpool: database accepted the connection but was not ready in time")
	ErrPoolExhausted   = errors.New("connpool: no connection available")
	ErrConnectionLimit = errors.New("connpool: database is at its connection limit")
	ErrDeadline        = errors.New("connpool: deadline exceeded")
	ErrRejected        = errors.New("connpool: database rejected the connection")
)

// Connection is a connection as the pools use it. W describes what a borrower requires or prefers of a
// connection.
type Connection[W any] interface {
	comparable
	Alive() bool
	Close()
	// Reusable reports whether the connection can be handed to another borrower now.
	Reusable() bool
	// Fit scores how well a connection that has been idle for the given time suits a borrower. A
	// negative score means that it must not be used.
	Fit(want W, idle kernel.Micros) int
	// Attach sets the database generation under which the connection was opened, and the callback
	// to run when it breaks.
	Attach(generation int64, onBroken func(byUs, unresponsive bool))
}

// Share returns how many connections this process may hold to one database of a service.
type Share func(service string) int

// Counts returns the numbers of open and idle connections by database.
type Counts func() map[string][2]int

// Updater receives the current set of databases by ID.
type Updater func(map[string]discovery.Database)

// Config configures the pools.
type Config[W, C any] struct {
	Open           func(ctx context.Context, db discovery.Database, want W, wait kernel.Micros) (C, error)
	Probe          func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) // nil: Open with the zero W
	OpenTimeout    kernel.Micros                                                                   // time limit of a log-in
	CheckTimeout   kernel.Micros                                                                   // time limit of the log-in of a health check
	IdleTimeout    kernel.Micros                                                                   // after which an idle connection is closed, if others are left
	UnusedTimeout  kernel.Micros                                                                   // after which the last idle connections to a database are closed too
	Share          func(service string) int
	MaxConnections int  // maximum connections to all databases together, 0 for no limit
	Evict          bool // close an idle connection that suits no waiter to open one that does
	SuspectOwnLink bool // if several databases are unresponsive, suspect the node's own link first
}

// Pools holds the connections of this process to all databases.
type Pools[W any, C Connection[W]] struct {
	k      *kernel.Kernel
	cfg    Config[W, C]
	health *health.Monitor

	mu           sync.Mutex
	ctx          context.Context
	pools        map[string]*pool[W, C]
	origins      map[C]origin[W, C] // every open connection
	unresponsive UnresponsiveTracker
	// downUnknown holds the databases that were marked down but not known at the last check.
	downUnknown map[string]bool
}

// origin records the pool, database and generation that an open connection belongs to.
type origin[W, C any] struct {
	pool       *pool[W, C]
	lent       bool
	id         string
	address    string
	generation int64
}

// pool holds the connections to one database and the requests waiting for one.
type pool[W, C any] struct {
	db           discovery.Database
	idle         []idleConn[C]
	open         int // all open connections, borrowed ones included
	lent         int
	opening      int
	waiting      []*waiter[W, C]
	atLimitUntil kernel.Micros // the database was at its connection limit; until then the pool grows at most to one connection
}

// idleConn is an idle connection and the time since when it has been idle.
type idleConn[C any] struct {
	c     C
	since kernel.Micros
}

// waiter is a Borrow call that waits for a connection.
type waiter[W, C any] struct {
	priority int
	want     W
	opening  bool // a connection is being opened for it
	ch       chan grant[C]
}

// grant is the result passed to a waiter.
type grant[C any] struct {
	c   C
	err error
}

// New returns empty pools and registers the number of open connections as an observed value.
func New[W any, C Connection[W]](k *kernel.Kernel, cfg Config[W, C], health *health.Monitor) *Pools[W, C] {
	if cfg.Probe == nil {
		cfg.Probe = func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) {
			var zero W
			return cfg.Open(ctx, db, zero, wait)
		}
	}
	s := &Pools[W, C]{
		k: k, cfg: cfg, health: health, ctx: context.Background(), pools: map[string]*pool[W, C]{}, origins: map[C]origin[W, C]{},
	}
	k.Counters.Observable("connpool.open", s.openConnections)
	health.SetKnown(map[string]bool{}) // no database is known before the first update
	return s
}

// openConnections returns the number of open connections to all databases.
func (s *Pools[W, C]) openConnections() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.origins))
}

// SetDatabases sets the databases. Idle connections to databases that were removed or have moved are
// closed at once, borrowed ones when they are returned.
func (s *Pools[W, C]) SetDatabases(dbs map[string]discovery.Database) {
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
			p.failWaiters(ErrBroken)
			s.closeIdle(p)
			delete(s.pools, id)
		}
	}
	s.health.SetKnown(known)
}

func (s *Pools[W, C]) closeIdle(p *pool[W, C]) {
	for _, r := range p.idle {
		s.closeConn(p, r.c)
	}
	p.idle = nil
}

// closeConn closes a connection that is neither borrowed nor idle.
func (s *Pools[W, C]) closeConn(p *pool[W, C], c C) {
	c.Close()
	p.open--
	delete(s.origins, c)
}

// failWaiters ends every pending Borrow with the error.
func (p *pool[W, C]) failWaiters(err error) {
	for _, w := range p.waiting {
		w.ch <- grant[C]{err: err}
	}
	p.waiting = nil
}

// Busy returns how many connections to the database are borrowed or waited for.
func (s *Pools[W, C]) Busy(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.pools[id]; p != nil {
		return p.open - len(p.idle) + len(p.waiting)
	}
	return 0
}

// Idle reports whether an idle connection to the database suits the borrower.
func (s *Pools[W, C]) Idle(id string, want W) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pools[id]
	return p != nil && slices.ContainsFunc(p.idle, func(r idleConn[C]) bool { return r.c.Fit(want, 0) >= 0 })
}

// Counts returns the numbers of open and idle connections by database.
func (s *Pools[W, C]) Counts() map[string][2]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][2]int{}
	for id, p := range s.pools {
		out[id] = [2]int{p.open, len(p.idle)}
	}
	return out
}

// queueFactor bounds the number of waiters per connection allowed.
const queueFactor = 6

// Borrow returns the connection to the database that suits best, waiting for one up to the given
// time. ErrPoolExhausted means that the queue is full of requests at least as urgent, ErrDeadline that no
// connection became free in time.
func (s *Pools[W, C]) Borrow(id string, priority int, want W, wait kernel.Micros) (c C, err error) {
	s.mu.Lock()
	p := s.pools[id]
	if p == nil {
		s.mu.Unlock()
		return c, ErrBroken
	}
	if c, ok := s.takeIdle(p, want); ok {
		s.markLent(p, c)
		s.mu.Unlock()
		return c, nil
	}
	share := max(1, s.cfg.Share(p.db.Service))
	if len(p.waiting) >= queueFactor*share && !p.displaceWaiter(priority) {
		s.mu.Unlock()
		s.k.Counters.Add("connpool.queue_full", 1)
		return c, ErrPoolExhausted
	}
	w := &waiter[W, C]{priority: priority, want: want, ch: make(chan grant[C], 1)}
	position, _ := slices.BinarySearchFunc(p.waiting, priority, func(o *waiter[W, C], priority int) int {
		if o.priority <= priority {
			return -1
		}
		return 1
	})
	p.waiting = slices.Insert(p.waiting, position, w)
	s.openForWaiters(p, share)
	s.mu.Unlock()

	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case g := <-w.ch:
		return g.c, g.err
	case <-timer.C:
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

// displaceWaiter refuses the least urgent waiter to make room in the queue, if it is less urgent
// than the given priority; a smaller number is more urgent.
func (p *pool[W, C]) displaceWaiter(priority int) bool {
	last := len(p.waiting) - 1
	if last < 0 || p.waiting[last].priority <= priority {
		return false
	}
	p.waiting[last].ch <- grant[C]{err: ErrPoolExhausted}
	p.waiting = p.waiting[:last]
	return true
}

// takeIdle removes and returns the idle connection with the best score; of equally good ones it
// takes the most recently used.
func (s *Pools[W, C]) takeIdle(p *pool[W, C], want W) (c C, ok bool) {
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

// Return gives a borrowed connection back. It stays open only if it is alive, clean, within the
// share, and still belongs to a known database at the same address.
func (s *Pools[W, C]) Return(c C) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.markReturned(c)
	p := at.pool
	surplus := p.open > max(1, s.cfg.Share(p.db.Service)) // the share shrank as more proxies joined
	if surplus || s.pools[at.id] != p || !c.Reusable() || !c.Alive() || p.db.Address != at.address {
		s.closeConn(p, c)
		s.openForWaiters(p, max(1, s.cfg.Share(p.db.Service)))
		return
	}
	s.grantOrIdle(p, c)
	if len(p.waiting) > 0 {
		s.openForWaiters(p, max(1, s.cfg.Share(p.db.Service)))
	}
}

// handleBroken runs when a connection has broken. An idle one is dropped here, a borrowed one when
// it is returned. The break is reported to the health monitor, unless this process closed the
// connection, or its database was removed or is draining.
func (s *Pools[W, C]) handleBroken(c C, byUs, unresponsive bool) {
	s.mu.Lock()
	at, open := s.origins[c]
	if !open {
		s.mu.Unlock()
		return
	}
	p := at.pool
	if i := slices.IndexFunc(p.idle, func(r idleConn[C]) bool { return r.c == c }); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		s.closeConn(p, c)
	}
	known := s.pools[at.id] == p && !p.db.Draining
	s.mu.Unlock()
	if !byUs && known {
		s.k.Counters.Add("connpool.broken", 1)
		s.health.Report(at.id, at.generation, unresponsive)
	}
}

// Generation returns the generation of the database when the connection was opened.
func (s *Pools[W, C]) Generation(c C) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins[c].generation
}

// Serve runs until ctx ends: it closes surplus connections, and for databases that went down it
// closes the idle connections and fails the waiters.
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
				p.failWaiters(ErrBroken)
				s.closeIdle(p)
			}
		}
		s.closeSurplus()
		s.checkDownKnown(down)
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

// closeSurplus closes idle connections that exceed their idle time or the share of the service.
// The caller holds the lock.
func (s *Pools[W, C]) closeSurplus() {
	now := s.k.Clock.Now()
	for _, p := range s.pools {
		share := max(1, s.cfg.Share(p.db.Service))
		if n := len(p.idle); n > 0 && n == p.open && now-p.idle[n-1].since > s.cfg.UnusedTimeout {
			s.closeIdle(p)
		}
		for len(p.idle) > 1 && now-p.idle[0].since > s.cfg.IdleTimeout || len(p.idle) > 0 && p.open > share {
			s.closeConn(p, p.idle[0].c)
			p.idle = p.idle[1:]
		}
	}
}
