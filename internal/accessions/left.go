package accessions

import (
	"encoding/json"
	"strconv"
)

// leaving is the record of a database that has deregistered, by which a late
// beat of it, or its leaving sent again, is known at any archive, also once
// nothing else is known of it. The records are a ring of entries: the Nth one
// takes the place of the one before that by leftKept.
type leaving struct {
	ID string `json:"id"`
	N  int64  `json:"n"`
}

// leftPrefix starts the entries of the control state that hold them.
const leftPrefix = "left/"

// leftKept is how many are kept: a late beat is late by seconds, in which some
// dozens leave at most.
const leftKept = 256

// hasLeft tells whether a database has deregistered.
func (a *Accessions) hasLeft(entries map[string]json.RawMessage, id string) (bool, error) {
	left, err := a.left.Of(entries)
	for _, l := range left {
		if l.ID == id {
			return true, err
		}
	}
	return false, err
}

// record adds the entry that notes a leaving to changes.
func (a *Accessions) record(entries map[string]json.RawMessage, id string, changes map[string]json.RawMessage) error {
	left, err := a.left.Of(entries)
	if err != nil {
		return err
	}
	next := leaving{ID: id}
	for _, l := range left {
		next.N = max(next.N, l.N+1)
	}
	changes[leftPrefix+strconv.FormatInt(next.N%leftKept, 10)], err = json.Marshal(next)
	return err
}
