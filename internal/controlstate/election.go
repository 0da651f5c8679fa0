package controlstate

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// epochRequest is a request that concerns the view of an epoch: to release its lease, to succeed its
// primary, or to treat its lease as void.
type epochRequest struct {
	Epoch int64 `json:"epoch"`
}

// renew extends the lease. The renewal is sent to backups and spare control nodes as well: backups
// that do not respond are replaced, spares may be needed soon, and all of them must know which
// primary to refer callers to.
func (v *Replica) renew(ctx context.Context) {
	v.mu.Lock()
	view, start := v.newestView, v.k.Clock.Now()
	v.renewAt = start + v.lease/3
	if v.state.Epoch == view.Epoch {
		v.durableSeq = max(v.durableSeq, v.state.Seq)
	}
	v.mu.Unlock()
	voters := union(view.quorumSets()...)
	others := slices.DeleteFunc(union(backupAddrs(view), v.cfg.ControlNodes()), func(addr string) bool { return slices.Contains(voters, addr) })
	for _, addr := range others {
		if addr != v.self.Addr {
			go v.sendRenewal(ctx, addr, view)
		}
	}
	type renewalResult struct {
		addr string
		renewResponse
	}
	ch := make(chan renewalResult, len(voters))
	for _, addr := range voters {
		go func() { ch <- renewalResult{addr, v.sendRenewal(ctx, addr, view)} }()
	}
	granted := map[string]bool{}
	for range voters {
		result := <-ch
		if granted[result.addr] = result.Granted; majorityOfEach(view.quorumSets(), func(addr string) bool { return granted[addr] }) {
			v.extendLease(view, start)
			return
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active || v.newestView.Epoch != view.Epoch {
		return
	}
	v.k.Counters.Add("controlstate.renew_failed", 1)
	v.renewAt = min(v.renewAt, v.k.Clock.Now()+50*kernel.Millisecond)
}

// extendLease extends the lease from the start of a renewal that a quorum granted.
func (v *Replica) extendLease(view View, start kernel.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.active && v.newestView.Epoch == view.Epoch {
		v.leaseEnd = max(v.leaseEnd, start+v.lease)
		v.takeoverAt = v.leaseEnd
	}
}

// maxMissedRenewals is the number of consecutive unanswered renewals after which a backup is
// replaced.
const maxMissedRenewals = 2

// sendRenewal sends the renewal to one control node and records whether that node participates.
func (v *Replica) sendRenewal(ctx context.Context, addr string, view View) (response renewResponse) {
	v.mu.Lock()
	durable := v.durableSeq
	v.mu.Unlock()
	err := v.endpoint.Call(ctx, addr, "controlstate.renew", renewRequest{view, durable}, &response, callTimeout)
	v.mu.Lock()
	defer v.mu.Unlock()
	i := slices.IndexFunc(view.Backups, func(b Member) bool { return b.Addr == addr })
	switch {
	case err == nil && i >= 0 && response.Disk != view.Backups[i].Disk:
		// The backup restarted with an empty disk before it missed enough renewals.
		v.missedRenewals[addr] = maxMissedRenewals
	case err == nil && !response.Stalled:
		delete(v.missedRenewals, addr)
	default:
		v.missedRenewals[addr]++
	}
	if i >= 0 && v.missedRenewals[addr] >= maxMissedRenewals && v.active && v.newestView.Epoch == view.Epoch {
		// An unusable backup is replaced before a write depends on it.
		delete(v.missedRenewals, addr)
		v.excludeBackup(addr)
	}
	if err == nil && response.Granted && !response.Stalled {
		v.policy.lastGranted[addr] = v.k.Clock.Now()
	}
	if err == nil && !response.Granted && v.active && v.newestView.Epoch == view.Epoch {
		// The node promised a later epoch to a candidate that failed, or learned of such a
		// promise while recovering its register: it only participates in a view of a later
		// epoch.
		v.highestEpochTried = max(v.highestEpochTried, response.Promised)
	}
	return response
}

// backupAddrs returns the addresses of the view's backups.
func backupAddrs(view View) []string {
	out := make([]string, 0, len(view.Backups))
	for _, b := range view.Backups {
		out = append(out, b.Addr)
	}
	return out
}

// campaign tries to become the primary of a new epoch or, as primary, to form another view. After
// a failure it schedules the next attempt with jitter.
func (v *Replica) campaign(ctx context.Context) {
	if v.writeGate.Acquire(ctx) != nil {
		return
	}
	defer v.writeGate.Release()
	if err := v.tryCampaign(ctx); err != nil {
		v.k.Counters.Add("controlstate.stood_in_vain", 1)
		v.mu.Lock()
		v.nextCampaignAt = v.k.Clock.Now() + v.lease/24 + rand.N(v.lease/12)
		v.mu.Unlock()
	}
}

// Timeouts for collecting promises. Witnesses that have just started, or are about to, are
// retried until the round times out.
const (
	// promiseCallTimeout is the timeout of one promise call.
	promiseCallTimeout = 150 * kernel.Millisecond
	firstRoundTimeout  = 180 * kernel.Millisecond // before newcomers are asked as well
	secondRoundTimeout = 450 * kernel.Millisecond
)

// collectPromises requests promises of an epoch from control nodes, until the timeout or until done
// reports that the responses suffice. It returns the response of each; that of a node which did
// not answer is the zero value.
func (v *Replica) collectPromises(ctx context.Context, epoch int64, voters []string, timeout kernel.Micros, done func(responses map[string]promiseResponse) bool) map[string]promiseResponse {
	type promiseResult struct {
		addr     string
		response *promiseResponse
	}
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	v.mu.Lock()
	request := promiseRequest{epoch, v.self, v.voidedEpoch}
	v.mu.Unlock()
	ch := make(chan promiseResult, len(voters))
	for _, addr := range voters {
		go func() { ch <- promiseResult{addr, v.requestPromise(ctx, addr, request)} }()
	}
	responses := map[string]promiseResponse{}
	for range voters {
		result := <-ch
		if result.response == nil {
			result.response = &promiseResponse{}
		}
		if responses[result.addr] = *result.response; done(responses) {
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highestEpochTried = max(v.highestEpochTried, epoch)
	for _, response := range responses {
		v.highestEpochTried = max(v.highestEpochTried, response.Promised)
	}
	return responses
}

// requestPromise requests a promise from one control node and retries while it does not answer. It
// returns nil if the node refuses the call or ctx is done first.
func (v *Replica) requestPromise(ctx context.Context, addr string, request promiseRequest) *promiseResponse {
	for {
		response := &promiseResponse{}
		err := v.endpoint.Call(ctx, addr, "controlstate.promise", request, response, promiseCallTimeout)
		if err == nil {
			return response
		}
		if errors.As(err, new(*rpc.Refused)) || !kernel.Sleep(ctx, 20*kernel.Millisecond) {
			return nil
		}
	}
}

// remainingLease returns how long leases still prevent a majority of each set from promising. A
// lease that only a minority of stale witnesses still honours does not count.
func remainingLease(sets [][]string, responses map[string]promiseResponse) kernel.Micros {
	waits := []kernel.Micros{0}
	for _, response := range responses {
		waits = append(waits, response.LeaseRemaining)
	}
	slices.Sort(waits)
	for _, wait := range waits {
		leaseExpired := func(addr string) bool { return responses[addr].LeaseRemaining <= wait }
		if majorityOfEach(sets, leaseExpired) {
			return wait
		}
	}
	return 0
}

// nextEpoch returns an epoch above every one that this control node knows of.
func (v *Replica) nextEpoch() int64 {
	return max(v.witness.reg.Promised, v.newestView.Epoch, v.state.Epoch, v.highestEpochTried) + 1
}

func memberNames(members []Member) []string {
	out := make([]string, 0, len(members))
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// observe records a view if it is newer than those known.
func (v *Replica) observe(view View) {
	if view.Epoch == v.newestView.Epoch && view.Epoch > 0 {
		v.k.Invariants.Check(view.Primary == v.newestView.Primary, invariant.OnePrimary,
			"epoch %d has two primaries: %v and %v", view.Epoch, v.newestView.Primary, view.Primary)
	}
	if view.Epoch > v.newestView.Epoch || len(v.newestView.Witnesses) == 0 {
		if v.active && view.Epoch > v.newestView.Epoch {
			v.leaseEnd = 0
		}
		v.newestView, v.primaryAliveUntil = view, 0
		v.takeoverAt = max(v.takeoverAt, v.policy.takeoverTime(view, v.k.Clock.Now()))
		v.changed.NotifyAll()
	}
}

// announceView sends the newest view to its members. Only they may campaign, so as long as they do
// not know that the view was accepted, no control node can become its successor.
func (v *Replica) announceView(ctx context.Context) {
	v.mu.Lock()
	view := v.newestView
	v.mu.Unlock()
	for _, addr := range union([]string{view.Primary.Addr}, backupAddrs(view)) {
		if addr != v.self.Addr {
			go v.endpoint.Call(ctx, addr, "controlstate.tell", view, nil, callTimeout)
		}
	}
}

// onAnnounce handles a view sent by announceView.
func (v *Replica) onAnnounce(_ context.Context, view View) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observe(view)
	return struct{}{}, nil
}

// onPromise handles a candidate's request for a promise. A promise is on disk before it is answered.
func (v *Replica) onPromise(ctx context.Context, request promiseRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	response, err := v.witness.promise(v.k.Clock.Now(), request)
	v.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if response.Granted {
		if err := v.saveRegister(ctx); err != nil {
			return nil, err
		}
	}
	response.Disk = v.self.Disk
	v.k.Recorder.Add(VoteKind, Vote{"promise", request.Epoch, request.From.Name, response.Granted})
	return response, nil
}

// onAccept handles the request to accept a view. An acceptance is on disk before it is answered.
func (v *Replica) onAccept(ctx context.Context, request acceptRequest) (any, error) {
	if request.Disk != v.self.Disk {
		v.k.Counters.Add("controlstate.other_disk_refused", 1)
		return nil, errors.New("the promise was made on another disk")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	v.mu.Lock()
	response, err := v.witness.accept(v.k.Clock.Now(), request.View)
	v.mu.Unlock()
	if err != nil || !response.Granted {
		return response, err
	}
	if err := v.saveRegister(ctx); err != nil {
		return nil, err
	}
	if !request.View.Primary.same(v.self) { // this node's own view takes effect once a majority has accepted it
		v.mu.Lock()
		v.notePrimaryAlive(v.k.Clock.Now(), request.View)
		v.mu.Unlock()
	}
	v.k.Recorder.Add(VoteKind, Vote{"accept", request.View.Epoch, request.View.Primary.Name, true})
	return response, nil
}

// onRenew handles the primary's renewal of its lease.
func (v *Replica) onRenew(ctx context.Context, request renewRequest) (any, error) {
	v.mu.Lock()
	now := v.k.Clock.Now()
	if request.View.Epoch < v.newestView.Epoch || len(request.View.Witnesses) == 0 {
		v.k.Counters.Add("controlstate.old_epoch_refused", 1)
		response := renewResponse{Promised: v.witness.reg.Promised}
		v.mu.Unlock()
		return response, nil
	}
	response, changed := v.witness.renew(now, request.View)
	response.Disk, response.Stalled = v.self.Disk, v.diskStalled.Load()
	v.durableSeq = max(v.durableSeq, request.Durable)
	v.notePrimaryAlive(now, request.View)
	v.mu.Unlock()
	if changed {
		ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		defer cancel()
		if err := v.saveRegister(ctx); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// notePrimaryAlive records that the view's primary is active.
func (v *Replica) notePrimaryAlive(now kernel.Micros, view View) {
	v.observe(view)
	if view.Epoch == v.newestView.Epoch && !v.active {
		if now >= v.primaryAliveUntil {
			v.changed.NotifyAll() // callers can be referred to a primary again
		}
		v.primaryAliveUntil = now + v.lease
		v.takeoverAt = max(v.takeoverAt, v.policy.takeoverTime(view, now))
	}
}

// onRelease handles the release of the lease by a primary that hands over.
func (v *Replica) onRelease(_ context.Context, request epochRequest) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.witness.release(request.Epoch)
	return struct{}{}, nil
}

// onRegister handles the request of a witness that recovers its register from those of others.
func (v *Replica) onRegister(context.Context, struct{}) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return registerResponse{v.witness.reg, v.witness.abstains}, nil
}

var errStaleEpoch = errors.New("old epoch")

// onWrite handles a change sent by the primary to a backup: the backup applies it on disk and in
// memory if it directly follows its state in the same epoch.
func (v *Replica) onWrite(ctx context.Context, c Change) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	err := v.writeStateToDisk(ctx, func() error {
		v.mu.Lock()
		current := v.state
		fits := c.Epoch == current.Epoch && c.Seq == current.Seq+1 && !v.active
		v.mu.Unlock()
		if !fits {
			return errStaleEpoch
		}
		if err := v.store.Append(c); err != nil {
			return err
		}
		return v.adoptState(current.With(c.Entries))
	})
	if err != nil {
		return nil, v.countRejection(err)
	}
	return struct{}{}, nil
}

// onSucceed handles the request of a primary that handed over and released its lease: this backup
// campaigns at once.
func (v *Replica) onSucceed(_ context.Context, request epochRequest) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if request.Epoch == v.newestView.Epoch {
		v.takeoverAt, v.nextCampaignAt = 0, 0
		v.wakeUp()
	}
	return struct{}{}, nil
}

// onVoidLease handles the notice that the primary's address is now served by another incarnation
// with an empty disk, so that the lease of that view has no holder any more: this backup campaigns
// at once.
func (v *Replica) onVoidLease(_ context.Context, request epochRequest) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if request.Epoch != v.newestView.Epoch || !v.newestView.Has(v.self) || v.active {
		return nil, errStaleEpoch
	}
	v.voidedEpoch, v.takeoverAt, v.nextCampaignAt = request.Epoch, 0, 0
	v.wakeUp()
	return struct{}{}, nil
}

// leaveResponse is the response to a control node that is shutting down: the newest view, and
// whether that node may stop now.
type leaveResponse struct {
	View    View `json:"view"`
	MayStop bool `json:"go"`
}

// onLeaving handles the notice that a control node is shutting down; a leaving backup is replaced.
func (v *Replica) onLeaving(_ context.Context, m Member) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	v.policy.noteLeaving(m.Addr, now)
	if v.active && slices.ContainsFunc(v.newestView.Backups, m.same) {
		v.wakeUp()
	}
	return leaveResponse{v.newestView, v.holdsLease(now) && v.policy.safeToRemove(v.newestView, m, now)}, nil
}
