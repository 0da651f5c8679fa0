package controlstate

import (
	"cmp"
	"slices"
)

// halfSurvives reports whether, of each set of witnesses, either a majority voted, or exactly half
// where the set has twice as many witnesses as failures are tolerated, and the others of that set
// did not respond: those may never return. A witness that refused because it has promised a later
// epoch counts as alive: it will vote when asked again. A witness that waits for a lease to expire
// may be lost before it votes. That lease has expired if the surviving witnesses report so, since
// at least one of them granted it too.
func (m *memberPolicy) halfSurvives(known View, responses map[string]promiseResponse) bool {
	if len(known.Unanimous) > 0 && len(known.Prior) == 0 {
		return false
	}
	granted := grantedBy(responses)
	for _, set := range known.witnessSets() {
		refused := slices.ContainsFunc(set, func(addr string) bool { return !granted(addr) && responses[addr].refused() })
		if !majorityOfEach([][]string{set}, granted) && (refused || !m.exactlyHalfVoted(set, granted)) {
			return false
		}
	}
	return true
}

// exactlyHalfVoted reports whether the set has twice as many witnesses as failures are tolerated, and
// half of them voted.
func (m *memberPolicy) exactlyHalfVoted(set []string, voted func(addr string) bool) bool {
	return len(set) == 2*m.tolerated && len(votersOf(set, voted)) == m.tolerated
}

// newcomerView returns the view in which newcomers vote together with the surviving half of the
// witnesses; false if they may not. Newcomers are control nodes that joined with empty disks after
// that set of witnesses was formed. As many newcomers as failures are tolerated suffice: as long as
// they are not witnesses, there can be no more newcomers than witnesses were lost, so newcomers
// can't vote with both halves of a set that was merely partitioned. Fewer suffice where one of the
// unresponsive half is permanently lost, since that half can then not form a view at all. Every
// node that votes for the view has to accept it.
func (m *memberPolicy) newcomerView(known, view View, responses map[string]promiseResponse, unreachable []string) (View, bool) {
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

// intersection returns the elements of a set that are among others.
func intersection(set, others []string) []string {
	return slices.DeleteFunc(slices.Clone(set), func(addr string) bool { return !slices.Contains(others, addr) })
}

// nonVotersOf returns the elements of a set that have not voted: those that may be reachable before
// the unreachable ones, and within each group those that granted a renewal most recently first.
func (m *memberPolicy) nonVotersOf(set []string, voted func(addr string) bool, unreachable []string) []string {
	nonVoters := slices.DeleteFunc(slices.Clone(set), voted)
	slices.SortStableFunc(nonVoters, func(a, b string) int { return cmp.Compare(m.lastGranted[b], m.lastGranted[a]) })
	return append(difference(nonVoters, unreachable), intersection(nonVoters, unreachable)...)
}

// suspects returns the unresponsive witnesses for which it must be established whether they are
// permanently lost: too few newcomers vote with the other half of their set, and at least one
// newcomer has never had contact with them. That newcomer therefore joined after they were lost,
// and not while the set was merely partitioned.
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

// newcomersTo returns the nodes that have promised and joined after a view's set of witnesses was
// formed. During a change of the set, a node that is new to the previous set and not in the next
// one is new to both.
func newcomersTo(known View, set []string, responses map[string]promiseResponse) (newcomers []string) {
	for addr, response := range responses {
		isNew := slices.ContainsFunc(known.witnessSets(), func(witnesses []string) bool { return slices.Equal(response.WitnessesAtRecovery, witnesses) })
		if response.Granted && isNew && !slices.Contains(set, addr) {
			newcomers = append(newcomers, addr)
		}
	}
	slices.Sort(newcomers)
	return newcomers
}
