package testbed

import (
	"context"
	"net"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// loopback is the network of the stand-ins. Each host is an address of the loopback interface; the
// connections that a host accepts can be reset and stalled.
type loopback struct {
	links *links

	mu            sync.Mutex
	hosts         map[string]*host
	hostsBySource map[string]string // hosts by the source address of their connections, where that differs from the host's address
	controls      []string          // addresses of the control nodes that the platform knows
}

// host is one address of a stand-in, with its open listeners and accepted connections.
type host struct {
	ip       string
	loopback *loopback

	mu        sync.Mutex
	wake      *sync.Cond
	silent    bool
	listeners map[net.Listener]bool
	conns     map[*hostConn]bool
}

func newLoopback(l *links) *loopback {
	return &loopback{links: l, hosts: map[string]*host{}, hostsBySource: map[string]string{}}
}

// registerSource records that a host connects from the source address ip instead of its own.
func (l *loopback) registerSource(host, ip string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hostsBySource[ip] = host
}

// hostBySource returns the host that connects from a source address.
func (l *loopback) hostBySource(ip string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if host, found := l.hostsBySource[ip]; found {
		return host
	}
	return ip
}

func (l *loopback) host(ip string) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[ip]
	if h == nil {
		h = &host{ip: ip, loopback: l, listeners: map[net.Listener]bool{}, conns: map[*hostConn]bool{}}
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

// Reaches implements standin.Environment: a host that is silent or cut off in either direction is
// unreachable.
func (l *loopback) Reaches(from, to string) bool {
	a, _, _ := net.SplitHostPort(from)
	b, _, _ := net.SplitHostPort(to)
	forward, _ := l.links.state(a, b)
	reverse, _ := l.links.state(b, a)
	return !l.isSilent(a) && !l.isSilent(b) && !forward.cut && !reverse.cut
}

func (l *loopback) isSilent(ip string) bool {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

// ReachedPeer implements standin.Environment.
func (l *loopback) ReachedPeer(c net.Conn) bool { return l.links.reachedTarget(c.LocalAddr().String()) }

// Silence implements standin.Environment: a silent host's reads and writes block.
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
	h.resetConns()
}

// ResetConns resets the connections that a host has accepted; the host continues to listen.
func (l *loopback) ResetConns(ip string) {
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.resetConns()
}

// resetConns closes every connection with a reset. The caller holds the lock.
func (h *host) resetConns() {
	for c := range h.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // best effort: the connection is closed in any case
		}
		c.Conn.Close()
	}
	clear(h.conns)
	h.wake.Broadcast()
}

// awaitResponsive blocks while the host is silent and the connection is open.
func (h *host) awaitResponsive(c *hostConn) {
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

// hostListener tracks the connections that it accepts for its host.
type hostListener struct {
	net.Listener
	host *host
}

// Accept implements net.Listener.
func (l hostListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	from := l.host.loopback.hostBySource(ip)
	l.host.mu.Lock()
	defer l.host.mu.Unlock()
	accepted := &hostConn{Conn: c, host: l.host, from: from}
	l.host.conns[accepted] = true
	return accepted, nil
}

// hostConn is a connection that a host has accepted.
type hostConn struct {
	net.Conn
	host *host
	from string // host that opened the connection
}

// Read implements net.Conn.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.host.awaitResponsive(c)
	if n > 0 && !c.awaitLink(c.from, c.host.ip) {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *hostConn) Write(b []byte) (int, error) {
	c.host.awaitResponsive(c)
	if !c.awaitLink(c.host.ip, c.from) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// awaitLink waits until the link can deliver data. It returns false if it has reset the connection
// instead, because the link refuses connections or has been cut for cutLinkTimeout.
func (c *hostConn) awaitLink(from, to string) bool {
	for end := time.Now().Add(cutLinkTimeout); ; {
		state, changed := c.host.loopback.links.state(from, to)
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
	c.host.mu.Lock()
	defer c.host.mu.Unlock()
	delete(c.host.conns, c)
	return c.Conn.Close()
}
