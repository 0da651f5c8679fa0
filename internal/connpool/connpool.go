// Package connpool implements pools of a process's connections to databases, whatever protocol the
// connections use. The size of each pool is limited and grows gradually. Connections are shared
// between sessions: one that becomes free goes to the most urgent waiter that it suits.
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

// Errors returned when connecting to a database or borrowing a connection fails.
var (
	ErrBroken          = errors.New("connpool: connection broken")
	ErrUnresponsive    = errors.New("connpool: database unresponsive or refusing connections")
	ErrNotReady        = errors.New("connpool: database accepted the connection but was not ready in time")
	ErrPoolExhausted   = errors.New("connpool: no connection available")
	ErrConnectionLimit = errors.New("connpool: database is at its connection limit")
	ErrDeadline        = errors.New("connpool: deadline exceeded")
	ErrRejected        = errors.New("connpool: database rejected the connection")
)

// Connection is a connection that can be pooled. Want is the type that describes what a borrower
// requires or prefers of a connection.
type Connection[Want any] interface {
	comparable
	Alive() bool
	Close()
	// Reusable reports whether the connection can be handed to another borrower now.
	Reusable() bool
	// Score rates how well the connection suits a borrower after it has been idle for the given
	// time. A higher score is better; with a negative one the borrower must not use it.
	Score(want Want, idle kernel.Micros) int
	// Attach sets the database generation under which the connection was opened, and the callback
	// for when it breaks. closedLocally tells the callback that this process closed the connection
	// itself, unresponsive that the database stopped responding.
	Attach(generation int64, onBroken func(closedLocally, unresponsive bool))
}

// MaxPerDatabase returns how many connections this process may hold to each database of a service.
type MaxPerDatabase func(service string) int

// ConnectionCounts returns the numbers of open and idle connections by database.
type ConnectionCounts func() map[string][2]int

// DatabaseUpdater receives the current set of databases, by ID.
type DatabaseUpdater func(map[string]discovery.Database)

// Config configures the pools.
type Config[Want, C any] struct {
	Open           func(ctx context.Context, db discovery.Database, want Want, wait kernel.Micros) (C, error)
	Probe          func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) // nil: Open with the zero Want
	OpenTimeout    kernel.Micros                                                                   // time limit of a log-in
	CheckTimeout   kernel.Micros                                                                   // time limit of Probe, for a health check
	IdleTimeout    kernel.Micros                                                                   // an idle connection is closed after this time, unless it is the last idle one
	UnusedTimeout  kernel.Micros                                                                   // all connections to a database are closed once none was used for this time
	MaxPerDatabase func(service string) int                                                        // maximum connections to each database of a service
	MaxConnections int                                                                             // maximum connections to all databases together, 0 for no limit
	Evict          bool                                                                            // at the maximum, close an idle connection that suits no waiter to open one that does
	SuspectOwnLink bool                                                                            // if several databases are unresponsive at once, suspect the node's own link first
}

// Pools holds the connections of this process to all databases.
type Pools[Want any, C Connection[Want]] struct {
	k      *kernel.Kernel
	cfg    Config[Want, C]
	health *health.Monitor

	mu           sync.Mutex
	ctx          context.Context
	pools        map[string]*pool[Want, C]
	origins      map[C]origin[Want, C] // every open connection
	unresponsive UnresponsiveTracker
	// downUnknown holds the databases that were marked down but not known at the last check.
	downUnknown map[string]bool
}

// origin records the pool, database and generation that an open connection belongs to, and whether it
// is borrowed.
type origin[Want, C any] struct {
	pool       *pool[Want, C]
	borrowed   bool
	id         string
	address    string
	generation int64
}

// pool holds the connections to one database and the requests waiting for one.
type pool[Want, C any] struct {
	db           discovery.Database
	idle         []idleConn[C]
	open         int // all open connections, borrowed ones included
	borrowed     int
	opening      int
	waiters      []*waiter[Want, C]
	atLimitUntil kernel.Micros // set when the database is at its connection limit: until then an empty pool opens one connection, others none
}

// idleConn is an idle connection, with the time at which it became idle.
type idleConn[C any] struct {
	conn  C
	since kernel.Micros
}

// waiter is a Borrow call that waits for a connection.
type waiter[Want, C any] struct {
	priority int
	want     Want
	opening  bool // a connection is being opened for it
	result   chan grant[C]
}

// grant is the result passed to a waiter.
type grant[C any] struct {
	conn C
	err  error
}

// New returns empty pools, and registers the number of open connections as a metric.
func New[Want any, C Connection[Want]](k *kernel.Kernel, cfg Config[Want, C], health *health.Monitor) *Pools[Want, C] {
	if cfg.Probe == nil {
		cfg.Probe = func(ctx context.Context, db discovery.Database, wait kernel.Micros) (C, error) {
			var zero Want
			return cfg.Open(ctx, db, zero, wait)
		}
	}
	ps := &Pools[Want, C]{
		k: k, cfg: cfg, health: health, ctx: context.Background(), pools: map[string]*pool[Want, C]{}, origins: map[C]origin[Want, C]{},
	}
	k.Counters.Observable("connpool.open", ps.openConnections)
	health.SetDatabases(map[string]bool{}) // no database is known before the first update
	return ps
}

// openConnections returns the number of open connections to all databases.
func (ps *Pools[Want, C]) openConnections() int64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return int64(len(ps.origins))
}

// SetDatabases sets the databases that connections can be borrowed to. Idle connections to databases
// that were removed, or whose address or service changed, are closed at once, borrowed ones when they
// are returned.
func (ps *Pools[Want, C]) SetDatabases(dbs map[string]discovery.Database) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	for id, db := range dbs {
		p := ps.pools[id]
		if p == nil {
			ps.pools[id] = &pool[Want, C]{db: db}
			continue
		}
		if p.db.Address != db.Address || p.db.Service != db.Service {
			ps.closeIdle(p)
		}
		p.db = db
	}
	known := make(map[string]bool, len(dbs))
	for id := range dbs {
		known[id] = true
	}
	for id, p := range ps.pools {
		if !known[id] {
			p.failWaiters(ErrBroken)
			ps.closeIdle(p)
			delete(ps.pools, id)
		}
	}
	ps.health.SetDatabases(known)
}

// closeIdle closes the idle connections of a pool. The caller holds the lock.
func (ps *Pools[Want, C]) closeIdle(p *pool[Want, C]) {
	for _, idle := range p.idle {
		ps.closeConn(p, idle.conn)
	}
	p.idle = nil
}

// closeConn closes a connection that is neither borrowed nor idle.
func (ps *Pools[Want, C]) closeConn(p *pool[Want, C], c C) {
	c.Close()
	p.open--
	delete(ps.origins, c)
}

// failWaiters ends every pending Borrow with the error.
func (p *pool[Want, C]) failWaiters(err error) {
	for _, w := range p.waiters {
		w.result <- grant[C]{err: err}
	}
	p.waiters = nil
}

// Busy returns how many connections to the database are borrowed or waited for.
func (ps *Pools[Want, C]) Busy(id string) int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	if p := ps.pools[id]; p != nil {
		return p.open - len(p.idle) + len(p.waiters)
	}
	return 0
}

// HasIdle reports whether an idle connection to the database suits the borrower.
func (ps *Pools[Want, C]) HasIdle(id string, want Want) bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p := ps.pools[id]
	return p != nil && slices.ContainsFunc(p.idle, func(idle idleConn[C]) bool { return idle.conn.Score(want, 0) >= 0 })
}

// Counts returns the numbers of open and idle connections by database.
func (ps *Pools[Want, C]) Counts() map[string][2]int {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := map[string][2]int{}
	for id, p := range ps.pools {
		out[id] = [2]int{p.open, len(p.idle)}
	}
	return out
}

// queueFactor is the maximum number of waiters per connection that the pool may open.
const queueFactor = 6

// Borrow returns the idle connection to the database that suits best, or waits up to the given time
// for one. ErrPoolExhausted means that the queue is full of waiters that are at least as urgent,
// ErrDeadline that no connection became free in time.
func (ps *Pools[Want, C]) Borrow(id string, priority int, want Want, wait kernel.Micros) (c C, err error) {
	ps.mu.Lock()
	p := ps.pools[id]
	if p == nil {
		ps.mu.Unlock()
		return c, ErrBroken
	}
	if c, ok := ps.takeIdle(p, want); ok {
		ps.markBorrowed(p, c)
		ps.mu.Unlock()
		return c, nil
	}
	maxOpen := max(1, ps.cfg.MaxPerDatabase(p.db.Service))
	if len(p.waiters) >= queueFactor*maxOpen && !p.displaceWaiter(priority) {
		ps.mu.Unlock()
		ps.k.Counters.Add("connpool.queue_full", 1)
		return c, ErrPoolExhausted
	}
	w := &waiter[Want, C]{priority: priority, want: want, result: make(chan grant[C], 1)}
	position, _ := slices.BinarySearchFunc(p.waiters, priority, func(other *waiter[Want, C], priority int) int {
		if other.priority <= priority {
			return -1
		}
		return 1
	})
	p.waiters = slices.Insert(p.waiters, position, w)
	ps.openForWaiters(p, maxOpen)
	ps.mu.Unlock()

	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case grant := <-w.result:
		return grant.conn, grant.err
	case <-timer.C:
	}
	ps.mu.Lock()
	if i := slices.Index(p.waiters, w); i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		ps.mu.Unlock()
		return c, ErrDeadline
	}
	ps.mu.Unlock()
	grant := <-w.result // a connection was granted just as the time was over
	return grant.conn, grant.err
}

// displaceWaiter makes room in the queue by refusing the least urgent waiter, if that one is less
// urgent than the given priority, and reports whether it did. A smaller number is more urgent.
func (p *pool[Want, C]) displaceWaiter(priority int) bool {
	last := len(p.waiters) - 1
	if last < 0 || p.waiters[last].priority <= priority {
		return false
	}
	p.waiters[last].result <- grant[C]{err: ErrPoolExhausted}
	p.waiters = p.waiters[:last]
	return true
}

// takeIdle removes and returns the idle connection with the best score; of equally good ones it
// takes the most recently used.
func (ps *Pools[Want, C]) takeIdle(p *pool[Want, C], want Want) (c C, ok bool) {
	now := ps.k.Clock.Now()
	bestIndex, bestScore := -1, -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		idle := p.idle[i]
		if score := idle.conn.Score(want, now-idle.since); idle.conn.Alive() && score > bestScore {
			bestIndex, bestScore = i, score
		}
	}
	if bestIndex < 0 {
		return c, false
	}
	c = p.idle[bestIndex].conn
	p.idle = slices.Delete(p.idle, bestIndex, bestIndex+1)
	return c, true
}

// Return gives a borrowed connection back. It stays open only if it is alive and reusable, the pool
// has no more connections than it may open, and the database is still known at the same address.
func (ps *Pools[Want, C]) Return(c C) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	origin := ps.markReturned(c)
	p := origin.pool
	surplus := p.open > max(1, ps.cfg.MaxPerDatabase(p.db.Service)) // the maximum falls as more proxies join
	if surplus || ps.pools[origin.id] != p || !c.Reusable() || !c.Alive() || p.db.Address != origin.address {
		ps.closeConn(p, c)
		ps.openForWaiters(p, max(1, ps.cfg.MaxPerDatabase(p.db.Service)))
		return
	}
	ps.grantOrIdle(p, c)
	if len(p.waiters) > 0 {
		ps.openForWaiters(p, max(1, ps.cfg.MaxPerDatabase(p.db.Service)))
	}
}

// handleBroken runs when a connection has broken. An idle one is dropped here, a borrowed one when
// it is returned. The break is reported to the health monitor, unless this process closed the
// connection, or its database was removed or is draining.
func (ps *Pools[Want, C]) handleBroken(c C, closedLocally, unresponsive bool) {
	ps.mu.Lock()
	origin, open := ps.origins[c]
	if !open {
		ps.mu.Unlock()
		return
	}
	p := origin.pool
	if i := slices.IndexFunc(p.idle, func(idle idleConn[C]) bool { return idle.conn == c }); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
		ps.closeConn(p, c)
	}
	known := ps.pools[origin.id] == p && !p.db.Draining
	ps.mu.Unlock()
	if !closedLocally && known {
		ps.k.Counters.Add("connpool.broken", 1)
		ps.health.Report(origin.id, origin.generation, unresponsive)
	}
}

// Generation returns the generation of the database when the connection was opened.
func (ps *Pools[Want, C]) Generation(c C) int64 {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return ps.origins[c].generation
}

// Serve runs until ctx ends: it closes surplus connections, and for databases that went down it
// closes the idle connections and fails the waiters.
func (ps *Pools[Want, C]) Serve(ctx context.Context) error {
	ps.mu.Lock()
	ps.ctx = ctx
	ps.mu.Unlock()
	tick := time.NewTicker(kernel.Second.Duration())
	defer tick.Stop()
	for {
		changed := ps.health.Changed()
		down := ps.health.Down()
		ps.mu.Lock()
		for id := range down {
			if p := ps.pools[id]; p != nil {
				p.failWaiters(ErrBroken)
				ps.closeIdle(p)
			}
		}
		ps.closeSurplus()
		ps.checkDownKnown(down)
		ps.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		}
	}
}

// closeSurplus closes connections that were idle for too long, and idle ones beyond the maximum number
// of connections per database. The caller holds the lock.
func (ps *Pools[Want, C]) closeSurplus() {
	now := ps.k.Clock.Now()
	for _, p := range ps.pools {
		maxOpen := max(1, ps.cfg.MaxPerDatabase(p.db.Service))
		if n := len(p.idle); n > 0 && n == p.open && now-p.idle[n-1].since > ps.cfg.UnusedTimeout {
			ps.closeIdle(p)
		}
		for len(p.idle) > 1 && now-p.idle[0].since > ps.cfg.IdleTimeout || len(p.idle) > 0 && p.open > maxOpen {
			ps.closeConn(p, p.idle[0].conn)
			p.idle = p.idle[1:]
		}
	}
}
