package controlstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"indigowalk/internal/kernel"
)

// model simulates control nodes that campaign, copy the state, vote, write and fail, one step at a
// time and in any order. Decisions are made by the code under test (witness, memberPolicy and
// registerFromPeers); the model only carries them out. It never loses more than f control nodes at
// once. A node that returns counts as lost until the catch-up time has passed, a replaced one until
// its successor has been up for that time.
type model struct {
	rng           *rand.Rand
	now           kernel.Micros
	f             int // number of failures to tolerate
	nodes         []*node
	disks         int              // number of disks used so far
	writes        int              // number of changes started so far; at most 60, since each is one bit of a uint64
	acked         uint64           // acknowledged changes, one bit each
	primaryDisks  map[int64]string // disk of the primary, by epoch
	disabledGuard string           // name of the guard that is disabled, or empty
	overBudget    bool             // more than f nodes count as lost, because one left while another was lost
	newcomerViews int              // views in which newcomers replaced half of the witnesses
	anyPartitions bool             // any number of nodes may be partitioned, or down with their disks intact
	violation     string           // the violated invariant, and how it was violated
	trace         []string
}

type node struct {
	addr string
	// On disk.
	disk    string
	reg     register
	epoch   int64  // of the stored state
	content uint64 // changes contained in the stored state
	// In memory.
	up, partitioned, leaving, retired bool // partitioned: reaches only the other partitioned nodes, or is frozen; retired: replaced permanently
	countedLost                       bool // counts as lost
	upSince                           kernel.Micros
	witness                           witness
	newestView                        View
	takeoverAt, nextCampaignAt        kernel.Micros
	active                            bool
	leaseEnd                          kernel.Micros
	highestEpochTried                 int64
	lastProposed                      View
	policy                            memberPolicy
	missedRenewals                    map[string]int
	attempt                           *attempt
	pendingWrite                      *pendingWrite
	predecessor                       *node // the node that this one replaces
}

// pendingWrite is a change that is being sent to the backups.
type pendingWrite struct {
	view    View
	bit     uint64
	pending []string
}

// guardHolds reports whether the named guard permits an action: if its condition, ok, is true or the
// guard is disabled.
func (w *model) guardHolds(guard string, ok bool) bool { return ok || w.disabledGuard == guard }

// recordViolation records the violation of an invariant, unless one was recorded before.
func (w *model) recordViolation(invariant, format string, args ...any) {
	if w.violation == "" {
		w.violation = invariant + ": " + fmt.Sprintf(format, args...)
	}
}

func (w *model) logf(format string, args ...any) {
	if len(w.trace) < 400 {
		w.trace = append(w.trace, fmt.Sprintf("%5d ", w.now.Millis())+fmt.Sprintf(format, args...))
	}
}

// logFailedAttempt adds a failed attempt to the trace, unless the fourth entry from the end
// is one too: a long series of failures would hide the rest.
func (w *model) logFailedAttempt(format string, args ...any) {
	if n := len(w.trace); n < 4 || !strings.Contains(w.trace[n-4], "attempt failed") {
		w.logf(format, args...)
	}
}

// newModel returns a model whose first nodes, up to three, are the initial witnesses.
func newModel(seed uint64, f, controlNodes int, disabledGuard string) *model {
	w := &model{rng: rand.New(rand.NewPCG(seed, 3)), now: kernel.Second, f: f, primaryDisks: map[int64]string{}, disabledGuard: disabledGuard}
	for range controlNodes {
		w.addNode()
	}
	var initialWitnesses []string
	for _, n := range w.nodes[:min(3, controlNodes)] {
		initialWitnesses = append(initialWitnesses, n.addr)
	}
	for _, n := range w.nodes {
		if n.start(w); slices.Contains(initialWitnesses, n.addr) {
			n.reg.Accepted.Witnesses = initialWitnesses
			n.start(w)
		}
	}
	return w
}

// boot runs the model without faults until the control nodes have started; from then on, none
// counts as lost.
func (w *model) boot() *model {
	w.runWithoutFaults(40)
	for _, n := range w.nodes {
		n.countedLost = false
	}
	return w
}

// runWithoutFaults advances the clock without injecting faults.
func (w *model) runWithoutFaults(ticks int) {
	for range ticks {
		w.tick(true)
	}
}

func (w *model) addNode() *node {
	w.disks++
	n := &node{addr: string(rune('a' + len(w.nodes))), disk: fmt.Sprint("disk", w.disks), countedLost: true}
	w.nodes = append(w.nodes, n)
	return n
}

// start starts a new incarnation of the node from the content of its disk.
func (n *node) start(w *model) {
	n.attempt, n.pendingWrite = nil, nil
	n.up, n.leaving, n.partitioned, n.upSince = true, false, false, w.now
	n.witness = witness{lease: modelLease, reg: n.reg, priorLeaseUntil: w.now + modelLease}
	if n.reg.Promised == 0 && len(n.reg.Accepted.Witnesses) == 0 {
		n.witness.abstains = w.disabledGuard != "EmptyAbstains"
	}
	n.policy = newMemberPolicy(Member{n.addr, n.addr, n.disk}, Config{FailuresTolerated: w.f, Lease: modelLease, WitnessTimeout: modelWitnessTimeout, CatchupTimeout: modelCatchupTimeout})
	n.newestView = n.reg.Accepted
	n.active, n.leaseEnd, n.highestEpochTried, n.nextCampaignAt, n.lastProposed, n.missedRenewals = false, 0, 0, 0, View{}, map[string]int{}
	n.takeoverAt = n.policy.takeoverTime(n.newestView, w.now)
}

func (n *node) stop() { n.up, n.active, n.attempt, n.pendingWrite = false, false, nil, nil }

func (n *node) self() Member { return n.policy.self }

func (n *node) holdsLease(now kernel.Micros) bool { return n.active && now < n.leaseEnd }

func (w *model) nodeAt(addr string) *node {
	if i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.addr == addr }); i >= 0 {
		return w.nodes[i]
	}
	return nil
}

// reachable returns the control node that responds to a call from n to addr, or nil.
func (w *model) reachable(n *node, addr string) *node {
	if peer := w.nodeAt(addr); peer != nil && peer.up && peer.partitioned == n.partitioned {
		return peer
	}
	return nil
}

func (w *model) reachablePeers(n *node) (out []string) {
	for _, peer := range w.nodes {
		if peer != n && w.reachable(n, peer.addr) != nil {
			out = append(out, peer.addr)
		}
	}
	return out
}

// observe adopts the view if it is newer. A primary that learns of a newer epoch loses its lease.
func (n *node) observe(w *model, view View) {
	if view.Epoch > n.newestView.Epoch || len(n.newestView.Witnesses) == 0 {
		if n.active && view.Epoch > n.newestView.Epoch {
			n.leaseEnd = 0
		}
		n.newestView = view
		n.takeoverAt = max(n.takeoverAt, n.policy.takeoverTime(view, w.now))
	}
}

// notePrimaryAlive postpones the takeover, since the primary of the view is alive.
func (n *node) notePrimaryAlive(w *model, view View) {
	n.observe(w, view)
	if view.Epoch == n.newestView.Epoch && !n.active {
		n.takeoverAt = max(n.takeoverAt, n.policy.takeoverTime(view, w.now))
	}
}

// stepDown ends the role of primary; the node does not campaign again for the length of a lease.
func (n *node) stepDown(w *model) {
	n.active, n.policy.primarySince, n.nextCampaignAt, n.pendingWrite = false, 0, w.now+modelLease, nil
}

// handOver steps down, releases the lease at the reachable witnesses and lets the first reachable
// backup campaign at once if it knows the same view.
func (n *node) handOver(w *model) {
	view := n.newestView
	n.stepDown(w)
	for _, addr := range union(view.quorumSets()...) {
		if peer := w.reachable(n, addr); peer != nil {
			peer.witness.release(view.Epoch)
		}
	}
	for _, b := range view.Backups {
		if peer := w.reachable(n, b.Addr); peer != nil {
			if peer.newestView.Epoch == view.Epoch {
				peer.takeoverAt, peer.nextCampaignAt = 0, 0
			}
			return
		}
	}
}

// startWrite starts to write a change, if changes are accepted now, and reports whether it did.
func (n *node) startWrite(w *model) bool {
	if n.attempt != nil || n.pendingWrite != nil || !n.holdsLease(w.now) || n.epoch != n.newestView.Epoch || w.writes == 60 {
		return false
	}
	if !w.guardHolds("EnoughBackups", n.policy.enoughBackups(n.newestView, w.now)) || !w.guardHolds("LargeEnough", n.policy.witnessesSuffice(n.newestView, w.now)) {
		return false
	}
	n.pendingWrite = &pendingWrite{n.newestView, 1 << w.writes, backupAddrs(n.newestView)}
	w.writes++
	n.content |= n.pendingWrite.bit
	return true
}

// step sends the change to the next backup, or acknowledges it once all backups have it. A backup
// that does not accept it is excluded, and the primary campaigns for a view without that backup.
func (p *pendingWrite) step(w *model, n *node) {
	if len(p.pending) > 0 {
		addr := p.pending[0]
		p.pending = p.pending[1:]
		if peer := w.reachable(n, addr); peer != nil && peer.epoch == n.epoch && peer.content|p.bit == n.content && !peer.active {
			peer.content |= p.bit
			return
		}
		n.pendingWrite = nil
		n.policy.exclude(addr, w.now)
		n.campaign(w)
		return
	}
	n.pendingWrite = nil
	if n.holdsLease(w.now) && n.newestView.Epoch == p.view.Epoch {
		w.acked |= p.bit
		w.logf("%s acknowledges %b", n.addr, p.bit)
	}
}

// tick advances the clock by one renewal period and performs all timed actions. If completeCalls is
// set, all pending calls are completed before the next node acts.
func (w *model) tick(completeCalls bool) {
	w.now += tick
	for _, n := range w.nodes {
		if n.up {
			n.tick(w)
		}
		if completeCalls {
			w.runPendingSteps()
		}
	}
}

func (n *node) tick(w *model) {
	if n.active && !n.holdsLease(w.now) {
		n.stepDown(w)
	}
	if n.witness.abstains {
		n.witness.noteContact(w.reachablePeers(n)...)
	}
	if n.witness.abstains && w.now-n.upSince >= modelLease {
		n.recoverRegister(w)
	}
	if n.active {
		n.renew(w)
	}
	if n.leaving && n.leave(w) {
		return
	}
	campaignNotBefore := max(n.takeoverAt, n.nextCampaignAt)
	if n.leaving {
		campaignNotBefore += modelLease / 2
	}
	mayCampaign := w.guardHolds("MembersStand", n.policy.mayCampaign(n.newestView, !n.witness.abstains && n.newestView.Epoch == 0)) && (!n.leaving || w.disabledGuard != "LeavingStands")
	switch {
	case n.attempt != nil || n.pendingWrite != nil:
	case n.holdsLease(w.now) && w.now >= n.nextCampaignAt && (max(n.highestEpochTried, n.epoch) > n.newestView.Epoch || n.policy.wantsNewView(n.newestView, w.now)):
		n.campaign(w)
	case !n.active && w.now >= campaignNotBefore && mayCampaign:
		n.campaign(w)
	case !n.active && w.now >= campaignNotBefore && n.newestView.Epoch > 0:
		for _, addr := range union([]string{n.newestView.Primary.Addr}, backupAddrs(n.newestView)) {
			if peer := w.reachable(n, addr); peer != nil {
				peer.observe(w, n.newestView)
			}
		}
	}
}

// renew sends a renewal to the control nodes of the view and to all reachable ones, extends the lease if a majority of each
// quorum set grants it, and excludes backups that miss renewals or have another disk.
func (n *node) renew(w *model) {
	view, granted := n.newestView, map[string]bool{}
	for _, addr := range union(union(view.quorumSets()...), backupAddrs(view), w.reachablePeers(n)) {
		peer := w.reachable(n, addr)
		if addr == n.addr {
			peer = n
		}
		backupIndex := slices.IndexFunc(view.Backups, func(b Member) bool { return b.Addr == addr })
		if peer == nil {
			n.missedRenewals[addr]++
		} else if delete(n.missedRenewals, addr); view.Epoch >= peer.newestView.Epoch {
			response, _ := peer.witness.renew(w.now, view)
			peer.reg = peer.witness.reg
			peer.notePrimaryAlive(w, view)
			if granted[addr] = response.Granted; response.Granted {
				n.policy.lastGranted[addr] = w.now
			} else if w.disabledGuard != "RefusalsHeeded" {
				n.highestEpochTried = max(n.highestEpochTried, response.Promised)
			}
		}
		if backupIndex >= 0 && (n.missedRenewals[addr] >= maxMissedRenewals || peer != nil && w.disabledGuard != "RenewalNamesDisk" && peer.disk != view.Backups[backupIndex].Disk) {
			delete(n.missedRenewals, addr)
			n.policy.exclude(addr, w.now)
		}
	}
	if majorityOfEach(view.quorumSets(), func(addr string) bool { return granted[addr] }) && n.active && n.newestView.Epoch == view.Epoch {
		n.leaseEnd = max(n.leaseEnd, w.now+modelLease)
		n.takeoverAt = n.leaseEnd
	}
}

// recoverRegister rebuilds the register from those of the other nodes, as Replica.recoverWitness does.
func (n *node) recoverRegister(w *model) {
	for view, hop := n.newestView, 0; hop < 8; hop++ {
		responses := map[string]registerResponse{}
		for _, addr := range w.reachablePeers(n) {
			peer := w.nodeAt(addr)
			responses[addr] = registerResponse{peer.witness.reg, peer.witness.abstains}
		}
		reg, newest, err := registerFromPeers(view, responses)
		if w.disabledGuard == "IntactOverlap" && err != nil && len(newest.Witnesses) > 0 {
			reg, err = register{Promised: newest.Epoch, Accepted: newest}, nil
		}
		if err != nil {
			return
		}
		if newest.Epoch == view.Epoch && len(view.Witnesses) > 0 {
			reg = n.witness.restoredRegister(n.addr, reg)
			n.observe(w, reg.Accepted)
			n.reg, n.witness.reg, n.witness.abstains = reg, reg, false
			return
		}
		view = newest
	}
}

// leave performs one step of Replica.Leave and reports whether n has stopped.
func (n *node) leave(w *model) bool {
	switch {
	case n.attempt != nil || n.pendingWrite != nil:
	case n.active:
		n.handOver(w)
	case !n.newestView.Has(n.self()) && !slices.Contains(union(n.newestView.quorumSets()...), n.addr) || w.disabledGuard == "LeaveWaits":
		n.finishLeaving(w)
		return true
	default:
		if primary := w.reachable(n, n.newestView.Primary.Addr); primary != nil && primary != n {
			primary.policy.noteLeaving(n.addr, w.now)
			if n.observe(w, primary.newestView); primary.holdsLease(w.now) && primary.policy.safeToRemove(primary.newestView, n.self(), w.now) {
				n.finishLeaving(w)
				return true
			}
		}
	}
	return false
}

// finishLeaving stops a node that has been drained; it counts as lost from then on.
func (n *node) finishLeaving(w *model) {
	w.logf("%s stopped", n.addr)
	n.stop()
	n.countedLost = true
}

// nodesWithPendingStep returns the running control nodes that have a pending call.
func (w *model) nodesWithPendingStep() (out []*node) {
	for _, n := range w.nodes {
		if n.up && (n.attempt != nil || n.pendingWrite != nil) {
			out = append(out, n)
		}
	}
	return out
}

func (n *node) step(w *model) {
	if n.attempt != nil {
		n.attempt.step(w, n)
	} else if n.pendingWrite != nil {
		n.pendingWrite.step(w, n)
	}
}

// runPendingSteps carries out the pending calls in random order, in at most 500 steps.
func (w *model) runPendingSteps() {
	for range 500 {
		waiting := w.nodesWithPendingStep()
		if len(waiting) == 0 {
			return
		}
		waiting[w.rng.IntN(len(waiting))].step(w)
	}
}

const (
	tick                = 400 * kernel.Millisecond // one renewal period
	modelLease          = 3 * tick
	modelWitnessTimeout = 3 * kernel.Second
	modelCatchupTimeout = 4 * kernel.Second
)
