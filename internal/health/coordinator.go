package health

import (
	"sync"

	"indigowalk/internal/kernel"
)

// Notice tells a session that a database is down, under a local generation.
type Notice struct {
	Database   string
	Generation int64
}

// Outcome is what a coordinator did with a report or notice.
type Outcome int

// databaseState is the state of one database.
type databaseState struct {
	up           bool
	generation   int64
	checking     bool
	localFault   bool          // the running check verifies a fault seen by a local session
	nextCheck    kernel.Micros // when the next check is due while the database is down
	quietUntil   kernel.Micros // until then, notices of peers cause no check
	reporters    []string      // peers that reported it down recently, at most maxReporters
	lastReported kernel.Micros // when a peer last reported it down
}

// Coordinator is the state machine of the health of databases. It uses no clock, network or
// goroutines, so that recorded events can be replayed through it.
type Coordinator struct {
	states map[string]*databaseState
}

// NewCoordinator returns a coordinator that considers every database up.
func NewCoordinator() *Coordinator { return &Coordinator{states: map[string]*databaseState{}} }

func (c *Coordinator) entry(id string) *databaseState {
	state := c.states[id]
	if state == nil {
		state = &databaseState{up: true}
		c.states[id] = state
	}
	return state
}

// Up reports whether the database is considered up, and returns its generation.
func (c *Coordinator) Up(id string) (bool, int64) {
	if state := c.states[id]; state != nil {
		return state.up, state.generation
	}
	return true, 0
}

// Report processes a fault seen by a local session, which was bound under that generation.
func (c *Coordinator) Report(id string, generation int64) Outcome {
	state := c.entry(id)
	switch {
	case generation < state.generation:
		return StaleReport
	case !state.up:
		return AlreadyDown
	}
	state.up = false
	return MarkedDown
}

// PeerNotice processes a peer's notice. It never marks a database down by itself: the outcome says
// whether a local check is needed.
func (c *Coordinator) PeerNotice(id string) Outcome {
	if !c.entry(id).up {
		return AlreadyDown
	}
	return CheckNeeded
}

// Checked processes the result of a local check that started under that generation. It reports
// whether the state changed. A recovery begins a new generation.
func (c *Coordinator) Checked(id string, generation int64, ok bool) bool {
	state := c.entry(id)
	if generation != state.generation || state.up == ok {
		return false
	}
	if state.up = ok; ok {
		state.generation++
	}
	return true
}

// Down lists the databases that are considered down.
func (c *Coordinator) Down() []string {
	var ids []string
	for id, state := range c.states {
		if !state.up {
			ids = append(ids, id)
		}
	}
	return ids
}

// Remove removes the state of a database that is gone.
func (c *Coordinator) Remove(id string) { delete(c.states, id) }

// Binding is the binding of a session to a database, from Monitor.Bind until Monitor.Release.
type Binding struct {
	mu         sync.Mutex
	database   string
	generation int64
	unbound    chan struct{}
}

// Unbound returns a channel that is closed when a notice unbinds the session.
func (b *Binding) Unbound() <-chan struct{} { return b.unbound }

// Bound returns the database to which the session is bound, "" once a notice has unbound it, and
// the newest generation that the session knows.
func (b *Binding) Bound() (string, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.database, b.generation
}

// apply applies a notice. As in the paper named in the package comment, the session ignores notices
// of an older generation, adopts a newer generation, and is unbound by a notice about its own
// database.
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
	MarkedDown  Outcome = iota // the database has been marked down
	StaleReport                // the report is of an older generation than the coordinator's
	AlreadyDown                // the database was down already
	CheckNeeded                // a peer's notice marks a database down only after a local check
)
