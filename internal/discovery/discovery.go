// Package discovery keeps the registry of databases, based on their heartbeats. Which databases
// exist, their addresses, and whether they are draining or gone is control state; the role that a
// database reports and the time of its last heartbeat are kept in memory only.
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
	// PreviousIDs lists the IDs that the database had in earlier incarnations, each of which crashed
	// and restarted at the same address with its log. They are separated by spaces, the latest
	// first.
	PreviousIDs string `json:"was,omitempty"`
	// Deregistered says that the database has deregistered without having been draining before. It
	// may still serve, and receive commits, as a draining one does. The failover manager records it
	// as gone once it has ended.
	Deregistered bool `json:"deregistered,omitempty"`
	// Gone says that neither the database nor its log will return. The failover manager removes
	// the entry once it has recorded how far the log may have reached.
	Gone bool `json:"gone,omitempty"`
	// CommitLimit, if set, is the position past which the database holds no acknowledged commit,
	// since it is a leaving replica that was paused there. It is cleared before any statement is
	// sent that makes the replica receive commits again.
	CommitLimit string `json:"limit,omitempty"`
}

// maxPreviousIDs is the number of previous IDs of a database that are kept.
const maxPreviousIDs = 4

// HadID reports whether the database had that ID in an earlier incarnation.
func (d Database) HadID(id string) bool { return slices.Contains(strings.Fields(d.PreviousIDs), id) }

// SuccessorOf returns the record of d as the next incarnation of old.
func (d Database) SuccessorOf(old Database) Database {
	ids := append([]string{old.ID}, strings.Fields(old.PreviousIDs)...)
	d.PreviousIDs = strings.Join(ids[:min(maxPreviousIDs, len(ids))], " ")
	return d
}

// Beat is the heartbeat that a database sends periodically. The name of the type appears in the
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

// ObservedState is what a database's latest heartbeat reported and is kept in memory only.
type ObservedState struct {
	Role      string
	Seq       int64         // sequence number of the heartbeat
	LastHeard kernel.Micros // time at which it arrived
}

// keyPrefix is the prefix of the keys under which the control state holds databases.
const keyPrefix = "database/"

// Key returns the key of a database in the control state.
func Key(id string) string { return keyPrefix + id }

// IsKey reports whether a key of the control state is that of a database.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// reorderWindow is the time after a heartbeat during which another with a lower sequence number is
// considered delayed. After that, the database is assumed to have restarted its numbering.
const reorderWindow = 3 * kernel.Second

// Errors returned by Registry. ErrUnavailable means that the control state could not be read or
// changed, or that a delayed heartbeat came from a database that is not registered.
var (
	ErrUnavailable = errors.New("discovery: can't be changed now")
	ErrMalformed   = errors.New("discovery: malformed beat")
)

// Registry is the registry of databases at a control node.
type Registry struct {
	k          *kernel.Kernel
	state      *controlstate.Replica
	leaderless bool // the databases of a service are all alike, and none receives commits of another

	decoder          *controlstate.Decoder[Database]
	departureDecoder *controlstate.Decoder[departure]

	confirm AddressCheck

	mu          sync.Mutex
	observed    map[string]ObservedState
	sweep       kernel.SweepTimer // drops the observed state of databases that are gone
	roleChanges kernel.Notifier
}

// New returns a registry that is stored in the control state, which it accesses through the given
// replica. leaderless says that the databases of a service are all alike.
func New(k *kernel.Kernel, state *controlstate.Replica, leaderless bool) *Registry {
	return &Registry{k: k, state: state, leaderless: leaderless, decoder: Decoder(), departureDecoder: controlstate.NewDecoder[departure](departedPrefix), observed: map[string]ObservedState{}}
}

// Decoder returns a decoder of the databases in the control state.
func Decoder() *controlstate.Decoder[Database] { return controlstate.NewDecoder[Database](keyPrefix) }

// Decode returns the databases in the control state, by ID. For repeated use, a decoder
// returned by Decoder is cheaper.
func Decode(entries map[string]json.RawMessage) (map[string]Database, error) {
	return Decoder().Decode(entries)
}

// Heartbeat processes a heartbeat. It returns nil only once everything in it that belongs to the
// control state is durable. A draining database remains draining as long as it has that ID, and one
// that is gone or was replaced never returns: a heartbeat that says otherwise was delayed.
func (r *Registry) Heartbeat(ctx context.Context, id string, beat Beat) error {
	if id == "" || beat.Service == "" || beat.Address == "" {
		r.k.Counters.Add("discovery.malformed", 1)
		return ErrMalformed
	}
	reported := Database{
		ID: id, Service: beat.Service, Address: beat.Address, Zone: beat.Zone, Slots: beat.Slots,
		Draining: beat.Status == "draining",
	}
	stored, err := r.state.Read(keyPrefix + id)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	var old Database
	if stored != nil {
		if err := json.Unmarshal(stored, &old); err != nil {
			return fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	delayed := !r.recordObserved(id, beat)
	if delayed {
		r.k.Counters.Add("discovery.late_beats", 1)
	}
	if stored == nil && delayed {
		return fmt.Errorf("%w: a delayed beat of a database that is not known", ErrUnavailable)
	}
	if stored != nil && !old.changedBy(reported, delayed) {
		return nil
	}
	inUse, err := r.register(ctx, reported, beat.Role, r.confirm == nil)
	if err != nil || !inUse {
		return err
	}
	if !r.confirm(ctx, reported) {
		r.k.Counters.Add("discovery.address_in_use", 1)
		return fmt.Errorf("%w: another database is known at %s, and %s does not respond there", ErrUnavailable, reported.Address, id)
	}
	_, err = r.register(ctx, reported, beat.Role, true)
	return err
}

// withRecordOf returns a reported state with what only the record holds.
func (d Database) withRecordOf(old Database) Database {
	d.PreviousIDs, d.CommitLimit = old.PreviousIDs, old.CommitLimit
	d.Gone, d.Deregistered = old.Gone, old.Deregistered
	d.Draining = d.Draining || old.Draining
	return d
}

// changedBy reports whether a heartbeat with the reported state requires a change of the record. A
// delayed one is only of use if it is the first to report the database as draining.
func (d Database) changedBy(reported Database, delayed bool) bool {
	switch {
	case d.Gone:
		return false
	case delayed && (d.Draining || !reported.Draining):
		return false
	}
	return reported.withRecordOf(d) != d
}

// recordObserved records the part of a heartbeat that is kept in memory only. It returns false for
// a heartbeat that is older than one processed before.
func (r *Registry) recordObserved(id string, beat Beat) bool {
	now := r.k.Clock.Now()
	r.mu.Lock()
	old, heardBefore := r.observed[id]
	if heardBefore && beat.Seq <= old.Seq && now-old.LastHeard < reorderWindow {
		r.mu.Unlock()
		return false
	}
	if r.sweep.Due(now) {
		maps.DeleteFunc(r.observed, func(_ string, s ObservedState) bool { return now-s.LastHeard > kernel.RetentionPeriod })
	}
	r.observed[id] = ObservedState{beat.Role, beat.Seq, now}
	r.mu.Unlock()
	if old.Role != beat.Role {
		r.roleChanges.NotifyAll()
	}
	return true
}

// Deregister records that a database is shutting down gracefully. One that was draining ends now. One
// that was not may serve on for as long as a draining one does, so it is draining from now on; where
// no database receives commits of another, it is gone at once. The departure of an unknown database is
// recorded too, so that its delayed heartbeats do not register it.
func (r *Registry) Deregister(ctx context.Context, id string) error {
	return r.update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		if gone, err := r.hasDeparted(entries, id); gone || err != nil {
			return nil, err
		}
		changes, err := editEntry(entries, id, r.deregister)
		if err != nil {
			return nil, err
		}
		return changes, r.RecordDepartures(entries, changes, id)
	}, "database gone", "id", id)
}

// deregister edits the record of a database that has deregistered.
func (r *Registry) deregister(d *Database) {
	if d.Draining || r.leaderless {
		d.Gone = true
		return
	}
	d.Draining, d.Deregistered = true, true
}

// editEntry returns the change that edits the entry of a database, or no change if it has none.
func editEntry(entries map[string]json.RawMessage, id string, edit func(*Database)) (map[string]json.RawMessage, error) {
	changes := map[string]json.RawMessage{}
	stored, found := entries[keyPrefix+id]
	if !found {
		return changes, nil
	}
	var d Database
	if err := json.Unmarshal(stored, &d); err != nil {
		return nil, err
	}
	edit(&d)
	raw, err := json.Marshal(d)
	changes[keyPrefix+id] = raw
	return changes, err
}

// Remove removes the entries of databases. The caller ensures that they are gone and held no commits
// that the others lack.
func (r *Registry) Remove(ctx context.Context, ids ...string) error {
	return r.update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		changes := make(map[string]json.RawMessage, len(ids))
		for _, id := range ids {
			changes[keyPrefix+id] = nil
		}
		return changes, nil
	}, "databases removed", "ids", ids)
}

// update applies changes to the control state, records the departure of every database that they
// remove, and logs msg if anything changed.
func (r *Registry) update(ctx context.Context, change func(map[string]json.RawMessage) (map[string]json.RawMessage, error), msg string, attrs ...any) error {
	var changes map[string]json.RawMessage
	err := r.state.Update(ctx, func(entries map[string]json.RawMessage) (_ map[string]json.RawMessage, err error) {
		if changes, err = change(entries); err != nil {
			return nil, err
		}
		var removed []string
		for key, raw := range changes {
			if id, ok := strings.CutPrefix(key, keyPrefix); ok && raw == nil {
				removed = append(removed, id)
			}
		}
		return changes, r.RecordDepartures(entries, changes, removed...)
	})
	if err != nil {
		r.k.Counters.Add("discovery.unavailable", 1)
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if len(changes) > 0 {
		r.k.Log.Info(msg, attrs...)
	}
	return nil
}

// Observed returns what the databases last reported about themselves, by ID.
func (r *Registry) Observed() map[string]ObservedState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.observed)
}

// Changed returns a channel that is closed when the role that a database reports changes.
func (r *Registry) Changed() <-chan struct{} { return r.roleChanges.Wait() }
