package connpool

import (
	"context"
	"fmt"
	"net"
	"time"

	"indigowalk/internal/kernel"
)

// MaxConcurrentDials limits concurrent calls of Dial. With more of them at once on a small machine,
// none would complete in time and every database would seem unresponsive.
const MaxConcurrentDials = 16

// stallFactor is the multiple of its time limit that a failed attempt must take for the process itself
// to be assumed to have stalled, so that the limit expired before a response could be read.
const stallFactor = 2

// Dial opens a connection. It first waits for a slot, if slots is not nil; the connect time limit
// starts after that. A database that accepts no connection within the limit is unresponsive,
// unless the process itself stalled; then one more attempt decides.
func Dial(ctx context.Context, network kernel.Network, slots chan struct{}, addr string, connectTimeout, unresponsiveTimeout kernel.Micros) (net.Conn, error) {
	if slots != nil {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	start := time.Now()
	conn, err := dialHedged(ctx, network, addr, connectTimeout, unresponsiveTimeout)
	if err != nil && time.Since(start) >= stallFactor*connectTimeout.Duration() {
		conn, err = dialHedged(ctx, network, addr, connectTimeout, unresponsiveTimeout)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnresponsive, err)
	}
	return conn, nil
}

// dialHedged starts a second attempt when the first has had no response for a quarter of the time
// limit, since a single lost packet does not make a database unresponsive. It returns the result of
// the attempt that ends first.
func dialHedged(ctx context.Context, network kernel.Network, addr string, connectTimeout, unresponsiveTimeout kernel.Micros) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout.Duration())
	type result struct {
		conn net.Conn
		err  error
	}
	results := make(chan result, 2)
	dial := func() {
		conn, err := network.Dial(ctx, addr, unresponsiveTimeout)
		results <- result{conn, err}
	}
	go dial()
	attempts := 1
	timer := time.NewTimer((connectTimeout / 4).Duration())
	defer timer.Stop()
	var first result
	select {
	case first = <-results:
	case <-timer.C:
		attempts++
		go dial()
		first = <-results
	}
	if attempts == 2 {
		go func() { // the other attempt is not needed
			defer cancel()
			if second := <-results; second.conn != nil {
				second.conn.Close()
			}
		}()
	} else {
		cancel()
	}
	return first.conn, first.err
}
