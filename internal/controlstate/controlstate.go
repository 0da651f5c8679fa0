package controlstate

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

var (
	// ErrNotPrimary is returned when this control node does not hold the primary's lease.
	ErrNotPrimary = errors.New("controlstate: not the primary")
	// ErrUnavailable is returned when the control state can't be written at present.
	ErrUnavailable = errors.New("controlstate: control state can't be written now")
)

// callTimeout is the timeout of one call to another control node.
const callTimeout = 300 * kernel.Millisecond

// Config holds the settings and dependencies of a Replica.
type Config struct {
	Name              string
	Dir               string
	Seeds             func() []string // internal addresses of the seed control nodes
	Bootstrap         bool
	Lease             kernel.Micros
	WitnessTimeout    kernel.Micros          // a witness unreachable for longer than this is replaced
	CatchupTimeout    kernel.Micros          // how long changes are refused while there are fewer control nodes than the tolerated failures require
	FailuresTolerated int                    // control nodes that may be lost at once, together with their disks
	ControlNodes      func() []string        // internal addresses of the control nodes believed to be alive
	MembershipChanged func() <-chan struct{} // closed when the set of live control nodes changes
	// Reachable reports whether a control node responds to this one, or to others that are
	// asked to probe it, before ctx is done.
	Reachable func(ctx context.Context, addr string) bool
}

// Replica is the part of a control node that replicates the control state: it votes as a witness,
// stores the state as primary or backup, and campaigns to become primary.
type Replica struct {
	k        *kernel.Kernel
	endpoint *rpc.Endpoint
	cfg      Config
	lease    kernel.Micros
	store    *Store
	self     Member

	// mu guards the fields in memory; it is never held during disk or network I/O.
	mu         sync.Mutex
	witness    witness
	state      State // stored on the local disk; the state of the active primary is also on the disks of all backups
	newestView View  // newest view known
	// lastProposed is the last view that this control node asked witnesses to accept. Some may
	// have accepted it, so the next attempt starts from it unless a newer view is known.
	lastProposed      View
	takeoverAt        kernel.Micros // earliest time at which this control node may campaign to replace the newest view
	primaryAliveUntil kernel.Micros // until then the primary of the newest view counts as alive
	active            bool          // became primary and has not stepped down since; the lease may have expired
	term              *Term         // the latest term of this control node
	cancelTerm        context.CancelFunc
	leaseEnd          kernel.Micros
	renewAt           kernel.Micros
	policy            memberPolicy
	missedRenewals    map[string]int // consecutive renewals that a control node did not answer
	leaving           bool           // Leave was called
	nextCampaignAt    kernel.Micros  // earliest time of the next campaign after a failed one or a loss of the lease
	nextAnnounceAt    kernel.Micros
	voidedEpoch       int64 // epoch of a view whose primary lost its disk and thereby its lease
	highestEpochTried int64 // highest epoch campaigned for or learned from others
	durableSeq        int64 // sequence number of the newest change known to be durable
	queue             []*pendingUpdate
	// A large state is copied to other control nodes (staged) before a view is formed.
	staging               bool
	stagedOn              []string // control nodes that hold the staged state, or nearly all of it
	stagedUntil           kernel.Micros
	warnedTooFewWitnesses bool // already logged that there are fewer witnesses than the tolerated failures require

	diskFailing atomic.Bool // the last write to the disk failed
	diskStalled atomic.Bool // the disk has not completed a request for a while

	writeGate    kernel.Gate // serializes writes and view changes
	stateGate    kernel.Gate // serializes writes of the state to disk
	registerGate kernel.Gate // serializes writes of the witness register to disk
	receiver     snapshotReceiver
	changed      kernel.Notifier
	wake         chan struct{}
}

// Open opens the store and registers the RPC handlers through which this control node
// participates in elections.
func Open(k *kernel.Kernel, endpoint *rpc.Endpoint, cfg Config) (*Replica, error) {
	store, err := openStore(cfg.Dir, k.Sync)
	if err != nil {
		return nil, err
	}
	self := Member{cfg.Name, endpoint.Addr(), store.Disk}
	v := &Replica{
		k: k, endpoint: endpoint, cfg: cfg, lease: cfg.Lease, store: store,
		self: self, policy: newMemberPolicy(self, cfg), missedRenewals: map[string]int{},
		wake: make(chan struct{}, 1), writeGate: kernel.NewGate(), stateGate: kernel.NewGate(), registerGate: kernel.NewGate(),
		receiver: snapshotReceiver{gate: kernel.NewGate()},
	}
	now := k.Clock.Now()
	v.witness = witness{lease: cfg.Lease}
	reg, found, err := store.loadRegister()
	if err != nil {
		return nil, err
	}
	v.witness.reg = reg
	switch {
	case found:
		v.witness.priorLeaseUntil = now + cfg.Lease
	case cfg.Bootstrap:
		// First start of the cluster: the seeds are the initial witnesses.
		v.witness.reg.Accepted.Witnesses = cfg.Seeds()
		if err := store.Save(registerKey, v.witness.reg); err != nil {
			return nil, err
		}
	default:
		v.witness.abstains = true
	}
	if v.state, err = store.LoadState(); err != nil {
		return nil, err
	}
	v.newestView = v.witness.reg.Accepted
	v.takeoverAt = v.policy.takeoverTime(v.newestView, now)
	if store.tornBytes > 0 {
		k.Counters.Add("controlstate.torn_tails", 1)
		k.Log.Warn("truncated an incomplete last record of the store", "bytes", store.tornBytes)
	}
	rpc.HandleTyped(endpoint, "controlstate.promise", v.onPromise)
	rpc.HandleTyped(endpoint, "controlstate.accept", v.onAccept)
	rpc.HandleTyped(endpoint, "controlstate.renew", v.onRenew)
	rpc.HandleTyped(endpoint, "controlstate.release", v.onRelease)
	rpc.HandleTyped(endpoint, "controlstate.register", v.onRegister)
	rpc.HandleTyped(endpoint, "controlstate.offer", v.onOffer)
	rpc.HandleTyped(endpoint, "controlstate.copy", v.onCopy)
	rpc.HandleTyped(endpoint, "controlstate.write", v.onWrite)
	rpc.HandleTyped(endpoint, "controlstate.succeed", v.onSucceed)
	rpc.HandleTyped(endpoint, "controlstate.leaving", v.onLeaving)
	rpc.HandleTyped(endpoint, "controlstate.tell", v.onAnnounce)
	rpc.HandleTyped(endpoint, "controlstate.void", v.onVoidLease)
	return v, nil
}

// Witnesses returns the internal addresses of the witnesses of the newest view.
func (v *Replica) Witnesses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return union(v.newestView.quorumSets()...)
}

// Self returns this control node as a member.
func (v *Replica) Self() Member { return v.self }

// Abstains reports whether this witness may not vote yet because it started with an empty disk.
func (v *Replica) Abstains() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.witness.abstains
}

// SinceLastContact returns, on the primary, the time since each control node last granted a lease
// renewal.
func (v *Replica) SinceLastContact() map[string]kernel.Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, out := v.k.Clock.Now(), map[string]kernel.Micros{}
	for addr, at := range v.policy.lastGranted {
		out[addr] = now - at
	}
	return out
}

// Primary returns the newest view known and whether this control node is its active primary.
func (v *Replica) Primary() (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.newestView, v.holdsLease(v.k.Clock.Now())
}

// KnownPrimary returns the internal address of the newest view's primary and whether that is
// another control node that itself contacted this one within the last lease period. A primary known
// from earlier, or only from a third party, may have failed or been superseded.
func (v *Replica) KnownPrimary() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addr := v.newestView.Primary.Addr
	return addr, addr != v.self.Addr && v.k.Clock.Now() < v.primaryAliveUntil
}

// Referral returns the internal address of the control node that a caller should contact
// instead of this one: the primary, if it is known to be alive, otherwise any member or witness
// of the newest view other than its unresponsive primary. If this control node is partitioned,
// that node knows the primary; if the primary has failed, its successor is one of the members.
// Referral returns "" if there is no such node.
func (v *Replica) Referral() string {
	if addr, known := v.KnownPrimary(); known {
		return addr
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	others := slices.DeleteFunc(union(backupAddrs(v.newestView), v.newestView.Witnesses), func(addr string) bool {
		return addr == v.self.Addr || addr == v.newestView.Primary.Addr
	})
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// Changed returns a channel that is closed at the next change of the state or of the primary.
func (v *Replica) Changed() <-chan struct{} { return v.changed.Wait() }

// Read returns the durable value of an entry. Only the primary serves reads, and only while it
// holds its lease.
func (v *Replica) Read(key string) (json.RawMessage, error) {
	state, err := v.DurableState()
	return state.Entries[key], err
}

// DurableState returns the whole durable state with the epoch of the current view. The caller must
// not modify its entries. Only the primary serves it, while it holds its lease.
func (v *Replica) DurableState() (State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.holdsLease(v.k.Clock.Now()) {
		return State{}, ErrNotPrimary
	}
	return State{v.newestView.Epoch, v.state.Seq, v.state.Entries, v.state.revisions}, nil
}

// wakeUp makes Serve run its next step at once.
func (v *Replica) wakeUp() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// hasKey returns a predicate that reports whether there is a response from an address.
func hasKey[A any](got map[string]A) func(string) bool {
	return func(addr string) bool { _, ok := got[addr]; return ok }
}

// callAll calls several control nodes concurrently, each with its own request, and returns the
// responses received once enough reports true, or once all calls have succeeded or failed.
func callAll[A any](ctx context.Context, v *Replica, addrs []string, op string, request func(addr string) any, enough func(map[string]A) bool) map[string]A {
	type callResult struct {
		addr     string
		response A
		err      error
	}
	ch := make(chan callResult, len(addrs))
	for _, addr := range addrs {
		go func() {
			result := callResult{addr: addr}
			result.err = v.endpoint.Call(ctx, addr, op, request(addr), &result.response, callTimeout)
			ch <- result
		}()
	}
	responses := map[string]A{}
	for range addrs {
		if result := <-ch; result.err == nil {
			if responses[result.addr] = result.response; enough(responses) {
				break
			}
		}
	}
	return responses
}

// Serve runs until ctx is done: as primary it renews the lease, otherwise it campaigns once no
// primary holds a lease. A witness with an empty disk first recovers its register.
func (v *Replica) Serve(ctx context.Context) error {
	if v.Abstains() {
		go v.recoverWitness(ctx)
	}
	go v.probeDisk(ctx)
	for {
		changed := v.cfg.MembershipChanged()
		v.reconcile(ctx)
		t := time.NewTimer(v.nextStepDelay().Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			v.stepDown("stopped")
			return nil
		case <-changed:
			v.campaignSoon()
		case <-v.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// campaignSoon brings the next campaign forward after a membership change, since an attempt
// that failed a moment ago may now succeed.
func (v *Replica) campaignSoon() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		v.nextCampaignAt = min(v.nextCampaignAt, v.k.Clock.Now()+20*kernel.Millisecond)
	}
}

// nextStepDelay returns the time until the next renewal or campaign is due.
func (v *Replica) nextStepDelay() kernel.Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	due := v.campaignNotBefore()
	if v.active {
		due = v.renewAt
	}
	return min(max(due-now, 20*kernel.Millisecond), v.lease/2)
}

// campaignNotBefore returns the earliest time at which this control node, as a member, may
// campaign. A leaving node waits half a lease longer, so that it campaigns only if no other member
// has. In that case the others may have lost the state that it holds, and it hands over once they
// have a copy.
func (v *Replica) campaignNotBefore() kernel.Micros {
	at := max(v.takeoverAt, v.nextCampaignAt)
	if v.leaving {
		at += v.lease / 2
	}
	return at
}

// mayCampaign reports whether this control node may campaign: it holds the state of the newest
// view or, at the first start, may form the first view.
func (v *Replica) mayCampaign() bool {
	return v.policy.mayCampaign(v.newestView, v.cfg.Bootstrap && !v.witness.abstains)
}

// reconcile carries out the actions that are due. The desired condition is one primary with an
// unexpired lease, responsive backups, and participating witnesses.
func (v *Replica) reconcile(ctx context.Context) {
	v.mu.Lock()
	now := v.k.Clock.Now()
	active, isPrimary := v.active, v.holdsLease(now)
	renew := active && now >= v.renewAt
	electionDue := !active && now >= v.campaignNotBefore()
	mayCampaign := v.mayCampaign() && !v.diskStalled.Load()
	newViewWanted := isPrimary && now >= v.nextCampaignAt && (max(v.highestEpochTried, v.state.Epoch) > v.newestView.Epoch || v.policy.wantsNewView(v.newestView, now))
	announce := electionDue && !mayCampaign && v.newestView.Epoch > 0 && now >= v.nextAnnounceAt
	if announce {
		v.nextAnnounceAt = now + v.lease
	}
	v.mu.Unlock()
	if active && !isPrimary {
		v.stepDown("lease expired")
		return
	}
	if renew {
		v.renew(ctx)
	}
	switch wanted := newViewWanted || electionDue && mayCampaign; {
	case wanted && v.readyForView():
		v.campaign(ctx)
	case wanted:
		v.startStaging(ctx)
	case announce:
		v.announceView(ctx)
	}
}

// Leave drains this control node: a primary hands over to its backups, a backup or witness asks
// the primary to replace it. Leave returns once the primary no longer needs this control node, or
// ctx is done. Until then acknowledged changes may be on no other disk, and the vote of this
// control node may be needed.
func (v *Replica) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	for retry := true; retry; retry = kernel.Sleep(ctx, 20*kernel.Millisecond) {
		v.mu.Lock()
		view, active := v.newestView, v.active
		v.mu.Unlock()
		switch {
		case active:
			if v.writeGate.Acquire(ctx) != nil {
				return
			}
			v.handOver("leaving")
			v.writeGate.Release()
		case view.Epoch == 0 || !view.Has(v.self) && !slices.Contains(union(view.quorumSets()...), v.self.Addr):
			return
		case view.Primary.Addr != v.self.Addr:
			var response leaveResponse
			if v.endpoint.Call(ctx, view.Primary.Addr, "controlstate.leaving", v.self, &response, callTimeout) == nil {
				v.mu.Lock()
				v.observe(response.View)
				v.mu.Unlock()
				if response.MayStop {
					return
				}
			}
		}
	}
}

// Close closes the store.
func (v *Replica) Close() error { return v.store.Close() }
