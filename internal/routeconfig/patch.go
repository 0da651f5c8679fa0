package routeconfig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// patch is a change of named items of a configuration, by kind of item.
type patch struct {
	Rev    int64                        `json:"rev"`
	Upsert map[string][]json.RawMessage `json:"upsert"`
	Remove map[string][]string          `json:"remove"`
}

func parsePatch(raw []byte) (*patch, error) {
	p := &patch{}
	switch {
	case !json.Valid(raw):
		return nil, &ValidationError{[]FieldError{{"body", "is not JSON in full"}}}
	case json.Unmarshal(raw, p) != nil:
		return nil, &ValidationError{[]FieldError{{"body", "is not rev, upsert and remove"}}}
	case p.Rev <= 0:
		return nil, &ValidationError{[]FieldError{{"rev", "fails gt=0"}}}
	}
	return p, nil
}

// itemName returns an item's name. field is the path of the item in the body, for the error.
func itemName(field string, raw json.RawMessage) (string, error) {
	var item struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &item); err != nil || item.Name == "" {
		return "", &ValidationError{[]FieldError{{field, "has no name"}}}
	}
	return item.Name, nil
}

// apply returns the body with the patch applied. All items that the patch does not name are kept
// as they were sent, and so are unknown fields.
func (p *patch) apply(body json.RawMessage) (json.RawMessage, error) {
	sections := map[string]json.RawMessage{}
	if body != nil {
		if err := json.Unmarshal(body, &sections); err != nil {
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
		items, err := p.items(kind, sections[kind])
		if err != nil {
			return nil, err
		}
		if sections[kind], err = json.Marshal(items); err != nil {
			return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
		}
	}
	sections["rev"] = fmt.Appendf(nil, "%d", p.Rev)
	raw, err := json.Marshal(sections)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return raw, nil
}

// items applies the patch to one list of the body.
func (p *patch) items(kind string, raw json.RawMessage) ([]json.RawMessage, error) {
	items := []json.RawMessage{}
	if len(raw) > 0 && !bytes.Equal(raw, []byte("null")) {
		if err := json.Unmarshal(raw, &items); err != nil {
			return nil, &ValidationError{[]FieldError{{kind, "is no list of named items"}}}
		}
	}
	indexOf := map[string]int{}
	for i, item := range items {
		name, err := itemName(fmt.Sprintf("%s[%d]", kind, i), item)
		if err != nil {
			return nil, err
		}
		indexOf[name] = i
	}
	for i, item := range p.Upsert[kind] {
		name, err := itemName(fmt.Sprintf("upsert.%s[%d]", kind, i), item)
		if err != nil {
			return nil, err
		}
		if index, exists := indexOf[name]; exists {
			items[index] = item
			continue
		}
		indexOf[name] = len(items)
		items = append(items, item)
	}
	removed := map[int]bool{}
	for _, name := range p.Remove[kind] {
		if i, exists := indexOf[name]; exists {
			removed[i] = true
		}
	}
	kept := items[:0]
	for i, item := range items {
		if !removed[i] {
			kept = append(kept, item)
		}
	}
	return kept, nil
}
