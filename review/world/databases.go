package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/lineprotocol"
)

// Roles of databases.
const (
	leads   = "primary"
	follows = "replica"
)

// Spans of databases.
const (
	beatEvery   = 1200 * time.Millisecond
	promoteSpan = 600 * time.Millisecond
	workSpan    = 3 * time.Millisecond
	step        = time.Millisecond
)

// entry is a commit in a log.
type entry struct {
	term, number int64
	ids          []string
	at           time.Time
}

// group is the databases of one service, which replicate to each other: a commit is
// answered once one replica has received it.
type group struct {
	w       *world
	service string

	mu    sync.Mutex
	dbs   []*database
	term  int64
	acked map[string]bool // ids of writes that clients were told of
	lost  []string        // of those, what a promoted database lacks
	stamp int64
}

// database is a stand-in for one database.
type database struct {
	g        *group
	id       string
	addr     string
	zone     string
	role     string
	term     int64 // newest that it knows of
	held     int64 // at which it is paused
	log      []entry
	alive    bool
	deaf     bool
	lag      time.Duration // of what it receives
	late     time.Duration // of its beats, on their way
	call     int64
	draining bool
	listener net.Listener
	conns    map[net.Conn]bool
	ends     context.CancelFunc
}

func newGroup(w *world, service string) *group {
	g := &group{w: w, service: service, term: 1, acked: map[string]bool{}}
	go g.replicate()
	return g
}

// add starts a database, whose beats are late by a span.
func (g *group) add(id, addr, zone, role string, lag, late time.Duration) (*database, error) {
	d := &database{g: g, id: id, addr: addr, zone: zone, role: role, term: 1, lag: lag, late: late}
	g.mu.Lock()
	g.dbs = append(g.dbs, d)
	g.mu.Unlock()
	return d, d.start()
}

// start has the database listen and send beats.
func (d *database) start() error {
	ln, err := net.Listen("tcp4", d.addr)
	if err != nil {
		return fmt.Errorf("database %s: %w", d.id, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.g.mu.Lock()
	d.alive, d.listener, d.ends, d.conns = true, ln, cancel, map[net.Conn]bool{}
	d.g.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	go d.beats(ctx)
	return nil
}

// crash ends the database without a word; its log stays.
func (d *database) crash() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if !d.alive {
		return
	}
	d.alive = false
	d.ends()
	d.listener.Close()
	for c := range d.conns {
		c.Close()
	}
}

// comeBack has a crashed database start again under another id, as a replica if another
// was promoted meanwhile.
func (d *database) comeBack(id string) error {
	d.g.mu.Lock()
	d.id, d.held, d.call = id, 0, 0
	if d.role == leads && d.g.term > d.term {
		d.role = follows
	}
	d.g.mu.Unlock()
	return d.start()
}

// primary is the database that leads the newest term, whether it runs or not.
func (g *group) primary() *database {
	for _, d := range g.dbs {
		if d.role == leads && d.term == g.term {
			return d
		}
	}
	return nil
}

// replicate has replicas receive what the primary holds, each after its lag.
func (g *group) replicate() {
	for range time.Tick(step) {
		g.mu.Lock()
		if p := g.primary(); p != nil && p.alive {
			for _, r := range g.dbs {
				if r != p && r.role == follows && r.alive && !r.deaf && r.held == 0 {
					r.receive(p)
				}
			}
		}
		g.mu.Unlock()
	}
}

// receive takes in what the primary has; what it has not is cut back.
func (d *database) receive(p *database) {
	n := 0
	for n < len(d.log) && n < len(p.log) && d.log[n].term == p.log[n].term && d.log[n].number == p.log[n].number {
		n++
	}
	d.log = slices.Clip(d.log[:n])
	d.term = p.term
	for _, e := range p.log[n:] {
		if time.Since(e.at) < d.lag {
			break
		}
		d.log = append(d.log, e)
	}
}

func (d *database) position() lineprotocol.Position {
	if len(d.log) == 0 {
		return lineprotocol.Position{Term: 1}
	}
	last := d.log[len(d.log)-1]
	return lineprotocol.Position{Term: last.term, Number: last.number}
}

// commit puts writes into the log and waits until a replica has received them; false
// if that is not known.
func (d *database) commit(ids []string) bool {
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	number := int64(len(d.log)) + 1
	e := entry{d.term, number, ids, time.Now()}
	d.log = append(d.log, e)
	for d.alive && d.role == leads {
		for _, r := range g.dbs {
			if r != d && r.alive && len(r.log) >= int(number) && r.log[number-1].term == e.term {
				g.w.record("run", "%s commits %s as %d.%d, received by %s", d.id, strings.Join(ids, " "), e.term, number, r.id)
				return true
			}
		}
		g.mu.Unlock()
		time.Sleep(step)
		g.mu.Lock()
	}
	return false
}

// promote makes a database the primary of the next term with what it has received, as
// the platform does, and returns the platform's answer.
func (g *group) promote(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.dbs, func(d *database) bool { return d.id == id && d.alive })
	if i < 0 {
		return http.StatusConflict
	}
	d := g.dbs[i]
	if d == g.primary() {
		return http.StatusOK
	}
	time.AfterFunc(promoteSpan, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !d.alive || d.role == leads {
			return
		}
		held := map[string]bool{}
		for _, e := range d.log {
			for _, id := range e.ids {
				held[id] = true
			}
		}
		lost := 0
		for id := range g.acked {
			if !held[id] {
				lost++
				g.lost = append(g.lost, id)
				g.w.record("LOST", "%s was acknowledged and is not in the log of the promoted %s", id, d.id)
			}
		}
		g.term++
		d.role, d.term, d.held = leads, g.term, 0
		g.w.record("promoted", "%s leads term %d with %s; %d acknowledged writes are not in its log", d.id, g.term, d.position(), lost)
		for _, o := range g.dbs {
			g.w.record("log", "%s (%s, runs %v) holds %s", o.id, o.role, o.alive, o.position())
			if o != d && o.role == follows {
				o.held = 0
			}
		}
		go d.beat()
	})
	return http.StatusOK
}

func (d *database) beats(ctx context.Context) {
	t := time.NewTicker(beatEvery)
	defer t.Stop()
	for {
		go d.beat()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (d *database) beat() bool {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return false
	}
	d.call++
	status := "up"
	if d.draining {
		status = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"svc": d.g.service, "address": d.addr, "zone": d.zone, "rev": "v1", "slots": 7, "status": status,
		"warmup_left_ms": 0, "call_seq": d.call, "target_role": d.role,
	})
	id, late := d.id, d.late
	d.g.mu.Unlock()
	time.Sleep(late)
	return err == nil && d.g.w.callControl("/Servers.Heartbeat/"+id, nil, body) == http.StatusOK
}

// deregister says that the database leaves, until that is acknowledged.
func (d *database) deregister(wait time.Duration) bool {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if d.g.w.callControl("/Servers.Deregister/"+d.id, nil, nil) == http.StatusOK {
			return true
		}
	}
	return false
}

// servePlatform answers the duty calls.
func (g *group) servePlatform(w http.ResponseWriter, q *http.Request) {
	var body struct{ Svc, ID string }
	raw, err := io.ReadAll(q.Body)
	if err != nil || json.NewDecoder(bytes.NewReader(raw)).Decode(&body) != nil || body.Svc != g.service {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	code := g.promote(body.ID)
	g.w.record("platform", "failover to %s by %s, fence %s: %d", body.ID, q.Header.Get("X-Indigowalk-Duty-Holder"), q.Header.Get("X-Indigowalk-Fence"), code)
	w.WriteHeader(code)
}
