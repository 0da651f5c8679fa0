package controlstate

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
)

// lostCount returns the number of nodes that count as lost.
func (w *model) lostCount() (count int) {
	for _, n := range w.nodes {
		if n.countedLost && !n.retired {
			count++
		}
	}
	return count
}

// leavingCount returns the number of nodes that are shutting down and do not count as lost yet.
func (w *model) leavingCount() (count int) {
	for _, n := range w.nodes {
		if n.up && n.leaving && !n.countedLost {
			count++
		}
	}
	return count
}

// randomFault injects a random fault, if it is allowed now.
func (w *model) randomFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	if m := w.members(); len(m) > 0 && w.rng.IntN(2) == 0 {
		n = m[w.rng.IntN(len(m))]
	}
	if kinds := []faultKind{wiped, killed, isolated, shutdownRequested, replaced, returned, returned, returned}; !n.retired {
		w.inject(n, kinds[w.rng.IntN(len(kinds))])
	}
}

// faultKind is a kind of fault, or of operator action, that affects a control node.
type faultKind int

// inject applies a fault to a node if it is allowed now, and reports whether it did.
func (w *model) inject(n *node, kind faultKind) bool {
	if n.retired || w.hasSuccessor(n) {
		return false
	}
	lost, leaving := w.lostCount(), w.leavingCount()
	w.overBudget = w.overBudget || lost > w.f // one left while another was lost: none is lost until all are back
	mayLose := (lost+max(0, leaving-1) < w.f || n.countedLost && lost == w.f) && !w.overBudget
	switch {
	case kind <= killed && n.up && mayLose:
		n.countedLost = true
		if n.stop(); kind == wiped {
			n.wipe(w)
		}
		w.logf("%s lost, disk wiped: %v", n.addr, kind == wiped)
	case kind == isolated && n.up && !n.partitioned && (mayLose || w.anyPartitions):
		w.logf("%s partitioned", n.addr)
		n.countedLost, n.partitioned = n.countedLost || !w.anyPartitions, true
	case kind == killed && n.up && w.anyPartitions:
		w.logf("%s down", n.addr)
		n.stop()
	case kind == shutdownRequested && n.up && !n.leaving && !n.partitioned && lost+leaving < w.f && !w.overBudget:
		w.logf("%s begins to shut down", n.addr)
		n.leaving = true
	case kind == replaced && !n.up && mayLose && len(w.nodes) < 12:
		w.logf("%s replaced by %c", n.addr, rune('a'+len(w.nodes)))
		n.countedLost, n.epoch, n.content, n.reg = true, 0, 0, register{}
		successor := w.addNode()
		successor.predecessor = n
		successor.countedLost = false // its predecessor counts as lost until this one has caught up
		successor.start(w)
	case kind == returned && n.partitioned:
		w.logf("%s reconnected", n.addr)
		n.partitioned, n.upSince = false, w.now
	case kind == returned && !n.up:
		w.logf("%s restarted", n.addr)
		n.start(w)
	default:
		return false
	}
	return true
}

func (w *model) hasSuccessor(n *node) bool {
	return slices.ContainsFunc(w.nodes, func(other *node) bool { return other.predecessor == n })
}

// wipe replaces the disk of a node by an empty one.
func (n *node) wipe(w *model) {
	w.disks++
	n.disk, n.reg, n.epoch, n.content = fmt.Sprint("disk", w.disks), register{}, 0, 0
}

// clearRecovered stops counting nodes as lost once they have been up for the catch-up time, provided
// that the primary has completed its repairs. The simulations verify that the primary has completed
// them by then.
func (w *model) clearRecovered() {
	if w.overBudget = w.overBudget && w.lostCount() > 0; !slices.ContainsFunc(w.nodes, w.repaired) {
		return
	}
	for _, n := range w.nodes {
		if n.up && !n.partitioned && !n.leaving && w.now-n.upSince >= modelCatchupTimeout {
			if n.countedLost = false; n.predecessor != nil {
				n.predecessor.retired, n.predecessor = true, nil
			}
		}
	}
}

// repaired reports whether n is the primary and has no repair left to do: it wants no other view, and
// all running nodes that it can reach are live.
func (w *model) repaired(n *node) bool {
	if !n.up || n.partitioned || n.leaving || !n.holdsLease(w.now) || max(n.highestEpochTried, n.epoch) > n.newestView.Epoch || n.policy.wantsNewView(n.newestView, w.now) || w.now-n.policy.primarySince < 2*tick {
		return false
	}
	for _, peer := range w.nodes {
		if peer != n && peer.up && !peer.partitioned && !peer.leaving && !n.policy.isLive(peer.addr, w.now) {
			return false
		}
	}
	return true
}

// checkInvariants checks the invariants that must hold at all times.
func (w *model) checkInvariants() {
	held := slices.ContainsFunc(w.nodes, func(n *node) bool { return n.content&w.acked == w.acked })
	if !held {
		w.recordViolation("AcknowledgedSurvives", "no disk contains all acknowledged changes %b", w.acked)
	}
	holders := ""
	for _, n := range w.nodes {
		if n.up && n.holdsLease(w.now) {
			holders += n.addr
		}
	}
	if len(holders) > 1 {
		w.recordViolation("OneLease", "%s hold a lease at the same time", holders)
	}
}

// checkMajorityRemains checks that changes are accepted again without intervention: by the nodes
// running now, if they are more than half, or by all nodes after the lost ones have returned.
func (w *model) checkMajorityRemains(restartAll bool) {
	if (w.overBudget || w.lostCount()+w.leavingCount() > w.f) && !restartAll || w.violation != "" {
		return
	}
	c := w.clone()
	up, all := 0, 0
	for _, n := range c.nodes {
		if n.retired || c.hasSuccessor(n) {
			continue
		}
		if all++; restartAll && n.partitioned {
			n.partitioned = false
		}
		if restartAll && !n.up {
			n.start(c)
		}
		if n.leaving = false; n.up && !n.partitioned {
			up++
		}
	}
	if all <= 2*w.f && !restartAll {
		up -= c.displacedWitnesses() // they become witnesses again once another node is back
	}
	if 2*up <= all {
		return
	}
	for range 60 {
		c.tick(true)
		for _, n := range c.nodes {
			if before := c.acked; n.up && n.startWrite(c) {
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
	w.recordViolation("MajorityRemains", "%d of %d are running, and no change is accepted", up, all)
}

// displacedWitnesses returns the number of nodes that have returned but were replaced by a newcomer
// in the set of witnesses, which took their place instead of that of a permanently lost node.
func (w *model) displacedWitnesses() (count int) {
	var newest View
	for _, n := range w.nodes {
		if n.up && n.newestView.Epoch > newest.Epoch {
			newest = n.newestView
		}
	}
	for _, n := range w.nodes {
		if n.up && !n.partitioned && n.countedLost && n.predecessor == nil && !slices.Contains(newest.Witnesses, n.addr) {
			count++
		}
	}
	return count
}

func (w *model) clone() *model {
	c := *w
	c.rng = rand.New(rand.NewPCG(w.rng.Uint64(), 1))
	c.primaryDisks, c.trace, c.nodes = maps.Clone(w.primaryDisks), slices.Clone(w.trace), nil
	for _, n := range w.nodes {
		copied := *n
		copied.missedRenewals, copied.policy.lastGranted, copied.policy.excluded, copied.policy.leaveNoticeAt = maps.Clone(n.missedRenewals), maps.Clone(n.policy.lastGranted), maps.Clone(n.policy.excluded), maps.Clone(n.policy.leaveNoticeAt)
		copied.policy.copyFailingSince = maps.Clone(n.policy.copyFailingSince)
		if n.attempt != nil {
			a := *n.attempt
			a.disks, a.responses, a.granted = maps.Clone(a.disks), maps.Clone(a.responses), maps.Clone(a.granted)
			copied.attempt = &a
		}
		if n.pendingWrite != nil {
			p := *n.pendingWrite
			copied.pendingWrite = &p
		}
		c.nodes = append(c.nodes, &copied)
	}
	for _, copied := range c.nodes {
		if copied.predecessor != nil {
			copied.predecessor = c.nodeAt(copied.predecessor.addr)
		}
	}
	return &c
}

// randomHistory runs one random history and returns the model.
func randomHistory(seed uint64, f, controlNodes int, disabledGuard string) *model {
	w := newModel(seed, f, controlNodes, disabledGuard).boot()
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

// randomSteps runs that many random steps, or fewer if an invariant is violated.
func (w *model) randomSteps(steps int) {
	for range steps {
		busy := w.nodesWithPendingStep()
		switch r := w.rng.IntN(100); {
		case r < 12:
			w.randomFault()
			for w.rng.IntN(2) == 0 { // faults tend to coincide
				w.randomFault()
			}
		case r == 12 && w.rng.IntN(4) == 0:
			w.powerCycle()
		case len(busy) > 0 && r < 98:
			busy[w.rng.IntN(len(busy))].step(w)
		case r < 30:
			for _, n := range w.nodes {
				if n.up && n.startWrite(w) {
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
		if !w.anyPartitions && w.rng.IntN(40) == 0 {
			w.checkMajorityRemains(w.rng.IntN(2) == 0)
		}
	}
}

// powerCycle restarts all running nodes at once from the content of their disks. All of them count as
// lost from then on.
func (w *model) powerCycle() {
	w.logf("power cycle")
	for _, n := range w.nodes {
		if n.up {
			n.stop()
			n.start(w)
			n.countedLost, w.overBudget = true, true
		}
	}
}

// loseRemaining wipes as many nodes as may still be lost, starting with the members of the newest
// view.
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

// members returns the members of the newest view that any running node knows, primary first.
func (w *model) members() (out []*node) {
	var view View
	for _, n := range w.nodes {
		if n.up && n.newestView.Epoch > view.Epoch {
			view = n.newestView
		}
	}
	for _, addr := range append([]string{view.Primary.Addr}, backupAddrs(view)...) {
		if n := w.nodeAt(addr); n != nil {
			out = append(out, n)
		}
	}
	return out
}

const (
	wiped faultKind = iota // lost together with its disk
	killed
	isolated
	shutdownRequested // asked to drain and stop
	replaced
	returned
)
