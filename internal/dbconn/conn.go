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

	c       net.Conn
	answers chan *lineprotocol.Answer
	dead    chan struct{}
	silent  bool // set before dead is closed: the far end stopped answering

	// Owned by whoever has borrowed the connection.
	values map[string]string
	names  map[string]string // server-side name by kind and text
	state  byte
	// preparedBytes is what the texts of names take, at the most.
	preparedBytes int

	mu     sync.Mutex
	out    bool // a statement was sent, whose answer nobody has taken
	read   bool // that answer has come
	spoilt bool // more came than was asked for
	onDead func(byUs, silent bool)
	closed bool
}

// Dialer opens connections to databases.
type Dialer struct {
	Net     kernel.Network
	Who     string        // name given at log-in
	Connect kernel.Micros // for the connection itself
	Silence kernel.Micros
	// Pace, if there is one, bounds the connections that are being made: of
	// many at once, on a small machine, none would be made in time, and every
	// database would seem silent.
	Pace chan struct{}
}

// Open connects and logs in, naming the expected id. A database to which no
// connection can be made within the span is silent; one that takes the
// connection and does not answer the log-in within wait is slow, which is no
// fault.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	return d.OpenFor(ctx, db, "", wait)
}

// OpenFor is Open on behalf of a tenant, whose name the database is told; "" for
// none.
func (d *Dialer) OpenFor(ctx context.Context, db discovery.Database, tenant string, wait kernel.Micros) (*Conn, error) {
	c, err := connpool.Dial(ctx, d.Net, d.Pace, db.Address, d.Connect, d.Silence)
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
			return nil, fmt.Errorf("%w: %s", connpool.ErrCapped, rest)
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
		DB: db, Login: string(pos), tenant: tenant, c: c, answers: make(chan *lineprotocol.Answer, 1), dead: make(chan struct{}),
		values: map[string]string{}, names: map[string]string{}, state: 'I',
	}
	go s.listen(r)
	return s, nil
}

func (s *Conn) listen(r *lineprotocol.Reader) {
	for {
		a, err := lineprotocol.ReadAnswer(r)
		if err != nil {
			s.silent = errors.Is(err, syscall.ETIMEDOUT)
			break
		}
		s.mu.Lock()
		asked := s.out && !s.read
		s.read, s.spoilt = true, s.spoilt || !asked || r.Buffered()
		s.mu.Unlock()
		if !asked {
			break // an answer to nothing: the stream can't be trusted
		}
		s.answers <- a
	}
	close(s.dead)
	s.c.Close()
	s.mu.Lock()
	f, byUs := s.onDead, s.closed
	s.mu.Unlock()
	if f != nil {
		f(byUs, s.silent)
	}
}

// Attach implements connpool.Line.
func (s *Conn) Attach(generation int64, died func(byUs, silent bool)) {
	s.Generation = generation
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDead = died
}

// Clean implements connpool.Line: in state I, with every answer taken.
func (s *Conn) Clean() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state == 'I' && !s.out && !s.spoilt && !s.closed
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

// fault tells how a dead connection ended.
func (s *Conn) fault() error {
	if s.silent {
		return connpool.ErrSilent
	}
	return connpool.ErrBroken
}

// Alive reports whether the connection has not broken yet.
func (s *Conn) Alive() bool {
	select {
	case <-s.dead:
		return false
	default:
		return true
	}
}

// Gate lets a write through by calling it, or refuses it with an error. It may be
// called several times for one statement.
type Gate func(write func() error) error

const (
	// gatedBytes are what may be written within a gate: of a longer statement the
	// rest is written before, which runs nothing.
	gatedBytes = 1 << 10
	// gatePause is how long a far end that takes nothing is left before the gate
	// is tried again.
	gatePause = 5 * kernel.Millisecond
)

// Send writes a statement within the span, its end through the gate if there is
// one. An error means that it was not sent in full: what is cut off before its end
// is not run.
func (s *Conn) Send(msg []byte, wait kernel.Micros, gate Gate) error {
	s.mu.Lock()
	free := !s.out && !s.spoilt
	s.mu.Unlock()
	switch {
	case !s.Alive():
		return s.fault()
	case !free:
		s.Close()
		return fmt.Errorf("%w: an answer is outstanding, or surplus", connpool.ErrBroken)
	case wait <= 0:
		return connpool.ErrDeadline
	}
	end := time.Now().Add(wait.Duration())
	head := max(0, len(msg)-gatedBytes)
	if gate == nil {
		head = len(msg)
	}
	s.begin(head == len(msg))
	if head > 0 {
		if _, err := s.write(msg[:head], end); err != nil {
			s.Close()
			return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
		}
	}
	if gate == nil {
		return nil
	}
	if err := s.sendEnd(msg[head:], end, gate); err != nil {
		if head > 0 || !errors.Is(err, errShut) {
			s.Close()
		}
		return err
	}
	return nil
}

// begin notes that a statement is on its way. Its answer may come as soon as its
// end is written.
func (s *Conn) begin(whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out, s.read = whole, false
}

// errShut says that a gate refused before anything was written.
var errShut = errors.New("dbconn: refused at the gate")

// sendEnd writes the end of a statement through the gate, which is never kept
// while the far end takes nothing.
func (s *Conn) sendEnd(end []byte, until time.Time, gate Gate) error {
	// The time limit of the write before, which may have been long ago, is still set.
	if err := s.c.SetWriteDeadline(until); err != nil {
		return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	for whole := len(end); ; {
		var wrote error
		err := gate(func() error {
			s.begin(true)
			var n int
			n, wrote = s.tryWrite(end)
			end = end[n:]
			return wrote
		})
		switch {
		case wrote != nil:
			return fmt.Errorf("%w: %v", connpool.ErrBroken, wrote)
		case err != nil && len(end) == whole:
			s.begin(false)
			return fmt.Errorf("%w: %w", errShut, err)
		case err != nil || len(end) == 0:
			return err
		case !time.Now().Before(until):
			return fmt.Errorf("%w: the far end takes nothing", connpool.ErrBroken)
		}
		time.Sleep(gatePause.Duration())
	}
}

// tryWrite writes what there is room for at once.
func (s *Conn) tryWrite(b []byte) (int, error) {
	if w, ok := s.c.(kernel.TryWriter); ok {
		return w.TryWrite(b)
	}
	return s.c.Write(b)
}

// write writes by the deadline.
func (s *Conn) write(b []byte, by time.Time) (int, error) {
	if err := s.c.SetWriteDeadline(by); err != nil {
		return 0, err
	}
	return s.c.Write(b)
}

// take notes that an answer was taken.
func (s *Conn) take(a *lineprotocol.Answer) *lineprotocol.Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.out, s.read = a.State, false, false
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
		return s.take(a), nil
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
		return s.take(a), nil
	case <-w.Unbound:
		return nil, ErrUnbound
	case <-w.Ending:
		return nil, ErrEnding
	case <-s.dead:
		select {
		case a := <-s.answers: // it came just before the end
			return s.take(a), nil
		default:
			return nil, s.fault()
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

func (p Patience) left() kernel.Micros { return kernel.Micros(time.Until(p.Until) / time.Microsecond) }

// Ask sends a statement of the pool's own and waits for its answer.
func (s *Conn) Ask(text string, p Patience) (*lineprotocol.Answer, error) {
	if err := s.Send(lineprotocol.AppendMessage(nil, "QUERY", "-", text), p.left(), nil); err != nil {
		return nil, err
	}
	return s.Receive(p.left(), Watch{Ending: p.Ending})
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
