package controlstate

import "slices"

// Member is a control node with a given disk: the same control node with another disk
// is another member.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Disk string `json:"disk"`
}

func (m Member) same(o Member) bool { return m.Addr == o.Addr && m.Disk == o.Disk && m.Disk != "" }

// View says who keeps the control state in an epoch, and who elects.
type View struct {
	Epoch     int64    `json:"epoch"`
	Primary   Member   `json:"primary"`
	Backups   []Member `json:"backups"`
	Witnesses []string `json:"witnesses"` // inner addresses
	// Prior is the set of witnesses before a change of the set. While it is
	// named, a majority of it must agree too.
	Prior []string `json:"prior,omitempty"`
	// Unanimous are control nodes of which each must agree while they are named, in place of
	// a majority of Prior: the half that was left of the witnesses before, and the newcomers
	// that stood by them (see succession).
	Unanimous []string `json:"unanimous,omitempty"`
}

// Has reports whether m, with its disk, keeps the state.
func (v View) Has(m Member) bool { return m.same(v.Primary) || slices.ContainsFunc(v.Backups, m.same) }

func (v View) sameAs(o View) bool { return v.Epoch == o.Epoch && v.Primary == o.Primary }

// sets are the sets of witnesses of each of which a majority is needed.
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

// chain are the view's witnesses and, during a change, those before it: whoever votes in
// some later election is of these.
func (v View) witnessSets() [][]string {
	if len(v.Prior) == 0 {
		return [][]string{v.Witnesses}
	}
	return [][]string{v.Witnesses, v.Prior}
}

// standing are the witnesses that a majority of stands for as long as the view is not
// followed: those before a change that may not be done.
func (v View) establishedWitnesses() []string {
	if len(v.Prior) > 0 {
		return v.Prior
	}
	return v.Witnesses
}

// inChange tells whether the view names more than its witnesses, and is to be followed by
// one that does not.
func (v View) inTransition() bool { return len(v.Prior) > 0 || len(v.Unanimous) > 0 }

// union lists the members of all sets once.
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

// majorities tells whether the voters are a majority of each set.
func majorityOfEach(sets [][]string, voted func(addr string) bool) bool {
	for _, set := range sets {
		if 2*len(votersOf(set, voted)) <= len(set) {
			return false
		}
	}
	return true
}

// overlap tells whether the intact registers that were read must include one
// of any majority that may have voted.
func intersectsEveryMajority(sets [][]string, read func(addr string) bool) bool {
	for _, set := range sets {
		if majority := len(set)/2 + 1; len(votersOf(set, read)) <= len(set)-majority {
			return false
		}
	}
	return true
}

// votersOf lists those of a set that voted.
func votersOf(set []string, voted func(addr string) bool) []string {
	return slices.DeleteFunc(slices.Clone(set), func(addr string) bool { return !voted(addr) })
}

// except lists the addresses that are not among others; nil if there are none.
func difference(addrs, others []string) (out []string) {
	for _, addr := range addrs {
		if !slices.Contains(others, addr) {
			out = append(out, addr)
		}
	}
	return out
}

// without lists the addresses but one.
func without(addrs []string, addr string) []string {
	return slices.DeleteFunc(slices.Clone(addrs), func(other string) bool { return other == addr })
}
