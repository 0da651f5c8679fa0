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

// conn is one end of a connection.
type conn struct {
	n             *Net
	local, remote string
	peer          *conn
	silence       time.Duration

	mu         sync.Mutex
	wake       *sync.Cond
	in         []byte
	eof        bool
	err        error // the connection broke
	closed     bool
	deadline   time.Time
	timer      *time.Timer
	writeBy    time.Time
	writeTimer *time.Timer
	next       time.Time // when the next piece sent may arrive at the earliest
}

func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case !c.deadline.IsZero() && !time.Now().Before(c.deadline):
			return 0, os.ErrDeadlineExceeded
		case len(c.in) > 0:
			k := copy(b, c.in)
			c.in = c.in[k:]
			return k, nil
		case c.err != nil:
			return 0, c.err
		case c.eof:
			return 0, io.EOF
		}
		c.wake.Wait()
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
		case c.writesLate():
			return 0, os.ErrDeadlineExceeded
		case !c.n.takesNothing(c.remote):
			c.send(append([]byte(nil), b...), false)
			return len(b), nil
		}
		c.wake.Wait()
	}
}

// send has a piece, or the end, arrive in order; a lost one is sent again.
func (c *conn) send(b []byte, eof bool) {
	c.n.mu.Lock()
	c.n.count(c.remote, len(b))
	at := c.n.leaves(c.local, c.remote, len(b)).Add(c.n.delay)
	for c.local != c.remote && c.n.rng.Float64() < c.n.loss {
		at = at.Add(200 * time.Millisecond)
	}
	c.n.mu.Unlock()
	if !at.After(c.next) {
		at = c.next.Add(1)
	}
	c.next = at
	time.AfterFunc(time.Until(at), func() { c.arrive(b, eof, time.Now()) })
}

func (c *conn) arrive(b []byte, eof bool, sent time.Time) {
	c.n.mu.Lock()
	open := c.n.open(c.local, c.remote)
	c.n.mu.Unlock()
	if !open {
		if c.silence > 0 && time.Since(sent) >= c.silence {
			c.breakWith(syscall.ETIMEDOUT)
			return
		}
		c.mu.Lock()
		gone := c.err != nil || c.closed && c.silence == 0 && time.Since(sent) > 10*time.Second
		c.mu.Unlock()
		if !gone {
			time.AfterFunc(50*time.Millisecond, func() { c.arrive(b, eof, sent) })
		}
		return
	}
	p := c.peer
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		if !eof {
			time.AfterFunc(c.n.delay, func() { c.breakWith(syscall.ECONNRESET) })
		}
		return
	}
	if p.err != nil {
		return
	}
	p.in = append(p.in, b...)
	p.eof = p.eof || eof
	p.wake.Broadcast()
}

func (c *conn) breakWith(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = err
	}
	c.wake.Broadcast()
}

// writesLate tells whether the time limit of writes is over. As on a real socket it holds
// until another is set, whatever could be written. The caller holds the lock.
func (c *conn) writesLate() bool { return !c.writeBy.IsZero() && !time.Now().Before(c.writeBy) }

// TryWrite implements kernel.TryWriter.
func (c *conn) TryWrite(b []byte) (int, error) {
	c.mu.Lock()
	late := c.writesLate()
	c.mu.Unlock()
	if late {
		return 0, os.ErrDeadlineExceeded
	}
	if c.n.takesNothing(c.remote) {
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
	for _, timer := range []*time.Timer{c.timer, c.writeTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	c.send(nil, true)
	c.wake.Broadcast()
	c.n.mu.Lock()
	delete(c.n.conns, c)
	c.n.mu.Unlock()
	return nil
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.timer = c.wakeAt(c.timer, t)
	return nil
}

// SetWriteDeadline bounds the writes to a host that takes nothing.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	c.writeTimer = c.wakeAt(c.writeTimer, t)
	return nil
}

// wakeAt has whoever waits look again now and at that time, in place of the time
// that the timer stands for.
func (c *conn) wakeAt(timer *time.Timer, t time.Time) *time.Timer {
	c.wake.Broadcast()
	if timer != nil {
		timer.Stop()
	}
	if t.IsZero() || c.closed {
		return nil
	}
	return time.AfterFunc(max(0, time.Until(t)), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.wake.Broadcast()
	})
}

func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

func (c *conn) LocalAddr() net.Addr { return address(c.local) }

func (c *conn) RemoteAddr() net.Addr { return address(c.remote) }
