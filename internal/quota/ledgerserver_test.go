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

// entriesState is a control state that holds only entries. Reading it fails while unavailable is set.
type entriesState struct {
	controlState
	entries     map[string]json.RawMessage
	unavailable bool
}

func (s *entriesState) DurableState() (controlstate.State, error) {
	if s.unavailable {
		return controlstate.State{}, errors.New("no primary")
	}
	return controlstate.State{Entries: s.entries}, nil
}

func (s *entriesState) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(s.entries)
	maps.Copy(s.entries, changes)
	return err
}

// A ledger may grant during its first lease, unless the previous ledger did so too and ended
// within its own first lease: slices of two terms may be outstanding in that case.
func TestMayGrantEarly(t *testing.T) {
	state := &entriesState{entries: map[string]json.RawMessage{}}
	server := NewLedgerServer(nil, state, kernel.Second, zeroTolerance)
	for _, step := range []struct {
		name   string
		record openingRecord
		want   bool
	}{
		{"the first lease of the previous ledger has not ended", openingRecord{7, false}, false},
		{"the first lease of the previous ledger has ended", openingRecord{7, true}, true},
		{"the first lease of a ledger of a later term has not ended", openingRecord{9, false}, false},
	} {
		// Before the first step, there is no record yet.
		if step.record.Term == 7 && !step.record.Completed && !server.mayGrantEarly() {
			t.Error("without any record, a ledger may not grant early")
		}
		if err := server.writeOpening(t.Context(), step.record); err != nil {
			t.Fatal(err)
		}
		if got := server.mayGrantEarly(); got != step.want {
			t.Errorf("%s: may grant early: %v", step.name, got)
		}
	}
	if err := server.writeOpening(t.Context(), openingRecord{7, true}); err == nil || server.mayGrantEarly() {
		t.Error("the record of an earlier term replaced that of a later one")
	}
	state.entries[openingKey] = json.RawMessage("{")
	if server.mayGrantEarly() {
		t.Error("may grant early with an unreadable record")
	}
	state.entries = map[string]json.RawMessage{}
	if state.unavailable = true; server.mayGrantEarly() {
		t.Error("may grant early while the control state is unavailable")
	}
}
