package pooler

import "sync"

// resendBudget limits how many statements are sent a second time to a share of all statements, so
// that resending does not add load to databases that are slow under load.
type resendBudget struct {
	mu     sync.Mutex
	tokens float64
}

const (
	resendRatio     = 0.1
	maxResendTokens = 10
)

// deposit adds one statement's share of a token.
func (a *resendBudget) deposit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = min(a.tokens+resendRatio, maxResendTokens)
}

// withdraw takes a token and reports whether there was one.
func (a *resendBudget) withdraw() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}
