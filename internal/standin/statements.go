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

// serve handles one connection in the line protocol: a login, then statements.
func (d *Database) serve(c net.Conn) {
	defer c.Close()
	r := lineprotocol.NewReader(c)
	line, err := r.Line()
	if err != nil {
		return
	}
	fields := strings.Fields(string(line))
	d.g.mu.Lock()
	id, alive := d.ID, d.alive
	d.g.mu.Unlock()
	if len(fields) < 3 || fields[0] != "LOGIN" || fields[1] != d.g.Service || len(fields) > 3 && fields[3] != id {
		c.Write(lineprotocol.AppendMessage(nil, "ERROR", lineprotocol.WrongNode, id))
		return
	}
	if !alive {
		return
	}
	if d.misbehaves(MuteLogin) {
		_, _ = r.Line() // until the client closes the connection
		return
	}
	if d.misbehaves(WrongLogin) {
		c.Write(lineprotocol.AppendMessage(nil, "ERROR", lineprotocol.WrongNode, "i-another"))
		return
	}
	d.simulateWork(2 * time.Millisecond)
	s := &dbSession{d: d, user: fields[2], state: 'I', options: map[string]string{}, preparedTexts: map[string]string{}}
	out := lineprotocol.AppendMessage(nil, "IDLE", "I", d.positionText())
	for {
		if len(out) > 0 && !d.writeAnswer(c, out) {
			return
		}
		if d.misbehaves(ClosesBeforeRead) {
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
		a.State, a.Pos = s.state, d.positionText()
		if out = a.Append(nil); d.dropsAnswer(text) {
			out = nil
		}
	}
}

// positionText returns the position of the last log entry in its wire form.
func (d *Database) positionText() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos().String()
}

// dbSession is the database's side of one connection.
type dbSession struct {
	d                *Database
	user             string // named in the login
	state            byte
	options          map[string]string
	preparedTexts    map[string]string
	writes           []entry
	transactionEmpty bool // a transaction is open in which no statement has run yet
}

// recordPrepared records that a connection has this many prepared statements.
func (d *Database) recordPrepared(count int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.maxPrepared = max(d.maxPrepared, count)
}

// MostPrepared returns the maximum number of prepared statements that one connection to the database
// has had.
func (d *Database) MostPrepared() int {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.maxPrepared
}

// errorAnswer returns an error answer.
func errorAnswer(code, text string) *lineprotocol.Answer {
	return &lineprotocol.Answer{Code: code, Text: text}
}

// query runs one statement; the caller closes the connection if the answer is nil.
func (s *dbSession) query(id, text string) *lineprotocol.Answer {
	d := s.d
	verb, rest, _ := strings.Cut(text, " ")
	if a := s.queryInstant(id, verb, rest); a != nil {
		return a
	}
	if verb == "RUN" {
		name, arg, _ := strings.Cut(rest, " ")
		preparedText, ok := s.preparedTexts[name]
		if !ok {
			return errorAnswer(lineprotocol.NoSuch, name)
		}
		verb, _, _ = strings.Cut(preparedText, " ")
		rest = arg
	}
	if id == "-" {
		d.g.mu.Lock()
		d.g.recordViolation("UNASKED: %q without a client's id", text)
		d.g.mu.Unlock()
	}
	if d.misbehaves(ShedsLoad) {
		return errorAnswer(lineprotocol.Retry, "full")
	}
	begins := s.state == 'I' || s.transactionEmpty
	s.transactionEmpty = false
	d.checkStatement(id, s.user, begins)
	d.simulateWork(3 * time.Millisecond)
	switch verb {
	case "FETCH":
		return s.fetch(rest)
	case "PUT":
		key, value, _ := strings.Cut(rest, " ")
		if d.Role() != primary {
			return s.failStatement(lineprotocol.ReadOnly)
		}
		s.writes = append(s.writes, entry{id: id, key: key, value: value})
		if s.state == 'T' {
			return d.g.successAnswer()
		}
		return s.commit()
	case "COMMIT":
		s.state = 'I'
		return s.commit()
	}
	return errorAnswer(lineprotocol.Malformed, text)
}

// queryInstant runs the statements that take no simulated time: those on the session's state, those of
// the control nodes, and WAITPOS, which passes the statement that follows it to query. It returns nil
// for all others.
func (s *dbSession) queryInstant(id, verb, rest string) *lineprotocol.Answer {
	success := &lineprotocol.Answer{Seal: "-"}
	first, remainder, _ := strings.Cut(rest, " ")
	switch verb {
	case "OPTION":
		s.options[first] = remainder
	case "DISCARD":
		clear(s.options)
		clear(s.preparedTexts)
	case "PARSE":
		s.preparedTexts[first] = remainder
		s.d.recordPrepared(len(s.preparedTexts))
	case "STAT", "PAUSE", "CONTINUE", "STEPDOWN":
		return s.d.Control(verb, rest)
	case "WAITPOS":
		if want, ok := lineprotocol.ParsePosition(first); !ok || s.d.behind(want) {
			return errorAnswer(lineprotocol.Lagging, s.d.ID)
		}
		return s.query(id, remainder)
	case "BEGIN":
		if rest == "" && s.d.Role() != primary {
			return errorAnswer(lineprotocol.ReadOnly, s.d.ID)
		}
		s.state, s.writes, s.transactionEmpty = 'T', nil, true
	case "ABORT":
		s.state, s.writes = 'I', nil
	default:
		return nil
	}
	return success
}

// behind reports whether the log ends before the wanted position.
func (d *Database) behind(want lineprotocol.Position) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos().Less(want)
}

// failStatement returns an error answer and fails the open transaction, if there is one.
func (s *dbSession) failStatement(code string) *lineprotocol.Answer {
	if s.state == 'T' {
		s.state = 'E'
	}
	return errorAnswer(code, s.d.ID)
}

// successAnswer returns a success answer with a new seal.
func (g *Group) successAnswer() *lineprotocol.Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sealCount++
	return &lineprotocol.Answer{Seal: "seal." + strconv.Itoa(g.sealCount)}
}

// commit commits the session's writes. It returns nil if the outcome is unknown.
func (s *dbSession) commit() *lineprotocol.Answer {
	writes := s.writes
	s.writes = nil
	if len(writes) == 0 {
		return s.d.g.successAnswer()
	}
	switch s.d.commit(writes) {
	case notRun:
		return errorAnswer(lineprotocol.ReadOnly, s.d.ID)
	case unknownOutcome:
		return nil
	}
	return s.d.g.successAnswer()
}

// fetch returns the value of a key: of the session's last uncommitted write, or else of the last one in
// the log.
func (s *dbSession) fetch(key string) *lineprotocol.Answer {
	g := s.d.g
	a := g.successAnswer()
	g.mu.Lock()
	defer g.mu.Unlock()
	value := "-"
	for _, e := range s.d.log {
		if e.key == key {
			value = e.value
		}
	}
	for _, e := range s.writes {
		if e.key == key {
			value = e.value
		}
	}
	a.Rows = lineprotocol.AppendMessage(nil, "ROW", value, s.optionsInForce())
	return a
}

// optionsInForce returns the number of the session's options and the value of option "colour", so that
// clients can check them.
func (s *dbSession) optionsInForce() string {
	return fmt.Sprint(len(s.options), ":", s.options["colour"])
}

// Control runs a control statement (STAT, PAUSE, CONTINUE or STEPDOWN) and answers with the
// database's role, term, position and the term for which it is paused.
func (d *Database) Control(verb, arg string) *lineprotocol.Answer {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	term, _ := strconv.ParseInt(arg, 10, 64)
	switch verb {
	case "PAUSE":
		if d.role == replica { // a primary answers but is not paused
			if term <= d.term || term < d.pausedTerm {
				return errorAnswer(lineprotocol.Malformed, "term")
			}
			d.pausedTerm = term
		}
	case "CONTINUE":
		d.pausedTerm = 0
	case "STEPDOWN":
		if d.role == primary && d.term < term {
			d.role = replica
			d.copyPrimaryLog()
		}
	}
	var row bytes.Buffer
	fmt.Fprintf(&row, "%s %d %s %d 0 0 0", d.role, d.term, d.pos(), d.pausedTerm)
	return &lineprotocol.Answer{Rows: lineprotocol.AppendMessage(nil, "ROW", row.String()), Seal: "-"}
}
