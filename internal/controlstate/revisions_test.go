package controlstate

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// Whatever states, writes and copies a member has seen, what it says changed
// since a sequence that it knows covers every difference between what was in
// force then and now.
func TestPastCoversEveryDifference(t *testing.T) {
	for seed := range uint64(1500) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		draw := func() map[string]json.RawMessage {
			out := map[string]json.RawMessage{}
			for range 1 {
				raw := json.RawMessage(strconv.Itoa(rnd.IntN(2)))
				if rnd.IntN(4) == 0 {
					raw = json.RawMessage("null")
				}
				out[strconv.Itoa(rnd.IntN(3))] = raw
			}
			return out
		}
		durable := State{Epoch: 1, Seq: 1}.WithoutRevisions()
		history := map[int64]map[string]json.RawMessage{1: nil}
		members := []State{durable, durable, durable}
		for range 40 {
			switch lead := rnd.IntN(len(members)); rnd.IntN(4) {
			case 0:
				// A change that only one member has seen, and that nobody acknowledges.
				if members[lead].Epoch == durable.Epoch && members[lead].Seq == durable.Seq {
					members[lead] = members[lead].With(draw())
				}
			case 1:
				// Another primary: its state, whose last change may have been
				// unacknowledged, is copied to some.
				if members[lead].Epoch != durable.Epoch {
					continue
				}
				members[lead].Epoch++
				durable = members[lead]
				for i := range members {
					if i != lead && rnd.IntN(2) == 0 {
						members[i] = State{Epoch: durable.Epoch, Seq: durable.Seq, Entries: durable.Entries}.withHistoryOf(members[i])
					}
				}
				history[durable.Seq] = durable.Entries
			default:
				// A change that all who follow the primary write. If one of them has
				// another on its disk, another epoch must come first.
				c, seq := draw(), durable.Seq
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
				for seq, then := range history {
					if seq > m.Seq || !m.Knows(seq) {
						continue
					}
					told := map[string]bool{}
					for _, key := range m.Since(seq) {
						told[key] = true
					}
					for k := range 3 {
						key := strconv.Itoa(k)
						if string(then[key]) != string(m.Entries[key]) && !told[key] {
							t.Fatalf("seed %d: entry %s was %s at %d, is %s at %d, and is not told", seed, key, then[key], seq, m.Entries[key], m.Seq)
						}
					}
				}
			}
		}
	}
}

func equalJSON(a, b json.RawMessage) bool { return string(a) == string(b) }
