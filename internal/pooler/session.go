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

// Limits and timeouts of one session.
const (
	maxEntries   = 4096 // maximum number of session values, and of prepared statements
	loginTimeout = 3 * kernel.Second
	// drainIdleTimeout is how long a session must be idle before a draining pooler closes it.
	drainIdleTimeout = 150 * kernel.Millisecond
	// closeIdleTimeout applies instead of drainIdleTimeout once the pooler closes its sessions.
	closeIdleTimeout  = 30 * kernel.Millisecond
	writeTimeout      = 5 * kernel.Second
	configurationWait = kernel.Second            // how long a login waits for the first configuration
	rollbackTimeout   = 300 * kernel.Millisecond // after that the connection is closed, which rolls back as well
)

// session is the session of one client connection.
type session struct {
	pooler *Pooler
	conn   net.Conn
	reader *lineprotocol.Reader

	database   string
	key        routeconfig.KeyDigest // digest of the key that the client presented at login
	values     map[string]string
	prepared   map[string]dbconn.Prepared
	lastCommit lineprotocol.Position // of the session's own last commit
	tx         *transaction
	out        []byte
	trace      trace

	memory       *memorybudget.Reservation
	messageBytes int           // size of the current message, if it arrived in parts
	storedBytes  int           // size of values and prepared statements
	readUntil    kernel.Micros // deadline for receiving a long message; 0 if there is none

	mu   sync.Mutex
	busy bool // the login or a statement is being processed
	// responding is set while the response is being written.
	responding bool
	draining   bool // close when idle and not in a transaction
	closing    bool // close even in an open transaction, without waiting for the client
}

func newSession(p *Pooler, c net.Conn) *session {
	s := &session{
		pooler: p, conn: c, reader: lineprotocol.NewReader(c), values: map[string]string{}, prepared: map[string]dbconn.Prepared{}, busy: true,
		memory: p.memory.NewReservation(uncountedBytes),
	}
	s.reader.ReserveMemory = s.reserveMessage
	return s
}

// run serves the session until the client or the pooler ends it.
func (s *session) run() {
	defer s.memory.Release()
	defer s.conn.Close()
	defer func() {
		if s.tx != nil {
			s.tx.rollBack()
		}
	}()
	if !s.login() {
		return
	}
	for {
		line, err := s.readMessage()
		if err != nil {
			s.reportReadError(err)
			return
		}
		word, rest := lineprotocol.Word(line)
		var answer *lineprotocol.Answer
		switch string(word) {
		case "QUIT":
			return
		case "QUERY":
			id, text := lineprotocol.Word(rest)
			answer = s.query(string(id), string(text))
		default:
			answer = errorResponse(lineprotocol.Malformed, "unknown message", s.state())
		}
		if !s.respond(answer) {
			return
		}
	}
}

// drain makes the session close when it is idle. It is called when the pooler starts to drain.
func (s *session) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	if !s.busy && s.tx == nil {
		s.conn.SetReadDeadline(time.Now().Add(drainIdleTimeout.Duration()))
	}
}

// closeAfterResponse makes the session close as soon as the current statement, if any, is answered,
// also if a transaction is open.
func (s *session) closeAfterResponse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining, s.closing = true, true
	if !s.busy {
		// The deadline lies a little ahead: a message that has already arrived must still be read,
		// and a read after its deadline returns no data.
		s.conn.SetReadDeadline(time.Now().Add(closeIdleTimeout.Duration()))
	}
}

// login handles the LOGIN message. It returns false if the session is to be closed.
func (s *session) login() bool {
	s.conn.SetReadDeadline(time.Now().Add(loginTimeout.Duration()))
	line, err := s.reader.Line()
	if err != nil {
		s.reportReadError(err)
		return false
	}
	s.trace.reset(s.pooler.k.Clock.Now())
	word, rest := lineprotocol.Word(line)
	name, key := lineprotocol.Word(rest)
	if string(word) != "LOGIN" || len(name) == 0 || len(key) == 0 {
		s.trace.setCause(causeMalformed)
		s.sendFinalError(lineprotocol.Malformed, "LOGIN database who")
		return false
	}
	s.database, s.key = string(name), routeconfig.DigestOf(string(key))
	for end := s.pooler.k.Clock.Now() + configurationWait; !s.pooler.control.Ready() && s.pooler.k.Clock.Now() < end; {
		t := time.NewTimer((100 * kernel.Millisecond).Duration())
		select {
		case <-s.pooler.control.Changed():
		case <-t.C:
		}
		t.Stop()
	}
	route, _, conf := s.pooler.route(s.database)
	if route == nil {
		if !s.pooler.control.Ready() {
			s.trace.setCause(causeNotReady)
			s.sendFinalError(lineprotocol.Retry, retryAfter(kernel.Second))
		} else {
			s.trace.setCause(causeNoRoute)
			s.sendFinalError(lineprotocol.NoDB, s.database)
		}
		return false
	}
	if _, code := s.authorize(route, conf); code != "" {
		s.sendFinalError(code, retryAfter(kernel.Second))
		return false
	}
	s.out = lineprotocol.AppendMessage(s.out[:0], "IDLE", "I", "-")
	return s.flush()
}

// sendFinalError sends an error after which the connection is closed, and logs the failure.
func (s *session) sendFinalError(code, text string) {
	s.recordFailure("-", &lineprotocol.Answer{Code: code})
	s.out = lineprotocol.AppendMessage(s.out[:0], "ERROR", code, text)
	s.flush()
}

// reportReadError sends the client the error that corresponds to a failed read, if there is one, and
// drains the input.
func (s *session) reportReadError(err error) {
	switch {
	case errors.Is(err, lineprotocol.ErrOversize):
		s.pooler.k.Counters.Add("pooler.oversize", 1)
		s.trace.setCause(causeMalformed)
		s.sendFinalError(lineprotocol.Oversize, "message over 1 MiB")
		s.drainInput()
	case errors.Is(err, lineprotocol.ErrMalformed):
		s.pooler.k.Counters.Add("pooler.malformed", 1)
		s.trace.setCause(causeMalformed)
		s.sendFinalError(lineprotocol.Malformed, "lines end with CR LF")
		s.drainInput()
	case errors.Is(err, lineprotocol.ErrOutOfMemory):
		s.pooler.k.Counters.Add("pooler.memory_full", 1)
		s.trace.setCause(causeNoMemory)
		s.sendFinalError(lineprotocol.Retry, retryAfter(kernel.Second))
		s.drainInput()
	case errors.Is(err, errMessageTimeout):
		s.pooler.k.Counters.Add("pooler.late_messages", 1)
		s.trace.setCause(causeMalformed)
		s.sendFinalError(lineprotocol.Retry, retryAfter(kernel.Second))
		s.drainInput()
	}
}

// drainInput keeps reading for a moment, so that closing does not reset the connection before the
// client has read the error.
func (s *session) drainInput() {
	s.conn.SetReadDeadline(time.Now().Add((300 * kernel.Millisecond).Duration()))
	buf := make([]byte, 4096)
	for {
		if _, err := s.conn.Read(buf); err != nil {
			return
		}
	}
}

// readMessage waits for the next message. Meanwhile it rolls back an open transaction that exceeds
// its idle timeout. It fails if the pooler closes the session.
func (s *session) readMessage() ([]byte, error) {
	for received := 0; ; {
		idleTimeout := kernel.Micros(0)
		if s.tx != nil && !s.tx.ended {
			if _, _, conf := s.pooler.route(s.database); conf != nil {
				idleTimeout = kernel.Micros(conf.Limits.TxnIdleMs) * kernel.Millisecond
			}
		}
		if !s.prepareRead(idleTimeout) {
			return nil, net.ErrClosed
		}
		line, err := s.reader.Line()
		var ne net.Error
		if err != nil && errors.As(err, &ne) && ne.Timeout() {
			progressed := s.reader.PartialBytes() > received // part of a message has arrived
			received = s.reader.PartialBytes()
			if s.shouldClose(progressed) {
				return nil, net.ErrClosed
			}
			if s.overdue() {
				return nil, errMessageTimeout
			}
			if progressed {
				continue
			}
			if s.tx != nil && !s.tx.ended {
				s.pooler.k.Counters.Add("pooler.rested_too_long", 1)
				s.tx.rollBack()
			}
			continue
		}
		if err != nil {
			return nil, err
		}
		s.readUntil = 0
		s.mu.Lock()
		s.busy = true
		s.mu.Unlock()
		return line, nil
	}
}

// prepareRead marks the session idle and sets the read deadline for the next message. There is no
// deadline if idleTimeout is 0, the pooler is not draining and no long message is being received.
// It returns false if the session is to close now.
func (s *session) prepareRead(idleTimeout kernel.Micros) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy, s.responding = false, false
	if s.closing && !s.reader.Buffered() {
		return false
	}
	if s.draining && s.tx == nil {
		idleTimeout = drainIdleTimeout
	}
	deadline := time.Time{}
	if s.readUntil > 0 {
		remaining := s.readUntil - s.pooler.k.Clock.Now()
		if idleTimeout == 0 || remaining < idleTimeout {
			idleTimeout = max(remaining, 1)
		}
	}
	if idleTimeout > 0 {
		deadline = time.Now().Add(idleTimeout.Duration())
	}
	s.conn.SetReadDeadline(deadline)
	return true
}

// shouldClose reports whether the session is to close because the pooler drains. A session whose
// next message is arriving closes only once the pooler closes its sessions.
func (s *session) shouldClose(progressed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing || s.draining && s.tx == nil && !progressed
}

// respond sends a response to the client and reports whether it was written.
func (s *session) respond(answer *lineprotocol.Answer) bool {
	s.out = answer.Append(s.out[:0])
	s.mu.Lock()
	s.responding = true
	s.mu.Unlock()
	return s.flush()
}

// flush writes the output buffer to the client and reports whether that succeeded. It frees a buffer
// that has grown beyond what is uncounted.
func (s *session) flush() bool {
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout.Duration()))
	_, err := s.conn.Write(s.out)
	if cap(s.out) > uncountedBytes {
		s.out = nil
	}
	return err == nil
}

// state returns the transaction state as the client sees it: I (idle), T (in a transaction) or E
// (in a failed transaction).
func (s *session) state() byte {
	switch {
	case s.tx == nil:
		return 'I'
	case s.tx.failed:
		return 'E'
	}
	return 'T'
}

// query executes one statement, and adds it to the failure log if the response is an error.
func (s *session) query(id, text string) *lineprotocol.Answer {
	s.pooler.statements.Add(1)
	s.pooler.resends.deposit()
	s.trace.reset(s.pooler.k.Clock.Now())
	answer := s.execute(lineprotocol.ParseStatement(id, text))
	if answer.Code != "" {
		s.recordFailure(id, answer)
	}
	s.checkAnsweredInTime(id)
	return answer
}

// execute runs a statement in the open transaction, at a database, or in the session itself.
func (s *session) execute(statement lineprotocol.Statement) *lineprotocol.Answer {
	if statement.ID == "" || statement.Verb == lineprotocol.Invalid {
		s.pooler.k.Counters.Add("pooler.malformed", 1)
		s.trace.setCause(causeMalformed)
		return errorResponse(lineprotocol.Malformed, "unknown text", s.state())
	}
	if s.tx != nil {
		return s.executeInTransaction(statement)
	}
	switch statement.Verb {
	case lineprotocol.Begin, lineprotocol.BeginFetch:
		t, answer := s.beginTransaction(statement)
		s.tx = t
		return answer
	case lineprotocol.Commit, lineprotocol.Abort:
		return errorResponse(lineprotocol.Malformed, "no transaction", 'I')
	case lineprotocol.Fetch, lineprotocol.Put, lineprotocol.Run:
		return s.executeSingle(statement)
	}
	return s.executeLocal(statement)
}

// executeLocal executes a statement that concerns only the session's values and prepared
// statements.
func (s *session) executeLocal(statement lineprotocol.Statement) *lineprotocol.Answer {
	switch statement.Verb {
	case lineprotocol.Option:
		if _, ok := s.values[statement.Name]; !ok && len(s.values) >= maxEntries {
			return errorResponse(lineprotocol.Malformed, "too many values", s.state())
		}
		if answer := s.growStored(entrySize(statement.Name, statement.Rest) - s.storedValueSize(statement.Name)); answer != nil {
			return answer
		}
		s.values[statement.Name] = statement.Rest
	case lineprotocol.Parse:
		if len(s.prepared) >= maxEntries {
			return errorResponse(lineprotocol.Malformed, "too many prepared names", s.state())
		}
		prepared := dbconn.Prepared{Kind: statement.Kind, Text: statement.Rest}
		if answer := s.growStored(preparedSize(statement.Name, prepared) - s.storedPreparedSize(statement.Name)); answer != nil {
			return answer
		}
		s.prepared[statement.Name] = prepared
	case lineprotocol.Close:
		if _, ok := s.prepared[statement.Name]; !ok {
			return errorResponse(lineprotocol.NoSuch, statement.Name, s.state())
		}
		s.growStored(-s.storedPreparedSize(statement.Name))
		delete(s.prepared, statement.Name)
	}
	return &lineprotocol.Answer{Seal: "-", State: s.state()}
}
