// Package httpconn manages HTTP connections to databases. Each connection carries one request at
// a time.
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

// HTTP headers exchanged with clients and databases.
const (
	RequestID  = "X-Indigowalk-Request-Id"
	DeadlineMs = "X-Indigowalk-Deadline-Ms"
	Target     = "X-Indigowalk-Target-Instance"
	NotRun     = "X-Indigowalk-Not-Run"
	Instance   = "X-Indigowalk-Instance-Id"
	APIKey     = "X-Api-Key"
	Tenant     = "X-Indigowalk-Tenant"
)

// Errors returned by this package.
var (
	// ErrUnsent reports that no byte of the request was sent.
	ErrUnsent = errors.New("httpconn: request not sent")
	// ErrNoResponse reports that no response has arrived yet.
	ErrNoResponse = errors.New("httpconn: no response yet")
	// ErrMalformed reports that the database sent something that is not a valid response.
	ErrMalformed = errors.New("httpconn: malformed response")
)

const (
	maxHeaderBytes      = 64 << 10 // of a response
	maxBufferedBody     = 64 << 10 // bodies up to this size are read in full before they are forwarded
	maxSurplusResponses = 8        // responses to other requests, or interim ones, that are skipped
	readBufferSize      = 4 << 10
	// idleCloseMargin is how long before the database closes an idle connection its use stops.
	idleCloseMargin = 500 * kernel.Millisecond
	// recentUse is how long a connection may have been idle and still carry a request that must
	// not run twice: a connection that the far end has dropped shows it only when it is written
	// to.
	recentUse = 100 * kernel.Millisecond
)

// Pools hold a gateway's connections to all databases.
type Pools = connpool.Pools[Want, *Conn]

// Want is what a borrower requires of a connection.
type Want struct {
	Fresh bool // new, or used a moment ago
}

// Reply is a database's response. Body holds the whole body, or its beginning if Remainder is set.
type Reply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Length    int64 // of the whole body; -1 if unknown
	Remainder io.Reader
	Released  <-chan struct{} // set with Remainder: closed once the connection is free again or broken
	done      chan struct{}
}

// Close ends the reading of a response with Remainder, so that its connection can be reused.
func (r *Reply) Close() {
	if r.done != nil {
		close(r.done)
		r.done = nil
	}
}

// pendingRequest is the request in progress on a connection.
type pendingRequest struct {
	request  *http.Request
	id       string
	deadline time.Time // the response is of no use afterwards
	result   chan Result
}

// Result is a response, or the error with which the request ended.
type Result struct {
	Reply *Reply
	Err   error
}

// Conn is one connection to a database.
type Conn struct {
	DB discovery.Database

	c       net.Conn
	limiter *headerLimiter
	in      *bufio.Reader
	done    chan struct{}

	mu                sync.Mutex
	pending           *pendingRequest
	closeAfterPending bool // not reused after the request in progress
	closed            bool
	tainted           bool                        // an unexpected response arrived, or might: not reused
	recentIDs         [maxSurplusResponses]string // of the most recent requests
	sent              int                         // number of requests
	idleTimeout       kernel.Micros               // after which the database closes it; 0 if not announced
	unresponsive      bool
	onClose           func(byUs, silent bool)
}

// headerLimiter limits how much is read of a response's header.
type headerLimiter struct {
	r    io.Reader
	left int64 // negative for no limit
}

func (m *headerLimiter) Read(b []byte) (int, error) {
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
	Net            kernel.Network
	ConnectTimeout kernel.Micros
	SilenceTimeout kernel.Micros
	DialSlots      chan struct{} // limits the number of dials in progress
	HealthPath     func(service string) string
	Wrap           Wrap // applied to every connection
}

// Wrap wraps a new connection before use.
type Wrap func(net.Conn) net.Conn

// Open establishes a connection.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, _ kernel.Micros) (*Conn, error) {
	c, err := connpool.Dial(ctx, d.Net, d.DialSlots, db.Address, d.ConnectTimeout, d.SilenceTimeout)
	if err != nil {
		return nil, err
	}
	c = d.Wrap(c)
	m := &headerLimiter{r: c, left: -1}
	s := &Conn{DB: db, c: c, limiter: m, in: bufio.NewReaderSize(m, readBufferSize), done: make(chan struct{})}
	go s.readLoop()
	return s, nil
}

// Probe opens a connection and requests the database's health. Any response that comes from that
// database counts, whatever health it reports, because the report may be wrong either way. A
// database that accepts the connection and does not respond in time is slow, which is not a
// failure.
func (d *Dialer) Probe(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	s, err := d.Open(ctx, db, wait)
	if err != nil {
		return nil, err
	}
	q, err := http.NewRequest(http.MethodGet, "http://"+db.Address+d.HealthPath(db.Service), nil)
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
	case errors.Is(err, ErrNoResponse):
		s.Close()
		return nil, connpool.ErrNotReady
	case err != nil:
		s.Close()
		return nil, err
	case r.Status == http.StatusMisdirectedRequest, r.Header.Get(Instance) != "" && r.Header.Get(Instance) != db.ID:
		s.Close()
		return nil, fmt.Errorf("%w: another database responds at its address", connpool.ErrRejected)
	}
	return s, nil
}

// Await waits for the result of a request that was sent. It returns ErrNoResponse if there is none
// within wait, or when draining or disconnected is closed.
func Await(ch <-chan Result, wait kernel.Micros, draining, disconnected <-chan struct{}) (*Reply, error) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case r := <-ch:
		return r.Reply, r.Err
	case <-t.C:
	case <-draining:
	case <-disconnected:
	}
	select {
	case r := <-ch: // it arrived just before the end
		return r.Reply, r.Err
	default:
		return nil, ErrNoResponse
	}
}

// Send writes a request, and delivers its response or the error on the returned channel. It
// refuses a request whose ID was sent on this connection recently, because a surplus response to
// the earlier one could not be told from its own. A body that is not entirely in memory is
// streamed. Writing, and reading the remainder of a long response, must end within wait.
func (s *Conn) Send(q *http.Request, id string, wait kernel.Micros) (<-chan Result, error) {
	deadline := time.Now().Add(wait.Duration())
	p := &pendingRequest{q, id, deadline, make(chan Result, 1)}
	s.mu.Lock()
	if s.pending != nil || s.closed || s.tainted || !s.Alive() {
		s.mu.Unlock()
		return nil, ErrUnsent
	}
	if id != "" && slices.Contains(s.recentIDs[:], id) {
		s.tainted = true
		s.mu.Unlock()
		return nil, ErrUnsent
	}
	s.recentIDs[s.sent%len(s.recentIDs)] = id
	s.sent++
	s.pending = p
	s.mu.Unlock()
	if err := s.c.SetWriteDeadline(deadline); err != nil {
		s.Close()
		return nil, ErrUnsent
	}
	writer := &requestWriter{c: s.c}
	if err := q.Write(writer); err == nil {
		err = writer.flush()
		if err == nil {
			return p.result, nil
		}
	}
	// A partly written request may have been read by the database.
	s.Close()
	if writer.sent == 0 {
		return nil, ErrUnsent
	}
	return p.result, nil
}

// requestWriter buffers a small request so that it is sent in one piece, and counts the bytes sent.
type requestWriter struct {
	c    net.Conn
	buf  bytes.Buffer
	sent int64
}

func (o *requestWriter) Write(b []byte) (int, error) {
	o.buf.Write(b)
	if o.buf.Len() >= maxBufferedBody {
		if err := o.flush(); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// WriteByte implements io.ByteWriter, so that http.Request.Write adds no buffer of its own.
func (o *requestWriter) WriteByte(b byte) error {
	_, err := o.Write([]byte{b})
	return err
}

func (o *requestWriter) flush() error {
	if o.buf.Len() == 0 {
		return nil
	}
	n, err := o.c.Write(o.buf.Bytes())
	o.sent += int64(n)
	o.buf.Reset()
	return err
}

// readLoop reads responses until the connection fails.
func (s *Conn) readLoop() {
	err := s.readResponses()
	s.mu.Lock()
	p := s.pending
	s.pending = nil
	s.unresponsive = errors.Is(err, syscall.ETIMEDOUT)
	onClose, byUs, unresponsive := s.onClose, s.closed || s.tainted, s.unresponsive
	s.mu.Unlock()
	close(s.done)
	s.c.Close()
	if p != nil {
		p.result <- Result{Err: closeError(err)}
	}
	if onClose != nil {
		onClose(byUs, unresponsive)
	}
}

// closeError converts the error that ended a connection to one of this layer's errors.
func closeError(err error) error {
	switch {
	case errors.Is(err, syscall.ETIMEDOUT):
		return connpool.ErrUnresponsive
	case errors.Is(err, ErrMalformed):
		return err
	}
	return fmt.Errorf("%w: %v", connpool.ErrBroken, err)
}

func (s *Conn) readResponses() error {
	for surplus := 0; ; {
		if _, err := s.in.Peek(1); err != nil {
			return err
		}
		s.mu.Lock()
		p := s.pending
		s.tainted = s.tainted || p == nil
		s.mu.Unlock()
		if p == nil {
			return ErrMalformed // a response without a request
		}
		s.limiter.left = maxHeaderBytes
		r, err := http.ReadResponse(s.in, p.request)
		s.limiter.left = -1
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) {
				return err
			}
			return fmt.Errorf("%w: %v", ErrMalformed, err)
		}
		matches := p.id == "" || r.Header.Get(RequestID) == p.id
		if r.StatusCode < 200 || !matches {
			if surplus++; surplus > maxSurplusResponses {
				return ErrMalformed
			}
			if r.StatusCode >= 200 {
				s.taint()
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return err
			}
			continue
		}
		if err := s.deliver(p, r); err != nil {
			return err
		}
		surplus = 0
		if s.closeIfSpent() {
			return io.EOF
		}
	}
}

// taint marks the connection as not to be reused.
func (s *Conn) taint() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tainted = true
}

// deadlineReader reads the remainder of a long response, until its deadline.
type deadlineReader struct {
	r        io.Reader
	c        net.Conn
	deadline time.Time
}

func (p deadlineReader) Read(b []byte) (int, error) {
	if err := p.c.SetReadDeadline(p.deadline); err != nil {
		return 0, err
	}
	return p.r.Read(b)
}

// finishRequest ends the request in progress. The connection is not reused if more data followed
// the response.
func (s *Conn) finishRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = nil
	s.tainted = s.tainted || s.in.Buffered() > 0
}

// deliver passes the response on, small ones in full.
func (s *Conn) deliver(p *pendingRequest, r *http.Response) error {
	reply := &Reply{Status: r.StatusCode, Header: r.Header, Length: r.ContentLength}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	if err != nil {
		return err
	}
	reply.Body = body
	var done chan struct{}
	if len(body) > maxBufferedBody {
		done = make(chan struct{})
		released := make(chan struct{})
		defer close(released)
		reply.Remainder, reply.done, reply.Released = deadlineReader{r.Body, s.c, p.deadline}, done, released
	}
	s.recordKeepAlive(r)
	if done == nil {
		s.finishRequest()
	}
	p.result <- Result{Reply: reply}
	if done != nil {
		<-done
		if n, err := io.Copy(io.Discard, io.LimitReader(deadlineReader{r.Body, s.c, p.deadline}, maxBufferedBody)); err != nil || n == maxBufferedBody {
			return fmt.Errorf("%w: response body not read to the end", connpool.ErrBroken)
		}
		s.finishRequest()
		return s.c.SetReadDeadline(time.Time{})
	}
	return nil
}

// recordKeepAlive records what the response says about the reuse of the connection.
func (s *Conn) recordKeepAlive(r *http.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeAfterPending = s.closeAfterPending || r.Close
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if sec, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			s.idleTimeout = kernel.Micros(sec) * kernel.Second
		}
	}
}

// closeIfSpent marks a connection that can't be reused as closed, and reports whether it is closed.
func (s *Conn) closeIfSpent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closeAfterPending || s.tainted {
		s.closed = true
	}
	return s.closed
}

// Alive implements connpool.Connection.
func (s *Conn) Alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// Reusable implements connpool.Connection.
func (s *Conn) Reusable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pending == nil && !s.closed && !s.closeAfterPending && !s.tainted
}

// Fit implements connpool.Connection.
func (s *Conn) Fit(want Want, idle kernel.Micros) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want.Fresh && idle > recentUse || s.idleTimeout > 0 && idle > s.idleTimeout-idleCloseMargin || s.tainted {
		return -1
	}
	return 0
}

// Attach implements connpool.Connection.
func (s *Conn) Attach(_ int64, onClose func(byUs, silent bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onClose = onClose
}

// Close closes the connection.
func (s *Conn) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.c.Close()
}
