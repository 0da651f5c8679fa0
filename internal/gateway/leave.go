package gateway

import (
	"context"
	"net/http"

	"indigowalk/internal/kernel"
)

const (
	// closeAfter is how long a leaving gateway still takes connections: the entry
	// asks every second and needs two misses.
	closeAfter = 2200 * kernel.Millisecond
	// lastAnswers is kept of the grace for the answers to requests that are given
	// up, and for the end of the process; lastWrites of it is for the answers.
	lastAnswers = 600 * kernel.Millisecond
	lastWrites  = 200 * kernel.Millisecond
	// leaveStep is between two looks at the connections that are left.
	leaveStep = 50 * kernel.Millisecond
)

// Leave ends in order: not ready at once, every answer tells that its connection
// closes, no connection is taken any more after a while, those that rest are
// closed, and what is under way ends. Requests that are still waited for at the end
// are answered as they stand.
func (t *Gateway) Leave(ctx context.Context) {
	start := t.k.Clock.Now()
	t.leaving.Store(true)
	t.k.Log.Info("leaving")
	end := start + max(0, t.stalls.Left(t.cfg.Grace())-lastAnswers)
	if !kernel.Sleep(ctx, min(closeAfter, end-start)) {
		return
	}
	t.closeListener()
	defer t.watchEnd(start)
	for t.turnAwayIdle() > 0 {
		now := t.k.Clock.Now()
		if now >= end && !t.over() {
			close(t.ending)
		}
		if now >= end+lastWrites || !kernel.Sleep(ctx, leaveStep) {
			t.k.Counters.Add("gateway.cut_at_end", 1)
			return
		}
	}
}

func (t *Gateway) closeListener() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener != nil {
		t.listener.Close()
	}
}

// turnAwayIdle ends the connections that rest and returns how many there are yet,
// these among them.
func (t *Gateway) turnAwayIdle() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, g := range t.clients {
		if !g.busy && (g.state == http.StateIdle || g.state == http.StateNew) {
			if client, ok := c.(*clientConn); ok {
				client.turnAway()
			}
		}
	}
	return len(t.clients)
}

// over tells whether whatever is still waited for is given up.
func (t *Gateway) over() bool {
	select {
	case <-t.ending:
		return true
	default:
		return false
	}
}
