package testbed

import (
	"context"
	"net"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// loopback is this machine's network as stand-ins use it: hosts are addresses of the
// loopback, whose connections can be reset and held up.
type loopback struct {
	links *links

	mu       sync.Mutex
	hosts    map[string]*host
	callers  map[string]string // hosts by the address that they call from, if it is another
	controls []string          // control addresses, as the platform knows them
}

// host is one address with what it has open.
type host struct {
	ip  string
	net *loopback

	mu        sync.Mutex
	wake      *sync.Cond
	silent    bool
	listeners map[net.Listener]bool
	conns     map[*hostConn]bool
}

func newLoopback(l *links) *loopback {
	return &loopback{links: l, hosts: map[string]*host{}, callers: map[string]string{}}
}

// callsFrom notes that a host calls from another address.
func (l *loopback) callsFrom(host, ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callers[ip] = host
}

// hostOf is the host that calls from an address.
func (l *loopback) hostOf(ip string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host, other := l.callers[ip]; other {
		return host
	}
	return ip
}

func (l *loopback) host(ip string) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[ip]
	if h == nil {
		h = &host{ip: ip, net: l, listeners: map[net.Listener]bool{}, conns: map[*hostConn]bool{}}
		h.wake = sync.NewCond(&h.mu)
		l.hosts[ip] = h
	}
	return h
}

// Network implements standin.Environment.
func (l *loopback) Network(ip string) kernel.Network { return l.host(ip) }

// Controls implements standin.Environment.
func (l *loopback) Controls() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.controls...)
}

func (l *loopback) setControls(addrs []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controls = addrs
}

// Reaches implements standin.Environment: a host that is silent, or cut off, is not
// reached.
func (l *loopback) Reaches(from, to string) bool {
	a, _, _ := net.SplitHostPort(from)
	b, _, _ := net.SplitHostPort(to)
	there, _ := l.links.state(a, b)
	back, _ := l.links.state(b, a)
	return !l.silentAt(a) && !l.silentAt(b) && !there.cut && !back.cut
}

func (l *loopback) silentAt(ip string) bool {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

// Made implements standin.Environment.
func (l *loopback) Made(c net.Conn) bool { return l.links.made(c.LocalAddr().String()) }

// Silence implements standin.Environment: the host reads and writes nothing.
func (l *loopback) Silence(ip string, silent bool) {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = silent
	h.wake.Broadcast()
}

// Reset implements standin.Environment.
func (l *loopback) Reset(ip string) {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	for ln := range h.listeners {
		ln.Close()
	}
	clear(h.listeners)
	h.breakConns()
}

// Break resets the connections of a host that goes on listening.
func (l *loopback) Break(ip string) {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.breakConns()
}

// breakConns ends every connection with a reset. The caller holds the lock.
func (h *host) breakConns() {
	for c := range h.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it is closed either way
		}
		c.Conn.Close()
	}
	clear(h.conns)
	h.wake.Broadcast()
}

// await waits as long as the host is silent.
func (h *host) await(c *hostConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for h.silent && h.conns[c] {
		h.wake.Wait()
	}
}

// Dial implements kernel.Network.
func (h *host) Dial(ctx context.Context, addr string, _ kernel.Micros) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1, LocalAddr: &net.TCPAddr{IP: net.ParseIP(h.ip)}}
	return d.DialContext(ctx, "tcp4", addr)
}

// Listen implements kernel.Network.
func (h *host) Listen(addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[ln] = true
	return hostListener{ln, h}, nil
}

// ListenPacket implements kernel.Network.
func (h *host) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", addr)
}

type hostListener struct {
	net.Listener
	h *host
}

// Accept implements net.Listener.
func (l hostListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	from := l.h.net.hostOf(ip)
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	kept := &hostConn{Conn: c, h: l.h, from: from}
	l.h.conns[kept] = true
	return kept, nil
}

// hostConn is a connection that was made to a host.
type hostConn struct {
	net.Conn
	h    *host
	from string // who made it
}

// Read implements net.Conn.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.h.await(c)
	if n > 0 && !c.passes(c.from, c.h.ip) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *hostConn) Write(b []byte) (int, error) {
	c.h.await(c)
	if !c.passes(c.h.ip, c.from) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// passes waits until the link carries what is on its way; false if the connection breaks
// by it.
func (c *hostConn) passes(from, to string) bool {
	for end := time.Now().Add(holdMost); ; {
		state, changed := c.h.net.links.state(from, to)
		if !state.cut && !state.refuse {
			time.Sleep(state.delay)
			return true
		}
		if state.refuse || !waitFor(changed, end, nil) {
			abort(c.Conn)
			return false
		}
	}
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	delete(c.h.conns, c)
	return c.Conn.Close()
}
