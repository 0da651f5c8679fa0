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
		"matching record":          {`{"base":3,"rev":5,"sum":"x"}`, nil},
		"no record":                {"", nil},
		"record of another change": {`{"base":3,"rev":4,"sum":"x"}`, []invariant.Invariant{invariant.ChangeRecorded}},
		"unreadable record":        {`{"base":`, []invariant.Invariant{invariant.ChangeRecorded}},
	} {
		k := kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))
		registry := New(k, nil, 64)
		// The record of the newest of the two changes has the index 1.
		entries := map[string]json.RawMessage{}
		if c.record != "" {
			entries[registry.ledger.entryKey(1)] = json.RawMessage(c.record)
		}
		registry.checkInvariants(entries, stored{Rev: 5, Changes: 2})
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violated invariants: %v", name, got)
		}
	}
}
