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

// clientWriteTimeout is how long one write to a client may take.
const clientWriteTimeout = 5 * kernel.Second

// errClientDisconnected reports that the client has closed its connection.
var errClientDisconnected = errors.New("gateway: client disconnected")

// clientConn is a client's connection. A write fails if it does not complete within a limited time:
// otherwise a client that reads nothing would occupy its request's resources forever.
type clientConn struct {
	meteredConn
	writeDeadline atomic.Int64 // in Unix microseconds; writes past it fail; 0 for no deadline
	readStopped   atomic.Bool  // set by stopReading; a failed read then does not mean that the client disconnected
}

// Write writes b within clientWriteTimeout, and before writeDeadline if that is earlier.
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

// clientFromRequest returns the connection on which a request arrived, or nil in tests that call a
// handler directly.
func clientFromRequest(request *http.Request) *clientConn {
	c, _ := request.Context().Value(connKey{}).(*clientConn)
	return c
}

// watchDisconnect creates j.disconnected, which is closed when the client closes its connection. The
// returned function ends the watch.
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

// awaitResult waits for the result of an attempt, at most until the time limit or the drain period
// expires. For an idempotent request the wait also ends when the client disconnects; any other request
// runs to its end even if the client has disconnected.
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
