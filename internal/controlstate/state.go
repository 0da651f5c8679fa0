package controlstate

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// State is the whole control state as it lies on a member's disk.
type State struct {
	Epoch     int64                      `json:"epoch"`
	Seq       int64                      `json:"seq"`
	Entries   map[string]json.RawMessage `json:"entries"`
	revisions revisions
}

// Change is one step of the state; an entry that is null is removed.
type Change struct {
	Epoch   int64                      `json:"epoch"`
	Seq     int64                      `json:"seq"`
	Entries map[string]json.RawMessage `json:"entries"`
}

// With is the state after one more change.
func (s State) With(changes map[string]json.RawMessage) State {
	n := State{Epoch: s.Epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries), revisions: s.revisions.withChange(keysOf(changes), s.Seq+1)}
	if n.Entries == nil {
		n.Entries = map[string]json.RawMessage{}
	}
	applyChanges(n.Entries, changes)
	return n
}

func keysOf(entries map[string]json.RawMessage) []string { return slices.Collect(maps.Keys(entries)) }

// applyChanges carries changes out on entries.
func applyChanges(entries, changes map[string]json.RawMessage) {
	for k, v := range changes {
		if v == nil || string(v) == "null" {
			delete(entries, k)
		} else {
			entries[k] = v
		}
	}
}

// Pick decodes the entries whose keys begin with the prefix, by the rest of
// their keys.
func Pick[T any](entries map[string]json.RawMessage, prefix string) (map[string]T, error) {
	return NewDecoded[T](prefix).Of(entries)
}

// Decoded keeps the entries of one kind decoded: of a state that changed, only
// what changed is decoded again.
type Decoded[T any] struct {
	prefix string

	mu      sync.Mutex
	encoded map[string]json.RawMessage // what the values were decoded from
	values  map[string]T
}

// NewDecoded returns a keeper of the entries whose keys begin with the prefix.
func NewDecoded[T any](prefix string) *Decoded[T] { return &Decoded[T]{prefix: prefix} }

// Of decodes the entries, by the rest of their keys. The map is shared and not
// to be changed.
func (d *Decoded[T]) Of(entries map[string]json.RawMessage) (map[string]T, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh, there := map[string]T{}, 0
	for key, raw := range entries {
		rest, ok := strings.CutPrefix(key, d.prefix)
		if !ok {
			continue
		}
		there++
		if was, known := d.encoded[rest]; known && bytes.Equal(was, raw) {
			continue
		}
		var v T
		if err := json.Unmarshal(raw, &v); err != nil {
			return nil, fmt.Errorf("controlstate: entry %s: %w", key, err)
		}
		fresh[rest] = v
	}
	if d.values != nil && len(fresh) == 0 && there == len(d.values) {
		return d.values, nil
	}
	raw, values := make(map[string]json.RawMessage, there), make(map[string]T, there)
	for rest, v := range d.values {
		if still, ok := entries[d.prefix+rest]; ok {
			raw[rest], values[rest] = still, v
		}
	}
	for rest, v := range fresh {
		raw[rest], values[rest] = entries[d.prefix+rest], v
	}
	d.encoded, d.values = raw, values
	return values, nil
}
