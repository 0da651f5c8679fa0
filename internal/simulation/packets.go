package simulation

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// packetConn is a datagram socket.
type packetConn struct {
	n      *Net
	addr   string
	queue  chan datagram
	closed chan struct{}
	once   sync.Once
}

type datagram struct {
	from string
	b    []byte
}

// ListenPacket implements kernel.Network.
func (h *Host) ListenPacket(addr string) (net.PacketConn, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.packets[addr] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	p := &packetConn{n: h.n, addr: addr, queue: make(chan datagram, 256), closed: make(chan struct{})}
	h.n.packets[addr] = p
	return p, nil
}

func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case d := <-p.queue:
		return copy(b, d.b), address(d.from), nil
	case <-p.closed:
		return 0, nil, net.ErrClosed
	}
}

func (p *packetConn) WriteTo(b []byte, to net.Addr) (int, error) {
	n := p.n
	n.mu.Lock()
	defer n.mu.Unlock()
	n.count(to.String(), len(b))
	host, _, _ := net.SplitHostPort(to.String())
	n.datagrams[host]++
	copies := 1
	if n.rng.Float64() < n.dup {
		copies = 2
	}
	for range copies {
		if n.rng.Float64() < n.loss {
			continue
		}
		d := datagram{p.addr, append([]byte(nil), b...)}
		late := n.delay + time.Duration(n.rng.Int64N(int64(n.delay)+1)) // so that order is lost
		time.AfterFunc(late, func() { n.deliver(p.addr, to.String(), d) })
	}
	return len(b), nil
}

func (n *Net) deliver(from, to string, d datagram) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q := n.packets[to]; q != nil && n.open(from, to) {
		select {
		case q.queue <- d:
		default:
		}
	}
}

func (p *packetConn) Close() error {
	p.once.Do(func() {
		close(p.closed)
		p.n.mu.Lock()
		defer p.n.mu.Unlock()
		if p.n.packets[p.addr] == p {
			delete(p.n.packets, p.addr)
		}
	})
	return nil
}

func (p *packetConn) LocalAddr() net.Addr { return address(p.addr) }

func (p *packetConn) SetDeadline(time.Time) error { return errors.ErrUnsupported }

func (p *packetConn) SetReadDeadline(time.Time) error { return errors.ErrUnsupported }

func (p *packetConn) SetWriteDeadline(time.Time) error { return errors.ErrUnsupported }
