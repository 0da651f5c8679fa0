// Package routeconfig keeps the configuration: it checks what the operator
// sends, lets one change win on each version, and answers what is in force.
package routeconfig

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// Types of routes: of sessions the first three, of requests the others.
const (
	Primary    = "primary"
	Bounded    = "bounded"
	Nearest    = "nearest"
	Idempotent = "idempotent"
	Mutating   = "mutating"
)

// Route sends a database name that sessions use, or the requests of a host and
// path, to a service or, by weights, to several.
type Route struct {
	Name   string `json:"name" validate:"required"`
	Host   string `json:"host" validate:"required"`
	Prefix string `json:"path_prefix"`
	Manner
	Service  string  `json:"svc,omitempty"`
	Weighted []Share `json:"weighted,omitempty" validate:"dive"`
}

// Manner is how a route serves, whatever its name and wherever it leads.
type Manner struct {
	Type       string `json:"type" validate:"oneof=primary bounded nearest idempotent mutating"`
	DeadlineMs int64  `json:"deadline_ms" validate:"gt=0"`
	TargetMs   int64  `json:"target_ms" validate:"gte=0"`
	Prio       int    `json:"prio" validate:"gte=0"`
	Tries      int    `json:"tries" validate:"gte=0"`
	StaleMs    int64  `json:"stale_ms,omitempty" validate:"gte=0"`
	MaxStaleMs int64  `json:"max_stale_ms,omitempty" validate:"gte=0"` // the same by its other name
	Public     bool   `json:"public,omitempty"`                        // needs no key
}

// Stale is how old what is read may be.
func (m Manner) Stale() kernel.Micros {
	return kernel.Micros(cmp.Or(m.StaleMs, m.MaxStaleMs)) * kernel.Millisecond
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string  `json:"svc" validate:"required"`
	Weight  float64 `json:"share" validate:"gte=0"`
}

// Service is a group of databases.
type Service struct {
	Name         string `json:"name" validate:"required"`
	HealthPath   string `json:"health_path"`
	MaxConns     int    `json:"max_conns" validate:"gte=0"`
	Protocol     string `json:"protocol"`
	TLS          bool   `json:"tls"`
	SyncReplicas int    `json:"sync_replicas" validate:"gte=0"`
}

// Limits bound what clients may do.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes" validate:"gte=0"`
	MaxBodyBytes    int64 `json:"max_body_bytes" validate:"gte=0"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms" validate:"gte=0"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms" validate:"gte=0"`
	TxnIdleMs       int64 `json:"txn_idle_ms" validate:"gte=0"`
}

// Configuration is a whole configuration.
type Configuration struct {
	Rev      int64     `json:"rev" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"services" validate:"dive"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty" validate:"dive"`
}

// Fault says which field of a configuration is wrong.
type Fault struct{ Field, Reason string }

func (f Fault) Error() string { return f.Field + ": " + f.Reason }

var checker = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}()

// Parse reads a configuration and returns every fault it has by itself.
func Parse(raw []byte) (*Configuration, []Fault) {
	c := &Configuration{}
	if !json.Valid(raw) {
		return nil, []Fault{{"body", "is not JSON in full"}}
	}
	if err := json.Unmarshal(raw, c); err != nil {
		field := "body"
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) && t.Field != "" {
			field = t.Field
		}
		return nil, []Fault{{field, "has the wrong type"}}
	}
	var faults []Fault
	var bad validator.ValidationErrors
	if err := checker.Struct(c); errors.As(err, &bad) {
		for _, f := range bad {
			_, place, _ := strings.Cut(strings.NewReplacer(".Manner.", ".", ".TenantTerms.", ".").Replace(f.Namespace()), ".")
			reason := "fails " + f.Tag()
			if f.Param() != "" {
				reason += "=" + f.Param()
			}
			faults = append(faults, Fault{place, reason})
		}
	}
	services := map[string]bool{}
	for i, s := range c.Services {
		if services[s.Name] {
			faults = append(faults, Fault{fmt.Sprintf("services[%d].name", i), "is there twice"})
		}
		services[s.Name] = true
	}
	type match struct{ host, prefix string }
	matches := map[match]bool{}
	for i, r := range c.Routes {
		faults = append(faults, r.faults(fmt.Sprintf("routes[%d]", i), services)...)
		m := match{r.Host, r.Prefix}
		if matches[m] {
			faults = append(faults, Fault{fmt.Sprintf("routes[%d].host", i), "same host and path_prefix as another route"})
		}
		matches[m] = true
	}
	faults = append(faults, checkTenants(c.Tenants)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// faults returns what is wrong with the route by itself and with where it leads.
func (r Route) faults(place string, services map[string]bool) (faults []Fault) {
	if (len(r.Weighted) == 0 || r.Service != "") && !services[r.Service] {
		faults = append(faults, Fault{place + ".svc", "names an unknown service"})
	}
	if r.StaleMs > 0 && r.MaxStaleMs > 0 && r.StaleMs != r.MaxStaleMs {
		faults = append(faults, Fault{place + ".max_stale_ms", "is not the same as stale_ms"})
	}
	if len(r.Weighted) == 0 {
		return faults
	}
	sum := 0.0
	for i, s := range r.Weighted {
		sum += s.Weight
		if !services[s.Service] {
			faults = append(faults, Fault{fmt.Sprintf("%s.weighted[%d].svc", place, i), "names an unknown service"})
		}
	}
	if sum <= 0 {
		faults = append(faults, Fault{place + ".weighted", "the shares add up to 0"})
	}
	return faults
}

// Key is the entry of the control state that holds the configuration.
const Key = "configuration"

// stored keeps the body as it was sent: read back, it must not differ.
type stored struct {
	Rev    int64           `json:"rev"`
	Body   json.RawMessage `json:"body"`
	Orders int64           `json:"orders"` // taken so far: it gives the next one's place in the ledger
}

// MaxBody bounds a configuration, as it is sent and as it is kept: half of what
// one call between control nodes carries, and some 10,000 routes.
const MaxBody = 2 << 20

// Errors of this layer.
var (
	ErrOtherVersion = errors.New("routeconfig: another version is in place")
	ErrUnavailable  = errors.New("routeconfig: can't be changed now")
	// ErrForgotten says that an order may have been taken long ago: the ledger
	// does not reach back as far.
	ErrForgotten = errors.New("routeconfig: whether this was taken is not known any more")
)

// Invalid lists the faults for which a configuration was refused.
type Invalid struct{ Faults []Fault }

func (e *Invalid) Error() string { return "routeconfig: invalid configuration" }

// controlState is what the route configuration needs of the control state.
type controlState interface {
	Update(ctx context.Context, change controlstate.ChangeFunc) error
	Read(key string) (json.RawMessage, error)
}

// Registry keeps the configuration at a control node. The versions that were ever in force form a
// chain: each was made by the one order that was taken on top of the version
// before it, and its number is higher.
type Registry struct {
	k      *kernel.Kernel
	v      controlState
	ledger *ledger
}

// New returns the route configuration kept in v; its ledger holds that many orders.
func New(k *kernel.Kernel, v controlState, orders int64) *Registry {
	return &Registry{k, v, newLedger(orders)}
}

// Decode returns the configuration in an entry of the control state.
func Decode(entry json.RawMessage) (body json.RawMessage, c *Configuration, err error) {
	if entry == nil {
		return nil, nil, nil
	}
	var s stored
	if err := json.Unmarshal(entry, &s); err != nil {
		return nil, nil, fmt.Errorf("routeconfig: %w", err)
	}
	c = &Configuration{} // it was checked when it was taken
	if err := json.Unmarshal(s.Body, c); err != nil {
		return nil, nil, fmt.Errorf("routeconfig: %w", err)
	}
	return s.Body, c, nil
}

// Replace puts a configuration that builds on base in force.
func (c *Registry) Replace(ctx context.Context, base int64, raw []byte) error {
	conf, faults := Parse(raw)
	if faults != nil {
		return c.refuse(&Invalid{faults})
	}
	body, err := compact(raw)
	if err != nil {
		return c.refuse(err)
	}
	return c.change(ctx, newOrder("replace", base, conf.Rev, body), func(json.RawMessage) (json.RawMessage, error) {
		return body, nil
	})
}

// Update changes named items of the configuration base.
func (c *Registry) Update(ctx context.Context, base int64, raw []byte) error {
	p, err := parsePatch(raw)
	if err != nil {
		return c.refuse(err)
	}
	body, err := compact(raw)
	if err != nil {
		return c.refuse(err)
	}
	return c.change(ctx, newOrder("update", base, p.Rev, body), func(now json.RawMessage) (json.RawMessage, error) {
		next, err := p.apply(now)
		if err != nil {
			return nil, err
		}
		if _, faults := Parse(next); faults != nil {
			return nil, &Invalid{faults}
		}
		return next, nil
	})
}

func compact(raw []byte) ([]byte, error) {
	var body bytes.Buffer
	if err := json.Compact(&body, raw); err != nil {
		return nil, &Invalid{[]Fault{{"body", "is not JSON in full"}}}
	}
	return body.Bytes(), nil
}

// change puts what next makes of the body in place in force, if the order
// builds on that version. One that was taken before is acknowledged again, and
// one of which that can't be told is left without a clear answer.
func (c *Registry) change(ctx context.Context, o order, next func(json.RawMessage) (json.RawMessage, error)) error {
	if o.Rev <= o.Base { // no version was ever made like this
		return c.refuse(&Invalid{[]Fault{{"rev", fmt.Sprintf("is not higher than %d, on which it builds", o.Base)}}})
	}
	var fresh bool
	err := c.v.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		fresh = false
		var now stored
		if e := entries[Key]; e != nil {
			if err := json.Unmarshal(e, &now); err != nil {
				return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
			}
		}
		c.watch(entries, now)
		if o.Base != now.Rev {
			return nil, c.ledger.check(entries, now.Rev, o)
		}
		body, err := next(now.Body)
		if err != nil {
			return nil, err
		}
		entry, err := json.Marshal(stored{o.Rev, body, now.Orders + 1})
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		if len(entry) > MaxBody {
			return nil, &Invalid{[]Fault{{"body", fmt.Sprintf("makes a configuration of over %d bytes", MaxBody)}}}
		}
		record, err := json.Marshal(o)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		fresh = true
		return map[string]json.RawMessage{Key: entry, c.ledger.place(now.Orders): record}, nil
	})
	switch {
	case err == nil && fresh:
		c.k.Counters.Add("routeconfig.taken", 1)
		c.k.Log.Info("configuration in force", "rev", o.Rev)
		return nil
	case err == nil:
		c.k.Counters.Add("routeconfig.taken_before", 1)
		return nil
	case errors.Is(err, controlstate.ErrNotPrimary), errors.Is(err, controlstate.ErrUnavailable):
		err = fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return c.refuse(err)
}

// watch checks that the configuration in force is that of the newest order on record.
func (c *Registry) watch(entries map[string]json.RawMessage, now stored) {
	raw, there := entries[c.ledger.place(max(0, now.Orders-1))]
	if now.Orders == 0 || !there {
		return // none yet, or the ledger was of another size
	}
	var newest order
	err := json.Unmarshal(raw, &newest)
	c.k.Invariants.Check(err == nil && newest.Rev == now.Rev, invariant.OrderRecorded,
		"configuration %d is in force, and the newest order on record made %d (%v)", now.Rev, newest.Rev, err)
}

// refuse counts a change that is not taken, or not surely.
func (c *Registry) refuse(err error) error {
	switch {
	case errors.Is(err, ErrOtherVersion):
		c.k.Counters.Add("routeconfig.lost_race", 1)
	case errors.Is(err, ErrForgotten):
		c.k.Counters.Add("routeconfig.forgotten", 1)
	case errors.Is(err, ErrUnavailable):
		c.k.Counters.Add("routeconfig.unavailable", 1)
	default:
		c.k.Counters.Add("routeconfig.invalid", 1)
	}
	return err
}

// Fetch returns the newest configuration as it was sent.
func (c *Registry) Fetch() (json.RawMessage, error) {
	entry, err := c.v.Read(Key)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if entry == nil {
		return nil, nil
	}
	var s stored
	if err := json.Unmarshal(entry, &s); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return s.Body, nil
}
