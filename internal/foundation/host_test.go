package foundation

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
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
		if !strings.HasPrefix(text, "line 0\n") || !strings.HasSuffix(text, "last\n") || !strings.Contains(text, `"log lines dropped"`) {
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
