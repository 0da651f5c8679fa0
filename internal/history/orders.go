// Package history keeps what clients, operators, databases and the platform saw,
// and checks it against the rules that users rest on. It knows nothing of how the
// system works, and must not: what it checks is written apart from it.
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

// Order is a change of the configuration as an operator sends it: the routes
// of a whole configuration, or those that it adds, by name with their
// deadlines. One route, mark, is in every order, with another deadline in each.
type Order struct {
	Update  bool             `json:"update,omitempty"`
	Base    int64            `json:"base"`
	Rev     int64            `json:"rev"`
	Routes  map[string]int64 `json:"routes"`
	Invalid string           `json:"invalid,omitempty"` // what is wrong with it, "" if nothing
}

// mark is the name of the route by which an order is known.
const mark = "mark"

// What may be wrong with an order.
const (
	UnknownService = "unknown_service"
	CutShort       = "cut_short"
	NoDeadline     = "no_deadline"
	SamePlace      = "same_place"
)

// Faults are all of them.
var Faults = []string{UnknownService, CutShort, NoDeadline, SamePlace}

// Frame is what every order of a history has besides its own routes.
type Frame struct {
	Service string // of the orders' routes
	Type    string // of the orders' routes; primary if ""
	Routes  []FrameRoute
	Others  []string // more services
}

// FrameRoute is a route that is in every configuration.
type FrameRoute struct{ Host, Prefix, Type, Service string }

type wireRoute struct {
	Name       string `json:"name"`
	Host       string `json:"host"`
	Prefix     string `json:"path_prefix"`
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

const (
	frameDeadlineMs = 2000
	frameTargetMs   = 250
	frameStaleMs    = 1500
	frameTries      = 2
	frameMaxConns   = 90
)

// Body is the order as it is sent.
func (o Order) Body(f Frame) []byte {
	var routes []wireRoute
	for _, name := range slices.Sorted(maps.Keys(o.Routes)) {
		routes = append(routes, wireRoute{Name: name, Host: name, Prefix: "/", Type: cmp.Or(f.Type, "primary"), Service: f.Service, DeadlineMs: o.Routes[name]})
	}
	switch o.Invalid {
	case UnknownService:
		routes[0].Service = "nowhere"
	case NoDeadline:
		routes[0].DeadlineMs = 0
	case SamePlace:
		again := routes[0]
		again.Name += "-again"
		routes = append(routes, again)
	}
	content := wireOrder{Rev: o.Rev, Upsert: &wireUpsert{routes}}
	if !o.Update {
		content = wireOrder{Rev: o.Rev, Routes: append(routes, f.routes()...), Services: f.services()}
	}
	raw, err := json.Marshal(content)
	if err != nil {
		panic(err) // such a value can always be written
	}
	if o.Invalid == CutShort {
		raw = raw[:len(raw)-len(raw)/4]
	}
	return raw
}

func (f Frame) routes() (out []wireRoute) {
	for _, r := range f.Routes {
		out = append(out, wireRoute{
			Name: "frame-" + r.Host + r.Prefix, Host: r.Host, Prefix: cmp.Or(r.Prefix, "/"), Type: r.Type, Service: r.Service,
			DeadlineMs: frameDeadlineMs, TargetMs: frameTargetMs, Tries: frameTries, StaleMs: frameStaleMs,
		})
	}
	return out
}

func (f Frame) services() (out []wireService) {
	for _, name := range append([]string{f.Service}, f.Others...) {
		out = append(out, wireService{name, frameMaxConns, 1})
	}
	return out
}

// Answer is what a call with an order got: 200, a refusal, or nothing clear. Asked
// and Came count the history's moments.
type Answer struct {
	Order int           `json:"order"`
	Asked int           `json:"asked"`
	Came  int           `json:"came"`
	Code  int           `json:"code"`
	Sent  time.Duration `json:"sent_ns"`
	Done  time.Duration `json:"done_ns"`
}

// Reading is a configuration that was read back.
type Reading struct {
	Asked  int              `json:"asked"`
	Came   int              `json:"came"`
	Rev    int64            `json:"rev"`
	Routes map[string]int64 `json:"routes"`
	Done   time.Duration    `json:"done_ns"`
}

// Orders is what operators did and saw, in the order of an own count.
type Orders struct {
	began time.Time

	mu       sync.Mutex
	count    int
	orders   []Order
	answers  []Answer
	readings []Reading
}

// NewOrders returns a history without orders.
func NewOrders() *Orders { return &Orders{began: time.Now()} }

// Moment is when something began.
type Moment struct {
	count int
	at    time.Duration
}

// Tick returns the next moment.
func (h *Orders) Tick() Moment {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tick()
}

func (h *Orders) tick() Moment {
	h.count++
	return Moment{h.count, time.Since(h.began)}
}

// Add notes an order that is about to be sent and returns its number.
func (h *Orders) Add(o Order) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.Routes = maps.Clone(o.Routes)
	o.Routes[mark] = int64(len(h.orders)) + 1
	h.orders = append(h.orders, o)
	return len(h.orders) - 1
}

// Get returns an order by its number.
func (h *Orders) Get(n int) Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.orders[n]
}

// All returns the orders by their numbers.
func (h *Orders) All() []Order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.orders)
}

// Acknowledged lists the orders that were.
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

// Answers returns the answers so far.
func (h *Orders) Answers() []Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.answers)
}

// Readings returns what was read back so far.
func (h *Orders) Readings() []Reading {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.readings)
}

// Answered notes the answer to an order that was asked then.
func (h *Orders) Answered(n int, asked Moment, code int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.tick()
	h.answers = append(h.answers, Answer{n, asked.count, now.count, code, asked.at, now.at})
}

// Read notes what was read back.
func (h *Orders) Read(asked Moment, rev int64, routes map[string]int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.tick()
	h.readings = append(h.readings, Reading{asked.count, now.count, rev, routes, now.at})
}

// Breach is a rule that a history breaks.
type Breach struct {
	Rule string        `json:"rule"`
	At   time.Duration `json:"at_ns"` // when it showed
	Text string        `json:"text"`
}

func (b Breach) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
}

// Rules.
const (
	Config  = "CONFIG"
	Lost    = "LOST"
	StaleIs = "STALE"
	Drain   = "DRAIN"
	Route   = "ROUTE"
	One     = "ONE"
)

// Breaches lists what the rules do not allow. The last reading is taken for the
// end.
func (h *Orders) Breaches() (out []Breach) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := chain{h: h, made: map[int64]int{}}
	c.collect()
	c.checkChain()
	c.checkRefusals()
	c.checkReadings()
	return c.out
}

// chain is the versions that were in force, as far as they were seen.
type chain struct {
	h    *Orders
	made map[int64]int // order by version: it was acknowledged or read back
	out  []Breach
}

func (c *chain) broke(at time.Duration, format string, args ...any) {
	c.out = append(c.out, Breach{Config, at, fmt.Sprintf(format, args...)})
}

// in notes that a version was in force.
func (c *chain) in(at time.Duration, rev int64, n int) {
	if was, there := c.made[rev]; there && was != n {
		c.broke(at, "version %d was made by order %d and by %d", rev, was, n)
	}
	c.made[rev] = n
}

func (c *chain) collect() {
	for _, a := range c.h.answers {
		if a.Code == 200 {
			c.in(a.Done, c.h.orders[a.Order].Rev, a.Order)
		}
	}
	for _, r := range c.h.readings {
		n := int(r.Routes[mark]) - 1
		if n < 0 || n >= len(c.h.orders) || c.h.orders[n].Rev != r.Rev {
			c.broke(r.Done, "version %d is read back, and no order was like that", r.Rev)
			continue
		}
		c.in(r.Done, r.Rev, n)
	}
}

// acked is when an order was acknowledged first, 0 if it never was.
func (c *chain) acked(n int) time.Duration {
	for _, a := range c.h.answers {
		if a.Order == n && a.Code == 200 {
			return a.Done
		}
	}
	return 0
}

func (c *chain) checkChain() {
	last := int64(0)
	for _, rev := range slices.Sorted(maps.Keys(c.made)) {
		n := c.made[rev]
		o := c.h.orders[n]
		if o.Base < last {
			c.broke(c.acked(n), "versions %d and %d are both in force on top of %d", last, rev, o.Base)
		}
		if o.Invalid != "" || o.Rev <= o.Base {
			c.broke(c.acked(n), "order %d is invalid and in force", n)
		}
		last = rev
	}
}

func (c *chain) checkRefusals() {
	end := int64(0)
	if n := len(c.h.readings); n > 0 {
		end = c.h.readings[n-1].Rev
	}
	for _, a := range c.h.answers {
		o := c.h.orders[a.Order]
		switch n, there := c.made[o.Rev]; {
		case a.Code < 400 || a.Code >= 500:
		case there && n == a.Order:
			c.broke(a.Done, "order %d was refused with %d and is in force", a.Order, a.Code)
		case a.Code != 412 && o.Invalid == "":
			c.broke(a.Done, "order %d is valid and was refused with %d", a.Order, a.Code)
		case o.Invalid == "" && end <= o.Base:
			c.broke(a.Done, "order %d was refused with %d, and nothing took its base", a.Order, a.Code)
		}
	}
}

func (c *chain) checkReadings() {
	for _, r := range c.h.readings {
		for _, a := range c.h.answers {
			if a.Code == 200 && a.Came < r.Asked && c.h.orders[a.Order].Rev > r.Rev {
				c.broke(r.Done, "version %d is read back after %d was acknowledged", r.Rev, c.h.orders[a.Order].Rev)
			}
		}
		for _, other := range c.h.readings {
			if other.Came < r.Asked && other.Rev > r.Rev {
				c.broke(r.Done, "version %d is read back after %d was", r.Rev, other.Rev)
			}
		}
		if n, there := c.made[r.Rev]; there {
			if want := c.content(n); want != nil && !maps.Equal(want, r.Routes) {
				c.broke(r.Done, "version %d is read back as %v, and order %d makes %v", r.Rev, r.Routes, n, want)
			}
		}
	}
}

// content is what an order that is in force makes; nil if it is not known what
// it builds on.
func (c *chain) content(n int) map[string]int64 {
	o := c.h.orders[n]
	if !o.Update {
		return o.Routes
	}
	under, there := c.made[o.Base]
	if !there || o.Base >= o.Rev {
		return nil
	}
	routes := maps.Clone(c.content(under))
	if routes != nil {
		maps.Copy(routes, o.Routes)
	}
	return routes
}
