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
	// idleCloseMargin is the time before the database closes an idle connection in which the
	// connection is no longer used.
	idleCloseMargin = 500 * kernel.Millisecond
	// freshIdleTime is how long a connection may have been idle and still carry a request that must
	// not run twice: that the database has dropped a connection shows only when it is written to.
	freshIdleTime = 100 * kernel.Millisecond
)

// Pools holds a gateway's connections to all databases.
type Pools = connpool.Pools[Want, *Conn]

// Want describes what a borrower requires of a connection.
type Want struct {
	Fresh bool // new, or idle for at most freshIdleTime
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

	conn    net.Conn
	limiter *headerLimiter
	reader  *bufio.Reader
	done    chan struct{}

	mu                sync.Mutex
	pending           *pendingRequest
	closeAfterPending bool // the database closes the connection after the request in progress
	closed            bool
	tainted           bool                        // not to be reused: an unexpected response arrived, or may arrive
	recentIDs         [maxSurplusResponses]string // IDs of the most recent requests
	sent              int                         // number of requests sent
	idleTimeout       kernel.Micros               // the database closes the connection when idle for this time; 0 if not announced
	unresponsive      bool
	onBroken          func(closedLocally, unresponsive bool)
}

// headerLimiter limits how much is read of a response's header.
type headerLimiter struct {
	source io.Reader
	left   int64 // negative for no limit
}

func (l *headerLimiter) Read(b []byte) (int, error) {
	if l.left == 0 {
		return 0, ErrMalformed
	}
	if l.left > 0 && int64(len(b)) > l.left {
		b = b[:l.left]
	}
	n, err := l.source.Read(b)
	if l.left > 0 {
		l.left -= int64(n)
	}
	return n, err
}

// Dialer opens connections.
type Dialer struct {
	Net                 kernel.Network
	ConnectTimeout      kernel.Micros
	UnresponsiveTimeout kernel.Micros
	DialSlots           chan struct{} // limits the number of dials in progress
	HealthPath          func(service string) string
	Wrap                Wrap // applied to every connection
}

// Wrap wraps a new connection before use.
type Wrap func(net.Conn) net.Conn

// Open establishes a connection.
func (d *Dialer) Open(ctx context.Context, db discovery.Database, _ kernel.Micros) (*Conn, error) {
	conn, err := connpool.Dial(ctx, d.Net, d.DialSlots, db.Address, d.ConnectTimeout, d.UnresponsiveTimeout)
	if err != nil {
		return nil, err
	}
	conn = d.Wrap(conn)
	l := &headerLimiter{source: conn, left: -1}
	c := &Conn{DB: db, conn: conn, limiter: l, reader: bufio.NewReaderSize(l, readBufferSize), done: make(chan struct{})}
	go c.readLoop()
	return c, nil
}

// Probe opens a connection and requests the database's health endpoint. Any response from that
// database means success, whatever health it reports, because the report may be wrong either way. A
// database that accepts the connection but does not respond in time is slow (connpool.ErrNotReady),
// which is not a failure.
func (d *Dialer) Probe(ctx context.Context, db discovery.Database, wait kernel.Micros) (*Conn, error) {
	c, err := d.Open(ctx, db, wait)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(http.MethodGet, "http://"+db.Address+d.HealthPath(db.Service), nil)
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("%w: %v", connpool.ErrRejected, err)
	}
	request.Header["User-Agent"] = nil
	results, err := c.Send(request, "", wait)
	if err != nil {
		c.Close()
		return nil, err
	}
	reply, err := Await(results, wait, nil, nil)
	switch {
	case errors.Is(err, ErrNoResponse):
		c.Close()
		return nil, connpool.ErrNotReady
	case err != nil:
		c.Close()
		return nil, err
	case reply.Status == http.StatusMisdirectedRequest, reply.Header.Get(Instance) != "" && reply.Header.Get(Instance) != db.ID:
		c.Close()
		return nil, fmt.Errorf("%w: another database responds at its address", connpool.ErrRejected)
	}
	return c, nil
}

// Await waits for the result of a request that was sent. It returns ErrNoResponse if there is none
// within wait, or when draining or disconnected is closed.
func Await(results <-chan Result, wait kernel.Micros, draining, disconnected <-chan struct{}) (*Reply, error) {
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case r := <-results:
		return r.Reply, r.Err
	case <-t.C:
	case <-draining:
	case <-disconnected:
	}
	select {
	case r := <-results: // it arrived just before the end
		return r.Reply, r.Err
	default:
		return nil, ErrNoResponse
	}
}

// Send writes a request, and returns a channel that delivers its response or error. It refuses a
// request whose ID was sent on this connection recently, because a surplus response to the earlier
// request could not be told from the response to this one. A body that is not entirely in memory is
// streamed. Writing, and reading the remainder of a long response, must end within wait.
func (c *Conn) Send(request *http.Request, id string, wait kernel.Micros) (<-chan Result, error) {
	deadline := time.Now().Add(wait.Duration())
	pending := &pendingRequest{request, id, deadline, make(chan Result, 1)}
	c.mu.Lock()
	if c.pending != nil || c.closed || c.tainted || !c.Alive() {
		c.mu.Unlock()
		return nil, ErrUnsent
	}
	if id != "" && slices.Contains(c.recentIDs[:], id) {
		c.tainted = true
		c.mu.Unlock()
		return nil, ErrUnsent
	}
	c.recentIDs[c.sent%len(c.recentIDs)] = id
	c.sent++
	c.pending = pending
	c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(deadline); err != nil {
		c.Close()
		return nil, ErrUnsent
	}
	writer := &requestWriter{conn: c.conn}
	if err := request.Write(writer); err == nil {
		err = writer.flush()
		if err == nil {
			return pending.result, nil
		}
	}
	// The database may have read, and run, a request that was written in part.
	c.Close()
	if writer.sent == 0 {
		return nil, ErrUnsent
	}
	return pending.result, nil
}

// requestWriter buffers a small request so that it is sent in one piece, and counts the bytes sent.
type requestWriter struct {
	conn net.Conn
	buf  bytes.Buffer
	sent int64
}

func (w *requestWriter) Write(b []byte) (int, error) {
	w.buf.Write(b)
	if w.buf.Len() >= maxBufferedBody {
		if err := w.flush(); err != nil {
			return 0, err
		}
	}
	return len(b), nil
}

// WriteByte implements io.ByteWriter, so that http.Request.Write adds no buffer of its own.
func (w *requestWriter) WriteByte(b byte) error {
	_, err := w.Write([]byte{b})
	return err
}

func (w *requestWriter) flush() error {
	if w.buf.Len() == 0 {
		return nil
	}
	n, err := w.conn.Write(w.buf.Bytes())
	w.sent += int64(n)
	w.buf.Reset()
	return err
}

// readLoop reads responses until the connection fails.
func (c *Conn) readLoop() {
	err := c.readResponses()
	c.mu.Lock()
	pending := c.pending
	c.pending = nil
	c.unresponsive = errors.Is(err, syscall.ETIMEDOUT)
	onBroken, closedLocally, unresponsive := c.onBroken, c.closed || c.tainted, c.unresponsive
	c.mu.Unlock()
	close(c.done)
	c.conn.Close()
	if pending != nil {
		pending.result <- Result{Err: closeError(err)}
	}
	if onBroken != nil {
		onBroken(closedLocally, unresponsive)
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

// readResponses reads and delivers responses until an error, which it returns, ends the connection.
func (c *Conn) readResponses() error {
	for surplus := 0; ; {
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		c.mu.Lock()
		pending := c.pending
		c.tainted = c.tainted || pending == nil
		c.mu.Unlock()
		if pending == nil {
			return ErrMalformed // a response without a request
		}
		c.limiter.left = maxHeaderBytes
		response, err := http.ReadResponse(c.reader, pending.request)
		c.limiter.left = -1
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.ETIMEDOUT) {
				return err
			}
			return fmt.Errorf("%w: %v", ErrMalformed, err)
		}
		matches := pending.id == "" || response.Header.Get(RequestID) == pending.id
		if response.StatusCode < 200 || !matches {
			if surplus++; surplus > maxSurplusResponses {
				return ErrMalformed
			}
			if response.StatusCode >= 200 {
				c.taint()
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return err
			}
			continue
		}
		if err := c.deliver(pending, response); err != nil {
			return err
		}
		surplus = 0
		if c.closeIfNotReusable() {
			return io.EOF
		}
	}
}

// taint marks the connection as not to be reused.
func (c *Conn) taint() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tainted = true
}

// deadlineReader reads the remainder of a long response. Reads fail after the deadline.
type deadlineReader struct {
	source   io.Reader
	conn     net.Conn
	deadline time.Time
}

func (d deadlineReader) Read(b []byte) (int, error) {
	if err := d.conn.SetReadDeadline(d.deadline); err != nil {
		return 0, err
	}
	return d.source.Read(b)
}

// finishRequest ends the request in progress. The connection is not reused if more data followed
// the response.
func (c *Conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = nil
	c.tainted = c.tainted || c.reader.Buffered() > 0
}

// deliver delivers the response to the request in progress. A short response is read completely
// first; the remainder of a long one is read by the receiver, and deliver waits for its end.
func (c *Conn) deliver(pending *pendingRequest, response *http.Response) error {
	reply := &Reply{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1))
	if err != nil {
		return err
	}
	reply.Body = body
	var closed chan struct{}
	if len(body) > maxBufferedBody {
		closed = make(chan struct{})
		released := make(chan struct{})
		defer close(released)
		reply.Remainder, reply.done, reply.Released = deadlineReader{response.Body, c.conn, pending.deadline}, closed, released
	}
	c.recordKeepAlive(response)
	if closed == nil {
		c.finishRequest()
	}
	pending.result <- Result{Reply: reply}
	if closed != nil {
		<-closed
		if n, err := io.Copy(io.Discard, io.LimitReader(deadlineReader{response.Body, c.conn, pending.deadline}, maxBufferedBody)); err != nil || n == maxBufferedBody {
			return fmt.Errorf("%w: response body not read to the end", connpool.ErrBroken)
		}
		c.finishRequest()
		return c.conn.SetReadDeadline(time.Time{})
	}
	return nil
}

// recordKeepAlive records what the response says about the reuse of the connection.
func (c *Conn) recordKeepAlive(response *http.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeAfterPending = c.closeAfterPending || response.Close
	for part := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if sec, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			c.idleTimeout = kernel.Micros(sec) * kernel.Second
		}
	}
}

// closeIfNotReusable marks a connection that can't be reused as closed. It reports whether the
// connection is closed.
func (c *Conn) closeIfNotReusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeAfterPending || c.tainted {
		c.closed = true
	}
	return c.closed
}

// Alive implements connpool.Connection.
func (c *Conn) Alive() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// Reusable implements connpool.Connection.
func (c *Conn) Reusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == nil && !c.closed && !c.closeAfterPending && !c.tainted
}

// Score implements connpool.Connection.
func (c *Conn) Score(want Want, idle kernel.Micros) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if want.Fresh && idle > freshIdleTime || c.idleTimeout > 0 && idle > c.idleTimeout-idleCloseMargin || c.tainted {
		return -1
	}
	return 0
}

// Attach implements connpool.Connection.
func (c *Conn) Attach(_ int64, onBroken func(closedLocally, unresponsive bool)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onBroken = onBroken
}

// Close closes the connection.
func (c *Conn) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.conn.Close()
}
