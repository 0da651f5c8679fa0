package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
)

// Platform stands in for the platform: it promotes databases, and checks that one
// node at a time has the duty.
type Platform struct {
	// Promote has a database of a service promoted and returns the answer.
	Promote func(service, id string) int

	mu     sync.Mutex
	last   int64
	holder string
	broken []string
	calls  int
	forced []int // answers given before any call is carried out
}

// Refuse has the platform answer the next calls with these codes; 0 leaves a
// call unanswered.
func (p *Platform) Refuse(codes ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forced = codes
}

// Calls is how often the platform was called.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Broken lists the rules that calls broke.
func (p *Platform) Broken() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.broken)
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var body struct{ Svc, ID string }
	if json.NewDecoder(q.Body).Decode(&body) != nil || q.URL.Path != "/failover" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.check(q.Header.Get("X-Indigowalk-Duty-Holder"), q.Header.Get("X-Indigowalk-Fence"))
	code, forced := p.refusal()
	switch {
	case forced && code == 0:
		<-q.Context().Done()
	case forced:
		w.WriteHeader(code)
	default:
		w.WriteHeader(p.Promote(body.Svc, body.ID))
	}
}

func (p *Platform) refusal() (code int, forced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.forced) == 0 {
		return 0, false
	}
	code, p.forced = p.forced[0], p.forced[1:]
	return code, true
}

// check notes a call with a fence that is not the newest.
func (p *Platform) check(holder, fence string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	n, err := strconv.ParseInt(fence, 10, 64)
	switch {
	case err != nil || holder == "":
		p.broken = append(p.broken, "ONE: a duty call without holder or fence")
	case n < p.last, holder != p.holder && p.holder != "" && n == p.last:
		p.broken = append(p.broken, fmt.Sprintf("ONE: fence %d of %s after %d of %s", n, holder, p.last, p.holder))
	}
	p.last, p.holder = n, holder
}
