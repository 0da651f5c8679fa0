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

// tryStand has the witnesses elect this for a new view, and puts the state on the view's
// backups before that is accepted.
func (v *Replica) tryStand(ctx context.Context) error {
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
	if !accepted(ask(ctx, v, voters, "controlstate.accept", func(addr string) any { return acceptRequest{c.view, disks[addr]} }, accepted)) {
		return errors.New("no majority accepted")
	}
	return v.lead(c, state, start, voters)
}

// candidacy is an attempt at a view.
type candidacy struct {
	epoch     int64
	known     View // the newest that was known when it began
	view      View // the one that is proposed
	sets      [][]string
	wasActive bool // it was the primary already
}

// candidacy begins one.
func (v *Replica) newCandidacy() (c candidacy, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	if v.active && !v.leads(now) || !v.mayCampaign() {
		// Its term ended since the caller looked: others may have led meanwhile,
		// and what it has is not for sure the state.
		return c, ErrNotPrimary
	}
	c = candidacy{epoch: v.nextEpoch(), known: v.seen, wasActive: v.active}
	if v.lastProposed.Epoch > c.known.Epoch {
		c.known = v.lastProposed
	}
	c.view, c.sets = v.members.proposal(c.known, c.wasActive, c.epoch, now)
	return c, nil
}

// elect asks the witnesses for their promises. Those that are silent are asked once more,
// and newcomers too where only half of a set of witnesses is left; with their help the view
// has others in the places of those that are lost.
func (v *Replica) elect(ctx context.Context, c *candidacy) map[string]promiseResponse {
	voters := union(slices.Concat(c.sets, c.known.witnessSets())...)
	responses := v.collectPromises(ctx, c.epoch, voters, firstRoundTimeout, c.decided)
	silent := difference(voters, respondents(responses))
	mayStillGrant := func(addr string) bool { return responses[addr].Granted || slices.Contains(silent, addr) }
	halfSurvives := v.halfSurvives(c.known, responses)
	if majorityOfEach(c.sets, grantedBy(responses)) || !halfSurvives && !majorityOfEach(c.sets, mayStillGrant) {
		return responses
	}
	secondRound := silent
	if halfSurvives {
		secondRound = union(silent, v.cfg.ControlNodes())
		secondRound = difference(secondRound, respondents(responses))
	}
	unreachable := make(chan []string, 1)
	go func() {
		if halfSurvives {
			unreachable <- v.findUnreachable(ctx, silent)
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

// decided tells whether the witnesses have promised, or can't any more in this round.
func (c *candidacy) decided(responses map[string]promiseResponse) bool {
	possible := func(addr string) bool {
		a, ok := responses[addr]
		return !ok || a.Granted
	}
	return majorityOfEach(c.sets, grantedBy(responses)) || !majorityOfEach(c.sets, possible)
}

// succeed has newcomers that have promised take the places of witnesses that are lost, if
// they may.
func (v *Replica) adoptNewcomers(c *candidacy, responses map[string]promiseResponse, unreached []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	unreachable := intersection(unreached, v.members.suspects(c.known, responses))
	view, ok := v.members.succession(c.known, c.view, responses, unreachable)
	if !ok {
		return
	}
	v.k.Counters.Add("controlstate.half_succeeded", 1)
	v.k.Log.Warn("half of the witnesses are lost, newcomers take their places", "epoch", c.epoch, "witnesses", view.Witnesses, "gone", unreachable)
	c.view, c.sets = view, view.quorumSets()
}

// answeredIn lists who has answered, and will say no other in a moment.
func respondents(responses map[string]promiseResponse) (addrs []string) {
	for addr, a := range responses {
		if a.Granted || a.refusedForAnother() {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// reachWait is how long a control node may take to answer others that probe it.
const probeTimeout = secondRoundTimeout

// unreachable lists those control nodes that nobody who is asked can reach.
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

func (v *Replica) halfSurvives(known View, responses map[string]promiseResponse) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members.halfSurvives(known, responses)
}

// grantedIn tells who has promised.
func grantedBy(responses map[string]promiseResponse) func(addr string) bool {
	return func(addr string) bool { return responses[addr].Granted }
}

// disksOf are the disks of those that have promised.
func disksOf(responses map[string]promiseResponse) map[string]string {
	disks := map[string]string{}
	for addr, a := range responses {
		if a.Granted {
			disks[addr] = a.Disk
		}
	}
	return disks
}

// promised takes in what the witnesses answered, and returns the state under the new
// epoch if they promised.
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
		return State{}, errors.New("a newer view is there")
	case !won:
		return State{}, errors.New("no majority promised")
	case c.wasActive && !v.active:
		return State{}, errors.New("no longer primary")
	}
	v.state.Epoch = c.epoch // writes of older epochs are refused from here on
	return v.state, nil
}

// spread puts the state on the own disk and on backups, side by side: the lease before
// can't be renewed now.
func (v *Replica) replicateState(ctx context.Context, state State, c candidacy, disks map[string]string) ([]Member, error) {
	saved := make(chan error, 1)
	go func() { saved <- v.onDisk(ctx, func() error { return v.store.SaveState(state) }) }()
	backups, err := v.copyToBackups(ctx, state, c.known, disks)
	if err := <-saved; err != nil {
		if c.wasActive {
			go v.handOver("own disk fails")
		}
		return nil, err
	}
	return backups, err
}

// lead makes this the primary of a view that was accepted.
func (v *Replica) lead(c candidacy, state State, start kernel.Micros, voters []string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.seen.Epoch > c.epoch || c.wasActive && !v.active {
		return errors.New("no longer primary")
	}
	v.k.Invariants.Check(state.Seq >= v.durable, invariant.StateKept,
		"primary of epoch %d with change %d, though change %d was durable", c.epoch, state.Seq, v.durable)
	v.leaseEnd, v.renewAt = start+v.lease, start+v.lease/3
	if !v.active {
		v.beginTerm(c.epoch)
		for _, addr := range voters {
			v.members.lastHeard[addr] = v.members.primarySince
		}
		v.renewAt = v.members.primarySince // to learn who else takes part
	}
	v.active, v.state, v.seen = true, state, c.view
	v.takeoverAt = v.leaseEnd
	clear(v.missed)
	if c.view.inTransition() {
		v.poke() // the set before is to be let go
	}
	v.k.Counters.Add("controlstate.epochs", 1)
	v.k.Log.Info("primary", "epoch", c.epoch, "backups", memberNames(c.view.Backups), "witnesses", len(c.view.Witnesses), "prior", len(c.view.Prior))
	v.changed.Ring()
	return nil
}
