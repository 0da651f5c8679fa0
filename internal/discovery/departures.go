package discovery

import (
	"encoding/json"
	"strconv"
)

// departure records a database that has deregistered or whose entry was removed. By it any
// control node recognises a late heartbeat of that database, or a repeated deregistration, even
// when nothing else is known of the database any more. The records form a ring of entries: record
// N replaces record N-maxDepartures.
type departure struct {
	ID string `json:"id"`
	N  int64  `json:"n"`
}

// departedPrefix starts the keys of the control state's entries that hold departures.
const departedPrefix = "departed/"

// maxDepartures is how many departures are kept: a late heartbeat is late by seconds, during
// which at most a few dozen databases depart.
const maxDepartures = 256

// hasDeparted reports whether the departure of a database is recorded.
func (a *Registry) hasDeparted(entries map[string]json.RawMessage, id string) (bool, error) {
	departed, err := a.departed.Decode(entries)
	for _, d := range departed {
		if d.ID == id {
			return true, err
		}
	}
	return false, err
}

// RecordDepartures adds entries that record departures to changes; a database has at most one.
// Every change that removes the entry of a database must record its departure.
func (a *Registry) RecordDepartures(entries, changes map[string]json.RawMessage, ids ...string) error {
	if len(ids) == 0 {
		return nil
	}
	departed, err := a.departed.Decode(entries)
	if err != nil {
		return err
	}
	var next int64
	known := map[string]bool{}
	for _, d := range departed {
		next, known[d.ID] = max(next, d.N+1), true
	}
	for _, id := range ids {
		if known[id] {
			continue
		}
		raw, err := json.Marshal(departure{id, next})
		if err != nil {
			return err
		}
		changes[departedPrefix+strconv.FormatInt(next%maxDepartures, 10)] = raw
		next++
	}
	return nil
}
