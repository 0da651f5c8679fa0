package connpool

import (
	"context"
	"fmt"
	"net"
	"time"

	"indigowalk/internal/kernel"
)

// MaxDials is a pace for Dial: of many connections at once, on a small machine,
// none would be made in time, and every database would seem silent.
const MaxDials = 16

// overslept is how many times its span an attempt has to take for the process itself to
// have stood still meanwhile: its time limit was met before anybody looked for an answer.
const overslept = 2

// Dial makes a connection, once the pace allows it; connect counts from then on.
// A database that takes none within it is silent, unless the process stood still; then
// another attempt decides.
func Dial(ctx context.Context, n kernel.Network, pace chan struct{}, addr string, connect, silence kernel.Micros) (net.Conn, error) {
	if pace != nil {
		select {
		case pace <- struct{}{}:
			defer func() { <-pace }()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	began := time.Now()
	c, err := dialTwice(ctx, n, addr, connect, silence)
	if err != nil && time.Since(began) >= overslept*connect.Duration() {
		c, err = dialTwice(ctx, n, addr, connect, silence)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSilent, err)
	}
	return c, nil
}

// dialTwice tries a second time when the first has had no answer for a while:
// one lost packet is no silence.
func dialTwice(ctx context.Context, n kernel.Network, addr string, connect, silence kernel.Micros) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, connect.Duration())
	type result struct {
		c   net.Conn
		err error
	}
	results := make(chan result, 2)
	dial := func() {
		c, err := n.Dial(ctx, addr, silence)
		results <- result{c, err}
	}
	go dial()
	tries := 1
	t := time.NewTimer((connect / 4).Duration())
	defer t.Stop()
	var r result
	select {
	case r = <-results:
	case <-t.C:
		tries++
		go dial()
		r = <-results
	}
	if tries == 2 {
		go func() { // the other one is not needed
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
