// Package rpc carries calls between indigowalk's own processes: one JSON
// line asks, one JSON line answers, many calls share a connection.
//
// An answer is given only to the call that it belongs to: the one of its number
// on its own connection, between the two lives of processes that greeted each
// other there. The package never sends a call a second time that may have been
// read. What comes without greeting, from another address, of an older life,
// unasked or unreadable ends the connection and is counted.
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

// maxLine bounds one line: a whole control state with the largest
// configuration fits several times.
const maxLine = 4 << 20

// maxCalls bounds the calls of one connection that are being carried out; more
// are not read.
const maxCalls = 256

// silence is how long a peer may leave what was sent unacknowledged.
const silence = 1500 * kernel.Millisecond

// connectWait bounds the making of a connection. A peer without power answers
// nothing, and an opening packet that was lost is sent again far too late: the
// caller does better to ask another peer, or this one anew.
const connectWait = 150 * kernel.Millisecond

// ErrUnreachable says that a call got no answer; whether it was carried out
// is not known.
var ErrUnreachable = errors.New("rpc: peer unreachable")

// Refused is the peer's answer that it did not carry out the call.
type Refused struct{ Reason string }

func (r *Refused) Error() string { return "rpc: refused: " + r.Reason }

type line struct {
	Hello *hello          `json:"hello,omitempty"` // of the first line alone
	ID    uint64          `json:"id,omitempty"`
	Op    string          `json:"op,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
	Err   string          `json:"err,omitempty"`
}

// encode returns the line with its end. The body is JSON as it left the
// encoder and is not looked through again.
func (l line) encode() ([]byte, error) {
	body := l.Body
	l.Body = nil
	raw, err := json.Marshal(l)
	if err != nil {
		return nil, err
	}
	if body != nil {
		raw = append(append(append(raw[:len(raw)-1], `,"body":`...), body...), '}')
	}
	return append(raw, '\n'), nil
}

// encode encodes a message; what is raw already goes as it is.
func encode(v any) (json.RawMessage, error) {
	if raw, ok := v.(json.RawMessage); ok {
		return raw, nil
	}
	return json.Marshal(v)
}

// Handler answers one kind of call; a json.RawMessage is sent as it is.
type Handler func(ctx context.Context, body json.RawMessage) (any, error)

// Endpoint takes and makes calls for one process.
type Endpoint struct {
	k    *kernel.Kernel
	addr string

	mu       sync.Mutex
	handlers map[string]Handler
	peers    map[string]*peer
	life     int64
	dialled  int64 // connections made so far
	known    map[string]*process
}

// NewEndpoint returns an endpoint that will listen at addr. Its life begins
// with the time of day, so that a restart outranks the life before; where the
// clock stepped back, whoever knows a later life says so and it takes the next.
func NewEndpoint(k *kernel.Kernel, addr string) *Endpoint {
	return &Endpoint{
		k: k, addr: addr, handlers: map[string]Handler{}, peers: map[string]*peer{},
		life: time.Now().UnixMicro(), known: map[string]*process{},
	}
}

// Addr is where other processes reach this one.
func (b *Endpoint) Addr() string { return b.addr }

// Handle sets the handler of an operation; all are set before Serve.
func (b *Endpoint) Handle(op string, h Handler) { b.handlers[op] = h }

// On registers a handler with a typed request.
func On[Q any](b *Endpoint, op string, h func(context.Context, Q) (any, error)) {
	b.Handle(op, func(ctx context.Context, body json.RawMessage) (any, error) {
		var q Q
		if err := json.Unmarshal(body, &q); err != nil {
			b.k.Counters.Add("rpc.malformed", 1)
			return nil, fmt.Errorf("malformed body: %w", err)
		}
		return h(ctx, q)
	})
}

// Serve takes calls until ctx ends.
func (b *Endpoint) Serve(ctx context.Context) error {
	ln, err := b.k.Net.Listen(b.addr)
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { ln.Close() })
	defer stop()
	defer ln.Close()
	defer b.HangUp()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("rpc: %w", err)
		}
		go b.serveConn(ctx, c)
	}
}

// HangUp closes the connections to all peers.
func (b *Endpoint) HangUp() {
	b.mu.Lock()
	peers := slices.Collect(maps.Values(b.peers))
	b.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.link != nil {
			p.link.end(net.ErrClosed)
		}
		p.mu.Unlock()
	}
}

// serveConn works off the calls of one connection. Their numbers rise, so that
// none is carried out twice.
func (b *Endpoint) serveConn(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	sc := scanner(c)
	from, ok := b.greeted(sc, c)
	defer b.parted(from, c)
	if !ok {
		return
	}
	var mu sync.Mutex
	var last uint64
	slots := make(chan struct{}, maxCalls)
	for sc.Scan() {
		var q line
		if err := json.Unmarshal(sc.Bytes(), &q); err != nil || q.Hello != nil || q.Op == "" || q.ID <= last {
			b.k.Counters.Add("rpc.malformed", 1)
			return
		}
		last = q.ID
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		go func() {
			defer func() { <-slots }()
			a := line{ID: q.ID}
			if v, err := b.handle(ctx, q.Op, q.Body); err != nil {
				a.Err = err.Error()
			} else if a.Body, err = encode(v); err != nil {
				a.Err = err.Error()
			}
			raw, err := a.encode()
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if _, err := c.Write(raw); err != nil {
				c.Close()
			}
		}()
	}
	b.countTooLong(sc)
}

// handle carries a call out.
func (b *Endpoint) handle(ctx context.Context, op string, body json.RawMessage) (any, error) {
	h := b.handlers[op]
	if h == nil {
		b.k.Counters.Add("rpc.unknown_op", 1)
		return nil, errors.New("unknown operation")
	}
	return h(ctx, body)
}

// Call asks the process at addr; answer may be nil. It waits at most for the
// span. Whatever it returns, the call was sent once at most: it is sent anew
// only if the other end has refused the connection before it read any call.
func (b *Endpoint) Call(ctx context.Context, addr, op string, ask, answer any, wait kernel.Micros) error {
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	body, err := encode(ask)
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	if addr == b.addr {
		return b.own(ctx, op, body, answer)
	}
	b.mu.Lock()
	p := b.peers[addr]
	if p == nil {
		p = &peer{addr: addr, dialing: kernel.NewGate()}
		b.peers[addr] = p
	}
	b.mu.Unlock()

	a, err := p.call(ctx, b, op, body)
	if errors.Is(err, errOldLife) {
		a, err = p.call(ctx, b, op, body)
	}
	switch {
	case err != nil:
		b.k.Counters.Add("rpc.unreachable", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	case a.Err != "":
		return &Refused{a.Err}
	case answer == nil:
		return nil
	}
	if err := json.Unmarshal(a.Body, answer); err != nil {
		b.k.Counters.Add("rpc.malformed", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	}
	return nil
}

// own has this process answer its own call.
func (b *Endpoint) own(ctx context.Context, op string, body json.RawMessage, answer any) error {
	v, err := b.handle(ctx, op, body)
	if err != nil {
		return &Refused{err.Error()}
	}
	if answer == nil {
		return nil
	}
	raw, err := encode(v)
	if err == nil {
		err = json.Unmarshal(raw, answer)
	}
	if err != nil {
		return fmt.Errorf("rpc: %w", err)
	}
	return nil
}
