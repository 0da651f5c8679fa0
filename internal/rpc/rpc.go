// Package rpc carries calls between indigowalk's own processes: one JSON
// line asks, one JSON line answers, many calls share a connection.
package rpc

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"

	"indigowalk/internal/foundation"
)

// maxLine bounds one line: a whole control state with the largest
// configuration fits several times.
const maxLine = 4 << 20

// silence is how long a peer may leave what was sent unacknowledged.
const silence = 1500 * foundation.Millisecond

// connectWait bounds the making of a connection. A peer without power answers
// nothing, and an opening packet that was lost is sent again far too late: the
// caller does better to ask another peer, or this one anew.
const connectWait = 150 * foundation.Millisecond

// ErrUnreachable says that a call got no answer; whether it was carried out
// is not known.
var ErrUnreachable = errors.New("rpc: peer unreachable")

// Refused is the peer's answer that it did not carry out the call.
type Refused struct{ Reason string }

func (r *Refused) Error() string { return "rpc: refused: " + r.Reason }

type line struct {
	ID   uint64          `json:"id"`
	Op   string          `json:"op,omitempty"`
	Body json.RawMessage `json:"body,omitempty"`
	Err  string          `json:"err,omitempty"`
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
	k    *foundation.Kernel
	addr string

	mu       sync.Mutex
	handlers map[string]Handler
	peers    map[string]*peer
}

// NewEndpoint returns an endpoint that will listen at addr.
func NewEndpoint(k *foundation.Kernel, addr string) *Endpoint {
	return &Endpoint{k: k, addr: addr, handlers: map[string]Handler{}, peers: map[string]*peer{}}
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
	defer b.mu.Unlock()
	for _, p := range b.peers {
		p.mu.Lock()
		if p.conn != nil {
			p.drop(p.conn)
		}
		p.mu.Unlock()
	}
}

func (b *Endpoint) serveConn(ctx context.Context, c net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	var mu sync.Mutex
	sc := scanner(c)
	for sc.Scan() {
		var q line
		if err := json.Unmarshal(sc.Bytes(), &q); err != nil {
			b.k.Counters.Add("rpc.malformed", 1)
			return
		}
		h := b.handlers[q.Op]
		if h == nil {
			b.k.Counters.Add("rpc.malformed", 1)
			return
		}
		go func() {
			a := line{ID: q.ID}
			if v, err := h(ctx, q.Body); err != nil {
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
}

func scanner(c net.Conn) *bufio.Scanner {
	sc := bufio.NewScanner(c)
	sc.Buffer(make([]byte, 0, 2048), maxLine)
	return sc
}

type peer struct {
	dialing foundation.Gate

	mu     sync.Mutex
	conn   net.Conn
	nextID uint64
	calls  map[uint64]chan line
}

// Call asks the process at addr; answer may be nil. It waits at most for the
// span.
func (b *Endpoint) Call(ctx context.Context, addr, op string, ask, answer any, wait foundation.Micros) error {
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
		p = &peer{dialing: foundation.NewGate(), calls: map[uint64]chan line{}}
		b.peers[addr] = p
	}
	b.mu.Unlock()

	id, ch, err := p.send(ctx, b, addr, op, body)
	if err != nil {
		b.k.Counters.Add("rpc.unreachable", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
	}
	select {
	case a, ok := <-ch:
		if !ok {
			b.k.Counters.Add("rpc.unreachable", 1)
			return fmt.Errorf("%w: %s: connection lost", ErrUnreachable, addr)
		}
		if a.Err != "" {
			return &Refused{a.Err}
		}
		if answer == nil {
			return nil
		}
		if err := json.Unmarshal(a.Body, answer); err != nil {
			b.k.Counters.Add("rpc.malformed", 1)
			return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, err)
		}
		return nil
	case <-ctx.Done():
		p.forget(id)
		b.k.Counters.Add("rpc.unreachable", 1)
		return fmt.Errorf("%w: %s: %v", ErrUnreachable, addr, ctx.Err())
	}
}

// own has this process answer its own call.
func (b *Endpoint) own(ctx context.Context, op string, body json.RawMessage, answer any) error {
	h := b.handlers[op]
	if h == nil {
		return &Refused{"unknown operation"}
	}
	v, err := h(ctx, body)
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

// connect makes sure that there is a connection; one call dials for all.
func (p *peer) connect(ctx context.Context, b *Endpoint, addr string) error {
	if err := p.dialing.Enter(ctx); err != nil {
		return err
	}
	defer p.dialing.Leave()
	p.mu.Lock()
	there := p.conn != nil
	p.mu.Unlock()
	if there {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, connectWait.Duration())
	defer cancel()
	c, err := b.k.Net.Dial(ctx, addr, silence)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.conn = c
	p.mu.Unlock()
	go p.receive(c)
	return nil
}

func (p *peer) send(ctx context.Context, b *Endpoint, addr, op string, body json.RawMessage) (uint64, chan line, error) {
	if err := p.connect(ctx, b, addr); err != nil {
		return 0, nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil {
		return 0, nil, net.ErrClosed
	}
	p.nextID++
	raw, err := line{ID: p.nextID, Op: op, Body: body}.encode()
	if err != nil {
		return 0, nil, err
	}
	ch := make(chan line, 1)
	p.calls[p.nextID] = ch
	if _, err := p.conn.Write(raw); err != nil {
		p.drop(p.conn)
		return 0, nil, err
	}
	return p.nextID, ch, nil
}

func (p *peer) receive(c net.Conn) {
	sc := scanner(c)
	for sc.Scan() {
		var a line
		if json.Unmarshal(sc.Bytes(), &a) != nil {
			break
		}
		p.mu.Lock()
		if ch := p.calls[a.ID]; ch != nil {
			delete(p.calls, a.ID)
			ch <- a
		}
		p.mu.Unlock()
	}
	p.mu.Lock()
	p.drop(c)
	p.mu.Unlock()
}

// drop ends a broken connection and every call that waits on it.
func (p *peer) drop(c net.Conn) {
	c.Close()
	if p.conn != c {
		return
	}
	p.conn = nil
	for id, ch := range p.calls {
		delete(p.calls, id)
		close(ch)
	}
}

// forget gives up a call; a connection on which a call went unanswered may
// be dead, so it is replaced at the next one.
func (p *peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.calls[id]; ok {
		delete(p.calls, id)
		if p.conn != nil && len(p.calls) == 0 {
			p.drop(p.conn)
		}
	}
}
