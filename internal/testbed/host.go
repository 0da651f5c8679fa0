package testbed

import (
	"context"
	"net"
	"sync"

	"indigowalk/internal/kernel"
)

// loopback is this machine's network as stand-ins use it: hosts are addresses of the
// loopback, whose connections can be reset and held up.
type loopback struct {
	mu       sync.Mutex
	hosts    map[string]*host
	controls []string // control addresses, as the platform knows them
}

// host is one address with what it has open.
type host struct {
	ip string

	mu        sync.Mutex
	wake      *sync.Cond
	silent    bool
	listeners map[net.Listener]bool
	conns     map[*hostConn]bool
}

func newLoopback() *loopback { return &loopback{hosts: map[string]*host{}} }

func (l *loopback) host(ip string) *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hosts[ip]
	if h == nil {
		h = &host{ip: ip, listeners: map[net.Listener]bool{}, conns: map[*hostConn]bool{}}
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

// Reaches implements standin.Environment: a host that is silent is not reached.
func (l *loopback) Reaches(from, to string) bool {
	return !l.silentAt(from) && !l.silentAt(to)
}

func (l *loopback) silentAt(addr string) bool {
	ip, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	h := l.host(ip)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.silent
}

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
	l.h.mu.Lock()
	defer l.h.mu.Unlock()
	kept := &hostConn{c, l.h}
	l.h.conns[kept] = true
	return kept, nil
}

// hostConn is a connection that was made to a host.
type hostConn struct {
	net.Conn
	h *host
}

// Read implements net.Conn.
func (c *hostConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.h.await(c)
	return n, err
}

// Write implements net.Conn.
func (c *hostConn) Write(b []byte) (int, error) {
	c.h.await(c)
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *hostConn) Close() error {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	delete(c.h.conns, c)
	return c.Conn.Close()
}
