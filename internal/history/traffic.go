package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Statement is what a client asked, and what came of it.
type Statement struct {
	Pooler  string        `json:"pooler"`
	Route   string        `json:"route"`
	Service string        `json:"svc"` // to which the route leads, in every configuration
	ID      string        `json:"id"`
	Write   bool          `json:"write,omitempty"`
	Thing   string        `json:"thing"`
	Value   int           `json:"value"`             // written, or read: a thing is counted up by one writer
	MayLag  time.Duration `json:"may_lag,omitempty"` // how old a state a read may see
	Within  time.Duration `json:"within,omitempty"`  // the deadline of its route; 0 if that is not checked
	Sent    time.Duration `json:"sent"`
	// Last is when the last message of it was sent, where that is later: its COMMIT.
	Last time.Duration `json:"last,omitempty"`
	Done time.Duration `json:"done"`
	Code string        `json:"code,omitempty"` // of the error, "" for success
}

// Unanswered is the code of a statement whose connection ended without an answer.
const Unanswered = "cut"

// Run is a statement that a database ran.
type Run struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	ID       string        `json:"id"`
	Begins   bool          `json:"begins,omitempty"` // outside a transaction, or first in one
	At       time.Duration `json:"at"`
}

// Drains is a database whose leaving was acknowledged.
type Drains struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	At       time.Duration `json:"at"`
}

// Promotion is a database that became the primary of a term, with the ids of the
// writes that its log held. The last one of a service, at the end, has no term: it
// tells what its primary holds then.
type Promotion struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	Term     int64         `json:"term,omitempty"`
	Holds    []string      `json:"holds"`
	At       time.Duration `json:"at"`
}

// Trouble is what was done to a node, or to a database.
type Trouble struct {
	Kind    string `json:"kind"`
	Node    string `json:"node"`
	Control bool   `json:"control,omitempty"` // a control node's process was struck
	Planned bool   `json:"planned,omitempty"` // it was told, and could prepare
	// Elsewhere: neither the node's own process was struck nor its links to clients, but
	// what it depends on.
	Elsewhere bool `json:"elsewhere,omitempty"`
	// Everywhere: every node was struck.
	Everywhere bool `json:"everywhere,omitempty"`
	// Calm: it excuses nothing, and is only told of.
	Calm bool          `json:"calm,omitempty"`
	At   time.Duration `json:"at"`
	Till time.Duration `json:"till"`
}

// Probe is a session that a client opened on a route of the operators.
type Probe struct {
	Pooler string        `json:"pooler"`
	Route  string        `json:"route"`
	Served bool          `json:"served,omitempty"` // else it was told that there is no such route
	Sent   time.Duration `json:"sent"`
	Done   time.Duration `json:"done"`
}

// Bounds are the spans that the rules allow.
type Bounds struct {
	Drain   time.Duration // a database may be sent requests after its leaving was acknowledged
	Apply   time.Duration // until a configuration is in force
	Contact time.Duration // after a trouble in which a node is held to nothing
	Slack   time.Duration // after which a request that was read is owed an answer
	Answer  time.Duration // after its deadline, by which a request is answered
}

// Traffic is what clients and databases saw.
type Traffic struct {
	began time.Time

	mu         sync.Mutex
	statements []Statement
	runs       []Run
	drains     []Drains
	promotions []Promotion
	troubles   []Trouble
	probes     []Probe
}

// NewTraffic returns an empty one, beside the orders.
func NewTraffic(orders *Orders) *Traffic { return &Traffic{began: orders.began} }

// Now is the time since the beginning.
func (t *Traffic) Now() time.Duration { return time.Since(t.began) }

// Since is that of an earlier moment.
func (t *Traffic) Since(at time.Time) time.Duration { return at.Sub(t.began) }

// Asked notes a statement.
func (t *Traffic) Asked(s Statement) { t.add(func() { t.statements = append(t.statements, s) }) }

// Ran notes a run.
func (t *Traffic) Ran(r Run) { t.add(func() { t.runs = append(t.runs, r) }) }

// Draining notes a database that leaves.
func (t *Traffic) Draining(d Drains) { t.add(func() { t.drains = append(t.drains, d) }) }

// Promoted notes a promotion.
func (t *Traffic) Promoted(p Promotion) { t.add(func() { t.promotions = append(t.promotions, p) }) }

// lasting is until when a trouble lasts whose end is not known yet.
const lasting = 24 * time.Hour

// Begin notes a trouble that goes on, and returns its number.
func (t *Traffic) Begin(d Trouble) (number int) {
	d.Till = lasting
	t.add(func() {
		number = len(t.troubles)
		t.troubles = append(t.troubles, d)
	})
	return number
}

// End notes the end of a trouble.
func (t *Traffic) End(number int) {
	now := t.Now()
	t.add(func() { t.troubles[number].Till = now })
}

// Probed notes a probe.
func (t *Traffic) Probed(p Probe) { t.add(func() { t.probes = append(t.probes, p) }) }

func (t *Traffic) add(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// Statements returns the statements so far.
func (t *Traffic) Statements() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.statements)
}

// Troubles returns the troubles so far.
func (t *Traffic) Troubles() []Trouble {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.troubles)
}

// Breaches lists what the rules do not allow, the first one first. The orders tell
// which routes there were.
func (t *Traffic) Breaches(orders *Orders, b Bounds) []Breach {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newCheck(t, b)
	c.lostCommits()
	c.lostAnswers()
	c.lateAnswers()
	c.stale()
	c.drain()
	c.route()
	c.one()
	c.probes(orders)
	c.forward(orders)
	slices.SortStableFunc(c.out, func(a, b Breach) int { return int(a.At - b.At) })
	return c.out
}

// Judged is how many of the probes are held to the configuration in force: nothing else
// that may delay it was going on.
func (t *Traffic) Judged(b Bounds) (judged, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newCheck(t, b)
	for _, p := range t.probes {
		if !c.disturbed(p) {
			judged++
		}
	}
	return judged, len(t.probes)
}

// check goes through one history.
type check struct {
	t       *Traffic
	b       Bounds
	excuses []Trouble // the troubles that are not calm
	out     []Breach
}

func newCheck(t *Traffic, b Bounds) *check {
	excuses := slices.DeleteFunc(slices.Clone(t.troubles), func(d Trouble) bool { return d.Calm })
	return &check{t: t, b: b, excuses: excuses}
}

func (c *check) broke(rule string, at time.Duration, format string, args ...any) {
	c.out = append(c.out, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// lostCommits: whoever is promoted, and the primary at the end, holds every write
// that a client was told of before.
func (c *check) lostCommits() {
	for _, p := range c.t.promotions {
		held := make(map[string]bool, len(p.Holds))
		for _, id := range p.Holds {
			held[id] = true
		}
		for _, s := range c.t.statements {
			if s.Write && s.Code == "" && s.Service == p.Service && s.Done < p.At && !held[s.ID] {
				c.broke(Lost, p.At, "%s lacks %s, acknowledged at %.3f s", p.Database, s.ID, s.Done.Seconds())
			}
		}
	}
}

// troubled tells whether a trouble lasted, or had ended for less than contact, in a
// span.
func (c *check) troubled(from, to time.Duration, which func(Trouble) bool) bool {
	return slices.ContainsFunc(c.excuses, func(d Trouble) bool {
		return which(d) && d.At <= to && d.Till+c.b.Contact >= from
	})
}

// stale: a read sees every write of which a client had been told by then, or by
// as long before as it may lag.
func (c *check) stale() {
	writes := map[string][]Statement{}
	for _, s := range c.t.statements {
		if s.Write && s.Code == "" {
			writes[s.Thing] = append(writes[s.Thing], s)
		}
	}
	for _, s := range c.t.statements {
		if s.Write || s.Code != "" {
			continue
		}
		for _, w := range writes[s.Thing] {
			if w.Done < s.Sent-s.MayLag && w.Value > s.Value {
				c.broke(StaleIs, s.Done, "%s read %d of %s, %d was acknowledged at %.3f s", s.ID, s.Value, s.Thing, w.Value, w.Done.Seconds())
				break
			}
		}
	}
}

// drain: nothing begins at a database too long after its leaving was acknowledged.
func (c *check) drain() {
	left := map[string]time.Duration{}
	for _, d := range c.t.drains {
		if at, known := left[d.Database]; !known || d.At < at {
			left[d.Database] = d.At
		}
	}
	for _, r := range c.t.runs {
		if at, leaves := left[r.Database]; leaves && r.Begins && r.At-at > c.b.Drain {
			c.broke(Drain, r.At, "%s begins at %s %v after its leaving was acknowledged", r.ID, r.Database, r.At-at)
		}
	}
}

// route: a database runs only what a client asked on a route to its service.
func (c *check) route() {
	asked := make(map[string]string, len(c.t.statements))
	for _, s := range c.t.statements {
		asked[s.ID] = s.Service
	}
	for _, r := range c.t.runs {
		if service, known := asked[r.ID]; known && service != r.Service {
			c.broke(Route, r.At, "%s, asked of %s, runs at %s of %s", r.ID, service, r.Database, r.Service)
		}
	}
}

// one: a term of a service has one primary.
func (c *check) one() {
	type term struct {
		service string
		number  int64
	}
	leads := map[term]string{}
	for _, p := range c.t.promotions {
		if p.Term == 0 {
			continue
		}
		at := term{p.Service, p.Term}
		if was, led := leads[at]; led && was != p.Database {
			c.broke(One, p.At, "%s and %s both lead %s in term %d", was, p.Database, p.Service, p.Term)
		}
		leads[at] = p.Database
	}
}

// disturbed tells whether a probe met a trouble of its node or of the control nodes. A
// change of settings is none.
func (c *check) disturbed(p Probe) bool {
	return c.troubled(p.Sent, p.Done, func(d Trouble) bool {
		return d.Kind != settingsChange && (d.Control || d.Node == p.Pooler)
	})
}

// settingsChange is the kind of trouble that changes a node's settings.
const settingsChange = "hup"

// probes: once a configuration has been in force for long enough, an undisturbed
// pooler serves its routes and no others.
func (c *check) probes(orders *Orders) {
	versions := orders.inForce()
	for _, p := range c.t.probes {
		if c.disturbed(p) {
			continue
		}
		in, out := versions.around(p.Route, p.Sent-c.b.Apply, p.Done)
		if p.Served && !in && out {
			c.broke(Config, p.Done, "%s serves %s, which was dropped", p.Pooler, p.Route)
		}
		if !p.Served && in && !out {
			c.broke(Config, p.Done, "%s does not serve %s, which was added", p.Pooler, p.Route)
		}
	}
}
