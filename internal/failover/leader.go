package failover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
)

// Leader is the control state's record of the database that leads a service, and of a failover in
// progress: the next primary of the control state continues it from this record.
type Leader struct {
	Service            string `json:"svc"`
	ID                 string `json:"id"`
	Term               int64  `json:"term"`
	FailoverID         int64  `json:"turn"` // increases with every failover
	FailoverInProgress bool   `json:"moving,omitempty"`
	Failed             bool   `json:"failed,omitempty"` // the failover is in progress because the leader has failed
	Target             string `json:"to,omitempty"`     // ID of the database that was chosen
	PlatformCalled     bool   `json:"called,omitempty"` // the platform may have been called in this failover
	PauseTerm          int64  `json:"hold,omitempty"`   // term at which the replicas are paused
	ChosenPosition     string `json:"floor,omitempty"`  // position of the chosen database; covers every acknowledged commit
	MinPosition        string `json:"least,omitempty"`  // minimum position of later leaders: databases that are gone may have held commits up to it
	// WaivedPosition covers the commits that are known to have been acknowledged and whose loss
	// was accepted.
	WaivedPosition string `json:"waived,omitempty"`
	// Accepted is the operator's latest acceptance of a loss.
	Accepted LossAcceptance `json:"accepted,omitzero"`
}

// completed returns the record as it is after the failover: the database leads in that term.
func (l Leader) completed(id string, term int64) Leader {
	return Leader{Service: l.Service, ID: id, Term: term, FailoverID: l.FailoverID, MinPosition: l.MinPosition, WaivedPosition: l.WaivedPosition, Accepted: l.Accepted}
}

// keyPrefix is the prefix of the keys of the control state's entries that hold leaders.
const keyPrefix = "lead/"

// LeaderKey returns the key of the control state's entry that holds the leader of a service.
func LeaderKey(service string) string { return keyPrefix + service }

// IsLeaderKey reports whether a key is that of an entry that holds a leader.
func IsLeaderKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// LeaderDecoder returns a decoder of the leaders in the control state.
func LeaderDecoder() *controlstate.Decoder[Leader] { return controlstate.NewDecoder[Leader](keyPrefix) }

// DecodeLeaders returns the leaders in the control state, by service. For repeated use, a decoder
// of LeaderDecoder is cheaper.
func DecodeLeaders(entries map[string]json.RawMessage) (map[string]Leader, error) {
	return LeaderDecoder().Decode(entries)
}

// updateLeader changes the leader of a service in one atomic update.
func (m *Manager) updateLeader(ctx context.Context, svc string, change func(*Leader) error) error {
	return m.updateService(ctx, svc, func(l *Leader, _ map[string]discovery.Database) error { return change(l) })
}

// updateService changes the leader of a service and its databases in one atomic update. Databases
// that the change deletes from the map are removed, and their departure is recorded.
func (m *Manager) updateService(ctx context.Context, svc string, change func(*Leader, map[string]discovery.Database) error) error {
	return m.controlState.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		allDatabases, err := m.databaseDecoder.Decode(entries)
		if err != nil {
			return nil, fmt.Errorf("failover: %w", err)
		}
		databases := map[string]discovery.Database{}
		for id, d := range allDatabases {
			if d.Service == svc {
				databases[id] = d
			}
		}
		before := maps.Clone(databases)
		l := Leader{Service: svc}
		if raw := entries[keyPrefix+svc]; raw != nil {
			if err := json.Unmarshal(raw, &l); err != nil {
				return nil, fmt.Errorf("failover: %w", err)
			}
		}
		oldLeader := l
		if err := change(&l, databases); err != nil {
			return nil, err
		}
		changes := map[string]json.RawMessage{}
		put := func(key string, v any) {
			raw, marshalErr := json.Marshal(v)
			changes[key], err = raw, errors.Join(err, marshalErr)
		}
		if l != oldLeader {
			put(keyPrefix+svc, l)
		}
		var removed []string
		for id, d := range before {
			if updated, ok := databases[id]; !ok {
				changes[discovery.Key(id)] = nil
				removed = append(removed, id)
			} else if updated != d {
				put(discovery.Key(id), updated)
			}
		}
		if len(changes) == 0 {
			return nil, nil
		}
		return changes, errors.Join(err, m.registry.RecordDepartures(entries, changes, removed...))
	})
}
