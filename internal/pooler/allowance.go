package pooler

import "sync"

// allowance bounds how many statements are sent a second time: a share of all,
// so that a database that is slow under load is not loaded with more.
type allowance struct {
	mu   sync.Mutex
	left float64
}

const (
	secondShare = 0.1
	secondMost  = 10
)

// earn counts a statement.
func (a *allowance) earn() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = min(a.left+secondShare, secondMost)
}

// take uses one up, if there is one.
func (a *allowance) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.left < 1 {
		return false
	}
	a.left--
	return true
}
