// Package desk carries the clients' sessions.
package desk

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/catalogue"
	"indigowalk/internal/conservator"
	"indigowalk/internal/findingaid"
	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
	"indigowalk/internal/shelf"
	"indigowalk/internal/subscription"
)

// Config is what a desk is built from.
type Config struct {
	ClientAddr string
	Zone       string
	Grace      func() foundation.Micros
	Quiet      foundation.Micros // an answer that takes longer casts doubt on its database
}

// Desk takes sessions and runs their statements.
type Desk struct {
	k      *foundation.Kernel
	cfg    Config
	card   *subscription.Card
	aid    *findingaid.Aid
	shelf  *shelf.Shelf
	health *conservator.Conservator

	leaving atomic.Bool
	ending  chan struct{} // closes when whatever is still waited for is given up

	mu       sync.Mutex
	sessions map[*session]struct{}
	ended    foundation.Bell

	second  allowance
	outages outages

	statements, retries *atomic.Int64
}

// New returns a desk.
func New(k *foundation.Kernel, cfg Config, card *subscription.Card, aid *findingaid.Aid, sh *shelf.Shelf, health *conservator.Conservator) *Desk {
	return &Desk{
		k: k, cfg: cfg, card: card, aid: aid, shelf: sh, health: health,
		sessions:   map[*session]struct{}{},
		ending:     make(chan struct{}),
		statements: k.Counters.Of("desk.statements"),
		retries:    k.Counters.Of("desk.retries"),
	}
}

// Ready tells whether clients should be sent here.
func (d *Desk) Ready() bool { return !d.leaving.Load() && d.card.Ready() }

// Serve takes sessions until ctx ends.
func (d *Desk) Serve(ctx context.Context) error {
	ln, err := d.k.Net.Listen(d.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("desk: %w", err)
	}
	defer context.AfterFunc(ctx, func() { ln.Close() })()
	defer ln.Close()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return fmt.Errorf("desk: %w", err)
		}
		d.k.Counters.Add("desk.sessions", 1)
		s := newSession(d, c)
		d.mu.Lock()
		d.sessions[s] = struct{}{}
		d.mu.Unlock()
		go func() {
			s.run()
			d.mu.Lock()
			delete(d.sessions, s)
			d.mu.Unlock()
			d.ended.Ring()
		}()
	}
}

// closeAfter is how long a leaving desk still takes new sessions: the entry
// asks every second and needs two misses.
const closeAfter = 2200 * foundation.Millisecond

const (
	// lastAnswers is kept of the grace for the answers to statements that are
	// given up, and for the end of the process.
	lastAnswers = 600 * foundation.Millisecond
	// lastWrites of it is for the answers.
	lastWrites = 200 * foundation.Millisecond
)

// longestHold bounds how long a statement waits for a place to run: one that came
// before a leaving desk hurries its sessions has its answer before the end.
func (d *Desk) longestHold() foundation.Micros { return max(0, d.cfg.Grace()/2-lastAnswers) }

// over tells whether the desk gives up whatever is still waited for.
func (d *Desk) over() bool {
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
func (d *Desk) Leave(ctx context.Context) {
	start := d.k.Clock.Now()
	d.leaving.Store(true)
	d.k.Log.Info("leaving")
	grace := d.cfg.Grace()
	half, end := start+grace/2, start+grace-lastAnswers
	d.each((*session).leave)
	var told bool
	for {
		changed := d.ended.Wait()
		now := d.k.Clock.Now()
		d.mu.Lock()
		left := len(d.sessions)
		d.mu.Unlock()
		if now >= half && !told {
			told = true
			d.each((*session).hurry)
		}
		if now >= end && !d.over() {
			close(d.ending)
		}
		if left == 0 && now >= min(start+closeAfter, end) || now >= end+lastWrites || ctx.Err() != nil {
			return
		}
		t := time.NewTimer((100 * foundation.Millisecond).Duration())
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

func (d *Desk) each(f func(*session)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for s := range d.sessions {
		f(s)
	}
}

// route finds the route and service of a database name.
func (d *Desk) route(name string) (*catalogue.Route, *catalogue.Service, *catalogue.Index) {
	conf := d.card.Config()
	r, svc := conf.Find(name)
	return r, svc, conf
}

// place picks a database for the request as things are now.
func (d *Desk) place(q findingaid.Request) (findingaid.Choice, bool) {
	dbs, lead := d.card.Databases(q.Service)
	_, err := d.card.Primary(q.Service)
	return d.aid.Pick(q, findingaid.Scene{
		Databases: dbs, Lead: lead, Leased: err == nil, Zone: d.cfg.Zone,
		Up: d.health.Up, Busy: d.shelf.Busy, Idle: d.shelf.Idle,
	})
}

// refusal is an answer of the desk's own.
func refusal(code, text string, state byte) *folio.Answer {
	return &folio.Answer{Code: code, Text: text, State: state}
}
