package subscription

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"indigowalk/internal/accessions"
	"indigowalk/internal/catalogue"
	"indigowalk/internal/custodian"
	"indigowalk/internal/vault"
)

// news is what a desk lacks of the control state.
type news struct {
	Whole     bool                      `json:"whole,omitempty"` // all there is, not only what changed
	Config    *catalogue.Step           `json:"config,omitempty"`
	Databases databases                 `json:"databases,omitempty"`
	Gone      []string                  `json:"gone,omitempty"` // databases that are no more
	Leads     map[string]custodian.Lead `json:"leads,omitempty"`
}

// databases are told in groups of those that differ by id, service and address
// only: most are alike in all else.
type databases map[string]accessions.Database

type alike struct {
	accessions.Database
	Rows [][3]string `json:"rows"` // id, service and address of each
}

// MarshalJSON implements json.Marshaler.
func (d databases) MarshalJSON() ([]byte, error) {
	groups := map[accessions.Database][][3]string{}
	for _, id := range slices.Sorted(maps.Keys(d)) {
		bare := d[id]
		row := [3]string{bare.ID, bare.Service, bare.Address}
		bare.ID, bare.Service, bare.Address = "", "", ""
		groups[bare] = append(groups[bare], row)
	}
	out := make([]alike, 0, len(groups))
	for bare, rows := range groups {
		out = append(out, alike{bare, rows})
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *databases) UnmarshalJSON(raw []byte) error {
	var groups []alike
	if err := json.Unmarshal(raw, &groups); err != nil {
		return err
	}
	*d = databases{}
	for _, g := range groups {
		for _, row := range g.Rows {
			one := g.Database
			one.ID, one.Service, one.Address = row[0], row[1], row[2]
			(*d)[one.ID] = one
		}
	}
	return nil
}

// edition is the control state as desks are told of it. It is decoded once
// for each change, and remembers since when each entry is as it is.
type edition struct {
	mu        sync.Mutex
	seq       int64 // of the state that it was made from
	first     int64 // changes after this seq are known one by one
	newest    int64 // seq of the newest change that desks are told of
	entries   map[string]json.RawMessage
	at        map[string]int64 // seq at which an entry last changed, or went
	conf      catalogue.History
	rev       int64
	databases map[string]accessions.Database
	leads     map[string]custodian.Lead
	told      map[int64]json.RawMessage // news by the seq that a desk has
	whole     json.RawMessage           // for a desk of which nothing is known

	ofDatabases *vault.Decoded[accessions.Database]
	ofLeads     *vault.Decoded[custodian.Lead]
}

func newEdition() *edition {
	return &edition{ofDatabases: accessions.Decoder(), ofLeads: custodian.Decoder()}
}

// concerns tells whether desks are told of an entry.
func concerns(key string) bool {
	return key == catalogue.Key || accessions.Holds(key) || custodian.Holds(key)
}

// since returns what a desk that has the state of seq lacks; nil if that is
// nothing. Urgent news are not to wait.
func (e *edition) since(state vault.State, seq int64) (raw json.RawMessage, urgent bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.turn(state); err != nil {
		return nil, false, err
	}
	if seq >= e.newest {
		return nil, false, nil
	}
	n := news{Whole: seq < e.first}
	for svc := range e.leads {
		urgent = urgent || e.at[custodian.Key(svc)] > seq
	}
	if n.Whole && e.whole != nil {
		return e.whole, true, nil
	}
	if raw, ok := e.told[seq]; ok && !n.Whole {
		return raw, urgent, nil
	}
	switch {
	case n.Whole:
		n.Databases, n.Leads = e.databases, e.leads
	default:
		n.Databases, n.Leads = databases{}, map[string]custodian.Lead{}
		for key, at := range e.at {
			if at > seq {
				e.add(&n, key)
			}
		}
	}
	if e.rev > 0 && (n.Whole || e.at[catalogue.Key] > seq) {
		n.Config = e.conf.Since(seq, n.Whole)
	}
	if raw, err = json.Marshal(n); err != nil {
		return nil, false, fmt.Errorf("subscription: %w", err)
	}
	if n.Whole {
		e.whole = raw
	} else {
		e.told[seq] = raw
	}
	return raw, urgent || n.Whole, nil
}

// add puts one entry among the news.
func (e *edition) add(n *news, key string) {
	if id, ok := strings.CutPrefix(key, accessions.Key("")); ok {
		if d, there := e.databases[id]; there {
			n.Databases[id] = d
		} else {
			n.Gone = append(n.Gone, id)
		}
	}
	if svc, ok := strings.CutPrefix(key, custodian.Key("")); ok {
		if l, there := e.leads[svc]; there {
			n.Leads[svc] = l
		}
	}
}

// turn takes a newer state in.
func (e *edition) turn(state vault.State) error {
	if e.entries != nil && state.Seq == e.seq {
		return nil
	}
	next := map[string]json.RawMessage{}
	for key, raw := range state.Entries {
		if concerns(key) {
			next[key] = raw
		}
	}
	listed, err := e.ofDatabases.Of(next)
	if err != nil {
		return err
	}
	databases := make(map[string]accessions.Database, len(listed))
	for id, d := range listed {
		if !d.Gone {
			databases[id] = d
		}
	}
	leads, err := e.ofLeads.Of(next)
	if err != nil {
		return err
	}
	if e.entries == nil || state.Seq < e.seq {
		// What came before is not known: whoever has less is told all.
		e.first, e.newest, e.at, e.entries = state.Seq, state.Seq, map[string]int64{}, next
		e.conf, e.rev = catalogue.History{}, 0
	}
	if !bytes.Equal(e.entries[catalogue.Key], next[catalogue.Key]) || e.rev == 0 {
		_, conf, err := catalogue.Decode(next[catalogue.Key])
		if err != nil {
			return err
		}
		if conf != nil {
			e.conf.Turn(conf, state.Seq)
			e.rev = conf.Rev
		}
	}
	for key, raw := range next {
		if !bytes.Equal(e.entries[key], raw) {
			e.at[key], e.newest = state.Seq, state.Seq
		}
	}
	for key := range e.entries {
		if _, still := next[key]; !still {
			e.at[key], e.newest = state.Seq, state.Seq
		}
	}
	if e.newest == state.Seq || e.told == nil {
		e.told, e.whole = map[int64]json.RawMessage{}, nil
	}
	e.seq, e.entries, e.databases, e.leads = state.Seq, next, databases, leads
	return nil
}
