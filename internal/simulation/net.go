// Package simulation runs whole deployments inside one test process, on the simulated clock of
// testing/synctest, to test how they behave under faults. A deployment consists of the system's own
// processes, and of stand-ins for databases, clients and the platform that follow the published
// protocol. The hosts are connected by a simulated network with delay, loss, duplication,
// partitions and other faults.
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

// Net is a simulated network. Its hosts are identified by their IP addresses.
type Net struct {
	mu          sync.Mutex
	rng         *rand.Rand
	delay       time.Duration
	loss        float64 // share of packets that are lost
	duplication float64 // share of datagrams that are duplicated
	silent      map[string]bool
	blocked     map[string]bool    // hosts that receive no more bytes
	partitions  map[[2]string]bool // pairs of separated hosts, in both orders
	listeners   map[string]*listener
	packetConns map[string]*packetConn
	conns       map[*conn]bool
	lastPort    int
	bytes       map[string]int       // sent to each host
	datagrams   map[string]int       // sent to each host
	bandwidth   int                  // bytes per second that a host can send over its connections; 0 means unlimited
	busyUntil   map[string]time.Time // when each host will have sent what it sent so far
}

// NewNet returns a network with a delay of 0.5 ms and no faults. The seed determines what is lost,
// duplicated and reordered.
func NewNet(seed uint64) *Net {
	return &Net{
		rng: rand.New(rand.NewPCG(seed, 1)), delay: 500 * time.Microsecond,
		silent: map[string]bool{}, blocked: map[string]bool{}, partitions: map[[2]string]bool{},
		listeners: map[string]*listener{}, packetConns: map[string]*packetConn{}, conns: map[*conn]bool{}, lastPort: 40000,
		bytes: map[string]int{}, datagrams: map[string]int{}, busyUntil: map[string]time.Time{},
	}
}

// SentTo returns how many bytes and datagrams have been sent to a host so far.
func (n *Net) SentTo(ip string) (bytes, datagrams int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes[ip], n.datagrams[ip]
}

// countSent counts the bytes sent to the host of an address. The caller holds n.mu.
func (n *Net) countSent(to string, size int) {
	host, _, _ := net.SplitHostPort(to)
	n.bytes[host] += size
}

// SetLoss sets the shares of packets that are lost and of datagrams that are duplicated.
func (n *Net) SetLoss(loss, duplication float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.duplication = loss, duplication
}

// SetBandwidth limits what each host can send over its connections, in bytes per second.
func (n *Net) SetBandwidth(bandwidth int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bandwidth = bandwidth
}

// sendTime returns when a host will have sent the given number of bytes to another, and reserves
// the bandwidth for them. Traffic within a host is not limited. The caller holds n.mu.
func (n *Net) sendTime(from, to string, size int) time.Time {
	now := time.Now()
	sender, _, _ := net.SplitHostPort(from)
	receiver, _, _ := net.SplitHostPort(to)
	if n.bandwidth == 0 || sender == receiver {
		return now
	}
	if n.busyUntil[sender].Before(now) {
		n.busyUntil[sender] = now
	}
	n.busyUntil[sender] = n.busyUntil[sender].Add(time.Duration(size) * time.Second / time.Duration(n.bandwidth))
	return n.busyUntil[sender]
}

// SetSilent disconnects a host from the network, without any error at its peers, or connects it
// again.
func (n *Net) SetSilent(ip string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[ip] = silent
}

// SetReceiveBlocked makes a host receive no more bytes on any connection, as one whose processes
// do not read, or receive them again.
func (n *Net) SetReceiveBlocked(ip string, blocked bool) {
	n.mu.Lock()
	n.blocked[ip] = blocked
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		c.cond.Broadcast()
		c.mu.Unlock()
	}
}

// receiveBlocked reports whether SetReceiveBlocked is in effect for the host of an address.
func (n *Net) receiveBlocked(addr string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	host, _, _ := net.SplitHostPort(addr)
	return n.blocked[host]
}

// SetPartitioned separates two hosts from each other, or reconnects them.
func (n *Net) SetPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[[2]string{a, b}], n.partitions[[2]string{b, a}] = partitioned, partitioned
}

// Heal ends all partitions, silence, loss and duplication.
func (n *Net) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitions)
	clear(n.silent)
	n.loss, n.duplication = 0, 0
}

// CloseSockets closes all sockets of a host at the given ports (all if none are given), as happens
// when a process is killed.
func (n *Net) CloseSockets(ip string, ports ...string) {
	matches := matchAddress(ip, ports)
	n.mu.Lock()
	var sockets []io.Closer
	for a, l := range n.listeners {
		if matches(a) {
			sockets = append(sockets, l)
		}
	}
	for a, p := range n.packetConns {
		if matches(a) {
			sockets = append(sockets, p)
		}
	}
	for c := range n.conns {
		if matches(c.local) {
			sockets = append(sockets, c)
		}
	}
	n.mu.Unlock()
	for _, s := range sockets {
		s.Close()
	}
}

// ResetConnections resets a host's connections at the given ports (all if none are given), those
// it opened and those it accepted. Data in transit is lost; listeners stay open.
func (n *Net) ResetConnections(ip string, ports ...string) {
	matches := matchAddress(ip, ports)
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if matches(c.local) {
			broken = append(broken, c, c.peer)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		c.fail(syscall.ECONNRESET)
	}
}

// matchAddress returns a function that reports whether an address belongs to a host and, if ports
// are given, has one of them.
func matchAddress(ip string, ports []string) func(addr string) bool {
	return func(addr string) bool {
		host, port, _ := net.SplitHostPort(addr)
		return host == ip && (len(ports) == 0 || slices.Contains(ports, port))
	}
}

// reachable reports whether packets pass between two addresses. The caller holds n.mu.
func (n *Net) reachable(from, to string) bool {
	sender, _, _ := net.SplitHostPort(from)
	receiver, _, _ := net.SplitHostPort(to)
	return !n.silent[sender] && !n.silent[receiver] && !n.partitions[[2]string{sender, receiver}]
}

// Host is the network as seen from one host. It implements kernel.Network.
type Host struct {
	network *Net
	IP      string
}

// Host returns the network as seen from the host with the given IP address.
func (n *Net) Host(ip string) *Host { return &Host{n, ip} }

type listener struct {
	network *Net
	addr    string
	queue   chan *conn
	closed  chan struct{}
	once    sync.Once
}

// Listen implements kernel.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.listeners[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	l := &listener{network: h.network, addr: addr, queue: make(chan *conn, 1024), closed: make(chan struct{})}
	h.network.listeners[addr] = l
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
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.addr] == l {
			delete(l.network.listeners, l.addr)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

type address string

func (address) Network() string { return "tcp" }

func (a address) String() string { return string(a) }

// Dial implements kernel.Network. It tries again every second while the host can't be reached or
// the packet is lost.
func (h *Host) Dial(ctx context.Context, addr string, peerTimeout kernel.Micros) (net.Conn, error) {
	n := h.network
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Addr: address(addr), Err: err}
	}
	for {
		n.mu.Lock()
		n.lastPort++
		local := net.JoinHostPort(h.IP, itoa(n.lastPort))
		reachable, l, lost := n.reachable(local, addr), n.listeners[addr], n.rng.Float64() < n.loss
		n.mu.Unlock()
		switch {
		case reachable && l == nil:
			return fail(syscall.ECONNREFUSED)
		case reachable && !lost:
			client := &conn{network: n, local: local, remote: addr, peerTimeout: peerTimeout.Duration()}
			server := &conn{network: n, local: addr, remote: local}
			client.cond, server.cond = sync.NewCond(&client.mu), sync.NewCond(&server.mu)
			client.peer, server.peer = server, client
			n.mu.Lock()
			n.conns[client], n.conns[server] = true, true
			n.mu.Unlock()
			time.Sleep(2 * n.delay)
			select {
			case l.queue <- server:
				return client, nil
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

// itoa formats a positive number of up to eight digits.
func itoa(n int) string {
	var b [8]byte
	i := len(b)
	for ; n > 0; n /= 10 {
		i--
		b[i] = byte('0' + n%10)
	}
	return string(b[i:])
}

// lockedRand draws from a network's random stream, which its connections use at the same time.
type lockedRand struct{ net *Net }

// Uint64 returns a random number.
func (r lockedRand) Uint64() uint64 {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	return r.net.rng.Uint64()
}

// IntN returns a random number from 0 to n-1.
func (r lockedRand) IntN(n int) int {
	r.net.mu.Lock()
	defer r.net.mu.Unlock()
	return r.net.rng.IntN(n)
}
