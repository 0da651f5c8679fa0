package gateway

import (
	"context"
	"net/http"

	"indigowalk/internal/kernel"
)

const (
	// listenerCloseDelay is how long a draining gateway still accepts connections: the entry
	// load balancer checks readiness every second and needs two failed checks.
	listenerCloseDelay = 2200 * kernel.Millisecond
	// finalResponseTime is the part of the grace period reserved for responding to abandoned
	// requests and for process exit; finalWriteTime of it is for the responses.
	finalResponseTime = 600 * kernel.Millisecond
	finalWriteTime    = 200 * kernel.Millisecond
	// drainPollInterval is the interval between checks of the remaining connections.
	drainPollInterval = 50 * kernel.Millisecond
)

// Drain shuts the gateway down gracefully: it reports not ready at once, announces with every
// response that the connection closes, stops accepting connections after a delay, closes idle
// ones, and lets requests in progress finish. Requests still pending when the drain period
// expires are answered with what is known by then.
func (g *Gateway) Drain(ctx context.Context) {
	start := g.k.Clock.Now()
	g.draining.Store(true)
	g.k.Log.Info("leaving")
	deadline := start + max(0, g.stalls.Remaining(g.cfg.GracePeriod())-finalResponseTime)
	if !kernel.Sleep(ctx, min(listenerCloseDelay, deadline-start)) {
		return
	}
	g.closeListener()
	defer g.checkNoneUnanswered(start)
	for g.stopReadingIdle() > 0 {
		now := g.k.Clock.Now()
		if now >= deadline && !g.isDrainExpired() {
			close(g.drainExpired)
		}
		if now >= deadline+finalWriteTime || !kernel.Sleep(ctx, drainPollInterval) {
			g.k.Counters.Add("gateway.cut_at_end", 1)
			return
		}
	}
}

func (g *Gateway) closeListener() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.listener.Close()
	}
}

// stopReadingIdle ends the idle connections and returns how many connections are still open,
// including the ones just ended.
func (g *Gateway) stopReadingIdle() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c, state := range g.clients {
		if !state.busy && (state.connState == http.StateIdle || state.connState == http.StateNew) {
			if client, ok := c.(*clientConn); ok {
				client.stopReading()
			}
		}
	}
	return len(g.clients)
}

// isDrainExpired reports whether the drain period has expired and pending waits are abandoned.
func (g *Gateway) isDrainExpired() bool {
	select {
	case <-g.drainExpired:
		return true
	default:
		return false
	}
}
