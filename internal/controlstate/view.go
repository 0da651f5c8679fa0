package controlstate

import "slices"

// Member is a control node together with its disk: the same control node with another disk is
// another member.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Disk string `json:"disk"`
}

// same reports whether both are the same control node with the same known disk.
func (m Member) same(n Member) bool { return m.Addr == n.Addr && m.Disk == n.Disk && m.Disk != "" }

// View is the configuration of an epoch: the members that store the control state and the
// witnesses that vote.
type View struct {
	Epoch     int64    `json:"epoch"`
	Primary   Member   `json:"primary"`
	Backups   []Member `json:"backups"`
	Witnesses []string `json:"witnesses"` // internal addresses
	// Prior is the previous set of witnesses while the set is being changed. If it is not empty,
	// a majority of it must agree as well.
	Prior []string `json:"prior,omitempty"`
	// Unanimous lists the surviving half of the previous witnesses and the newcomers that voted
	// with it (see memberPolicy.newcomerView). If it is not empty, each of them must agree, in
	// place of a majority of Prior.
	Unanimous []string `json:"unanimous,omitempty"`
}

// Has reports whether m, with its disk, stores the state in this view.
func (v View) Has(m Member) bool { return m.same(v.Primary) || slices.ContainsFunc(v.Backups, m.same) }

// sameAs reports whether both views have the same epoch and primary.
func (v View) sameAs(other View) bool { return v.Epoch == other.Epoch && v.Primary == other.Primary }

// quorumSets returns the sets of witnesses of which a majority each is required.
func (v View) quorumSets() [][]string {
	if len(v.Unanimous) == 0 {
		return v.witnessSets()
	}
	sets := [][]string{v.Witnesses}
	for _, addr := range v.Unanimous {
		sets = append(sets, []string{addr})
	}
	return sets
}

// witnessSets returns the view's witnesses and, during a change, the previous ones: every voter in
// a later election belongs to one of them.
func (v View) witnessSets() [][]string {
	if len(v.Prior) == 0 {
		return [][]string{v.Witnesses}
	}
	return [][]string{v.Witnesses, v.Prior}
}

// establishedWitnesses returns the witnesses whose majority is decisive until the view is
// superseded: the previous ones while the set is being changed, since that change may fail.
func (v View) establishedWitnesses() []string {
	if len(v.Prior) > 0 {
		return v.Prior
	}
	return v.Witnesses
}

// inTransition reports whether the view requires more votes than those of its witnesses, and is to
// be followed by a view that does not.
func (v View) inTransition() bool { return len(v.Prior) > 0 || len(v.Unanimous) > 0 }

// union returns the elements of all sets, each once.
func union(sets ...[]string) []string {
	var out []string
	for _, set := range sets {
		for _, addr := range set {
			if !slices.Contains(out, addr) {
				out = append(out, addr)
			}
		}
	}
	return out
}

// majorityOfEach reports whether a majority of each set voted.
func majorityOfEach(sets [][]string, voted func(addr string) bool) bool {
	for _, set := range sets {
		if 2*len(votersOf(set, voted)) <= len(set) {
			return false
		}
	}
	return true
}

// intersectsEveryMajority reports whether the intact registers that were read include, in each
// set, at least one of any majority that may have voted.
func intersectsEveryMajority(sets [][]string, read func(addr string) bool) bool {
	for _, set := range sets {
		if majority := len(set)/2 + 1; len(votersOf(set, read)) <= len(set)-majority {
			return false
		}
	}
	return true
}

// votersOf returns the elements of a set that voted.
func votersOf(set []string, voted func(addr string) bool) []string {
	return slices.DeleteFunc(slices.Clone(set), func(addr string) bool { return !voted(addr) })
}

// difference returns the addresses that are not among others, or nil if there are none.
func difference(addrs, others []string) (out []string) {
	for _, addr := range addrs {
		if !slices.Contains(others, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// without returns the addresses except one.
func without(addrs []string, addr string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(other string) bool { return other == addr })
}
