package history

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Statement is a statement or request of a client, and its result.
type Statement struct {
	Pooler   string        `json:"pooler"`
	Route    string        `json:"route"`
	Service  string        `json:"svc"` // the service of the route, which is the same in every configuration
	ID       string        `json:"id"`
	Write    bool          `json:"write,omitempty"`
	Key      string        `json:"thing"`
	Value    int           `json:"value"`             // the value written or read; each key has one writer, which writes increasing values
	MaxLag   time.Duration `json:"may_lag,omitempty"` // how stale a read may be
	Deadline time.Duration `json:"within,omitempty"`  // the deadline of its route; 0 if it is not checked
	Sent     time.Duration `json:"sent"`
	// LastSent is when its last message was sent, if it has several: that of a transaction is COMMIT.
	LastSent time.Duration `json:"last,omitempty"`
	Done     time.Duration `json:"done"`
	Code     string        `json:"code,omitempty"` // the error code, "" for success
}

// Unanswered is the code of a statement whose connection was closed before an answer arrived.
const Unanswered = "cut"

// Run is the execution of a statement or request at a database.
type Run struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	ID       string        `json:"id"`
	Begins   bool          `json:"begins,omitempty"` // it is outside a transaction, or the first in one
	At       time.Duration `json:"at"`
}

// Drain is the draining of a database, at the time of its acknowledgement.
type Drain struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	At       time.Duration `json:"at"`
}

// Promotion is the promotion of a database to the primary of a term, with the ids of the writes
// in its log. At the end of a history, each service has one without a term, which records the
// final log of its primary.
type Promotion struct {
	Service  string        `json:"svc"`
	Database string        `json:"database"`
	Term     int64         `json:"term,omitempty"`
	WriteIDs []string      `json:"holds"`
	At       time.Duration `json:"at"`
}

// Fault is a fault injected into a node or a database.
type Fault struct {
	Kind    string `json:"kind"`
	Node    string `json:"node"`
	Control bool   `json:"control,omitempty"` // it affects control nodes
	Planned bool   `json:"planned,omitempty"` // it was announced to the process, which could prepare
	// DependencyOnly is set if the fault affects only what the node depends on, and neither its own
	// process nor its connections to clients.
	DependencyOnly bool `json:"elsewhere,omitempty"`
	// AllNodes is set if the fault affects every node.
	AllNodes bool `json:"everywhere,omitempty"`
	// RecordOnly is set if the fault is reported but relaxes no check.
	RecordOnly bool          `json:"calm,omitempty"`
	At         time.Duration `json:"at"`
	End        time.Duration `json:"till"`
}

// Probe is an attempt of a client to use one of the routes that operators change.
type Probe struct {
	Pooler string        `json:"pooler"`
	Route  string        `json:"route"`
	Served bool          `json:"served,omitempty"` // otherwise the answer was that there is no such route
	Sent   time.Duration `json:"sent"`
	Done   time.Duration `json:"done"`
}

// Bounds are the time bounds of the rules.
type Bounds struct {
	Drain         time.Duration // how long requests may start at a database after its draining was acknowledged
	Apply         time.Duration // how long a node may take to apply a new configuration
	Recovery      time.Duration // how long after a fault a node's configuration is not checked
	AnswerGrace   time.Duration // how soon after a request its connection may close without an answer; it may not have been read
	DeadlineGrace time.Duration // how long after its deadline a request may be answered
}

// Traffic records what clients and databases observed, and the faults injected meanwhile. Times
// are relative to its start.
type Traffic struct {
	start time.Time

	mu         sync.Mutex
	statements []Statement
	runs       []Run
	drains     []Drain
	promotions []Promotion
	faults     []Fault
	probes     []Probe
}

// NewTraffic returns an empty record with the same start time as the orders.
func NewTraffic(orders *Orders) *Traffic { return &Traffic{start: orders.start} }

// Now returns the time since the start.
func (t *Traffic) Now() time.Duration { return time.Since(t.start) }

// Offset returns the time from the start to the given time.
func (t *Traffic) Offset(at time.Time) time.Duration { return at.Sub(t.start) }

// AddStatement records a statement.
func (t *Traffic) AddStatement(s Statement) { t.add(func() { t.statements = append(t.statements, s) }) }

// AddRun records a run.
func (t *Traffic) AddRun(r Run) { t.add(func() { t.runs = append(t.runs, r) }) }

// AddDrain records an acknowledged draining.
func (t *Traffic) AddDrain(d Drain) { t.add(func() { t.drains = append(t.drains, d) }) }

// AddPromotion records a promotion.
func (t *Traffic) AddPromotion(p Promotion) { t.add(func() { t.promotions = append(t.promotions, p) }) }

// openEnded stands for the end of a fault that has not ended yet. It is later than any run ends.
const openEnded = 24 * time.Hour

// BeginFault records the start of a fault and returns its number.
func (t *Traffic) BeginFault(f Fault) (number int) {
	f.End = openEnded
	t.add(func() {
		number = len(t.faults)
		t.faults = append(t.faults, f)
	})
	return number
}

// EndFault records the end of a fault.
func (t *Traffic) EndFault(number int) {
	now := t.Now()
	t.add(func() { t.faults[number].End = now })
}

// AddProbe records a probe.
func (t *Traffic) AddProbe(p Probe) { t.add(func() { t.probes = append(t.probes, p) }) }

// add calls record with t.mu held.
func (t *Traffic) add(record func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	record()
}

// Statements returns the statements recorded so far.
func (t *Traffic) Statements() []Statement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.statements)
}

// Faults returns the faults recorded so far.
func (t *Traffic) Faults() []Fault {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.faults)
}

// Breaches checks the traffic and returns the violations in order of time. The orders determine
// which routes existed when.
func (t *Traffic) Breaches(orders *Orders, b Bounds) []Breach {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newTrafficCheck(t, b)
	c.checkLostWrites()
	c.checkUnanswered()
	c.checkLateAnswers()
	c.checkStaleReads()
	c.checkDrains()
	c.checkRouting()
	c.checkSinglePrimary()
	c.checkProbes(orders)
	c.checkConfigOrder(orders)
	slices.SortStableFunc(c.breaches, func(a, b Breach) int { return int(a.At - b.At) })
	return c.breaches
}

// CheckedProbes returns how many probes are checked against the configuration in force, and how
// many there are. Probes near a fault that may delay the configuration are not checked.
func (t *Traffic) CheckedProbes(b Bounds) (checked, all int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := newTrafficCheck(t, b)
	for _, p := range t.probes {
		if !c.disturbed(p) {
			checked++
		}
	}
	return checked, len(t.probes)
}

// trafficCheck is one check of a traffic history.
type trafficCheck struct {
	traffic  *Traffic
	bounds   Bounds
	faults   []Fault // without those that are RecordOnly
	breaches []Breach
}

func newTrafficCheck(t *Traffic, b Bounds) *trafficCheck {
	faults := slices.DeleteFunc(slices.Clone(t.faults), func(f Fault) bool { return f.RecordOnly })
	return &trafficCheck{traffic: t, bounds: b, faults: faults}
}

func (c *trafficCheck) addBreach(rule string, at time.Duration, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{rule, at, fmt.Sprintf(format, args...)})
}

// checkLostWrites checks that a promoted database, and the primary at the end, has every write
// that was acknowledged to a client before.
func (c *trafficCheck) checkLostWrites() {
	for _, p := range c.traffic.promotions {
		logged := make(map[string]bool, len(p.WriteIDs))
		for _, id := range p.WriteIDs {
			logged[id] = true
		}
		for _, s := range c.traffic.statements {
			if s.Write && s.Code == "" && s.Service == p.Service && s.Done < p.At && !logged[s.ID] {
				c.addBreach(RuleLost, p.At, "%s lacks %s, acknowledged at %.3f s", p.Database, s.ID, s.Done.Seconds())
			}
		}
	}
}

// faultDuring reports whether a matching fault was present in a time span, or had ended less than
// Bounds.Recovery before it.
func (c *trafficCheck) faultDuring(from, to time.Duration, matches func(Fault) bool) bool {
	return slices.ContainsFunc(c.faults, func(f Fault) bool {
		return matches(f) && f.At <= to && f.End+c.bounds.Recovery >= from
	})
}

// checkStaleReads checks that a read sees every write that was acknowledged more than its
// permitted lag before it was sent.
func (c *trafficCheck) checkStaleReads() {
	writes := map[string][]Statement{}
	for _, s := range c.traffic.statements {
		if s.Write && s.Code == "" {
			writes[s.Key] = append(writes[s.Key], s)
		}
	}
	for _, s := range c.traffic.statements {
		if s.Write || s.Code != "" {
			continue
		}
		for _, w := range writes[s.Key] {
			if w.Done < s.Sent-s.MaxLag && w.Value > s.Value {
				c.addBreach(RuleStale, s.Done, "%s read %d of %s, %d was acknowledged at %.3f s", s.ID, s.Value, s.Key, w.Value, w.Done.Seconds())
				break
			}
		}
	}
}

// checkDrains checks that no statement or transaction begins at a database more than Bounds.Drain
// after its draining was acknowledged.
func (c *trafficCheck) checkDrains() {
	drained := map[string]time.Duration{} // time of the first acknowledgement by database
	for _, d := range c.traffic.drains {
		if at, known := drained[d.Database]; !known || d.At < at {
			drained[d.Database] = d.At
		}
	}
	for _, r := range c.traffic.runs {
		if at, draining := drained[r.Database]; draining && r.Begins && r.At-at > c.bounds.Drain {
			c.addBreach(RuleDrain, r.At, "%s begins at %s %v after its leaving was acknowledged", r.ID, r.Database, r.At-at)
		}
	}
}

// checkRouting checks that a database runs only statements that a client sent on a route to the
// database's service.
func (c *trafficCheck) checkRouting() {
	services := make(map[string]string, len(c.traffic.statements)) // by statement id
	for _, s := range c.traffic.statements {
		services[s.ID] = s.Service
	}
	for _, r := range c.traffic.runs {
		if service, known := services[r.ID]; known && service != r.Service {
			c.addBreach(RuleRoute, r.At, "%s, asked of %s, runs at %s of %s", r.ID, service, r.Database, r.Service)
		}
	}
}

// checkSinglePrimary checks that a term of a service has at most one primary.
func (c *trafficCheck) checkSinglePrimary() {
	type term struct {
		service string
		number  int64
	}
	primaries := map[term]string{}
	for _, p := range c.traffic.promotions {
		if p.Term == 0 {
			continue
		}
		current := term{p.Service, p.Term}
		if other, found := primaries[current]; found && other != p.Database {
			c.addBreach(RuleSinglePrimary, p.At, "%s and %s both lead %s in term %d", other, p.Database, p.Service, p.Term)
		}
		primaries[current] = p.Database
	}
}

// disturbed reports whether a fault of the probed node or of the control nodes may have affected
// a probe. A change of settings does not count as a fault.
func (c *trafficCheck) disturbed(p Probe) bool {
	return c.faultDuring(p.Sent, p.Done, func(f Fault) bool {
		return f.Kind != settingsChange && (f.Control || f.Node == p.Pooler)
	})
}

// settingsChange is the kind of fault that changes a node's settings (SIGHUP).
const settingsChange = "hup"

// checkProbes checks that a proxy without disturbance serves the routes of the configuration in
// force, and no others, once it has been in force for Bounds.Apply.
func (c *trafficCheck) checkProbes(orders *Orders) {
	versions := orders.committedVersions()
	for _, p := range c.traffic.probes {
		if c.disturbed(p) {
			continue
		}
		present, absent := versions.routePresence(p.Route, p.Sent-c.bounds.Apply, p.Done)
		if p.Served && !present && absent {
			c.addBreach(RuleConfig, p.Done, "%s serves %s, which was dropped", p.Pooler, p.Route)
		}
		if !p.Served && present && !absent {
			c.addBreach(RuleConfig, p.Done, "%s does not serve %s, which was added", p.Pooler, p.Route)
		}
	}
}
