package controlstate

import (
	"maps"
	"slices"

	"indigowalk/internal/kernel"
)

// memberPolicy records which control nodes participate and decides on that basis which witnesses and
// backups the next view should have, and whether the current one tolerates the required failures.
// It does no I/O and changes nothing but its own records. docs/hardening.md names the invariants
// that depend on it.
type memberPolicy struct {
	self             Member
	tolerated        int // control nodes that may be lost at once, together with their disks
	lease            kernel.Micros
	witnessTimeout   kernel.Micros            // a witness unresponsive for longer than this is replaced
	catchupTimeout   kernel.Micros            // how long changes are refused while there are fewer control nodes than the tolerated failures require
	primarySince     kernel.Micros            // when this control node became the primary; 0 while it is not
	lastGranted      map[string]kernel.Micros // when each control node last granted a renewal, or voted for the takeover
	excluded         map[string]kernel.Micros // control nodes excluded as backups, because they failed or are leaving, and until when
	leaveNoticeAt    map[string]kernel.Micros // when control nodes last announced that they are shutting down
	copyFailingSince map[string]kernel.Micros // since when control nodes have failed to accept a copy of the state
}

func newMemberPolicy(self Member, cfg Config) memberPolicy {
	return memberPolicy{
		self: self, tolerated: cfg.FailuresTolerated, lease: cfg.Lease, witnessTimeout: min(cfg.WitnessTimeout, max(cfg.Lease, cfg.CatchupTimeout-2*cfg.Lease)), catchupTimeout: cfg.CatchupTimeout,
		lastGranted: map[string]kernel.Micros{}, excluded: map[string]kernel.Micros{}, leaveNoticeAt: map[string]kernel.Micros{}, copyFailingSince: map[string]kernel.Micros{},
	}
}

// excludeFor is how long a failed control node is not used as a backup, unless there is no other.
const excludeFor = 2 * kernel.Second

// exclude excludes a control node from being a backup for excludeFor, unless there is no other.
func (m *memberPolicy) exclude(addr string, now kernel.Micros) { m.excluded[addr] = now + excludeFor }

func (m *memberPolicy) isExcluded(addr string, now kernel.Micros) bool { return now < m.excluded[addr] }

// isLive reports whether the control node granted a renewal within the last lease period.
func (m *memberPolicy) isLive(addr string, now kernel.Micros) bool {
	at, ok := m.lastGranted[addr]
	return ok && now-at < m.lease
}

// isUnresponsive reports whether a witness has been unresponsive for so long that it should be
// replaced. That time is shorter than catchupTimeout by the duration of a takeover: by the time the
// replacement counts as caught up, the witness has been replaced, even if the primary was lost just
// before it would have done so.
func (m *memberPolicy) isUnresponsive(addr string, now kernel.Micros) bool {
	return now-max(m.lastGranted[addr], m.primarySince) > m.witnessTimeout
}

// unresponsiveSinceTakeover reports whether a witness was not among the voters of the takeover and
// has granted no renewal since, although there was time for a call: it may have been lost with the
// previous primary, or before.
func (m *memberPolicy) unresponsiveSinceTakeover(addr string, now kernel.Micros) bool {
	return m.lastGranted[addr] < m.primarySince && now-m.primarySince >= m.lease/4
}

// spares returns the live control nodes that are not in the set and not excluded.
func (m *memberPolicy) spares(set []string, now kernel.Micros) []string {
	var out []string
	for addr := range m.lastGranted {
		if m.isLive(addr, now) && !slices.Contains(set, addr) && !m.isExcluded(addr, now) {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// desiredWitnesses returns the set of witnesses that should replace the given one: large enough for
// the tolerated failures, and without unresponsive witnesses where a spare control node is
// available or the others suffice.
func (m *memberPolicy) desiredWitnesses(set []string, now kernel.Micros) []string {
	set = slices.Clone(set)
	if m.primarySince == 0 {
		return set
	}
	spares := m.spares(set, now)
	for i, addr := range set {
		switch unresponsive := m.isUnresponsive(addr, now); {
		case addr == m.self.Addr:
		case (unresponsive || m.unresponsiveSinceTakeover(addr, now)) && len(spares) > 0:
			set[i], spares = spares[0], spares[1:]
		case unresponsive && len(set) > max(3, 2*m.tolerated):
			// Without this witness the set tolerates just as many failures. If it stays in the
			// set and is permanently lost, failures of others would leave too few registers.
			return slices.Delete(set, i, i+1)
		}
	}
	for len(set) < 2*m.tolerated+1 && len(spares) > 0 {
		notLive := slices.IndexFunc(set, func(addr string) bool { return addr != m.self.Addr && !m.isLive(addr, now) })
		switch {
		case notLive < 0:
			set = append(set, spares[0])
		case now-m.primarySince >= m.lease/4:
			// Added next to a permanently lost witness, the spare would not raise the
			// number of failures tolerated; so it replaces that witness.
			set[notLive] = spares[0]
		default:
			return set // that witness may not have been contacted yet since the takeover
		}
		spares = spares[1:]
	}
	return set
}

// witnessesSuffice reports whether the witnesses tolerate the required failures: the survivors of
// each set must include one of any majority. A previous set that is too small is dropped by the
// next view, which is formed at once. Too few witnesses suffice only if there is no live control
// node that could be added to them, and catchupTimeout has passed since the takeover.
func (m *memberPolicy) witnessesSuffice(view View, now kernel.Micros) bool {
	if len(view.Prior) > 0 && len(view.Prior) < 2*m.tolerated {
		return false
	}
	return len(view.Witnesses) >= 2*m.tolerated || now-m.primarySince >= m.catchupTimeout && len(m.spares(view.Witnesses, now)) == 0
}

// noteLeaving records that a control node is shutting down.
func (m *memberPolicy) noteLeaving(addr string, now kernel.Micros) {
	m.leaveNoticeAt[addr] = now
	m.exclude(addr, now)
}

// isLeaving reports whether the control node announced within the last lease period that it is
// shutting down. It repeats the announcement until it may stop.
func (m *memberPolicy) isLeaving(addr string, now kernel.Micros) bool {
	at, ok := m.leaveNoticeAt[addr]
	return ok && now-at < m.lease
}

// copyFailed records that a control node did not accept a copy of the state.
func (m *memberPolicy) copyFailed(addr string, now kernel.Micros) {
	if _, ok := m.copyFailingSince[addr]; !ok {
		m.copyFailingSince[addr] = now
	}
	m.exclude(addr, now)
}

// copySucceeded records that a control node accepted a copy of the state.
func (m *memberPolicy) copySucceeded(addr string) {
	delete(m.copyFailingSince, addr)
	delete(m.excluded, addr)
}

// enoughCopies reports whether these backups suffice for a view. There may be fewer of them than
// failures are tolerated only if no other control node is live. A live node that fails to accept a
// copy counts as lost once it has failed for a lease period, one that is leaving at once.
func (m *memberPolicy) enoughCopies(backups, others []string, isLive func(addr string) bool, now kernel.Micros) bool {
	return len(backups) >= m.tolerated || !slices.ContainsFunc(others, func(addr string) bool {
		since, fails := m.copyFailingSince[addr]
		return addr != m.self.Addr && !slices.Contains(backups, addr) && isLive(addr) && !m.isLeaving(addr, now) && (!fails || now-since < m.lease)
	})
}

// enoughBackups reports whether the view's backups suffice for a change: none of them has failed or
// is leaving, and there are enough of them.
func (m *memberPolicy) enoughBackups(view View, now kernel.Micros) bool {
	addrs := backupAddrs(view)
	return !slices.ContainsFunc(addrs, func(addr string) bool { return m.isExcluded(addr, now) }) &&
		m.enoughCopies(addrs, slices.Collect(maps.Keys(m.lastGranted)), func(addr string) bool { return m.isLive(addr, now) }, now)
}

// wantsNewView reports whether the primary should form another view: because a backup failed or is
// leaving, a missing backup could be added, the set of witnesses is to change, or it has changed
// and the previous set can be dropped.
func (m *memberPolicy) wantsNewView(view View, now kernel.Micros) bool {
	addrs := backupAddrs(view)
	return view.inTransition() ||
		slices.ContainsFunc(addrs, func(addr string) bool { return m.isExcluded(addr, now) }) ||
		len(addrs) < m.tolerated && len(m.spares(append(addrs, m.self.Addr), now)) > 0 ||
		!slices.Equal(m.desiredWitnesses(view.Witnesses, now), view.Witnesses)
}

// proposal returns the next view, still without backups, and the sets of witnesses of which a
// majority each must agree to it. A change of witnesses contains both sets (a joint configuration);
// only once that view is in effect may a view follow that drops the previous set.
func (m *memberPolicy) proposal(known View, active bool, epoch int64, now kernel.Micros) (view View, sets [][]string) {
	view = View{Epoch: epoch, Primary: m.self, Witnesses: known.Witnesses}
	sets = known.quorumSets()
	if !active || known.inTransition() {
		return view, sets
	}
	if desired := m.desiredWitnesses(known.Witnesses, now); !slices.Equal(desired, known.Witnesses) {
		view.Witnesses, view.Prior = desired, known.Witnesses
		sets = append(sets, desired)
	}
	return view, sets
}

// mayCampaign reports whether this control node may campaign: only as a member of the newest view
// with the same disk or, at the first start while there is no view, as a witness.
func (m *memberPolicy) mayCampaign(view View, firstStart bool) bool {
	if view.Epoch == 0 {
		return firstStart && slices.Contains(view.Witnesses, m.self.Addr)
	}
	return view.Has(m.self)
}

// takeoverTime returns the earliest time at which this control node may campaign, unless the lease
// is renewed in the meantime. The view's own primary may campaign at once after a restart, since the
// lease is its own. Backups may campaign after the lease period, staggered by their position.
// At the first start the witnesses campaign, staggered by their position.
func (m *memberPolicy) takeoverTime(view View, now kernel.Micros) kernel.Micros {
	if i := slices.Index(view.Witnesses, m.self.Addr); view.Epoch == 0 && i >= 0 {
		return now + kernel.Micros(i)*kernel.Second/2
	}
	if m.self.same(view.Primary) {
		return now
	}
	return now + m.lease + kernel.Micros(max(0, slices.IndexFunc(view.Backups, m.self.same)))*m.lease/4
}

// safeToRemove reports whether a control node may stop safely: the view does not rely on the state on
// its disk, and a majority of the witnesses is live without it.
func (m *memberPolicy) safeToRemove(view View, leaving Member, now kernel.Micros) bool {
	return !view.Has(leaving) && majorityOfEach(view.quorumSets(), func(addr string) bool {
		return addr != leaving.Addr && (addr == m.self.Addr || m.isLive(addr, now))
	})
}

// backupCandidates returns the control nodes to which a copy of the state is offered, in order of
// preference: the backups of the last view, then other live nodes, then unresponsive ones; excluded
// ones come last.
func (m *memberPolicy) backupCandidates(last View, live []string, responded func(addr string) bool, now kernel.Micros) []string {
	lastBackups := backupAddrs(last)
	rank := func(addr string) int {
		r := 0
		if m.isExcluded(addr, now) {
			r += 4
		}
		if !responded(addr) && !m.isLive(addr, now) {
			r += 2
		}
		if !slices.Contains(lastBackups, addr) {
			r++
		}
		return r
	}
	order := union(lastBackups, live, last.Witnesses, []string{last.Primary.Addr})
	order = slices.DeleteFunc(order, func(addr string) bool { return addr == "" || addr == m.self.Addr })
	slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	return order
}

// backupCount returns the desired number of backups.
func (m *memberPolicy) backupCount() int { return max(1, m.tolerated) }
