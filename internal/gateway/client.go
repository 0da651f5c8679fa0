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

// clientWait is how long a client may take nothing of what is written to it.
const clientWait = 5 * kernel.Second

// errClientGone says that whoever asked has closed the connection.
var errClientGone = errors.New("gateway: the client has gone")

// clientConn is a connection of a client. What is written to it is taken within a while,
// or it breaks: a client that takes nothing would hold its request, and what that holds,
// without end.
type clientConn struct {
	metered
	until atomic.Int64 // unix microseconds; then nothing is written any more; 0 for no bound
	away  atomic.Bool  // it was turned away: that it can't be read says nothing of the client
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	end := time.Now().Add(clientWait.Duration())
	if until := c.until.Load(); until > 0 && time.UnixMicro(until).Before(end) {
		end = time.UnixMicro(until)
	}
	if err := c.SetWriteDeadline(end); err != nil {
		return 0, err
	}
	return c.metered.Write(b)
}

// writeUntil bounds the writes that follow.
func (c *clientConn) writeUntil(end time.Time) {
	if c != nil {
		c.until.Store(end.UnixMicro())
	}
}

// turnAway ends a connection on which no request is being worked on. What has come
// on it and was not read is not read any more; a request that has just been read is
// served all the same, as a connection closed from here might not be.
func (c *clientConn) turnAway() {
	c.away.Store(true)
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close()
	}
}

// clientListener takes the connections of clients.
type clientListener struct {
	net.Listener
	meter *linkMeter
}

func (l clientListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &clientConn{metered: metered{c, l.meter}}, nil
}

// clientOf is the connection on which a request came; nil in tests of handlers alone.
func clientOf(q *http.Request) *clientConn {
	c, _ := q.Context().Value(connKey{}).(*clientConn)
	return c
}

// watchClient has gone close once the client of a request has closed its connection,
// until the returned function is called.
func (j *job) watchClient(client *clientConn) (stop func() bool) {
	gone := make(chan struct{})
	j.gone = gone
	return context.AfterFunc(j.in.Context(), func() {
		if client == nil || !client.away.Load() {
			close(gone)
		}
	})
}

// left tells whether the client has gone.
func (j *job) abandoned() bool {
	select {
	case <-j.gone:
		return true
	default:
		return false
	}
}

// answerOf waits for the answer to an attempt, until the end of the process at the latest.
// What may be repeated is waited for no longer than its client is there; what may not runs
// on, whoever waits.
func (j *job) answerOf(a *attempt, wait kernel.Micros) (*httpconn.Reply, error) {
	gone := j.gone
	if !j.safe() {
		gone = nil
	}
	reply, err := httpconn.Await(a.ch, wait, j.t.ending, gone)
	if errors.Is(err, httpconn.ErrQuiet) && gone != nil && j.abandoned() {
		return nil, errClientGone
	}
	return reply, err
}
