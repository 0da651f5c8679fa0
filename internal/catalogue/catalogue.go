// Package catalogue keeps the configuration: it checks what the operator
// sends, lets one change win on each version, and answers what is in force.
package catalogue

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"

	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

// Types of routes.
const (
	Primary = "primary"
	Bounded = "bounded"
	Nearest = "nearest"
)

// Route sends a database name that clients use to a service.
type Route struct {
	Name       string `json:"name" validate:"required"`
	Host       string `json:"host" validate:"required"`
	Prefix     string `json:"path_prefix"`
	Type       string `json:"type" validate:"oneof=primary bounded nearest"`
	DeadlineMs int64  `json:"deadline_ms" validate:"gt=0"`
	TargetMs   int64  `json:"target_ms" validate:"gte=0"`
	Prio       int    `json:"prio" validate:"gte=0"`
	Service    string `json:"svc" validate:"required"`
	Tries      int    `json:"tries" validate:"gte=0"`
	StaleMs    int64  `json:"stale_ms,omitempty" validate:"gte=0"`
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
			_, place, _ := strings.Cut(f.Namespace(), ".")
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
		if !services[r.Service] {
			faults = append(faults, Fault{fmt.Sprintf("routes[%d].svc", i), "names an unknown service"})
		}
		m := match{r.Host, r.Prefix}
		if matches[m] {
			faults = append(faults, Fault{fmt.Sprintf("routes[%d].host", i), "same host and path_prefix as another route"})
		}
		matches[m] = true
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return c, nil
}

// Key is the entry of the control state that holds the configuration.
const Key = "configuration"

// stored keeps the body as it was sent: read back, it must not differ. Taken
// remembers what was taken before, for calls that are sent again.
type stored struct {
	Rev   int64             `json:"rev"`
	Body  json.RawMessage   `json:"body"`
	Taken map[string]string `json:"taken"` // digest of base and body by version
}

func digest(base int64, body []byte) string {
	return fmt.Sprintf("%x", sha256.Sum256(fmt.Appendf(nil, "%d %s", base, body)))[:32]
}

// Errors of this layer.
var (
	ErrOtherVersion = errors.New("catalogue: another version is in place")
	ErrUnavailable  = errors.New("catalogue: can't be changed now")
)

// Invalid lists the faults for which a configuration was refused.
type Invalid struct{ Faults []Fault }

func (e *Invalid) Error() string { return "catalogue: invalid configuration" }

// Catalogue is the archive's side.
type Catalogue struct {
	k *foundation.Kernel
	v *vault.Vault
}

// New returns the catalogue kept in v.
func New(k *foundation.Kernel, v *vault.Vault) *Catalogue { return &Catalogue{k, v} }

// Decode returns the configuration in an entry of the control state.
func Decode(entry json.RawMessage) (body json.RawMessage, c *Configuration, err error) {
	if entry == nil {
		return nil, nil, nil
	}
	var s stored
	if err := json.Unmarshal(entry, &s); err != nil {
		return nil, nil, fmt.Errorf("catalogue: %w", err)
	}
	c = &Configuration{} // it was checked when it was taken
	if err := json.Unmarshal(s.Body, c); err != nil {
		return nil, nil, fmt.Errorf("catalogue: %w", err)
	}
	return s.Body, c, nil
}

// Replace puts a configuration that builds on base in force.
func (c *Catalogue) Replace(ctx context.Context, base int64, raw []byte) error {
	conf, faults := Parse(raw)
	if faults != nil {
		c.k.Counters.Add("catalogue.invalid", 1)
		return &Invalid{faults}
	}
	var body bytes.Buffer
	if err := json.Compact(&body, raw); err != nil {
		return &Invalid{[]Fault{{"body", "is not JSON in full"}}}
	}
	err := c.v.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		var now stored
		if e := entries[Key]; e != nil {
			if err := json.Unmarshal(e, &now); err != nil {
				return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
			}
		}
		rev, sum := strconv.FormatInt(conf.Rev, 10), digest(base, body.Bytes())
		if now.Taken[rev] == sum {
			return nil, nil // sent again unchanged
		}
		if now.Rev != base {
			return nil, ErrOtherVersion
		}
		if conf.Rev <= now.Rev {
			return nil, &Invalid{[]Fault{{"rev", fmt.Sprintf("is not higher than the current %d", now.Rev)}}}
		}
		taken := maps.Clone(now.Taken)
		if taken == nil {
			taken = map[string]string{}
		}
		taken[rev] = sum
		entry, err := json.Marshal(stored{conf.Rev, body.Bytes(), taken})
		if err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
		return map[string]json.RawMessage{Key: entry}, nil
	})
	switch {
	case err == nil:
		c.k.Counters.Add("catalogue.taken", 1)
		c.k.Log.Info("configuration in force", "rev", conf.Rev)
	case errors.Is(err, ErrOtherVersion):
		c.k.Counters.Add("catalogue.lost_race", 1)
	case errors.Is(err, vault.ErrNotPrimary), errors.Is(err, vault.ErrUnavailable):
		c.k.Counters.Add("catalogue.unavailable", 1)
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return err
}

// Fetch returns the newest configuration as it was sent.
func (c *Catalogue) Fetch() (json.RawMessage, error) {
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
