package controlstate

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// tryCampaign makes one attempt at a new view: it collects promises from the witnesses, copies the
// state to the view's backups, and then has the witnesses accept the view.
func (v *Replica) tryCampaign(ctx context.Context) error {
	c, err := v.newCandidacy()
	if err != nil {
		return err
	}
	responses := v.elect(ctx, &c)
	state, err := v.concludePromises(c, responses)
	if err != nil {
		return err
	}
	disks := disksOf(responses)
	if c.view.Backups, err = v.replicateState(ctx, state, c, disks); err != nil {
		return err
	}
	start := v.k.Clock.Now()
	voters := slices.Collect(maps.Keys(disks))
	accepted := func(got map[string]renewResponse) bool {
		return majorityOfEach(c.sets, func(addr string) bool { return got[addr].Granted })
	}
	v.mu.Lock()
	v.lastProposed = c.view
	v.mu.Unlock()
	if !accepted(callAll(ctx, v, voters, "controlstate.accept", func(addr string) any { return acceptRequest{c.view, disks[addr]} }, accepted)) {
		return errors.New("no majority accepted the view")
	}
	return v.becomePrimary(c, state, start, voters)
}

// candidacy is one attempt to form a view.
type candidacy struct {
	epoch     int64
	known     View       // the newest view known when the attempt began
	view      View       // the proposed view
	sets      [][]string // a majority of each must promise and accept
	wasActive bool       // already the primary when the attempt began
}

// newCandidacy prepares an attempt, unless this control node may not campaign.
func (v *Replica) newCandidacy() (c candidacy, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	if v.active && !v.holdsLease(now) || !v.mayCampaign() {
		// The term ended since the caller checked: another node may have been primary
		// meanwhile, so the state held here may be outdated.
		return c, ErrNotPrimary
	}
	c = candidacy{epoch: v.nextEpoch(), known: v.newestView, wasActive: v.active}
	if v.lastProposed.Epoch > c.known.Epoch {
		c.known = v.lastProposed
	}
	c.view, c.sets = v.policy.proposal(c.known, c.wasActive, c.epoch, now)
	return c, nil
}

// elect collects promises from the witnesses. Those that do not respond are asked in a second
// round. Where only half of a set of witnesses survives, newcomers (control nodes that joined after
// that set was formed) are asked as well; with their votes the view replaces the lost witnesses.
func (v *Replica) elect(ctx context.Context, c *candidacy) map[string]promiseResponse {
	voters := union(slices.Concat(c.sets, c.known.witnessSets())...)
	responses := v.collectPromises(ctx, c.epoch, voters, firstRoundTimeout, c.decided)
	unresponsive := difference(voters, respondents(responses))
	mayStillGrant := func(addr string) bool { return responses[addr].Granted || slices.Contains(unresponsive, addr) }
	halfSurvives := v.halfSurvives(c.known, responses)
	if majorityOfEach(c.sets, grantedBy(responses)) || !halfSurvives && !majorityOfEach(c.sets, mayStillGrant) {
		return responses
	}
	secondRound := unresponsive
	if halfSurvives {
		secondRound = union(unresponsive, v.cfg.ControlNodes())
		secondRound = difference(secondRound, respondents(responses))
	}
	unreachable := make(chan []string, 1)
	go func() {
		if halfSurvives {
			unreachable <- v.findUnreachable(ctx, unresponsive)
		}
		close(unreachable)
	}()
	secondResponses := v.collectPromises(ctx, c.epoch, secondRound, secondRoundTimeout, func(got map[string]promiseResponse) bool {
		return majorityOfEach(c.sets, func(addr string) bool { return responses[addr].Granted || got[addr].Granted })
	})
	maps.Copy(responses, secondResponses)
	if majorityOfEach(c.sets, grantedBy(responses)) {
		return responses
	}
	v.adoptNewcomers(c, responses, <-unreachable)
	return responses
}

// decided reports whether the outcome of a round is certain: a majority of each set of witnesses
// has promised the epoch, or can no longer do so in this round.
func (c *candidacy) decided(responses map[string]promiseResponse) bool {
	possible := func(addr string) bool {
		response, ok := responses[addr]
		return !ok || response.Granted
	}
	return majorityOfEach(c.sets, grantedBy(responses)) || !majorityOfEach(c.sets, possible)
}

// adoptNewcomers replaces lost witnesses in the proposed view by newcomers that have promised, if
// the membership policy allows it.
func (v *Replica) adoptNewcomers(c *candidacy, responses map[string]promiseResponse, unreached []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	unreachable := intersection(unreached, v.policy.suspects(c.known, responses))
	view, ok := v.policy.newcomerView(c.known, c.view, responses, unreachable)
	if !ok {
		return
	}
	v.k.Counters.Add("controlstate.half_succeeded", 1)
	v.k.Log.Warn("half of the witnesses are lost, replacing them by newcomers", "epoch", c.epoch, "witnesses", view.Witnesses, "gone", unreachable)
	c.view, c.sets = view, view.quorumSets()
}

// respondents returns the nodes whose response is final: retrying in this attempt would not change
// it.
func respondents(responses map[string]promiseResponse) (addrs []string) {
	for addr, response := range responses {
		if response.Granted || response.refused() {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// probeTimeout is how long a control node may take to respond to probes by others.
const probeTimeout = secondRoundTimeout

// findUnreachable returns those of the control nodes that neither this node nor the nodes that it
// asks to probe them can reach.
func (v *Replica) findUnreachable(ctx context.Context, addrs []string) (unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout.Duration())
	defer cancel()
	reached := make([]bool, len(addrs))
	var probes sync.WaitGroup
	for i, addr := range addrs {
		probes.Go(func() { reached[i] = v.cfg.Reachable(ctx, addr) })
	}
	probes.Wait()
	for i, addr := range addrs {
		if !reached[i] {
			unreachable = append(unreachable, addr)
		}
	}
	return unreachable
}

// halfSurvives calls memberPolicy.halfSurvives while holding v.mu.
func (v *Replica) halfSurvives(known View, responses map[string]promiseResponse) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy.halfSurvives(known, responses)
}

// grantedBy returns a predicate that reports whether the node at an address has promised.
func grantedBy(responses map[string]promiseResponse) func(addr string) bool {
	return func(addr string) bool { return responses[addr].Granted }
}

// disksOf returns the disks of the nodes that have promised, by address.
func disksOf(responses map[string]promiseResponse) map[string]string {
	disks := map[string]string{}
	for addr, response := range responses {
		if response.Granted {
			disks[addr] = response.Disk
		}
	}
	return disks
}

// concludePromises evaluates the responses of the witnesses. If they promised, it moves the state
// to the new epoch and returns it.
func (v *Replica) concludePromises(c candidacy, responses map[string]promiseResponse) (State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	won, highest := majorityOfEach(c.sets, grantedBy(responses)), highestBindingView(c.epoch, responses)
	if wait := remainingLease(c.sets, responses); !won && !v.active && wait > 0 {
		v.takeoverAt = max(v.takeoverAt, v.k.Clock.Now()+wait)
	}
	switch {
	case highest.Epoch > c.known.Epoch:
		v.observe(highest)
		return State{}, errors.New("a newer view exists")
	case !won:
		return State{}, errors.New("no majority promised the epoch")
	case c.wasActive && !v.active:
		return State{}, errors.New("no longer primary")
	}
	v.state.Epoch = c.epoch // from here on writes of older epochs are rejected
	return v.state, nil
}

// replicateState saves the state on the local disk and copies it to backups concurrently, because
// the previous lease can't be renewed meanwhile.
func (v *Replica) replicateState(ctx context.Context, state State, c candidacy, disks map[string]string) ([]Member, error) {
	saved := make(chan error, 1)
	go func() { saved <- v.writeStateToDisk(ctx, func() error { return v.store.SaveState(state) }) }()
	backups, err := v.copyToBackups(ctx, state, c.known, disks)
	if err := <-saved; err != nil {
		if c.wasActive {
			go v.handOver("local disk failed")
		}
		return nil, err
	}
	return backups, err
}

// becomePrimary makes this control node the primary of an accepted view.
func (v *Replica) becomePrimary(c candidacy, state State, start kernel.Micros, voters []string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.newestView.Epoch > c.epoch || c.wasActive && !v.active {
		return errors.New("no longer primary")
	}
	v.k.Invariants.Check(state.Seq >= v.durableSeq, invariant.DurableStateKept,
		"primary of epoch %d has state up to change %d, but change %d was already durable", c.epoch, state.Seq, v.durableSeq)
	v.leaseEnd, v.renewAt = start+v.lease, start+v.lease/3
	if !v.active {
		v.beginTerm(c.epoch)
		for _, addr := range voters {
			v.policy.lastGranted[addr] = v.policy.primarySince
		}
		v.renewAt = v.policy.primarySince // renew at once, to learn which other control nodes participate
	}
	v.active, v.state, v.newestView = true, state, c.view
	v.takeoverAt = v.leaseEnd
	clear(v.missedRenewals)
	if c.view.inTransition() {
		v.wakeUp() // form the next view, which drops the previous set of witnesses
	}
	v.k.Counters.Add("controlstate.epochs", 1)
	v.k.Log.Info("primary", "epoch", c.epoch, "backups", memberNames(c.view.Backups), "witnesses", len(c.view.Witnesses), "prior", len(c.view.Prior))
	v.changed.NotifyAll()
	return nil
}
