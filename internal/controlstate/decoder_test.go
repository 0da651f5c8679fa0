package controlstate

import (
	"encoding/json"
	"maps"
	"testing"
)

// countingValue counts in decodeCount how often a value of this type is decoded.
type countingValue struct{ N int }

var decodeCount int

func (c *countingValue) UnmarshalJSON(raw []byte) error {
	decodeCount++
	return json.Unmarshal(raw, &c.N)
}

// When the entries change, only those that differ are decoded again, and maps returned
// earlier stay unchanged.
func TestOnlyChangedEntriesAreDecoded(t *testing.T) {
	decoder := NewDecoder[countingValue]("a/")
	entries := map[string]json.RawMessage{"a/1": json.RawMessage("1"), "a/2": json.RawMessage("2"), "b/1": json.RawMessage("7")}
	decode := func(wantEntries, wantDecodings int) map[string]countingValue {
		t.Helper()
		before := decodeCount
		got, err := decoder.Decode(entries)
		if err != nil || len(got) != wantEntries || decodeCount-before != wantDecodings {
			t.Errorf("%v %v after %d decodings, want %d entries after %d", got, err, decodeCount-before, wantEntries, wantDecodings)
		}
		return got
	}
	first := decode(2, 2)
	decode(2, 0)
	entries = maps.Clone(entries)
	entries["a/2"], entries["a/3"], entries["b/1"] = json.RawMessage("20"), json.RawMessage("3"), json.RawMessage("8")
	delete(entries, "a/1")
	if got := decode(2, 2); got["2"].N != 20 || got["3"].N != 3 {
		t.Errorf("after a change: %v", got)
	}
	if first["1"].N != 1 || first["2"].N != 2 {
		t.Errorf("the map returned earlier has changed: %v", first)
	}
	entries = maps.Clone(entries)
	entries["a/3"] = json.RawMessage("{")
	if _, err := decoder.Decode(entries); err == nil {
		t.Error("no error for a malformed entry")
	}
	entries["a/3"] = json.RawMessage("3")
	decode(2, 0)
	// One entry is deleted as another is added.
	entries = maps.Clone(entries)
	delete(entries, "a/2")
	entries["a/4"] = json.RawMessage("4")
	if got := decode(2, 1); got["4"].N != 4 {
		t.Errorf("after a deletion and an addition: %v", got)
	}
	entries = maps.Clone(entries)
	delete(entries, "a/4")
	decode(1, 0)
}
