package controlstate

import "bytes"

// minRevisions is how many of the newest changes are known at least; twice as
// many at most.
const minRevisions = 4096

// revisions is what a member knows of when the entries of its state last changed. It
// is not written to disk by itself: whoever opens a store, or is a backup for a
// while, has seen the changes. What it costs to add a change does not grow with
// those before it.
type revisions struct {
	completeAfter  int64     // changes after this sequence are known
	newest         *revision // of the changes that are known
	count          int       // how many those are
	gapFrom, gapTo int64     // but not what happened from lo on before hi
}

// revision is one change of the state: the entries that changed, or went. States
// share the older ones, so none is ever modified.
type revision struct {
	seq  int64
	keys []string
	prev *revision // with the same sequence or an older one
}

// WithoutRevisions is the state where nothing is known of before.
func (s State) WithoutRevisions() State {
	s.revisions = revisions{completeAfter: s.Seq}
	return s
}

// Knows tells whether all that changed after a sequence is known.
func (s State) Knows(seq int64) bool {
	return seq >= s.revisions.completeAfter && (seq < s.revisions.gapFrom || seq >= s.revisions.gapTo)
}

// Since lists the entries that changed, or went, after a sequence that is known.
func (s State) Since(seq int64) (keys []string) {
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

// withChange is the revisions after a change of these entries that makes sequence seq.
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

// withHistoryOf returns the state with what this member knows of its past from the
// one that it had. Of that, all but the last change is surely part of the past
// of every state that comes after it: a primary has one change under way at a
// time. So whatever differs counts as changed now, and nothing is known of the
// states from its last change on.
func (s State) withHistoryOf(old State) State {
	if old.Epoch == 0 || s.Seq < old.Seq {
		return s.WithoutRevisions()
	}
	var differ []string
	for key, raw := range s.Entries {
		if was, there := old.Entries[key]; !there || !bytes.Equal(was, raw) {
			differ = append(differ, key)
		}
	}
	for key := range old.Entries {
		if _, there := s.Entries[key]; !there {
			differ = append(differ, key)
		}
	}
	s.revisions = old.revisions.withChange(differ, s.Seq)
	if s.Seq > old.Seq {
		if s.revisions.gapTo == 0 {
			s.revisions.gapFrom = old.Seq
		}
		s.revisions.gapFrom, s.revisions.gapTo = min(s.revisions.gapFrom, old.Seq), s.Seq
	}
	return s
}
