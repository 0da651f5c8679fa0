package connpool

import (
	"context"
	"fmt"
	"net"
	"time"

	"indigowalk/internal/kernel"
)

// MaxConcurrentDials limits concurrent calls of Dial. With more at once on a small machine none would
// complete in time, and every database would seem unresponsive.
const MaxConcurrentDials = 16

// stallFactor is how many times its time limit an attempt must take before the process itself is
// assumed to have stalled: the limit then expired before any response could be read.
const stallFactor = 2

// Dial opens a connection. It first waits for a slot, if slots is not nil; the connect time limit
// starts after that. A database that accepts no connection within the limit is unresponsive,
// unless the process itself stalled; then one more attempt decides.
func Dial(ctx context.Context, network kernel.Network, slots chan struct{}, addr string, connect, unresponsiveTimeout kernel.Micros) (net.Conn, error) {
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	began := time.Now()
	conn, err := dialHedged(ctx, network, addr, connect, unresponsiveTimeout)
	if err != nil && time.Since(began) >= stallFactor*connect.Duration() {
		conn, err = dialHedged(ctx, network, addr, connect, unresponsiveTimeout)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return conn, nil
}

// dialHedged starts a second attempt when the first has had no response for a quarter of the time
// limit, since a single lost packet does not make a database unresponsive. The first result
// counts.
func dialHedged(ctx context.Context, network kernel.Network, addr string, connect, unresponsiveTimeout kernel.Micros) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connect.Duration())
	type result struct {
		c   net.Conn
		err error
	}
	results := make(chan result, 2)
	dial := func() {
		c, err := network.Dial(ctx, addr, unresponsiveTimeout)
		results <- result{c, err}
	}
	go dial()
	attempts := 1
	timer := time.NewTimer((connect / 4).Duration())
	defer timer.Stop()
	var r result
	select {
	case r = <-results:
	case <-timer.C:
		attempts++
		go dial()
		r = <-results
	}
	if attempts == 2 {
		go func() { // the other attempt is not needed
			defer cancel()
			if o := <-results; o.c != nil {
				o.c.Close()
			}
		}()
	} else {
		cancel()
	}
	return r.c, r.err
}
