package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// Platform is a stand-in for the platform that promotes databases. It checks the fencing tokens of the
// calls: only one control node at a time may hold the failover duty.
type Platform struct {
	// Promote promotes a database of a service and returns the HTTP status to respond with.
	Promote func(service, id string) int

	mu             sync.Mutex
	lastFence      int64
	holder         string
	violations     []string
	calls          int
	forcedStatuses []int // statuses of the responses to the next calls, which are not carried out
}

// ForceResponses makes the platform respond to the next calls with these statuses instead of carrying
// the calls out; 0 leaves a call without a response.
func (p *Platform) ForceResponses(codes ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forcedStatuses = codes
}

// Calls returns the number of calls to the platform.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Violations returns the violations recorded so far.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// ServeHTTP implements http.Handler. It serves the call that promotes a database, /failover.
func (p *Platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body struct{ Svc, ID string }
	if json.NewDecoder(q.Body).Decode(&body) != nil || q.URL.Path != "/failover" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.check(q.Header.Get("X-Indigowalk-Duty-Holder"), q.Header.Get("X-Indigowalk-Fence"))
	code, forced := p.nextForced()
	switch {
	case forced && code == 0:
		<-q.Context().Done()
	case forced:
		w.WriteHeader(code)
	default:
		w.WriteHeader(p.Promote(body.Svc, body.ID))
	}
}

// nextForced removes and returns the next status set by ForceResponses, if there is one.
func (p *Platform) nextForced() (code int, forced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.forcedStatuses) == 0 {
		return 0, false
	}
	code, p.forcedStatuses = p.forcedStatuses[0], p.forcedStatuses[1:]
	return code, true
}

// check records a ONE violation for a call whose holder or fencing token is missing, or whose token is
// lower than the previous one or equal to that of another holder.
func (p *Platform) check(holder, fence string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	n, err := strconv.ParseInt(fence, 10, 64)
	switch {
	case err != nil || holder == "":
		p.violations = append(p.violations, "ONE: a duty call without holder or fence")
	case n < p.lastFence, holder != p.holder && p.holder != "" && n == p.lastFence:
		p.violations = append(p.violations, fmt.Sprintf("ONE: fence %d of %s after %d of %s", n, holder, p.lastFence, p.holder))
	}
	p.lastFence, p.holder = n, holder
}
