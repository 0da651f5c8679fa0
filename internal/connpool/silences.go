package connpool

import (
	"maps"
	"sync"

	"indigowalk/internal/kernel"
)

// Silences remembers which databases took no connection of late.
type Silences struct {
	mu sync.Mutex
	at map[string]kernel.Micros
}

// ofLate is how long a silence is remembered.
const ofLate = 500 * kernel.Millisecond

// Note notes a silence and tells whether another database is silent too.
func (s *Silences) Note(now kernel.Micros, id string) (others bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.at, func(_ string, at kernel.Micros) bool { return now-at > ofLate })
	if s.at == nil {
		s.at = map[string]kernel.Micros{}
	}
	s.at[id] = now
	return len(s.at) > 1
}
