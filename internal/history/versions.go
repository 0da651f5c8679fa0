package history

import (
	"maps"
	"slices"
	"time"
)

// version is a configuration that was in force.
type version struct {
	rev    int64
	routes map[string]int64 // nil if it is not known what it holds
	sent   time.Duration    // when its order was sent first
	acked  time.Duration    // when that was acknowledged first; never if it is below 0
}

// versions are in the order of their numbers.
type versions []version

// inForce lists the versions that were in force, as far as they were seen.
func (h *Orders) inForce() (out versions) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := chain{h: h, made: map[int64]int{}}
	c.collect()
	for _, rev := range slices.Sorted(maps.Keys(c.made)) {
		n := c.made[rev]
		v := version{rev: rev, routes: c.content(n), sent: -1, acked: -1}
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

// around tells whether any version that may have been in force in a span has the
// route, and whether any lacks it. The newest one that was acknowledged before the
// span is surely in force at its beginning; later ones may be once they were sent.
func (v versions) around(route string, from, to time.Duration) (in, out bool) {
	first := -1
	for i := range v {
		if v[i].acked >= 0 && v[i].acked < from {
			first = i
		}
	}
	if first < 0 {
		return true, true // nothing is sure yet
	}
	for i := first; i < len(v); i++ {
		if v[i].sent > to {
			continue
		}
		if v[i].routes == nil {
			return true, true
		}
		if _, has := v[i].routes[route]; has {
			in = true
		} else {
			out = true
		}
	}
	return in, out
}
