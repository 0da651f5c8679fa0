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

// frozenNetwork is a network whose first Dial calls fail, as many as failures says: each waits for its
// time limit and then for the stall, as if the process had stalled. Later calls succeed.
type frozenNetwork struct {
	kernel.Network
	stall    time.Duration
	failures int
	calls    atomic.Int64
}

func (f *frozenNetwork) Dial(ctx context.Context, _ string, _ kernel.Micros) (net.Conn, error) {
	if f.calls.Add(1) > int64(f.failures) {
		conn, remote := net.Pipe()
		remote.Close()
		return conn, nil
	}
	<-ctx.Done()
	time.Sleep(f.stall)
	return nil, ctx.Err()
}

// A database counts as unresponsive only if it did not respond while the process was running: a stall
// of the process itself must not count against the database.
func TestDialIgnoresProcessStall(t *testing.T) {
	const connectTimeout = 150 * kernel.Millisecond
	for name, c := range map[string]struct {
		stall        time.Duration
		failures     int // two fail the first attempt and its hedge, four those of the second attempt too
		unresponsive bool
	}{
		"silent":                             {0, 4, true},
		"slightly late":                      {30 * time.Millisecond, 4, true},
		"process stalled":                    {time.Second, 2, false},
		"process stalled, then unresponsive": {time.Second, 4, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn, err := Dial(t.Context(), &frozenNetwork{stall: c.stall, failures: c.failures}, nil, "10.0.0.1:1", connectTimeout, 0)
				if unresponsive := errors.Is(err, ErrUnresponsive); unresponsive != c.unresponsive {
					t.Errorf("reported as unresponsive: %t, want %t (%v)", unresponsive, c.unresponsive, err)
				}
				if conn != nil {
					conn.Close()
				}
				// Hedged calls must end before this function does, since the time of a synctest bubble
				// stops then.
				time.Sleep(5 * time.Second)
			})
		})
	}
}
