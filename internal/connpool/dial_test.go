package connpool

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// frozenNetwork makes no connection in time: each attempt ends when its time is up, or so
// much later, as one does whose process stood still. After some such calls it makes one.
type frozenNetwork struct {
	kernel.Network
	stands   time.Duration
	failures int
	calls    atomic.Int64
}

func (f *frozenNetwork) Dial(ctx context.Context, _ string, _ kernel.Micros) (net.Conn, error) {
	if f.calls.Add(1) > int64(f.failures) {
		c, far := net.Pipe()
		far.Close()
		return c, nil
	}
	<-ctx.Done()
	time.Sleep(f.stands)
	return nil, ctx.Err()
}

// A database is silent if it did not answer while the process ran; that the process stood
// still says nothing of it.
func TestAStallIsNoSilence(t *testing.T) {
	const connect = 150 * kernel.Millisecond
	for name, c := range map[string]struct {
		stands   time.Duration
		failures int
		silent   bool
	}{
		"silent":                             {0, 4, true},
		"a moment late":                      {30 * time.Millisecond, 4, true},
		"the process stood still":            {time.Second, 2, false},
		"it stood still, and then no answer": {time.Second, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, err := Dial(t.Context(), &frozenNetwork{stands: c.stands, failures: c.failures}, nil, "10.0.0.1:1", connect, 0)
				if silent := errors.Is(err, ErrSilent); silent != c.silent {
					t.Errorf("taken for silent: %t, want %t (%v)", silent, c.silent, err)
				}
				if conn != nil {
					conn.Close()
				}
				time.Sleep(5 * time.Second)
			})
		})
	}
}
