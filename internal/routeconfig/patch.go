package routeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// patch is a change of named items, of whatever kinds a configuration has.
type patch struct {
	Rev    int64                        `json:"rev"`
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Remove map[string][]string          `json:"remove"`
}

func parsePatch(raw []byte) (*patch, error) {
	p := &patch{}
	switch {
	case !json.Valid(raw):
		return nil, &Invalid{[]Fault{{"body", "is not JSON in full"}}}
	case json.Unmarshal(raw, p) != nil:
		return nil, &Invalid{[]Fault{{"body", "is not rev, upsert and remove"}}}
	case p.Rev <= 0:
		return nil, &Invalid{[]Fault{{"rev", "fails gt=0"}}}
	}
	return p, nil
}

// nameOf reads an item's name.
func nameOf(place string, raw json.RawMessage) (string, error) {
	var item struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &item); err != nil || item.Name == "" {
		return "", &Invalid{[]Fault{{place, "has no name"}}}
	}
	return item.Name, nil
}

// apply makes the changed body. What the patch does not name stays as it was
// sent, unknown fields too.
func (p *patch) apply(body json.RawMessage) (json.RawMessage, error) {
	all := map[string]json.RawMessage{}
	if body != nil {
		if err := json.Unmarshal(body, &all); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	kinds := map[string]bool{}
	for kind := range p.Upsert {
		kinds[kind] = true
	}
	for kind := range p.Remove {
		kinds[kind] = true
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		items, err := p.items(kind, all[kind])
		if err != nil {
			return nil, err
		}
		if all[kind], err = json.Marshal(items); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	all["rev"] = fmt.Appendf(nil, "%d", p.Rev)
	raw, err := json.Marshal(all)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return raw, nil
}

// items changes one list of the body.
func (p *patch) items(kind string, raw json.RawMessage) ([]json.RawMessage, error) {
	items := []json.RawMessage{}
	if len(raw) > 0 && !bytes.Equal(raw, []byte("null")) {
		if err := json.Unmarshal(raw, &items); err != nil {
			return nil, &Invalid{[]Fault{{kind, "is no list of named items"}}}
		}
	}
	at := map[string]int{}
	for i, item := range items {
		name, err := nameOf(fmt.Sprintf("%s[%d]", kind, i), item)
		if err != nil {
			return nil, err
		}
		at[name] = i
	}
	for i, item := range p.Upsert[kind] {
		name, err := nameOf(fmt.Sprintf("upsert.%s[%d]", kind, i), item)
		if err != nil {
			return nil, err
		}
		if old, there := at[name]; there {
			items[old] = item
			continue
		}
		at[name] = len(items)
		items = append(items, item)
	}
	gone := map[int]bool{}
	for _, name := range p.Remove[kind] {
		if i, there := at[name]; there {
			gone[i] = true
		}
	}
	kept := items[:0]
	for i, item := range items {
		if !gone[i] {
			kept = append(kept, item)
		}
	}
	return kept, nil
}
