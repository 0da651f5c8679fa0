package main

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/lineprotocol"
)

// serve speaks the wire with one caller.
func (d *database) serve(c net.Conn) {
	defer c.Close()
	g := d.g
	g.mu.Lock()
	if !d.alive {
		g.mu.Unlock()
		return
	}
	d.conns[c] = true
	id := d.id
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(d.conns, c)
	}()
	r := lineprotocol.NewReader(c)
	line, err := r.Line()
	if err != nil {
		return
	}
	f := strings.Fields(string(line))
	if len(f) < 3 || f[0] != "LOGIN" || f[1] != g.service || len(f) > 3 && f[3] != id {
		c.Write(lineprotocol.AppendMessage(nil, "ERROR", lineprotocol.WrongNode, id))
		return
	}
	s := &dbSession{d: d, state: 'I', names: map[string]string{}}
	out := lineprotocol.AppendMessage(nil, "IDLE", "I", d.told())
	for {
		if _, err := c.Write(out); err != nil {
			return
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
		a.State, a.Pos = s.state, d.told()
		out = a.Append(nil)
	}
}

func (d *database) told() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.position().String()
}

// dbSession is one connection to a database.
type dbSession struct {
	d      *database
	state  byte
	plain  bool // in a transaction that may write
	names  map[string]string
	writes []string
}

func fault(code, text string) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text}
}

// query runs one text; nil cuts the connection.
func (s *dbSession) query(id, text string) *lineprotocol.Answer {
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STAT", "PAUSE", "CONTINUE", "STEPDOWN":
		return s.d.order(verb, rest)
	case "WAITPOS":
		pos, then, _ := strings.Cut(rest, " ")
		if s.d.behind(pos) {
			return fault(lineprotocol.Lagging, s.d.id)
		}
		return s.query(id, then)
	case "RUN":
		name, _, _ := strings.Cut(rest, " ")
		shape, known := s.names[name]
		if !known {
			return fault(lineprotocol.NoSuch, name)
		}
		verb, _, _ = strings.Cut(shape, " ")
	case "FETCH", "PUT", "COMMIT":
	default:
		return s.ofSession(verb, rest)
	}
	return s.work(id, verb)
}

// ofSession answers what concerns the connection alone.
func (s *dbSession) ofSession(verb, rest string) *lineprotocol.Answer {
	switch verb {
	case "OPTION", "CLOSE":
	case "DISCARD":
		clear(s.names)
	case "PARSE":
		name, shape, _ := strings.Cut(rest, " ")
		s.names[name] = shape
	case "BEGIN":
		if rest == "" && !s.d.isPrimary() {
			return fault(lineprotocol.ReadOnly, s.d.id)
		}
		s.state, s.writes, s.plain = 'T', nil, rest == ""
	case "ABORT":
		s.state, s.writes = 'I', nil
	default:
		return fault(lineprotocol.Malformed, verb)
	}
	return &lineprotocol.Answer{Seal: "-"}
}

// work carries out a read, a write or a COMMIT.
func (s *dbSession) work(id, verb string) *lineprotocol.Answer {
	d := s.d
	if s.state == 'E' {
		return fault(lineprotocol.Malformed, "the transaction has failed")
	}
	time.Sleep(workSpan)
	if (verb == "PUT" || s.state == 'T' && s.plain && verb != "COMMIT") && !d.isPrimary() {
		if s.state == 'T' {
			s.state = 'E'
		}
		return fault(lineprotocol.ReadOnly, d.id)
	}
	switch verb {
	case "PUT":
		s.writes = append(s.writes, id)
		if s.state == 'T' {
			return d.g.seal()
		}
		return s.commit()
	case "COMMIT":
		s.state = 'I'
		if len(s.writes) == 0 {
			return d.g.seal()
		}
		s.writes = append(s.writes, id)
		return s.commit()
	}
	a := d.g.seal()
	a.Rows = lineprotocol.AppendMessage(nil, "ROW", "x")
	return a
}

// behind tells whether the log lacks a position.
func (d *database) behind(position string) bool {
	want, ok := lineprotocol.ParsePosition(position)
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return !ok || d.position().Less(want)
}

func (s *dbSession) commit() *lineprotocol.Answer {
	writes := s.writes
	s.writes = nil
	if !s.d.isPrimary() {
		return fault(lineprotocol.ReadOnly, s.d.id)
	}
	if !s.d.commit(writes) {
		return nil
	}
	return s.d.g.seal()
}

func (g *group) seal() *lineprotocol.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stamp++
	return &lineprotocol.Answer{Seal: "stamp." + strconv.FormatInt(g.stamp, 10)}
}

func (d *database) isPrimary() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.role == leads
}

// order carries out STAT, PAUSE, CONTINUE or STEPDOWN, and answers the row.
func (d *database) order(verb, arg string) *lineprotocol.Answer {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	term, _ := strconv.ParseInt(arg, 10, 64)
	switch verb {
	case "PAUSE":
		if d.role == follows {
			if term <= d.term || term < d.held {
				return fault(lineprotocol.Malformed, "the term is not above the newest")
			}
			d.held = term
		}
	case "CONTINUE":
		d.held = 0
	case "STEPDOWN":
		if d.role == leads && d.term < term {
			d.role = follows
		}
	}
	if verb != "STAT" {
		d.g.w.record("order", "%s %s at %s, which holds %s", verb, arg, d.id, d.position())
	}
	row := fmt.Sprintf("%s %d %s %d 0 0 %d", d.role, d.term, d.position(), d.held, len(d.conns))
	return &lineprotocol.Answer{Rows: lineprotocol.AppendMessage(nil, "ROW", row), Seal: "-"}
}
