// Package findingaid picks the database for a statement.
//
// The position rule: the position in an answer of a primary, dated by when
// its statement was sent, covers every commit acknowledged before that time.
// A replica that has reached a position dated after a read's bound is
// therefore fresh enough for the read.
package findingaid

import (
	"math"
	"math/rand/v2"
	"sync"

	"indigowalk/internal/accessions"
	"indigowalk/internal/catalogue"
	"indigowalk/internal/custodian"
	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
)

// Choice is where a statement may go.
type Choice struct {
	Database accessions.Database
	Primary  bool           // under the read lease, with no position asked for
	After    folio.Position // what a replica must have reached
}

// Request describes a statement that is to be placed.
type Request struct {
	Service  string
	Type     string // of the route
	Stale    foundation.Micros
	Received foundation.Micros // when its first byte was here at the latest
	Last     folio.Position    // the session's own last commit
	Write    bool              // or a plain transaction
	Avoid    map[string]bool   // tried in vain
}

// Scene is what a choice is made from.
type Scene struct {
	Databases []accessions.Database
	Lead      custodian.Lead
	Leased    bool // the read lease covers the lead now
	Zone      string
	Up        func(id string) bool
	Busy      func(id string) int
	Idle      func(id string) bool // a connection to it waits for use
}

type observation struct {
	sent foundation.Micros
	pos  folio.Position
}

// Observations that are kept: spaced by gap, none older than keep.
const (
	gap  = 40 * foundation.Millisecond
	keep = 10 * foundation.Second
)

// behind is for how long a replica that answered LAGGING is passed over at
// first; it doubles up to behindMax while it keeps doing so.
const (
	behind    = 100 * foundation.Millisecond
	behindMax = 800 * foundation.Millisecond
)

type laggard struct{ until, span foundation.Micros }

// How answers' times weigh: each database's pace is its answers' time over
// what is usual on their route, of late; a pace not heard of for a while fades
// to the usual, so that a slow database is tried again.
const (
	paceWeight  = 0.15
	usualWeight = 0.02
	fades       = 1500 * foundation.Millisecond
)

type pace struct {
	ratio float64
	at    foundation.Micros
}

func (p pace) now(now foundation.Micros) float64 {
	if p.at == 0 {
		return 1
	}
	return 1 + (p.ratio-1)*math.Exp(-float64(now-p.at)/float64(fades))
}

// Aid remembers observations of the primaries, and who lags.
type Aid struct {
	clock foundation.Clock

	mu   sync.Mutex
	seen map[string][]observation
	lag  map[string]laggard
	pace map[string]pace    // by database
	used map[string]float64 // usual time by route, in microseconds
}

// New returns an aid without observations.
func New(clock foundation.Clock) *Aid {
	return &Aid{
		clock: clock, seen: map[string][]observation{}, lag: map[string]laggard{},
		pace: map[string]pace{}, used: map[string]float64{},
	}
}

// Observe notes a position that covers all commits acknowledged before sent.
func (a *Aid) Observe(service string, sent foundation.Micros, pos folio.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := a.seen[service]
	if n := len(list); n > 0 && sent < list[n-1].sent+gap {
		return
	}
	first := 0
	for first < len(list) && list[first].sent < sent-keep {
		first++
	}
	a.seen[service] = append(list[first:], observation{sent, pos})
}

// covering returns the oldest position dated at or after t: of those that
// serve, the one that replicas are most likely to have reached.
func (a *Aid) covering(service string, t foundation.Micros) (folio.Position, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range a.seen[service] {
		if o.sent >= t {
			return o.pos, true
		}
	}
	return folio.Position{}, false
}

// Lagging notes that a replica has not reached a position yet.
func (a *Aid) Lagging(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	l := a.lag[id]
	if now < l.until {
		return
	}
	if l.span = min(2*l.span, behindMax); now > l.until+2*behindMax || l.span == 0 {
		l.span = behind
	}
	l.until = now + l.span
	a.lag[id] = l
}

func (a *Aid) lags(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.clock.Now() < a.lag[id].until
}

// Took notes how long a read of the route took at a database.
func (a *Aid) Took(route, id string, span foundation.Micros) {
	a.mu.Lock()
	defer a.mu.Unlock()
	usual, known := a.used[route]
	if !known {
		usual = float64(span)
	}
	usual += usualWeight * (float64(span) - usual)
	a.used[route] = usual
	now := a.clock.Now()
	r := a.pace[id].now(now)
	a.pace[id] = pace{r + paceWeight*(float64(span)/max(usual, 1)-r), now}
}

// Usual is how long a read of the route usually takes, 0 if none was seen.
func (a *Aid) Usual(route string) foundation.Micros {
	a.mu.Lock()
	defer a.mu.Unlock()
	return foundation.Micros(a.used[route])
}

func (a *Aid) paceOf(id string) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pace[id].now(a.clock.Now())
}

// Pick returns a choice, or false if there is none at present.
func (a *Aid) Pick(q Request, s Scene) (Choice, bool) {
	if q.Type != catalogue.Primary && !q.Write {
		if c, ok := a.replica(q, s); ok {
			return c, true
		}
	}
	if !s.Leased || !s.Up(s.Lead.ID) {
		return Choice{}, false
	}
	for _, d := range s.Databases {
		if d.ID == s.Lead.ID {
			return Choice{Database: d, Primary: true}, true
		}
	}
	return Choice{}, false
}

func (a *Aid) replica(q Request, s Scene) (Choice, bool) {
	pos, ok := a.covering(q.Service, q.Received-q.Stale)
	if !ok {
		return Choice{}, false
	}
	if q.Type == catalogue.Nearest && pos.Less(q.Last) {
		pos = q.Last
	}
	best, cost := -1, 0.0
	for i, d := range s.Databases {
		if d.ID == s.Lead.ID || d.Draining || q.Avoid[d.ID] || !s.Up(d.ID) || a.lags(d.ID) {
			continue
		}
		// The wait to expect: this desk's own share of the busy slots, at the
		// database's pace. Another zone is like half a statement more, a
		// connection that must be opened first like a whole one.
		c := a.paceOf(d.ID) * (1 + float64(s.Busy(d.ID)) + 0.2*rand.Float64())
		if !s.Idle(d.ID) {
			c++
		}
		if d.Zone != s.Zone {
			c += 0.5
		}
		if best < 0 || c < cost {
			best, cost = i, c
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Database: s.Databases[best], After: pos}, true
}
