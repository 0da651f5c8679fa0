package discovery

import (
	"encoding/json"
	"strconv"
)

// departure records that a database has deregistered or that its entry was removed. With this
// record any control node recognises a late heartbeat of the database, or a repeated
// deregistration, even when it has no other record of the database. The records form a ring of
// entries: record N replaces record N-maxDepartures.
type departure struct {
	ID string `json:"id"`
	N  int64  `json:"n"`
}

// departedPrefix is the prefix of the keys of the control state's entries that hold departures.
const departedPrefix = "departed/"

// maxDepartures is the number of departures that are kept. A heartbeat is late by seconds at most,
// in which no more than a few dozen databases depart.
const maxDepartures = 256

// hasDeparted reports whether the departure of a database is recorded.
func (r *Registry) hasDeparted(entries map[string]json.RawMessage, id string) (bool, error) {
	departed, err := r.departureDecoder.Decode(entries)
	for _, d := range departed {
		if d.ID == id {
			return true, err
		}
	}
	return false, err
}

// RecordDepartures adds to changes the entries that record the departures of databases, except
// those already recorded. Every change that removes the entry of a database must record its
// departure.
func (r *Registry) RecordDepartures(entries, changes map[string]json.RawMessage, ids ...string) error {
	if len(ids) == 0 {
		return nil
	}
	departed, err := r.departureDecoder.Decode(entries)
	if err != nil {
		return err
	}
	var next int64
	recorded := map[string]bool{}
	for _, d := range departed {
		next, recorded[d.ID] = max(next, d.N+1), true
	}
	for _, id := range ids {
		if recorded[id] {
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
