package controlstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

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
	v.commitBatch(ctx, batch)
	return <-u.done
}

// commitBatch writes a batch, a second time if a backup had to be replaced.
func (v *Replica) commitBatch(ctx context.Context, batch []*update) {
	own := make([]error, len(batch))
	err := v.writeBatch(ctx, batch, own)
	if errors.Is(err, errBackupsFailed) && v.staged() && v.tryStand(ctx) == nil {
		err = v.writeBatch(ctx, batch, own)
	}
	for i, u := range batch {
		if err != nil {
			own[i] = err
		}
		u.done <- own[i]
	}
}

// errBackupsFailed says that the view's backups do not keep a write, or not enough of
// them.
var errBackupsFailed = fmt.Errorf("%w: too few backups take it", ErrUnavailable)

// writeBatch writes a batch of changes in one step; own is what became of each.
func (v *Replica) writeBatch(ctx context.Context, batch []*update, own []error) error {
	old, view, err := v.checkWritable()
	if err != nil {
		return err
	}
	next, changes := old.applyBatch(batch, own, view.Epoch)
	if len(changes) == 0 {
		return nil
	}
	local := make(chan error, 1)
	c := Change{view.Epoch, next.Seq, changes}
	go func() { local <- v.onDisk(ctx, func() error { return v.store.Append(c) }) }()
	taken := v.replicateToBackups(ctx, view, c)
	if err := awaitLocalWrite(local); err != nil {
		v.k.Counters.Add("controlstate.save_failed", 1)
		go v.handOver("own disk fails")
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.leads(v.k.Clock.Now()) || v.seen.Epoch != view.Epoch:
		return ErrNotPrimary
	case !taken:
		return errBackupsFailed
	}
	v.state = next
	v.changed.Ring()
	return nil
}

// checkWritable returns the state on which a change may build now, and the view in which.
func (v *Replica) checkWritable() (State, View, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	switch {
	case !v.leads(now):
		return State{}, View{}, ErrNotPrimary
	case v.state.Epoch != v.seen.Epoch:
		// It stood for another epoch in vain: what is on disk belongs to that.
		return State{}, View{}, errBackupsFailed
	case !v.members.enoughBackups(v.seen, now):
		return State{}, View{}, errBackupsFailed
	case !v.members.largeEnough(v.seen, now):
		v.k.Counters.Add("controlstate.too_few_witnesses", 1)
		return State{}, View{}, fmt.Errorf("%w: the witnesses can't bear the losses yet", ErrUnavailable)
	}
	if n := len(v.seen.Witnesses); n < 2*v.cfg.Losses && !v.small {
		v.small = true
		v.k.Log.Warn("fewer control nodes than the losses to be borne ask for", "witnesses", n, "tolerate", v.cfg.Losses)
	}
	return v.state, v.seen, nil
}

// applyBatch is the state applyBatch a batch of changes, of which some may refuse, and what
// differs then.
func (s State) applyBatch(batch []*update, own []error, epoch int64) (next State, changes map[string]json.RawMessage) {
	next = State{Epoch: epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries)}
	if next.Entries == nil {
		next.Entries = map[string]json.RawMessage{}
	}
	changes = map[string]json.RawMessage{}
	for i, u := range batch {
		var c map[string]json.RawMessage
		if c, own[i] = u.change(next.Entries); own[i] == nil {
			applyChanges(next.Entries, c)
			maps.Copy(changes, c)
		}
	}
	next.revisions = s.revisions.withChange(keysOf(changes), next.Seq)
	return next, changes
}

// awaitLocalWrite waits for the own disk, as long as that may take.
func awaitLocalWrite(local <-chan error) error {
	t := time.NewTimer(diskTimeout.Duration())
	defer t.Stop()
	select {
	case err := <-local:
		return err
	case <-t.C:
		return errStalled
	}
}

// replicateToBackups hands a change to all backups; those that do not take it are
// shunned.
func (v *Replica) replicateToBackups(ctx context.Context, view View, c Change) bool {
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
