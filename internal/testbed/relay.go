package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// relay accepts the connections to an address of a process and forwards their bytes as the links
// allow. It identifies the caller by its source address, since every host connects from its own.
type relay struct {
	links        *links
	hostBySource func(ip string) string // host that connects from a source address
	host         string                 // behind the relay
	target       string                 // where the process listens
	ln           net.Listener

	mu     sync.Mutex
	pipes  map[*pipe]bool
	closed bool
}

const (
	// maxHold is how long bytes wait at a cut link before their connection is reset, like one whose
	// remote end acknowledges nothing.
	maxHold = 1500 * time.Millisecond
	// relayBuffer is the size in bytes of the read buffer.
	relayBuffer = 16 << 10
	// dialTimeout is how long a process may take to accept a connection.
	dialTimeout = time.Second
)

// newRelay listens at addr for the process at target.
func newRelay(l *links, hostBySource func(string) string, host, addr, target string) (*relay, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{links: l, hostBySource: hostBySource, host: host, target: target, ln: ln, pipes: map[*pipe]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.handle(c)
	}
}

// close stops the relay and resets all its connections.
func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.ln.Close()
	r.reset(1, nil)
}

// reset resets a share of the connections through the relay.
func (r *relay) reset(share float64, sample func(share float64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		if share >= 1 || sample(share) {
			p.reset()
		}
	}
}

// pipe is one connection through a relay.
type pipe struct {
	caller, callee net.Conn
	once           sync.Once
	done           chan struct{}
}

// reset resets both connections of the pipe.
func (p *pipe) reset() {
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

// handle forwards one connection until it ends.
func (r *relay) handle(caller net.Conn) {
	ip, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	from := r.hostBySource(ip)
	if !r.awaitOpen(from, caller) {
		r.refuse(caller)
		return
	}
	callee, err := net.DialTimeout("tcp4", r.target, dialTimeout)
	if err != nil {
		r.refuse(caller)
		return
	}
	p := &pipe{caller: caller, callee: callee, done: make(chan struct{})}
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		p.reset()
		return
	}
	r.pipes[p] = true
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.forwardAll(p, caller, callee, from, r.host, false) })
	directions.Go(func() { r.forwardAll(p, callee, caller, r.host, from, true) })
	directions.Wait()
	p.reset()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// refuse resets a connection that can't be forwarded, and records it: without a relay the caller
// would not have got a connection.
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

// awaitOpen waits until the links allow a connection. It returns false if they refuse it or stay
// cut for maxHold. The caller's connection has been accepted already, so that a cut link appears to
// it as a peer that does not respond.
func (r *relay) awaitOpen(from string, caller net.Conn) bool {
	for end := time.Now().Add(maxHold); ; {
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

// forwardAll forwards one direction until either side ends.
func (r *relay) forwardAll(p *pipe, in, out net.Conn, from, to string, replies bool) {
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

// propagateEnd forwards the end of one direction: as a half-close, or as a reset.
func (r *relay) propagateEnd(p *pipe, out net.Conn, err error) {
	var broken *net.OpError
	if errors.As(err, &broken) {
		p.reset()
		return
	}
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may be closed already
	}
}

// forward writes some bytes as the link allows. It returns false if the connection must be reset.
func (r *relay) forward(p *pipe, out net.Conn, b []byte, from, to string, replies bool) bool {
	for end := time.Now().Add(maxHold); ; {
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
