package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// hello is the handshake that opens a connection in both directions. The caller
// sends it together with its first call and the callee before its first response,
// so it costs no round trip.
type hello struct {
	From             string `json:"from,omitempty"`  // the sender's address; empty for a command-line tool
	To               string `json:"to,omitempty"`    // the intended receiver; empty if any process may answer
	Incarnation      int64  `json:"life"`            // the sender's incarnation
	Seq              int64  `json:"seq,omitempty"`   // number of the connection within the caller's incarnation
	KnownIncarnation int64  `json:"known,omitempty"` // the newest incarnation of the receiver that the sender knows
	// Stale reports that the receiver's incarnation or connection is superseded;
	// KnownIncarnation is then the newest incarnation.
	Stale bool `json:"old,omitempty"`
}

// maxIncarnation is the bound below which an incarnation is valid. An incarnation is derived from the
// wall clock, which never reaches the bound.
const maxIncarnation = 1 << 60

func (h *hello) valid() bool {
	return h != nil && h.Incarnation > 0 && h.Incarnation < maxIncarnation && h.KnownIncarnation >= 0 && h.KnownIncarnation < maxIncarnation
}

// process is the known state of the process at an address: its newest incarnation
// and its newest incoming connection, which is the only one kept open.
type process struct {
	incarnation int64
	seq         int64    // sequence number of its newest incoming connection
	conn        net.Conn // nil if no incoming connection is open
}

// maxKnownProcesses limits the addresses whose incarnations are remembered.
const maxKnownProcesses = 10_000

// helloTimeout is how long a caller may take to send its hello.
const helloTimeout = 5 * kernel.Second

// Reasons for which a connection is closed.
var (
	errOwnIncarnationStale  = errors.New("peer knows a later incarnation of this process")
	errPeerIncarnationStale = errors.New("peer was superseded by a later incarnation at its address")
	errMisdirected          = errors.New("another process answered at this address")
	errMalformed            = errors.New("malformed line")
	errUnexpectedResponse   = errors.New("response to a call that was not sent")
	errUnresponsive         = errors.New("peer left calls unanswered")
)

// recordIncarnation records the incarnation of the process at an address. It returns the
// newest known incarnation, and whether the given one is accepted: it must not be older.
// An incoming connection, if conn is not nil, must also be newer than the previous one of
// that incarnation, and replaces it. A connection of an older incarnation is closed.
func (e *Endpoint) recordIncarnation(addr string, incarnation, seq int64, conn net.Conn) (newest int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.processes[addr]
	if p == nil {
		if p = new(process); len(e.processes) < maxKnownProcesses {
			e.processes[addr] = p
		}
	}
	if incarnation < p.incarnation || conn != nil && incarnation == p.incarnation && seq <= p.seq {
		e.k.Counters.Add("rpc.old_life", 1)
		return p.incarnation, false
	}
	if (incarnation > p.incarnation || conn != nil) && p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
	if incarnation > p.incarnation {
		p.incarnation, p.seq = incarnation, 0
	}
	if conn != nil {
		p.seq, p.conn = seq, conn
	}
	return incarnation, true
}

// raiseIncarnation raises this process's incarnation above other, unless it is higher already.
// other belonged to an earlier process at this address; it is not lower only because the clock
// has stepped back since.
func (e *Endpoint) raiseIncarnation(other int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if other >= e.incarnation {
		e.k.Counters.Add("rpc.life_raised", 1)
		e.incarnation, e.connSeq = other+1, 0
	}
}

func (e *Endpoint) currentIncarnation() (incarnation int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnation
}

// acceptHello reads a caller's hello and replies to it. It returns the caller's
// address, empty for a command-line tool, and whether the caller's calls are accepted.
func (e *Endpoint) acceptHello(scanner *bufio.Scanner, c net.Conn) (from string, ok bool) {
	if c.SetReadDeadline(time.Now().Add(helloTimeout.Duration())) != nil || !scanner.Scan() {
		e.countOversizedLine(scanner)
		return "", false
	}
	var req message
	if err := json.Unmarshal(scanner.Bytes(), &req); err != nil || !req.Hello.valid() || req.ID != 0 {
		e.k.Counters.Add("rpc.malformed", 1)
		return "", false
	}
	callerHello := req.Hello
	resp := &hello{From: e.addr, To: callerHello.From}
	if ok = callerHello.From == "" || callerHello.To == e.addr; !ok {
		e.k.Counters.Add("rpc.misdirected", 1)
	} else if callerHello.From != "" {
		if callerHello.KnownIncarnation > e.currentIncarnation() {
			e.raiseIncarnation(callerHello.KnownIncarnation)
		}
		resp.KnownIncarnation, ok = e.recordIncarnation(callerHello.From, callerHello.Incarnation, callerHello.Seq, c)
		resp.Stale = !ok
	}
	resp.Incarnation = e.currentIncarnation()
	raw, err := message{Hello: resp}.encode()
	if err == nil {
		_, err = c.Write(raw)
	}
	if err == nil {
		err = c.SetReadDeadline(time.Time{})
	}
	return callerHello.From, ok && err == nil
}

// forgetConn drops the reference to a caller's connection that has ended.
func (e *Endpoint) forgetConn(addr string, c net.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.processes[addr]; p != nil && p.conn == c {
		p.conn = nil
	}
}

// newLineScanner returns a scanner over complete lines. Data at the end of the stream
// without a line terminator was truncated and is discarded.
func newLineScanner(c net.Conn) *bufio.Scanner {
	scanner := bufio.NewScanner(c)
	scanner.Buffer(make([]byte, 0, 2048), maxLineBytes)
	scanner.Split(func(data []byte, atEOF bool) (int, []byte, error) {
		if i := bytes.IndexByte(data, '\n'); i >= 0 {
			return i + 1, data[:i], nil
		}
		if atEOF {
			return len(data), nil, nil
		}
		return 0, nil, nil
	})
	return scanner
}

// countOversizedLine counts a malformed line if the scanner stopped at one longer than maxLineBytes.
func (e *Endpoint) countOversizedLine(scanner *bufio.Scanner) {
	if errors.Is(scanner.Err(), bufio.ErrTooLong) {
		e.k.Counters.Add("rpc.malformed", 1)
	}
}

// peer is the client's view of the process at an address.
type peer struct {
	addr     string
	dialGate kernel.Gate

	mu   sync.Mutex
	conn *clientConn
}

// clientConn is one outgoing connection to a peer. A call belongs to the connection
// on which it was sent: only a response on that connection completes it, once, and
// the call fails when the connection closes.
type clientConn struct {
	conn      net.Conn
	addr      string
	sendGate  kernel.Gate // serializes writes: lines are sent whole and in the order of their IDs
	helloLine []byte      // nil once sent

	mu       sync.Mutex
	queued   int                     // calls that wait for sendGate
	lastID   uint64                  // ID of the latest call
	pending  map[uint64]chan message // by ID; the channel of an abandoned call is nil
	closeErr error                   // why the connection was closed; nil while it is open
}

// maxAbandonedCalls limits the abandoned calls of one connection that have no response
// yet. A connection with more of them is taken to be unresponsive and is closed.
const maxAbandonedCalls = 256

// connect returns the open connection to the peer, and dials one if needed. Concurrent
// calls share a single dial.
func (p *peer) connect(ctx context.Context, e *Endpoint) (*clientConn, error) {
	if err := p.dialGate.Acquire(ctx); err != nil {
		return nil, err
	}
	defer p.dialGate.Release()
	p.mu.Lock()
	cc := p.conn
	p.mu.Unlock()
	if cc != nil && cc.closeReason() == nil {
		return cc, nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	defer cancel()
	c, err := e.k.Net.Dial(ctx, p.addr, ackTimeout)
	if err != nil {
		return nil, err
	}
	if cc, err = e.newClientConn(c, p.addr); err != nil {
		c.Close()
		return nil, err
	}
	p.mu.Lock()
	p.conn = cc
	p.mu.Unlock()
	go e.readResponses(cc)
	return cc, nil
}

// newClientConn wraps a dialed connection and prepares its hello.
func (e *Endpoint) newClientConn(c net.Conn, addr string) (*clientConn, error) {
	h := &hello{From: e.addr}
	e.mu.Lock()
	e.connSeq++
	h.Incarnation, h.Seq = e.incarnation, e.connSeq
	if e.addr != "" {
		h.To = addr
		if p := e.processes[addr]; p != nil {
			h.KnownIncarnation = p.incarnation
		}
	}
	e.mu.Unlock()
	raw, err := message{Hello: h}.encode()
	return &clientConn{conn: c, addr: addr, sendGate: kernel.NewGate(), helloLine: raw, pending: map[uint64]chan message{}}, err
}

// call sends a call, at most once, and waits for its response.
func (p *peer) call(ctx context.Context, e *Endpoint, op string, body json.RawMessage) (message, error) {
	cc, err := p.connect(ctx, e)
	if err != nil {
		return message{}, err
	}
	id, ch, err := cc.send(ctx, op, body)
	if err != nil {
		return message{}, err
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return message{}, cc.closeReason()
		}
		return resp, nil
	case <-ctx.Done():
		cc.abandon(id)
		return message{}, ctx.Err()
	}
}

// send writes a call in the background, so that the caller's deadline holds even if
// the connection accepts data slowly. The line is still written completely, because
// later calls follow it on the same connection. A partial write closes the connection.
func (cc *clientConn) send(ctx context.Context, op string, body json.RawMessage) (uint64, chan message, error) {
	cc.mu.Lock()
	cc.queued++
	cc.mu.Unlock()
	if err := cc.sendGate.Acquire(ctx); err != nil {
		cc.mu.Lock()
		cc.queued--
		cc.mu.Unlock()
		cc.abandon(0)
		return 0, nil, err
	}
	id, ch, err := cc.registerCall()
	if err != nil {
		cc.sendGate.Release()
		return 0, nil, err
	}
	go func() {
		defer cc.sendGate.Release()
		raw, err := message{ID: id, Op: op, Body: body}.encode()
		if err == nil {
			_, err = cc.conn.Write(append(cc.helloLine, raw...))
		}
		if cc.helloLine = nil; err != nil {
			cc.closeWithError(err)
		}
	}()
	return id, ch, nil
}

// registerCall assigns the next ID to a call and registers it as pending.
func (cc *clientConn) registerCall() (uint64, chan message, error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.queued--
	if cc.closeErr != nil {
		return 0, nil, cc.closeErr
	}
	cc.lastID++
	ch := make(chan message, 1)
	cc.pending[cc.lastID] = ch
	return cc.lastID, ch, nil
}

// readResponses delivers the responses of a connection until it ends, then closes it.
func (e *Endpoint) readResponses(cc *clientConn) {
	scanner := newLineScanner(cc.conn)
	err := e.deliverResponses(scanner, cc)
	switch {
	case err == nil && errors.Is(scanner.Err(), bufio.ErrTooLong), errors.Is(err, errMalformed):
		e.k.Counters.Add("rpc.malformed", 1)
		err = errMalformed
	case errors.Is(err, errUnexpectedResponse):
		e.k.Counters.Add("rpc.unasked", 1)
	case errors.Is(err, errMisdirected):
		e.k.Counters.Add("rpc.misdirected", 1)
	case err == nil:
		if err = scanner.Err(); err == nil {
			err = io.EOF
		}
	}
	cc.closeWithError(err)
}

// deliverResponses checks the peer's hello and delivers the responses that follow it.
func (e *Endpoint) deliverResponses(scanner *bufio.Scanner, cc *clientConn) error {
	for helloReceived := false; scanner.Scan(); {
		var resp message
		if json.Unmarshal(scanner.Bytes(), &resp) != nil || resp.Op != "" || (resp.Hello == nil) != helloReceived || helloReceived == (resp.ID == 0) {
			return errMalformed
		}
		if !helloReceived {
			if err := e.checkHello(resp.Hello, cc); err != nil {
				return err
			}
			helloReceived = true
		} else if !cc.deliver(resp) {
			return errUnexpectedResponse
		}
	}
	return nil
}

// checkHello validates the peer's hello: the peer must be the intended process in its
// newest incarnation, and must regard this process's incarnation as the newest.
func (e *Endpoint) checkHello(h *hello, cc *clientConn) error {
	switch {
	case !h.valid():
		return errMalformed
	case e.addr == "":
		return nil
	case h.From != cc.addr || h.To != e.addr:
		return errMisdirected
	case h.Stale:
		e.raiseIncarnation(h.KnownIncarnation)
		return errOwnIncarnationStale
	}
	if _, ok := e.recordIncarnation(h.From, h.Incarnation, 0, nil); !ok {
		return errPeerIncarnationStale
	}
	return nil
}

// deliver passes a response to its call. The response of an abandoned call is dropped,
// and so is every response read from a connection that has been closed. It returns
// false if the connection is open and no such call was sent on it.
func (cc *clientConn) deliver(resp message) bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	ch, known := cc.pending[resp.ID]
	delete(cc.pending, resp.ID)
	if ch != nil {
		ch <- resp
	}
	return known || cc.closeErr != nil
}

// closeWithError closes the connection and fails every call pending on it.
func (cc *clientConn) closeWithError(reason error) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.closeErr != nil {
		return
	}
	cc.closeErr = reason
	cc.conn.Close()
	for id, ch := range cc.pending {
		delete(cc.pending, id)
		if ch != nil {
			close(ch)
		}
	}
}

// closeReason returns why the connection was closed, or nil while it is open.
func (cc *clientConn) closeReason() error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	return cc.closeErr
}

// abandon gives up on the response to a call; id is 0 if the call was not sent. A connection
// on which a call went unanswered may be dead, so it is closed if no other call waits on it,
// or if more than maxAbandonedCalls of its calls are abandoned and unanswered.
func (cc *clientConn) abandon(id uint64) {
	cc.mu.Lock()
	if _, waiting := cc.pending[id]; waiting {
		cc.pending[id] = nil
	}
	abandoned, total := 0, len(cc.pending)
	for _, ch := range cc.pending {
		if ch == nil {
			abandoned++
		}
	}
	onlyAbandoned := abandoned > 0 && abandoned == total && cc.queued == 0
	cc.mu.Unlock()
	if onlyAbandoned || abandoned > maxAbandonedCalls {
		cc.closeWithError(errUnresponsive)
	}
}
