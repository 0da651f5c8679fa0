package simulation

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/lineprotocol"
)

// Group is a service's databases and what must hold between them.
type Group struct {
	w       *World
	Service string

	mu      sync.Mutex
	dbs     []*Database
	term    int64
	acked   map[string]entry // by query id: what clients may rely on
	seals   int
	Broken  []string // rules that were broken
	Promote time.Duration
}

type entry struct {
	pos         lineprotocol.Position
	id          string
	thing, data string
}

// Database is a stand-in for one database.
type Database struct {
	g        *Group
	ID       string
	Host     *Host
	addr     string
	zone     string
	lag      time.Duration
	role     string
	term     int64
	held     int64
	log      []entry // received; clipped when it is shared, so that whoever appends copies
	deaf     bool
	alive    bool
	draining bool
	leftAt   time.Time // when a control node first acknowledged that it drains
	seq      int64
	beatAddr string
	stop     chan struct{}
	ran      map[string]bool
	slow     time.Duration // more time for every log-in and statement
	lose     int           // answers to be lost, their connections kept
}

// Slow gives the database more work to do on everything.
func (d *Database) Slow(more time.Duration) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.slow = more
}

// Lose has the next answers to reads and writes lost.
func (d *Database) Lose(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.lose = n
}

func (d *Database) work(t time.Duration) {
	d.g.mu.Lock()
	t += d.slow
	d.g.mu.Unlock()
	time.Sleep(t)
}

func (d *Database) loses(text []byte) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.lose == 0 || !bytes.HasPrefix(text, []byte("FETCH")) && !bytes.HasPrefix(text, []byte("PUT")) {
		return false
	}
	d.lose--
	return true
}

func (g *Group) broke(format string, args ...any) {
	g.Broken = append(g.Broken, fmt.Sprintf(format, args...))
}

// Add starts a database.
func (g *Group) Add(id, ip, zone, role string) *Database {
	d := &Database{
		g: g, ID: id, Host: g.w.Net.Host(ip), addr: net.JoinHostPort(ip, "8080"), zone: zone,
		lag: 5 * time.Millisecond, role: role, term: 1, ran: map[string]bool{},
	}
	g.mu.Lock()
	g.dbs = append(g.dbs, d)
	g.mu.Unlock()
	d.start()
	return d
}

func (d *Database) start() {
	d.alive, d.stop = true, make(chan struct{})
	ln, err := d.Host.Listen(d.addr)
	if err != nil {
		panic(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	go d.beats(d.stop)
}

// Crash ends the database; a dark one just falls silent.
func (d *Database) Crash(dark bool) {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.alive = false
	close(d.stop)
	d.g.mu.Unlock()
	if dark {
		d.g.w.Net.Dark(d.Host.IP, true)
	}
	d.g.w.Net.Reset(d.Host.IP)
}

// Return brings a crashed database back, with its log and under a new id.
func (d *Database) Return(id string) {
	d.g.mu.Lock()
	d.ID, d.seq, d.held, d.beatAddr = id, 0, 0, ""
	d.leftAt = time.Time{}
	if d.role == "primary" && d.g.term > d.term {
		d.role = "replica"
	}
	if d.role == "replica" {
		d.catchUp()
	}
	d.g.mu.Unlock()
	d.g.w.Net.Dark(d.Host.IP, false)
	d.start()
}

// Deaf keeps a replica from receiving.
func (d *Database) Deaf(deaf bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.deaf = deaf; !deaf {
		d.catchUp()
	}
}

// Drain says that the database is to be replaced.
func (d *Database) Drain() {
	d.g.mu.Lock()
	d.draining = true
	d.g.mu.Unlock()
	go d.beat()
}

// Leave has the database drain, serve on for that long, deregister, if it gets
// to that, and end. Its log is gone then.
func (d *Database) Leave(after time.Duration, deregister bool) {
	d.Drain()
	time.AfterFunc(after, func() {
		if deregister {
			d.call("/Servers.Deregister/"+d.ID, nil)
		}
		d.Crash(false)
	})
}

// Role is how the database sees itself.
func (d *Database) Role() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.role
}

// catchUp copies what the leading database holds.
func (d *Database) catchUp() {
	for _, p := range d.g.dbs {
		if p != d && p.role == "primary" && p.alive && p.term == d.g.term {
			d.log = slices.Clip(p.log)
			d.term = p.term
		}
	}
}

func (d *Database) pos() lineprotocol.Position {
	if len(d.log) == 0 {
		return lineprotocol.Position{Term: d.term}
	}
	return d.log[len(d.log)-1].pos
}

// commit appends at the primary and waits until one replica has received it.
func (d *Database) commit(writes []entry) (lineprotocol.Position, bool) {
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.role != "primary" {
		return lineprotocol.Position{}, false
	}
	pos := lineprotocol.Position{Term: d.term, Number: int64(len(d.log)) + 1}
	for _, e := range writes {
		if d.ran[e.id] {
			g.broke("TWICE: %s took effect twice", e.id)
		}
		d.ran[e.id] = true
		e.pos = pos
		d.log = append(d.log, e)
	}
	for {
		if !d.alive || d.role != "primary" {
			return lineprotocol.Position{}, false
		}
		received := false
		for _, r := range g.dbs {
			if r != d && r.role == "replica" && r.alive && !r.deaf && r.held == 0 && r.term <= d.term && g.w.reach(r, d) {
				r.log, r.term = slices.Clip(d.log), d.term
				received = true
			}
		}
		if received {
			return pos, true
		}
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
	}
}

func (w *World) reach(a, b *Database) bool {
	w.Net.mu.Lock()
	defer w.Net.mu.Unlock()
	return w.Net.open(a.addr, b.addr)
}

// promote makes the database the primary of the next term.
func (g *Group) promote(id string) int {
	g.mu.Lock()
	var d *Database
	for _, o := range g.dbs {
		if o.ID == id && o.alive {
			d = o
		}
	}
	if d == nil {
		g.mu.Unlock()
		return http.StatusConflict
	}
	if d.role == "primary" && d.term == g.term {
		g.mu.Unlock()
		return http.StatusOK
	}
	g.mu.Unlock()
	time.AfterFunc(g.Promote, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !d.alive || d.role == "primary" {
			return
		}
		held := map[string]bool{}
		for _, e := range d.log {
			held[e.id] = true
		}
		for qid := range g.acked {
			if !held[qid] {
				g.broke("LOST: acknowledged %s is not in the log of the promoted %s", qid, d.ID)
			}
		}
		g.term++
		d.role, d.term, d.held = "primary", g.term, 0
		for _, o := range g.dbs {
			if o.alive && !o.deaf && o != d && o.role == "replica" && g.w.reach(o, d) {
				o.log, o.term, o.held = slices.Clip(d.log), d.term, 0
			}
		}
		go d.beat()
	})
	return http.StatusOK
}

func (d *Database) beats(stop chan struct{}) {
	for {
		d.beat()
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

func (d *Database) beat() {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.seq++
	status := "up"
	if d.draining {
		status = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"svc": d.g.Service, "address": d.addr, "zone": d.zone, "rev": "v1", "slots": 7,
		"status": status, "call_seq": d.seq, "target_role": d.role,
	})
	path, drains := "/Servers.Heartbeat/"+d.ID, d.draining
	d.g.mu.Unlock()
	if !d.call(path, body) || !drains {
		return
	}
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.leftAt.IsZero() {
		d.leftAt = time.Now()
	}
}

// call makes a call to the first control node that acknowledges it, if any does.
func (d *Database) call(path string, body []byte) bool {
	for _, a := range d.g.w.ControlAddrs() {
		if code, _ := d.g.w.Call(d.Host, "POST", a, path, nil, body); code == 200 {
			return true
		}
	}
	return false
}

// drainBound is bounds.drain_ms of the worlds here.
const drainBound = 7 * time.Second

// late notes a client's request that begins at the database later than its
// leaving allows.
func (d *Database) late(id string) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if after := time.Since(d.leftAt); !d.leftAt.IsZero() && after > drainBound {
		d.g.broke("DRAIN: %s begins at %s %v after its leaving was acknowledged", id, d.ID, after)
	}
}

// serve speaks the wire with one caller.
func (d *Database) serve(c net.Conn) {
	defer c.Close()
	r := lineprotocol.NewReader(c)
	line, err := r.Line()
	if err != nil {
		return
	}
	f := strings.Fields(string(line))
	d.g.mu.Lock()
	id, alive := d.ID, d.alive
	d.g.mu.Unlock()
	if len(f) < 3 || f[0] != "LOGIN" || f[1] != d.g.Service || len(f) > 3 && f[3] != id {
		c.Write(lineprotocol.AppendMessage(nil, "ERROR", lineprotocol.WrongNode, id))
		return
	}
	if !alive {
		return
	}
	d.work(2 * time.Millisecond)
	s := &dbSession{d: d, state: 'I', values: map[string]string{}, names: map[string]string{}}
	out := lineprotocol.AppendMessage(nil, "IDLE", "I", d.position())
	for {
		if len(out) > 0 {
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		if line, err = r.Line(); err != nil {
			return
		}
		word, rest := lineprotocol.Word(line)
		if string(word) != "QUERY" {
			return
		}
		qid, text := lineprotocol.Word(rest)
		a := s.query(string(qid), string(text))
		if a == nil {
			return
		}
		a.State, a.Pos = s.state, d.position()
		if out = a.Append(nil); d.loses(text) {
			out = nil
		}
	}
}

func (d *Database) position() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos().String()
}

type dbSession struct {
	d      *Database
	state  byte
	values map[string]string
	names  map[string]string
	writes []entry
	begun  bool // a transaction, in which nothing has run yet
}

func fail(code, text string) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text}
}

// query runs one text; nil cuts the connection.
func (s *dbSession) query(id, text string) *lineprotocol.Answer {
	d, g := s.d, s.d.g
	verb, rest, _ := strings.Cut(text, " ")
	done := &lineprotocol.Answer{Seal: "-"}
	switch verb {
	case "OPTION":
		k, v, _ := strings.Cut(rest, " ")
		s.values[k] = v
		return done
	case "DISCARD":
		clear(s.values)
		clear(s.names)
		return done
	case "PARSE":
		k, v, _ := strings.Cut(rest, " ")
		s.names[k] = v
		return done
	case "STAT", "PAUSE", "CONTINUE", "STEPDOWN":
		return d.control(verb, rest)
	case "WAITPOS":
		p, then, _ := strings.Cut(rest, " ")
		want, ok := lineprotocol.ParsePosition(p)
		g.mu.Lock()
		behind := d.pos().Less(want)
		g.mu.Unlock()
		if !ok || behind {
			return fail(lineprotocol.Lagging, d.ID)
		}
		return s.query(id, then)
	case "BEGIN":
		if rest == "" && d.Role() != "primary" {
			return fail(lineprotocol.ReadOnly, d.ID)
		}
		s.state, s.writes, s.begun = 'T', nil, true
		return done
	case "ABORT":
		s.state, s.writes = 'I', nil
		return done
	case "RUN":
		name, arg, _ := strings.Cut(rest, " ")
		shape, ok := s.names[name]
		if !ok {
			return fail(lineprotocol.NoSuch, name)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arg
	}
	if id == "-" {
		g.mu.Lock()
		g.broke("UNASKED: %q without a client's id", text)
		g.mu.Unlock()
	}
	if s.state == 'I' || s.begun {
		d.late(id)
	}
	s.begun = false
	d.work(3 * time.Millisecond)
	switch verb {
	case "FETCH":
		return s.fetch(rest)
	case "PUT":
		thing, data, _ := strings.Cut(rest, " ")
		if d.Role() != "primary" {
			return s.failed(lineprotocol.ReadOnly)
		}
		s.writes = append(s.writes, entry{id: id, thing: thing, data: data})
		if s.state == 'T' {
			return g.seal()
		}
		return s.commit()
	case "COMMIT":
		s.state = 'I'
		return s.commit()
	}
	return fail(lineprotocol.Malformed, text)
}

func (s *dbSession) failed(code string) *lineprotocol.Answer {
	if s.state == 'T' {
		s.state = 'E'
	}
	return fail(code, s.d.ID)
}

func (g *Group) seal() *lineprotocol.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.seals++
	return &lineprotocol.Answer{Seal: "seal." + strconv.Itoa(g.seals)}
}

func (s *dbSession) commit() *lineprotocol.Answer {
	writes := s.writes
	s.writes = nil
	if len(writes) == 0 {
		return s.d.g.seal()
	}
	if _, ok := s.d.commit(writes); !ok {
		s.d.g.mu.Lock()
		alive := s.d.alive
		s.d.g.mu.Unlock()
		if !alive {
			return nil
		}
		return fail(lineprotocol.ReadOnly, s.d.ID)
	}
	return s.d.g.seal()
}

func (s *dbSession) fetch(thing string) *lineprotocol.Answer {
	g := s.d.g
	a := g.seal()
	g.mu.Lock()
	defer g.mu.Unlock()
	value := "-"
	for _, e := range s.d.log {
		if e.thing == thing {
			value = e.data
		}
	}
	for _, e := range s.writes {
		if e.thing == thing {
			value = e.data
		}
	}
	a.Rows = lineprotocol.AppendMessage(nil, "ROW", value, s.shown())
	return a
}

// shown tells the values in force, so that clients can check them.
func (s *dbSession) shown() string {
	return fmt.Sprint(len(s.values), ":", s.values["colour"])
}

func (d *Database) control(verb, arg string) *lineprotocol.Answer {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	term, _ := strconv.ParseInt(arg, 10, 64)
	switch verb {
	case "PAUSE":
		if d.role == "replica" { // a primary answers, and is not paused
			if term <= d.term || term < d.held {
				return fail(lineprotocol.Malformed, "term")
			}
			d.held = term
		}
	case "CONTINUE":
		d.held = 0
	case "STEPDOWN":
		if d.role == "primary" && d.term < term {
			d.role = "replica"
			d.catchUp()
		}
	}
	var row bytes.Buffer
	fmt.Fprintf(&row, "%s %d %s %d 0 0 0", d.role, d.term, d.pos(), d.held)
	return &lineprotocol.Answer{Rows: lineprotocol.AppendMessage(nil, "ROW", row.String()), Seal: "-"}
}
