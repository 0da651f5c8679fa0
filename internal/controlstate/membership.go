package controlstate

import (
	"maps"
	"slices"

	"indigowalk/internal/kernel"
)

// membership is what a primary knows of who takes part, and what it concludes:
// which witnesses and backups the next view should have, and whether the
// present one bears the losses that are to be borne. It asks nobody and changes
// nothing but its notes. docs/hardening.md names the invariants that rest on it.
type memberPolicy struct {
	self             Member
	tolerated        int // control nodes that may be lost at once, with their disks
	lease            kernel.Micros
	witnessTimeout   kernel.Micros            // a witness that is silent for longer is exchanged
	catchupTimeout   kernel.Micros            // how long to wait for the control nodes that losses asks for
	primarySince     kernel.Micros            // when this control node became the primary; 0 while it is not
	lastHeard        map[string]kernel.Micros // control nodes by when they last took part
	excludedUntil    map[string]kernel.Micros // control nodes that failed as backups or leave, until when
	leaveNoticeAt    map[string]kernel.Micros // control nodes that said that they are about to end, when
	copyFailingSince map[string]kernel.Micros // control nodes that fail to take copies, since when
}

func newMemberPolicy(self Member, cfg Config) memberPolicy {
	return memberPolicy{
		self: self, tolerated: cfg.Losses, lease: cfg.Lease, witnessTimeout: min(cfg.WitnessTimeout, max(cfg.Lease, cfg.CatchupTimeout-2*cfg.Lease)), catchupTimeout: cfg.CatchupTimeout,
		lastHeard: map[string]kernel.Micros{}, excludedUntil: map[string]kernel.Micros{}, leaveNoticeAt: map[string]kernel.Micros{}, copyFailingSince: map[string]kernel.Micros{},
	}
}

// shunFor is how long a control node that failed is no backup, if there is another.
const exclusionPeriod = 2 * kernel.Second

// shun keeps a control node from being a backup for a while, if there is another.
func (m *memberPolicy) shun(addr string, now kernel.Micros) {
	m.excludedUntil[addr] = now + exclusionPeriod
}

func (m *memberPolicy) isExcluded(addr string, now kernel.Micros) bool {
	return now < m.excludedUntil[addr]
}

// fresh tells whether the control node took part within the last lease.
func (m *memberPolicy) isLive(addr string, now kernel.Micros) bool {
	at, ok := m.lastHeard[addr]
	return ok && now-at < m.lease
}

// away tells whether a witness has been silent for so long that another should
// have its place. That is less than catchup by the time that a take-over needs:
// when its successor counts as back, the exchange is done, even if the primary
// was lost just before it would have made it.
func (m *memberPolicy) isUnresponsive(addr string, now kernel.Micros) bool {
	return now-max(m.lastHeard[addr], m.primarySince) > m.witnessTimeout
}

// unheard tells whether a witness was not among those that voted, and has
// answered nothing since the take-over for a call's time: it may have been lost
// with the last primary, or before.
func (m *memberPolicy) unheardSinceTakeover(addr string, now kernel.Micros) bool {
	return m.lastHeard[addr] < m.primarySince && now-m.primarySince >= m.lease/4
}

// spares are the control nodes that take part and are not in the set.
func (m *memberPolicy) spares(set []string, now kernel.Micros) []string {
	var out []string
	for addr := range m.lastHeard {
		if m.isLive(addr, now) && !slices.Contains(set, addr) && !m.isExcluded(addr, now) {
			out = append(out, addr)
		}
	}
	slices.Sort(out)
	return out
}

// wantedWitnesses is the set that there should be in place of one: large enough
// for the losses to be borne, without witnesses that stay away while a spare
// control node is there or the others are enough.
func (m *memberPolicy) desiredWitnesses(set []string, now kernel.Micros) []string {
	set = slices.Clone(set)
	if m.primarySince == 0 {
		return set
	}
	spares := m.spares(set, now)
	for i, addr := range set {
		switch unresponsive := m.isUnresponsive(addr, now); {
		case addr == m.self.Addr:
		case (unresponsive || m.unheardSinceTakeover(addr, now)) && len(spares) > 0:
			set[i], spares = spares[0], spares[1:]
		case unresponsive && len(set) > max(3, 2*m.tolerated):
			// Without it the losses can be borne just as well; with it, gone for
			// good, the losses of others would leave too few registers.
			return slices.Delete(set, i, i+1)
		}
	}
	for len(set) < 2*m.tolerated+1 && len(spares) > 0 {
		notLive := slices.IndexFunc(set, func(addr string) bool { return addr != m.self.Addr && !m.isLive(addr, now) })
		switch {
		case notLive < 0:
			set = append(set, spares[0])
		case now-m.primarySince >= m.lease/4:
			// Beside one that is gone for good it would bear no more losses than before.
			set[notLive] = spares[0]
		default:
			return set // it may not have been asked yet since the take-over
		}
		spares = spares[1:]
	}
	return set
}

// largeEnough tells whether the witnesses can bear the losses: what is left of
// each set must include one of any majority. A set before a change that can't is
// let go by the next view, which is formed at once. A control node that is there and
// not yet a witness is waited for; one that there is not, for a while.
func (m *memberPolicy) largeEnough(view View, now kernel.Micros) bool {
	if len(view.Prior) > 0 && len(view.Prior) < 2*m.tolerated {
		return false
	}
	return len(view.Witnesses) >= 2*m.tolerated || now-m.primarySince >= m.catchupTimeout && len(m.spares(view.Witnesses, now)) == 0
}

// leaves notes that a control node is about to end.
func (m *memberPolicy) noteLeaving(addr string, now kernel.Micros) {
	m.leaveNoticeAt[addr] = now
	m.shun(addr, now)
}

// isLeaving tells whether the control node said within the last lease that it is
// about to end: it says so again and again.
func (m *memberPolicy) isLeaving(addr string, now kernel.Micros) bool {
	at, ok := m.leaveNoticeAt[addr]
	return ok && now-at < m.lease
}

// failed notes that a control node did not take a copy, took that it did.
func (m *memberPolicy) failed(addr string, now kernel.Micros) {
	if _, ok := m.copyFailingSince[addr]; !ok {
		m.copyFailingSince[addr] = now
	}
	m.shun(addr, now)
}

func (m *memberPolicy) took(addr string) {
	delete(m.copyFailingSince, addr)
	delete(m.excludedUntil, addr)
}

// enoughCopies tells whether a view may rest on these backups: where there are
// fewer than may be lost, no other control node takes part. One that does is not lost,
// though it failed to take a copy, until it has failed for a lease; one that
// leaves is as good as lost.
func (m *memberPolicy) enoughCopies(backups, others []string, isLive func(addr string) bool, now kernel.Micros) bool {
	return len(backups) >= m.tolerated || !slices.ContainsFunc(others, func(addr string) bool {
		since, fails := m.copyFailingSince[addr]
		return addr != m.self.Addr && !slices.Contains(backups, addr) && isLive(addr) && !m.isLeaving(addr, now) && (!fails || now-since < m.lease)
	})
}

// enoughBackups tells whether a change may rest on the view's backups: none of
// them failed or is about to leave, and there are enough.
func (m *memberPolicy) enoughBackups(view View, now kernel.Micros) bool {
	addrs := backupAddrs(view)
	return !slices.ContainsFunc(addrs, func(addr string) bool { return m.isExcluded(addr, now) }) &&
		m.enoughCopies(addrs, slices.Collect(maps.Keys(m.lastHeard)), func(addr string) bool { return m.isLive(addr, now) }, now)
}

// wantsAnother tells whether the primary should form another view: because a
// backup failed or leaves, one more could be had, the set of witnesses is to
// change, or has changed and its predecessor can be let go.
func (m *memberPolicy) wantsNewView(view View, now kernel.Micros) bool {
	addrs := backupAddrs(view)
	return view.inTransition() ||
		slices.ContainsFunc(addrs, func(addr string) bool { return m.isExcluded(addr, now) }) ||
		len(addrs) < m.tolerated && len(m.spares(append(addrs, m.self.Addr), now)) > 0 ||
		!slices.Equal(m.desiredWitnesses(view.Witnesses, now), view.Witnesses)
}

// proposal is the next view, still without backups, and the sets of witnesses
// each of which must agree to it. A change of the set names both; only once that
// view is in force may one follow that lets the set before it go.
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

// mayStand: only a member of the highest view, with that same disk; at the
// very first start, while there is no view, a witness.
func (m *memberPolicy) mayCampaign(view View, firstStart bool) bool {
	if view.Epoch == 0 {
		return firstStart && slices.Contains(view.Witnesses, m.self.Addr)
	}
	return view.Has(m.self)
}

// takeover is when this control node, hearing nothing more, may stand: the primary
// of the view that has just started again at once, since its lease was its
// own; a backup after the lease, one after another; at the very first start
// the witnesses in turn.
func (m *memberPolicy) takeoverTime(view View, now kernel.Micros) kernel.Micros {
	if i := slices.Index(view.Witnesses, m.self.Addr); view.Epoch == 0 && i >= 0 {
		return now + kernel.Micros(i)*kernel.Second/2
	}
	if m.self.same(view.Primary) {
		return now
	}
	return now + m.lease + kernel.Micros(max(0, slices.IndexFunc(view.Backups, m.self.same)))*m.lease/4
}

// dispensable tells whether a control node may end without harm: the view does not
// keep the state on its disk, and a majority of the witnesses takes part without
// it.
func (m *memberPolicy) safeToRemove(view View, leaver Member, now kernel.Micros) bool {
	return !view.Has(leaver) && majorityOfEach(view.quorumSets(), func(addr string) bool {
		return addr != leaver.Addr && (addr == m.self.Addr || m.isLive(addr, now))
	})
}

// candidates lists the control nodes that a copy is offered to, in turn: those that
// kept the state in the last view come first, then others that take part, then
// those that are silent; shunned ones last.
func (m *memberPolicy) candidates(last View, live []string, responded func(addr string) bool, now kernel.Micros) []string {
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

// copies is how many backups there should be.
func (m *memberPolicy) copies() int { return max(1, m.tolerated) }
