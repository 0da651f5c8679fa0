package simulation

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one end of a simulated TCP connection. Its mutex is locked before that of the network.
type conn struct {
	network       *Net
	local, remote string
	peer          *conn
	peerTimeout   time.Duration

	mu          sync.Mutex
	cond        *sync.Cond
	received    []byte
	eof         bool  // the end of the peer's data has arrived
	err         error // why the connection failed, if it did
	closed      bool
	readUntil   time.Time // the read deadline; zero means none
	readTimer   *time.Timer
	writeUntil  time.Time // the write deadline; zero means none
	writeTimer  *time.Timer
	lastArrival time.Time // when the last segment sent arrives; later ones arrive after it
}

func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.readUntil.IsZero() && !time.Now().Before(c.readUntil):
			return 0, os.ErrDeadlineExceeded
		case len(c.received) > 0:
			n := copy(b, c.received)
			c.received = c.received[n:]
			return n, nil
		case c.err != nil:
			return 0, c.err
		case c.eof:
			return 0, io.EOF
		}
		c.cond.Wait()
	}
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case c.err != nil:
			return 0, c.err
		case c.writeExpired():
			return 0, os.ErrDeadlineExceeded
		case !c.network.receiveBlocked(c.remote):
			c.send(append([]byte(nil), b...), false)
			return len(b), nil
		}
		c.cond.Wait()
	}
}

// send schedules the arrival of a segment, or of the end of the stream, after those sent before.
// Each loss delays it by a retransmission timeout of 200 ms. The caller holds c.mu.
func (c *conn) send(b []byte, eof bool) {
	c.network.mu.Lock()
	c.network.countSent(c.remote, len(b))
	at := c.network.sendTime(c.local, c.remote, len(b)).Add(c.network.delay)
	for c.local != c.remote && c.network.rng.Float64() < c.network.loss {
		at = at.Add(200 * time.Millisecond)
	}
	c.network.mu.Unlock()
	if !at.After(c.lastArrival) {
		at = c.lastArrival.Add(1)
	}
	c.lastArrival = at
	time.AfterFunc(time.Until(at), func() { c.deliver(b, eof, time.Now()) })
}

// deliver hands a segment to the peer. While the hosts can't reach each other, it retries every
// 50 ms, and the connection fails once the segment is older than peerTimeout. Without such a
// timeout the retries go on, or up to 10 s if this end is closed. Data for a closed peer resets
// the connection.
func (c *conn) deliver(b []byte, eof bool, sent time.Time) {
	c.network.mu.Lock()
	reachable := c.network.reachable(c.local, c.remote)
	c.network.mu.Unlock()
	if !reachable {
		if c.peerTimeout > 0 && time.Since(sent) >= c.peerTimeout {
			c.fail(syscall.ETIMEDOUT)
			return
		}
		c.mu.Lock()
		abandoned := c.err != nil || c.closed && c.peerTimeout == 0 && time.Since(sent) > 10*time.Second
		c.mu.Unlock()
		if !abandoned {
			time.AfterFunc(50*time.Millisecond, func() { c.deliver(b, eof, sent) })
		}
		return
	}
	peer := c.peer
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.closed {
		if !eof {
			time.AfterFunc(c.network.delay, func() { c.fail(syscall.ECONNRESET) })
		}
		return
	}
	if peer.err != nil {
		return
	}
	peer.received = append(peer.received, b...)
	peer.eof = peer.eof || eof
	peer.cond.Broadcast()
}

// fail makes reads and writes return the error, unless the connection has already failed.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.cond.Broadcast()
}

// writeExpired reports whether the write deadline has passed. As with a real socket, writes then
// fail until another deadline is set, even if there is room for the data. The caller holds c.mu.
func (c *conn) writeExpired() bool { return !c.writeUntil.IsZero() && !time.Now().Before(c.writeUntil) }

// TryWrite implements kernel.TryWriter.
func (c *conn) TryWrite(b []byte) (int, error) {
	c.mu.Lock()
	expired := c.writeExpired()
	c.mu.Unlock()
	if expired {
		return 0, os.ErrDeadlineExceeded
	}
	if c.network.receiveBlocked(c.remote) {
		return 0, nil
	}
	return c.Write(b)
}

func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	for _, timer := range []*time.Timer{c.readTimer, c.writeTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	c.send(nil, true)
	c.cond.Broadcast()
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readUntil = t
	c.readTimer = c.scheduleWakeup(c.readTimer, t)
	return nil
}

// SetWriteDeadline implements net.Conn. The deadline takes effect on writes to a host that
// receives nothing (Net.SetReceiveBlocked).
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeUntil = t
	c.writeTimer = c.scheduleWakeup(c.writeTimer, t)
	return nil
}

// scheduleWakeup wakes the waiting readers and writers, which check their conditions again, now
// and at time t. It stops the timer of the previous deadline and returns the new one.
func (c *conn) scheduleWakeup(timer *time.Timer, t time.Time) *time.Timer {
	c.cond.Broadcast()
	if timer != nil {
		timer.Stop()
	}
	if t.IsZero() || c.closed {
		return nil
	}
	return time.AfterFunc(max(0, time.Until(t)), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cond.Broadcast()
	})
}

func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *conn) LocalAddr() net.Addr { return address(c.local) }

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }
