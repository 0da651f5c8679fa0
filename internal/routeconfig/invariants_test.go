package routeconfig

import (
	"encoding/json"
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// A configuration in force that is not that of the newest order on record is found.
func TestOrderInForceIsRecorded(t *testing.T) {
	for name, c := range map[string]struct {
		record string
		want   []invariant.Invariant
	}{
		"recorded":          {`{"base":3,"rev":5,"sum":"x"}`, nil},
		"no record":         {"", nil},
		"another order":     {`{"base":3,"rev":4,"sum":"x"}`, []invariant.Invariant{invariant.OrderRecorded}},
		"an unreadable one": {`{"base":`, []invariant.Invariant{invariant.OrderRecorded}},
	} {
		k := kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))
		r := New(k, nil, 64)
		entries := map[string]json.RawMessage{}
		if c.record != "" {
			entries[r.ledger.place(1)] = json.RawMessage(c.record)
		}
		r.watch(entries, stored{Rev: 5, Orders: 2})
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
