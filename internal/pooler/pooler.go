// Package pooler implements the pooler: it accepts client sessions and runs their statements on
// pooled connections to the replicated databases.
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

// Config configures a pooler.
type Config struct {
	ClientAddr       string
	Zone             string
	GracePeriod      func() kernel.Micros
	SuspicionTimeout kernel.Micros // a response that takes longer makes its database suspect
}

// Pooler accepts client sessions and runs their statements on the databases.
type Pooler struct {
	k       *kernel.Kernel
	cfg     Config
	control *distribution.Subscriber
	router  *readrouting.Router
	pool    *dbconn.Pool
	health  *health.Monitor
	quota   *quota.Client
	// failures logs the statements that got an error response.
	failures *failurelog.Log
	stalls   *kernel.StallDetector

	draining  atomic.Bool
	terminate chan struct{} // closed when pending waits are canceled

	mu           sync.Mutex
	sessions     map[*session]struct{}
	listener     net.Listener
	closing      bool // sessions close as soon as their response is sent
	sessionEnded kernel.Notifier

	memory  *memorybudget.Budget // for messages and stored values of sessions
	resends resendBudget
	outages outages

	statements, retries *atomic.Int64
}

// Services are the components of the process that a pooler uses.
type Services struct {
	Control  *distribution.Subscriber
	Router   *readrouting.Router
	Pool     *dbconn.Pool
	Health   *health.Monitor
	Quota    *quota.Client
	Failures *failurelog.Log
	Stalls   *kernel.StallDetector
	Memory   *memorybudget.Budget
}

// New returns a pooler.
func New(k *kernel.Kernel, cfg Config, services Services) *Pooler {
	return &Pooler{
		k: k, cfg: cfg, control: services.Control, router: services.Router, pool: services.Pool, health: services.Health, quota: services.Quota,
		failures: services.Failures, stalls: services.Stalls, memory: services.Memory,
		sessions:   map[*session]struct{}{},
		terminate:  make(chan struct{}),
		statements: k.Counters.Counter("pooler.statements"),
		retries:    k.Counters.Counter("pooler.retries"),
	}
}

// Ready reports whether clients should be routed to this pooler.
func (p *Pooler) Ready() bool { return !p.draining.Load() && p.control.Ready() }

// Serve accepts sessions until ctx ends.
func (p *Pooler) Serve(ctx context.Context) error {
	ln, err := p.k.Net.Listen(p.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("pooler: %w", err)
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	p.mu.Lock()
	p.listener = ln
	p.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if p.draining.Load() {
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
		p.k.Counters.Add("pooler.sessions", 1)
		s := p.addSession(c)
		go func() {
			s.run()
			p.mu.Lock()
			delete(p.sessions, s)
			p.mu.Unlock()
			p.checkMemoryReleased()
			p.sessionEnded.NotifyAll()
		}()
	}
}

// addSession registers a session for an accepted connection. A session that starts while the
// pooler drains takes over the drain state, because it missed the notification to the others.
func (p *Pooler) addSession(c net.Conn) *session {
	s := newSession(p, c)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.draining, s.closing = p.draining.Load(), p.closing
	p.sessions[s] = struct{}{}
	return s
}

// listenerCloseDelay is how long a draining pooler still accepts sessions: the load balancer in
// front probes readiness every second and needs two failed probes.
const listenerCloseDelay = 2200 * kernel.Millisecond

const (
	// responseReserve is the part of the grace period reserved for the responses to canceled
	// statements and for the end of the process.
	responseReserve = 600 * kernel.Millisecond
	// writeReserve is the part of responseReserve for writing these responses.
	writeReserve = 200 * kernel.Millisecond
)

// maxWait bounds how long a statement waits for a database that can run it, so that a statement
// received before a draining pooler closes its sessions gets its response before the process ends.
func (p *Pooler) maxWait() kernel.Micros { return max(0, p.cfg.GracePeriod()/2-responseReserve) }

// terminating reports whether pending waits are canceled because the process is about to end.
func (p *Pooler) terminating() bool {
	select {
	case <-p.terminate:
		return true
	default:
		return false
	}
}

// Drain shuts the pooler down gracefully: it reports not ready at once, closes idle sessions, lets
// running statements finish, and gives open transactions half of the grace period. Statements that
// still wait at its end, less the reserve for responses, are canceled and get an error response.
func (p *Pooler) Drain(ctx context.Context) {
	start := p.k.Clock.Now()
	p.draining.Store(true)
	p.k.Log.Info("leaving")
	gracePeriod := p.stalls.Remaining(p.cfg.GracePeriod())
	half, terminateAt := start+gracePeriod/2, start+max(0, gracePeriod-responseReserve)
	p.forEachSession((*session).drain)
	var listenerClosed, sessionsClosed bool
	for {
		changed := p.sessionEnded.Wait()
		now := p.k.Clock.Now()
		p.mu.Lock()
		remaining := len(p.sessions)
		p.mu.Unlock()
		if now >= min(start+listenerCloseDelay, half) && !listenerClosed {
			listenerClosed = true
			p.closeListener()
		}
		if now >= half && !sessionsClosed {
			sessionsClosed = true
			p.closeSessions()
		}
		if now >= terminateAt && !p.terminating() {
			close(p.terminate)
		}
		if remaining == 0 && now >= min(start+listenerCloseDelay, terminateAt) || now >= terminateAt+writeReserve || ctx.Err() != nil {
			p.checkNoneUnanswered(start)
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

// openSessions returns the number of open sessions.
func (p *Pooler) openSessions() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.sessions))
}

// closeListener stops accepting sessions.
func (p *Pooler) closeListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		p.listener.Close()
	}
}

// closeSessions makes all sessions, including those that start later, close as soon as their
// response is sent.
func (p *Pooler) closeSessions() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.forEachSession((*session).closeAfterResponse)
}

func (p *Pooler) forEachSession(f func(*session)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		f(s)
	}
}

// route returns the route and service of a database name, and the configuration they are from.
func (p *Pooler) route(name string) (*routeconfig.Route, *routeconfig.Service, *routeconfig.Index) {
	conf := p.control.Config()
	route, svc := conf.Find(name)
	return route, svc, conf
}

// candidates returns the databases of a service among which the router chooses, with their current
// state.
func (p *Pooler) candidates(service string, want dbconn.Want) readrouting.Candidates {
	databases, leader := p.control.Databases(service)
	_, err := p.control.Primary(service)
	return readrouting.Candidates{
		Databases: databases, Leader: leader, Leased: err == nil, Zone: p.cfg.Zone,
		Up: p.health.Up, Busy: p.pool.Busy, Idle: func(id string) bool { return p.pool.HasIdle(id, want) },
	}
}

// pickDatabase picks a database for the request from the current candidates.
func (p *Pooler) pickDatabase(request readrouting.Request, want dbconn.Want) (readrouting.Choice, bool) {
	return p.router.Pick(request, p.candidates(request.Service, want))
}

// errorResponse returns an error response that the pooler itself generates.
func errorResponse(code, text string, state byte) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text, State: state}
}
