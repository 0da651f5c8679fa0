// Package httpconn holds the connections on which databases are spoken to in HTTP
// requests, one at a time on each.
package httpconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
)

// Headers of the wire.
const (
	RequestID  = "X-Indigowalk-Request-Id"
	DeadlineMs = "X-Indigowalk-Deadline-Ms"
	Target     = "X-Indigowalk-Target-Instance"
	NotRun     = "X-Indigowalk-Not-Run"
	Instance   = "X-Indigowalk-Instance-Id"
	APIKey     = "X-Api-Key"
	Tenant     = "X-Indigowalk-Tenant"
)

// Errors of this layer.
var (
	// ErrUnsent says that no byte of the request has left.
	ErrUnsent = errors.New("httpconn: not sent")
	ErrQuiet  = errors.New("httpconn: no answer yet")
	// ErrMalformed says that the database sent something that is no answer.
	ErrMalformed = errors.New("httpconn: malformed answer")
)

const (
	maxHead    = 64 << 10 // of an answer
	maxWhole   = 64 << 10 // bodies up to this are read whole before they are passed on
	maxSurplus = 8        // answers to other requests, or before the final one, that are passed over
	pollBuffer = 4 << 10
	// nearEnd is kept to the time at which a database closes an idle connection.
	nearEnd = 500 * kernel.Millisecond
	// justUsed is how long a connection may have been idle to carry what must
	// not run twice: one that is forgotten by the far end shows it only when it
	// is written to.
	justUsed = 100 * kernel.Millisecond
)

// Pools hold a gateway's connections to all databases.
type Pools = connpool.Pools[Want, *Conn]

// Want is what a borrower wishes of a connection.
type Want struct {
	Sure bool // new, or used a moment ago
}

// Reply is a database's answer. Its body is whole, or followed by Rest.
type Reply struct {
	Status int
	Header http.Header
	Body   []byte
	Length int64 // of the whole body, -1 if that is not known
	Rest   io.Reader
	Freed  <-chan struct{} // with Rest: closed once the connection is free again, or broken
	done   chan struct{}
}

// Close lets the connection go on after an answer with Rest.
func (r *Reply) Close() {
	if r.done != nil {
		close(r.done)
		r.done = nil
	}
}

// asked is the request that is under way.
type asked struct {
	q     *http.Request
	id    string
	until time.Time // then its answer is of no use any more
	ch    chan Result
}

// Result is an answer, or how the request ended without one.
type Result struct {
	Reply *Reply
	Err   error
}

// Conn is one connection to a database.
type Conn struct {
	DB discovery.Database

	c     net.Conn
	meter *meter
	in    *bufio.Reader
	dead  chan struct{}

	mu      sync.Mutex
	now     *asked
	last    bool // it is not used again after the request under way
	closed  bool
	spoilt  bool               // the far end sent what nobody asked for
	ids     [maxSurplus]string // of the last requests
	sent    int                // requests
	idleFor kernel.Micros      // the database keeps it open for, 0 if it did not say
	silent  bool
	onDead  func(byUs, silent bool)
}

// meter bounds what is read of an answer's head.
type meter struct {
	r    io.Reader
	left int64 // below 0: no bound
}

func (m *meter) Read(b []byte) (int, error) {
	if m.left == 0 {
		return 0, ErrMalformed
	}
	if m.left > 0 && int64(len(b)) > m.left {
		b = b[:m.left]
	}
	n, err := m.r.Read(b)
	if m.left > 0 {
		m.left -= int64(n)
	}
	return n, err
}

// Dialer opens connections.
type Dialer struct {
	Net     kernel.Network
	Connect kernel.Micros
	Silence kernel.Micros
	Pace    chan struct{} // bounds those that are being made
	Path    func(service string) string
	Wrap    Wrap // of every connection
}

// Wrap stands between a connection and its use.
type Wrap func(net.Conn) net.Conn

// Open makes a connection.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, _ kernel.Micros) (*Conn, error) {
	c, err := connpool.Dial(ctx, d.Net, d.Pace, db.Address, d.Connect, d.Silence)
	if err != nil {
		return nil, err
	}
	c = d.Wrap(c)
	m := &meter{r: c, left: -1}
	s := &Conn{DB: db, c: c, meter: m, in: bufio.NewReaderSize(m, pollBuffer), dead: make(chan struct{})}
	go s.listen()
	return s, nil
}

// Probe makes a connection and asks for the database's health. Any answer of
// that database's own counts: whether it thinks itself well is not asked, as
// its answer may be false either way. One that takes the connection and does
// not answer in time is slow, which is no fault.
func (d *Dialer) Probe(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	s, err := d.Open(ctx, db, wait)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequest(http.MethodGet, "http://"+db.Address+d.Path(db.Service), nil)
	if err != nil {
		s.Close()
		return nil, fmt.Errorf("%w: %v", connpool.ErrRejected, err)
	}
	q.Header["User-Agent"] = nil
	ch, err := s.Send(q, "", wait)
	if err != nil {
		s.Close()
		return nil, err
	}
	r, err := Await(ch, wait, nil, nil)
	switch {
	case errors.Is(err, ErrQuiet):
		s.Close()
		return nil, connpool.ErrSlow
	case err != nil:
		s.Close()
		return nil, err
	case r.Status == http.StatusMisdirectedRequest, r.Header.Get(Instance) != "" && r.Header.Get(Instance) != db.ID:
		s.Close()
		return nil, fmt.Errorf("%w: another has its address", connpool.ErrRejected)
	}
	return s, nil
}

// Await waits for the answer to what was sent; ErrQuiet says that there is none
// within the span, or when ending or gone closes.
func Await(ch <-chan Result, wait kernel.Micros, ending, gone <-chan struct{}) (*Reply, error) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case r := <-ch:
		return r.Reply, r.Err
	case <-t.C:
	case <-ending:
	case <-gone:
	}
	select {
	case r := <-ch: // it came just before the end
		return r.Reply, r.Err
	default:
		return nil, ErrQuiet
	}
}

// Send writes a request within the span, unless one of the same id went this way
// a moment ago: a surplus answer to that one could not be told from its own; the answer, or how it ended, comes on
// the channel. If a body is not whole in memory it is streamed. What is behind a long answer's
// beginning is read within the span too.
func (s *Conn) Send(q *http.Request, id string, wait kernel.Micros) (<-chan Result, error) {
	until := time.Now().Add(wait.Duration())
	a := &asked{q, id, until, make(chan Result, 1)}
	s.mu.Lock()
	if s.now != nil || s.closed || s.spoilt || !s.Alive() {
		s.mu.Unlock()
		return nil, ErrUnsent
	}
	if id != "" && slices.Contains(s.ids[:], id) {
		s.spoilt = true
		s.mu.Unlock()
		return nil, ErrUnsent
	}
	s.ids[s.sent%len(s.ids)] = id
	s.sent++
	s.now = a
	s.mu.Unlock()
	if err := s.c.SetWriteDeadline(until); err != nil {
		s.Close()
		return nil, ErrUnsent
	}
	out := &outgoing{c: s.c}
	if err := q.Write(out); err == nil {
		err = out.flush()
		if err == nil {
			return a.ch, nil
		}
	}
	// What was written in part may have been read.
	s.Close()
	if out.sent == 0 {
		return nil, ErrUnsent
	}
	return a.ch, nil
}

// outgoing gathers a small request to leave in one piece, and counts what has
// left.
type outgoing struct {
	c    net.Conn
	buf  bytes.Buffer
	sent int64
}

func (o *outgoing) Write(b []byte) (int, error) {
	o.buf.Write(b)
	if o.buf.Len() >= maxWhole {
		if err := o.flush(); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// WriteByte has http.Request.Write do without a buffer of its own.
func (o *outgoing) WriteByte(b byte) error {
	_, err := o.Write([]byte{b})
	return err
}

func (o *outgoing) flush() error {
	if o.buf.Len() == 0 {
		return nil
	}
	n, err := o.c.Write(o.buf.Bytes())
	o.sent += int64(n)
	o.buf.Reset()
	return err
}

// listen reads answers until the connection breaks.
func (s *Conn) listen() {
	err := s.read()
	s.mu.Lock()
	a := s.now
	s.now = nil
	s.silent = errors.Is(err, syscall.ETIMEDOUT)
	f, byUs, silent := s.onDead, s.closed || s.spoilt, s.silent
	s.mu.Unlock()
	close(s.dead)
	s.c.Close()
	if a != nil {
		a.ch <- Result{Err: ending(err)}
	}
	if f != nil {
		f(byUs, silent)
	}
}

// ending turns a connection's end into this layer's errors.
func ending(err error) error {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		return connpool.ErrSilent
	case errors.Is(err, ErrMalformed):
		return err
	}
	return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
}

func (s *Conn) read() error {
	for surplus := 0; ; {
		if _, err := s.in.Peek(1); err != nil {
			return err
		}
		s.mu.Lock()
		a := s.now
		s.spoilt = s.spoilt || a == nil
		s.mu.Unlock()
		if a == nil {
			return ErrMalformed // it answers what nobody asked
		}
		s.meter.left = maxHead
		r, err := http.ReadResponse(s.in, a.q)
		s.meter.left = -1
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) {
				return err
			}
			return fmt.Errorf("%w: %v", ErrMalformed, err)
		}
		mine := a.id == "" || r.Header.Get(RequestID) == a.id
		if r.StatusCode < 200 || !mine {
			if surplus++; surplus > maxSurplus {
				return ErrMalformed
			}
			if r.StatusCode >= 200 {
				s.spoil()
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
			continue
		}
		if err := s.deliver(a, r); err != nil {
			return err
		}
		surplus = 0
		if s.spent() {
			return io.EOF
		}
	}
}

// spoil marks the connection as one that is used no more.
func (s *Conn) spoil() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoilt = true
}

// patient reads the rest of a long answer until it is of no use any more.
type patient struct {
	r     io.Reader
	c     net.Conn
	until time.Time
}

func (p patient) Read(b []byte) (int, error) {
	if err := p.c.SetReadDeadline(p.until); err != nil {
		return 0, err
	}
	return p.r.Read(b)
}

// free ends the request under way; the connection is used no more if something
// came behind its answer.
func (s *Conn) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = nil
	s.spoilt = s.spoilt || s.in.Buffered() > 0
}

// deliver hands the answer out, small ones whole.
func (s *Conn) deliver(a *asked, r *http.Response) error {
	reply := &Reply{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWhole+1))
	if err != nil {
		return err
	}
	reply.Body = body
	var rest chan struct{}
	if len(body) > maxWhole {
		rest = make(chan struct{})
		freed := make(chan struct{})
		defer close(freed)
		reply.Rest, reply.done, reply.Freed = patient{r.Body, s.c, a.until}, rest, freed
	}
	s.note(r)
	if rest == nil {
		s.free()
	}
	a.ch <- Result{Reply: reply}
	if rest != nil {
		<-rest
		if n, err := io.Copy(io.Discard, io.LimitReader(patient{r.Body, s.c, a.until}, maxWhole)); err != nil || n == maxWhole {
			return fmt.Errorf("%w: body not taken in full", connpool.ErrBroken)
		}
		s.free()
		return s.c.SetReadDeadline(time.Time{})
	}
	return nil
}

// note takes in what the answer says of the connection.
func (s *Conn) note(r *http.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last = s.last || r.Close
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if sec, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			s.idleFor = kernel.Micros(sec) * kernel.Second
		}
	}
}

// spent tells whether the connection ends with this answer.
func (s *Conn) spent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last || s.spoilt {
		s.closed = true
	}
	return s.closed
}

// Alive implements connpool.Line.
func (s *Conn) Alive() bool {
	select {
	case <-s.dead:
		return false
	default:
		return true
	}
}

// Clean implements connpool.Line.
func (s *Conn) Clean() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now == nil && !s.closed && !s.last && !s.spoilt
}

// Fit implements connpool.Line.
func (s *Conn) Fit(want Want, idle kernel.Micros) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want.Sure && idle > justUsed || s.idleFor > 0 && idle > s.idleFor-nearEnd || s.spoilt {
		return -1
	}
	return 0
}

// Attach implements connpool.Line.
func (s *Conn) Attach(_ int64, died func(byUs, silent bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDead = died
}

// Close ends the connection.
func (s *Conn) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.c.Close()
}
