// Package dbconn holds the connections on which databases are spoken to in
// statements, each with what is known of its state.
package dbconn

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// Errors of this layer.
var (
	ErrQuiet   = errors.New("dbconn: no answer yet")
	ErrUnbound = errors.New("dbconn: the database is held as down")
	ErrEnding  = errors.New("dbconn: the process ends")
)

// Pool holds a pooler's server connections to all databases; whoever borrows one
// names the session's values, which are best in force on it already.
type Pool = connpool.Pools[Want, *Conn]

// Want is what a borrower wishes of a connection.
type Want struct {
	Tenant string            // on whose behalf; databases are told it at the log-in
	Values map[string]string // best in force already
}

// Conn is one connection to a database. One statement is out at a time: until
// its answer has been taken no other is sent, so that a late answer is never
// taken for another's; and nothing is sent after an answer that was not asked
// for, nor behind which more came.
type Conn struct {
	DB         discovery.Database
	Generation int64  // of the database when the connection was opened
	Login      string // position that the database told at the log-in
	tenant     string // that was told there

	c            net.Conn
	answers      chan *lineprotocol.Answer
	broken       chan struct{}
	unresponsive bool // set before dead is closed: the far end stopped answering

	// Owned by whoever has borrowed the connection.
	values map[string]string
	names  map[string]string // server-side name by kind and text
	state  byte
	// preparedBytes is what the texts of names take, at the most.
	preparedBytes int

	mu             sync.Mutex
	outstanding    bool // a statement was sent, whose answer nobody has taken
	answered       bool // that answer has come
	desynchronized bool // more came than was asked for
	onBroken       func(byUs, silent bool)
	closed         bool
}

// Dialer opens connections to databases.
type Dialer struct {
	Net     kernel.Network
	Who     string        // name given at log-in
	Connect kernel.Micros // for the connection itself
	Silence kernel.Micros
	// DialSlots, if there is one, bounds the connections that are being made: of
	// many at once, on a small machine, none would be made in time, and every
	// database would seem silent.
	DialSlots chan struct{}
}

// Open connects and logs in, naming the expected id. A database to which no
// connection can be made within the span is silent; one that takes the
// connection and does not answer the log-in within wait is slow, which is no
// fault.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	return d.OpenForTenant(ctx, db, "", wait)
}

// OpenForTenant is Open on behalf of a tenant, whose name the database is told; "" for
// none.
func (d *Dialer) OpenForTenant(ctx context.Context, db discovery.Database, tenant string, wait kernel.Micros) (*Conn, error) {
	c, err := connpool.Dial(ctx, d.Net, d.DialSlots, db.Address, d.Connect, d.Silence)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := c.Write(lineprotocol.AppendMessage(nil, "LOGIN", db.Service, cmp.Or(tenant, d.Who), db.ID)); err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	r := lineprotocol.NewReader(c)
	line, err := r.Line()
	if err != nil {
		c.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, connpool.ErrSlow
		case errors.Is(err, syscall.ETIMEDOUT):
			return nil, fmt.Errorf("%w: %v", connpool.ErrSilent, err)
		}
		return nil, fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	word, rest := lineprotocol.Word(line)
	if string(word) != "IDLE" {
		c.Close()
		if code, _ := lineprotocol.Word(rest); string(code) == lineprotocol.MaxConn {
			return nil, fmt.Errorf("%w: %s", connpool.ErrConnectionLimit, rest)
		}
		return nil, fmt.Errorf("%w: %s", connpool.ErrRejected, rest)
	}
	if r.Buffered() {
		c.Close()
		return nil, fmt.Errorf("%w: more came than the answer to the log-in", connpool.ErrBroken)
	}
	if !stop() {
		c.Close() // its time limit is about to be set
		return nil, connpool.ErrSlow
	}
	_, pos := lineprotocol.Word(rest)
	s := &Conn{
		DB: db, Login: string(pos), tenant: tenant, c: c, answers: make(chan *lineprotocol.Answer, 1), broken: make(chan struct{}),
		values: map[string]string{}, names: map[string]string{}, state: 'I',
	}
	go s.readAnswers(r)
	return s, nil
}

func (s *Conn) readAnswers(r *lineprotocol.Reader) {
	for {
		a, err := lineprotocol.ReadAnswer(r)
		if err != nil {
			s.unresponsive = errors.Is(err, syscall.ETIMEDOUT)
			break
		}
		s.mu.Lock()
		asked := s.outstanding && !s.answered
		s.answered, s.desynchronized = true, s.desynchronized || !asked || r.Buffered()
		s.mu.Unlock()
		if !asked {
			break // an answer to nothing: the stream can't be trusted
		}
		s.answers <- a
	}
	close(s.broken)
	s.c.Close()
	s.mu.Lock()
	f, byUs := s.onBroken, s.closed
	s.mu.Unlock()
	if f != nil {
		f(byUs, s.unresponsive)
	}
}

// Attach implements connpool.Line.
func (s *Conn) Attach(generation int64, died func(byUs, silent bool)) {
	s.Generation = generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBroken = died
}

// Clean implements connpool.Line: in state I, with every answer taken.
func (s *Conn) Clean() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == 'I' && !s.outstanding && !s.desynchronized && !s.closed
}

// Fit implements connpool.Line: it must be of the tenant; the same values are best,
// none at all next.
func (s *Conn) Fit(want Want, _ kernel.Micros) int {
	switch {
	case s.tenant != want.Tenant:
		return -1
	case maps.Equal(s.values, want.Values):
		return 2
	case len(s.values) == 0:
		return 1
	}
	return 0
}

// brokenError tells how a dead connection ended.
func (s *Conn) brokenError() error {
	if s.unresponsive {
		return connpool.ErrSilent
	}
	return connpool.ErrBroken
}

// Alive reports whether the connection has not broken yet.
func (s *Conn) Alive() bool {
	select {
	case <-s.broken:
		return false
	default:
		return true
	}
}

// Gate lets a write through by calling it, or refuses it with an error. It may be
// called several times for one statement.
type Gate func(write func() error) error

const (
	// gatedTailBytes are what may be written within a gate: of a longer statement the
	// rest is written before, which runs nothing.
	gatedTailBytes = 1 << 10
	// gateRetryInterval is how long a far end that takes nothing is left before the gate
	// is tried again.
	gateRetryInterval = 5 * kernel.Millisecond
)

// Send writes a statement within the span, its end through the gate if there is
// one. An error means that it was not sent in full: what is cut off before its end
// is not run.
func (s *Conn) Send(msg []byte, wait kernel.Micros, gate Gate) error {
	s.mu.Lock()
	free := !s.outstanding && !s.desynchronized
	s.mu.Unlock()
	switch {
	case !s.Alive():
		return s.brokenError()
	case !free:
		s.Close()
		return fmt.Errorf("%w: an answer is outstanding, or surplus", connpool.ErrBroken)
	case wait <= 0:
		return connpool.ErrDeadline
	}
	end := time.Now().Add(wait.Duration())
	head := max(0, len(msg)-gatedTailBytes)
	if gate == nil {
		head = len(msg)
	}
	s.setOutstanding(head == len(msg))
	if head > 0 {
		if _, err := s.writeBy(msg[:head], end); err != nil {
			s.Close()
			return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
		}
	}
	if gate == nil {
		return nil
	}
	if err := s.sendTail(msg[head:], end, gate); err != nil {
		if head > 0 || !errors.Is(err, errGateRefused) {
			s.Close()
		}
		return err
	}
	return nil
}

// setOutstanding notes that a statement is on its way. Its answer may come as soon as its
// end is written.
func (s *Conn) setOutstanding(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding, s.answered = whole, false
}

// errGateRefused says that a gate refused before anything was written.
var errGateRefused = errors.New("dbconn: refused at the gate")

// sendTail writes the end of a statement through the gate, which is never kept
// while the far end takes nothing.
func (s *Conn) sendTail(end []byte, until time.Time, gate Gate) error {
	// The time limit of the write before, which may have been long ago, is still set.
	if err := s.c.SetWriteDeadline(until); err != nil {
		return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	for whole := len(end); ; {
		var wrote error
		err := gate(func() error {
			s.setOutstanding(true)
			var n int
			n, wrote = s.tryWrite(end)
			end = end[n:]
			return wrote
		})
		switch {
		case wrote != nil:
			return fmt.Errorf("%w: %v", connpool.ErrBroken, wrote)
		case err != nil && len(end) == whole:
			s.setOutstanding(false)
			return fmt.Errorf("%w: %w", errGateRefused, err)
		case err != nil || len(end) == 0:
			return err
		case !time.Now().Before(until):
			return fmt.Errorf("%w: the far end takes nothing", connpool.ErrBroken)
		}
		time.Sleep(gateRetryInterval.Duration())
	}
}

// tryWrite writes what there is room for at once.
func (s *Conn) tryWrite(b []byte) (int, error) {
	if w, ok := s.c.(kernel.TryWriter); ok {
		return w.TryWrite(b)
	}
	return s.c.Write(b)
}

// writeBy writes by the deadline.
func (s *Conn) writeBy(b []byte, by time.Time) (int, error) {
	if err := s.c.SetWriteDeadline(by); err != nil {
		return 0, err
	}
	return s.c.Write(b)
}

// takeAnswer notes that an answer was taken.
func (s *Conn) takeAnswer(a *lineprotocol.Answer) *lineprotocol.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.outstanding, s.answered = a.State, false, false
	return a
}

// Watch is what the wait for an answer looks out for.
type Watch struct {
	Quiet   kernel.Micros   // after so long without an answer Doubt is called, once
	Doubt   func() bool     // whether to go on waiting; if not, ErrQuiet
	Unbound <-chan struct{} // the wait ends with ErrUnbound when it closes,
	Ending  <-chan struct{} // and with ErrEnding when that does
}

// Receive waits for the next answer, for at most the span.
func (s *Conn) Receive(wait kernel.Micros, w Watch) (*lineprotocol.Answer, error) {
	select {
	case a := <-s.answers:
		return s.takeAnswer(a), nil
	default:
	}
	if w.Doubt != nil && w.Quiet < wait {
		a, err := s.receive(w.Quiet, w)
		if !errors.Is(err, connpool.ErrDeadline) {
			return a, err
		}
		if !w.Doubt() {
			return nil, ErrQuiet
		}
		wait -= w.Quiet
	}
	return s.receive(wait, w)
}

func (s *Conn) receive(wait kernel.Micros, w Watch) (*lineprotocol.Answer, error) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case a := <-s.answers:
		return s.takeAnswer(a), nil
	case <-w.Unbound:
		return nil, ErrUnbound
	case <-w.Ending:
		return nil, ErrEnding
	case <-s.broken:
		select {
		case a := <-s.answers: // it came just before the end
			return s.takeAnswer(a), nil
		default:
			return nil, s.brokenError()
		}
	case <-t.C:
		return nil, connpool.ErrDeadline
	}
}

// Patience bounds the wait for the answers to statements of the pool's own, however many
// are asked one after the other.
type Patience struct {
	Until  time.Time
	Ending <-chan struct{} // the wait ends with ErrEnding when it closes
}

// For is the patience that lasts for a span and no longer than the process.
func For(span kernel.Micros, ending <-chan struct{}) Patience {
	return Patience{time.Now().Add(span.Duration()), ending}
}

func (p Patience) remaining() kernel.Micros {
	return kernel.Micros(time.Until(p.Until) / time.Microsecond)
}

// Ask sends a statement of the pool's own and waits for its answer.
func (s *Conn) Ask(text string, p Patience) (*lineprotocol.Answer, error) {
	if err := s.Send(lineprotocol.AppendMessage(nil, "QUERY", "-", text), p.remaining(), nil); err != nil {
		return nil, err
	}
	return s.Receive(p.remaining(), Watch{Ending: p.Ending})
}

// State is I, T or E as the database last told it.
func (s *Conn) State() byte { return s.state }

// Close ends the connection; what was uncommitted is rolled back.
func (s *Conn) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.c.Close()
}
