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

// entries is a control state of entries alone.
type entries struct {
	controlState
	now  map[string]json.RawMessage
	away bool
}

func (e *entries) Durable() (controlstate.State, error) {
	if e.away {
		return controlstate.State{}, errors.New("no primary")
	}
	return controlstate.State{Entries: e.now}, nil
}

func (e *entries) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(e.now)
	maps.Copy(e.now, changes)
	return err
}

// A ledger may grant in its first lease unless the one before did, and ended within
// its own: slices of two terms may be out then.
func TestSettled(t *testing.T) {
	e := &entries{now: map[string]json.RawMessage{}}
	h := NewHolder(nil, e, kernel.Second, strict)
	for _, step := range []struct {
		name string
		note opening
		want bool
	}{
		{"after a first lease that is not over", opening{7, false}, false},
		{"after one that is", opening{7, true}, true},
		{"of a later term", opening{9, false}, false},
	} {
		if step.note.Term == 7 && !step.note.Settled && !h.settled() {
			t.Error("before there was any ledger: not settled")
		}
		if err := h.note(t.Context(), step.note); err != nil {
			t.Fatal(err)
		}
		if got := h.settled(); got != step.want {
			t.Errorf("%s: %v", step.name, got)
		}
	}
	if err := h.note(t.Context(), opening{7, true}); err == nil || h.settled() {
		t.Error("an earlier term is noted after a later one")
	}
	e.now[openingKey] = json.RawMessage("{")
	if h.settled() {
		t.Error("after what can't be read: settled")
	}
	e.now = map[string]json.RawMessage{}
	if e.away = true; h.settled() {
		t.Error("without a control state: settled")
	}
}
