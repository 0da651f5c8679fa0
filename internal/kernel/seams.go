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

// Micros is a time or a span in whole microseconds; as a time it counts on a
// steady clock whose start means nothing.
type Micros int64

// Spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// Duration converts for the standard library's timers.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// Millis rounds down to whole milliseconds.
func (m Micros) Millis() int64 { return int64(m / Millisecond) }

// Clock is the seam to the steady clock.
type Clock interface{ Now() Micros }

type steady struct{ start time.Time }

// SteadyClock counts from now on; it starts above zero so that the zero value
// of a time always lies in the past.
func SteadyClock() Clock { return steady{time.Now().Add(-time.Hour)} }

func (s steady) Now() Micros { return Micros(time.Since(s.start) / time.Microsecond) }

// Sync is the seam to the disk: it returns once a file is on it as it is now,
// or the names in a folder.
type Sync func(*os.File) error

// Sleep waits for the span, or less if ctx ends; it reports whether the whole
// span went by.
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

// Network is the seam to TCP and UDP.
type Network interface {
	// Dial opens a connection; a peer that falls silent breaks it after
	// about the silence span (none if 0).
	Dial(ctx context.Context, addr string, silence Micros) (net.Conn, error)
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
}

// TryWriter is a connection that can write what there is room for at once, which
// may be nothing, and never waits.
type TryWriter interface {
	TryWrite([]byte) (int, error)
}

// hostConn is a connection of the operating system's network.
type hostConn struct{ *net.TCPConn }

// TryWrite implements TryWriter.
func (c hostConn) TryWrite(b []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	outer := raw.Write(func(fd uintptr) bool {
		n, err = syscall.Write(int(fd), b)
		return true // whatever came of it: it is not waited for
	})
	n = max(n, 0)
	if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
		err = nil
	}
	return n, errors.Join(outer, err)
}

// HostNetwork is the operating system's network.
type HostNetwork struct {
	// BindIP is the address that is listened at and called from, where others reach this
	// machine at another; "" if they don't.
	BindIP string
}

// local is the address at which what others reach at addr is listened for.
func (n HostNetwork) local(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	if n.BindIP == "" || err != nil {
		return addr
	}
	return net.JoinHostPort(n.BindIP, port)
}

// Dial implements Network.
func (n HostNetwork) Dial(ctx context.Context, addr string, silence Micros) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	if n.BindIP != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.BindIP)}
	}
	if silence > 0 {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) { err = breakOnSilence(int(fd), silence) }); e != nil {
				return e
			}
			return err
		}
	}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return hostConn{tcp}, nil
	}
	return c, nil
}

func breakOnSilence(fd int, silence Micros) error {
	for _, o := range []struct{ level, name, value int }{
		{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Millis())},
		// One that is quiet is asked seldom: with thousands at rest the asking
		// itself would fill links, and their use tells sooner.
		{unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 6},
		{unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1},
		{unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2},
	} {
		if err := unix.SetsockoptInt(fd, o.level, o.name, o.value); err != nil {
			return os.NewSyscallError("setsockopt", err)
		}
	}
	return nil
}

// ListenPacket implements Network.
func (n HostNetwork) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", n.local(addr))
}
