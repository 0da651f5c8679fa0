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

// ChangeFunc returns the entries to replace, given the current ones; a nil value deletes an
// entry.
type ChangeFunc func(map[string]json.RawMessage) (map[string]json.RawMessage, error)

// pendingUpdate is a queued change that waits to be written.
type pendingUpdate struct {
	change ChangeFunc
	done   chan error
}

// Update applies a change. It returns nil only once the change is on the disks of the
// primary and all its backups and the lease is still valid. Changes that arrive while
// another one is being written are written together as a batch. After an error that change
// itself did not return, it is unknown whether the change is durable.
func (v *Replica) Update(ctx context.Context, change ChangeFunc) error {
	u := &pendingUpdate{change, make(chan error, 1)}
	v.mu.Lock()
	v.queue = append(v.queue, u)
	v.mu.Unlock()
	if err := v.writeGate.Acquire(ctx); err != nil {
		v.mu.Lock()
		v.queue = slices.DeleteFunc(v.queue, func(other *pendingUpdate) bool { return other == u })
		v.mu.Unlock()
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer v.writeGate.Release()
	select {
	case err := <-u.done:
		return err
	default:
	}
	v.mu.Lock()
	batch := v.queue
	v.queue = nil
	v.mu.Unlock()
	// One caller writes the batch for the others, so it continues even if its own context ends.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), (3 * callTimeout).Duration())
	defer cancel()
	v.commitBatch(ctx, batch)
	return <-u.done
}

// commitBatch writes a batch and reports the result to each update. If a backup fails, it
// replaces the backup and writes the batch once more.
func (v *Replica) commitBatch(ctx context.Context, batch []*pendingUpdate) {
	results := make([]error, len(batch))
	err := v.writeBatch(ctx, batch, results)
	if errors.Is(err, errBackupsFailed) && v.readyForView() && v.tryCampaign(ctx) == nil {
		err = v.writeBatch(ctx, batch, results)
	}
	for i, u := range batch {
		if err != nil {
			results[i] = err
		}
		u.done <- results[i]
	}
}

// errBackupsFailed means that too few of the view's backups stored a write, or that the view
// has too few backups.
var errBackupsFailed = fmt.Errorf("%w: too few backups take it", ErrUnavailable)

// writeBatch writes a batch of updates as one change of the state. It sets results[i] to the
// error of the i-th update's own ChangeFunc.
func (v *Replica) writeBatch(ctx context.Context, batch []*pendingUpdate, results []error) error {
	old, view, err := v.checkWritable()
	if err != nil {
		return err
	}
	next, changes := old.applyBatch(batch, results, view.Epoch)
	if len(changes) == 0 {
		return nil
	}
	localWrite := make(chan error, 1)
	c := Change{view.Epoch, next.Seq, changes}
	go func() { localWrite <- v.writeStateToDisk(ctx, func() error { return v.store.Append(c) }) }()
	replicated := v.replicateToBackups(ctx, view, c)
	if err := awaitLocalWrite(localWrite); err != nil {
		v.k.Counters.Add("controlstate.save_failed", 1)
		go v.handOver("local disk failed")
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case !v.holdsLease(v.k.Clock.Now()) || v.newestView.Epoch != view.Epoch:
		return ErrNotPrimary
	case !replicated:
		return errBackupsFailed
	}
	v.state = next
	v.changed.NotifyAll()
	return nil
}

// checkWritable returns the state that the next change is based on and the current view, or
// an error if no change can be written now.
func (v *Replica) checkWritable() (State, View, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	switch {
	case !v.holdsLease(now):
		return State{}, View{}, ErrNotPrimary
	case v.state.Epoch != v.newestView.Epoch:
		// This control node campaigned for another epoch without success; the state on disk
		// already belongs to that epoch.
		return State{}, View{}, errBackupsFailed
	case !v.policy.enoughBackups(v.newestView, now):
		return State{}, View{}, errBackupsFailed
	case !v.policy.witnessesSuffice(v.newestView, now):
		v.k.Counters.Add("controlstate.too_few_witnesses", 1)
		return State{}, View{}, fmt.Errorf("%w: the witnesses can't bear the losses yet", ErrUnavailable)
	}
	if n := len(v.newestView.Witnesses); n < 2*v.cfg.FailuresTolerated && !v.warnedTooFewWitnesses {
		v.warnedTooFewWitnesses = true
		v.k.Log.Warn("fewer control nodes than needed for the number of failures to tolerate", "witnesses", n, "tolerate", v.cfg.FailuresTolerated)
	}
	return v.state, v.newestView, nil
}

// applyBatch returns the state after a batch of updates, and the entries that differ. An
// update whose ChangeFunc fails is skipped.
func (s State) applyBatch(batch []*pendingUpdate, results []error, epoch int64) (next State, changes map[string]json.RawMessage) {
	next = State{Epoch: epoch, Seq: s.Seq + 1, Entries: maps.Clone(s.Entries)}
	if next.Entries == nil {
		next.Entries = map[string]json.RawMessage{}
	}
	changes = map[string]json.RawMessage{}
	for i, u := range batch {
		var c map[string]json.RawMessage
		if c, results[i] = u.change(next.Entries); results[i] == nil {
			applyChanges(next.Entries, c)
			maps.Copy(changes, c)
		}
	}
	next.revisions = s.revisions.withChange(keysOf(changes), next.Seq)
	return next, changes
}

// awaitLocalWrite waits for the write to the local disk, for diskTimeout at most.
func awaitLocalWrite(localWrite <-chan error) error {
	t := time.NewTimer(diskTimeout.Duration())
	defer t.Stop()
	select {
	case err := <-localWrite:
		return err
	case <-t.C:
		return errStalled
	}
}

// replicateToBackups sends a change to all backups and reports whether all stored it. Those
// that did not are excluded.
func (v *Replica) replicateToBackups(ctx context.Context, view View, c Change) bool {
	addrs := make([]string, 0, len(view.Backups))
	for _, b := range view.Backups {
		addrs = append(addrs, b.Addr)
	}
	acknowledged := callAll(ctx, v, addrs, "controlstate.write", func(string) any { return c }, func(got map[string]struct{}) bool { return len(got) == len(addrs) })
	if len(acknowledged) == len(addrs) {
		return true
	}
	v.k.Counters.Add("controlstate.backup_failed", 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, addr := range addrs {
		if _, ok := acknowledged[addr]; !ok {
			v.excludeBackup(addr)
		}
	}
	return false
}

// excludeBackup excludes a backup for a while, so that it is replaced.
func (v *Replica) excludeBackup(addr string) {
	v.policy.exclude(addr, v.k.Clock.Now())
	v.wakeUp()
}
