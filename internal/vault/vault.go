package vault

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/foundation"
	"indigowalk/internal/loan"
)

// Errors of this layer.
var (
	ErrNotPrimary  = errors.New("vault: not the primary")
	ErrUnavailable = errors.New("vault: control state can't be written now")
)

const callWait = 300 * foundation.Millisecond

// State is the whole control state as it lies on a member's disk.
type State struct {
	Epoch   int64                      `json:"epoch"`
	Seq     int64                      `json:"seq"`
	Entries map[string]json.RawMessage `json:"entries"`
}

func (s State) with(changes map[string]json.RawMessage) State {
	n := State{Epoch: s.Epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries)}
	if n.Entries == nil {
		n.Entries = map[string]json.RawMessage{}
	}
	for k, v := range changes {
		if v == nil {
			delete(n.Entries, k)
		} else {
			n.Entries[k] = v
		}
	}
	return n
}

// Pick decodes the entries whose keys begin with the prefix, by the rest of
// their keys.
func Pick[T any](entries map[string]json.RawMessage, prefix string) (map[string]T, error) {
	out := map[string]T{}
	for key, raw := range entries {
		rest, ok := strings.CutPrefix(key, prefix)
		if !ok {
			continue
		}
		var v T
		if err := json.Unmarshal(raw, &v); err != nil {
			return nil, fmt.Errorf("vault: entry %s: %w", key, err)
		}
		out[rest] = v
	}
	return out, nil
}

type writeAsk struct {
	Epoch   int64                      `json:"epoch"`
	Seq     int64                      `json:"seq"`
	Changes map[string]json.RawMessage `json:"changes"`
}

type copyAnswer struct {
	Member Member `json:"member"`
}

type registerAnswer struct {
	Register register `json:"register"`
	Abstains bool     `json:"abstains"`
	Electors []string `json:"electors"`
}

// Config is what a vault is built from.
type Config struct {
	Name      string
	Dir       string
	Seeds     []string // inner addresses of the seeds' archives
	Bootstrap bool
	Lease     foundation.Micros
	Archives  func() []string // inner addresses of archives that seem alive
}

// Vault is one archive's part in keeping the control state.
type Vault struct {
	k      *foundation.Kernel
	branch *loan.Branch
	cfg    Config
	lease  foundation.Micros
	store  *Store
	self   Member

	mu       sync.Mutex
	electors []string
	elector  elector
	state    State // on this disk; on the active primary also on the backup's
	seen     View  // newest view heard of
	seenTill foundation.Micros
	active   bool
	term     context.Context // ends with this archive's time as primary
	endTerm  context.CancelFunc
	leaseEnd foundation.Micros
	renewAt  foundation.Micros
	shunned  string // a backup that failed or leaves
	leaving  bool
	standAt  foundation.Micros
	misses   int
	tried    int64 // highest epoch stood for or heard of

	writing foundation.Gate // one write or change of view at a time
	changed foundation.Bell
	wake    chan struct{}
}

// Open opens the store and takes part in the elections through the branch.
func Open(k *foundation.Kernel, b *loan.Branch, cfg Config) (*Vault, error) {
	st, err := OpenStore(cfg.Dir)
	if err != nil {
		return nil, err
	}
	v := &Vault{
		k: k, branch: b, cfg: cfg, lease: cfg.Lease, store: st,
		self: Member{cfg.Name, b.Addr(), st.Disk},
		wake: make(chan struct{}, 1), writing: foundation.NewGate(),
	}
	var known electorsRecord
	if _, err := st.Load("electors", &known); err != nil {
		return nil, err
	}
	v.electors = known.Addrs
	if len(v.electors) == 0 && cfg.Bootstrap {
		if err := v.learnElectors(cfg.Seeds); err != nil {
			return nil, err
		}
	}
	now := k.Clock.Now()
	v.elector = elector{store: st, lease: cfg.Lease, abstains: st.Fresh && !cfg.Bootstrap}
	if !st.Fresh {
		v.elector.quietTill = now + cfg.Lease
	}
	if _, err := st.Load("register", &v.elector.reg); err != nil {
		return nil, err
	}
	if _, err := st.Load("state", &v.state); err != nil {
		return nil, err
	}
	v.seen = v.elector.reg.Accepted
	v.seenTill = now + cfg.Lease
	if st.Fresh && cfg.Bootstrap {
		v.seenTill = now + foundation.Micros(slices.Index(v.electors, v.self.Addr))*foundation.Second/2
	}
	if st.torn > 0 {
		k.Counters.Add("vault.torn_tails", 1)
		k.Log.Warn("unfinished last write of the store cut off", "bytes", st.torn)
	}
	loan.On(b, "vault.promise", v.onPromise)
	loan.On(b, "vault.accept", v.onAccept)
	loan.On(b, "vault.renew", v.onRenew)
	loan.On(b, "vault.release", v.onRelease)
	loan.On(b, "vault.register", v.onRegister)
	loan.On(b, "vault.copy", v.onCopy)
	loan.On(b, "vault.write", v.onWrite)
	loan.On(b, "vault.succeed", v.onSucceed)
	loan.On(b, "vault.leaving", v.onLeaving)
	return v, nil
}

func (v *Vault) learnElectors(addrs []string) error {
	if err := v.store.Save("electors", electorsRecord{addrs}); err != nil {
		return err
	}
	v.electors = addrs
	return nil
}

func (v *Vault) electorAddrs() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.electors
}

// Electors returns the inner addresses of the electors.
func (v *Vault) Electors() []string { return v.electorAddrs() }

// Self is this archive as a member.
func (v *Vault) Self() Member { return v.self }

// Primary returns the newest view heard of and whether this archive is its
// active primary.
func (v *Vault) Primary() (View, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen, v.leads(v.k.Clock.Now())
}

// Known returns the primary's inner address, if one has been heard of within
// its lease.
func (v *Vault) Known() (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.seen.Primary.Addr, v.seen.Epoch > 0 && v.k.Clock.Now() < v.seenTill
}

func (v *Vault) leads(now foundation.Micros) bool { return v.active && now < v.leaseEnd }

// Lease returns how long the lease runs yet; nothing may be answered or done
// as primary at or past its end.
func (v *Vault) Lease() (epoch int64, left foundation.Micros) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	if !v.leads(now) {
		return 0, 0
	}
	return v.seen.Epoch, v.leaseEnd - now
}

// Term returns a context that lasts while this archive is the primary, and
// its epoch.
func (v *Vault) Term() (context.Context, int64, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return nil, 0, ErrNotPrimary
	}
	return v.term, v.seen.Epoch, nil
}

// Changed closes at the next change of state or of who is primary.
func (v *Vault) Changed() <-chan struct{} { return v.changed.Wait() }

// Read returns the entry's durable value. Only the primary reads, under its
// lease.
func (v *Vault) Read(key string) (json.RawMessage, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return nil, ErrNotPrimary
	}
	return v.state.Entries[key], nil
}

// Durable returns the whole durable state; its entries are not to be changed.
func (v *Vault) Durable() (State, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leads(v.k.Clock.Now()) {
		return State{}, ErrNotPrimary
	}
	return v.state, nil
}

// Update lets change see the entries and return those to replace (nil removes
// one). It returns nil only once the change is on both members' disks and the
// lease still runs. An error other than change's own leaves open whether the
// change lasts.
func (v *Vault) Update(ctx context.Context, change func(map[string]json.RawMessage) (map[string]json.RawMessage, error)) error {
	if err := v.writing.Enter(ctx); err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer v.writing.Leave()
	v.mu.Lock()
	if !v.leads(v.k.Clock.Now()) {
		v.mu.Unlock()
		return ErrNotPrimary
	}
	old, view := v.state, v.seen
	v.mu.Unlock()
	changes, err := change(old.Entries)
	if err != nil || len(changes) == 0 {
		return err
	}
	next := old.with(changes)
	local := make(chan error, 1)
	go func() { local <- v.store.Save("state", next) }()
	ask := writeAsk{view.Epoch, next.Seq, changes}
	err = v.branch.Call(ctx, view.Backup.Addr, "vault.write", ask, nil, 2*callWait)
	if saved := <-local; saved != nil {
		v.k.Counters.Add("vault.save_failed", 1)
		v.resign("own disk fails")
		return fmt.Errorf("%w: %v", ErrUnavailable, saved)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if err != nil {
		v.k.Counters.Add("vault.backup_failed", 1)
		v.shunned = view.Backup.Addr
		v.poke()
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if !v.leads(v.k.Clock.Now()) || v.seen.Epoch != view.Epoch {
		return ErrNotPrimary
	}
	v.state = next
	v.changed.Ring()
	return nil
}

func (v *Vault) poke() {
	select {
	case v.wake <- struct{}{}:
	default:
	}
}

// Serve renews the lease as primary, and stands when nobody holds one.
func (v *Vault) Serve(ctx context.Context) error {
	v.mu.Lock()
	abstains := v.elector.abstains
	v.mu.Unlock()
	if abstains {
		v.findElectors(ctx)
		go v.recoverElector(ctx)
	}
	for {
		v.step(ctx)
		t := v.pause()
		select {
		case <-ctx.Done():
			v.resign("stopped")
			return nil
		case <-v.wake:
		case <-time.After(t.Duration()):
		}
	}
}

// pause is how long nothing is due.
func (v *Vault) pause() foundation.Micros {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	due := max(v.seenTill, v.standAt, v.elector.quietTill)
	if v.active {
		due = v.renewAt
	}
	return min(max(due-now, 20*foundation.Millisecond), v.lease/2)
}

func (v *Vault) step(ctx context.Context) {
	v.mu.Lock()
	now := v.k.Clock.Now()
	active, leads := v.active, v.leads(now)
	renew := active && now >= v.renewAt
	replace := active && v.shunned != "" && v.shunned == v.seen.Backup.Addr
	stand := !active && !v.leaving && now >= v.seenTill && now >= v.standAt && v.mayStand()
	v.mu.Unlock()
	switch {
	case active && !leads:
		v.resign("lease ran out")
	case replace:
		v.stand(ctx)
	case renew:
		v.renew(ctx)
	case stand:
		v.stand(ctx)
	}
}

// mayStand: only a member of the highest view, with that same disk; at the
// very first start, while there is no view, an elector.
func (v *Vault) mayStand() bool {
	if v.seen.Epoch == 0 {
		return v.cfg.Bootstrap && slices.Contains(v.electors, v.self.Addr)
	}
	return v.seen.Has(v.self)
}

func (v *Vault) resign(why string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active {
		return
	}
	v.active = false
	v.endTerm()
	v.k.Log.Info("no longer primary", "epoch", v.seen.Epoch, "why", why)
	v.standAt = v.k.Clock.Now() + v.lease/2
	v.changed.Ring()
}

// poll asks every elector at once and returns the answers of those that gave
// one; it stops early once enough of them satisfy ok.
func poll[A any](ctx context.Context, v *Vault, op string, ask any, ok func(A) bool) (good []A, all []A) {
	electors := v.electorAddrs()
	ch := make(chan *A, len(electors))
	for _, addr := range electors {
		go func() {
			a := new(A)
			if err := v.branch.Call(ctx, addr, op, ask, a, callWait); err != nil {
				a = nil
			}
			ch <- a
		}()
	}
	for range electors {
		a := <-ch
		if a == nil {
			continue
		}
		all = append(all, *a)
		if ok(*a) {
			good = append(good, *a)
		}
		if 2*len(good) > len(electors) {
			return good, all
		}
	}
	return nil, all
}

func (v *Vault) renew(ctx context.Context) {
	v.mu.Lock()
	view, start := v.seen, v.k.Clock.Now()
	v.renewAt = start + v.lease/3
	v.mu.Unlock()
	// The other archives hear of the lease too, to know whom to send callers to.
	for _, addr := range v.cfg.Archives() {
		if !slices.Contains(v.electorAddrs(), addr) && addr != v.self.Addr && addr != view.Backup.Addr {
			go v.branch.Call(ctx, addr, "vault.renew", renewAsk{view}, nil, callWait)
		}
	}
	go v.watchBackup(ctx, view)
	good, all := poll(ctx, v, "vault.renew", renewAsk{view}, func(a renewAnswer) bool { return a.Granted })
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.active || v.seen.Epoch != view.Epoch {
		return
	}
	if good != nil {
		v.leaseEnd = max(v.leaseEnd, start+v.lease)
		v.seenTill = v.leaseEnd
		return
	}
	v.k.Counters.Add("vault.renew_failed", 1)
	v.renewAt = min(v.renewAt, v.k.Clock.Now()+50*foundation.Millisecond)
	for _, a := range all {
		if a.Promised > view.Epoch {
			v.leaseEnd = 0
		}
	}
}

// watchBackup replaces a backup that answers nothing before a write needs it.
func (v *Vault) watchBackup(ctx context.Context, view View) {
	err := v.branch.Call(ctx, view.Backup.Addr, "vault.renew", renewAsk{view}, nil, callWait)
	v.mu.Lock()
	defer v.mu.Unlock()
	if err == nil {
		v.misses = 0
		return
	}
	if v.misses++; v.misses >= 2 && v.active && v.seen == view {
		v.shunned = view.Backup.Addr
		v.poke()
	}
}

// stand tries to become primary of a new epoch, or to replace the backup.
func (v *Vault) stand(ctx context.Context) {
	if v.writing.Enter(ctx) != nil {
		return
	}
	defer v.writing.Leave()
	if err := v.tryStand(ctx); err != nil {
		v.k.Counters.Add("vault.stood_in_vain", 1)
		v.mu.Lock()
		v.standAt = v.k.Clock.Now() + v.lease/12 + rand.N(v.lease/6)
		v.mu.Unlock()
	}
}

func (v *Vault) tryStand(ctx context.Context) error {
	v.mu.Lock()
	epoch := max(v.elector.reg.Promised, v.seen.Epoch, v.state.Epoch, v.tried) + 1
	known, wasActive := v.seen, v.active
	v.mu.Unlock()

	good, all := poll(ctx, v, "vault.promise", promiseAsk{epoch, v.self}, func(a promiseAnswer) bool { return a.Granted })
	highest := known
	for _, a := range all {
		if a.Accepted.Epoch > highest.Epoch {
			highest = a.Accepted
		}
	}
	v.mu.Lock()
	v.observe(highest)
	v.tried = epoch
	for _, a := range all {
		v.tried = max(v.tried, a.Promised)
		if a.Wait > 0 {
			v.seenTill = max(v.seenTill, v.k.Clock.Now()+a.Wait)
		}
	}
	if good == nil {
		v.mu.Unlock()
		return errors.New("no majority promised")
	}
	if highest.Epoch > 0 && !highest.Has(v.self) {
		v.mu.Unlock()
		return errors.New("not a member of the highest view")
	}
	if v.leaving || wasActive && !v.active {
		v.mu.Unlock()
		return errors.New("leaving")
	}
	state := v.state
	state.Epoch = epoch
	v.state.Epoch = epoch // writes of older epochs are refused from here on
	v.mu.Unlock()

	if err := v.store.Save("state", state); err != nil {
		return err
	}
	backup, err := v.copyToBackup(ctx, state, highest)
	if err != nil {
		return err
	}
	view := View{epoch, v.self, backup}
	start := v.k.Clock.Now()
	accepted, _ := poll(ctx, v, "vault.accept", view, func(a renewAnswer) bool { return a.Granted })
	if accepted == nil {
		return errors.New("no majority accepted")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving {
		return errors.New("leaving")
	}
	if !v.active {
		v.term, v.endTerm = context.WithCancel(context.Background())
	}
	v.active, v.state, v.seen, v.shunned, v.misses = true, state, view, "", 0
	v.leaseEnd = start + v.lease
	v.seenTill, v.renewAt = v.leaseEnd, start+v.lease/3
	v.k.Counters.Add("vault.epochs", 1)
	v.k.Log.Info("primary", "epoch", epoch, "backup", backup.Name)
	v.changed.Ring()
	return nil
}

// copyToBackup hands the whole state to the first archive that takes it; the
// other member of the last view comes first, one that just failed last.
func (v *Vault) copyToBackup(ctx context.Context, state State, last View) (Member, error) {
	v.mu.Lock()
	shunned := v.shunned
	v.mu.Unlock()
	var order []string
	add := func(addr string) {
		if addr != "" && addr != v.self.Addr && !slices.Contains(order, addr) {
			order = append(order, addr)
		}
	}
	alive := v.cfg.Archives()
	if last.Primary.same(v.self) && last.Backup.Addr != shunned && slices.Contains(alive, last.Backup.Addr) {
		add(last.Backup.Addr)
	}
	for _, addr := range slices.Concat(alive, v.electorAddrs()) {
		if addr != shunned && addr != last.Primary.Addr {
			add(addr)
		}
	}
	add(last.Primary.Addr) // whose lease ran out: it hardly answers
	add(shunned)
	for _, addr := range order {
		var a copyAnswer
		err := v.branch.Call(ctx, addr, "vault.copy", state, &a, 2*callWait)
		if err == nil && a.Member.Disk != "" && a.Member.Addr != v.self.Addr {
			return a.Member, nil
		}
	}
	return Member{}, errors.New("no archive took the copy")
}

func (v *Vault) observe(view View) {
	if view.Epoch > v.seen.Epoch {
		if v.active {
			v.leaseEnd = 0
		}
		v.seen = view
		v.changed.Ring()
	}
}

func (v *Vault) onPromise(_ context.Context, q promiseAsk) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	a, err := v.elector.promise(v.k.Clock.Now(), q)
	v.k.Recorder.Add(VoteKind, Vote{"promise", q.Epoch, q.From.Name, a.Granted})
	return a, err
}

func (v *Vault) onAccept(_ context.Context, view View) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	a, err := v.elector.accept(now, view)
	v.k.Recorder.Add(VoteKind, Vote{"accept", view.Epoch, view.Primary.Name, a.Granted})
	if a.Granted {
		v.hear(now, view)
	}
	return a, err
}

func (v *Vault) onRenew(_ context.Context, q renewAsk) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	a, err := v.elector.renew(now, q.View)
	if err != nil {
		return nil, err
	}
	if q.View.Epoch < v.seen.Epoch {
		v.k.Counters.Add("vault.old_epoch_refused", 1)
		return a, nil
	}
	v.hear(now, q.View)
	return a, nil
}

// hear notes that the view's primary is at work.
func (v *Vault) hear(now foundation.Micros, view View) {
	v.observe(view)
	if view.Epoch == v.seen.Epoch && !v.active {
		v.seenTill = now + v.lease
		if view.Primary.same(v.self) {
			// Of the view's two members the backup stands first.
			v.seenTill += v.lease / 4
		}
	}
}

type epochAsk struct {
	Epoch int64 `json:"epoch"`
}

func (v *Vault) onRelease(_ context.Context, q epochAsk) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.elector.release(q.Epoch)
	return struct{}{}, nil
}

func (v *Vault) onRegister(context.Context, struct{}) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return registerAnswer{v.elector.reg, v.elector.abstains, v.electors}, nil
}

func (v *Vault) onCopy(_ context.Context, s State) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.leaving {
		return nil, errors.New("leaving")
	}
	if s.Epoch <= v.state.Epoch && v.state.Epoch > 0 || v.leads(v.k.Clock.Now()) {
		v.k.Counters.Add("vault.old_epoch_refused", 1)
		return nil, errors.New("old epoch")
	}
	if err := v.store.Save("state", s); err != nil {
		return nil, err
	}
	v.state = s
	return copyAnswer{v.self}, nil
}

func (v *Vault) onWrite(_ context.Context, q writeAsk) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if q.Epoch != v.state.Epoch || q.Seq != v.state.Seq+1 || v.active {
		v.k.Counters.Add("vault.old_epoch_refused", 1)
		return nil, errors.New("not the next write of this epoch")
	}
	next := v.state.with(q.Changes)
	if err := v.store.Save("state", next); err != nil {
		return nil, err
	}
	v.state = next
	return struct{}{}, nil
}

// onSucceed: the primary leaves in order and has given up its lease.
func (v *Vault) onSucceed(_ context.Context, q epochAsk) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if q.Epoch == v.seen.Epoch {
		v.seenTill, v.standAt = 0, 0
		v.poke()
	}
	return struct{}{}, nil
}

func (v *Vault) onLeaving(_ context.Context, m Member) (any, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.active && m.same(v.seen.Backup) {
		v.shunned = m.Addr
		v.poke()
	}
	return struct{}{}, nil
}

// Leave hands over in order: as primary to the backup, as backup by asking to
// be replaced.
func (v *Vault) Leave(ctx context.Context) {
	v.mu.Lock()
	v.leaving = true
	view, active := v.seen, v.active
	v.mu.Unlock()
	if !active {
		if view.Backup.same(v.self) {
			v.branch.Call(ctx, view.Primary.Addr, "vault.leaving", v.self, nil, callWait)
			v.awaitOther(ctx, view.Epoch)
		}
		return
	}
	if v.writing.Enter(ctx) != nil {
		return
	}
	defer v.writing.Leave()
	v.resign("leaving")
	poll(ctx, v, "vault.release", epochAsk{view.Epoch}, func(struct{}) bool { return true })
	v.branch.Call(ctx, view.Backup.Addr, "vault.succeed", epochAsk{view.Epoch}, nil, callWait)
	v.awaitOther(ctx, view.Epoch)
}

// awaitOther waits, within bounds, until a later view is known.
func (v *Vault) awaitOther(ctx context.Context, epoch int64) {
	for end := v.k.Clock.Now() + v.lease; v.k.Clock.Now() < end; {
		if view, _ := v.Primary(); view.Epoch > epoch || !foundation.Sleep(ctx, 20*foundation.Millisecond) {
			return
		}
	}
}

// findElectors learns who the electors are, for an archive that has no disk
// to tell it.
func (v *Vault) findElectors(ctx context.Context) {
	for len(v.electorAddrs()) == 0 && ctx.Err() == nil {
		for _, addr := range slices.Concat(v.cfg.Archives(), v.cfg.Seeds) {
			var r registerAnswer
			if addr == v.self.Addr || v.branch.Call(ctx, addr, "vault.register", struct{}{}, &r, callWait) != nil || len(r.Electors) == 0 {
				continue
			}
			v.mu.Lock()
			err := v.learnElectors(r.Electors)
			v.mu.Unlock()
			if err == nil {
				return
			}
		}
		foundation.Sleep(ctx, 300*foundation.Millisecond)
	}
}

// Close closes the store.
func (v *Vault) Close() error { return v.store.Close() }
