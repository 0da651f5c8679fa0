package testbed

import (
	"errors"
	"net"
	"sync"
	"time"
)

// relay stands in front of an address of a process: it takes what comes for it, and
// passes it on as the links allow. Who calls is known by the address that the caller
// calls from, since every host calls from its own.
type relay struct {
	links  *links
	hostOf func(ip string) string // host that calls from an address
	host   string                 // behind the relay
	target string                 // where the process listens
	ln     net.Listener

	mu    sync.Mutex
	pipes map[*pipe]bool
	ended bool
}

const (
	// holdMost is how long bytes wait at a cut before their connection breaks, as one
	// does whose far end acknowledges nothing.
	holdMost = 1500 * time.Millisecond
	// relayBuffer is what a relay reads at once.
	relayBuffer = 16 << 10
	// targetWait is how long a process may take to accept.
	targetWait = time.Second
)

// newRelay listens at addr for the process at target.
func newRelay(l *links, hostOf func(string) string, host, addr, target string) (*relay, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{links: l, hostOf: hostOf, host: host, target: target, ln: ln, pipes: map[*pipe]bool{}}
	go r.serve()
	return r, nil
}

func (r *relay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

// close ends the relay and all that it carries.
func (r *relay) close() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.ln.Close()
	r.reset(1, nil)
}

// reset breaks a share of the connections that are carried.
func (r *relay) reset(share float64, draw func(share float64) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pipes {
		if share >= 1 || draw(share) {
			p.reset()
		}
	}
}

// pipe is one connection through a relay.
type pipe struct {
	caller, callee net.Conn
	once           sync.Once
	over           chan struct{}
}

// reset breaks both ends.
func (p *pipe) reset() {
	p.once.Do(func() {
		close(p.over)
		for _, c := range []net.Conn{p.caller, p.callee} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // it is closed either way
			}
			c.Close()
		}
	})
}

// carry passes one connection on.
func (r *relay) carry(caller net.Conn) {
	ip, _, _ := net.SplitHostPort(caller.RemoteAddr().String())
	from := r.hostOf(ip)
	if !r.open(from, caller) {
		r.refuse(caller)
		return
	}
	callee, err := net.DialTimeout("tcp4", r.target, targetWait)
	if err != nil {
		r.refuse(caller)
		return
	}
	p := &pipe{caller: caller, callee: callee, over: make(chan struct{})}
	r.mu.Lock()
	if r.ended {
		r.mu.Unlock()
		p.reset()
		return
	}
	r.pipes[p] = true
	r.mu.Unlock()
	var ways sync.WaitGroup
	ways.Go(func() { r.pump(p, caller, callee, from, r.host, false) })
	ways.Go(func() { r.pump(p, callee, caller, r.host, from, true) })
	ways.Wait()
	p.reset()
	r.mu.Lock()
	delete(r.pipes, p)
	r.mu.Unlock()
}

// refuse ends a call that reaches nobody. Without a relay the caller would not have got a
// connection.
func (r *relay) refuse(caller net.Conn) {
	r.links.noteUnmade(caller.RemoteAddr().String())
	abort(caller)
}

// abort closes a connection with a reset.
func abort(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it is closed either way
	}
	c.Close()
}

// open waits until a connection can be made; false if it never can. The caller has
// been accepted already: a cut shows as silence to it.
func (r *relay) open(from string, caller net.Conn) bool {
	for end := time.Now().Add(holdMost); ; {
		there, changed := r.links.state(from, r.host)
		back, _ := r.links.state(r.host, from)
		switch {
		case there.refuse:
			return false
		case !there.cut && !back.cut:
			return true
		case !waitFor(changed, end, nil):
			return false
		}
	}
}

// waitFor waits for a channel to close, until a time or until over closes.
func waitFor(changed <-chan struct{}, end time.Time, over <-chan struct{}) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-over:
	case <-t.C:
	}
	return false
}

// pump passes one direction on until either side ends.
func (r *relay) pump(p *pipe, in, out net.Conn, from, to string, replies bool) {
	buf := make([]byte, relayBuffer)
	for {
		n, err := in.Read(buf)
		if n > 0 && !r.pass(p, out, buf[:n], from, to, replies) {
			p.reset()
			return
		}
		if err != nil {
			r.finish(p, out, err)
			return
		}
	}
}

// finish passes an end on: in order, or as a reset.
func (r *relay) finish(p *pipe, out net.Conn, err error) {
	var broken *net.OpError
	if errors.As(err, &broken) {
		p.reset()
		return
	}
	if tcp, ok := out.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may be gone already
	}
}

// pass writes some bytes as the link allows; false breaks the connection.
func (r *relay) pass(p *pipe, out net.Conn, b []byte, from, to string, replies bool) bool {
	for end := time.Now().Add(holdMost); ; {
		state, changed := r.links.state(from, to)
		switch {
		case state.refuse:
			return false
		case state.cut:
			if !waitFor(changed, end, p.over) {
				return false
			}
			continue
		case replies && r.links.draw(state.loseReply):
			return false
		case state.delay > 0:
			time.Sleep(state.delay)
		}
		_, err := out.Write(b)
		return err == nil
	}
}
