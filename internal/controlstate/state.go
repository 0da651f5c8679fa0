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

// State is the whole control state, as it is stored on the disk of a member.
type State struct {
	Epoch     int64                      `json:"epoch"`
	Seq       int64                      `json:"seq"`
	Entries   map[string]json.RawMessage `json:"entries"`
	revisions revisions
}

// Change is one change of the state; an entry whose value is null is deleted.
type Change struct {
	Epoch   int64                      `json:"epoch"`
	Seq     int64                      `json:"seq"`
	Entries map[string]json.RawMessage `json:"entries"`
}

// With returns the state after one more change.
func (s State) With(changes map[string]json.RawMessage) State {
	next := State{Epoch: s.Epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries), revisions: s.revisions.withChange(keysOf(changes), s.Seq+1)}
	if next.Entries == nil {
		next.Entries = map[string]json.RawMessage{}
	}
	applyChanges(next.Entries, changes)
	return next
}

// keysOf returns the keys of the entries, in no particular order.
func keysOf(entries map[string]json.RawMessage) []string { return slices.Collect(maps.Keys(entries)) }

// applyChanges applies changes to entries in place; a nil or null value deletes the entry.
func applyChanges(entries, changes map[string]json.RawMessage) {
	for k, v := range changes {
		if v == nil || string(v) == "null" {
			delete(entries, k)
		} else {
			entries[k] = v
		}
	}
}

// DecodePrefix decodes the entries whose keys begin with the prefix. The result is keyed by the
// rest of their keys.
func DecodePrefix[T any](entries map[string]json.RawMessage, prefix string) (map[string]T, error) {
	return NewDecoder[T](prefix).Decode(entries)
}

// Decoder is a cache of the decoded entries of one kind: when the state changes, only the
// entries that differ are decoded again.
type Decoder[T any] struct {
	prefix string

	mu      sync.Mutex
	encoded map[string]json.RawMessage // the encoded entries that values was decoded from
	values  map[string]T
}

// NewDecoder returns an empty cache for the entries whose keys begin with the prefix.
func NewDecoder[T any](prefix string) *Decoder[T] { return &Decoder[T]{prefix: prefix} }

// Decode returns the decoded entries, keyed by the rest of their keys. The map is shared and
// must not be modified.
func (d *Decoder[T]) Decode(entries map[string]json.RawMessage) (map[string]T, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	decoded, matching := map[string]T{}, 0
	for key, raw := range entries {
		rest, ok := strings.CutPrefix(key, d.prefix)
		if !ok {
			continue
		}
		matching++
		if previous, cached := d.encoded[rest]; cached && bytes.Equal(previous, raw) {
			continue
		}
		var v T
		if err := json.Unmarshal(raw, &v); err != nil {
			return nil, fmt.Errorf("controlstate: entry %s: %w", key, err)
		}
		decoded[rest] = v
	}
	if d.values != nil && len(decoded) == 0 && matching == len(d.values) {
		return d.values, nil
	}
	raw, values := make(map[string]json.RawMessage, matching), make(map[string]T, matching)
	for rest, v := range d.values {
		if current, ok := entries[d.prefix+rest]; ok {
			raw[rest], values[rest] = current, v
		}
	}
	for rest, v := range decoded {
		raw[rest], values[rest] = entries[d.prefix+rest], v
	}
	d.encoded, d.values = raw, values
	return values, nil
}
