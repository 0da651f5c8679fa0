package standin

import (
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/lineprotocol"
)

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
	if d.mannered(MuteLogin) {
		_, _ = r.Line() // until the caller goes
		return
	}
	if d.mannered(WrongLogin) {
		c.Write(lineprotocol.AppendMessage(nil, "ERROR", lineprotocol.WrongNode, "i-another"))
		return
	}
	d.work(2 * time.Millisecond)
	s := &dbSession{d: d, who: f[2], state: 'I', values: map[string]string{}, names: map[string]string{}}
	out := lineprotocol.AppendMessage(nil, "IDLE", "I", d.position())
	for {
		if len(out) > 0 && !d.deliver(c, out) {
			return
		}
		if d.mannered(EndsUnread) {
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
	who    string // on whose behalf, as the log-in said
	state  byte
	values map[string]string
	names  map[string]string
	writes []entry
	begun  bool // a transaction, in which nothing has run yet
}

// notePrepared notes how many prepared names a connection has.
func (d *Database) notePrepared(names int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.prepared = max(d.prepared, names)
}

// MostPrepared is the most prepared names that one connection to the database had.
func (d *Database) MostPrepared() int {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.prepared
}

func fail(code, text string) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text}
}

// query runs one text; nil cuts the connection.
func (s *dbSession) query(id, text string) *lineprotocol.Answer {
	d := s.d
	verb, rest, _ := strings.Cut(text, " ")
	if a := s.unworked(id, verb, rest); a != nil {
		return a
	}
	if verb == "RUN" {
		name, arg, _ := strings.Cut(rest, " ")
		shape, ok := s.names[name]
		if !ok {
			return fail(lineprotocol.NoSuch, name)
		}
		verb, _, _ = strings.Cut(shape, " ")
		rest = arg
	}
	if id == "-" {
		d.g.mu.Lock()
		d.g.broke("UNASKED: %q without a client's id", text)
		d.g.mu.Unlock()
	}
	if d.mannered(ShedsLoad) {
		return fail(lineprotocol.Retry, "full")
	}
	begins := s.state == 'I' || s.begun
	s.begun = false
	d.note(id, s.who, begins)
	d.work(3 * time.Millisecond)
	switch verb {
	case "FETCH":
		return s.fetch(rest)
	case "PUT":
		thing, data, _ := strings.Cut(rest, " ")
		if d.Role() != primary {
			return s.failed(lineprotocol.ReadOnly)
		}
		s.writes = append(s.writes, entry{id: id, thing: thing, data: data})
		if s.state == 'T' {
			return d.g.seal()
		}
		return s.commit()
	case "COMMIT":
		s.state = 'I'
		return s.commit()
	}
	return fail(lineprotocol.Malformed, text)
}

// unworked answers what takes no work: of the session, of control, and WAITPOS with
// what follows it. It returns nil for all else.
func (s *dbSession) unworked(id, verb, rest string) *lineprotocol.Answer {
	done := &lineprotocol.Answer{Seal: "-"}
	first, then, _ := strings.Cut(rest, " ")
	switch verb {
	case "OPTION":
		s.values[first] = then
	case "DISCARD":
		clear(s.values)
		clear(s.names)
	case "PARSE":
		s.names[first] = then
		s.d.notePrepared(len(s.names))
	case "STAT", "PAUSE", "CONTINUE", "STEPDOWN":
		return s.d.Control(verb, rest)
	case "WAITPOS":
		if want, ok := lineprotocol.ParsePosition(first); !ok || s.d.behind(want) {
			return fail(lineprotocol.Lagging, s.d.ID)
		}
		return s.query(id, then)
	case "BEGIN":
		if rest == "" && s.d.Role() != primary {
			return fail(lineprotocol.ReadOnly, s.d.ID)
		}
		s.state, s.writes, s.begun = 'T', nil, true
	case "ABORT":
		s.state, s.writes = 'I', nil
	default:
		return nil
	}
	return done
}

// behind tells whether the log does not reach a position.
func (d *Database) behind(want lineprotocol.Position) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos().Less(want)
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
	switch s.d.commit(writes) {
	case notRun:
		return fail(lineprotocol.ReadOnly, s.d.ID)
	case unclear:
		return nil
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

// Control runs STAT, PAUSE, CONTINUE or STEPDOWN.
func (d *Database) Control(verb, arg string) *lineprotocol.Answer {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	term, _ := strconv.ParseInt(arg, 10, 64)
	switch verb {
	case "PAUSE":
		if d.role == replica { // a primary answers, and is not paused
			if term <= d.term || term < d.held {
				return fail(lineprotocol.Malformed, "term")
			}
			d.held = term
		}
	case "CONTINUE":
		d.held = 0
	case "STEPDOWN":
		if d.role == primary && d.term < term {
			d.role = replica
			d.catchUp()
		}
	}
	var row bytes.Buffer
	fmt.Fprintf(&row, "%s %d %s %d 0 0 0", d.role, d.term, d.pos(), d.held)
	return &lineprotocol.Answer{Rows: lineprotocol.AppendMessage(nil, "ROW", row.String()), Seal: "-"}
}
