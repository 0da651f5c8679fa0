package kernel

import (
	"context"
	"sync"
)

// Bell notifies all waiting goroutines of a change. The zero value is ready to use.
type Bell struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed at the next notification.
func (b *Bell) Wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

// Ring notifies all current waiters.
func (b *Bell) Ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// Gate is a mutual exclusion lock that may be held across calls to other processes:
// unlike with a mutex, waiting for it can be cancelled by a context.
type Gate chan struct{}

// NewGate returns an unlocked Gate.
func NewGate() Gate { return make(Gate, 1) }

// Enter acquires the lock. It returns the context's error if ctx ends first.
func (g Gate) Enter(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leave releases the lock.
func (g Gate) Leave() { <-g }
