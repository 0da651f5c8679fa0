package controlstate

import (
	"encoding/json"
	"maps"
	"testing"
)

// countingValue counts how often one is decoded.
type countingValue struct{ N int }

var decodeCount int

func (c *countingValue) UnmarshalJSON(raw []byte) error {
	decodeCount++
	return json.Unmarshal(raw, &c.N)
}

func TestOnlyChangesAreDecoded(t *testing.T) {
	d := NewDecoded[countingValue]("a/")
	entries := map[string]json.RawMessage{"a/1": json.RawMessage("1"), "a/2": json.RawMessage("2"), "b/1": json.RawMessage("7")}
	of := func(want, cost int) map[string]countingValue {
		t.Helper()
		before := decodeCount
		got, err := d.Of(entries)
		if err != nil || len(got) != want || decodeCount-before != cost {
			t.Errorf("%v %v after %d decodings, want %d entries after %d", got, err, decodeCount-before, want, cost)
		}
		return got
	}
	first := of(2, 2)
	of(2, 0)
	entries = maps.Clone(entries)
	entries["a/2"], entries["a/3"], entries["b/1"] = json.RawMessage("20"), json.RawMessage("3"), json.RawMessage("8")
	delete(entries, "a/1")
	if got := of(2, 2); got["2"].N != 20 || got["3"].N != 3 {
		t.Errorf("after a change: %v", got)
	}
	if first["1"].N != 1 || first["2"].N != 2 {
		t.Errorf("what was handed out before has changed: %v", first)
	}
	entries = maps.Clone(entries)
	entries["a/3"] = json.RawMessage("{")
	if _, err := d.Of(entries); err == nil {
		t.Error("an entry that can't be read is passed over")
	}
	entries["a/3"] = json.RawMessage("3")
	of(2, 0)
	// One goes as another comes.
	entries = maps.Clone(entries)
	delete(entries, "a/2")
	entries["a/4"] = json.RawMessage("4")
	if got := of(2, 1); got["4"].N != 4 {
		t.Errorf("%v", got)
	}
	entries = maps.Clone(entries)
	delete(entries, "a/4")
	of(1, 0)
}
