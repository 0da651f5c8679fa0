package discovery

import (
	"context"
	"encoding/json"
)

// AddressCheck reports whether the database with that ID, of that service, responds at its address.
type AddressCheck func(ctx context.Context, d Database) bool

// CheckAddresses sets the check that a database must pass which would replace another one at its
// address: its heartbeat may be a delayed one of a database that has ended, while the other one runs.
// Without a check, every database passes.
func (r *Registry) CheckAddresses(check AddressCheck) { r.confirm = check }

// replacesAnother reports whether the registration of a database replaces another one.
func replacesAnother(databases map[string]Database, d Database) bool {
	for id, other := range databases {
		if id != d.ID && other.Address == d.Address && !other.Gone && !other.HadID(d.ID) {
			return true
		}
	}
	return false
}

// register registers a database in the control state, or changes its record. If another database is
// registered at its address, it replaces that one if it is confirmed to be there; otherwise nothing
// is changed, and inUse is set.
func (r *Registry) register(ctx context.Context, reported Database, role string, confirmed bool) (inUse bool, err error) {
	err = r.update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		if gone, err := r.hasDeparted(entries, reported.ID); gone || err != nil {
			return nil, err
		}
		databases, err := r.decoder.Decode(entries)
		if err != nil {
			return nil, err
		}
		if inUse = !confirmed && replacesAnother(databases, reported); inUse {
			return nil, nil
		}
		return registrationChanges(databases, reported)
	}, "database known", "id", reported.ID, "zone", reported.Zone, "draining", reported.Draining, "role", role)
	return inUse, err
}

// registrationChanges returns the changes of the control state that register a database and replace
// any other at its address. If the other one belongs to the same service and was not draining, it is
// the previous incarnation of this one, which crashed and restarted with its log. Otherwise it has
// left together with its log, and is marked as gone.
func registrationChanges(databases map[string]Database, d Database) (changes map[string]json.RawMessage, err error) {
	changes = map[string]json.RawMessage{}
	if old, ok := databases[d.ID]; ok {
		d = d.withRecordOf(old)
	}
	for id, old := range databases {
		if old.Address == d.Address && old.HadID(d.ID) && !old.Gone {
			return nil, nil // a delayed heartbeat of an earlier incarnation
		}
		switch {
		case id == d.ID || old.Address != d.Address || old.Gone:
		case old.Service == d.Service && !old.Draining:
			d = d.SuccessorOf(old)
			changes[keyPrefix+id] = nil
		default:
			old.Gone = true
			if changes[keyPrefix+id], err = json.Marshal(old); err != nil {
				return nil, err
			}
		}
	}
	changes[keyPrefix+d.ID], err = json.Marshal(d)
	return changes, err
}
