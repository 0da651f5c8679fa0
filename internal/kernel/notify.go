package kernel

import (
	"context"
	"sync"
)

// Notifier notifies all waiting goroutines of a change. The zero value is ready to use.
type Notifier struct {
	mu sync.Mutex
	ch chan struct{}
}

// Wait returns a channel that is closed at the next notification. Call it before reading the state
// that may change, so that no change is missed.
func (n *Notifier) Wait() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch == nil {
		n.ch = make(chan struct{})
	}
	return n.ch
}

// NotifyAll notifies all current waiters.
func (n *Notifier) NotifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ch != nil {
		close(n.ch)
		n.ch = nil
	}
}

// Gate is a mutual exclusion lock that may be held across calls to other processes:
// unlike with a mutex, waiting for it can be cancelled by a context.
type Gate chan struct{}

// NewGate returns an unlocked Gate.
func NewGate() Gate { return make(Gate, 1) }

// Acquire acquires the lock. It returns the context's error if ctx ends first.
func (g Gate) Acquire(ctx context.Context) error {
	select {
	case g <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release releases the lock.
func (g Gate) Release() { <-g }
