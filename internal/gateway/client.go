package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
)

// clientWriteTimeout is how long a client may accept none of the data written to it.
const clientWriteTimeout = 5 * kernel.Second

// errClientDisconnected reports that the client has closed its connection.
var errClientDisconnected = errors.New("gateway: client disconnected")

// clientConn is a client's connection. A write fails if it does not complete within a limited time:
// otherwise a client that reads nothing would occupy its request's resources forever.
type clientConn struct {
	meteredConn
	writeDeadline atomic.Int64 // Unix microseconds; later writes fail; 0 for no limit
	readStopped   atomic.Bool  // reading was stopped from this side, so a failed read does not mean that the client disconnected
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	deadline := time.Now().Add(clientWriteTimeout.Duration())
	if limit := c.writeDeadline.Load(); limit > 0 && time.UnixMicro(limit).Before(deadline) {
		deadline = time.UnixMicro(limit)
	}
	if err := c.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return c.meteredConn.Write(b)
}

// writeUntil sets the deadline for subsequent writes.
func (c *clientConn) writeUntil(deadline time.Time) {
	if c != nil {
		c.writeDeadline.Store(deadline.UnixMicro())
	}
}

// stopReading ends a connection that has no request in progress, by expiring its read deadline. Data
// received but not yet read is discarded. Unlike closing the connection, this lets a request that has
// just been read get its response.
func (c *clientConn) stopReading() {
	c.readStopped.Store(true)
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close()
	}
}

// clientListener accepts client connections and meters them.
type clientListener struct {
	net.Listener
	meter *linkMeter
}

func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{meteredConn: meteredConn{c, l.meter}}, nil
}

// clientFromRequest returns the connection a request arrived on, or nil in tests that call a handler
// directly.
func clientFromRequest(request *http.Request) *clientConn {
	c, _ := request.Context().Value(connKey{}).(*clientConn)
	return c
}

// watchDisconnect arranges for j.disconnected to be closed when the client closes its connection,
// until the returned function is called.
func (j *job) watchDisconnect(client *clientConn) (stop func() bool) {
	disconnected := make(chan struct{})
	j.disconnected = disconnected
	return context.AfterFunc(j.incoming.Context(), func() {
		if client == nil || !client.readStopped.Load() {
			close(disconnected)
		}
	})
}

// clientDisconnected reports whether the client has closed its connection.
func (j *job) clientDisconnected() bool {
	select {
	case <-j.disconnected:
		return true
	default:
		return false
	}
}

// awaitResult waits for the result of an attempt, at most until the drain period expires. For an
// idempotent request the wait also ends when the client disconnects; any other request runs to its
// end even if the client has disconnected.
func (j *job) awaitResult(a *attempt, wait kernel.Micros) (*httpconn.Reply, error) {
	disconnected := j.disconnected
	if !j.idempotent() {
		disconnected = nil
	}
	reply, err := httpconn.Await(a.result, wait, j.gateway.drainExpired, disconnected)
	if errors.Is(err, httpconn.ErrNoResponse) && disconnected != nil && j.clientDisconnected() {
		return nil, errClientDisconnected
	}
	return reply, err
}
