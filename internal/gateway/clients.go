package gateway

import (
	"context"
	"net"
	"net/http"

	"indigowalk/internal/kernel"
)

// clientState is the state of a client's connection. Its times are bounded by the configuration,
// which may change while it is open.
type clientState struct {
	state http.ConnState
	since kernel.Micros
	busy  bool // a request has been read
	// answering says that its answer is being written.
	answering bool
}

func (t *Gateway) noteState(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.clients, c)
	default:
		t.clients[c] = &clientState{state: state, since: t.k.Clock.Now()}
	}
}

// inHand notes that a connection's request has been read, or is done.
func (t *Gateway) inHand(c *clientConn, busy bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.clients[net.Conn(c)]; g != nil {
		g.busy, g.answering, g.since = busy, false, t.k.Clock.Now()
	}
}

// open is how many requests are being worked on.
func (t *Gateway) open() (n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, g := range t.clients {
		if g.busy {
			n++
		}
	}
	return n
}

// connections is how many connections of clients there are.
func (t *Gateway) connections() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(len(t.clients))
}

// inAnswer notes that the answer to a connection's request is being written.
func (t *Gateway) inAnswer(c *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.clients[net.Conn(c)]; g != nil {
		g.answering = true
	}
}

// Bounds where the configuration has none.
const (
	defaultHeaderWait = 5 * kernel.Second
	defaultIdle       = 60 * kernel.Second
)

func (t *Gateway) limits() (header, idle kernel.Micros) {
	header, idle = defaultHeaderWait, defaultIdle
	if conf := t.control.Config(); conf != nil {
		if ms := conf.Limits.HeaderTimeoutMs; ms > 0 {
			header = kernel.Micros(ms) * kernel.Millisecond
		}
		if ms := conf.Limits.IdleTimeoutMs; ms > 0 {
			idle = kernel.Micros(ms) * kernel.Millisecond
		}
	}
	return header, idle
}

// watchClients closes connections that are idle, or take too long over a
// request's head.
func (t *Gateway) watchClients(ctx context.Context) {
	for kernel.Sleep(ctx, 250*kernel.Millisecond) {
		header, idle := t.limits()
		now := t.k.Clock.Now()
		var late []*clientConn
		t.mu.Lock()
		for c, g := range t.clients {
			limit := header
			if g.state == http.StateIdle {
				limit = idle
			}
			if client, ok := c.(*clientConn); ok && !g.busy && now-g.since > limit {
				late = append(late, client)
			}
		}
		t.mu.Unlock()
		for _, c := range late {
			t.k.Counters.Add("gateway.clients_late", 1)
			c.turnAway()
		}
	}
}
