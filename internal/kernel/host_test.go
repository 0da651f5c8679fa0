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

// stuck is a reader of the log that takes nothing until it is let.
type stuck struct {
	let chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.let
	return s.Buffer.Write(b)
}

// A reader of the log that has stopped holds nobody up; what could not be kept is
// told in number once it reads on.
func TestLogHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{let: make(chan struct{})}
		w := NewLogWriter(out)
		start := time.Now()
		for i := range logQueue + 100 {
			fmt.Fprintf(w, "line %d\n", i)
		}
		if time.Since(start) != 0 {
			t.Errorf("writing took %v", time.Since(start))
		}
		close(out.let)
		synctest.Wait()
		fmt.Fprintln(w, "last")
		w.Close()
		text := out.String()
		if !strings.Contains(text, "line 0\n") || !strings.HasSuffix(text, "last\n") || !strings.Contains(text, `"log lines dropped"`) {
			t.Errorf("written: %.60s ... %s", text, text[max(0, len(text)-80):])
		}
	})
}

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	errs []error
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	if err == nil {
		return &net.TCPConn{}, nil
	}
	return nil, err
}

// A process that is out of descriptors for a moment keeps its address.
func TestAcceptingGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
		gone := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}
		l := patientListener{&failing{errs: []error{full, full, gone, nil}}}
		if c, err := l.Accept(); c == nil || err != nil {
			t.Errorf("%v %v", c, err)
		}
		if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed listener: %v", err)
		}
	})
}

// connected returns both ends of a connection of the host's network.
func connected(t *testing.T) (c, accepted net.Conn) {
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

// What there is no room for is not waited for, and nothing is lost of the rest.
func TestTryWriteNeverWaits(t *testing.T) {
	c, far := connected(t)
	w, ok := c.(TryWriter)
	if !ok {
		t.Fatal("a connection of the host can't try to write")
	}
	sent := 0
	for piece := make([]byte, 1<<20); ; {
		n, err := w.TryWrite(piece)
		if err != nil {
			t.Fatal(err)
		}
		if sent += n; n == 0 {
			break
		}
	}
	if n, err := io.ReadFull(far, make([]byte, sent)); err != nil || sent == 0 {
		t.Errorf("%d of %d bytes arrived: %v", n, sent, err)
	}
	if err := far.Close(); err != nil {
		t.Error(err)
	}
	for range 100 {
		if _, err := w.TryWrite([]byte("x")); err != nil {
			return
		}
	}
	t.Error("writing to a connection that was closed never fails")
}

// TestFarEndsThatVanishAreAskedFor: a far end that is gone without a word is found out
// on an accepted connection, in minutes.
func TestFarEndsThatVanishAreAskedFor(t *testing.T) {
	_, accepted := connected(t)
	raw, err := accepted.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		if outer := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }); outer != nil || err != nil {
			t.Fatal(outer, err)
		}
		return value
	}
	if option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) == 0 {
		t.Fatal("the far end of a connection that rests is never asked for")
	}
	idle, pause, asked := option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	if seconds := idle + pause*asked; idle < 60 || seconds > 300 {
		t.Errorf("asked for after %d s of rest, given up after %d s", idle, seconds)
	}
}
