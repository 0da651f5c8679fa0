// Package accessions keeps the list of databases, from their own beats. Who
// there is, where, and whether it drains or is gone is control state; how it
// sees itself and when it was last heard is soft.
package accessions

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"

	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

// Database is what the control state holds of a database.
type Database struct {
	ID       string `json:"id"`
	Service  string `json:"svc"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
}

// Beat is what a database sends.
type Beat struct {
	Service  string `json:"svc"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Rev      string `json:"rev"`
	Slots    int    `json:"slots"`
	Status   string `json:"status"`
	WarmupMs int64  `json:"warmup_left_ms"`
	Seq      int64  `json:"call_seq"`
	Role     string `json:"target_role"`
}

// Soft is what is only remembered.
type Soft struct {
	Role  string
	Seq   int64
	Heard foundation.Micros
}

// keyPrefix starts the entries of the control state that hold databases.
const keyPrefix = "database/"

// lateBeat is how long after a beat one with a lower number is taken for a
// delayed one; later than that the database has started its count again.
const lateBeat = 3 * foundation.Second

// Errors of this layer.
var (
	ErrUnavailable = errors.New("accessions: can't be changed now")
	ErrMalformed   = errors.New("accessions: malformed beat")
)

// Accessions is the archive's side.
type Accessions struct {
	k *foundation.Kernel
	v *vault.Vault

	mu   sync.Mutex
	soft map[string]Soft
	bell foundation.Bell
}

// New returns the list kept in v.
func New(k *foundation.Kernel, v *vault.Vault) *Accessions {
	return &Accessions{k: k, v: v, soft: map[string]Soft{}}
}

// Decode picks the databases out of the control state.
func Decode(entries map[string]json.RawMessage) (map[string]Database, error) {
	out := map[string]Database{}
	for key, raw := range entries {
		id, ok := strings.CutPrefix(key, keyPrefix)
		if !ok {
			continue
		}
		var d Database
		if err := json.Unmarshal(raw, &d); err != nil {
			return nil, fmt.Errorf("accessions: %s: %w", key, err)
		}
		out[id] = d
	}
	return out, nil
}

// Heartbeat takes a beat; it returns once everything in it that is control
// state is durable.
func (a *Accessions) Heartbeat(ctx context.Context, id string, b Beat) error {
	if id == "" || b.Service == "" || b.Address == "" {
		a.k.Counters.Add("accessions.malformed", 1)
		return ErrMalformed
	}
	now := a.k.Clock.Now()
	a.mu.Lock()
	old, known := a.soft[id]
	if known && b.Seq <= old.Seq && now-old.Heard < lateBeat {
		a.mu.Unlock()
		a.k.Counters.Add("accessions.late_beats", 1)
		return nil
	}
	a.soft[id] = Soft{b.Role, b.Seq, now}
	a.mu.Unlock()
	if old.Role != b.Role {
		a.bell.Ring()
	}
	want := Database{id, b.Service, b.Address, b.Zone, b.Slots, b.Status == "draining"}
	have, err := a.v.Read(keyPrefix + id)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	raw, err := json.Marshal(want)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if string(have) == string(raw) {
		return nil
	}
	return a.change(ctx, id, raw, "database known", "id", id, "zone", b.Zone, "status", b.Status, "role", b.Role)
}

// Deregister removes a database that ends.
func (a *Accessions) Deregister(ctx context.Context, id string) error {
	if have, err := a.v.Read(keyPrefix + id); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	} else if have == nil {
		return nil
	}
	return a.change(ctx, id, nil, "database gone", "id", id)
}

func (a *Accessions) change(ctx context.Context, id string, raw json.RawMessage, msg string, attrs ...any) error {
	err := a.v.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		return map[string]json.RawMessage{keyPrefix + id: raw}, nil
	})
	if err != nil {
		a.k.Counters.Add("accessions.unavailable", 1)
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	a.k.Log.Info(msg, attrs...)
	return nil
}

// Soft returns what the databases last said of themselves.
func (a *Accessions) Soft() map[string]Soft {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.soft)
}

// Changed closes when a database sees itself in another role.
func (a *Accessions) Changed() <-chan struct{} { return a.bell.Wait() }
