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
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Notice tells that a database is down as of a local generation.
type Notice struct {
	Database   string
	Generation int64
}

// Outcome is what a coordinator did with a report or notice.
type Outcome int

// Outcomes.
const (
	Marked  Outcome = iota // the database is now down
	Stale                  // older generation than the coordinator's
	Already                // down already
	ToCheck                // a peer's notice: counts only after an own check
)

type health struct {
	up         bool
	generation int64
	checking   bool
	own        bool          // the check is for a fault of a session here
	due        kernel.Micros // of the next check while down
	calm       kernel.Micros // until then peers' notices call for no check
	tellers    []string      // peers that told of it of late, a few
	echoed     kernel.Micros // when the last of them did
}

// Coordinator is the state machine by itself: no clock, network or
// goroutines, so that recordings can be played through it.
type Coordinator struct {
	state map[string]*health
}

// NewCoordinator returns a coordinator that holds every database as up.
func NewCoordinator() *Coordinator { return &Coordinator{state: map[string]*health{}} }

func (c *Coordinator) of(id string) *health {
	h := c.state[id]
	if h == nil {
		h = &health{up: true}
		c.state[id] = h
	}
	return h
}

// Up tells whether the database is held as up, and its generation.
func (c *Coordinator) Up(id string) (bool, int64) {
	if h := c.state[id]; h != nil {
		return h.up, h.generation
	}
	return true, 0
}

// Report takes a fault seen by a local session bound under a generation.
func (c *Coordinator) Report(id string, generation int64) Outcome {
	h := c.of(id)
	switch {
	case generation < h.generation:
		return Stale
	case !h.up:
		return Already
	}
	h.up = false
	return Marked
}

// PeerNotice takes a peer's notice; it says whether a check is called for.
func (c *Coordinator) PeerNotice(id string) Outcome {
	if !c.of(id).up {
		return Already
	}
	return ToCheck
}

// Checked takes the result of an own check that started under a generation.
// It reports whether the state changed.
func (c *Coordinator) Checked(id string, generation int64, ok bool) bool {
	h := c.of(id)
	if generation != h.generation || h.up == ok {
		return false
	}
	if h.up = ok; ok {
		h.generation++
	}
	return true
}

// Down lists the databases held as down.
func (c *Coordinator) Down() []string {
	var out []string
	for id, h := range c.state {
		if !h.up {
			out = append(out, id)
		}
	}
	return out
}

// Forget drops a database that is gone.
func (c *Coordinator) Forget(id string) { delete(c.state, id) }

// Binding is a session's hold on a database. It must not be used before Bind
// nor after Release.
type Binding struct {
	mu         sync.Mutex
	database   string
	generation int64
	unbound    chan struct{}
}

// Unbound closes when a notice has unbound the session.
func (b *Binding) Unbound() <-chan struct{} { return b.unbound }

// Bound returns the bound database, or "" once a notice has unbound it.
func (b *Binding) Bound() (string, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.database, b.generation
}

// take applies a notice by the paper's rule for sessions.
func (b *Binding) take(n Notice) {
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

// Checker tries whether a database answers.
type Checker func(ctx context.Context, id string) bool

// Config is what a health coordinator is built from.
type Config struct {
	Interval     kernel.Micros // between checks of a database that is down
	First        kernel.Micros // until the first check after a local report
	Check        Checker
	Self         string          // address under which peers hear of this process
	Peers        func() []string // in the order in which they are told
	ControlNodes func() []string // of the peers, those that may move a lead
	Tell         func(addrs []string, kind string, body any)
	Heed         func() bool // whether peers' notices matter to this process now
	Rate         float64     // bytes a microsecond that telling peers may take, 0 for no bound
}

// EventKind is the kind of record of an event.
const EventKind = "health"

// NoticeKind is the kind of datagram that carries notices.
const NoticeKind = "fault"

type notice struct {
	Databases []string `json:"d"`
}

// Notices that are due together share a datagram: they are gathered for a
// moment, and told in parts of a bounded size.
const (
	gather     = 5 * kernel.Millisecond
	maxNotices = 64
)

// Where many processes see the same fault at once, a few need to tell it: each
// waits a random while, the longer the more peers there are, and one that has
// meanwhile heard the notice from others does not repeat it. Telling many takes
// a while itself: it goes on in parts, and whoever hears between two of them
// that its seniors tell the same leaves the rest to them. The most senior
// tellers hear of none, so that some always tell all.
const (
	perPeer = kernel.Millisecond / 4
	echo    = 200 * kernel.Millisecond
	enough  = 2
	atOnce  = 24 // peers told in one part
	tellers = 8  // remembered for one database
)

// Whoever's own link is full finds database after database silent, and telling
// hundreds of peers of each would keep it full. So telling takes a part of the
// link at most, as an average over a while: what is found meanwhile waits and is
// told together.
const (
	tellFor    = 2 * kernel.Second
	noticeHead = 110 // bytes of a datagram, and of each database in it
	noticeEach = 18
)

// purse holds the bytes that may be told yet. Its fields are guarded by the
// health coordinator's mutex.
type purse struct {
	bytes float64
	at    kernel.Micros
}

// open tells whether something may be told now.
func (p *purse) open(now kernel.Micros, rate float64) bool {
	if rate == 0 {
		return true
	}
	p.bytes = min(p.bytes+float64(now-p.at)*rate, float64(tellFor)*rate)
	p.at = now
	return p.bytes > 0
}

// rank orders the tellers of a database's fault; lower ones are senior.
func rank(addr, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(addr))
	h.Write([]byte(id))
	return h.Sum64()
}

// Event is an input of the coordinator: a "report" or "doubt" of a session, a
// peer's "notice", or the result of an own check ("checked").
type Event struct {
	Kind       string `json:"kind"`
	Database   string `json:"db"`
	Generation int64  `json:"gen"`
	OK         bool   `json:"ok,omitempty"`
}

// Apply feeds the coordinator an event; it reports whether a state changed.
func (c *Coordinator) Apply(e Event) (changed bool) {
	switch e.Kind {
	case "report":
		return c.Report(e.Database, e.Generation) == Marked
	case "checked":
		return c.Checked(e.Database, e.Generation, e.OK)
	}
	return false
}

// Monitor runs a coordinator beside the sessions of one process.
type Monitor struct {
	k   *kernel.Kernel
	cfg Config

	events chan Event

	mu       sync.Mutex
	c        *Coordinator
	bindings map[string]map[*Binding]struct{}
	purse    purse
	faults   outbox // for all peers
	doubts   outbox // for the control nodes
	bell     kernel.Bell
}

// New returns a health coordinator.
func New(k *kernel.Kernel, cfg Config) *Monitor {
	return &Monitor{
		k: k, cfg: cfg, c: NewCoordinator(),
		events: make(chan Event, 256), bindings: map[string]map[*Binding]struct{}{},
	}
}

// State tells whether the database is held as up, and its generation.
func (s *Monitor) State(id string) (bool, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c.Up(id)
}

// Up tells whether the database is held as up.
func (s *Monitor) Up(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	up, _ := s.c.Up(id)
	return up
}

// Down lists the databases held as down, with their generations.
func (s *Monitor) Down() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for _, id := range s.c.Down() {
		_, out[id] = s.c.Up(id)
	}
	return out
}

// Changed closes at the next change of any database's state.
func (s *Monitor) Changed() <-chan struct{} { return s.bell.Wait() }

// Bind binds a session to a database that is up.
func (s *Monitor) Bind(id string) *Binding {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, g := s.c.Up(id)
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

// Notified takes a peer's datagram.
func (s *Monitor) Notified(from string, body json.RawMessage) {
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
	if !s.cfg.Heed() {
		return
	}
	s.mu.Lock()
	h, now := s.c.of(id), s.k.Clock.Now()
	if now-h.echoed > echo {
		h.tellers = h.tellers[:0]
	}
	h.echoed = now
	if len(h.tellers) < tellers && !slices.Contains(h.tellers, from) {
		h.tellers = append(h.tellers, from)
	}
	idle := !h.up || h.checking || now < h.calm
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
			s.work(ctx, e)
		case <-timer.C:
			s.startChecks(ctx)
		}
	}
}

func (s *Monitor) work(ctx context.Context, e Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.k.Recorder.Add(EventKind, e)
	h := s.c.of(e.Database)
	switch e.Kind {
	case "report":
		if s.c.Apply(e) {
			h.due = s.k.Clock.Now() + s.cfg.First
			s.wentDown(e.Database, e.Generation)
			s.faults.add(s, ctx, e.Database, s.cfg.Peers, 2)
		} else if e.Generation < h.generation {
			s.k.Counters.Add("health.stale_reports", 1)
		}
	case "doubt":
		if up, gen := s.c.Up(e.Database); up && e.Generation >= gen {
			if !h.own {
				s.doubts.add(s, ctx, e.Database, s.cfg.ControlNodes, 1)
			}
			h.own = true
			s.check(ctx, e.Database)
		}
	case "notice":
		s.k.Counters.Add("health.notices", 1)
		if s.c.PeerNotice(e.Database) == ToCheck && s.k.Clock.Now() >= h.calm {
			s.check(ctx, e.Database)
		}
	case "checked":
		h.checking = false
		h.due = s.k.Clock.Now() + s.cfg.Interval
		h.calm = s.k.Clock.Now() + s.cfg.Interval/4
		own := h.own
		h.own = false
		if !s.c.Apply(e) {
			return
		}
		if e.OK {
			s.k.Log.Info("database up", "id", e.Database, "generation", h.generation)
			s.bell.Ring()
			return
		}
		s.wentDown(e.Database, e.Generation)
		if own {
			s.faults.add(s, ctx, e.Database, s.cfg.Peers, 2)
		}
	}
}

// wentDown tells the local sessions, under the local generation.
func (s *Monitor) wentDown(id string, generation int64) {
	s.k.Counters.Add("health.marked_down", 1)
	s.k.Log.Info("database down", "id", id, "generation", generation)
	for b := range s.bindings[id] {
		b.take(Notice{id, generation})
	}
	s.bell.Ring()
}

// outbox gathers notices. Its fields are guarded by the health coordinator's mutex.
type outbox struct{ ids []string }

// add puts a notice among those that leave next. They are sent so many times:
// a lost one costs a peer a fault of its own, a doubled one nothing.
func (o *outbox) add(s *Monitor, ctx context.Context, id string, to func() []string, times int) {
	o.ids = append(o.ids, id)
	if len(o.ids) > 1 {
		return
	}
	go func() {
		kernel.Sleep(ctx, gather+rand.N(perPeer*kernel.Micros(len(to())+1)))
		s.mu.Lock()
		for !s.purse.open(s.k.Clock.Now(), s.cfg.Rate) {
			s.mu.Unlock()
			s.k.Counters.Add("health.notices_held", 1)
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
			s.mu.Lock()
		}
		ids := o.ids
		o.ids = nil
		s.mu.Unlock()
		for n := range times {
			if n > 0 && !s.mayTell() {
				return // a lost notice costs less than a full link
			}
			ids = s.untold(ids, func(string, string) bool { return true })
			s.tell(ctx, ids, to())
			if !kernel.Sleep(ctx, 50*kernel.Millisecond) {
				return
			}
		}
	}()
}

func (s *Monitor) mayTell() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.purse.open(s.k.Clock.Now(), s.cfg.Rate)
}

// tell sends notices to peers, part by part.
func (s *Monitor) tell(ctx context.Context, ids, peers []string) {
	senior := func(from, id string) bool { return rank(from, id) < rank(s.cfg.Self, id) }
	for part := range slices.Chunk(peers, atOnce) {
		for some := range slices.Chunk(ids, maxNotices) {
			s.cfg.Tell(part, NoticeKind, notice{some})
			s.mu.Lock()
			s.purse.bytes -= float64(len(part) * (noticeHead + noticeEach*len(some)))
			s.mu.Unlock()
		}
		if len(ids) == 0 || len(peers) > atOnce && !kernel.Sleep(ctx, kernel.Millisecond) {
			return
		}
		ids = s.untold(slices.Clone(ids), senior)
	}
}

// untold leaves out what enough others, of those that count, have told of
// late.
func (s *Monitor) untold(ids []string, counts func(from, id string) bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	return slices.DeleteFunc(ids, func(id string) bool {
		h, n := s.c.of(id), 0
		for _, from := range h.tellers {
			if counts(from, id) {
				n++
			}
		}
		return n >= enough && now-h.echoed <= echo
	})
}

// nextCheck is the time until a check is due.
func (s *Monitor) nextCheck() kernel.Micros {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, wait := s.k.Clock.Now(), 3600*kernel.Second
	for _, h := range s.c.state {
		if !h.up && !h.checking {
			wait = min(wait, max(h.due-now, 0))
		}
	}
	return wait
}

func (s *Monitor) startChecks(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	for id, h := range s.c.state {
		if !h.up && !h.checking && h.due <= now {
			s.check(ctx, id)
		}
	}
}

func (s *Monitor) check(ctx context.Context, id string) {
	h := s.c.of(id)
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

// Forget drops what is known of a database that is gone.
func (s *Monitor) Forget(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.c.Forget(id)
}
