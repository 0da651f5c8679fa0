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

// Lead says which database leads a service. It is control state, and the
// durable intent of a move.
type Lead struct {
	Service string `json:"svc"`
	ID      string `json:"id"`
	Term    int64  `json:"term"`
	Turn    int64  `json:"turn"` // rises with every move
	Moving  bool   `json:"moving,omitempty"`
	Failed  bool   `json:"failed,omitempty"` // moving, and the old lead does not answer
	To      string `json:"to,omitempty"`
	PlatformCalled  bool   `json:"called,omitempty"` // the platform may have been called in this turn
	PauseTerm    int64  `json:"hold,omitempty"`   // term at which the replicas are paused
	Floor   string `json:"floor,omitempty"`  // of a turn in which a choice was made: covers every acknowledged commit
	Least   string `json:"least,omitempty"`  // whoever is promoted holds this: databases that are gone may have
	// Waived covers the acknowledged commits whose loss was accepted, if any are certain.
	Waived string `json:"waived,omitempty"`
	// Accepted is the last order by which an operator accepted a loss.
	Accepted LossAcceptance `json:"accepted,omitzero"`
}

// completed is the lead once a database leads in a term and nothing moves.
func (l Lead) completed(id string, term int64) Lead {
	return Lead{Service: l.Service, ID: id, Term: term, Turn: l.Turn, Least: l.Least, Waived: l.Waived, Accepted: l.Accepted}
}

const keyPrefix = "lead/"

// Key is the entry that holds a service's lead.
func Key(service string) string { return keyPrefix + service }

// Holds tells whether an entry holds a lead.
func Holds(key string) bool { return strings.HasPrefix(key, keyPrefix) }

// Decoder returns what picks the leads out of the control state.
func Decoder() *controlstate.Decoded[Lead] { return controlstate.NewDecoded[Lead](keyPrefix) }

// Decode picks the leads out of the control state, once.
func Decode(entries map[string]json.RawMessage) (map[string]Lead, error) {
	return Decoder().Of(entries)
}

// updateLeader changes the lead of a service.
func (c *Manager) updateLeader(ctx context.Context, svc string, change func(*Lead) error) error {
	return c.updateService(ctx, svc, func(l *Lead, _ map[string]discovery.Database) error { return change(l) })
}

// updateService changes the lead of a service and its databases in one step; those that
// are deleted from the map are removed, and recorded as departed.
func (c *Manager) updateService(ctx context.Context, svc string, change func(*Lead, map[string]discovery.Database) error) error {
	return c.state.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		all, err := c.databases.Of(entries)
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
		l := Lead{Service: svc}
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
