package controlstate

import (
	"context"
	"errors"
	"time"

	"indigowalk/internal/kernel"
)

// writeStateToDisk runs a write of the state to the disk; these writes run one at a time. A stalled
// disk blocks only this write and no other work of the control node.
func (v *Replica) writeStateToDisk(ctx context.Context, write func() error) error {
	if err := v.stateGate.Acquire(ctx); err != nil {
		return err
	}
	defer v.stateGate.Release()
	return v.recordDiskResult(write())
}

// recordDiskResult counts failed disk writes, logs when they begin and end, and returns err.
func (v *Replica) recordDiskResult(err error) error {
	if err != nil && !errors.Is(err, errStaleEpoch) {
		v.k.Counters.Add("controlstate.disk_refused", 1)
		if !v.diskFailing.Swap(true) {
			v.k.Log.Warn("disk writes fail", "error", err)
		}
	} else if v.diskFailing.Swap(false) {
		v.k.Log.Info("disk writes succeed again")
	}
	return err
}

// diskTimeout is how long the disk may take for a small write before it counts as
// stalled. A false timeout causes a needless handover to another primary.
const diskTimeout = 400 * kernel.Millisecond

// probeKey is the key of the record that is written to check that the disk responds.
const probeKey = "alive"

// probeDisk writes a small record once per lease duration, so that a disk that stalls or
// fails is detected before a change needs it: a primary then hands over, and a backup is
// replaced.
func (v *Replica) probeDisk(ctx context.Context) {
	for n := 0; kernel.Sleep(ctx, v.lease); n++ {
		done := make(chan error, 1)
		go func() { done <- v.recordDiskResult(v.store.Save(probeKey, n)) }()
		t := time.NewTimer(diskTimeout.Duration())
		var err error
		select {
		case err = <-done:
			t.Stop()
		case <-t.C:
			v.setDiskStalled(errStalled)
			err = <-done
		}
		v.setDiskStalled(err)
	}
}

var errStalled = errors.New("does not answer")

// setDiskStalled records whether the disk is usable: err is nil if it is. A primary whose
// disk becomes unusable hands over.
func (v *Replica) setDiskStalled(err error) {
	if v.diskStalled.Swap(err != nil) == (err != nil) {
		return
	}
	if err == nil {
		v.k.Log.Info("disk is usable again")
		return
	}
	v.k.Counters.Add("controlstate.disk_stalled", 1)
	v.k.Log.Warn("disk is stalled or fails", "why", err.Error())
	if _, isPrimary := v.Primary(); isPrimary {
		v.handOver("local disk is stalled or fails")
	}
}

// saveRegister writes the witness's current register to disk; a vote counts only after
// that.
func (v *Replica) saveRegister(ctx context.Context) error {
	if err := v.registerGate.Acquire(ctx); err != nil {
		return err
	}
	defer v.registerGate.Release()
	v.mu.Lock()
	reg := v.witness.reg
	v.mu.Unlock()
	return v.recordDiskResult(v.store.Save(registerKey, reg))
}
