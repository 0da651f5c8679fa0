// Package health is the health coordinator: it holds, for each database,
// an up or down state and a local generation, from the faults that this
// process's own sessions report and from the notices of its peers.
//
// The algorithm is the client-side session coordination of Petrauskas and
// Baronas (2019); docs/design.md says what was kept and what was changed.
package health

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Checker tries whether a database answers.
type Checker func(ctx context.Context, id string) bool

// Config is what a health coordinator is built from.
type Config struct {
	Interval     kernel.Micros // between checks of a database that is down
	FirstCheck        kernel.Micros // until the first check after a local report
	Check        Checker
	Self         string          // address under which peers hear of this process
	Peers        func() []string // in the order in which they are told
	ControlNodes func() []string // of the peers, those that may move a lead
	Send         func(addrs []string, kind string, body any)
	AcceptNotices         func() bool // whether peers' notices matter to this process now
	NoticeRate         float64     // bytes a microsecond that telling peers may take, 0 for no bound
}

// EventKind is the kind of record of an event.
const EventKind = "health"

// NoticeKind is the kind of datagram that carries notices.
const NoticeKind = "fault"

// Notices that are due together share a datagram: they are gathered for a
// moment, and told in parts of a bounded size.
const (
	gatherDelay     = 5 * kernel.Millisecond
	maxNotices = 64
)

// Where many processes see the same fault at once, a few need to tell it: each
// waits a random while, the longer the more peers there are, and one that has
// meanwhile heard the notice from others does not repeat it. Telling many takes
// a while itself: it goes on in parts, and whoever hears between two of them
// that its seniors tell the same leaves the rest to them. The most senior
// maxReporters hear of none, so that some always tell all.
const (
	delayPerPeer = kernel.Millisecond / 4
	echoWindow    = 200 * kernel.Millisecond
	enoughReporters  = 2
	peersPerBatch  = 24 // peers told in one part
	maxReporters = 8  // remembered for one database
)

// Whoever's own link is full finds database after database silent, and telling
// hundreds of peers of each would keep it full. So telling takes a part of the
// link at most, as an average over a while: what is found meanwhile waits and is
// told together.
const (
	budgetWindow    = 2 * kernel.Second
	noticeHeaderBytes = 110 // bytes of a datagram, and of each database in it
	noticeEntryBytes = 18
)

// Monitor runs a coordinator beside the sessions of one process.
type Monitor struct {
	k   *kernel.Kernel
	cfg Config

	events chan Event

	mu sync.Mutex
	// known are the databases that there are; nil as long as nobody said. What comes of
	// any other, late, is about one that is gone: a verdict on it would never be lifted.
	known    map[string]bool
	coordinator        *Coordinator
	bindings map[string]map[*Binding]struct{}
	budget   byteBudget
	faults   outbox // for all peers
	suspicions   outbox // for the control nodes
	bell     kernel.Bell
}

// New returns a health coordinator.
func New(k *kernel.Kernel, cfg Config) *Monitor {
	return &Monitor{
		k: k, cfg: cfg, coordinator: NewCoordinator(),
		events: make(chan Event, 256), bindings: map[string]map[*Binding]struct{}{},
	}
}

// State tells whether the database is held as up, and its generation.
func (s *Monitor) State(id string) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.Up(id)
}

// Up tells whether the database is held as up.
func (s *Monitor) Up(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	up, _ := s.coordinator.Up(id)
	return up
}

// Down lists the databases held as down, with their generations.
func (s *Monitor) Down() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for _, id := range s.coordinator.Down() {
		_, out[id] = s.coordinator.Up(id)
	}
	return out
}

// Changed closes at the next change of any database's state.
func (s *Monitor) Changed() <-chan struct{} { return s.bell.Wait() }

// Bind binds a session to a database that is up.
func (s *Monitor) Bind(id string) *Binding {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, g := s.coordinator.Up(id)
	b := &Binding{database: id, generation: g, unbound: make(chan struct{})}
	if s.bindings[id] == nil {
		s.bindings[id] = map[*Binding]struct{}{}
	}
	s.bindings[id][b] = struct{}{}
	return b
}

// Release ends a binding.
func (s *Monitor) Release(id string, b *Binding) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if delete(s.bindings[id], b); len(s.bindings[id]) == 0 {
		delete(s.bindings, id)
	}
}

// Report hands in a fault, asynchronously. A report that finds the queue full
// is dropped: whoever meets the same fault next reports again. Sure faults
// (silence, refusal) count at once. One broken connection alone may be that
// connection's own trouble: such a fault counts after an own check, which a
// database that crashed fails at once. Control nodes hear of a doubt right away: their
// own check then runs beside this one.
func (s *Monitor) Report(id string, generation int64, sure bool) {
	kind := "report"
	if !sure {
		kind = "doubt"
	}
	s.post(Event{Kind: kind, Database: id, Generation: generation})
}

func (s *Monitor) post(e Event) {
	select {
	case s.events <- e:
	default:
		s.k.Counters.Add("health.dropped", 1)
	}
}

// HandleNotices takes a peer's datagram.
func (s *Monitor) HandleNotices(from string, body json.RawMessage) {
	var n notice
	if json.Unmarshal(body, &n) != nil || len(n.Databases) == 0 || slices.Contains(n.Databases, "") {
		s.k.Counters.Add("health.malformed", 1)
		return
	}
	for _, id := range n.Databases {
		s.Heard(from, id)
	}
}

// Heard takes a peer's notice, however it came. One that tells nothing new is
// only counted.
func (s *Monitor) Heard(from, id string) {
	if !s.cfg.AcceptNotices() {
		return
	}
	s.mu.Lock()
	if !s.isKnown(id) {
		s.mu.Unlock()
		return
	}
	h, now := s.coordinator.entry(id), s.k.Clock.Now()
	if now-h.lastReported > echoWindow {
		h.reporters = h.reporters[:0]
	}
	h.lastReported = now
	if len(h.reporters) < maxReporters && !slices.Contains(h.reporters, from) {
		h.reporters = append(h.reporters, from)
	}
	idle := !h.up || h.checking || now < h.quietUntil
	s.mu.Unlock()
	if idle {
		s.k.Counters.Add("health.notices", 1)
		return
	}
	s.post(Event{Kind: "notice", Database: id})
}

// Serve works off reports, notices and checks until ctx ends.
func (s *Monitor) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(s.nextCheck().Duration())
		select {
		case <-ctx.Done():
			return nil
		case e := <-s.events:
			s.handleEvent(ctx, e)
		case <-timer.C:
			s.startChecks(ctx)
		}
	}
}

func (s *Monitor) handleEvent(ctx context.Context, e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isKnown(e.Database) {
		return
	}
	s.k.Recorder.Add(EventKind, e)
	h := s.coordinator.entry(e.Database)
	switch e.Kind {
	case "report":
		if s.coordinator.Apply(e) {
			h.nextCheck = s.k.Clock.Now() + s.cfg.FirstCheck
			s.handleDown(e.Database, e.Generation)
			s.faults.add(s, ctx, e.Database, s.cfg.Peers, 2)
		} else if e.Generation < h.generation {
			s.k.Counters.Add("health.stale_reports", 1)
		}
	case "doubt":
		if up, gen := s.coordinator.Up(e.Database); up && e.Generation >= gen {
			if !h.localFault {
				s.suspicions.add(s, ctx, e.Database, s.cfg.ControlNodes, 1)
			}
			h.localFault = true
			s.check(ctx, e.Database)
		}
	case "notice":
		s.k.Counters.Add("health.notices", 1)
		if s.coordinator.PeerNotice(e.Database) == CheckNeeded && s.k.Clock.Now() >= h.quietUntil {
			s.check(ctx, e.Database)
		}
	case "checked":
		h.checking = false
		h.nextCheck = s.k.Clock.Now() + s.cfg.Interval
		h.quietUntil = s.k.Clock.Now() + s.cfg.Interval/4
		own := h.localFault
		h.localFault = false
		if !s.coordinator.Apply(e) {
			return
		}
		if e.OK {
			s.k.Log.Info("database up", "id", e.Database, "generation", h.generation)
			s.bell.Ring()
			return
		}
		s.handleDown(e.Database, e.Generation)
		if own {
			s.faults.add(s, ctx, e.Database, s.cfg.Peers, 2)
		}
	}
}

// handleDown tells the local sessions, under the local generation.
func (s *Monitor) handleDown(id string, generation int64) {
	s.k.Counters.Add("health.marked_down", 1)
	s.k.Log.Info("database down", "id", id, "generation", generation)
	for b := range s.bindings[id] {
		b.apply(Notice{id, generation})
	}
	s.bell.Ring()
}

// nextCheck is the time until a check is due.
func (s *Monitor) nextCheck() kernel.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := s.k.Clock.Now(), 3600*kernel.Second
	for _, h := range s.coordinator.state {
		if !h.up && !h.checking {
			wait = min(wait, max(h.nextCheck-now, 0))
		}
	}
	return wait
}

func (s *Monitor) startChecks(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	for id, h := range s.coordinator.state {
		if !h.up && !h.checking && h.nextCheck <= now {
			s.check(ctx, id)
		}
	}
}

func (s *Monitor) check(ctx context.Context, id string) {
	h := s.coordinator.entry(id)
	if h.checking {
		return
	}
	h.checking = true
	s.k.Counters.Add("health.checks", 1)
	generation := h.generation
	go func() {
		ok := s.cfg.Check(ctx, id)
		select {
		case s.events <- Event{Kind: "checked", Database: id, Generation: generation, OK: ok}:
		case <-ctx.Done():
		}
	}()
}

// Keep says which databases there are. What is known of any other is dropped, and
// reports, notices and checks of it that are under way count for nothing.
func (s *Monitor) Keep(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = known
	for id := range s.coordinator.state {
		if !known[id] {
			s.coordinator.Forget(id)
		}
	}
}

// isKnown tells whether there is such a database, and counts what is about another. The
// caller holds the lock.
func (s *Monitor) isKnown(id string) bool {
	if s.known == nil || s.known[id] {
		return true
	}
	s.k.Counters.Add("health.of_unknown_database", 1)
	return false
}
