package kernel

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"
)

// blockedWriter is a log output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(b)
}

// A blocked log output does not block the goroutines that log; the number of dropped lines
// is written once the output accepts writes again.
func TestLogWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		writer := NewLogWriter(out)
		start := time.Now()
		for i := range logQueueLength + 100 {
			fmt.Fprintf(writer, "line %d\n", i)
		}
		if time.Since(start) != 0 {
			t.Errorf("writing took %v", time.Since(start))
		}
		close(out.unblock)
		synctest.Wait()
		fmt.Fprintln(writer, "last")
		writer.Close()
		text := out.String()
		if !strings.Contains(text, "line 0\n") || !strings.HasSuffix(text, "last\n") || !strings.Contains(text, `"log lines dropped"`) {
			t.Errorf("written: %.60s ... %s", text, text[max(0, len(text)-80):])
		}
	})
}

// failingListener is a listener whose accepts return the given errors in turn.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err == nil {
		return &net.TCPConn{}, nil
	}
	return nil, err
}

// A process that is briefly out of file descriptors keeps its listener and accepts again.
func TestAcceptRetriesTemporaryErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tooManyFiles := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		aborted := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}
		listener := retryListener{&failingListener{errs: []error{tooManyFiles, tooManyFiles, aborted, nil}}}
		if c, err := listener.Accept(); c == nil || err != nil {
			t.Errorf("accept after temporary errors: connection %v, error %v", c, err)
		}
		if _, err := listener.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("accept on a closed listener: %v", err)
		}
	})
}

// connectedPair returns both ends of a TCP connection of the host's network.
func connectedPair(t *testing.T) (c, accepted net.Conn) {
	t.Helper()
	ln, err := HostNetwork{}.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if c, err = (HostNetwork{}).Dial(t.Context(), ln.Addr().String(), 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if accepted, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return c, accepted
}

// TryWrite does not block when the send buffer is full, and all that it reports as written
// arrives.
func TestTryWriteNeverBlocks(t *testing.T) {
	c, peer := connectedPair(t)
	writer, ok := c.(TryWriter)
	if !ok {
		t.Fatal("a connection of HostNetwork does not implement TryWriter")
	}
	sent := 0
	for piece := make([]byte, 1<<20); ; {
		n, err := writer.TryWrite(piece)
		if err != nil {
			t.Fatal(err)
		}
		if sent += n; n == 0 {
			break
		}
	}
	if n, err := io.ReadFull(peer, make([]byte, sent)); err != nil || sent == 0 {
		t.Errorf("%d of %d bytes arrived: %v", n, sent, err)
	}
	if err := peer.Close(); err != nil {
		t.Error(err)
	}
	for range 100 {
		if _, err := writer.TryWrite([]byte("x")); err != nil {
			return
		}
	}
	t.Error("writing to a connection that was closed never fails")
}

// A peer that vanishes without closing its connection is detected on an accepted connection
// within minutes.
func TestAcceptedConnectionsUseKeepAlive(t *testing.T) {
	_, accepted := connectedPair(t)
	raw, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		if controlErr := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); controlErr != nil || err != nil {
			t.Fatal(controlErr, err)
		}
		return value
	}
	if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
		t.Fatal("keepalive is off on an accepted connection")
	}
	idle, interval, probes := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	if seconds := idle + interval*probes; idle < 60 || seconds > 300 {
		t.Errorf("keepalive probes start after %d s idle, the connection is reset after %d s", idle, seconds)
	}
}
