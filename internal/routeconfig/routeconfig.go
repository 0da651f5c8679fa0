// Package routeconfig manages the route configuration: it validates what the operator sends,
// accepts at most one change per version, and returns the current configuration.
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

// Types of routes. The first three are for sessions, the others for requests.
const (
	Primary    = "primary"
	Bounded    = "bounded"
	Nearest    = "nearest"
	Idempotent = "idempotent"
	Mutating   = "mutating"
)

// Route maps a database name that sessions use, or the requests of a host and path, to a service
// or, by weight, to several services.
type Route struct {
	Name   string `json:"name" validate:"required"`
	Host   string `json:"host" validate:"required"`
	Prefix string `json:"path_prefix"`
	Manner
	Service  string  `json:"svc,omitempty"`
	Weighted []Share `json:"weighted,omitempty" validate:"dive"`
}

// Manner holds the attributes of a route other than its name, key and target.
type Manner struct {
	Type       string `json:"type" validate:"oneof=primary bounded nearest idempotent mutating"`
	DeadlineMs int64  `json:"deadline_ms" validate:"gt=0"`
	TargetMs   int64  `json:"target_ms" validate:"gte=0"`
	Prio       int    `json:"prio" validate:"gte=0"`
	Tries      int    `json:"tries" validate:"gte=0"`
	StaleMs    int64  `json:"stale_ms,omitempty" validate:"gte=0"`
	MaxStaleMs int64  `json:"max_stale_ms,omitempty" validate:"gte=0"` // alias of stale_ms
	Public     bool   `json:"public,omitempty"`                        // needs no API key
}

// MaxStaleness returns the maximum staleness of reads.
func (m Manner) MaxStaleness() kernel.Micros {
	return kernel.Micros(cmp.Or(m.StaleMs, m.MaxStaleMs)) * kernel.Millisecond
}

// Share is the share of a route's requests that goes to one service.
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

// Limits are the limits for clients.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes" validate:"gte=0"`
	MaxBodyBytes    int64 `json:"max_body_bytes" validate:"gte=0"`
	HeaderTimeoutMs int64 `json:"header_timeout_ms" validate:"gte=0"`
	IdleTimeoutMs   int64 `json:"idle_timeout_ms" validate:"gte=0"`
	TxnIdleMs       int64 `json:"txn_idle_ms" validate:"gte=0"`
}

// Configuration is a complete configuration.
type Configuration struct {
	Rev      int64     `json:"rev" validate:"gt=0"`
	Routes   []Route   `json:"routes" validate:"dive"`
	Services []Service `json:"services" validate:"dive"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants,omitempty" validate:"dive"`
}

// FieldError says which field of a configuration is wrong, and why.
type FieldError struct{ Field, Reason string }

func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

var structValidator = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}()

// Parse decodes and validates a configuration. It returns every error that can be found without
// knowledge of the previous version.
func Parse(raw []byte) (*Configuration, []FieldError) {
	config := &Configuration{}
	if !json.Valid(raw) {
		return nil, []FieldError{{"body", "is not JSON in full"}}
	}
	if err := json.Unmarshal(raw, config); err != nil {
		field := "body"
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			field = typeErr.Field
		}
		return nil, []FieldError{{field, "has the wrong type"}}
	}
	var fieldErrors []FieldError
	var invalid validator.ValidationErrors
	if err := structValidator.Struct(config); errors.As(err, &invalid) {
		for _, f := range invalid {
			_, field, _ := strings.Cut(strings.NewReplacer(".Manner.", ".", ".TenantTerms.", ".").Replace(f.Namespace()), ".")
			reason := "fails " + f.Tag()
			if f.Param() != "" {
				reason += "=" + f.Param()
			}
			fieldErrors = append(fieldErrors, FieldError{field, reason})
		}
	}
	services := map[string]bool{}
	for i, s := range config.Services {
		if services[s.Name] {
			fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("services[%d].name", i), "is there twice"})
		}
		services[s.Name] = true
	}
	type match struct{ host, prefix string }
	matches := map[match]bool{}
	for i, r := range config.Routes {
		fieldErrors = append(fieldErrors, r.check(fmt.Sprintf("routes[%d]", i), services)...)
		key := match{r.Host, r.Prefix}
		if matches[key] {
			fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("routes[%d].host", i), "same host and path_prefix as another route"})
		}
		matches[key] = true
	}
	fieldErrors = append(fieldErrors, checkTenants(config.Tenants)...)
	if len(fieldErrors) > 0 {
		return nil, fieldErrors
	}
	return config, nil
}

// check returns the field errors of the route itself and of its target.
func (r Route) check(field string, services map[string]bool) (fieldErrors []FieldError) {
	if (len(r.Weighted) == 0 || r.Service != "") && !services[r.Service] {
		fieldErrors = append(fieldErrors, FieldError{field + ".svc", "names an unknown service"})
	}
	if r.StaleMs > 0 && r.MaxStaleMs > 0 && r.StaleMs != r.MaxStaleMs {
		fieldErrors = append(fieldErrors, FieldError{field + ".max_stale_ms", "is not the same as stale_ms"})
	}
	if len(r.Weighted) == 0 {
		return fieldErrors
	}
	sum := 0.0
	for i, s := range r.Weighted {
		sum += s.Weight
		if !services[s.Service] {
			fieldErrors = append(fieldErrors, FieldError{fmt.Sprintf("%s.weighted[%d].svc", field, i), "names an unknown service"})
		}
	}
	if sum <= 0 {
		fieldErrors = append(fieldErrors, FieldError{field + ".weighted", "the shares add up to 0"})
	}
	return fieldErrors
}

// Key is the key of the control state entry that holds the configuration.
const Key = "configuration"

// stored is the entry's value. The body is kept exactly as it was sent, because it must read
// back unchanged.
type stored struct {
	Rev     int64           `json:"rev"`
	Body    json.RawMessage `json:"body"`
	Changes int64           `json:"orders"` // accepted so far: it determines the ledger entry of the next one
}

// MaxConfigBytes bounds a configuration in bytes, both as sent and as stored: half of what one call
// between control nodes carries, which is enough for some 10,000 routes.
const MaxConfigBytes = 2 << 20

// Errors returned by Registry.
var (
	ErrVersionConflict = errors.New("routeconfig: another version is in place")
	ErrUnavailable     = errors.New("routeconfig: can't be changed now")
	// ErrOutcomeUnknown says that the change may have been accepted long ago: the ledger does not
	// reach back far enough to tell.
	ErrOutcomeUnknown = errors.New("routeconfig: whether this was taken is not known any more")
)

// ValidationError lists the field errors for which a configuration was rejected.
type ValidationError struct{ Errors []FieldError }

func (e *ValidationError) Error() string { return "routeconfig: invalid configuration" }

// controlState is the part of the control state that the Registry needs.
type controlState interface {
	Update(ctx context.Context, change controlstate.ChangeFunc) error
	Read(key string) (json.RawMessage, error)
}

// Registry manages the configuration at a control node. The versions that were ever current form
// a chain: each was made by the one change that was accepted on top of the version before it,
// and its number is higher.
type Registry struct {
	k      *kernel.Kernel
	state  controlState
	ledger *ledger
}

// New returns a registry that keeps the configuration in the given control state, with a ledger
// of the last ledgerSize changes.
func New(k *kernel.Kernel, state controlState, ledgerSize int64) *Registry {
	return &Registry{k, state, newLedger(ledgerSize)}
}

// Decode decodes an entry of the control state into the configuration and its body as sent.
func Decode(entry json.RawMessage) (body json.RawMessage, config *Configuration, err error) {
	if entry == nil {
		return nil, nil, nil
	}
	var s stored
	if err := json.Unmarshal(entry, &s); err != nil {
		return nil, nil, fmt.Errorf("routeconfig: %w", err)
	}
	config = &Configuration{} // validated when it was accepted
	if err := json.Unmarshal(s.Body, config); err != nil {
		return nil, nil, fmt.Errorf("routeconfig: %w", err)
	}
	return s.Body, config, nil
}

// Replace makes the configuration in raw the current one, if base is the current version.
func (r *Registry) Replace(ctx context.Context, base int64, raw []byte) error {
	config, fieldErrors := Parse(raw)
	if fieldErrors != nil {
		return r.countRefusal(&ValidationError{fieldErrors})
	}
	body, err := compact(raw)
	if err != nil {
		return r.countRefusal(err)
	}
	return r.change(ctx, newChangeID("replace", base, config.Rev, body), func(json.RawMessage) (json.RawMessage, error) {
		return body, nil
	})
}

// Update applies the patch in raw to the current configuration, if base is the current version.
func (r *Registry) Update(ctx context.Context, base int64, raw []byte) error {
	change, err := parsePatch(raw)
	if err != nil {
		return r.countRefusal(err)
	}
	body, err := compact(raw)
	if err != nil {
		return r.countRefusal(err)
	}
	return r.change(ctx, newChangeID("update", base, change.Rev, body), func(current json.RawMessage) (json.RawMessage, error) {
		next, err := change.apply(current)
		if err != nil {
			return nil, err
		}
		if _, fieldErrors := Parse(next); fieldErrors != nil {
			return nil, &ValidationError{fieldErrors}
		}
		return next, nil
	})
}

// compact returns the JSON text without insignificant whitespace.
func compact(raw []byte) ([]byte, error) {
	var body bytes.Buffer
	if err := json.Compact(&body, raw); err != nil {
		return nil, &ValidationError{[]FieldError{{"body", "is not JSON in full"}}}
	}
	return body.Bytes(), nil
}

// change makes the body that next returns the current configuration, if the change is based on
// the current version. A change that was accepted before is acknowledged again. It fails with
// ErrOutcomeUnknown if it is no longer known whether the change was accepted.
func (r *Registry) change(ctx context.Context, id changeID, next func(json.RawMessage) (json.RawMessage, error)) error {
	if id.Rev <= id.Base { // such a change was never accepted
		return r.countRefusal(&ValidationError{[]FieldError{{"rev", fmt.Sprintf("is not higher than %d, on which it builds", id.Base)}}})
	}
	var accepted bool
	err := r.state.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		accepted = false
		var current stored
		if raw := entries[Key]; raw != nil {
			if err := json.Unmarshal(raw, &current); err != nil {
				return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
			}
		}
		r.checkInvariants(entries, current)
		if id.Base != current.Rev {
			return nil, r.ledger.resolve(entries, current.Rev, id)
		}
		body, err := next(current.Body)
		if err != nil {
			return nil, err
		}
		entry, err := json.Marshal(stored{id.Rev, body, current.Changes + 1})
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		if len(entry) > MaxConfigBytes {
			return nil, &ValidationError{[]FieldError{{"body", fmt.Sprintf("makes a configuration of over %d bytes", MaxConfigBytes)}}}
		}
		record, err := json.Marshal(id)
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		accepted = true
		return map[string]json.RawMessage{Key: entry, r.ledger.entryKey(current.Changes): record}, nil
	})
	switch {
	case err == nil && accepted:
		r.k.Counters.Add("routeconfig.taken", 1)
		r.k.Log.Info("configuration in force", "rev", id.Rev)
		return nil
	case err == nil:
		r.k.Counters.Add("routeconfig.taken_before", 1)
		return nil
	case errors.Is(err, controlstate.ErrNotPrimary), errors.Is(err, controlstate.ErrUnavailable):
		err = fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return r.countRefusal(err)
}

// checkInvariants checks that the current configuration was made by the newest recorded change.
func (r *Registry) checkInvariants(entries map[string]json.RawMessage, current stored) {
	raw, recorded := entries[r.ledger.entryKey(max(0, current.Changes-1))]
	if current.Changes == 0 || !recorded {
		return // no change yet, or the ledger had a different size
	}
	var newest changeID
	err := json.Unmarshal(raw, &newest)
	r.k.Invariants.Check(err == nil && newest.Rev == current.Rev, invariant.ChangeRecorded,
		"configuration %d is in force, but the newest recorded change made %d (%v)", current.Rev, newest.Rev, err)
}

// countRefusal counts a change that was not accepted, or whose outcome is unknown, and returns
// err.
func (r *Registry) countRefusal(err error) error {
	switch {
	case errors.Is(err, ErrVersionConflict):
		r.k.Counters.Add("routeconfig.lost_race", 1)
	case errors.Is(err, ErrOutcomeUnknown):
		r.k.Counters.Add("routeconfig.forgotten", 1)
	case errors.Is(err, ErrUnavailable):
		r.k.Counters.Add("routeconfig.unavailable", 1)
	default:
		r.k.Counters.Add("routeconfig.invalid", 1)
	}
	return err
}

// Fetch returns the current configuration as it was sent, nil if there is none.
func (r *Registry) Fetch() (json.RawMessage, error) {
	entry, err := r.state.Read(Key)
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
