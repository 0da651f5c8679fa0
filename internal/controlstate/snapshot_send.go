package controlstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"math/rand/v2"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// snapshot is a state that is being sent to other control nodes.
type snapshot struct {
	state   State // its Epoch is the one that the receivers will store it under
	encoded []byte
	digest  string
}

func newSnapshot(state State) *snapshot {
	encoded := encodeEntries(state.Entries)
	return &snapshot{state, encoded, digest(encoded)}
}

// difference returns the encoded difference from the state that a control node reports to
// have, or nil if the changes since that state are not known. The last change of that state
// may be unacknowledged, so the entries of that change are always included.
func (s *snapshot) difference(have offerResponse) []byte {
	if have.Digest == s.digest {
		return []byte{}
	}
	since := have.Seq - 1
	if !s.state.KnowsChangesSince(since) {
		since = have.Seq
	}
	if have.Seq == 0 || !s.state.KnowsChangesSince(since) {
		return nil
	}
	differing := map[string]json.RawMessage{}
	for _, key := range append(s.state.ChangedSince(since), have.LastChanged...) {
		differing[key] = s.state.Entries[key]
	}
	return encodeEntries(differing)
}

var errTooLarge = errors.New("state too large to copy while a view is being formed")

// sendSnapshot sends a snapshot to a control node: as a difference from the state that the
// receiver has, if the changes since that state are known here, and as a whole otherwise.
func (v *Replica) sendSnapshot(ctx context.Context, addr string, s *snapshot, stage bool) (Member, error) {
	id := snapshotID{Epoch: s.state.Epoch, Seq: s.state.Seq, Digest: s.digest, Stage: stage}
	if len(s.encoded) <= chunkBytes {
		return v.sendChunks(ctx, addr, id, s.encoded, len(s.encoded))
	}
	var have offerResponse
	if err := v.endpoint.Call(ctx, addr, "controlstate.offer", id, &have, callTimeout); err != nil {
		return Member{}, err
	}
	if have.Epoch >= id.Epoch {
		v.mu.Lock()
		v.highestEpochTried = max(v.highestEpochTried, have.Epoch)
		v.mu.Unlock()
		return Member{}, errStaleEpoch
	}
	if diff := s.difference(have); diff != nil && have.Seq > 0 && len(diff) < len(s.encoded)/2 {
		if stage && len(diff) <= chunkBytes {
			return Member{}, nil // small enough to be sent when the view is formed
		}
		id.Since = have.Seq
		m, err := v.sendChunks(ctx, addr, id, diff, len(s.encoded))
		if err == nil || !errors.As(err, new(*rpc.Refused)) {
			return m, err
		}
		id.Since = 0
	}
	if !stage && len(s.encoded) > stageThreshold {
		return Member{}, errTooLarge
	}
	return v.sendChunks(ctx, addr, id, s.encoded, len(s.encoded))
}

// sendChunks sends the chunks one after another. After a failed call it asks the receiver
// which chunk it expects next.
func (v *Replica) sendChunks(ctx context.Context, addr string, id snapshotID, data []byte, stateSize int) (Member, error) {
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	for next, failed := 0, 0; ; {
		part := data[next*chunkBytes : min(len(data), (next+1)*chunkBytes)]
		c := chunk{id, next, count, crc32.ChecksumIEEE(part), part}
		timeout, start := chunkTimeout, v.k.Clock.Now()
		if count == 1 {
			timeout = callTimeout
		}
		if next == count-1 {
			timeout += kernel.Micros(stateSize) / minDiskRate // the receiver writes the state to its disk
		}
		var response copyResponse
		err := v.endpoint.Call(ctx, addr, "controlstate.copy", c, &response, timeout)
		v.k.Counters.Add("controlstate.copied_bytes", int64(len(part)))
		switch {
		case errors.As(err, new(*rpc.Refused)):
			return Member{}, err
		case err == nil && (response.Member.Disk != "" || id.Stage && response.Next == count):
			return response.Member, nil
		case err == nil && response.Next == next+1 && response.Next < count:
			next, failed = response.Next, 0
			if id.Stage {
				// Leaves room on the link for other calls.
				kernel.Sleep(ctx, (v.k.Clock.Now()-start)/4)
			}
			continue
		}
		if failed++; failed == chunkAttempts || count == 1 {
			return Member{}, fmt.Errorf("controlstate: chunk %d of %d was not accepted: %w", next, count, errors.Join(err, ctx.Err()))
		}
		var have offerResponse
		if v.endpoint.Call(ctx, addr, "controlstate.offer", id, &have, callTimeout) == nil && have.Next >= 0 && have.Next < count {
			next = have.Next
		}
	}
}

// backupCandidates lists the control nodes that a copy is offered to, in order of preference;
// if the state was staged, those that have it come first.
func (v *Replica) backupCandidates(last View, responded func(addr string) bool) []string {
	controlNodes := v.cfg.ControlNodes()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	order := v.policy.backupCandidates(last, controlNodes, responded, now)
	if now < v.stagedUntil {
		rank := func(addr string) int {
			if slices.Contains(v.stagedOn, addr) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	}
	return order
}

// copyToBackups copies the whole state to as many control nodes as there are failures to
// tolerate, and to at least one. Control nodes that do not respond count as failed already, so
// fewer copies suffice if no more nodes are left, but not if more nodes have just promised the
// epoch.
func (v *Replica) copyToBackups(ctx context.Context, state State, last View, disks map[string]string) ([]Member, error) {
	recipients := v.sendToFirst(ctx, newSnapshot(state), v.backupCandidates(last, hasKey(disks)), false)
	backups := make([]Member, 0, len(recipients))
	for _, r := range recipients {
		backups = append(backups, r.member)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(backups) == 0 || !v.policy.enoughCopies(backupAddrs(View{Backups: backups}), slices.Collect(maps.Keys(disks)), hasKey(disks), v.k.Clock.Now()) {
		v.stagedUntil = 0 // the staged copies were not sufficient
		return nil, errors.New("too few control nodes accepted the copy")
	}
	return backups, nil
}

// snapshotRecipient is a control node that accepted a snapshot.
type snapshotRecipient struct {
	addr   string
	member Member // set if the snapshot is on its disk
}

// sendToFirst sends a snapshot to the control nodes in the given order until as many as there
// should be backups have accepted it.
func (v *Replica) sendToFirst(ctx context.Context, s *snapshot, order []string, stage bool) (recipients []snapshotRecipient) {
	want := v.policy.backupCount()
	for len(order) > 0 && len(recipients) < want && ctx.Err() == nil {
		n := min(want-len(recipients), len(order))
		accepted := make([]*snapshotRecipient, n)
		done := make(chan struct{}, n)
		for i, addr := range order[:n] {
			go func() {
				defer func() { done <- struct{}{} }()
				m, err := v.sendSnapshot(ctx, addr, s, stage)
				if err == nil && (stage || m.Disk != "") {
					accepted[i] = &snapshotRecipient{addr, m}
				}
				v.recordCopyResult(addr, stage, err)
			}()
		}
		for range n {
			<-done
		}
		for _, r := range accepted {
			if r != nil {
				recipients = append(recipients, *r)
			}
		}
		order = order[n:]
	}
	return recipients
}

// recordCopyResult records whether a control node accepted a copy. A node that did not is
// ranked after the others for excludeFor.
func (v *Replica) recordCopyResult(addr string, stage bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil && !stage:
		v.policy.copySucceeded(addr)
	case err != nil && !errors.Is(err, errTooLarge):
		v.policy.copyFailed(addr, v.k.Clock.Now())
	}
}

// readyForView reports whether a view can be formed without copying a large state meanwhile. If
// not, the state is first staged on the future backups: while that goes on, the lease is still
// renewed, reads and changes continue, and no witness has promised the next epoch.
func (v *Replica) readyForView() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return entriesSize(v.state.Entries) <= stageThreshold || v.k.Clock.Now() < v.stagedUntil
}

// startStaging starts staging the state in the background, unless that is in progress.
func (v *Replica) startStaging(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.staging {
		v.staging = true
		go v.stageState(ctx)
	}
}

// stageState stages the current state, under the next epoch, on the future backups.
func (v *Replica) stageState(ctx context.Context) {
	v.mu.Lock()
	state, last := v.state, v.newestView
	state.Epoch = v.nextEpoch()
	v.mu.Unlock()
	v.k.Counters.Add("controlstate.staged", 1)
	recipients := v.sendToFirst(ctx, newSnapshot(state), v.backupCandidates(last, func(string) bool { return false }), true)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staging, v.stagedOn = false, nil
	if len(recipients) == 0 {
		v.k.Counters.Add("controlstate.staged_in_vain", 1)
		v.nextCampaignAt = v.k.Clock.Now() + v.lease/24 + rand.N(v.lease/12)
		return
	}
	for _, r := range recipients {
		v.stagedOn = append(v.stagedOn, r.addr)
	}
	v.stagedUntil = v.k.Clock.Now() + 2*v.lease
	v.wakeUp()
}
