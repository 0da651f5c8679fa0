package controlstate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
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

// State is the whole control state as it lies on a member's disk.
type State struct {
	Epoch     int64                      `json:"epoch"`
	Seq       int64                      `json:"seq"`
	Entries   map[string]json.RawMessage `json:"entries"`
	revisions revisions
}

// Change is one step of the state; an entry that is null is removed.
type Change struct {
	Epoch   int64                      `json:"epoch"`
	Seq     int64                      `json:"seq"`
	Entries map[string]json.RawMessage `json:"entries"`
}

// With is the state after one more change.
func (s State) With(changes map[string]json.RawMessage) State {
	n := State{Epoch: s.Epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries), revisions: s.revisions.changed(keysOf(changes), s.Seq+1)}
	if n.Entries == nil {
		n.Entries = map[string]json.RawMessage{}
	}
	put(n.Entries, changes)
	return n
}

func keysOf(entries map[string]json.RawMessage) []string { return slices.Collect(maps.Keys(entries)) }

// put carries changes out on entries.
func put(entries, changes map[string]json.RawMessage) {
	for k, v := range changes {
		if v == nil || string(v) == "null" {
			delete(entries, k)
		} else {
			entries[k] = v
		}
	}
}

// Pick decodes the entries whose keys begin with the prefix, by the rest of
// their keys.
func Pick[T any](entries map[string]json.RawMessage, prefix string) (map[string]T, error) {
	return NewDecoded[T](prefix).Of(entries)
}

// Decoded keeps the entries of one kind decoded: of a state that changed, only
// what changed is decoded again.
type Decoded[T any] struct {
	prefix string

	mu     sync.Mutex
	raw    map[string]json.RawMessage // what the values were decoded from
	values map[string]T
}

// NewDecoded returns a keeper of the entries whose keys begin with the prefix.
func NewDecoded[T any](prefix string) *Decoded[T] { return &Decoded[T]{prefix: prefix} }

// Of decodes the entries, by the rest of their keys. The map is shared and not
// to be changed.
func (d *Decoded[T]) Of(entries map[string]json.RawMessage) (map[string]T, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fresh, there := map[string]T{}, 0
	for key, raw := range entries {
		rest, ok := strings.CutPrefix(key, d.prefix)
		if !ok {
			continue
		}
		there++
		if was, known := d.raw[rest]; known && bytes.Equal(was, raw) {
			continue
		}
		var v T
		if err := json.Unmarshal(raw, &v); err != nil {
			return nil, fmt.Errorf("controlstate: entry %s: %w", key, err)
		}
		fresh[rest] = v
	}
	if d.values != nil && len(fresh) == 0 && there == len(d.values) {
		return d.values, nil
	}
	raw, values := make(map[string]json.RawMessage, there), make(map[string]T, there)
	for rest, v := range d.values {
		if still, ok := entries[d.prefix+rest]; ok {
			raw[rest], values[rest] = still, v
		}
	}
	for rest, v := range fresh {
		raw[rest], values[rest] = entries[d.prefix+rest], v
	}
	d.raw, d.values = raw, values
	return values, nil
}

// Config is what a control state is built from.
type Config struct {
	Name         string
	Dir          string
	Seeds        func() []string // inner addresses of the seeds' control nodes
	Bootstrap    bool
	Lease        kernel.Micros
	Away         kernel.Micros          // a witness that is away for longer is exchanged
	Catchup      kernel.Micros          // how long to wait for the control nodes that Losses asks for
	Losses       int                    // control nodes that may be lost at once, with their disks
	ControlNodes func() []string        // inner addresses of control nodes that seem alive
	Changed      func() <-chan struct{} // closes when those change
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
	tentative View
	seenTill  kernel.Micros
	heardTill kernel.Micros // until when the word of the newest view's primary stands
	active    bool
	term      *Term // the last one of this control node
	endTerm   context.CancelFunc
	leaseEnd  kernel.Micros
	renewAt   kernel.Micros
	members   memberPolicy
	missed    map[string]int // retry budget in a row that a control node left unanswered
	leaving   bool
	standAt   kernel.Micros
	toldAt    kernel.Micros
	voided    int64 // epoch of a view whose primary lost its disk, and with it the lease
	tried     int64 // highest epoch stood for or heard of
	queue     []*update
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
		v.witness.quietTill = now + cfg.Lease
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
	v.seenTill = v.members.takeover(v.seen, now)
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
	rpc.On(b, "controlstate.tell", v.onTell)
	rpc.On(b, "controlstate.void", v.onVoid)
	return v, nil
}

// Witnesses returns the inner addresses of the witnesses.
func (v *Replica) Witnesses() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return union(v.seen.sets()...)
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
	for addr, at := range v.members.heard {
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
	return addr, addr != v.self.Addr && v.k.Clock.Now() < v.heardTill
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

func (v *Replica) leads(now kernel.Micros) bool { return v.active && now < v.leaseEnd }

// Lease returns how long the lease runs yet; nothing may be answered or done
// as primary at or past its end.
func (v *Replica) Lease() (epoch int64, left kernel.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaseLeft()
}

func (v *Replica) leaseLeft() (epoch int64, left kernel.Micros) {
	now := v.k.Clock.Now()
	if !v.leads(now) {
		return 0, 0
	}
	return v.seen.Epoch, v.leaseEnd - now
}

// Term is a time in which this control node is the primary and nobody else was
// between: it lasts through later views of its own. What was read or decided
// in a term may leave the process only while that term is valid. That this
// control node leads is not enough: it may have lost the term, while it was frozen,
// and won another.
type Term struct {
	v     *Replica
	began int64 // epoch of its first view
	ctx   context.Context
}

// Term returns the term that runs.
func (v *Replica) Term() (*Term, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return nil, ErrNotPrimary
	}
	return v.term, nil
}

type termKey struct{}

// TermOf returns the term whose context ctx is, or derives from; if there is
// none, nil, which is a term that is over.
func TermOf(ctx context.Context) *Term {
	t, _ := ctx.Value(termKey{}).(*Term)
	return t
}

// begin starts a term. The caller holds the lock.
func (v *Replica) begin(epoch int64) {
	v.term = &Term{v: v, began: epoch}
	v.term.ctx, v.endTerm = context.WithCancel(context.WithValue(context.Background(), termKey{}, v.term))
	v.members.since = v.k.Clock.Now()
}

// Context ends with the term, at the latest before another one begins.
func (t *Term) Context() context.Context { return t.ctx }

// Began is the epoch in which the term began; terms are known by it.
func (t *Term) Began() int64 { return t.began }

// Lease returns the epoch and how long the lease runs yet, 0 if the term is
// over.
func (t *Term) Lease() (epoch int64, left kernel.Micros) {
	if t == nil {
		return 0, 0
	}
	t.v.mu.Lock()
	defer t.v.mu.Unlock()
	if t.v.term != t {
		return 0, 0
	}
	return t.v.leaseLeft()
}

// Valid tells whether the term runs.
func (t *Term) Valid() bool {
	_, left := t.Lease()
	return left > 0
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

// ChangeFunc sees the entries and returns those to replace (nil removes one).
type ChangeFunc func(map[string]json.RawMessage) (map[string]json.RawMessage, error)

// update is a change that waits to be written.
type update struct {
	change ChangeFunc
	done   chan error
}

// Update carries a change out. It returns nil only once the change is on the
// disks of the primary and all its backups and the lease still runs. Changes
// that come while another is being written go out together. An error other
// than change's own leaves open whether the change lasts.
func (v *Replica) Update(ctx context.Context, change ChangeFunc) error {
	u := &update{change, make(chan error, 1)}
	v.mu.Lock()
	v.queue = append(v.queue, u)
	v.mu.Unlock()
	if err := v.writing.Enter(ctx); err != nil {
		v.mu.Lock()
		v.queue = slices.DeleteFunc(v.queue, func(o *update) bool { return o == u })
		v.mu.Unlock()
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer v.writing.Leave()
	select {
	case err := <-u.done:
		return err
	default:
	}
	v.mu.Lock()
	batch := v.queue
	v.queue = nil
	v.mu.Unlock()
	// One caller writes for others: it goes on even if its own call is over.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (3 * callWait).Duration())
	defer cancel()
	v.commit(ctx, batch)
	return <-u.done
}

// commit writes a batch, a second time if a backup had to be replaced.
func (v *Replica) commit(ctx context.Context, batch []*update) {
	own := make([]error, len(batch))
	err := v.write(ctx, batch, own)
	if errors.Is(err, errBackup) && v.staged() && v.tryStand(ctx) == nil {
		err = v.write(ctx, batch, own)
	}
	for i, u := range batch {
		if err != nil {
			own[i] = err
		}
		u.done <- own[i]
	}
}

// errBackup says that the view's backups do not keep a write, or not enough of
// them.
var errBackup = fmt.Errorf("%w: too few backups take it", ErrUnavailable)

func (v *Replica) write(ctx context.Context, batch []*update, own []error) error {
	v.mu.Lock()
	if !v.leads(v.k.Clock.Now()) {
		v.mu.Unlock()
		return ErrNotPrimary
	}
	if v.state.Epoch != v.seen.Epoch {
		// It stood for another epoch in vain: what is on disk belongs to that.
		v.mu.Unlock()
		return errBackup
	}
	now := v.k.Clock.Now()
	if !v.members.enoughBackups(v.seen, now) {
		v.mu.Unlock()
		return errBackup
	}
	if !v.members.largeEnough(v.seen, now) {
		v.mu.Unlock()
		v.k.Counters.Add("controlstate.too_few_witnesses", 1)
		return fmt.Errorf("%w: the witnesses can't bear the losses yet", ErrUnavailable)
	}
	if n := len(v.seen.Witnesses); n < 2*v.cfg.Losses && !v.small {
		v.small = true
		v.k.Log.Warn("fewer control nodes than the losses to be borne ask for", "witnesses", n, "tolerate", v.cfg.Losses)
	}
	old, view := v.state, v.seen
	v.mu.Unlock()
	next := State{Epoch: view.Epoch, Seq: old.Seq + 1, Entries: maps.Clone(old.Entries)}
	if next.Entries == nil {
		next.Entries = map[string]json.RawMessage{}
	}
	changes := map[string]json.RawMessage{}
	for i, u := range batch {
		var c map[string]json.RawMessage
		if c, own[i] = u.change(next.Entries); own[i] == nil {
			put(next.Entries, c)
			maps.Copy(changes, c)
		}
	}
	if len(changes) == 0 {
		return nil
	}
	next.revisions = old.revisions.changed(keysOf(changes), next.Seq)
	local := make(chan error, 1)
	c := Change{view.Epoch, next.Seq, changes}
	go func() { local <- v.onDisk(ctx, func() error { return v.store.Append(c) }) }()
	taken := v.toBackups(ctx, view, c)
	var saved error
	t := time.NewTimer(diskWait.Duration())
	select {
	case saved = <-local:
	case <-t.C:
		saved = errStalled
	}
	t.Stop()
	if saved != nil {
		v.k.Counters.Add("controlstate.save_failed", 1)
		go v.handOver("own disk fails")
		return fmt.Errorf("%w: %v", ErrUnavailable, saved)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.leads(v.k.Clock.Now()) || v.seen.Epoch != view.Epoch:
		return ErrNotPrimary
	case !taken:
		return errBackup
	}
	v.state = next
	v.changed.Ring()
	return nil
}

// toBackups hands a change to all backups; those that do not take it are
// shunned.
func (v *Replica) toBackups(ctx context.Context, view View, c Change) bool {
	addrs := make([]string, 0, len(view.Backups))
	for _, b := range view.Backups {
		addrs = append(addrs, b.Addr)
	}
	took := ask(ctx, v, addrs, "controlstate.write", func(string) any { return c }, func(got map[string]struct{}) bool { return len(got) == len(addrs) })
	if len(took) == len(addrs) {
		return true
	}
	v.k.Counters.Add("controlstate.backup_failed", 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, addr := range addrs {
		if _, ok := took[addr]; !ok {
			v.shun(addr)
		}
	}
	return false
}

// shun has a backup replaced.
func (v *Replica) shun(addr string) {
	v.members.shun(addr, v.k.Clock.Now())
	v.poke()
}

// onDisk runs one write of the state to the disk, alone. A disk that stalls
// holds up this write and no other work of the control node.
func (v *Replica) onDisk(ctx context.Context, write func() error) error {
	if err := v.stating.Enter(ctx); err != nil {
		return err
	}
	defer v.stating.Leave()
	return v.noteDisk(write())
}

// noteDisk counts what the disk refuses.
func (v *Replica) noteDisk(err error) error {
	if err != nil && !errors.Is(err, errOldEpoch) {
		v.k.Counters.Add("controlstate.disk_refused", 1)
		if !v.refusing.Swap(true) {
			v.k.Log.Warn("disk refuses writes", "error", err)
		}
	} else if v.refusing.Swap(false) {
		v.k.Log.Info("disk takes writes again")
	}
	return err
}

// diskWait is how long the disk may take for a small write before it counts as
// stalled. What it costs is a hand-over.
const diskWait = 400 * kernel.Millisecond

// aliveKey is the record that is written to see whether the disk answers.
const aliveKey = "alive"

// watchDisk writes a few bytes now and then, so that a disk that stalls or
// refuses is noticed before a change needs it: a primary then hands over, and
// a backup is replaced.
func (v *Replica) watchDisk(ctx context.Context) {
	for n := 0; kernel.Sleep(ctx, v.lease); n++ {
		done := make(chan error, 1)
		go func() { done <- v.noteDisk(v.store.Save(aliveKey, n)) }()
		t := time.NewTimer(diskWait.Duration())
		var err error
		select {
		case err = <-done:
			t.Stop()
		case <-t.C:
			v.stall(errStalled)
			err = <-done
		}
		v.stall(err)
	}
}

var errStalled = errors.New("does not answer")

// stall notes whether the disk serves; a primary whose disk does not hands
// over.
func (v *Replica) stall(err error) {
	if v.stalled.Swap(err != nil) == (err != nil) {
		return
	}
	if err == nil {
		v.k.Log.Info("disk serves again")
		return
	}
	v.k.Counters.Add("controlstate.disk_stalled", 1)
	v.k.Log.Warn("disk does not serve", "why", err.Error())
	if _, leads := v.Primary(); leads {
		v.handOver("own disk does not serve")
	}
}

// saveRegister puts the register, as it is now, on disk; a vote counts only
// after that.
func (v *Replica) saveRegister(ctx context.Context) error {
	if err := v.voting.Enter(ctx); err != nil {
		return err
	}
	defer v.voting.Leave()
	v.mu.Lock()
	reg := v.witness.reg
	v.mu.Unlock()
	return v.noteDisk(v.store.Save(registerKey, reg))
}

func (v *Replica) poke() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// resign ends this control node's time as primary, and returns its last view; false
// if it was none.
func (v *Replica) resign(why string) (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		return View{}, false
	}
	v.active, v.members.since = false, 0
	v.endTerm()
	v.k.Log.Info("no longer primary", "epoch", v.seen.Epoch, "why", why)
	v.standAt = v.k.Clock.Now() + v.lease
	v.changed.Ring()
	return v.seen, true
}

// handOver gives the lease up before it ends and has the backups stand.
func (v *Replica) handOver(why string) {
	view, was := v.resign(why)
	if !was {
		return
	}
	ctx := context.Background() // each call is bounded
	ask(ctx, v, union(view.sets()...), "controlstate.release", func(string) any { return epochAsk{view.Epoch} },
		func(got map[string]struct{}) bool { return majorities(view.sets(), has(got)) })
	for _, b := range view.Backups {
		if v.endpoint.Call(ctx, b.Addr, "controlstate.succeed", epochAsk{view.Epoch}, nil, callWait) == nil {
			return
		}
	}
}

// has tells which addresses gave an answer.
func has[A any](got map[string]A) func(string) bool {
	return func(addr string) bool { _, ok := got[addr]; return ok }
}

// ask calls several control nodes at once, each with its own message, and returns
// the answers when enough says so, or all have answered or failed.
func ask[A any](ctx context.Context, v *Replica, addrs []string, op string, message func(addr string) any, enough func(map[string]A) bool) map[string]A {
	type reply struct {
		addr   string
		answer A
		err    error
	}
	ch := make(chan reply, len(addrs))
	for _, addr := range addrs {
		go func() {
			r := reply{addr: addr}
			r.err = v.endpoint.Call(ctx, addr, op, message(addr), &r.answer, callWait)
			ch <- r
		}()
	}
	got := map[string]A{}
	for range addrs {
		if r := <-ch; r.err == nil {
			if got[r.addr] = r.answer; enough(got) {
				break
			}
		}
	}
	return got
}

// Serve renews the lease as primary, and stands when nobody holds one.
func (v *Replica) Serve(ctx context.Context) error {
	if v.Abstains() {
		go v.recoverWitness(ctx)
	}
	go v.watchDisk(ctx)
	for {
		changed := v.cfg.Changed()
		v.step(ctx)
		t := time.NewTimer(v.pause().Duration())
		select {
		case <-ctx.Done():
			t.Stop()
			v.resign("stopped")
			return nil
		case <-changed:
			v.standSoon()
		case <-v.wake:
		case <-t.C:
		}
		t.Stop()
	}
}

// standSoon: somebody came or went, so what failed a moment ago may succeed.
func (v *Replica) standSoon() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		v.standAt = min(v.standAt, v.k.Clock.Now()+20*kernel.Millisecond)
	}
}

// pause is how long nothing is due.
func (v *Replica) pause() kernel.Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	due := v.standsAt()
	if v.active {
		due = v.renewAt
	}
	return min(max(due-now, 20*kernel.Millisecond), v.lease/2)
}

// standsAt is when this control node, as a member, may stand. One that leaves does so
// only if no other has: it then holds what others may have lost, and hands over
// once they have it.
func (v *Replica) standsAt() kernel.Micros {
	at := max(v.seenTill, v.standAt)
	if v.leaving {
		at += v.lease / 2
	}
	return at
}

// mayStand tells whether this control node has what the newest view keeps.
func (v *Replica) mayStand() bool {
	return v.members.mayStand(v.seen, v.cfg.Bootstrap && !v.witness.abstains)
}

// step does what is due: what is wanted is one primary with a running lease,
// backups that answer, and witnesses that take part.
func (v *Replica) step(ctx context.Context) {
	v.mu.Lock()
	now := v.k.Clock.Now()
	active, leads := v.active, v.leads(now)
	renew := active && now >= v.renewAt
	idle := !active && now >= v.standsAt()
	may := v.mayStand() && !v.stalled.Load()
	another := leads && now >= v.standAt && (max(v.tried, v.state.Epoch) > v.seen.Epoch || v.members.wantsAnother(v.seen, now))
	tell := idle && !may && v.seen.Epoch > 0 && now >= v.toldAt
	if tell {
		v.toldAt = now + v.lease
	}
	v.mu.Unlock()
	if active && !leads {
		v.resign("lease ran out")
		return
	}
	if renew {
		v.renew(ctx)
	}
	switch wanted := another || idle && may; {
	case wanted && v.staged():
		v.stand(ctx)
	case wanted:
		v.stageSoon(ctx)
	case tell:
		v.tell(ctx)
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
	for again := true; again; again = kernel.Sleep(ctx, 20*kernel.Millisecond) {
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
		case view.Epoch == 0 || !view.Has(v.self) && !slices.Contains(union(view.sets()...), v.self.Addr):
			return
		case view.Primary.Addr != v.self.Addr:
			var a leaveAnswer
			if v.endpoint.Call(ctx, view.Primary.Addr, "controlstate.leaving", v.self, &a, callWait) == nil {
				v.mu.Lock()
				v.observe(a.View)
				v.mu.Unlock()
				if a.Go {
					return
				}
			}
		}
	}
}

// Close closes the store.
func (v *Replica) Close() error { return v.store.Close() }
