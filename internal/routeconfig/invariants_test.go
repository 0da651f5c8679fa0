package routeconfig

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// The invariant check detects a current configuration that was not made by the newest recorded
// change.
func TestCurrentConfigurationIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		record string
		want   []invariant.Invariant
	}{
		"recorded":          {`{"base":3,"rev":5,"sum":"x"}`, nil},
		"no record":         {"", nil},
		"another change":    {`{"base":3,"rev":4,"sum":"x"}`, []invariant.Invariant{invariant.ChangeRecorded}},
		"an unreadable one": {`{"base":`, []invariant.Invariant{invariant.ChangeRecorded}},
	} {
		k := kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))
		r := New(k, nil, 64)
		entries := map[string]json.RawMessage{}
		if c.record != "" {
			entries[r.ledger.entryKey(1)] = json.RawMessage(c.record)
		}
		r.checkInvariants(entries, stored{Rev: 5, Changes: 2})
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
