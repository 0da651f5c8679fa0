// Package history records what clients, operators, databases and the platform observed, and
// checks it against the guarantees that the system gives its users. It must not depend on the
// implementation: the rules are written independently of the code that they check.
package history

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"
)

// Order is a configuration change that an operator sends: either all routes of a new
// configuration or, for an update, the routes to add or change. Routes maps their names to their
// deadlines in milliseconds. Every order contains the route markRoute, whose deadline is unique
// to the order.
type Order struct {
	Update  bool             `json:"update,omitempty"` // adds to the version Base instead of replacing it
	Base    int64            `json:"base"`             // the version that it is based on
	Rev     int64            `json:"rev"`
	Routes  map[string]int64 `json:"routes"`
	Invalid string           `json:"invalid,omitempty"` // the kind of error in it, "" if it is valid
}

// markRoute is the name of the route whose deadline identifies an order in a configuration.
const markRoute = "mark"

// Kinds of invalid orders.
const (
	UnknownService = "unknown_service" // a route to a service that does not exist
	Truncated      = "cut_short"       // a JSON document whose last quarter is missing
	NoDeadline     = "no_deadline"     // a route with a deadline of 0
	DuplicateRoute = "same_place"      // two routes with the same host and path prefix
)

// InvalidKinds lists the kinds of invalid orders.
var InvalidKinds = []string{UnknownService, Truncated, NoDeadline, DuplicateRoute}

// Template is the part of a configuration that all orders of a history share.
type Template struct {
	Service       string // the service of the orders' routes
	Type          string // the type of the orders' routes; "" means primary
	Routes        []TemplateRoute
	OtherServices []string // services in addition to Service
}

// TemplateRoute is a route that is in every configuration.
type TemplateRoute struct{ Host, Prefix, Type, Service string }

// wireRoute, wireService, wireOrder and wireUpsert are an order as the control API accepts it.
type wireRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Type       string `json:"type"`
	Service    string `json:"svc"`
	DeadlineMs int64  `json:"deadline_ms"`
	TargetMs   int64  `json:"target_ms,omitempty"`
	Tries      int    `json:"tries,omitempty"`
	StaleMs    int64  `json:"stale_ms,omitempty"`
}

type wireService struct {
	Name         string `json:"name"`
	MaxConns     int    `json:"max_conns"`
	SyncReplicas int    `json:"sync_replicas"`
}

type wireOrder struct {
	Rev      int64         `json:"rev"`
	Routes   []wireRoute   `json:"routes,omitempty"`
	Services []wireService `json:"services,omitempty"`
	Upsert   *wireUpsert   `json:"upsert,omitempty"`
}

type wireUpsert struct {
	Routes []wireRoute `json:"routes"`
}

// Settings of the routes and services that the template adds.
const (
	templateDeadlineMs = 2000
	templateTargetMs   = 250
	templateStaleMs    = 1500
	templateTries      = 2
	templateMaxConns   = 90
)

// Body returns the order as the JSON document that is sent to the control API, with what the
// template adds unless the order is an update.
func (o Order) Body(t Template) []byte {
	var routes []wireRoute
	for _, name := range slices.Sorted(maps.Keys(o.Routes)) {
		routes = append(routes, wireRoute{Name: name, Host: name, PathPrefix: "/", Type: cmp.Or(t.Type, "primary"), Service: t.Service, DeadlineMs: o.Routes[name]})
	}
	switch o.Invalid {
	case UnknownService:
		routes[0].Service = "nowhere"
	case NoDeadline:
		routes[0].DeadlineMs = 0
	case DuplicateRoute:
		duplicate := routes[0]
		duplicate.Name += "-again"
		routes = append(routes, duplicate)
	}
	content := wireOrder{Rev: o.Rev, Upsert: &wireUpsert{routes}}
	if !o.Update {
		content = wireOrder{Rev: o.Rev, Routes: append(routes, t.wireRoutes()...), Services: t.wireServices()}
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err) // unreachable: every value of this type can be encoded
	}
	if o.Invalid == Truncated {
		raw = raw[:len(raw)-len(raw)/4]
	}
	return raw
}

func (t Template) wireRoutes() (out []wireRoute) {
	for _, r := range t.Routes {
		out = append(out, wireRoute{
			Name: "frame-" + r.Host + r.Prefix, Host: r.Host, PathPrefix: cmp.Or(r.Prefix, "/"), Type: r.Type, Service: r.Service,
			DeadlineMs: templateDeadlineMs, TargetMs: templateTargetMs, Tries: templateTries, StaleMs: templateStaleMs,
		})
	}
	return out
}

func (t Template) wireServices() (out []wireService) {
	for _, name := range append([]string{t.Service}, t.OtherServices...) {
		out = append(out, wireService{name, templateMaxConns, 1})
	}
	return out
}

// Answer is the response to a call that sent an order: status 200, a refusal, or another code if
// the outcome is unknown. SentSeq and DoneSeq are the logical times of call and response.
type Answer struct {
	Order   int           `json:"order"`
	SentSeq int           `json:"asked"`
	DoneSeq int           `json:"came"`
	Code    int           `json:"code"`
	Sent    time.Duration `json:"sent_ns"`
	Done    time.Duration `json:"done_ns"`
}

// Reading is a configuration that was read back. SentSeq and DoneSeq are the logical times of
// call and response.
type Reading struct {
	SentSeq int              `json:"asked"`
	DoneSeq int              `json:"came"`
	Rev     int64            `json:"rev"`
	Routes  map[string]int64 `json:"routes"`
	Done    time.Duration    `json:"done_ns"`
}

// Orders records the orders that operators sent, their answers and the configurations read back,
// ordered by a logical clock.
type Orders struct {
	start time.Time

	mu       sync.Mutex
	lastSeq  int // the logical clock
	orders   []Order
	answers  []Answer
	readings []Reading
}

// NewOrders returns a history without orders.
func NewOrders() *Orders { return &Orders{start: time.Now()} }

// Timestamp is the logical and the physical time at which an operation started.
type Timestamp struct {
	seq int
	at  time.Duration // since the start of the history
}

// Tick advances the logical clock and returns the current time.
func (h *Orders) Tick() Timestamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tick()
}

func (h *Orders) tick() Timestamp {
	h.lastSeq++
	return Timestamp{h.lastSeq, time.Since(h.start)}
}

// Add records an order that is about to be sent and returns its number.
func (h *Orders) Add(o Order) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.Routes = maps.Clone(o.Routes)
	o.Routes[markRoute] = int64(len(h.orders)) + 1
	h.orders = append(h.orders, o)
	return len(h.orders) - 1
}

// Get returns an order by its number.
func (h *Orders) Get(n int) Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.orders[n]
}

// All returns all orders, indexed by number.
func (h *Orders) All() []Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.orders)
}

// Acknowledged returns the numbers of the acknowledged orders, by first acknowledgement.
func (h *Orders) Acknowledged() (numbers []int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.answers {
		if a.Code == 200 && !slices.Contains(numbers, a.Order) {
			numbers = append(numbers, a.Order)
		}
	}
	return numbers
}

// Answers returns the answers recorded so far.
func (h *Orders) Answers() []Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.answers)
}

// Readings returns the readings recorded so far.
func (h *Orders) Readings() []Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.readings)
}

// AddAnswer records the answer, received now, to order n, sent at the given time.
func (h *Orders) AddAnswer(n int, sent Timestamp, code int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.tick()
	h.answers = append(h.answers, Answer{n, sent.seq, now.seq, code, sent.at, now.at})
}

// AddReading records a configuration, received now, that a call sent at the given time read back.
func (h *Orders) AddReading(sent Timestamp, rev int64, routes map[string]int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.tick()
	h.readings = append(h.readings, Reading{sent.seq, now.seq, rev, routes, now.at})
}

// Breach is a violation of a rule in a history.
type Breach struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"` // when it became visible
	Text string        `json:"text"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
}

// Rules that histories are checked against.
const (
	RuleConfig        = "CONFIG" // configurations are kept and applied in order and in time, with their deadlines
	RuleLost          = "LOST"   // acknowledged writes are kept, and statements are answered
	RuleStale         = "STALE"  // reads are no older than their route allows
	RuleDrain         = "DRAIN"  // no request starts at a database long after its draining was acknowledged
	RuleRoute         = "ROUTE"  // a request runs only at a database of its route's service
	RuleSinglePrimary = "ONE"    // a term of a service has at most one primary
)

// Breaches checks the history and returns the violations. It takes the last reading as the final
// configuration.
func (h *Orders) Breaches() (out []Breach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := orderCheck{history: h, committed: map[int64]int{}}
	c.collectCommitted()
	c.checkBases()
	c.checkRefusals()
	c.checkReadings()
	return c.breaches
}

// orderCheck is a check of an order history.
type orderCheck struct {
	history   *Orders
	committed map[int64]int // number of the order by version; acknowledged or read back
	breaches  []Breach
}

func (c *orderCheck) addBreach(at time.Duration, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{RuleConfig, at, fmt.Sprintf(format, args...)})
}

// addCommitted records that order n put a version in force.
func (c *orderCheck) addCommitted(at time.Duration, rev int64, n int) {
	if previous, found := c.committed[rev]; found && previous != n {
		c.addBreach(at, "version %d was made by order %d and by %d", rev, previous, n)
	}
	c.committed[rev] = n
}

// collectCommitted collects the versions that were acknowledged or read back. A version that is
// read back must match an order.
func (c *orderCheck) collectCommitted() {
	for _, a := range c.history.answers {
		if a.Code == 200 {
			c.addCommitted(a.Done, c.history.orders[a.Order].Rev, a.Order)
		}
	}
	for _, r := range c.history.readings {
		n := int(r.Routes[markRoute]) - 1
		if n < 0 || n >= len(c.history.orders) || c.history.orders[n].Rev != r.Rev {
			c.addBreach(r.Done, "version %d is read back, but no order made it", r.Rev)
			continue
		}
		c.addCommitted(r.Done, r.Rev, n)
	}
}

// ackTime returns when an order was first acknowledged, or 0 if it never was.
func (c *orderCheck) ackTime(n int) time.Duration {
	for _, a := range c.history.answers {
		if a.Order == n && a.Code == 200 {
			return a.Done
		}
	}
	return 0
}

// checkBases checks that each version in force is valid and not based on a version older than
// its predecessor.
func (c *orderCheck) checkBases() {
	last := int64(0)
	for _, rev := range slices.Sorted(maps.Keys(c.committed)) {
		n := c.committed[rev]
		o := c.history.orders[n]
		if o.Base < last {
			c.addBreach(c.ackTime(n), "versions %d and %d are both in force on top of %d", last, rev, o.Base)
		}
		if o.Invalid != "" || o.Rev <= o.Base {
			c.addBreach(c.ackTime(n), "order %d is invalid and in force", n)
		}
		last = rev
	}
}

// checkRefusals checks that a refused order is not in force, and that a valid one is refused only
// with status 412 and only if its base was no longer the newest version.
func (c *orderCheck) checkRefusals() {
	final := int64(0)
	if n := len(c.history.readings); n > 0 {
		final = c.history.readings[n-1].Rev
	}
	for _, a := range c.history.answers {
		o := c.history.orders[a.Order]
		switch n, found := c.committed[o.Rev]; {
		case a.Code < 400 || a.Code >= 500:
		case found && n == a.Order:
			c.addBreach(a.Done, "order %d was refused with %d and is in force", a.Order, a.Code)
		case a.Code != 412 && o.Invalid == "":
			c.addBreach(a.Done, "order %d is valid and was refused with %d", a.Order, a.Code)
		case o.Invalid == "" && final <= o.Base:
			c.addBreach(a.Done, "order %d was refused with %d, but its base is still the newest version", a.Order, a.Code)
		}
	}
}

// checkReadings checks that no reading is older than a version that was acknowledged or read
// back before the call, and that it shows the routes that its order results in.
func (c *orderCheck) checkReadings() {
	for _, r := range c.history.readings {
		for _, a := range c.history.answers {
			if a.Code == 200 && a.DoneSeq < r.SentSeq && c.history.orders[a.Order].Rev > r.Rev {
				c.addBreach(r.Done, "version %d is read back after %d was acknowledged", r.Rev, c.history.orders[a.Order].Rev)
			}
		}
		for _, other := range c.history.readings {
			if other.DoneSeq < r.SentSeq && other.Rev > r.Rev {
				c.addBreach(r.Done, "version %d is read back after %d was", r.Rev, other.Rev)
			}
		}
		if n, found := c.committed[r.Rev]; found {
			if want := c.resultingRoutes(n); want != nil && !maps.Equal(want, r.Routes) {
				c.addBreach(r.Done, "version %d is read back as %v, and order %d makes %v", r.Rev, r.Routes, n, want)
			}
		}
	}
}

// resultingRoutes returns the routes of the configuration that a committed order results in, or
// nil if its base is unknown.
func (c *orderCheck) resultingRoutes(n int) map[string]int64 {
	o := c.history.orders[n]
	if !o.Update {
		return o.Routes
	}
	base, found := c.committed[o.Base]
	if !found || o.Base >= o.Rev {
		return nil
	}
	routes := maps.Clone(c.resultingRoutes(base))
	if routes != nil {
		maps.Copy(routes, o.Routes)
	}
	return routes
}
