package pooler

import (
	"errors"
	"net"
	"sync"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/routeconfig"
)

// Bounds of one session.
const (
	maxNames  = 4096
	loginWait = 3 * kernel.Second
	// a leaving pooler closes a session that asked nothing for this long
	restBeforeClose = 150 * kernel.Millisecond
	// and for this long once it hurries
	restBeforeHurry = 30 * kernel.Millisecond
	writeWait       = 5 * kernel.Second
	holdLogin       = kernel.Second            // for the first configuration
	endWait         = 300 * kernel.Millisecond // for a roll-back: closing the connection does as well
)

// session is one client connection.
type session struct {
	d *Pooler
	c net.Conn
	r *lineprotocol.Reader

	database string
	key      routeconfig.KeyDigest // that the client showed at the log-in
	values   map[string]string
	names    map[string]dbconn.Prepared
	last     lineprotocol.Position // of the session's own last commit
	tx       *transaction
	out      []byte
	trace    trace

	memory    *memorybudget.Holding
	message   int           // bytes of the message in hand, if it came in parts
	kept      int           // bytes of values and names
	longUntil kernel.Micros // a long message is to be whole by then; 0 if there is none

	mu    sync.Mutex
	asked bool // a statement is being worked on
	// answering says that its answer is being written.
	answering bool
	ending    bool // close as soon as nothing is asked for a moment
	rushed    bool // end an open transaction too, and wait for nothing
}

func newSession(d *Pooler, c net.Conn) *session {
	s := &session{
		d: d, c: c, r: lineprotocol.NewReader(c), values: map[string]string{}, names: map[string]dbconn.Prepared{}, asked: true,
		memory: d.memory.Hold(freeBytes),
	}
	s.r.Room = s.room
	return s
}

// run serves the session until either side ends it.
func (s *session) run() {
	defer s.memory.Release()
	defer s.c.Close()
	defer func() {
		if s.tx != nil {
			s.tx.drop()
		}
	}()
	if !s.login() {
		return
	}
	for {
		line, err := s.next()
		if err != nil {
			s.unreadable(err)
			return
		}
		word, rest := lineprotocol.Word(line)
		var a *lineprotocol.Answer
		switch string(word) {
		case "QUIT":
			return
		case "QUERY":
			id, text := lineprotocol.Word(rest)
			a = s.query(string(id), string(text))
		default:
			a = refusal(lineprotocol.Malformed, "unknown message", s.state())
		}
		if !s.answer(a) {
			return
		}
	}
}

// leave closes the session once it rests; it is called when the pooler starts
// to leave.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending = true
	if !s.asked && s.tx == nil {
		s.c.SetReadDeadline(time.Now().Add(restBeforeClose.Duration()))
	}
}

// hurry ends an open transaction that waits for its client.
func (s *session) hurry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ending, s.rushed = true, true
	if !s.asked {
		// What has come is read yet: a read whose time is over looks at nothing.
		s.c.SetReadDeadline(time.Now().Add(restBeforeHurry.Duration()))
	}
}

func (s *session) login() bool {
	s.c.SetReadDeadline(time.Now().Add(loginWait.Duration()))
	line, err := s.r.Line()
	if err != nil {
		s.unreadable(err)
		return false
	}
	s.trace.begin(s.d.k.Clock.Now())
	word, rest := lineprotocol.Word(line)
	name, who := lineprotocol.Word(rest)
	if string(word) != "LOGIN" || len(name) == 0 || len(who) == 0 {
		s.trace.because(causeMalformed)
		s.end(lineprotocol.Malformed, "LOGIN database who")
		return false
	}
	s.database, s.key = string(name), routeconfig.DigestOf(string(who))
	for end := s.d.k.Clock.Now() + holdLogin; !s.d.control.Ready() && s.d.k.Clock.Now() < end; {
		t := time.NewTimer((100 * kernel.Millisecond).Duration())
		select {
		case <-s.d.control.Changed():
		case <-t.C:
		}
		t.Stop()
	}
	r, _, conf := s.d.route(s.database)
	if r == nil {
		if !s.d.control.Ready() {
			s.trace.because(causeNotReady)
			s.end(lineprotocol.Retry, hint(kernel.Second))
		} else {
			s.trace.because(causeNoRoute)
			s.end(lineprotocol.NoDB, s.database)
		}
		return false
	}
	if _, code := s.tenant(r, conf); code != "" {
		s.end(code, hint(kernel.Second))
		return false
	}
	s.out = lineprotocol.AppendMessage(s.out[:0], "IDLE", "I", "-")
	return s.flush()
}

// end sends an error after which the connection closes.
func (s *session) end(code, text string) {
	s.record("-", &lineprotocol.Answer{Code: code})
	s.out = lineprotocol.AppendMessage(s.out[:0], "ERROR", code, text)
	s.flush()
}

func (s *session) unreadable(err error) {
	switch {
	case errors.Is(err, lineprotocol.ErrOversize):
		s.d.k.Counters.Add("pooler.oversize", 1)
		s.trace.because(causeMalformed)
		s.end(lineprotocol.Oversize, "message over 1 MiB")
		s.drainInput()
	case errors.Is(err, lineprotocol.ErrMalformed):
		s.d.k.Counters.Add("pooler.malformed", 1)
		s.trace.because(causeMalformed)
		s.end(lineprotocol.Malformed, "lines end with CR LF")
		s.drainInput()
	case errors.Is(err, lineprotocol.ErrNoRoom):
		s.d.k.Counters.Add("pooler.memory_full", 1)
		s.trace.because(causeMemory)
		s.end(lineprotocol.Retry, hint(kernel.Second))
		s.drainInput()
	case errors.Is(err, errLateMessage):
		s.d.k.Counters.Add("pooler.late_messages", 1)
		s.trace.because(causeMalformed)
		s.end(lineprotocol.Retry, hint(kernel.Second))
		s.drainInput()
	}
}

// drainInput reads on for a moment, so that closing does not reset the
// connection before the error has been read.
func (s *session) drainInput() {
	s.c.SetReadDeadline(time.Now().Add((300 * kernel.Millisecond).Duration()))
	buf := make([]byte, 4096)
	for {
		if _, err := s.c.Read(buf); err != nil {
			return
		}
	}
}

// next waits for a message. An open transaction that rests too long, or for
// which a leaving pooler has no more time, is rolled back meanwhile.
func (s *session) next() ([]byte, error) {
	for came := 0; ; {
		rest := kernel.Micros(0)
		if s.tx != nil && !s.tx.over {
			if _, _, conf := s.d.route(s.database); conf != nil {
				rest = kernel.Micros(conf.Limits.TxnIdleMs) * kernel.Millisecond
			}
		}
		if !s.listen(rest) {
			return nil, net.ErrClosed
		}
		line, err := s.r.Line()
		var ne net.Error
		if err != nil && errors.As(err, &ne) && ne.Timeout() {
			more := s.r.Partial() > came // a message is on its way
			came = s.r.Partial()
			if s.mayClose(more) {
				return nil, net.ErrClosed
			}
			if s.tooLate() {
				return nil, errLateMessage
			}
			if more {
				continue
			}
			if s.tx != nil && !s.tx.over {
				s.d.k.Counters.Add("pooler.rested_too_long", 1)
				s.tx.drop()
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.longUntil = 0
		s.mu.Lock()
		s.asked = true
		s.mu.Unlock()
		return line, nil
	}
}

// listen sets how long the next message may take (for ever if rest is 0); it
// reports false if the session is to end now.
func (s *session) listen(rest kernel.Micros) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked, s.answering = false, false
	if s.rushed && !s.r.Buffered() {
		return false
	}
	if s.ending && s.tx == nil {
		rest = restBeforeClose
	}
	deadline := time.Time{}
	if s.longUntil > 0 {
		left := s.longUntil - s.d.k.Clock.Now()
		if rest == 0 || left < rest {
			rest = max(left, 1)
		}
	}
	if rest > 0 {
		deadline = time.Now().Add(rest.Duration())
	}
	s.c.SetReadDeadline(deadline)
	return true
}

// mayClose tells whether the session is to end, since the pooler leaves; one whose
// next message is on its way ends only in a hurry.
func (s *session) mayClose(more bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rushed || s.ending && s.tx == nil && !more
}

// answer sends the answer to the client.
func (s *session) answer(a *lineprotocol.Answer) bool {
	s.out = a.Append(s.out[:0])
	s.mu.Lock()
	s.answering = true
	s.mu.Unlock()
	return s.flush()
}

func (s *session) flush() bool {
	s.c.SetWriteDeadline(time.Now().Add(writeWait.Duration()))
	_, err := s.c.Write(s.out)
	if cap(s.out) > freeBytes {
		s.out = nil
	}
	return err == nil
}

// state is the state that the client is in.
func (s *session) state() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// query works one statement off, and keeps how it ended if that was no success.
func (s *session) query(id, text string) *lineprotocol.Answer {
	s.d.statements.Add(1)
	s.d.second.earn()
	s.trace.begin(s.d.k.Clock.Now())
	a := s.execute(lineprotocol.ParseStatement(id, text))
	if a.Code != "" {
		s.record(id, a)
	}
	s.watchAnswer(id)
	return a
}

// execute has a statement run where it belongs.
func (s *session) execute(q lineprotocol.Statement) *lineprotocol.Answer {
	if q.ID == "" || q.Verb == lineprotocol.Bad {
		s.d.k.Counters.Add("pooler.malformed", 1)
		s.trace.because(causeMalformed)
		return refusal(lineprotocol.Malformed, "unknown text", s.state())
	}
	if s.tx != nil {
		return s.inside(q)
	}
	switch q.Verb {
	case lineprotocol.Begin, lineprotocol.BeginFetch:
		t, a := s.begin(q)
		s.tx = t
		return a
	case lineprotocol.Commit, lineprotocol.Abort:
		return refusal(lineprotocol.Malformed, "no transaction", 'I')
	case lineprotocol.Fetch, lineprotocol.Put, lineprotocol.Run:
		return s.single(q)
	}
	return s.local(q)
}

// local answers what concerns the session alone.
func (s *session) local(q lineprotocol.Statement) *lineprotocol.Answer {
	switch q.Verb {
	case lineprotocol.Option:
		if _, ok := s.values[q.Name]; !ok && len(s.values) >= maxNames {
			return refusal(lineprotocol.Malformed, "too many values", s.state())
		}
		if a := s.keep(entrySize(q.Name, q.Rest) - s.sizeOfValue(q.Name)); a != nil {
			return a
		}
		s.values[q.Name] = q.Rest
	case lineprotocol.Parse:
		if len(s.names) >= maxNames {
			return refusal(lineprotocol.Malformed, "too many prepared names", s.state())
		}
		statement := dbconn.Prepared{Kind: q.Kind, Text: q.Rest}
		if a := s.keep(preparedSize(q.Name, statement) - s.sizeOfPrepared(q.Name)); a != nil {
			return a
		}
		s.names[q.Name] = statement
	case lineprotocol.Close:
		if _, ok := s.names[q.Name]; !ok {
			return refusal(lineprotocol.NoSuch, q.Name, s.state())
		}
		s.keep(-s.sizeOfPrepared(q.Name))
		delete(s.names, q.Name)
	}
	return &lineprotocol.Answer{Seal: "-", State: s.state()}
}
