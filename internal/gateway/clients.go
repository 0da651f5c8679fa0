package gateway

import (
	"context"
	"net"
	"net/http"

	"indigowalk/internal/kernel"
)

// clientState is the state of a client's connection. Its timeouts come from the configuration,
// which may change while the connection is open.
type clientState struct {
	connState http.ConnState
	since     kernel.Micros
	busy      bool // a request has been read
	// responding is set while the response is being written.
	responding bool
}

// trackState implements the ConnState callback of the HTTP server: it records the state of a client's
// connection.
func (g *Gateway) trackState(c net.Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(g.clients, c)
	default:
		g.clients[c] = &clientState{connState: state, since: g.k.Clock.Now()}
	}
}

// setBusy records that a connection's request has been read, or has completed.
func (g *Gateway) setBusy(c *clientConn, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.clients[net.Conn(c)]; state != nil {
		state.busy, state.responding, state.since = busy, false, g.k.Clock.Now()
	}
}

// openRequests returns the number of requests in progress.
func (g *Gateway) openRequests() (n int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.clients {
		if state.busy {
			n++
		}
	}
	return n
}

// openConnections returns the number of client connections.
func (g *Gateway) openConnections() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(len(g.clients))
}

// setResponding records that the response to a connection's request is being written.
func (g *Gateway) setResponding(c *clientConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.clients[net.Conn(c)]; state != nil {
		state.responding = true
	}
}

// Client timeouts used where the configuration sets none.
const (
	defaultHeaderTimeout = 5 * kernel.Second
	defaultIdleTimeout   = 60 * kernel.Second
)

// clientTimeouts returns the configured timeouts for receiving a request header and for an idle
// connection.
func (g *Gateway) clientTimeouts() (header, idle kernel.Micros) {
	header, idle = defaultHeaderTimeout, defaultIdleTimeout
	if conf := g.control.Config(); conf != nil {
		if ms := conf.Limits.HeaderTimeoutMs; ms > 0 {
			header = kernel.Micros(ms) * kernel.Millisecond
		}
		if ms := conf.Limits.IdleTimeoutMs; ms > 0 {
			idle = kernel.Micros(ms) * kernel.Millisecond
		}
	}
	return header, idle
}

// enforceClientTimeouts closes connections that stay idle, or take to send a request header, for
// longer than the configured timeout.
func (g *Gateway) enforceClientTimeouts(ctx context.Context) {
	for kernel.Sleep(ctx, 250*kernel.Millisecond) {
		header, idle := g.clientTimeouts()
		now := g.k.Clock.Now()
		var expired []*clientConn
		g.mu.Lock()
		for c, state := range g.clients {
			limit := header
			if state.connState == http.StateIdle {
				limit = idle
			}
			if client, ok := c.(*clientConn); ok && !state.busy && now-state.since > limit {
				expired = append(expired, client)
			}
		}
		g.mu.Unlock()
		for _, c := range expired {
			g.k.Counters.Add("gateway.clients_late", 1)
			c.stopReading()
		}
	}
}
