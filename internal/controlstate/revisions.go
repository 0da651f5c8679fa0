package controlstate

import "bytes"

// minRevisions is the minimum number of the newest changes that are kept; the maximum is
// twice as many.
const minRevisions = 4096

// revisions is a member's record of which entries each of the newest changes of its state modified.
// It is not written to disk: a member rebuilds it from the changes that it reads when it
// opens its store or receives as a backup. The cost of adding a change does not grow with
// the number of earlier ones.
type revisions struct {
	completeAfter  int64     // all changes after this sequence number are known, except for the gap
	newest         *revision // most recent known change; older ones are linked by prev
	count          int       // number of known changes
	gapFrom, gapTo int64     // for a sequence number in [gapFrom, gapTo) the changes after it are not known
}

// revision is one change of the state: the keys of the entries that it modified or deleted.
// States share older revisions, so a revision is never modified.
type revision struct {
	seq  int64
	keys []string
	prev *revision // has the same sequence number or a lower one
}

// WithoutRevisions returns the state without any record of earlier changes.
func (s State) WithoutRevisions() State {
	s.revisions = revisions{completeAfter: s.Seq}
	return s
}

// KnowsChangesSince reports whether all changes after a sequence number are known.
func (s State) KnowsChangesSince(seq int64) bool {
	return seq >= s.revisions.completeAfter && (seq < s.revisions.gapFrom || seq >= s.revisions.gapTo)
}

// ChangedSince lists the keys of the entries that were modified or deleted after a known sequence
// number.
func (s State) ChangedSince(seq int64) (keys []string) {
	listed := map[string]bool{}
	for r := s.revisions.newest; r != nil && r.seq > seq; r = r.prev {
		for _, key := range r.keys {
			if !listed[key] {
				listed[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// withChange returns the revisions after a change of the entries with these keys that leads
// to sequence number seq.
func (p revisions) withChange(keys []string, seq int64) revisions {
	p.newest, p.count = &revision{seq, keys, p.newest}, p.count+1
	if p.count <= 2*minRevisions {
		return p
	}
	kept := make([]revision, minRevisions)
	r := p.newest
	for i := range kept {
		kept[i] = revision{seq: r.seq, keys: r.keys}
		if i > 0 {
			kept[i-1].prev = &kept[i]
		}
		r = r.prev
	}
	p.completeAfter, p.newest, p.count = max(p.completeAfter, r.seq), &kept[0], minRevisions
	return p
}

// withHistoryOf returns the state, received as a copy, with the revisions that this member
// knows from its previous state. All but the last change of the previous state are certainly
// part of the history of every later state, since a primary has only one change in progress
// at a time. So every entry that differs counts as changed now, and nothing is known about
// the states from the last change of the previous one up to this one.
func (s State) withHistoryOf(old State) State {
	if old.Epoch == 0 || s.Seq < old.Seq {
		return s.WithoutRevisions()
	}
	var differing []string
	for key, raw := range s.Entries {
		if previous, exists := old.Entries[key]; !exists || !bytes.Equal(previous, raw) {
			differing = append(differing, key)
		}
	}
	for key := range old.Entries {
		if _, exists := s.Entries[key]; !exists {
			differing = append(differing, key)
		}
	}
	s.revisions = old.revisions.withChange(differing, s.Seq)
	if s.Seq > old.Seq {
		if s.revisions.gapTo == 0 {
			s.revisions.gapFrom = old.Seq
		}
		s.revisions.gapFrom, s.revisions.gapTo = min(s.revisions.gapFrom, old.Seq), s.Seq
	}
	return s
}
