// Package health is the health coordinator: it keeps, for each database, an up or down state and
// a local generation, based on the faults that this process's own sessions report and on the
// notices of its peers.
//
// The algorithm is the client-side session coordination of Petrauskas and Baronas (2019);
// docs/design.md says what was kept and what was changed.
package health

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Checker checks whether a database responds.
type Checker func(ctx context.Context, id string) bool

// Config configures a Monitor.
type Config struct {
	Interval      kernel.Micros // between checks of a database that is down
	FirstCheck    kernel.Micros // delay of the first check after a local report
	Check         Checker
	Self          string          // address by which peers know this process
	Peers         func() []string // in the order in which they are notified
	ControlNodes  func() []string // those peers that may start a failover
	Send          func(addrs []string, kind string, body any)
	AcceptNotices func() bool // whether peers' notices matter to this process now
	NoticeRate    float64     // bytes per microsecond that notices may use, 0 for no limit
}

// EventKind is the kind of recorded event that holds an Event.
const EventKind = "health"

// NoticeKind is the kind of datagram that carries notices.
const NoticeKind = "fault"

// Notices that are due together share a datagram: they are collected for a short time and sent in
// parts of a bounded size.
const (
	gatherDelay = 5 * kernel.Millisecond
	maxNotices  = 64
)

// Where many processes detect the same fault at once, only a few need to send it: each waits a
// random delay that grows with the number of peers, and one that has received the notice from
// others in the meantime does not repeat it. Notifying many peers takes time itself: it proceeds
// in batches, and a process that learns between two of them that higher-ranked processes send the
// same notice leaves the rest to them. The highest-ranked ones defer to nobody, so that some
// process always notifies all peers.
const (
	delayPerPeer    = kernel.Millisecond / 4
	echoWindow      = 200 * kernel.Millisecond
	enoughReporters = 2
	peersPerBatch   = 24 // peers notified in one batch
	maxReporters    = 8  // kept for one database
)

// A process whose own link is saturated finds one database after another unresponsive, and
// notifying hundreds of peers of each would keep the link saturated. So notices use at most a
// share of the link, averaged over a time window: faults detected meanwhile wait and are sent
// together.
const (
	budgetWindow      = 2 * kernel.Second
	noticeHeaderBytes = 110 // bytes of a datagram, and of each database in it
	noticeEntryBytes  = 18
)

// Monitor runs a coordinator for the sessions of one process.
type Monitor struct {
	k   *kernel.Kernel
	cfg Config

	events chan Event

	mu sync.Mutex
	// known is the set of existing databases; nil as long as it has not been set. Late events
	// about any other database are about one that is gone: a state set by them would never be
	// cleared.
	known       map[string]bool
	coordinator *Coordinator
	bindings    map[string]map[*Binding]struct{}
	budget      byteBudget
	faults      outbox // for all peers
	suspicions  outbox // for the control nodes
	changes     kernel.Notifier
}

// New returns a health monitor.
func New(k *kernel.Kernel, cfg Config) *Monitor {
	return &Monitor{
		k: k, cfg: cfg, coordinator: NewCoordinator(),
		events: make(chan Event, 256), bindings: map[string]map[*Binding]struct{}{},
	}
}

// State reports whether the database is considered up, and returns its generation.
func (s *Monitor) State(id string) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinator.Up(id)
}

// Up reports whether the database is considered up.
func (s *Monitor) Up(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	up, _ := s.coordinator.Up(id)
	return up
}

// Down returns the databases that are considered down, with their generations.
func (s *Monitor) Down() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for _, id := range s.coordinator.Down() {
		_, out[id] = s.coordinator.Up(id)
	}
	return out
}

// Changed returns a channel that is closed at the next change of any database's state.
func (s *Monitor) Changed() <-chan struct{} { return s.changes.Wait() }

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

// Report submits a fault asynchronously. A report that finds the queue full is dropped: the next
// session that meets the same fault reports it again. Certain faults (no response, connection
// refused) count at once. A single broken connection may be a problem of that connection only:
// such a fault counts after a local check, which a crashed database fails at once. Control nodes
// are notified of such a suspicion right away, so that their own check runs in parallel.
func (s *Monitor) Report(id string, generation int64, certain bool) {
	kind := "report"
	if !certain {
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

// HandleNotices processes a peer's datagram.
func (s *Monitor) HandleNotices(from string, body json.RawMessage) {
	var n notice
	if json.Unmarshal(body, &n) != nil || len(n.Databases) == 0 || slices.Contains(n.Databases, "") {
		s.k.Counters.Add("health.malformed", 1)
		return
	}
	for _, id := range n.Databases {
		s.HandleNotice(from, id)
	}
}

// HandleNotice processes a peer's notice, however it was received. One that contains nothing new is
// only counted.
func (s *Monitor) HandleNotice(from, id string) {
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
	redundant := !h.up || h.checking || now < h.quietUntil
	s.mu.Unlock()
	if redundant {
		s.k.Counters.Add("health.notices", 1)
		return
	}
	s.post(Event{Kind: "notice", Database: id})
}

// Serve processes reports, notices and checks until ctx ends.
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

// handleEvent processes one event and starts the checks and notifications that it calls for.
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
		localFault := h.localFault
		h.localFault = false
		if !s.coordinator.Apply(e) {
			return
		}
		if e.OK {
			s.k.Log.Info("database up", "id", e.Database, "generation", h.generation)
			s.changes.NotifyAll()
			return
		}
		s.handleDown(e.Database, e.Generation)
		if localFault {
			s.faults.add(s, ctx, e.Database, s.cfg.Peers, 2)
		}
	}
}

// handleDown notifies the local sessions that a database is down, under the local generation. The
// caller holds s.mu.
func (s *Monitor) handleDown(id string, generation int64) {
	s.k.Counters.Add("health.marked_down", 1)
	s.k.Log.Info("database down", "id", id, "generation", generation)
	for b := range s.bindings[id] {
		b.apply(Notice{id, generation})
	}
	s.changes.NotifyAll()
}

// nextCheck returns the time until a check is due.
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

// startChecks starts the checks that are due.
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

// check starts a check of a database unless one is running. The caller holds s.mu.
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

// SetKnown sets which databases exist. The state of any other is dropped, and reports, notices and
// checks of it that are in progress are ignored.
func (s *Monitor) SetKnown(known map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known = known
	for id := range s.coordinator.state {
		if !known[id] {
			s.coordinator.Forget(id)
		}
	}
}

// isKnown reports whether the database exists, and counts events about any other. The caller
// holds s.mu.
func (s *Monitor) isKnown(id string) bool {
	if s.known == nil || s.known[id] {
		return true
	}
	s.k.Counters.Add("health.of_unknown_database", 1)
	return false
}
