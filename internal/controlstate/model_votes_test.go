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
	wasActive      bool // already the primary when it began
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
	s := &attempt{known: n.newestView, wasActive: n.active, disks: map[string]string{}, responses: map[string]promiseResponse{}, granted: map[string]bool{}}
	if n.lastProposed.Epoch > n.newestView.Epoch {
		s.known = n.lastProposed
	}
	s.view, s.sets = n.members.proposal(s.known, n.active, epoch, w.now)
	if w.disabledGuard == "BothSetsAgree" && len(s.view.Prior) > 0 {
		s.view.Prior, s.sets = nil, s.sets[1:]
	}
	s.pending = union(slices.Concat(s.sets, s.known.witnessSets())...)
	w.rng.Shuffle(len(s.pending), func(i, j int) { s.pending[i], s.pending[j] = s.pending[j], s.pending[i] })
	n.attempt = s
}

func (n *node) fail(w *model) {
	w.logFailedAttempt("%s attempt failed for epoch %d in phase %d: promised %v accepted %v", n.addr, n.attempt.view.Epoch, n.attempt.phase, n.attempt.disks, n.attempt.granted)
	n.attempt = nil
	n.nextCampaignAt = w.now + modelLease/24 + kernel.Micros(w.rng.IntN(int(modelLease/12)))
}

// step advances an attempt by one call.
func (s *attempt) step(w *model, n *node) {
	if s.wasActive && !n.active {
		n.fail(w)
		return
	}
	switch s.phase {
	case 0:
		s.promise(w, n)
	case 1:
		s.copy(w, n)
	case 2:
		s.accept(w, n)
	}
}

func (s *attempt) promise(w *model, n *node) {
	won := majorityOfEach(s.sets, hasKey(s.disks))
	if len(s.pending) > 0 && !won {
		addr := s.pending[0]
		s.pending = s.pending[1:]
		if o := w.reachable(n, addr); o != nil {
			a, err := o.witness.promise(w.now, promiseRequest{Epoch: s.view.Epoch, From: n.self()})
			if err == nil {
				if a.Granted {
					o.reg = o.witness.reg
					s.disks[addr] = o.disk
				}
				s.responses[addr] = a
				n.highestEpochTried = max(n.highestEpochTried, a.Promised)
			}
		}
		return
	}
	if peers := w.reachablePeers(n); !won && !s.askedNewcomers && n.members.halfSurvives(s.known, s.responses) {
		s.askedNewcomers = true
		voters := union(s.sets...)
		s.pending = slices.DeleteFunc(peers, func(addr string) bool { return slices.Contains(voters, addr) })
		return
	}
	unreachable := slices.DeleteFunc(n.members.suspects(s.known, s.responses), func(addr string) bool { return w.reachable(n, addr) != nil })
	if w.disabledGuard == "GoneIsShown" {
		unreachable = n.members.nonVotersOf(s.known.establishedWitnesses(), hasKey(s.disks), nil)
	}
	if view, ok := n.members.succession(s.known, s.view, s.responses, unreachable); !won && ok {
		s.view, s.sets, won = view, view.quorumSets(), true
	}
	n.highestEpochTried = max(n.highestEpochTried, s.view.Epoch)
	if highest := highestBindingView(s.view.Epoch, s.responses); highest.Epoch > s.known.Epoch && w.disabledGuard != "NewerViewStops" {
		n.observe(w, highest)
		n.fail(w)
		return
	}
	if !won {
		n.fail(w)
		return
	}
	n.epoch = s.view.Epoch
	s.phase, s.pending = 1, n.members.backupCandidates(s.known, w.reachablePeers(n), hasKey(s.disks), w.now)
}

func (s *attempt) copy(w *model, n *node) {
	if len(s.pending) > 0 && len(s.view.Backups) < n.members.backupCount() {
		addr := s.pending[0]
		s.pending = s.pending[1:]
		if o := w.reachable(n, addr); o != nil && s.view.Epoch > o.epoch && !o.holdsLease(w.now) && !o.leaving {
			o.epoch, o.content = s.view.Epoch, n.content
			s.view.Backups = append(slices.Clone(s.view.Backups), o.self())
			n.members.copySucceeded(addr)
		} else {
			n.members.copyFailed(addr, w.now)
		}
		return
	}
	if len(s.view.Backups) == 0 || !w.guardHolds("EnoughBackups", n.members.enoughCopies(backupAddrs(s.view), slices.Collect(maps.Keys(s.disks)), hasKey(s.disks), w.now)) {
		n.fail(w)
		return
	}
	n.lastProposed = s.view
	s.phase, s.start, s.pending = 2, w.now, slices.Sorted(maps.Keys(s.disks))
	w.rng.Shuffle(len(s.pending), func(i, j int) { s.pending[i], s.pending[j] = s.pending[j], s.pending[i] })
}

func (s *attempt) accept(w *model, n *node) {
	won := majorityOfEach(s.sets, func(addr string) bool { return s.granted[addr] })
	if len(s.pending) > 0 && !won {
		addr := s.pending[0]
		s.pending = s.pending[1:]
		if o := w.reachable(n, addr); o != nil && o.disk == s.disks[addr] {
			if a, _ := o.witness.accept(w.now, s.view); a.Granted {
				o.reg = o.witness.reg
				if s.granted[addr] = true; o != n {
					o.notePrimaryAlive(w, s.view)
				}
			}
		}
		return
	}
	if !won || n.newestView.Epoch > s.view.Epoch {
		n.fail(w)
		return
	}
	n.attempt = nil
	if !n.active {
		n.members.primarySince = w.now
		for addr := range s.disks {
			n.members.lastHeard[addr] = w.now
		}
	}
	n.active, n.newestView, n.leaseEnd = true, s.view, s.start+modelLease
	n.takeoverAt = n.leaseEnd
	clear(n.missedRenewals)
	w.logf("%s is primary of epoch %d, backups %v, witnesses %v, prior %v, unanimous %v", n.addr, s.view.Epoch, backupAddrs(s.view), s.view.Witnesses, s.view.Prior, s.view.Unanimous)
	if len(s.view.Unanimous) > 0 {
		w.newcomerViews++
	}
	if n.holdsLease(w.now) && n.content&w.acked != w.acked {
		w.violate("OldStateNeverLeads", "%s is primary of epoch %d with changes %b, acknowledged are %b", n.addr, s.view.Epoch, n.content, w.acked)
	}
	if other := w.leaders[s.view.Epoch]; other != "" && other != n.disk {
		w.violate("OnePrimaryPerEpoch", "disks %s and %s in epoch %d", other, n.disk, s.view.Epoch)
	}
	w.leaders[s.view.Epoch] = n.disk
	if s.view.inTransition() && w.disabledGuard != "PriorLetGoAtOnce" {
		n.campaign(w)
	}
}
