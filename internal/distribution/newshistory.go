package distribution

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/routeconfig"
)

// news is what a pooler lacks of the control state.
type news struct {
	Whole     bool                     `json:"whole,omitempty"` // all there is, not only what changed
	Config    *routeconfig.Step        `json:"config,omitempty"`
	Databases databases                `json:"databases,omitempty"`
	Gone      []string                 `json:"gone,omitempty"` // databases that are no more
	Leads     map[string]failover.Lead `json:"leads,omitempty"`
}

// databases are told in groups of those that differ by id, service and address
// only: most are alike in all else.
type databases map[string]discovery.Database

type alike struct {
	discovery.Database
	Rows [][3]string `json:"rows"` // id, service and address of each
}

// MarshalJSON implements json.Marshaler.
func (d databases) MarshalJSON() ([]byte, error) {
	groups := map[discovery.Database][][3]string{}
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

// newsHistory is the control state as carriers are told of it in one term of the
// control state's primary. It is decoded once for each change.
type newsHistory struct {
	mu        sync.Mutex
	began     int64 // the term
	state     controlstate.State
	read      bool  // there is a state
	first     int64 // of the configuration, steps after this seq are known
	newest    int64 // seq of the newest change that carriers are told of, as far as is known
	conf      routeconfig.History
	rev       int64
	databases map[string]discovery.Database
	leads     map[string]failover.Lead
	told      map[int64]json.RawMessage // news by the seq that a carrier has
	whole     json.RawMessage           // for one of which nothing is known

	ofDatabases *controlstate.Decoded[discovery.Database]
	ofLeads     *controlstate.Decoded[failover.Lead]
}

func newNewsHistory(began int64) *newsHistory {
	return &newsHistory{began: began, ofDatabases: discovery.Decoder(), ofLeads: failover.Decoder()}
}

// concerns tells whether poolers are told of an entry.
func concerns(key string) bool {
	return key == routeconfig.Key || discovery.Holds(key) || failover.Holds(key)
}

// since returns what a carrier that has the state of seq lacks; nil if that is
// nothing. Urgent news are not to wait.
func (e *newsHistory) since(state controlstate.State, seq int64) (raw json.RawMessage, urgent bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.turn(state); err != nil {
		return nil, false, err
	}
	n := news{Whole: !state.Knows(seq)}
	if seq >= state.Seq || !n.Whole && seq >= e.newest {
		return nil, false, nil
	}
	if n.Whole && e.whole != nil {
		return e.whole, true, nil
	}
	if n.Whole {
		n.Databases, n.Leads = e.databases, e.leads
		if e.rev > 0 {
			n.Config = e.conf.Since(0, true)
		}
		if e.whole, err = json.Marshal(n); err != nil {
			return nil, false, fmt.Errorf("distribution: %w", err)
		}
		return e.whole, true, nil
	}
	n.Databases, n.Leads = databases{}, map[string]failover.Lead{}
	for _, key := range state.Since(seq) {
		urgent = urgent || failover.Holds(key)
		e.add(&n, key, seq)
	}
	raw, told := e.told[seq]
	if told {
		return raw, urgent, nil
	}
	if raw, err = json.Marshal(n); err != nil {
		return nil, false, fmt.Errorf("distribution: %w", err)
	}
	e.told[seq] = raw
	return raw, urgent, nil
}

// has tells whether there is such a database.
func (e *newsHistory) has(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, there := e.databases[id]
	return there
}

// add puts one entry among the news of whoever has the state of seq.
func (e *newsHistory) add(n *news, key string, seq int64) {
	if key == routeconfig.Key && e.rev > 0 {
		n.Config = e.conf.Since(seq, seq < e.first)
	}
	if id, ok := strings.CutPrefix(key, discovery.Key("")); ok {
		if d, there := e.databases[id]; there {
			n.Databases[id] = d
		} else {
			n.Gone = append(n.Gone, id)
		}
	}
	if svc, ok := strings.CutPrefix(key, failover.Key("")); ok {
		if l, there := e.leads[svc]; there {
			n.Leads[svc] = l
		}
	}
}

// turn takes a newer state in.
func (e *newsHistory) turn(state controlstate.State) error {
	if e.read && state.Seq == e.state.Seq {
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
	databases := make(map[string]discovery.Database, len(listed))
	for id, d := range listed {
		if !d.Gone {
			databases[id] = d
		}
	}
	leads, err := e.ofLeads.Of(next)
	if err != nil {
		return err
	}
	if !e.read {
		e.first = state.Seq
	}
	if e.rev == 0 || !bytes.Equal(e.state.Entries[routeconfig.Key], next[routeconfig.Key]) {
		_, conf, err := routeconfig.Decode(next[routeconfig.Key])
		if err != nil {
			return err
		}
		if conf != nil {
			e.conf.Turn(conf, state.Seq)
			e.rev = conf.Rev
		}
	}
	newer := !e.read
	for _, key := range state.Since(e.state.Seq) {
		if concerns(key) {
			e.newest, newer = state.Seq, true
		}
	}
	if newer {
		e.told, e.whole = map[int64]json.RawMessage{}, nil
	}
	e.read, e.state, e.databases, e.leads = true, state, databases, leads
	return nil
}
