package quota

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"testing"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// entries is a control state that consists of entries only.
type entries struct {
	controlState
	current     map[string]json.RawMessage
	unavailable bool
}

func (e *entries) Durable() (controlstate.State, error) {
	if e.unavailable {
		return controlstate.State{}, errors.New("no primary")
	}
	return controlstate.State{Entries: e.current}, nil
}

func (e *entries) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(e.current)
	maps.Copy(e.current, changes)
	return err
}

// A ledger may grant in its first lease unless the previous one did and ended within its own
// first lease: slices of two terms may be outstanding then.
func TestMayGrantEarly(t *testing.T) {
	e := &entries{current: map[string]json.RawMessage{}}
	h := NewLedgerServer(nil, e, kernel.Second, strict)
	for _, step := range []struct {
		name   string
		record openingRecord
		want   bool
	}{
		{"after a first lease that has not ended", openingRecord{7, false}, false},
		{"after one that has ended", openingRecord{7, true}, true},
		{"of a later term", openingRecord{9, false}, false},
	} {
		if step.record.Term == 7 && !step.record.Completed && !h.mayGrantEarly() {
			t.Error("before the first ledger: may not grant early")
		}
		if err := h.writeOpening(t.Context(), step.record); err != nil {
			t.Fatal(err)
		}
		if got := h.mayGrantEarly(); got != step.want {
			t.Errorf("%s: %v", step.name, got)
		}
	}
	if err := h.writeOpening(t.Context(), openingRecord{7, true}); err == nil || h.mayGrantEarly() {
		t.Error("the record of an earlier term replaces that of a later one")
	}
	e.current[openingKey] = json.RawMessage("{")
	if h.mayGrantEarly() {
		t.Error("after an unreadable record: may grant early")
	}
	e.current = map[string]json.RawMessage{}
	if e.unavailable = true; h.mayGrantEarly() {
		t.Error("without a control state: may grant early")
	}
}
