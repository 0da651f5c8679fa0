// Package health is the health coordinator of a process. For each database it keeps whether the
// database is up or down, and a local generation, based on faults that sessions of this process
// report and on notices of its peers.
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
	Interval      kernel.Micros // between two checks of a database that is down
	FirstCheck    kernel.Micros // delay of the first check after a local report
	Check         Checker
	Self          string          // address by which the peers know this process
	Peers         func() []string // in the order in which they are notified
	ControlNodes  func() []string // the peers that may start a failover
	Send          func(addrs []string, kind string, body any)
	AcceptNotices func() bool // whether notices of peers are of use to this process now
	NoticeRate    float64     // bandwidth of notices in bytes per microsecond, 0 for no limit
}

// EventKind is the kind of recorded event that holds an Event.
const EventKind = "health"

// NoticeKind is the kind of datagram that carries notices.
const NoticeKind = "fault"

// Notices that become due at about the same time share a datagram: they are collected for
// gatherDelay and sent in datagrams of at most maxNotices.
const (
	gatherDelay = 5 * kernel.Millisecond
	maxNotices  = 64
)

// When many processes detect the same fault at once, only a few of them need to send notices. Each
// waits for a random delay that grows with the number of peers, and does not send a notice that
// enoughReporters others have sent within echoWindow. Notifying many peers takes time too, so it is
// done in batches: a process that receives the same notice from enough higher-ranked processes
// between two batches leaves the remaining peers to them. The highest-ranked processes do not defer
// to any other, so that some process always notifies all peers.
const (
	delayPerPeer    = kernel.Millisecond / 4
	echoWindow      = 200 * kernel.Millisecond
	enoughReporters = 2
	peersPerBatch   = 24
	maxReporters    = 8 // kept for one database
)

// A process whose own link is saturated finds one database after another unresponsive, and
// notifying hundreds of peers of each would keep the link saturated. So notices use at most a
// share of the link (Config.NoticeRate), averaged over budgetWindow. Notices of faults that are
// detected meanwhile are delayed and sent together.
const (
	budgetWindow      = 2 * kernel.Second
	noticeHeaderBytes = 110 // size of a datagram without databases
	noticeEntryBytes  = 18  // size of one database in a datagram
)

// Monitor runs a Coordinator for the sessions of one process: it checks databases that are down,
// and exchanges notices with peers.
type Monitor struct {
	k   *kernel.Kernel
	cfg Config

	events chan Event

	mu sync.Mutex
	// databases is the set of existing databases; nil as long as it has not been set. An event
	// about any other database is a late one about a database that is gone, and is ignored: a
	// state set by it would never be cleared.
	databases   map[string]bool
	coordinator *Coordinator
	bindings    map[string]map[*Binding]struct{}
	budget      byteBudget
	faults      outbox // notices to all peers
	suspicions  outbox // notices to the control nodes
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
func (m *Monitor) State(id string) (bool, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.coordinator.Up(id)
}

// Up reports whether the database is considered up.
func (m *Monitor) Up(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	up, _ := m.coordinator.Up(id)
	return up
}

// Down returns the databases that are considered down, with their generations.
func (m *Monitor) Down() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{}
	for _, id := range m.coordinator.Down() {
		_, out[id] = m.coordinator.Up(id)
	}
	return out
}

// Changed returns a channel that is closed at the next change of any database's state.
func (m *Monitor) Changed() <-chan struct{} { return m.changes.Wait() }

// Bind binds a session to a database that is up.
func (m *Monitor) Bind(id string) *Binding {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, generation := m.coordinator.Up(id)
	b := &Binding{database: id, generation: generation, unbound: make(chan struct{})}
	if m.bindings[id] == nil {
		m.bindings[id] = map[*Binding]struct{}{}
	}
	m.bindings[id][b] = struct{}{}
	return b
}

// Release ends a binding.
func (m *Monitor) Release(id string, b *Binding) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if delete(m.bindings[id], b); len(m.bindings[id]) == 0 {
		delete(m.bindings, id)
	}
}

// Report reports a fault asynchronously. If the queue is full the report is dropped: the next
// session that encounters the fault reports it again. A certain fault (no response, connection
// refused) marks the database down at once. A single broken connection may be a problem of that
// connection alone: such a fault marks the database down only after a local check, which a crashed
// database fails at once. Control nodes are notified of such a suspicion without delay, so that
// their own checks run at the same time.
func (m *Monitor) Report(id string, generation int64, certain bool) {
	kind := "report"
	if !certain {
		kind = "doubt"
	}
	m.post(Event{Kind: kind, Database: id, Generation: generation})
}

func (m *Monitor) post(e Event) {
	select {
	case m.events <- e:
	default:
		m.k.Counters.Add("health.dropped", 1)
	}
}

// HandleNotices processes a peer's datagram of notices.
func (m *Monitor) HandleNotices(from string, body json.RawMessage) {
	var n notice
	if json.Unmarshal(body, &n) != nil || len(n.Databases) == 0 || slices.Contains(n.Databases, "") {
		m.k.Counters.Add("health.malformed", 1)
		return
	}
	for _, id := range n.Databases {
		m.HandleNotice(from, id)
	}
}

// HandleNotice processes a peer's notice, whichever way it was received. A redundant one is only
// counted.
func (m *Monitor) HandleNotice(from, id string) {
	if !m.cfg.AcceptNotices() {
		return
	}
	m.mu.Lock()
	if !m.isKnown(id) {
		m.mu.Unlock()
		return
	}
	state, now := m.coordinator.entry(id), m.k.Clock.Now()
	if now-state.lastReported > echoWindow {
		state.reporters = state.reporters[:0]
	}
	state.lastReported = now
	if len(state.reporters) < maxReporters && !slices.Contains(state.reporters, from) {
		state.reporters = append(state.reporters, from)
	}
	redundant := !state.up || state.checking || now < state.quietUntil
	m.mu.Unlock()
	if redundant {
		m.k.Counters.Add("health.notices", 1)
		return
	}
	m.post(Event{Kind: "notice", Database: id})
}

// Serve processes reports and notices, and runs the checks, until ctx is done.
func (m *Monitor) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(m.untilNextCheck().Duration())
		select {
		case <-ctx.Done():
			return nil
		case e := <-m.events:
			m.handleEvent(ctx, e)
		case <-timer.C:
			m.startChecks(ctx)
		}
	}
}

// handleEvent processes one event, and starts the checks and sends the notices that it requires.
func (m *Monitor) handleEvent(ctx context.Context, e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isKnown(e.Database) {
		return
	}
	m.k.Recorder.Add(EventKind, e)
	state := m.coordinator.entry(e.Database)
	switch e.Kind {
	case "report":
		if m.coordinator.Apply(e) {
			state.nextCheck = m.k.Clock.Now() + m.cfg.FirstCheck
			m.handleDown(e.Database, e.Generation)
			m.faults.add(m, ctx, e.Database, m.cfg.Peers, 2)
		} else if e.Generation < state.generation {
			m.k.Counters.Add("health.stale_reports", 1)
		}
	case "doubt":
		if up, generation := m.coordinator.Up(e.Database); up && e.Generation >= generation {
			if !state.localFault {
				m.suspicions.add(m, ctx, e.Database, m.cfg.ControlNodes, 1)
			}
			state.localFault = true
			m.startCheck(ctx, e.Database)
		}
	case "notice":
		m.k.Counters.Add("health.notices", 1)
		if m.coordinator.PeerNotice(e.Database) == CheckNeeded && m.k.Clock.Now() >= state.quietUntil {
			m.startCheck(ctx, e.Database)
		}
	case "checked":
		state.checking = false
		state.nextCheck = m.k.Clock.Now() + m.cfg.Interval
		state.quietUntil = m.k.Clock.Now() + m.cfg.Interval/4
		localFault := state.localFault
		state.localFault = false
		if !m.coordinator.Apply(e) {
			return
		}
		if e.OK {
			m.k.Log.Info("database up", "id", e.Database, "generation", state.generation)
			m.changes.NotifyAll()
			return
		}
		m.handleDown(e.Database, e.Generation)
		if localFault {
			m.faults.add(m, ctx, e.Database, m.cfg.Peers, 2)
		}
	}
}

// handleDown notifies the local sessions that a database is down, under the local generation. The
// caller holds m.mu.
func (m *Monitor) handleDown(id string, generation int64) {
	m.k.Counters.Add("health.marked_down", 1)
	m.k.Log.Info("database down", "id", id, "generation", generation)
	for b := range m.bindings[id] {
		b.apply(Notice{id, generation})
	}
	m.changes.NotifyAll()
}

// untilNextCheck returns the time until the next check is due.
func (m *Monitor) untilNextCheck() kernel.Micros {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, wait := m.k.Clock.Now(), 3600*kernel.Second
	for _, state := range m.coordinator.states {
		if !state.up && !state.checking {
			wait = min(wait, max(state.nextCheck-now, 0))
		}
	}
	return wait
}

// startChecks starts the checks that are due.
func (m *Monitor) startChecks(ctx context.Context) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.k.Clock.Now()
	for id, state := range m.coordinator.states {
		if !state.up && !state.checking && state.nextCheck <= now {
			m.startCheck(ctx, id)
		}
	}
}

// startCheck starts a check of a database unless one is running. The caller holds m.mu.
func (m *Monitor) startCheck(ctx context.Context, id string) {
	state := m.coordinator.entry(id)
	if state.checking {
		return
	}
	state.checking = true
	m.k.Counters.Add("health.checks", 1)
	generation := state.generation
	go func() {
		ok := m.cfg.Check(ctx, id)
		select {
		case m.events <- Event{Kind: "checked", Database: id, Generation: generation, OK: ok}:
		case <-ctx.Done():
		}
	}()
}

// SetDatabases sets which databases exist. The state of any other is dropped; reports, notices and
// check results about it that are still in progress are ignored.
func (m *Monitor) SetDatabases(databases map[string]bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.databases = databases
	for id := range m.coordinator.states {
		if !databases[id] {
			m.coordinator.Remove(id)
		}
	}
}

// isKnown reports whether a database exists. It is called for each event, and counts those about
// unknown databases. The caller holds m.mu.
func (m *Monitor) isKnown(id string) bool {
	if m.databases == nil || m.databases[id] {
		return true
	}
	m.k.Counters.Add("health.of_unknown_database", 1)
	return false
}
