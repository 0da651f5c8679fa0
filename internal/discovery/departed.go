package discovery

import (
	"encoding/json"
	"strconv"
)

// departure is the record of a database that has deregistered, or whose entry
// was removed, by which a late beat of it, or its leaving sent again, is known
// at any control node, also once nothing else is known of it. The records are a
// ring of entries: the Nth one takes the place of the one before that by
// departuresKept.
type departure struct {
	ID string `json:"id"`
	N  int64  `json:"n"`
}

// departedPrefix starts the entries of the control state that hold them.
const departedPrefix = "departed/"

// maxDepartures is how many are kept: a late beat is late by seconds, in which
// some dozens depart at most.
const maxDepartures = 256

// hasDeparted tells whether there is a record of a database.
func (a *Registry) hasDeparted(entries map[string]json.RawMessage, id string) (bool, error) {
	departed, err := a.departed.Of(entries)
	for _, d := range departed {
		if d.ID == id {
			return true, err
		}
	}
	return false, err
}

// RecordDepartures adds the entries that note departures to changes; a database has one.
// Whoever removes the entry of a database records that.
func (a *Registry) RecordDepartures(entries, changes map[string]json.RawMessage, ids ...string) error {
	if len(ids) == 0 {
		return nil
	}
	departed, err := a.departed.Of(entries)
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
