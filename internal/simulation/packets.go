package simulation

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// packetConn is a simulated UDP socket.
type packetConn struct {
	network *Net
	addr    string
	queue   chan datagram
	closed  chan struct{}
	once    sync.Once
}

type datagram struct {
	from    string
	payload []byte
}

// ListenPacket implements kernel.Network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.packetConns[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	p := &packetConn{network: h.network, addr: addr, queue: make(chan datagram, 256), closed: make(chan struct{})}
	h.network.packetConns[addr] = p
	return p, nil
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.queue:
		return copy(b, d.payload), address(d.from), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.countSent(to.String(), len(b))
	host, _, _ := net.SplitHostPort(to.String())
	n.datagrams[host]++
	copies := 1
	if n.rng.Float64() < n.duplication {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() < n.loss {
			continue
		}
		d := datagram{p.addr, append([]byte(nil), b...)}
		delay := n.delay + time.Duration(n.rng.Int64N(int64(n.delay)+1)) // random, so that datagrams get reordered
		time.AfterFunc(delay, func() { n.deliver(p.addr, to.String(), d) })
	}
	return len(b), nil
}

// deliver queues a datagram at its destination. It is lost if the hosts can't reach each other,
// nothing listens there or the queue is full.
func (n *Net) deliver(from, to string, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.packetConns[to]; p != nil && n.reachable(from, to) {
		select {
		case p.queue <- d:
		default:
		}
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.network.mu.Lock()
		defer p.network.mu.Unlock()
		if p.network.packetConns[p.addr] == p {
			delete(p.network.packetConns, p.addr)
		}
	})
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return address(p.addr) }

func (p *packetConn) SetDeadline(time.Time) error { return errors.ErrUnsupported }

func (p *packetConn) SetReadDeadline(time.Time) error { return errors.ErrUnsupported }

func (p *packetConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
