package controlstate

import (
	"cmp"
	"slices"
)

// halfLeft tells whether a majority voted, or just half where the set is no larger than
// twice the losses to be borne, of each set of witnesses, and the others of it are silent:
// more of them may never be back. One that has promised a later epoch will vote when it is
// asked again; one that waits for a lease to end may be lost before: that lease is over if
// those that are left say so, since one of them granted it too.
func (m *memberPolicy) halfSurvives(known View, responses map[string]promiseResponse) bool {
	if len(known.Unanimous) > 0 && len(known.Prior) == 0 {
		return false
	}
	granted := grantedBy(responses)
	for _, set := range known.witnessSets() {
		refused := slices.ContainsFunc(set, func(addr string) bool { return !granted(addr) && responses[addr].refusedForAnother() })
		if !majorityOfEach([][]string{set}, granted) && (refused || !m.exactlyHalfVoted(set, granted)) {
			return false
		}
	}
	return true
}

func (m *memberPolicy) exactlyHalfVoted(set []string, voted func(addr string) bool) bool {
	return len(set) == 2*m.tolerated && len(votersOf(set, voted)) == m.tolerated
}

// succession is the view in which newcomers stand by a half of the witnesses that is left:
// control nodes that came with empty disks after that set was formed. As many of them as
// losses are to be borne will do: while they are none of its witnesses no more of them can
// be there than were lost, so they can't stand by both halves of a set that was merely cut.
// Fewer will do where one of the silent half is gone for good, since that half can then not
// stand at all. Each of those that vote for the view has to accept it.
func (m *memberPolicy) succession(known, view View, responses map[string]promiseResponse, unreachable []string) (View, bool) {
	granted := grantedBy(responses)
	if !m.halfSurvives(known, responses) {
		return view, false
	}
	view.Witnesses, view.Prior = known.Witnesses, nil
	for _, set := range known.witnessSets() {
		if !m.exactlyHalfVoted(set, granted) {
			continue
		}
		newcomers := newcomersTo(known, set, responses)
		if len(newcomers) == 0 || len(newcomers) < m.tolerated && len(intersection(set, unreachable)) == 0 {
			return view, false
		}
		newcomers = newcomers[:min(len(newcomers), m.tolerated)]
		voters := append(votersOf(set, granted), newcomers...)
		view.Unanimous = union(view.Unanimous, voters)
		if slices.Equal(set, known.Witnesses) || len(known.Witnesses) > 2*m.tolerated {
			kept := m.nonVotersOf(set, granted, unreachable)[:m.tolerated-len(newcomers)]
			view.Witnesses = slices.Concat(voters, kept)
		}
		if !m.exactlyHalfVoted(known.Witnesses, granted) || len(known.Prior) == 0 {
			view.Prior = set
		}
	}
	return view, true
}

// intersection lists those of a set that are among others.
func intersection(set, others []string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(addr string) bool { return !slices.Contains(others, addr) })
}

// silentOf lists those of a set that have not voted: first those that are not gone, then
// those that were heard last.
func (m *memberPolicy) nonVotersOf(set []string, voted func(addr string) bool, unreachable []string) []string {
	silent := slices.DeleteFunc(slices.Clone(set), voted)
	slices.SortStableFunc(silent, func(a, b string) int { return cmp.Compare(m.lastHeard[b], m.lastHeard[a]) })
	return append(difference(silent, unreachable), intersection(silent, unreachable)...)
}

// suspects are the silent ones of a half set of which it matters whether they are gone: too
// few newcomers stand by the other half, and one of these has never heard of them. It came
// after them, then, and not while the set was merely cut.
func (m *memberPolicy) suspects(known View, responses map[string]promiseResponse) (suspects []string) {
	granted := grantedBy(responses)
	for _, set := range known.witnessSets() {
		newcomers := newcomersTo(known, set, responses)
		if !m.exactlyHalfVoted(set, granted) || len(newcomers) >= m.tolerated {
			continue
		}
		for _, newcomer := range newcomers {
			suspects = union(suspects, slices.DeleteFunc(slices.Clone(responses[newcomer].NeverContacted), granted))
		}
	}
	return suspects
}

// newcomersTo are those that have promised and are new to a set of a view's witnesses. Whoever
// is new to the set before a change, and not in the one after it, is new to both.
func newcomersTo(known View, set []string, responses map[string]promiseResponse) (newcomers []string) {
	for addr, a := range responses {
		isNew := slices.ContainsFunc(known.witnessSets(), func(to []string) bool { return slices.Equal(a.NewTo, to) })
		if a.Granted && isNew && !slices.Contains(set, addr) {
			newcomers = append(newcomers, addr)
		}
	}
	slices.Sort(newcomers)
	return newcomers
}
