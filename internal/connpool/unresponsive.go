package connpool

import (
	"maps"
	"sync"

	"indigowalk/internal/kernel"
)

// UnresponsiveTracker remembers which databases recently failed to respond to a connection
// attempt.
type UnresponsiveTracker struct {
	mu         sync.Mutex
	recordedAt map[string]kernel.Micros
}

// unresponsiveWindow is how long an unresponsive database is remembered.
const unresponsiveWindow = 500 * kernel.Millisecond

// Record records that a database was unresponsive, and reports whether another one was too within
// the window.
func (t *UnresponsiveTracker) Record(now kernel.Micros, id string) (others bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.recordedAt, func(_ string, at kernel.Micros) bool { return now-at > unresponsiveWindow })
	if t.recordedAt == nil {
		t.recordedAt = map[string]kernel.Micros{}
	}
	t.recordedAt[id] = now
	return len(t.recordedAt) > 1
}
