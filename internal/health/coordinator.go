package health

import (
	"sync"

	"indigowalk/internal/kernel"
)

// Notice says that a database is down, as of a local generation.
type Notice struct {
	Database   string
	Generation int64
}

// Outcome is what a coordinator did with a report or notice.
type Outcome int

// health is the state of one database.
type health struct {
	up           bool
	generation   int64
	checking     bool
	localFault   bool          // the running check is for a fault seen by a local session
	nextCheck    kernel.Micros // when the next check is due while down
	quietUntil   kernel.Micros // until then peers' notices cause no check
	reporters    []string      // a bounded number of peers that reported it down recently
	lastReported kernel.Micros // when the last of them did
}

// Coordinator is the state machine by itself, without clock, network or goroutines, so that
// recordings can be replayed through it.
type Coordinator struct {
	state map[string]*health
}

// NewCoordinator returns a coordinator that considers every database up.
func NewCoordinator() *Coordinator { return &Coordinator{state: map[string]*health{}} }

func (c *Coordinator) entry(id string) *health {
	h := c.state[id]
	if h == nil {
		h = &health{up: true}
		c.state[id] = h
	}
	return h
}

// Up reports whether the database is considered up, and returns its generation.
func (c *Coordinator) Up(id string) (bool, int64) {
	if h := c.state[id]; h != nil {
		return h.up, h.generation
	}
	return true, 0
}

// Report processes a fault seen by a local session that was bound under a generation.
func (c *Coordinator) Report(id string, generation int64) Outcome {
	h := c.entry(id)
	switch {
	case generation < h.generation:
		return StaleReport
	case !h.up:
		return AlreadyDown
	}
	h.up = false
	return MarkedDown
}

// PeerNotice processes a peer's notice; the outcome says whether a check is needed.
func (c *Coordinator) PeerNotice(id string) Outcome {
	if !c.entry(id).up {
		return AlreadyDown
	}
	return CheckNeeded
}

// Checked processes the result of a local check that started under a generation. It reports
// whether the state changed.
func (c *Coordinator) Checked(id string, generation int64, ok bool) bool {
	h := c.entry(id)
	if generation != h.generation || h.up == ok {
		return false
	}
	if h.up = ok; ok {
		h.generation++
	}
	return true
}

// Down lists the databases that are considered down.
func (c *Coordinator) Down() []string {
	var out []string
	for id, h := range c.state {
		if !h.up {
			out = append(out, id)
		}
	}
	return out
}

// Forget removes the state of a database that is gone.
func (c *Coordinator) Forget(id string) { delete(c.state, id) }

// Binding binds a session to a database. It must not be used before Bind or after Release.
type Binding struct {
	mu         sync.Mutex
	database   string
	generation int64
	unbound    chan struct{}
}

// Unbound returns a channel that is closed when a notice has unbound the session.
func (b *Binding) Unbound() <-chan struct{} { return b.unbound }

// Bound returns the bound database, or "" once a notice has unbound it.
func (b *Binding) Bound() (string, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.database, b.generation
}

// apply applies a notice. The session takes the newer generation, ignores older notices, and is
// unbound by a notice about its own database, as in the paper named in the package comment.
func (b *Binding) apply(n Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n.Generation < b.generation {
		return
	}
	b.generation = n.Generation
	if b.database == n.Database {
		b.database = ""
		close(b.unbound)
	}
}

// Event is an input of the coordinator: a "report" or "doubt" (an uncertain fault) of a session,
// a peer's "notice", or the result of a local check ("checked").
type Event struct {
	Kind       string `json:"kind"`
	Database   string `json:"db"`
	Generation int64  `json:"gen"`
	OK         bool   `json:"ok,omitempty"`
}

// Apply processes an event; it reports whether a state changed.
func (c *Coordinator) Apply(e Event) (changed bool) {
	switch e.Kind {
	case "report":
		return c.Report(e.Database, e.Generation) == MarkedDown
	case "checked":
		return c.Checked(e.Database, e.Generation, e.OK)
	}
	return false
}

// Outcomes of a report or notice.
const (
	MarkedDown  Outcome = iota // the database is now down
	StaleReport                // of an older generation than the coordinator's
	AlreadyDown                // was down already
	CheckNeeded                // a peer's notice, which counts only after a local check
)
