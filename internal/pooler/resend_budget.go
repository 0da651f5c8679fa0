package pooler

import "sync"

// resendBudget is a token bucket that limits the statements sent a second time to a fraction of all
// statements, so that resending adds little to the load of databases that are slow because of load.
type resendBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	resendRatio     = 0.1 // tokens that each statement adds
	maxResendTokens = 10
)

// deposit adds the fraction of a token that each statement is worth.
func (b *resendBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+resendRatio, maxResendTokens)
}

// withdraw takes a token, and reports false if there was none.
func (b *resendBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
