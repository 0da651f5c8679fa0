// Package discovery keeps the registry of databases, which it learns from their heartbeats. Which
// databases there are, where they are, and whether they are draining or gone is control state;
// the role that a database reports and when it was last heard is kept in memory only.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// Database is the control state's record of a database.
type Database struct {
	ID       string `json:"id"`
	Service  string `json:"svc"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining,omitempty"`
	// PreviousIDs lists the IDs that a database had before it crashed and returned at the same
	// address with its log, separated by spaces, the latest first.
	PreviousIDs string `json:"was,omitempty"`
	// Gone says that neither the database nor its log will come back. The failover manager
	// removes the entry once it knows how far the log may have reached.
	Gone bool `json:"gone,omitempty"`
	// Limit, if set, is the position past which the database holds no acknowledged commit: a
	// draining replica is paused there. It is cleared before anything is sent that makes the
	// replica receive commits again.
	Limit string `json:"limit,omitempty"`
}

// maxPreviousIDs is how many previous IDs of a database are kept.
const maxPreviousIDs = 4

// HadID reports whether the database had that ID in an earlier incarnation.
func (d Database) HadID(id string) bool { return slices.Contains(strings.Fields(d.PreviousIDs), id) }

// SuccessorOf returns the database as the next incarnation of another.
func (d Database) SuccessorOf(old Database) Database {
	ids := append([]string{old.ID}, strings.Fields(old.PreviousIDs)...)
	d.PreviousIDs = strings.Join(ids[:min(maxPreviousIDs, len(ids))], " ")
	return d
}

// Beat is the heartbeat that a database sends periodically. The name of the type stands in the
// response to a malformed one ("json: cannot unmarshal ... field Beat.svc"), so it must not change.
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

// ObservedState is what is known of a database in memory only.
type ObservedState struct {
	Role      string
	Seq       int64
	LastHeard kernel.Micros
}

// keyPrefix starts the keys of the control state's entries that hold databases.
const keyPrefix = "database/"

// Key returns the key of the entry that holds a database.
func Key(id string) string { return keyPrefix + id }

// IsKey reports whether the key is of an entry that holds a database.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// reorderWindow is how long after a heartbeat another with a lower sequence number is considered
// delayed; after that the database is assumed to have restarted its count.
const reorderWindow = 3 * kernel.Second

// Errors of this package.
var (
	ErrUnavailable = errors.New("discovery: can't be changed now")
	ErrMalformed   = errors.New("discovery: malformed beat")
)

// Registry is the registry of databases at a control node.
type Registry struct {
	k     *kernel.Kernel
	state *controlstate.Replica

	decoded  *controlstate.Decoder[Database]
	departed *controlstate.Decoder[departure]

	mu       sync.Mutex
	observed map[string]ObservedState
	sweep    kernel.SweepTimer // of the reports of databases that are gone
	bell     kernel.Notifier
}

// New returns the registry kept in that replica of the control state.
func New(k *kernel.Kernel, v *controlstate.Replica) *Registry {
	return &Registry{k: k, state: v, decoded: Decoder(), departed: controlstate.NewDecoder[departure](departedPrefix), observed: map[string]ObservedState{}}
}

// Decoder returns a decoder of the databases in the control state.
func Decoder() *controlstate.Decoder[Database] { return controlstate.NewDecoder[Database](keyPrefix) }

// Decode returns the databases in the control state, by ID. It is meant for single use.
func Decode(entries map[string]json.RawMessage) (map[string]Database, error) {
	return Decoder().Decode(entries)
}

// Heartbeat processes a heartbeat; it returns nil only once everything in it that is control
// state is durable. A database that is draining never returns under the same ID, and one that is
// gone or was replaced never exists again: a heartbeat that says otherwise is a delayed one.
func (a *Registry) Heartbeat(ctx context.Context, id string, b Beat) error {
	if id == "" || b.Service == "" || b.Address == "" {
		a.k.Counters.Add("discovery.malformed", 1)
		return ErrMalformed
	}
	want := Database{
		ID: id, Service: b.Service, Address: b.Address, Zone: b.Zone, Slots: b.Slots,
		Draining: b.Status == "draining",
	}
	have, err := a.state.Read(keyPrefix + id)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	var old Database
	if have != nil {
		if err := json.Unmarshal(have, &old); err != nil {
			return fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	late := !a.recordObserved(id, b)
	if late {
		a.k.Counters.Add("discovery.late_beats", 1)
	}
	switch {
	case have == nil && late:
		return fmt.Errorf("%w: a delayed beat of a database that is not known", ErrUnavailable)
	case have != nil && (old.Gone || old.unchangedBy(want) || late && (old.Draining || !want.Draining)):
		return nil
	}
	return a.update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		if gone, err := a.hasDeparted(entries, id); gone || err != nil {
			return nil, err
		}
		known, err := a.decoded.Decode(entries)
		if err != nil {
			return nil, err
		}
		return registrationChanges(known, want)
	}, "database known", "id", id, "zone", b.Zone, "status", b.Status, "role", b.Role)
}

// unchangedBy reports whether a heartbeat that asks for the state w contains nothing new.
func (d Database) unchangedBy(w Database) bool {
	w.PreviousIDs, w.Limit, w.Gone, w.Draining = d.PreviousIDs, d.Limit, d.Gone, d.Draining || w.Draining
	return w == d
}

// recordObserved records what a heartbeat contains besides control state; it returns false for a
// heartbeat that is older than one processed before.
func (a *Registry) recordObserved(id string, b Beat) bool {
	now := a.k.Clock.Now()
	a.mu.Lock()
	old, known := a.observed[id]
	if known && b.Seq <= old.Seq && now-old.LastHeard < reorderWindow {
		a.mu.Unlock()
		return false
	}
	if a.sweep.Due(now) {
		maps.DeleteFunc(a.observed, func(_ string, s ObservedState) bool { return now-s.LastHeard > kernel.RetentionPeriod })
	}
	a.observed[id] = ObservedState{b.Role, b.Seq, now}
	a.mu.Unlock()
	if old.Role != b.Role {
		a.bell.NotifyAll()
	}
	return true
}

// registrationChanges returns the changes that register a database and handle any other at its
// address. Another of the same service is the same database before a crash, unless it was
// draining, since then its log is gone with it. A draining one, or one of another service, is
// marked as gone.
func registrationChanges(known map[string]Database, d Database) (out map[string]json.RawMessage, err error) {
	out = map[string]json.RawMessage{}
	if old, ok := known[d.ID]; ok {
		d.PreviousIDs, d.Limit, d.Gone, d.Draining = old.PreviousIDs, old.Limit, old.Gone, d.Draining || old.Draining
	}
	for id, old := range known {
		if old.Address == d.Address && old.HadID(d.ID) && !old.Gone {
			return nil, nil // a delayed heartbeat of an earlier incarnation
		}
		switch {
		case id == d.ID || old.Address != d.Address || old.Gone:
		case old.Service == d.Service && !old.Draining:
			d = d.SuccessorOf(old)
			out[keyPrefix+id] = nil
		default:
			old.Gone = true
			if out[keyPrefix+id], err = json.Marshal(old); err != nil {
				return nil, err
			}
		}
	}
	out[keyPrefix+d.ID], err = json.Marshal(d)
	return out, err
}

// Deregister records that a database has shut down in order. An unknown database is recorded as
// departed too, since heartbeats of it may still arrive.
func (a *Registry) Deregister(ctx context.Context, id string) error {
	return a.update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		if gone, err := a.hasDeparted(entries, id); gone || err != nil {
			return nil, err
		}
		out, err := editEntry(entries, id, func(d *Database) { d.Gone = true })
		if err != nil {
			return nil, err
		}
		return out, a.RecordDepartures(entries, out, id)
	}, "database gone", "id", id)
}

// editEntry returns the change that edits the entry of a database, if there is one.
func editEntry(entries map[string]json.RawMessage, id string, f func(*Database)) (map[string]json.RawMessage, error) {
	out := map[string]json.RawMessage{}
	have, there := entries[keyPrefix+id]
	if !there {
		return out, nil
	}
	var d Database
	if err := json.Unmarshal(have, &d); err != nil {
		return nil, err
	}
	f(&d)
	raw, err := json.Marshal(d)
	out[keyPrefix+id] = raw
	return out, err
}

// Remove removes databases that are gone and held nothing that the others do not hold.
func (a *Registry) Remove(ctx context.Context, ids ...string) error {
	return a.update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		out := make(map[string]json.RawMessage, len(ids))
		for _, id := range ids {
			out[keyPrefix+id] = nil
		}
		return out, nil
	}, "databases removed", "ids", ids)
}

// update applies changes to the control state, records the departure of every database that they
// remove, and logs msg if anything changed.
func (a *Registry) update(ctx context.Context, f func(map[string]json.RawMessage) (map[string]json.RawMessage, error), msg string, attrs ...any) error {
	var changes map[string]json.RawMessage
	err := a.state.Update(ctx, func(entries map[string]json.RawMessage) (_ map[string]json.RawMessage, err error) {
		if changes, err = f(entries); err != nil {
			return nil, err
		}
		var removed []string
		for key, raw := range changes {
			if id, ok := strings.CutPrefix(key, keyPrefix); ok && raw == nil {
				removed = append(removed, id)
			}
		}
		return changes, a.RecordDepartures(entries, changes, removed...)
	})
	if err != nil {
		a.k.Counters.Add("discovery.unavailable", 1)
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if len(changes) > 0 {
		a.k.Log.Info(msg, attrs...)
	}
	return nil
}

// Observed returns what the databases last reported about themselves, by ID.
func (a *Registry) Observed() map[string]ObservedState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.observed)
}

// Changed returns a channel that is closed when a database reports another role.
func (a *Registry) Changed() <-chan struct{} { return a.bell.Wait() }
