package shelf

import (
	"slices"
	"sync"
	"time"

	"indigowalk/internal/foundation"
)

// Turnstile bounds the statements that this desk has under way at one
// database, so that those who wait do so here, by urgency, and not in the
// database's own queue, where nobody can overtake.
type Turnstile struct {
	mu      sync.Mutex
	inside  int
	waiting []*waiting
}

type waiting struct {
	prio int
	ch   chan struct{}
}

// Pass waits to be let in, for at most the span. It gives up at once if those
// ahead, taking the usual time each, would need longer.
func (t *Turnstile) Pass(limit, prio int, usual, wait foundation.Micros) error {
	t.mu.Lock()
	if t.inside < limit && len(t.waiting) == 0 {
		t.inside++
		t.mu.Unlock()
		return nil
	}
	at := len(t.waiting)
	for at > 0 && t.waiting[at-1].prio > prio {
		at--
	}
	if foundation.Micros(at+1)*usual/foundation.Micros(limit) > wait {
		t.mu.Unlock()
		return ErrFull
	}
	w := &waiting{prio, make(chan struct{})}
	t.waiting = slices.Insert(t.waiting, at, w)
	t.mu.Unlock()
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-w.ch:
		return nil
	case <-timer.C:
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.waiting, w); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
		return ErrDeadline
	}
	return nil // let in at the last moment
}

// Leave lets the next one in.
func (t *Turnstile) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) == 0 {
		t.inside--
		return
	}
	close(t.waiting[0].ch)
	t.waiting = t.waiting[1:]
}

// Load is how many are inside or wait.
func (t *Turnstile) Load() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inside + len(t.waiting)
}
