package gateway

import (
	"context"
	"net/http"

	"indigowalk/internal/kernel"
)

const (
	// listenerCloseDelay is how long a draining gateway still accepts connections: the load
	// balancer in front probes readiness every second and needs two failed probes.
	listenerCloseDelay = 2200 * kernel.Millisecond
	// finalResponseTime is the part of the grace period reserved for the responses to requests
	// that are still pending and for the end of the process. finalWriteTime is the part of
	// finalResponseTime for writing these responses.
	finalResponseTime = 600 * kernel.Millisecond
	finalWriteTime    = 200 * kernel.Millisecond
	// drainPollInterval is the interval between checks of the remaining connections.
	drainPollInterval = 50 * kernel.Millisecond
)

// Drain shuts the gateway down gracefully. It reports not ready at once, sends "Connection: close"
// with every response, stops accepting connections after listenerCloseDelay, then closes idle ones,
// and lets requests in progress finish. The drain period is the grace period less finalResponseTime:
// when it expires, requests that are still pending are answered with what is known of their outcome.
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

// closeListener stops accepting connections.
func (g *Gateway) closeListener() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.listener != nil {
		g.listener.Close()
	}
}

// stopReadingIdle stops reading from idle connections, which closes them shortly after. It returns the
// number of open connections, including those.
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

// isDrainExpired reports whether the drain period has expired.
func (g *Gateway) isDrainExpired() bool {
	select {
	case <-g.drainExpired:
		return true
	default:
		return false
	}
}
