package controlstate

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// For any history of writes, copies and changes of the primary, the keys that a member lists as
// changed since a sequence number that it knows include every key whose durable value differs
// between then and now.
func TestRevisionsCoverEveryDifference(t *testing.T) {
	for seed := range uint64(1500) {
		rng := rand.New(rand.NewPCG(seed, 1))
		randomChange := func() map[string]json.RawMessage {
			out := map[string]json.RawMessage{}
			for range 1 {
				raw := json.RawMessage(strconv.Itoa(rng.IntN(2)))
				if rng.IntN(4) == 0 {
					raw = json.RawMessage("null")
				}
				out[strconv.Itoa(rng.IntN(3))] = raw
			}
			return out
		}
		durable := State{Epoch: 1, Seq: 1}.WithoutRevisions()
		history := map[int64]map[string]json.RawMessage{1: nil}
		members := []State{durable, durable, durable}
		for range 40 {
			switch primary := rng.IntN(len(members)); rng.IntN(4) {
			case 0:
				// A change that only one member has written and that is never acknowledged.
				if members[primary].Epoch == durable.Epoch && members[primary].Seq == durable.Seq {
					members[primary] = members[primary].With(randomChange())
				}
			case 1:
				// A new primary: its state, whose last change may be unacknowledged, is
				// copied to some members.
				if members[primary].Epoch != durable.Epoch {
					continue
				}
				members[primary].Epoch++
				durable = members[primary]
				for i := range members {
					if i != primary && rng.IntN(2) == 0 {
						members[i] = State{Epoch: durable.Epoch, Seq: durable.Seq, Entries: durable.Entries}.withHistoryOf(members[i])
					}
				}
				history[durable.Seq] = durable.Entries
			default:
				// A change that all members of the primary's epoch write. If one of them
				// has a different change on its disk, a new epoch must come first.
				c, seq := randomChange(), durable.Seq
				if slices.ContainsFunc(members, func(m State) bool { return m.Epoch == durable.Epoch && m.Seq != seq }) {
					continue
				}
				for i := range members {
					if members[i].Epoch == durable.Epoch {
						members[i] = members[i].With(c)
					}
				}
				durable = durable.With(c)
				history[durable.Seq] = durable.Entries
			}
			for _, m := range members {
				if m.Seq != durable.Seq || !maps.EqualFunc(m.Entries, durable.Entries, equalJSON) {
					continue
				}
				for seq, earlier := range history {
					if seq > m.Seq || !m.KnowsChangesSince(seq) {
						continue
					}
					listed := map[string]bool{}
					for _, key := range m.ChangedSince(seq) {
						listed[key] = true
					}
					for k := range 3 {
						key := strconv.Itoa(k)
						if string(earlier[key]) != string(m.Entries[key]) && !listed[key] {
							t.Fatalf("seed %d: entry %s was %s at %d, is %s at %d, and is not listed", seed, key, earlier[key], seq, m.Entries[key], m.Seq)
						}
					}
				}
			}
		}
	}
}

func equalJSON(a, b json.RawMessage) bool { return string(a) == string(b) }
