package kernel

import (
	"context"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Micros is a time or a duration in whole microseconds. As a time it is a reading of
// a monotonic clock with an arbitrary starting point.
type Micros int64

// Common durations.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration converts m to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Millis returns m in whole milliseconds, rounded toward zero.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Clock abstracts the monotonic clock.
type Clock interface{ Now() Micros }

type monotonicClock struct{ start time.Time }

// NewMonotonicClock returns a clock that starts at one hour rather than at zero, so that
// the zero value of a time always lies in the past.
func NewMonotonicClock() Clock { return monotonicClock{time.Now().Add(-time.Hour)} }

func (c monotonicClock) Now() Micros { return Micros(time.Since(c.start) / time.Microsecond) }

// Sync abstracts fsync: it returns once the current content of a file, or the entries of
// a directory, is on disk.
type Sync func(*os.File) error

// Sleep waits for the duration m or until ctx ends. It reports whether the whole
// duration elapsed.
func Sleep(ctx context.Context, m Micros) bool {
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Network abstracts TCP and UDP.
type Network interface {
	// Dial opens a TCP connection. The connection fails about peerTimeout after the
	// peer has stopped acknowledging data; 0 means no such timeout.
	Dial(ctx context.Context, addr string, peerTimeout Micros) (net.Conn, error)
	// Listen listens for TCP connections.
	Listen(addr string) (net.Listener, error)
	// ListenPacket listens for UDP datagrams.
	ListenPacket(addr string) (net.PacketConn, error)
}

// TryWriter is a connection with a non-blocking write.
type TryWriter interface {
	// TryWrite writes as much as the send buffer has room for, possibly nothing.
	TryWrite([]byte) (int, error)
}

// hostConn is a TCP connection of HostNetwork.
type hostConn struct{ *net.TCPConn }

// TryWrite implements TryWriter.
func (c hostConn) TryWrite(b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true // whatever the result: returning false would wait until the socket is writable
	})
	n = max(n, 0)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return n, errors.Join(controlErr, err)
}

// HostNetwork is the operating system's network stack.
type HostNetwork struct {
	// BindIP is the local address to listen on and dial from, if it differs from the
	// address at which others reach this machine; "" if it does not.
	BindIP string
}

// bindAddr returns the local address to listen on for the advertised address addr.
func (n HostNetwork) bindAddr(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if n.BindIP == "" || err != nil {
		return addr
	}
	return net.JoinHostPort(n.BindIP, port)
}

// Dial implements Network.
func (n HostNetwork) Dial(ctx context.Context, addr string, peerTimeout Micros) (net.Conn, error) {
	dialer := net.Dialer{KeepAlive: -1}
	if n.BindIP != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.BindIP)}
	}
	if peerTimeout > 0 {
		dialer.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) { err = setPeerTimeout(int(fd), peerTimeout) }); e != nil {
				return e
			}
			return err
		}
	}
	c, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return hostConn{tcp}, nil
	}
	return c, nil
}

// setPeerTimeout makes the socket fail about timeout after its peer has stopped acknowledging
// data.
func setPeerTimeout(fd int, timeout Micros) error {
	for _, option := range []struct{ level, name, value int }{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Millis())},
		// Idle connections are probed rarely: with thousands of them the probes alone
		// would fill links, and a connection in use reveals a dead peer sooner.
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 6},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
	} {
		if err := unix.SetsockoptInt(fd, option.level, option.name, option.value); err != nil {
			return os.NewSyscallError("setsockopt", err)
		}
	}
	return nil
}

// ListenPacket implements Network.
func (n HostNetwork) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", n.bindAddr(addr))
}
