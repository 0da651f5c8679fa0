package connpool

import "indigowalk/internal/invariant"

// markLent records that a connection is borrowed. The caller holds the lock.
func (s *Pools[W, C]) markLent(p *pool[W, C], c C) {
	at := s.origins[c]
	s.k.Invariants.Check(!at.lent, invariant.LentOnce, "a connection to %s was lent twice", at.id)
	at.lent = true
	s.origins[c] = at
	p.lent++
}

// markReturned records that a connection is returned, and returns its origin. The caller holds the
// lock.
func (s *Pools[W, C]) markReturned(c C) origin[W, C] {
	at := s.origins[c]
	at.lent = false
	s.origins[c] = at
	at.pool.lent--
	p := at.pool
	// The returned connection counts as neither idle nor lent at this moment.
	s.k.Invariants.Check(p.open == len(p.idle)+p.lent+1, invariant.ConnectionsCounted,
		"%d connections to %s are open, %d idle and %d lent", p.open, at.id, len(p.idle), p.lent+1)
	return at
}

// checkDownKnown checks that only known databases are marked down. One that has just been removed
// may still be marked down until the next check.
func (s *Pools[W, C]) checkDownKnown(down map[string]int64) {
	unknown := map[string]bool{}
	for id := range down {
		if s.pools[id] != nil {
			continue
		}
		unknown[id] = true
		s.k.Invariants.Check(!s.downUnknown[id], invariant.DownIsKnown, "%s is marked down, but no such database is known", id)
	}
	s.downUnknown = unknown
}
