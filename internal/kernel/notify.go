package kernel

import (
	"context"
	"sync"
)

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

// Gate lets one through at a time. Unlike a mutex it may be held across calls
// to other processes, and waiting for it ends with a context.
type Gate chan struct{}

// NewGate returns an open gate.
func NewGate() Gate { return make(Gate, 1) }

// Enter waits for the gate.
func (g Gate) Enter(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leave opens the gate for the next.
func (g Gate) Leave() { <-g }
