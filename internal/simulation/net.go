// Package simulation is a simulated world for tests: hosts on one network with
// delay, loss, duplication and cuts, databases and a platform that follow
// their published protocol, and whole clusters of indigowalk's own processes,
// all inside one test process on the test's clock.
package simulation

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"indigowalk/internal/kernel"
)

// Net is the network between hosts, by IP address.
type Net struct {
	mu        sync.Mutex
	rng       *rand.Rand
	delay     time.Duration
	loss      float64 // of packets between different hosts
	dup       float64 // of datagrams
	dark      map[string]bool
	full      map[string]bool // hosts that take no more bytes
	cuts      map[[2]string]bool
	listeners map[string]*listener
	packets   map[string]*packetConn
	conns     map[*conn]bool
	port      int
	bytes     map[string]int // sent to each host
	datagrams map[string]int
	rate      int // bytes a second that a host can send over its connections; 0 for no bound
	busy      map[string]time.Time
}

// NewNet returns a network with half a millisecond of delay.
func NewNet(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 1)), delay: 500 * time.Microsecond,
		dark: map[string]bool{}, full: map[string]bool{}, cuts: map[[2]string]bool{},
		listeners: map[string]*listener{}, packets: map[string]*packetConn{}, conns: map[*conn]bool{}, port: 40000,
		bytes: map[string]int{}, datagrams: map[string]int{}, busy: map[string]time.Time{},
	}
}

// Sent returns the bytes and datagrams sent to a host so far.
func (n *Net) Sent(ip string) (bytes, datagrams int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[ip], n.datagrams[ip]
}

// count notes what is sent to an address. The caller holds the lock.
func (n *Net) count(to string, size int) {
	host, _, _ := net.SplitHostPort(to)
	n.bytes[host] += size
}

// Lossy sets the share of packets lost and of datagrams doubled.
func (n *Net) Lossy(loss, dup float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.dup = loss, dup
}

// Rate bounds what each host can send over its connections, in bytes a second.
func (n *Net) Rate(rate int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rate = rate
}

// leaves is when that much has left a host. The caller holds the lock.
func (n *Net) leaves(from, to string, size int) time.Time {
	now := time.Now()
	a, _, _ := net.SplitHostPort(from)
	b, _, _ := net.SplitHostPort(to)
	if n.rate == 0 || a == b {
		return now
	}
	if n.busy[a].Before(now) {
		n.busy[a] = now
	}
	n.busy[a] = n.busy[a].Add(time.Duration(size) * time.Second / time.Duration(n.rate))
	return n.busy[a]
}

// Dark makes a host silent, or heard again.
func (n *Net) Dark(ip string, dark bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dark[ip] = dark
}

// Full has a host take no more bytes on any connection, as one does whose
// processes do not read, or take them again.
func (n *Net) Full(ip string, full bool) {
	n.mu.Lock()
	n.full[ip] = full
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.wake.Broadcast()
		c.mu.Unlock()
	}
}

// takesNothing tells whether the host of an address is full.
func (n *Net) takesNothing(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, _, _ := net.SplitHostPort(addr)
	return n.full[host]
}

// Cut keeps two hosts from each other, or joins them again.
func (n *Net) Cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}], n.cuts[[2]string{b, a}] = cut, cut
}

// Heal ends every cut and all loss.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	clear(n.dark)
	n.loss, n.dup = 0, 0
}

// Reset ends all sockets of a host's process at the given ports (all if none
// are given), as its death would.
func (n *Net) Reset(ip string, ports ...string) {
	mine := of(ip, ports)
	n.mu.Lock()
	var ends []io.Closer
	for a, l := range n.listeners {
		if mine(a) {
			ends = append(ends, l)
		}
	}
	for a, p := range n.packets {
		if mine(a) {
			ends = append(ends, p)
		}
	}
	for c := range n.conns {
		if mine(c.local) {
			ends = append(ends, c)
		}
	}
	n.mu.Unlock()
	for _, e := range ends {
		e.Close()
	}
}

// Break resets the connections that a host has at the given ports (all if none are
// given), its own as well as those made to it. What is on its way is lost; whoever
// listens goes on.
func (n *Net) Break(ip string, ports ...string) {
	mine := of(ip, ports)
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if mine(c.local) {
			broken = append(broken, c, c.peer)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.breakWith(syscall.ECONNRESET)
	}
}

// of picks the addresses of a host, at the given ports if there are any.
func of(ip string, ports []string) func(addr string) bool {
	return func(addr string) bool {
		host, port, _ := net.SplitHostPort(addr)
		return host == ip && (len(ports) == 0 || slices.Contains(ports, port))
	}
}

func (n *Net) open(a, b string) bool {
	ha, _, _ := net.SplitHostPort(a)
	hb, _, _ := net.SplitHostPort(b)
	return !n.dark[ha] && !n.dark[hb] && !n.cuts[[2]string{ha, hb}]
}

// Host is one host's side of the network.
type Host struct {
	n  *Net
	IP string
}

// Host returns the network as the host sees it.
func (n *Net) Host(ip string) *Host { return &Host{n, ip} }

type listener struct {
	n      *Net
	addr   string
	queue  chan *conn
	closed chan struct{}
	once   sync.Once
}

// Listen implements kernel.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{n: h.n, addr: addr, queue: make(chan *conn, 1024), closed: make(chan struct{})}
	h.n.listeners[addr] = l
	return l, nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.n.mu.Lock()
		defer l.n.mu.Unlock()
		if l.n.listeners[l.addr] == l {
			delete(l.n.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string { return "tcp" }

func (a address) String() string { return string(a) }

// Dial implements kernel.Network.
func (h *Host) Dial(ctx context.Context, addr string, silence kernel.Micros) (net.Conn, error) {
	n := h.n
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Addr: address(addr), Err: err}
	}
	for {
		n.mu.Lock()
		n.port++
		local := net.JoinHostPort(h.IP, itoa(n.port))
		open, l, lost := n.open(local, addr), n.listeners[addr], n.rng.Float64() < n.loss
		n.mu.Unlock()
		switch {
		case open && l == nil:
			return fail(syscall.ECONNREFUSED)
		case open && !lost:
			a := &conn{n: n, local: local, remote: addr, silence: silence.Duration()}
			b := &conn{n: n, local: addr, remote: local}
			a.wake, b.wake = sync.NewCond(&a.mu), sync.NewCond(&b.mu)
			a.peer, b.peer = b, a
			n.mu.Lock()
			n.conns[a], n.conns[b] = true, true
			n.mu.Unlock()
			time.Sleep(2 * n.delay)
			select {
			case l.queue <- b:
				return a, nil
			case <-l.closed:
				return fail(syscall.ECONNREFUSED)
			}
		}
		t := time.NewTimer(time.Second)
		select {
		case <-ctx.Done():
			t.Stop()
			return fail(ctx.Err())
		case <-t.C:
		}
	}
}

func itoa(n int) string {
	var b [8]byte
	i := len(b)
	for ; n > 0; n /= 10 {
		i--
		b[i] = byte('0' + n%10)
	}
	return string(b[i:])
}
