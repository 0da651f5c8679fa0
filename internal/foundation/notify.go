package foundation

import "sync"

// Bell wakes everyone who waits for a change.
type Bell struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed at the next ring.
func (b *Bell) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// Ring wakes all who wait.
func (b *Bell) Ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
