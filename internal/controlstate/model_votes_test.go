package controlstate

import (
	"maps"
	"slices"

	"indigowalk/internal/kernel"
)

// attempt is an ongoing attempt to become primary or, as primary, to form another view.
type attempt struct {
	known          View
	view           View
	sets           [][]string
	wasActive      bool // already the primary when the attempt began
	pending        []string
	phase          int  // 0 promises, 1 copies, 2 acceptances
	askedNewcomers bool // newcomers have been asked as well
	disks          map[string]string
	responses      map[string]promiseResponse
	granted        map[string]bool
	start          kernel.Micros
}

// campaign begins an attempt at a new view.
func (n *node) campaign(w *model) {
	epoch := max(n.witness.reg.Promised, n.newestView.Epoch, n.epoch, n.highestEpochTried) + 1
	a := &attempt{known: n.newestView, wasActive: n.active, disks: map[string]string{}, responses: map[string]promiseResponse{}, granted: map[string]bool{}}
	if n.lastProposed.Epoch > n.newestView.Epoch {
		a.known = n.lastProposed
	}
	a.view, a.sets = n.policy.proposal(a.known, n.active, epoch, w.now)
	if w.disabledGuard == "BothSetsAgree" && len(a.view.Prior) > 0 {
		a.view.Prior, a.sets = nil, a.sets[1:]
	}
	a.pending = union(slices.Concat(a.sets, a.known.witnessSets())...)
	w.rng.Shuffle(len(a.pending), func(i, j int) { a.pending[i], a.pending[j] = a.pending[j], a.pending[i] })
	n.attempt = a
}

// abandonAttempt ends a failed attempt and schedules the next one with jitter.
func (n *node) abandonAttempt(w *model) {
	w.logFailedAttempt("%s attempt failed for epoch %d in phase %d: promised %v accepted %v", n.addr, n.attempt.view.Epoch, n.attempt.phase, n.attempt.disks, n.attempt.granted)
	n.attempt = nil
	n.nextCampaignAt = w.now + modelLease/24 + kernel.Micros(w.rng.IntN(int(modelLease/12)))
}

// step advances an attempt by one call.
func (a *attempt) step(w *model, n *node) {
	if a.wasActive && !n.active {
		n.abandonAttempt(w)
		return
	}
	switch a.phase {
	case 0:
		a.promise(w, n)
	case 1:
		a.copy(w, n)
	case 2:
		a.accept(w, n)
	}
}

func (a *attempt) promise(w *model, n *node) {
	won := majorityOfEach(a.sets, hasKey(a.disks))
	if len(a.pending) > 0 && !won {
		addr := a.pending[0]
		a.pending = a.pending[1:]
		if peer := w.reachable(n, addr); peer != nil {
			response, err := peer.witness.promise(w.now, promiseRequest{Epoch: a.view.Epoch, From: n.self()})
			if err == nil {
				if response.Granted {
					peer.reg = peer.witness.reg
					a.disks[addr] = peer.disk
				}
				a.responses[addr] = response
				n.highestEpochTried = max(n.highestEpochTried, response.Promised)
			}
		}
		return
	}
	if peers := w.reachablePeers(n); !won && !a.askedNewcomers && n.policy.halfSurvives(a.known, a.responses) {
		a.askedNewcomers = true
		voters := union(a.sets...)
		a.pending = slices.DeleteFunc(peers, func(addr string) bool { return slices.Contains(voters, addr) })
		return
	}
	unreachable := slices.DeleteFunc(n.policy.suspects(a.known, a.responses), func(addr string) bool { return w.reachable(n, addr) != nil })
	if w.disabledGuard == "GoneIsShown" {
		unreachable = n.policy.nonVotersOf(a.known.establishedWitnesses(), hasKey(a.disks), nil)
	}
	if view, ok := n.policy.newcomerView(a.known, a.view, a.responses, unreachable); !won && ok {
		a.view, a.sets, won = view, view.quorumSets(), true
	}
	n.highestEpochTried = max(n.highestEpochTried, a.view.Epoch)
	if highest := highestBindingView(a.view.Epoch, a.responses); highest.Epoch > a.known.Epoch && w.disabledGuard != "NewerViewStops" {
		n.observe(w, highest)
		n.abandonAttempt(w)
		return
	}
	if !won {
		n.abandonAttempt(w)
		return
	}
	n.epoch = a.view.Epoch
	a.phase, a.pending = 1, n.policy.backupCandidates(a.known, w.reachablePeers(n), hasKey(a.disks), w.now)
}

func (a *attempt) copy(w *model, n *node) {
	if len(a.pending) > 0 && len(a.view.Backups) < n.policy.backupCount() {
		addr := a.pending[0]
		a.pending = a.pending[1:]
		if peer := w.reachable(n, addr); peer != nil && a.view.Epoch > peer.epoch && !peer.holdsLease(w.now) && !peer.leaving {
			peer.epoch, peer.content = a.view.Epoch, n.content
			a.view.Backups = append(slices.Clone(a.view.Backups), peer.self())
			n.policy.copySucceeded(addr)
		} else {
			n.policy.copyFailed(addr, w.now)
		}
		return
	}
	if len(a.view.Backups) == 0 || !w.guardHolds("EnoughBackups", n.policy.enoughCopies(backupAddrs(a.view), slices.Collect(maps.Keys(a.disks)), hasKey(a.disks), w.now)) {
		n.abandonAttempt(w)
		return
	}
	n.lastProposed = a.view
	a.phase, a.start, a.pending = 2, w.now, slices.Sorted(maps.Keys(a.disks))
	w.rng.Shuffle(len(a.pending), func(i, j int) { a.pending[i], a.pending[j] = a.pending[j], a.pending[i] })
}

func (a *attempt) accept(w *model, n *node) {
	won := majorityOfEach(a.sets, func(addr string) bool { return a.granted[addr] })
	if len(a.pending) > 0 && !won {
		addr := a.pending[0]
		a.pending = a.pending[1:]
		if peer := w.reachable(n, addr); peer != nil && peer.disk == a.disks[addr] {
			if response, _ := peer.witness.accept(w.now, a.view); response.Granted {
				peer.reg = peer.witness.reg
				if a.granted[addr] = true; peer != n {
					peer.notePrimaryAlive(w, a.view)
				}
			}
		}
		return
	}
	if !won || n.newestView.Epoch > a.view.Epoch {
		n.abandonAttempt(w)
		return
	}
	n.attempt = nil
	if !n.active {
		n.policy.primarySince = w.now
		for addr := range a.disks {
			n.policy.lastGranted[addr] = w.now
		}
	}
	n.active, n.newestView, n.leaseEnd = true, a.view, a.start+modelLease
	n.takeoverAt = n.leaseEnd
	clear(n.missedRenewals)
	w.logf("%s is primary of epoch %d, backups %v, witnesses %v, prior %v, unanimous %v", n.addr, a.view.Epoch, backupAddrs(a.view), a.view.Witnesses, a.view.Prior, a.view.Unanimous)
	if len(a.view.Unanimous) > 0 {
		w.newcomerViews++
	}
	if n.holdsLease(w.now) && n.content&w.acked != w.acked {
		w.recordViolation("OldStateNeverLeads", "%s is primary of epoch %d with changes %b, acknowledged are %b", n.addr, a.view.Epoch, n.content, w.acked)
	}
	if other := w.primaryDisks[a.view.Epoch]; other != "" && other != n.disk {
		w.recordViolation("OnePrimaryPerEpoch", "disks %s and %s in epoch %d", other, n.disk, a.view.Epoch)
	}
	w.primaryDisks[a.view.Epoch] = n.disk
	if a.view.inTransition() && w.disabledGuard != "PriorLetGoAtOnce" {
		n.campaign(w)
	}
}
