package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// position is a position in a log.
type position struct{ term, number int }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// less reports whether p is before q.
func (p position) less(q position) bool {
	return p.term < q.term || p.term == q.term && p.number < q.number
}

// entry is one commit in a log; it holds the ids of its writes.
type entry struct {
	pos position
	ids []string
}

// service is a primary with its replicas. Its lock guards the databases.
type service struct {
	c    *cluster
	name string

	mu       sync.Mutex
	term     int
	dbs      []*database
	promoted []promotion
}

// promotion is what a database held when it took the lead.
type promotion struct {
	id   string
	term int
	log  []entry
	at   time.Time
}

// database is one server of a service. It replicates like this: the primary sends a commit to each
// replica, where it arrives after the replica's lag if neither of them has ended by then; the
// commit is answered once one replica has received it.
type database struct {
	s         *service
	id        string
	ip        string
	zone      string
	lag       time.Duration // how far it is behind its primary
	beatDelay time.Duration // how long its beats take to a control node

	primary  bool
	term     int
	paused   int
	log      []entry
	alive    bool
	seq      int
	received *sync.Cond // signalled when a replica has received something
	conns    map[net.Conn]bool
	listener net.Listener
}

// addr returns the address that the database serves at.
func (d *database) addr() string { return fmt.Sprintf("%s:%d", d.ip, databasePort) }

// last returns the position of the newest entry.
func (d *database) last() position {
	if n := len(d.log); n > 0 {
		return d.log[n-1].pos
	}
	return position{d.term, 0}
}

// add starts a database. A replica starts with the log of the primary.
func (s *service) add(id, ip, zone string, primary bool, lag, beatDelay time.Duration) (*database, error) {
	d := &database{s: s, id: id, ip: ip, zone: zone, lag: lag, beatDelay: beatDelay, primary: primary, term: s.term, alive: true, conns: map[net.Conn]bool{}}
	d.received = sync.NewCond(&s.mu)
	ln, err := net.Listen("tcp4", d.addr())
	if err != nil {
		return nil, err
	}
	d.listener = ln
	s.mu.Lock()
	if lead := s.lead(); lead != nil && !primary {
		d.log = append([]entry(nil), lead.log...)
	}
	s.dbs = append(s.dbs, d)
	s.mu.Unlock()
	s.c.rec.printf("database %s starts at %s in %s, primary %v, lag %v", id, d.addr(), zone, primary, lag)
	go d.accept(ln)
	go d.beat()
	return d, nil
}

// lead returns the running primary of the newest term. The caller holds the lock.
func (s *service) lead() *database {
	for _, d := range s.dbs {
		if d.alive && d.primary && d.term == s.term {
			return d
		}
	}
	return nil
}

// crash ends the database as a loss of power does; it says nothing to anybody.
func (d *database) crash() {
	d.s.mu.Lock()
	d.alive = false
	d.listener.Close()
	for c := range d.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	d.s.c.rec.printf("database %s ends, its log reaches %s", d.id, d.last())
	d.received.Broadcast()
	d.s.mu.Unlock()
}

// restart starts a database that has crashed, with its log and another id; it is a replica if another
// one has been promoted.
func (d *database) restart(id string) error {
	ln, err := net.Listen("tcp4", d.addr())
	if err != nil {
		return err
	}
	d.s.mu.Lock()
	d.id, d.seq, d.paused, d.alive, d.listener = id, 0, 0, true, ln
	if d.term < d.s.term {
		d.primary = false
		d.catchUp()
	}
	d.s.c.rec.printf("database %s starts again, primary %v, its log reaches %s", id, d.primary, d.last())
	d.s.mu.Unlock()
	go d.accept(ln)
	go d.beat()
	return nil
}

// stop ends all databases.
func (s *service) stop() {
	for _, d := range s.dbs {
		if d.alive {
			d.crash()
		}
	}
}

// beat sends the heartbeats of the database, about every heartbeat_ms.
func (d *database) beat() {
	for {
		d.s.mu.Lock()
		alive := d.alive
		d.s.mu.Unlock()
		if !alive {
			return
		}
		go d.sendBeat()
		time.Sleep(1200 * time.Millisecond)
	}
}

// sendBeat sends one heartbeat, to one node after the other until one acknowledges it.
func (d *database) sendBeat() {
	d.s.mu.Lock()
	d.seq++
	role := "replica"
	if d.primary {
		role = "primary"
	}
	body, _ := json.Marshal(map[string]any{
		"svc": d.s.name, "address": d.addr(), "zone": d.zone, "rev": "v1", "slots": 7, "status": "up",
		"warmup_left_ms": 0, "target_role": role, "call_seq": d.seq,
	})
	seq, id, delay := d.seq, d.id, d.beatDelay
	d.s.mu.Unlock()
	time.Sleep(delay)
	addrs := d.s.c.controls()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	for _, addr := range addrs {
		status, _ := call(http.MethodPost, addr, "/Servers.Heartbeat/"+id, nil, body)
		if status/100 == 2 {
			if seq < 3 {
				d.s.c.rec.printf("beat %d of %s acknowledged by %s", seq, id, addr)
			}
			return
		}
	}
}

// accept serves connections.
func (d *database) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		d.s.mu.Lock()
		if d.alive {
			d.conns[c] = true
		} else {
			c.Close()
		}
		d.s.mu.Unlock()
		go d.serve(c)
	}
}

// session is the database's side of one connection.
type session struct {
	d        *database
	state    byte
	readOnly bool
	writes   []string
	prepared map[string]string
	options  map[string]string
}

// serve answers the messages of one connection.
func (d *database) serve(c net.Conn) {
	defer func() {
		c.Close()
		d.s.mu.Lock()
		delete(d.conns, c)
		d.s.mu.Unlock()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	f := strings.Fields(line)
	if len(f) < 3 || f[0] != "LOGIN" || f[1] != d.s.name || len(f) > 3 && f[3] != d.id {
		fmt.Fprintf(c, "ERROR WRONGNODE %s\r\n", d.id)
		return
	}
	s := &session{d: d, state: 'I', prepared: map[string]string{}, options: map[string]string{}}
	for {
		d.s.mu.Lock()
		alive, last := d.alive, d.last()
		d.s.mu.Unlock()
		if !alive {
			return
		}
		if _, err := fmt.Fprintf(c, "IDLE %c %s\r\n", s.state, last); err != nil {
			return
		}
		if line, err = r.ReadString('\n'); err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer, ok := s.query(id, text)
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// complete is the answer of success, with a stamp.
func complete(id string) string { return "COMPLETE stamp." + id + "\r\n" }

// query runs one text and returns its answer without the IDLE; false if the connection ends.
func (s *session) query(id, text string) (string, bool) {
	d := s.d
	verb, rest, _ := strings.Cut(text, " ")
	if answer, ok := s.instant(id, verb, rest); answer != "" || !ok {
		return answer, ok
	}
	shape := "-"
	if verb == "RUN" {
		name, _, _ := strings.Cut(rest, " ")
		if s.prepared[name] == "" {
			return "ERROR NOSUCH " + name + "\r\n", true
		}
		verb, shape, _ = strings.Cut(s.prepared[name], " ")
	}
	d.s.c.rec.printf("%s runs %s %s", d.id, id, text)
	time.Sleep(time.Millisecond)
	switch verb {
	case "FETCH":
		return fmt.Sprintf("ROW %s %s %s\r\n", id, s.options["colour"], shape) + complete(id), true
	case "PUT":
		s.writes = append(s.writes, id)
		if s.state == 'T' {
			return complete(id), true
		}
		return s.commit(id)
	case "COMMIT":
		s.state = 'I'
		return s.commit(id)
	}
	return "ERROR MALFORMED " + text + "\r\n", true
}

// instant runs the texts that are no read, write or commit; the answer is empty if it is another one.
func (s *session) instant(id, verb, rest string) (answer string, ok bool) {
	d, success := s.d, "COMPLETE -\r\n"
	first, more, _ := strings.Cut(rest, " ")
	switch verb {
	case "OPTION":
		s.options[first] = more
	case "CLOSE":
		delete(s.prepared, first)
	case "DISCARD":
		clear(s.options)
		clear(s.prepared)
	case "PARSE":
		s.prepared[first] = more
	case "STAT", "PAUSE", "CONTINUE", "STEPDOWN":
		return d.control(verb, rest), true
	case "WAITPOS":
		var p position
		fmt.Sscanf(first, "%d.%d", &p.term, &p.number)
		d.s.mu.Lock()
		behind := d.last().less(p)
		d.s.mu.Unlock()
		if behind {
			return "ERROR LAGGING " + d.id + "\r\n", true
		}
		return s.query(id, more)
	case "BEGIN":
		d.s.mu.Lock()
		lead := d.primary
		d.s.mu.Unlock()
		if rest == "" && !lead {
			return "ERROR RDONLY " + d.id + "\r\n", true
		}
		s.state, s.writes, s.readOnly = 'T', nil, rest != ""
	case "ABORT":
		s.state, s.writes = 'I', nil
	default:
		return "", true
	}
	return success, true
}

// commit appends the session's writes to the log and waits until one replica has received them.
func (s *session) commit(id string) (string, bool) {
	d, ids := s.d, s.writes
	s.writes = nil
	if len(ids) == 0 {
		return complete(id), true
	}
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	if !d.alive {
		return "", false
	}
	if !d.primary {
		return "ERROR RDONLY " + d.id + "\r\n", true
	}
	number := 1
	if n := len(d.log); n > 0 && d.log[n-1].pos.term == d.term {
		number = d.log[n-1].pos.number + 1
	}
	e := entry{position{d.term, number}, ids}
	d.log = append(d.log, e)
	end := len(d.log)
	acked := false
	for _, r := range d.s.dbs {
		if r != d {
			time.AfterFunc(r.lag, func() {
				d.s.mu.Lock()
				defer d.s.mu.Unlock()
				if d.alive && d.primary && r.alive && !r.primary && r.paused == 0 && r.term <= d.term {
					if len(r.log) < end || r.term < d.term {
						r.log, r.term = append([]entry(nil), d.log[:end]...), d.term
					}
					acked = true
					d.received.Broadcast()
				}
			})
		}
	}
	for !acked && d.alive && d.primary {
		d.received.Wait()
	}
	return complete(id), acked && d.alive
}

// control runs STAT, PAUSE, CONTINUE or STEPDOWN.
func (d *database) control(verb, arg string) string {
	d.s.mu.Lock()
	defer d.s.mu.Unlock()
	term, _ := strconv.Atoi(arg)
	switch {
	case verb == "PAUSE" && !d.primary:
		if term <= d.term || term < d.paused {
			return "ERROR MALFORMED term\r\n"
		}
		d.paused = term
	case verb == "CONTINUE" && !d.primary:
		d.paused = 0
		d.catchUp()
	case verb == "STEPDOWN" && d.primary && d.term < term:
		d.primary = false
		d.catchUp()
	}
	role := "replica"
	if d.primary {
		role = "primary"
	}
	d.s.c.rec.printf("%s %s at %s: %s, received %s", verb, arg, d.id, role, d.last())
	return fmt.Sprintf("ROW %s %d %s %d 0 0 0\r\nCOMPLETE -\r\n", role, d.term, d.last(), d.paused)
}

// catchUp receives what the primary has, if that is running. The caller holds the lock.
func (d *database) catchUp() {
	if lead := d.s.lead(); lead != nil && lead != d {
		d.log, d.term = append([]entry(nil), lead.log...), lead.term
	}
}
