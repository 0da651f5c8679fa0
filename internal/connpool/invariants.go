package connpool

import "indigowalk/internal/invariant"

// markBorrowed records that a connection is borrowed. The caller holds the lock.
func (ps *Pools[Want, C]) markBorrowed(p *pool[Want, C], c C) {
	origin := ps.origins[c]
	ps.k.Invariants.Check(!origin.borrowed, invariant.CheckedOutOnce, "a connection to %s was lent twice", origin.id)
	origin.borrowed = true
	ps.origins[c] = origin
	p.borrowed++
}

// markReturned records that a connection is returned, and returns its origin. The caller holds the
// lock.
func (ps *Pools[Want, C]) markReturned(c C) origin[Want, C] {
	origin := ps.origins[c]
	origin.borrowed = false
	ps.origins[c] = origin
	origin.pool.borrowed--
	p := origin.pool
	// At this point the returned connection is counted as neither idle nor borrowed.
	ps.k.Invariants.Check(p.open == len(p.idle)+p.borrowed+1, invariant.ConnectionsCounted,
		"%d connections to %s are open, %d idle and %d lent", p.open, origin.id, len(p.idle), p.borrowed+1)
	return origin
}

// checkDownKnown checks that only known databases are marked down. One that has just been removed
// may still be marked down until the next check.
func (ps *Pools[Want, C]) checkDownKnown(down map[string]int64) {
	unknown := map[string]bool{}
	for id := range down {
		if ps.pools[id] != nil {
			continue
		}
		unknown[id] = true
		ps.k.Invariants.Check(!ps.downUnknown[id], invariant.DownIsKnown, "%s is marked down, but no such database is known", id)
	}
	ps.downUnknown = unknown
}
