package connpool

import "indigowalk/internal/invariant"

// lend notes that a connection is lent. The caller holds the lock.
func (s *Pools[W, C]) lend(p *pool[W, C], c C) {
	at := s.origins[c]
	s.k.Invariants.Check(!at.lent, invariant.LentOnce, "a connection to %s is lent twice", at.id)
	at.lent = true
	s.origins[c] = at
	p.lent++
}

// takeBack notes that a connection is given back, and returns where it belongs. The
// caller holds the lock.
func (s *Pools[W, C]) takeBack(c C) origin[W, C] {
	at := s.origins[c]
	at.lent = false
	s.origins[c] = at
	at.pool.lent--
	p := at.pool
	// It is neither idle nor lent at this moment.
	s.k.Invariants.Check(p.open == len(p.idle)+p.lent+1, invariant.ConnectionsCounted,
		"%d connections to %s are open, %d idle and %d lent", p.open, at.id, len(p.idle), p.lent+1)
	return at
}

// watchDown checks that what is held as down are databases that there are. One that has
// just gone may be held as down until the next look.
func (s *Pools[W, C]) watchDown(down map[string]int64) {
	unknown := map[string]bool{}
	for id := range down {
		if s.pools[id] != nil {
			continue
		}
		unknown[id] = true
		s.k.Invariants.Check(!s.unknown[id], invariant.DownIsKnown, "%s is held as down, and there is no such database", id)
	}
	s.unknown = unknown
}
