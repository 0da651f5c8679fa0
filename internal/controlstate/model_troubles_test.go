package controlstate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

func (w *model) lostCount() (n int) {
	for _, o := range w.nodes {
		if o.countedLost && !o.retired {
			n++
		}
	}
	return n
}

// leavingCount counts those that are about to end, and not lost yet.
func (w *model) leavingCount() (n int) {
	for _, o := range w.nodes {
		if o.up && o.leaving && !o.countedLost {
			n++
		}
	}
	return n
}

// randomFault has the environment do something that it may do now.
func (w *model) randomFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if m := w.members(); len(m) > 0 && w.rng.IntN(2) == 0 {
		n = m[w.rng.IntN(len(m))]
	}
	if kinds := []faultKind{wiped, killed, cutOff, toldToLeave, replaced, returned, returned, returned}; !n.retired {
		w.inject(n, kinds[w.rng.IntN(len(kinds))])
	}
}

// faultKind is what the environment may do to a control node.
type faultKind int

// inject has the environment do something, if it may now; it tells whether it did.
func (w *model) inject(n *node, what faultKind) bool {
	if n.retired || w.hasSuccessor(n) {
		return false
	}
	lost, leaving := w.lostCount(), w.leavingCount()
	w.overBudget = w.overBudget || lost > w.f // one left while another was lost: no more, till they are back
	mayLose := (lost+max(0, leaving-1) < w.f || n.countedLost && lost == w.f) && !w.overBudget
	switch {
	case what <= killed && n.up && mayLose:
		n.countedLost = true
		if n.stop(); what == wiped {
			n.wipe(w)
		}
		w.logf("%s lost, wiped %v", n.addr, what == wiped)
	case what == cutOff && n.up && !n.partitioned && (mayLose || w.anyCuts):
		w.logf("%s cut off", n.addr)
		n.countedLost, n.partitioned = n.countedLost || !w.anyCuts, true
	case what == killed && n.up && w.anyCuts:
		w.logf("%s down", n.addr)
		n.stop()
	case what == toldToLeave && n.up && !n.leaving && !n.partitioned && lost+leaving < w.f && !w.overBudget:
		w.logf("%s leaves", n.addr)
		n.leaving = true
	case what == replaced && !n.up && mayLose && len(w.nodes) < 12:
		w.logf("%s replaced by %c", n.addr, rune('a'+len(w.nodes)))
		n.countedLost, n.epoch, n.content, n.reg = true, 0, 0, register{}
		s := w.addNode()
		s.predecessor = n
		s.countedLost = false // its predecessor is, until it has caught up
		s.start(w)
	case what == returned && n.partitioned:
		w.logf("%s joined again", n.addr)
		n.partitioned, n.backAt = false, w.now
	case what == returned && !n.up:
		w.logf("%s back", n.addr)
		n.start(w)
	default:
		return false
	}
	return true
}

func (w *model) hasSuccessor(n *node) bool {
	return slices.ContainsFunc(w.nodes, func(o *node) bool { return o.predecessor == n })
}

// wipe empties the disk.
func (n *node) wipe(w *model) {
	w.disks++
	n.disk, n.reg, n.epoch, n.content = fmt.Sprint("disk", w.disks), register{}, 0, 0
}

// clearRecovered has those that are back for catchup count no more, if what the primary
// wants to repair is repaired: that it is by then, the simulations show.
func (w *model) clearRecovered() {
	if w.overBudget = w.overBudget && w.lostCount() > 0; !slices.ContainsFunc(w.nodes, w.repaired) {
		return
	}
	for _, n := range w.nodes {
		if n.up && !n.partitioned && !n.leaving && w.now-n.backAt >= modelCatch {
			if n.countedLost = false; n.predecessor != nil {
				n.predecessor.retired, n.predecessor = true, nil
			}
		}
	}
}

// repaired tells whether n is the primary, and wants nothing more.
func (w *model) repaired(n *node) bool {
	if !n.up || n.partitioned || n.leaving || !n.holdsLease(w.now) || max(n.highestEpochTried, n.epoch) > n.newestView.Epoch || n.members.wantsNewView(n.newestView, w.now) || w.now-n.members.primarySince < 2*tick {
		return false
	}
	for _, o := range w.nodes {
		if o != n && o.up && !o.partitioned && !o.leaving && !n.members.isLive(o.addr, w.now) {
			return false
		}
	}
	return true
}

// checkInvariants looks at what must hold at every moment.
func (w *model) checkInvariants() {
	held := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.content&w.acked == w.acked })
	if !held {
		w.violate("AcknowledgedSurvives", "%b is on no disk", w.acked)
	}
	holders := ""
	for _, n := range w.nodes {
		if n.up && n.holdsLease(w.now) {
			holders += n.addr
		}
	}
	if len(holders) > 1 {
		w.violate("OneLease", "%s hold one", holders)
	}
}

// checkMajorityRemains checks that the control nodes go on by themselves: those that run now, if
// they are more than half, or all after those that are lost are back.
func (w *model) checkMajorityRemains(back bool) {
	if (w.overBudget || w.lostCount()+w.leavingCount() > w.f) && !back || w.violation != "" {
		return
	}
	c := w.clone()
	up, all := 0, 0
	for _, n := range c.nodes {
		if n.retired || c.hasSuccessor(n) {
			continue
		}
		if all++; back && n.partitioned {
			n.partitioned = false
		}
		if back && !n.up {
			n.start(c)
		}
		if n.leaving = false; n.up && !n.partitioned {
			up++
		}
	}
	if all <= 2*w.f && !back {
		up -= c.returnedWithoutSeat() // they are taken in once another is back
	}
	if 2*up <= all {
		return
	}
	for range 60 {
		c.tick(true)
		for _, n := range c.nodes {
			if before := c.acked; n.up && n.write(c) {
				for n.pendingWrite != nil {
					n.pendingWrite.step(c, n)
				}
				if c.acked != before {
					w.violation = c.violation
					return
				}
			}
		}
	}
	w.trace = c.trace
	w.violate("MajorityRemains", "%d of %d run, and no change is taken", up, all)
}

// returnedWithoutSeat counts the control nodes that have come back, and whose place among the witnesses
// a newcomer has, rather than that of the one that is gone for good.
func (w *model) returnedWithoutSeat() (n int) {
	var newest View
	for _, o := range w.nodes {
		if o.up && o.newestView.Epoch > newest.Epoch {
			newest = o.newestView
		}
	}
	for _, o := range w.nodes {
		if o.up && !o.partitioned && o.countedLost && o.predecessor == nil && !slices.Contains(newest.Witnesses, o.addr) {
			n++
		}
	}
	return n
}

func (w *model) clone() *model {
	c := *w
	c.rng = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	c.leaders, c.trace, c.nodes = maps.Clone(w.leaders), slices.Clone(w.trace), nil
	for _, n := range w.nodes {
		o := *n
		o.missedRenewals, o.members.lastHeard, o.members.excluded, o.members.leaveNoticeAt = maps.Clone(n.missedRenewals), maps.Clone(n.members.lastHeard), maps.Clone(n.members.excluded), maps.Clone(n.members.leaveNoticeAt)
		o.members.copyFailingSince = maps.Clone(n.members.copyFailingSince)
		if n.attempt != nil {
			s := *n.attempt
			s.disks, s.responses, s.granted = maps.Clone(s.disks), maps.Clone(s.responses), maps.Clone(s.granted)
			o.attempt = &s
		}
		if n.pendingWrite != nil {
			wr := *n.pendingWrite
			o.pendingWrite = &wr
		}
		c.nodes = append(c.nodes, &o)
	}
	for _, o := range c.nodes {
		if o.predecessor != nil {
			o.predecessor = c.at(o.predecessor.addr)
		}
	}
	return &c
}

// randomHistory plays one random history and returns the model.
func randomHistory(seed uint64, f, controlNodes int, without string) *model {
	w := newModel(seed, f, controlNodes, without).boot()
	w.randomSteps(160)
	if w.violation != "" {
		return w
	}
	w.checkMajorityRemains(false)
	w.loseRemaining()
	if w.rng.IntN(2) == 0 {
		w.powerCycle()
	}
	w.checkInvariants()
	w.checkMajorityRemains(true)
	return w
}

// randomSteps plays so many random steps, or fewer if an invariant breaks.
func (w *model) randomSteps(steps int) {
	for range steps {
		busy := w.nodesWithPendingStep()
		switch r := w.rng.IntN(100); {
		case r < 12:
			w.randomFault()
			for w.rng.IntN(2) == 0 { // troubles come together
				w.randomFault()
			}
		case r == 12 && w.rng.IntN(4) == 0:
			w.powerCycle()
		case len(busy) > 0 && r < 98:
			busy[w.rng.IntN(len(busy))].step(w)
		case r < 30:
			for _, n := range w.nodes {
				if n.up && n.write(w) {
					break
				}
			}
		default:
			w.tick(false)
		}
		if len(w.nodesWithPendingStep()) == 0 {
			w.clearRecovered()
		}
		w.checkInvariants()
		if w.violation != "" {
			return
		}
		if !w.anyCuts && w.rng.IntN(40) == 0 {
			w.checkMajorityRemains(w.rng.IntN(2) == 0)
		}
	}
}

// powerCycle has all that run begin another life at once, with what is on disk. All
// count as lost then.
func (w *model) powerCycle() {
	w.logf("power")
	for _, n := range w.nodes {
		if n.up {
			n.stop()
			n.start(w)
			n.countedLost, w.overBudget = true, true
		}
	}
}

// loseRemaining has as many lose their disks as still may be lost, those first that
// keep the newest view's state.
func (w *model) loseRemaining() {
	for _, n := range w.members() {
		if n.up && (n.countedLost || w.lostCount()+max(0, w.leavingCount()-1) < w.f) && !w.overBudget {
			w.logf("%s lost at the end", n.addr)
			n.countedLost = true
			n.stop()
			n.wipe(w)
		}
	}
}

// members are those that keep the state in the newest view that any knows.
func (w *model) members() (out []*node) {
	var view View
	for _, n := range w.nodes {
		if n.up && n.newestView.Epoch > view.Epoch {
			view = n.newestView
		}
	}
	for _, addr := range append([]string{view.Primary.Addr}, backupAddrs(view)...) {
		if n := w.at(addr); n != nil {
			out = append(out, n)
		}
	}
	return out
}

const (
	wiped faultKind = iota // lost with its disk
	killed
	cutOff
	toldToLeave // told to end
	replaced
	returned
)
