package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// relay accepts connections at a process's advertised address and forwards their bytes to the process
// as the links' impairments say. It identifies the calling host by the source address of the connection.
type relay struct {
	links        *links
	hostBySource func(ip string) string // returns the host that connects from a source address
	host         string                 // address of the machine behind the relay
	target       string                 // address that the process listens on
	ln           net.Listener

	mu     sync.Mutex
	conns  map[*relayedConn]bool
	closed bool
}

const (
	// cutLinkTimeout is how long bytes wait at a cut link before their connection is reset, like one
	// whose remote end acknowledges nothing.
	cutLinkTimeout = 1500 * time.Millisecond
	// relayBuffer is the size in bytes of the read buffer of each direction.
	relayBuffer = 16 << 10
	// dialTimeout is how long a process may take to accept a connection.
	dialTimeout = time.Second
)

// newRelay starts a relay that listens at addr and forwards to the process at target.
func newRelay(l *links, hostBySource func(string) string, host, addr, target string) (*relay, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{links: l, hostBySource: hostBySource, host: host, target: target, ln: ln, conns: map[*relayedConn]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.forwardConn(c)
	}
}

// close stops the relay and resets all its connections.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.ln.Close()
	r.resetConns(1, nil)
}

// resetConns resets a share of the connections through the relay. Unless the share is 1, sample decides
// for each of them.
func (r *relay) resetConns(share float64, sample func(share float64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.conns {
		if share >= 1 || sample(share) {
			p.reset()
		}
	}
}

// relayedConn is one connection through a relay: from the caller to the relay, and from there to the
// process.
type relayedConn struct {
	caller, callee net.Conn
	once           sync.Once
	done           chan struct{}
}

// reset resets both connections.
func (p *relayedConn) reset() {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []net.Conn{p.caller, p.callee} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // best effort: the connection is closed in any case
			}
			c.Close()
		}
	})
}

// forwardConn forwards one connection in both directions until it ends.
func (r *relay) forwardConn(caller net.Conn) {
	ip, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	from := r.hostBySource(ip)
	if !r.awaitLinks(from, caller) {
		r.refuse(caller)
		return
	}
	callee, err := net.DialTimeout("tcp4", r.target, dialTimeout)
	if err != nil {
		r.refuse(caller)
		return
	}
	p := &relayedConn{caller: caller, callee: callee, done: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		p.reset()
		return
	}
	r.conns[p] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardDirection(p, caller, callee, from, r.host, false) })
	directions.Go(func() { r.forwardDirection(p, callee, caller, r.host, from, true) })
	directions.Wait()
	p.reset()
	r.mu.Lock()
	delete(r.conns, p)
	r.mu.Unlock()
}

// refuse resets a connection that can't be forwarded and records it: without the relay, the caller
// would not have got a connection at all.
func (r *relay) refuse(caller net.Conn) {
	r.links.recordUnforwarded(caller.RemoteAddr().String())
	abort(caller)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // best effort: the connection is closed in any case
	}
	c.Close()
}

// awaitLinks waits until the links in both directions allow a connection. It returns false if they
// refuse it or stay cut for cutLinkTimeout. The caller's connection has been accepted already, so that a cut link appears to
// it as a peer that does not respond.
func (r *relay) awaitLinks(from string, caller net.Conn) bool {
	for end := time.Now().Add(cutLinkTimeout); ; {
		forward, changed := r.links.state(from, r.host)
		reverse, _ := r.links.state(r.host, from)
		switch {
		case forward.refuse:
			return false
		case !forward.cut && !reverse.cut:
			return true
		case !waitFor(changed, end, nil):
			return false
		}
	}
}

// waitFor waits until changed closes and returns true. It returns false if the time end is reached
// or done closes before.
func waitFor(changed <-chan struct{}, end time.Time, done <-chan struct{}) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-done:
	case <-t.C:
	}
	return false
}

// forwardDirection forwards the bytes of one direction until either side ends. If replies is set, they
// are the callee's responses.
func (r *relay) forwardDirection(p *relayedConn, in, out net.Conn, from, to string, replies bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := in.Read(buf)
		if n > 0 && !r.forward(p, out, buf[:n], from, to, replies) {
			p.reset()
			return
		}
		if err != nil {
			r.propagateEnd(p, out, err)
			return
		}
	}
}

// propagateEnd forwards the end of one direction: a close as a half-close, any other error as a reset.
func (r *relay) propagateEnd(p *relayedConn, out net.Conn, err error) {
	var opErr *net.OpError
	if errors.As(err, &opErr) {
		p.reset()
		return
	}
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may be closed already
	}
}

// forward writes some bytes as the link's impairment says. It returns false if the connection must be reset.
func (r *relay) forward(p *relayedConn, out net.Conn, b []byte, from, to string, replies bool) bool {
	for end := time.Now().Add(cutLinkTimeout); ; {
		state, changed := r.links.state(from, to)
		switch {
		case state.refuse:
			return false
		case state.cut:
			if !waitFor(changed, end, p.done) {
				return false
			}
			continue
		case replies && r.links.sample(state.replyLoss):
			return false
		case state.delay > 0:
			time.Sleep(state.delay)
		}
		_, err := out.Write(b)
		return err == nil
	}
}
