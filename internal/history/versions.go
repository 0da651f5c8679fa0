package history

import (
	"maps"
	"slices"
	"time"
)

// version is a configuration that was in force.
type version struct {
	rev    int64
	routes map[string]int64 // deadlines by route; nil if unknown
	sent   time.Duration    // when its order was first sent
	acked  time.Duration    // when its order was first acknowledged; negative if it never was
}

// versions are sorted by revision.
type versions []version

// committedVersions returns the versions that are known to have been in force, because their
// order was acknowledged or they were read back.
func (h *Orders) committedVersions() (out versions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := orderCheck{history: h, committed: map[int64]int{}}
	c.collectCommitted()
	for _, rev := range slices.Sorted(maps.Keys(c.committed)) {
		n := c.committed[rev]
		v := version{rev: rev, routes: c.resultingRoutes(n), sent: -1, acked: -1}
		for _, a := range h.answers {
			if a.Order != n {
				continue
			}
			if v.sent < 0 || a.Sent < v.sent {
				v.sent = a.Sent
			}
			if a.Code == 200 && (v.acked < 0 || a.Done < v.acked) {
				v.acked = a.Done
			}
		}
		out = append(out, v)
	}
	return out
}

// routePresence reports whether any version that may have been in force in a time span has the
// route, and whether any lacks it. The newest version acknowledged before the span is certainly
// in force at its start; a later one may be in force as soon as its order is sent.
func (v versions) routePresence(route string, from, to time.Duration) (present, absent bool) {
	first := -1
	for i := range v {
		if v[i].acked >= 0 && v[i].acked < from {
			first = i
		}
	}
	if first < 0 {
		return true, true // no version is certain to be in force yet
	}
	for i := first; i < len(v); i++ {
		if v[i].sent > to {
			continue
		}
		if v[i].routes == nil {
			return true, true
		}
		if _, has := v[i].routes[route]; has {
			present = true
		} else {
			absent = true
		}
	}
	return present, absent
}
