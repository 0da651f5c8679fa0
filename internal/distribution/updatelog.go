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

// update is what a proxy lacks of the control state.
type update struct {
	// Full says that this is the full state, not only what changed.
	Full      bool                       `json:"whole,omitempty"`
	Config    *routeconfig.Delta         `json:"config,omitempty"`
	Databases databaseSet                `json:"databases,omitempty"`
	Removed   []string                   `json:"gone,omitempty"` // ids of removed databases
	Leaders   map[string]failover.Leader `json:"leads,omitempty"`
}

// databaseSet is encoded in groups of databases that differ only by id, service and address:
// most databases have all other attributes in common.
type databaseSet map[string]discovery.Database

// databaseGroup holds databases that differ only by id, service and address.
type databaseGroup struct {
	discovery.Database
	Rows [][3]string `json:"rows"` // id, service and address of each database
}

// MarshalJSON implements json.Marshaler.
func (d databaseSet) MarshalJSON() ([]byte, error) {
	groups := map[discovery.Database][][3]string{}
	for _, id := range slices.Sorted(maps.Keys(d)) {
		common := d[id]
		row := [3]string{common.ID, common.Service, common.Address}
		common.ID, common.Service, common.Address = "", "", ""
		groups[common] = append(groups[common], row)
	}
	out := make([]databaseGroup, 0, len(groups))
	for common, rows := range groups {
		out = append(out, databaseGroup{common, rows})
	}
	return json.Marshal(out)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *databaseSet) UnmarshalJSON(raw []byte) error {
	var groups []databaseGroup
	if err := json.Unmarshal(raw, &groups); err != nil {
		return err
	}
	*d = databaseSet{}
	for _, group := range groups {
		for _, row := range group.Rows {
			database := group.Database
			database.ID, database.Service, database.Address = row[0], row[1], row[2]
			(*d)[database.ID] = database
		}
	}
	return nil
}

// updateLog is the control state as it is published to proxies in one term of the control
// state's primary. The state is decoded once for each change.
type updateLog struct {
	mu          sync.Mutex
	term        int64 // that of the control state's primary
	state       controlstate.State
	loaded      bool  // whether there is a state
	firstSeq    int64 // each configuration change after this seq is known individually
	newestSeq   int64 // seq of the newest known change that is published to proxies
	config      routeconfig.History
	rev         int64
	databases   map[string]discovery.Database
	leaders     map[string]failover.Leader
	encoded     map[int64]json.RawMessage // encoded updates, by the seq that a proxy has
	encodedFull json.RawMessage           // the update for a proxy of which nothing is known

	databaseDecoder *controlstate.Decoder[discovery.Database]
	leaderDecoder   *controlstate.Decoder[failover.Leader]
}

func newUpdateLog(term int64) *updateLog {
	return &updateLog{term: term, databaseDecoder: discovery.Decoder(), leaderDecoder: failover.LeaderDecoder()}
}

// isPublished reports whether the entry of a key is published to proxies.
func isPublished(key string) bool {
	return key == routeconfig.Key || discovery.IsKey(key) || failover.IsLeaderKey(key)
}

// since returns the encoded update for a proxy that has the state of seq, nil if it lacks
// nothing. An urgent update must not be held back to be sent together with others.
func (l *updateLog) since(state controlstate.State, seq int64) (raw json.RawMessage, urgent bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.advance(state); err != nil {
		return nil, false, err
	}
	missing := update{Full: !state.KnowsChangesSince(seq)}
	if seq >= state.Seq || !missing.Full && seq >= l.newestSeq {
		return nil, false, nil
	}
	if missing.Full && l.encodedFull != nil {
		return l.encodedFull, true, nil
	}
	if missing.Full {
		missing.Databases, missing.Leaders = l.databases, l.leaders
		if l.rev > 0 {
			missing.Config = l.config.Since(0, true)
		}
		if l.encodedFull, err = json.Marshal(missing); err != nil {
			return nil, false, fmt.Errorf("distribution: %w", err)
		}
		return l.encodedFull, true, nil
	}
	missing.Databases, missing.Leaders = databaseSet{}, map[string]failover.Leader{}
	for _, key := range state.ChangedSince(seq) {
		urgent = urgent || failover.IsLeaderKey(key)
		l.addEntry(&missing, key, seq)
	}
	raw, cached := l.encoded[seq]
	if cached {
		return raw, urgent, nil
	}
	if raw, err = json.Marshal(missing); err != nil {
		return nil, false, fmt.Errorf("distribution: %w", err)
	}
	l.encoded[seq] = raw
	return raw, urgent, nil
}

// hasDatabase reports whether a database is part of the state.
func (l *updateLog) hasDatabase(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, known := l.databases[id]
	return known
}

// addEntry adds one entry to the update for a proxy that has the state of seq.
func (l *updateLog) addEntry(missing *update, key string, seq int64) {
	if key == routeconfig.Key && l.rev > 0 {
		missing.Config = l.config.Since(seq, seq < l.firstSeq)
	}
	if id, ok := strings.CutPrefix(key, discovery.Key("")); ok {
		if database, known := l.databases[id]; known {
			missing.Databases[id] = database
		} else {
			missing.Removed = append(missing.Removed, id)
		}
	}
	if service, ok := strings.CutPrefix(key, failover.LeaderKey("")); ok {
		if leader, known := l.leaders[service]; known {
			missing.Leaders[service] = leader
		}
	}
}

// advance applies a newer state.
func (l *updateLog) advance(state controlstate.State) error {
	if l.loaded && state.Seq == l.state.Seq {
		return nil
	}
	published := map[string]json.RawMessage{}
	for key, raw := range state.Entries {
		if isPublished(key) {
			published[key] = raw
		}
	}
	listed, err := l.databaseDecoder.Decode(published)
	if err != nil {
		return err
	}
	databases := make(map[string]discovery.Database, len(listed))
	for id, database := range listed {
		if !database.Gone {
			databases[id] = database
		}
	}
	leaders, err := l.leaderDecoder.Decode(published)
	if err != nil {
		return err
	}
	if !l.loaded {
		l.firstSeq = state.Seq
	}
	if l.rev == 0 || !bytes.Equal(l.state.Entries[routeconfig.Key], published[routeconfig.Key]) {
		_, config, err := routeconfig.Decode(published[routeconfig.Key])
		if err != nil {
			return err
		}
		if config != nil {
			l.config.Advance(config, state.Seq)
			l.rev = config.Rev
		}
	}
	changed := !l.loaded
	for _, key := range state.ChangedSince(l.state.Seq) {
		if isPublished(key) {
			l.newestSeq, changed = state.Seq, true
		}
	}
	if changed {
		l.encoded, l.encodedFull = map[int64]json.RawMessage{}, nil
	}
	l.loaded, l.state, l.databases, l.leaders = true, state, databases, leaders
	return nil
}
