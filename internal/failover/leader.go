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

// Leader is the control state's record of which database leads a service, and the durable intent of
// a failover.
type Leader struct {
	Service            string `json:"svc"`
	ID                 string `json:"id"`
	Term               int64  `json:"term"`
	FailoverID         int64  `json:"turn"`             // increases with every failover
	FailoverInProgress bool   `json:"moving,omitempty"` // a failover is in progress
	Failed             bool   `json:"failed,omitempty"` // a failover is in progress because the old leader failed
	To                 string `json:"to,omitempty"`     // the database that was chosen
	PlatformCalled     bool   `json:"called,omitempty"` // the platform may have been called in this failover
	PauseTerm          int64  `json:"hold,omitempty"`   // term at which the replicas are paused
	ChosenPosition     string `json:"floor,omitempty"`  // position of the chosen database, if a choice was made; covers every acknowledged commit
	MinPosition        string `json:"least,omitempty"`  // minimum position of any later leader: databases that are gone may have held commits up to it
	// Waived covers the acknowledged commits whose loss was accepted, if any are known for
	// certain.
	Waived string `json:"waived,omitempty"`
	// Accepted is the latest request by which an operator accepted a loss.
	Accepted LossAcceptance `json:"accepted,omitzero"`
}

// completed returns the record after a failover is complete: the database leads in this term.
func (l Leader) completed(id string, term int64) Leader {
	return Leader{Service: l.Service, ID: id, Term: term, FailoverID: l.FailoverID, MinPosition: l.MinPosition, Waived: l.Waived, Accepted: l.Accepted}
}

// keyPrefix starts the keys of the control state's entries that hold leaders.
const keyPrefix = "lead/"

// Key returns the key of the entry that holds a service's leader.
func Key(service string) string { return keyPrefix + service }

// IsKey reports whether the key is of an entry that holds a leader.
func IsKey(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// Decoder returns a decoder of the leaders in the control state.
func Decoder() *controlstate.Decoder[Leader] { return controlstate.NewDecoder[Leader](keyPrefix) }

// Decode returns the leaders in the control state, by service. It is meant for single use; a
// Decoder is cheaper for repeated use.
func Decode(entries map[string]json.RawMessage) (map[string]Leader, error) {
	return Decoder().Decode(entries)
}

// updateLeader applies a change to the leader of a service.
func (c *Manager) updateLeader(ctx context.Context, svc string, change func(*Leader) error) error {
	return c.updateService(ctx, svc, func(l *Leader, _ map[string]discovery.Database) error { return change(l) })
}

// updateService changes the leader of a service and its databases in one atomic update; databases
// that are deleted from the map are removed and recorded as departed.
func (c *Manager) updateService(ctx context.Context, svc string, change func(*Leader, map[string]discovery.Database) error) error {
	return c.state.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		all, err := c.databases.Decode(entries)
		if err != nil {
			return nil, fmt.Errorf("failover: %w", err)
		}
		known := map[string]discovery.Database{}
		for id, d := range all {
			if d.Service == svc {
				known[id] = d
			}
		}
		before := maps.Clone(known)
		l := Leader{Service: svc}
		if raw := entries[keyPrefix+svc]; raw != nil {
			if err := json.Unmarshal(raw, &l); err != nil {
				return nil, fmt.Errorf("failover: %w", err)
			}
		}
		was := l
		if err := change(&l, known); err != nil {
			return nil, err
		}
		out := map[string]json.RawMessage{}
		put := func(key string, v any) {
			raw, e := json.Marshal(v)
			out[key], err = raw, errors.Join(err, e)
		}
		if l != was {
			put(keyPrefix+svc, l)
		}
		var removed []string
		for id, d := range before {
			if now, ok := known[id]; !ok {
				out[discovery.Key(id)] = nil
				removed = append(removed, id)
			} else if now != d {
				put(discovery.Key(id), now)
			}
		}
		if len(out) == 0 {
			return nil, nil
		}
		return out, errors.Join(err, c.registry.RecordDepartures(entries, out, removed...))
	})
}
