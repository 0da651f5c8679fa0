package history

import (
	"cmp"
	"slices"
)

// forward: within one life of its process a node never goes back to an older
// configuration, whatever happens around it. Each probe must be explained by a version
// that is no older than one that explains the probe before it.
func (c *check) forward(orders *Orders) {
	all := orders.inForce()
	probes := slices.Clone(c.t.probes)
	slices.SortStableFunc(probes, func(a, b Probe) int { return cmp.Compare(a.Sent, b.Sent) })
	type life struct {
		node   string
		number int
	}
	oldest := map[life]int{} // version by its place
	for _, p := range probes {
		of := life{p.Pooler, c.livesBefore(p)}
		at, known := all.explains(p, oldest[of])
		if !known {
			continue
		}
		if at < 0 {
			c.broke(Config, p.Done, "%s goes back: it was at version %d and %s %s", p.Pooler, all[oldest[of]].rev,
				map[bool]string{true: "serves", false: "does not serve"}[p.Served], p.Route)
			continue
		}
		oldest[of] = at
	}
}

// livesBefore counts the lives of a node's process that have ended, or may have, when a
// probe was done.
func (c *check) livesBefore(p Probe) (n int) {
	for _, d := range c.excuses {
		ends := d.Kind != "freeze" && d.Kind != settingsChange && !d.Elsewhere
		if ends && (d.Everywhere || d.Node == p.Pooler) && d.At <= p.Done {
			n++
			if d.Till <= p.Sent {
				n++
			}
		}
	}
	return n
}

// explains returns the place of the first version from one on that explains a probe, -1
// if there is none; known is false if that can't be told.
func (v versions) explains(p Probe, from int) (at int, known bool) {
	for i := from; i < len(v); i++ {
		if v[i].sent > p.Done {
			break
		}
		if v[i].routes == nil {
			return 0, false
		}
		if _, has := v[i].routes[p.Route]; has == p.Served {
			return i, true
		}
	}
	return -1, len(v) > 0
}
