package vault

import (
	"bytes"
	"encoding/json"
	"maps"
)

// revisions is what a member knows of when the entries of its state last changed. It
// is not written to disk by itself: whoever opens a store, or is a backup for a
// while, has seen the changes.
type revisions struct {
	from   int64            // changes after this sequence are known
	at     map[string]int64 // when an entry last changed, or went
	lo, hi int64            // but not what happened from lo on before hi
}

// WithoutRevisions is the state where nothing is known of before.
func (s State) WithoutRevisions() State {
	s.revisions = revisions{from: s.Seq}
	return s
}

// Knows tells whether all that changed after a sequence is known.
func (s State) Knows(seq int64) bool {
	return seq >= s.revisions.from && (seq < s.revisions.lo || seq >= s.revisions.hi)
}

// Since lists the entries that changed, or went, after a sequence that is known.
func (s State) Since(seq int64) (keys []string) {
	for key, at := range s.revisions.at {
		if at > seq {
			keys = append(keys, key)
		}
	}
	return keys
}

// changed is the revisions after a change that makes sequence seq.
func (p revisions) changed(changes map[string]json.RawMessage, seq int64) revisions {
	if p.at = maps.Clone(p.at); p.at == nil {
		p.at = map[string]int64{}
	}
	for key := range changes {
		p.at[key] = seq
	}
	return p
}

// follows returns the state with what this member knows of its past from the
// one that it had. Of that, all but the last change is surely part of the past
// of every state that comes after it: a primary has one change under way at a
// time. So whatever differs counts as changed now, and nothing is known of the
// states from its last change on.
func (s State) follows(old State) State {
	if old.Epoch == 0 || s.Seq < old.Seq {
		return s.WithoutRevisions()
	}
	s.revisions = old.revisions.changed(nil, 0)
	for key, raw := range s.Entries {
		if was, there := old.Entries[key]; !there || !bytes.Equal(was, raw) {
			s.revisions.at[key] = s.Seq
		}
	}
	for key := range old.Entries {
		if _, there := s.Entries[key]; !there {
			s.revisions.at[key] = s.Seq
		}
	}
	if s.Seq > old.Seq {
		if s.revisions.hi == 0 {
			s.revisions.lo = old.Seq
		}
		s.revisions.lo, s.revisions.hi = min(s.revisions.lo, old.Seq), s.Seq
	}
	return s
}
