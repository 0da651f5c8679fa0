package history

import (
	"cmp"
	"slices"
)

// checkConfigOrder checks that an incarnation of a node's process never returns to an older
// configuration, whatever faults there are: each probe must be consistent with a version that is
// no older than the earliest one possible for the probe before it.
func (c *trafficCheck) checkConfigOrder(orders *Orders) {
	all := orders.committedVersions()
	probes := slices.Clone(c.traffic.probes)
	slices.SortStableFunc(probes, func(a, b Probe) int { return cmp.Compare(a.Sent, b.Sent) })
	type incarnation struct {
		node   string
		number int
	}
	oldest := map[incarnation]int{} // index into all of the oldest version that it may have
	for _, p := range probes {
		process := incarnation{p.Pooler, c.incarnationsBefore(p)}
		index, known := all.firstConsistent(p, oldest[process])
		if !known {
			continue
		}
		if index < 0 {
			c.addBreach(RuleConfig, p.Done, "%s goes back: it was at version %d and %s %s", p.Pooler, all[oldest[process]].rev,
				map[bool]string{true: "serves", false: "does not serve"}[p.Served], p.Route)
			continue
		}
		oldest[process] = index
	}
}

// incarnationsBefore numbers the incarnation of a node's process that a probe met. Each fault
// that ends the process counts once it has begun, and again once it is over: probes during the
// fault may meet either incarnation and are compared neither with earlier nor with later ones.
func (c *trafficCheck) incarnationsBefore(p Probe) (n int) {
	for _, f := range c.faults {
		endsProcess := f.Kind != "freeze" && f.Kind != settingsChange && !f.DependencyOnly
		if endsProcess && (f.AllNodes || f.Node == p.Pooler) && f.At <= p.Done {
			n++
			if f.End <= p.Sent {
				n++
			}
		}
	}
	return n
}

// firstConsistent returns the index of the first version, starting at from, that is consistent
// with the result of a probe, or -1 if there is none. known is false if there are no versions, or
// if the routes of one that must be compared are unknown.
func (v versions) firstConsistent(p Probe, from int) (index int, known bool) {
	for i := from; i < len(v); i++ {
		if v[i].sent > p.Done {
			break
		}
		if v[i].routes == nil {
			return 0, false
		}
		if _, present := v[i].routes[p.Route]; present == p.Served {
			return i, true
		}
	}
	return -1, len(v) > 0
}
