// Package dbconn implements connections to databases that speak the line protocol. It tracks the state
// of each connection: its session values, prepared statements and transaction state.
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

// Errors of waiting for the answer to a statement.
var (
	ErrNoAnswerYet  = errors.New("dbconn: no answer yet")
	ErrMarkedDown   = errors.New("dbconn: the database is marked down")
	ErrShuttingDown = errors.New("dbconn: the process is shutting down")
)

// Pool holds a pooler's connections to all databases. A borrower specifies its tenant and session
// values, and preferably gets a connection that has the values set already.
type Pool = connpool.Pools[Want, *Conn]

// Want describes what a borrower requires of a connection and what it prefers.
type Want struct {
	Tenant string            // required: the tenant that was sent to the database at the log-in
	Values map[string]string // preferred: the session values that are set already
}

// Conn is one connection to a database. At most one statement is outstanding: no other is sent until
// its answer has been received, so that a late answer is never taken for that of another statement.
// Nothing is sent any more after an unsolicited answer, or after one that was followed by more data.
type Conn struct {
	DB            discovery.Database
	Generation    int64  // generation of the database when the connection was opened
	LoginPosition string // position that the database reported at the log-in
	tenant        string // tenant sent at the log-in

	conn         net.Conn
	answers      chan *lineprotocol.Answer
	broken       chan struct{} // closed when the connection has broken
	unresponsive bool          // set before broken is closed: the database stopped responding

	// The following fields belong to the current borrower.
	values        map[string]string
	preparedNames map[string]string // names under which statements are prepared, by Prepared.key
	state         byte              // transaction state that the database last reported
	// preparedBytes is an upper bound of the size of the statements in preparedNames.
	preparedBytes int

	mu             sync.Mutex
	outstanding    bool // a statement was sent and its answer has not been received by the borrower
	answered       bool // the answer to the outstanding statement has arrived
	desynchronized bool // data arrived that does not belong to the answer of a statement
	onBroken       func(closedLocally, unresponsive bool)
	closed         bool
}

// Dialer opens connections to databases.
type Dialer struct {
	Net                 kernel.Network
	ClientName          string        // client name sent at the log-in
	ConnectTimeout      kernel.Micros // time limit for establishing the connection
	UnresponsiveTimeout kernel.Micros // about how long the database may be unresponsive before the connection breaks, 0 for no limit
	// DialSlots, if not nil, limits concurrent connection attempts: with many at once on a small
	// machine none would complete in time, and every database would seem unresponsive.
	DialSlots chan struct{}
}

// Open connects to the database and logs in, stating the expected database ID. A database that
// accepts no connection within d.ConnectTimeout is unresponsive (ErrUnresponsive). One that accepts
// the connection but does not answer the log-in within wait is slow (ErrNotReady), which is not a
// failure.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	return d.OpenForTenant(ctx, db, "", wait)
}

// OpenForTenant is like Open, and logs in on behalf of a tenant if the name is not empty.
func (d *Dialer) OpenForTenant(ctx context.Context, db discovery.Database, tenant string, wait kernel.Micros) (*Conn, error) {
	conn, err := connpool.Dial(ctx, d.Net, d.DialSlots, db.Address, d.ConnectTimeout, d.UnresponsiveTimeout)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if _, err := conn.Write(lineprotocol.AppendMessage(nil, "LOGIN", db.Service, cmp.Or(tenant, d.ClientName), db.ID)); err != nil {
		conn.Close()
		return nil, fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	reader := lineprotocol.NewReader(conn)
	line, err := reader.Line()
	if err != nil {
		conn.Close()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, connpool.ErrNotReady
		case errors.Is(err, syscall.ETIMEDOUT):
			return nil, fmt.Errorf("%w: %v", connpool.ErrUnresponsive, err)
		}
		return nil, fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	kind, rest := lineprotocol.Word(line)
	if string(kind) != "IDLE" {
		conn.Close()
		if code, _ := lineprotocol.Word(rest); string(code) == lineprotocol.MaxConn {
			return nil, fmt.Errorf("%w: %s", connpool.ErrConnectionLimit, rest)
		}
		return nil, fmt.Errorf("%w: %s", connpool.ErrRejected, rest)
	}
	if reader.Buffered() {
		conn.Close()
		return nil, fmt.Errorf("%w: unexpected data after the answer to the log-in", connpool.ErrBroken)
	}
	if !stop() {
		conn.Close() // its deadline is about to be set
		return nil, connpool.ErrNotReady
	}
	_, position := lineprotocol.Word(rest)
	c := &Conn{
		DB: db, LoginPosition: string(position), tenant: tenant, conn: conn, answers: make(chan *lineprotocol.Answer, 1), broken: make(chan struct{}),
		values: map[string]string{}, preparedNames: map[string]string{}, state: 'I',
	}
	go c.readAnswers(reader)
	return c, nil
}

// readAnswers reads answers until the connection breaks or an unsolicited answer arrives, then closes
// the connection and runs the callback.
func (c *Conn) readAnswers(reader *lineprotocol.Reader) {
	for {
		answer, err := lineprotocol.ReadAnswer(reader)
		if err != nil {
			c.unresponsive = errors.Is(err, syscall.ETIMEDOUT)
			break
		}
		c.mu.Lock()
		requested := c.outstanding && !c.answered
		c.answered, c.desynchronized = true, c.desynchronized || !requested || reader.Buffered()
		c.mu.Unlock()
		if !requested {
			break // after an unsolicited answer, later ones can't be matched to statements
		}
		c.answers <- answer
	}
	close(c.broken)
	c.conn.Close()
	c.mu.Lock()
	onBroken, closedLocally := c.onBroken, c.closed
	c.mu.Unlock()
	if onBroken != nil {
		onBroken(closedLocally, c.unresponsive)
	}
}

// Attach implements connpool.Connection.
func (c *Conn) Attach(generation int64, onBroken func(closedLocally, unresponsive bool)) {
	c.Generation = generation
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onBroken = onBroken
}

// Reusable implements connpool.Connection: it reports whether no transaction is open, every answer has
// been received, and no unexpected data has arrived.
func (c *Conn) Reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == 'I' && !c.outstanding && !c.desynchronized && !c.closed
}

// Score implements connpool.Connection: the tenant must be the same. A connection with the same
// session values is best, one without any values is second best.
func (c *Conn) Score(want Want, _ kernel.Micros) int {
	switch {
	case c.tenant != want.Tenant:
		return -1
	case maps.Equal(c.values, want.Values):
		return 2
	case len(c.values) == 0:
		return 1
	}
	return 0
}

// brokenError returns the error for the way in which the connection broke.
func (c *Conn) brokenError() error {
	if c.unresponsive {
		return connpool.ErrUnresponsive
	}
	return connpool.ErrBroken
}

// Alive reports whether the connection has not broken yet.
func (c *Conn) Alive() bool {
	select {
	case <-c.broken:
		return false
	default:
		return true
	}
}

// Gate decides whether a statement may be written: it either calls write or returns an error. It may
// be called several times for one statement.
type Gate func(write func() error) error

const (
	// gatedTailBytes is the most that is written through a gate. The beginning of a longer
	// statement is written before that, since the database runs nothing until the end arrives.
	gatedTailBytes = 1 << 10
	// gateRetryInterval is the pause before the gate is called again when the database accepts no
	// data.
	gateRetryInterval = 5 * kernel.Millisecond
)

// Send writes a statement within the time limit. If there is a gate, the end of the statement is
// written through it. An error means that the statement was not sent completely, so the database does
// not run it.
func (c *Conn) Send(msg []byte, wait kernel.Micros, gate Gate) error {
	c.mu.Lock()
	ready := !c.outstanding && !c.desynchronized
	c.mu.Unlock()
	switch {
	case !c.Alive():
		return c.brokenError()
	case !ready:
		c.Close()
		return fmt.Errorf("%w: an answer is outstanding, or unexpected data arrived", connpool.ErrBroken)
	case wait <= 0:
		return connpool.ErrDeadline
	}
	deadline := time.Now().Add(wait.Duration())
	head := max(0, len(msg)-gatedTailBytes)
	if gate == nil {
		head = len(msg)
	}
	c.setOutstanding(head == len(msg))
	if head > 0 {
		if _, err := c.writeBy(msg[:head], deadline); err != nil {
			c.Close()
			return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
		}
	}
	if gate == nil {
		return nil
	}
	if err := c.sendTail(msg[head:], deadline, gate); err != nil {
		if head > 0 || !errors.Is(err, errGateRefused) {
			c.Close()
		}
		return err
	}
	return nil
}

// setOutstanding records whether a complete statement is outstanding. It is called with true
// before the end of the statement is written, since the answer may arrive right after that.
func (c *Conn) setOutstanding(outstanding bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding, c.answered = outstanding, false
}

// errGateRefused means that the gate refused the statement before any byte of its end was written.
var errGateRefused = errors.New("dbconn: statement refused before it was written")

// sendTail writes the end of a statement through the gate. It never blocks within the gate: while
// the database accepts no data, it leaves the gate and calls it again later.
func (c *Conn) sendTail(tail []byte, deadline time.Time, gate Gate) error {
	// The deadline of the previous write, which may have been long ago, is still set.
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
	}
	for size := len(tail); ; {
		var writeErr error
		err := gate(func() error {
			c.setOutstanding(true)
			var n int
			n, writeErr = c.tryWrite(tail)
			tail = tail[n:]
			return writeErr
		})
		switch {
		case writeErr != nil:
			return fmt.Errorf("%w: %v", connpool.ErrBroken, writeErr)
		case err != nil && len(tail) == size:
			c.setOutstanding(false)
			return fmt.Errorf("%w: %w", errGateRefused, err)
		case err != nil || len(tail) == 0:
			return err
		case !time.Now().Before(deadline):
			return fmt.Errorf("%w: the database accepts no data", connpool.ErrBroken)
		}
		time.Sleep(gateRetryInterval.Duration())
	}
}

// tryWrite writes as much as can be written without blocking, if the connection supports that.
func (c *Conn) tryWrite(b []byte) (int, error) {
	if w, ok := c.conn.(kernel.TryWriter); ok {
		return w.TryWrite(b)
	}
	return c.conn.Write(b)
}

// writeBy writes b before the deadline.
func (c *Conn) writeBy(b []byte, deadline time.Time) (int, error) {
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.conn.Write(b)
}

// takeAnswer records that the answer to the outstanding statement has been received, and returns it.
func (c *Conn) takeAnswer(answer *lineprotocol.Answer) *lineprotocol.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.outstanding, c.answered = answer.State, false, false
	return answer
}

// Watch configures what may end the wait for an answer early.
type Watch struct {
	DelayThreshold kernel.Micros   // OnDelay is called once, after this time without an answer
	OnDelay        func() bool     // reports whether to continue the wait; if not, it ends with ErrNoAnswerYet
	MarkedDown     <-chan struct{} // when closed, the wait ends with ErrMarkedDown
	ShuttingDown   <-chan struct{} // when closed, the wait ends with ErrShuttingDown
}

// Receive waits for the next answer, for at most the given time.
func (c *Conn) Receive(wait kernel.Micros, watch Watch) (*lineprotocol.Answer, error) {
	select {
	case answer := <-c.answers:
		return c.takeAnswer(answer), nil
	default:
	}
	if watch.OnDelay != nil && watch.DelayThreshold < wait {
		answer, err := c.receive(watch.DelayThreshold, watch)
		if !errors.Is(err, connpool.ErrDeadline) {
			return answer, err
		}
		if !watch.OnDelay() {
			return nil, ErrNoAnswerYet
		}
		wait -= watch.DelayThreshold
	}
	return c.receive(wait, watch)
}

func (c *Conn) receive(wait kernel.Micros, watch Watch) (*lineprotocol.Answer, error) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case answer := <-c.answers:
		return c.takeAnswer(answer), nil
	case <-watch.MarkedDown:
		return nil, ErrMarkedDown
	case <-watch.ShuttingDown:
		return nil, ErrShuttingDown
	case <-c.broken:
		select {
		case answer := <-c.answers: // it arrived just before the connection broke
			return c.takeAnswer(answer), nil
		default:
			return nil, c.brokenError()
		}
	case <-t.C:
		return nil, connpool.ErrDeadline
	}
}

// WaitLimit limits the total wait for the answers to a sequence of statements that this process sends
// on its own account.
type WaitLimit struct {
	Until        time.Time
	ShuttingDown <-chan struct{} // when closed, the wait ends with ErrShuttingDown
}

// NewLimit returns a WaitLimit that lasts for the given time, and ends early when shuttingDown
// is closed.
func NewLimit(timeout kernel.Micros, shuttingDown <-chan struct{}) WaitLimit {
	return WaitLimit{time.Now().Add(timeout.Duration()), shuttingDown}
}

func (l WaitLimit) left() kernel.Micros { return kernel.Micros(time.Until(l.Until) / time.Microsecond) }

// Execute executes a statement that this process sends on its own account, and returns its answer.
func (c *Conn) Execute(text string, limit WaitLimit) (*lineprotocol.Answer, error) {
	if err := c.Send(lineprotocol.AppendMessage(nil, "QUERY", "-", text), limit.left(), nil); err != nil {
		return nil, err
	}
	return c.Receive(limit.left(), Watch{ShuttingDown: limit.ShuttingDown})
}

// State returns the transaction state that the database last reported: I, T or E.
func (c *Conn) State() byte { return c.state }

// Close closes the connection. The database then rolls an open transaction back.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.conn.Close()
}
