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

// Errors of this layer.
var (
	ErrNotPrimary  = errors.New("controlstate: not the primary")
	ErrUnavailable = errors.New("controlstate: control state can't be written now")
)

const callWait = 300 * kernel.Millisecond

// Config is what a control state is built from.
type Config struct {
	Name              string
	Dir               string
	Seeds             func() []string // inner addresses of the seeds' control nodes
	Bootstrap         bool
	Lease             kernel.Micros
	WitnessTimeout    kernel.Micros          // a witness that is away for longer is exchanged
	CatchupTimeout    kernel.Micros          // how long to wait for the control nodes that Losses asks for
	Losses            int                    // control nodes that may be lost at once, with their disks
	ControlNodes      func() []string        // inner addresses of control nodes that seem alive
	MembershipChanged func() <-chan struct{} // closes when those change
	// Reachable tells whether a control node answers this one, or others that are asked to
	// probe it, before ctx is over.
	Reachable func(ctx context.Context, addr string) bool
}

// Replica is one control node's part in keeping the control state.
type Replica struct {
	k        *kernel.Kernel
	endpoint *rpc.Endpoint
	cfg      Config
	lease    kernel.Micros
	store    *Store
	self     Member

	// mu guards what is in memory; it is never held across disk or network.
	mu      sync.Mutex
	witness witness
	state   State // on this disk; on the active primary also on the backups'
	seen    View  // newest view heard of
	// tentative is the last view that this control node asked to be accepted: some
	// may have, so its next attempt starts from that one, if none newer is known.
	lastProposed      View
	takeoverAt        kernel.Micros
	primaryAliveUntil kernel.Micros // until when the word of the newest view's primary stands
	active            bool
	term              *Term // the last one of this control node
	cancelTerm        context.CancelFunc
	leaseEnd          kernel.Micros
	renewAt           kernel.Micros
	members           memberPolicy
	missed            map[string]int // renewals in a row that a control node left unanswered
	leaving           bool
	standAt           kernel.Micros
	nextAnnounceAt    kernel.Micros
	voidedEpoch       int64 // epoch of a view whose primary lost its disk, and with it the lease
	tried             int64 // highest epoch stood for or heard of
	durable           int64 // sequence of the newest change that is known to be durable
	queue             []*update
	// A large state is staged before a view is formed.
	staging    bool
	stagedAt   []string // the control nodes that have it, or nearly
	stagedTill kernel.Micros
	small      bool // it was said that the core is smaller than Losses asks

	refusing atomic.Bool // the disk refused the last write
	stalled  atomic.Bool // the disk has not answered for a while

	writing kernel.Gate // one write or change of view at a time
	stating kernel.Gate // one write of the state to the disk at a time
	voting  kernel.Gate // one write of the register at a time
	intake  intake
	changed kernel.Bell
	wake    chan struct{}
}

// Open opens the store and takes part in the elections through the endpoint.
func Open(k *kernel.Kernel, b *rpc.Endpoint, cfg Config) (*Replica, error) {
	st, err := openStore(cfg.Dir, k.Sync)
	if err != nil {
		return nil, err
	}
	self := Member{cfg.Name, b.Addr(), st.Disk}
	v := &Replica{
		k: k, endpoint: b, cfg: cfg, lease: cfg.Lease, store: st,
		self: self, members: newMemberPolicy(self, cfg), missed: map[string]int{},
		wake: make(chan struct{}, 1), writing: kernel.NewGate(), stating: kernel.NewGate(), voting: kernel.NewGate(),
		intake: intake{gate: kernel.NewGate()},
	}
	now := k.Clock.Now()
	v.witness = witness{lease: cfg.Lease}
	reg, found, err := st.loadRegister()
	if err != nil {
		return nil, err
	}
	v.witness.reg = reg
	switch {
	case found:
		v.witness.priorLeaseUntil = now + cfg.Lease
	case cfg.Bootstrap:
		// The very first start: the seeds elect.
		v.witness.reg.Accepted.Witnesses = cfg.Seeds()
		if err := st.Save(registerKey, v.witness.reg); err != nil {
			return nil, err
		}
	default:
		v.witness.abstains = true
	}
	if v.state, err = st.LoadState(); err != nil {
		return nil, err
	}
	v.seen = v.witness.reg.Accepted
	v.takeoverAt = v.members.takeoverTime(v.seen, now)
	if st.torn > 0 {
		k.Counters.Add("controlstate.torn_tails", 1)
		k.Log.Warn("unfinished last write of the store cut off", "bytes", st.torn)
	}
	rpc.On(b, "controlstate.promise", v.onPromise)
	rpc.On(b, "controlstate.accept", v.onAccept)
	rpc.On(b, "controlstate.renew", v.onRenew)
	rpc.On(b, "controlstate.release", v.onRelease)
	rpc.On(b, "controlstate.register", v.onRegister)
	rpc.On(b, "controlstate.offer", v.onOffer)
	rpc.On(b, "controlstate.copy", v.onCopy)
	rpc.On(b, "controlstate.write", v.onWrite)
	rpc.On(b, "controlstate.succeed", v.onSucceed)
	rpc.On(b, "controlstate.leaving", v.onLeaving)
	rpc.On(b, "controlstate.tell", v.onAnnounce)
	rpc.On(b, "controlstate.void", v.onVoidLease)
	return v, nil
}

// Witnesses returns the inner addresses of the witnesses.
func (v *Replica) Witnesses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return union(v.seen.quorumSets()...)
}

// Self is this control node as a member.
func (v *Replica) Self() Member { return v.self }

// Abstains tells whether this control node, as a witness, may not vote yet.
func (v *Replica) Abstains() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.witness.abstains
}

// Heard returns, for the primary, how long ago each control node last took part.
func (v *Replica) Heard() map[string]kernel.Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	now, out := v.k.Clock.Now(), map[string]kernel.Micros{}
	for addr, at := range v.members.lastHeard {
		out[addr] = now - at
	}
	return out
}

// Primary returns the newest view heard of and whether this control node is its
// active primary.
func (v *Replica) Primary() (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen, v.leads(v.k.Clock.Now())
}

// Known returns the inner address of another control node that leads: the newest
// view's primary, if it was itself heard within a lease. One that was known
// once, or that others told of, may be gone or superseded.
func (v *Replica) Known() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	addr := v.seen.Primary.Addr
	return addr, addr != v.self.Addr && v.k.Clock.Now() < v.primaryAliveUntil
}

// Referral returns the inner address of the control node that a caller does best to
// ask instead of this one: the primary, if it is known, else any member of the
// newest view but the primary that fell silent. If this control node is cut off, that
// member knows the primary; if the primary is gone, its successor is one of them.
// It is "" if there is none.
func (v *Replica) Referral() string {
	if addr, known := v.Known(); known {
		return addr
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	others := slices.DeleteFunc(union(backupAddrs(v.seen), v.seen.Witnesses), func(addr string) bool {
		return addr == v.self.Addr || addr == v.seen.Primary.Addr
	})
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// Changed closes at the next change of state or of who is primary.
func (v *Replica) Changed() <-chan struct{} { return v.changed.Wait() }

// Read returns the entry's durable value. Only the primary reads, under its
// lease.
func (v *Replica) Read(key string) (json.RawMessage, error) {
	state, err := v.Durable()
	return state.Entries[key], err
}

// Durable returns the whole durable state, under the epoch of the view that
// keeps it; its entries are not to be changed.
func (v *Replica) Durable() (State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return State{}, ErrNotPrimary
	}
	return State{v.seen.Epoch, v.state.Seq, v.state.Entries, v.state.revisions}, nil
}

func (v *Replica) poke() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// has tells which addresses gave an answer.
func has[A any](got map[string]A) func(string) bool {
	return func(addr string) bool { _, ok := got[addr]; return ok }
}

// ask calls several control nodes at once, each with its own message, and returns
// the answers when enough says so, or all have answered or failed.
func ask[A any](ctx context.Context, v *Replica, addrs []string, op string, request func(addr string) any, enough func(map[string]A) bool) map[string]A {
	type result struct {
		addr   string
		answer A
		err    error
	}
	ch := make(chan result, len(addrs))
	for _, addr := range addrs {
		go func() {
			result := result{addr: addr}
			result.err = v.endpoint.Call(ctx, addr, op, request(addr), &result.answer, callWait)
			ch <- result
		}()
	}
	responses := map[string]A{}
	for range addrs {
		if result := <-ch; result.err == nil {
			if responses[result.addr] = result.answer; enough(responses) {
				break
			}
		}
	}
	return responses
}

// Serve renews the lease as primary, and stands when nobody holds one.
func (v *Replica) Serve(ctx context.Context) error {
	if v.Abstains() {
		go v.recoverWitness(ctx)
	}
	go v.watchDisk(ctx)
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

// standSoon: somebody came or went, so what failed a moment ago may succeed.
func (v *Replica) campaignSoon() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		v.standAt = min(v.standAt, v.k.Clock.Now()+20*kernel.Millisecond)
	}
}

// pause is how long nothing is due.
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

// standsAt is when this control node, as a member, may stand. One that leaves does so
// only if no other has: it then holds what others may have lost, and hands over
// once they have it.
func (v *Replica) campaignNotBefore() kernel.Micros {
	at := max(v.takeoverAt, v.standAt)
	if v.leaving {
		at += v.lease / 2
	}
	return at
}

// mayStand tells whether this control node has what the newest view keeps.
func (v *Replica) mayCampaign() bool {
	return v.members.mayCampaign(v.seen, v.cfg.Bootstrap && !v.witness.abstains)
}

// step does what is due: what is wanted is one primary with a running lease,
// backups that answer, and witnesses that take part.
func (v *Replica) reconcile(ctx context.Context) {
	v.mu.Lock()
	now := v.k.Clock.Now()
	active, leads := v.active, v.leads(now)
	renew := active && now >= v.renewAt
	electionDue := !active && now >= v.campaignNotBefore()
	mayCampaign := v.mayCampaign() && !v.stalled.Load()
	newViewWanted := leads && now >= v.standAt && (max(v.tried, v.state.Epoch) > v.seen.Epoch || v.members.wantsNewView(v.seen, now))
	announce := electionDue && !mayCampaign && v.seen.Epoch > 0 && now >= v.nextAnnounceAt
	if announce {
		v.nextAnnounceAt = now + v.lease
	}
	v.mu.Unlock()
	if active && !leads {
		v.stepDown("lease ran out")
		return
	}
	if renew {
		v.renew(ctx)
	}
	switch wanted := newViewWanted || electionDue && mayCampaign; {
	case wanted && v.staged():
		v.campaign(ctx)
	case wanted:
		v.stageSoon(ctx)
	case announce:
		v.announceView(ctx)
	}
}

// Leave hands over in order: as primary to the backups, as backup or witness by
// asking to be replaced. It returns once the primary can do without this control node,
// or ctx is over: till then what was acknowledged may be on no other disk, and its
// vote may be needed.
func (v *Replica) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	for retry := true; retry; retry = kernel.Sleep(ctx, 20*kernel.Millisecond) {
		v.mu.Lock()
		view, active := v.seen, v.active
		v.mu.Unlock()
		switch {
		case active:
			if v.writing.Enter(ctx) != nil {
				return
			}
			v.handOver("leaving")
			v.writing.Leave()
		case view.Epoch == 0 || !view.Has(v.self) && !slices.Contains(union(view.quorumSets()...), v.self.Addr):
			return
		case view.Primary.Addr != v.self.Addr:
			var response leaveResponse
			if v.endpoint.Call(ctx, view.Primary.Addr, "controlstate.leaving", v.self, &response, callWait) == nil {
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
