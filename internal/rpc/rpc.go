// Package rpc implements remote procedure calls between indigowalk's own
// processes. Each request and each response is one line of JSON, and many calls
// are multiplexed over one connection.
//
// A response is delivered only to the call it belongs to: the call with its ID on
// the same connection, between the two process incarnations that exchanged hellos
// there. A call that the peer may have read is never sent again. A message without
// a preceding hello, from another address, from an older incarnation, unsolicited
// or malformed closes the connection and is counted.
package rpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// maxLineBytes limits the length of one line. A complete control state with the
// largest configuration fits several times.
const maxLineBytes = 4 << 20

// maxConcurrentCalls limits the calls of one connection that execute at the same
// time. Further calls are not read until one of them completes.
const maxConcurrentCalls = 256

// ackTimeout is how long sent data may stay unacknowledged by the peer before the
// connection fails.
const ackTimeout = 1500 * kernel.Millisecond

// connectTimeout limits connection establishment. A peer without power does not
// respond at all, and TCP retransmits a lost SYN far too late: it is better that the
// caller tries another peer, or dials this one again.
const connectTimeout = 150 * kernel.Millisecond

// ErrUnreachable reports that a call received no usable response. Whether the peer
// executed it is unknown.
var ErrUnreachable = errors.New("rpc: peer unreachable")

// Refused is the error response of a peer that did not execute the call.
type Refused struct{ Reason string }

func (r *Refused) Error() string { return "rpc: refused: " + r.Reason }

// message is one line on the wire: a hello, a request or a response.
type message struct {
	Hello *hello          `json:"hello,omitempty"` // only in the first line
	ID    uint64          `json:"id,omitempty"`
	Op    string          `json:"op,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
	Err   string          `json:"err,omitempty"`
}

// encode returns the message as one line including its terminator. The body is
// already encoded JSON and is not validated or compacted again.
func (m message) encode() ([]byte, error) {
	body := m.Body
	m.Body = nil
	raw, err := json.Marshal(m)
	if err != nil {
		return nil, err
	}
	if body != nil {
		raw = append(append(append(raw[:len(raw)-1], `,"body":`...), body...), '}')
	}
	return append(raw, '\n'), nil
}

// encode encodes v as JSON. A json.RawMessage is returned unchanged.
func encode(v any) (json.RawMessage, error) {
	if raw, ok := v.(json.RawMessage); ok {
		return raw, nil
	}
	return json.Marshal(v)
}

// Handler executes one operation and returns its result. A json.RawMessage is sent
// unchanged.
type Handler func(ctx context.Context, body json.RawMessage) (any, error)

// Endpoint is both the RPC server and the RPC client of one process.
type Endpoint struct {
	k    *kernel.Kernel
	addr string

	mu          sync.Mutex
	handlers    map[string]Handler
	peers       map[string]*peer
	incarnation int64
	connSeq     int64 // connections dialed so far in this incarnation
	processes   map[string]*process
}

// NewEndpoint returns an endpoint that will listen on addr. Its incarnation is the
// wall-clock time, so that a restarted process supersedes its predecessor. If the
// clock has stepped back, any peer that knows a later incarnation reports it, and
// the endpoint takes the one after it.
func NewEndpoint(k *kernel.Kernel, addr string) *Endpoint {
	return &Endpoint{
		k: k, addr: addr, handlers: map[string]Handler{}, peers: map[string]*peer{},
		incarnation: time.Now().UnixMicro(), processes: map[string]*process{},
	}
}

// Addr returns the address at which other processes reach this one.
func (e *Endpoint) Addr() string { return e.addr }

// Handle registers the handler of an operation. All handlers must be registered
// before Serve is called.
func (e *Endpoint) Handle(op string, handler Handler) { e.handlers[op] = handler }

// HandleTyped registers a handler whose request body is decoded into a Q.
func HandleTyped[Q any](e *Endpoint, op string, handler func(context.Context, Q) (any, error)) {
	e.Handle(op, func(ctx context.Context, body json.RawMessage) (any, error) {
		var req Q
		if err := json.Unmarshal(body, &req); err != nil {
			e.k.Counters.Add("rpc.malformed", 1)
			return nil, fmt.Errorf("malformed body: %w", err)
		}
		return handler(ctx, req)
	})
}

// Serve listens for connections and serves calls until ctx is done.
func (e *Endpoint) Serve(ctx context.Context) error {
	listener, err := e.k.Net.Listen(e.addr)
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer listener.Close()
	defer e.CloseConnections()
	for {
		c, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("rpc: %w", err)
		}
		go e.serveConn(ctx, c)
	}
}

// CloseConnections closes the outgoing connections to all peers.
func (e *Endpoint) CloseConnections() {
	e.mu.Lock()
	peers := slices.Collect(maps.Values(e.peers))
	e.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.conn != nil {
			p.conn.closeWithError(net.ErrClosed)
		}
		p.mu.Unlock()
	}
}

// serveConn serves the calls of one connection. Call IDs must increase strictly, so
// that no call is executed twice.
func (e *Endpoint) serveConn(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	scanner := newLineScanner(c)
	from, ok := e.acceptHello(scanner, c)
	defer e.forgetConn(from, c)
	if !ok {
		return
	}
	var writeMu sync.Mutex
	var lastID uint64
	slots := make(chan struct{}, maxConcurrentCalls)
	for scanner.Scan() {
		var req message
		if err := json.Unmarshal(scanner.Bytes(), &req); err != nil || req.Hello != nil || req.Op == "" || req.ID <= lastID {
			e.k.Counters.Add("rpc.malformed", 1)
			return
		}
		lastID = req.ID
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			resp := message{ID: req.ID}
			if result, err := e.dispatch(ctx, req.Op, req.Body); err != nil {
				resp.Err = err.Error()
			} else if resp.Body, err = encode(result); err != nil {
				resp.Err = err.Error()
			}
			raw, err := resp.encode()
			if err != nil {
				return
			}
			writeMu.Lock()
			defer writeMu.Unlock()
			if _, err := c.Write(raw); err != nil {
				c.Close()
			}
		}()
	}
	e.countOversizedLine(scanner)
}

// dispatch executes a call with the handler of its operation.
func (e *Endpoint) dispatch(ctx context.Context, op string, body json.RawMessage) (any, error) {
	handler := e.handlers[op]
	if handler == nil {
		e.k.Counters.Add("rpc.unknown_op", 1)
		return nil, errors.New("unknown operation")
	}
	return handler(ctx, body)
}

// Call sends a request to the process at addr and decodes its result into response,
// which may be nil. It waits no longer than timeout. A call is executed at most once
// whatever Call returns: it is sent again only if the peer rejected the hello of the
// connection, and so has not read any call.
func (e *Endpoint) Call(ctx context.Context, addr, op string, request, response any, timeout kernel.Micros) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	body, err := encode(request)
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	if addr == e.addr {
		return e.callLocal(ctx, op, body, response)
	}
	e.mu.Lock()
	callee := e.peers[addr]
	if callee == nil {
		callee = &peer{addr: addr, dialGate: kernel.NewGate()}
		e.peers[addr] = callee
	}
	e.mu.Unlock()

	resp, err := callee.call(ctx, e, op, body)
	if errors.Is(err, errOwnIncarnationStale) {
		resp, err = callee.call(ctx, e, op, body)
	}
	switch {
	case err != nil:
		e.k.Counters.Add("rpc.unreachable", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	case resp.Err != "":
		return &Refused{resp.Err}
	case response == nil:
		return nil
	}
	if err := json.Unmarshal(resp.Body, response); err != nil {
		e.k.Counters.Add("rpc.malformed", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	}
	return nil
}

// callLocal executes a call that this process makes to itself, without a connection.
func (e *Endpoint) callLocal(ctx context.Context, op string, body json.RawMessage, response any) error {
	result, err := e.dispatch(ctx, op, body)
	if err != nil {
		return &Refused{err.Error()}
	}
	if response == nil {
		return nil
	}
	raw, err := encode(result)
	if err == nil {
		err = json.Unmarshal(raw, response)
	}
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	return nil
}
