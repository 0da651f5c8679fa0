// Package pooler carries the clients' sessions.
package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/distribution"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/quota"
	"indigowalk/internal/readrouting"
	"indigowalk/internal/routeconfig"
)

// Config is what a pooler is built from.
type Config struct {
	ClientAddr string
	Zone       string
	Grace      func() kernel.Micros
	Quiet      kernel.Micros // an answer that takes longer casts doubt on its database
}

// Pooler takes sessions and runs their statements.
type Pooler struct {
	k       *kernel.Kernel
	cfg     Config
	control *distribution.Subscriber
	router  *readrouting.Router
	pool    *dbconn.Pool
	health  *health.Monitor
	quota   *quota.Client
	// failures keeps the statements that were not served.
	failures *failurelog.Log
	stalls   *kernel.Stalls

	leaving atomic.Bool
	ending  chan struct{} // closes when whatever is still waited for is given up

	mu       sync.Mutex
	sessions map[*session]struct{}
	listener net.Listener
	hurrying bool // sessions end as soon as they have their answer
	ended    kernel.Bell

	memory  *memorybudget.Budget // of what sessions send and keep
	second  allowance
	outages outages

	statements, retries *atomic.Int64
}

// Services are the parts of the process that a pooler works with.
type Services struct {
	Control  *distribution.Subscriber
	Router   *readrouting.Router
	Pool     *dbconn.Pool
	Health   *health.Monitor
	Quota    *quota.Client
	Failures *failurelog.Log
	Stalls   *kernel.Stalls
	Memory   *memorybudget.Budget
}

// New returns a pooler.
func New(k *kernel.Kernel, cfg Config, with Services) *Pooler {
	return &Pooler{
		k: k, cfg: cfg, control: with.Control, router: with.Router, pool: with.Pool, health: with.Health, quota: with.Quota,
		failures: with.Failures, stalls: with.Stalls, memory: with.Memory,
		sessions:   map[*session]struct{}{},
		ending:     make(chan struct{}),
		statements: k.Counters.Of("pooler.statements"),
		retries:    k.Counters.Of("pooler.retries"),
	}
}

// Ready tells whether clients should be sent here.
func (d *Pooler) Ready() bool { return !d.leaving.Load() && d.control.Ready() }

// Serve takes sessions until ctx ends.
func (d *Pooler) Serve(ctx context.Context) error {
	ln, err := d.k.Net.Listen(d.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("pooler: %w", err)
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	d.mu.Lock()
	d.listener = ln
	d.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if d.leaving.Load() {
				<-ctx.Done()
			}
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return fmt.Errorf("pooler: %w", err)
		}
		d.k.Counters.Add("pooler.sessions", 1)
		s := d.admit(c)
		go func() {
			s.run()
			d.mu.Lock()
			delete(d.sessions, s)
			d.mu.Unlock()
			d.watchMemory()
			d.ended.Ring()
		}()
	}
}

// admit begins a session. One that comes while the pooler leaves is told with that: it
// misses what the others were told.
func (d *Pooler) admit(c net.Conn) *session {
	s := newSession(d, c)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.ending, s.rushed = d.leaving.Load(), d.hurrying
	d.sessions[s] = struct{}{}
	return s
}

// closeAfter is how long a leaving pooler still takes new sessions: the entry
// asks every second and needs two misses.
const closeAfter = 2200 * kernel.Millisecond

const (
	// lastAnswers is kept of the grace for the answers to statements that are
	// given up, and for the end of the process.
	lastAnswers = 600 * kernel.Millisecond
	// lastWrites of it is for the answers.
	lastWrites = 200 * kernel.Millisecond
)

// longestHold bounds how long a statement waits for a place to run: one that came
// before a leaving pooler hurries its sessions has its answer before the end.
func (d *Pooler) longestHold() kernel.Micros { return max(0, d.cfg.Grace()/2-lastAnswers) }

// over tells whether the pooler gives up whatever is still waited for.
func (d *Pooler) over() bool {
	select {
	case <-d.ending:
		return true
	default:
		return false
	}
}

// Leave ends in order: not ready at once, idle sessions close, statements
// finish, and open transactions have half of the grace. Statements that are still
// waited for then are answered as they stand.
func (d *Pooler) Leave(ctx context.Context) {
	start := d.k.Clock.Now()
	d.leaving.Store(true)
	d.k.Log.Info("leaving")
	grace := d.stalls.Left(d.cfg.Grace())
	half, end := start+grace/2, start+max(0, grace-lastAnswers)
	d.each((*session).leave)
	var closed, told bool
	for {
		changed := d.ended.Wait()
		now := d.k.Clock.Now()
		d.mu.Lock()
		left := len(d.sessions)
		d.mu.Unlock()
		if now >= min(start+closeAfter, half) && !closed {
			closed = true
			d.closeListener()
		}
		if now >= half && !told {
			told = true
			d.hurry()
		}
		if now >= end && !d.over() {
			close(d.ending)
		}
		if left == 0 && now >= min(start+closeAfter, end) || now >= end+lastWrites || ctx.Err() != nil {
			d.watchEnd(start)
			return
		}
		t := time.NewTimer((100 * kernel.Millisecond).Duration())
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// open is how many sessions there are.
func (d *Pooler) open() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return int64(len(d.sessions))
}

// closeListener has no more sessions come.
func (d *Pooler) closeListener() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listener != nil {
		d.listener.Close()
	}
}

// hurry has all sessions end as soon as they have their answer, those that come later too.
func (d *Pooler) hurry() {
	d.mu.Lock()
	d.hurrying = true
	d.mu.Unlock()
	d.each((*session).hurry)
}

func (d *Pooler) each(f func(*session)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sessions {
		f(s)
	}
}

// route finds the route and service of a database name.
func (d *Pooler) route(name string) (*routeconfig.Route, *routeconfig.Service, *routeconfig.Index) {
	conf := d.control.Config()
	r, svc := conf.Find(name)
	return r, svc, conf
}

// candidates is what a database is picked from, as things are now.
func (d *Pooler) candidates(service string, want dbconn.Want) readrouting.Candidates {
	dbs, lead := d.control.Databases(service)
	_, err := d.control.Primary(service)
	return readrouting.Candidates{
		Databases: dbs, Leader: lead, Leased: err == nil, Zone: d.cfg.Zone,
		Up: d.health.Up, Busy: d.pool.Busy, Idle: func(id string) bool { return d.pool.Idle(id, want) },
	}
}

// place picks a database for the request as things are now.
func (d *Pooler) place(q readrouting.Request, want dbconn.Want) (readrouting.Choice, bool) {
	return d.router.Pick(q, d.candidates(q.Service, want))
}

// refusal is an answer of the pooler's own.
func refusal(code, text string, state byte) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text, State: state}
}
