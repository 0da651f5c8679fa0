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

// snapshot is a state on its way to other control nodes.
type snapshot struct {
	state   State // of the epoch that it is for
	encoded []byte
	digest  string
}

func newSnapshot(state State) *snapshot {
	whole := encodeEntries(state.Entries)
	return &snapshot{state, whole, digest(whole)}
}

// difference is what a control node difference that has the state which it says; nil if that
// is not known. The last change there may be one that nobody acknowledged, so
// what it touched is among it.
func (s *snapshot) difference(have offerResponse) []byte {
	if have.Sum == s.digest {
		return []byte{}
	}
	since := have.Seq - 1
	if !s.state.Knows(since) {
		since = have.Seq
	}
	if have.Seq == 0 || !s.state.Knows(since) {
		return nil
	}
	parts := map[string]json.RawMessage{}
	for _, key := range append(s.state.Since(since), have.LastChanged...) {
		parts[key] = s.state.Entries[key]
	}
	return encodeEntries(parts)
}

var errTooLarge = errors.New("too much is to be copied while a view is formed")

// sendSnapshot brings a snapshot to a control node: as a difference from what that has, if
// it has something that is known here, and else whole.
func (v *Replica) sendSnapshot(ctx context.Context, addr string, s *snapshot, stage bool) (Member, error) {
	id := snapshotID{Epoch: s.state.Epoch, Seq: s.state.Seq, Digest: s.digest, Stage: stage}
	if len(s.encoded) <= chunkBytes {
		return v.sendChunks(ctx, addr, id, s.encoded, len(s.encoded))
	}
	var have offerResponse
	if err := v.endpoint.Call(ctx, addr, "controlstate.offer", id, &have, callWait); err != nil {
		return Member{}, err
	}
	if have.Epoch >= id.Epoch {
		v.mu.Lock()
		v.tried = max(v.tried, have.Epoch)
		v.mu.Unlock()
		return Member{}, errOldEpoch
	}
	if less := s.difference(have); less != nil && have.Seq > 0 && len(less) < len(s.encoded)/2 {
		if stage && len(less) <= chunkBytes {
			return Member{}, nil // that little need not be there before
		}
		id.Since = have.Seq
		m, err := v.sendChunks(ctx, addr, id, less, len(s.encoded))
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

// sendChunks sends the chunks one after another. After a call that went wrong
// it asks which chunk is wanted.
func (v *Replica) sendChunks(ctx context.Context, addr string, id snapshotID, data []byte, size int) (Member, error) {
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	for next, failed := 0, 0; ; {
		part := data[next*chunkBytes : min(len(data), (next+1)*chunkBytes)]
		p := chunk{id, next, count, crc32.ChecksumIEEE(part), part}
		wait, start := chunkTimeout, v.k.Clock.Now()
		if count == 1 {
			wait = callWait
		}
		if next == count-1 {
			wait += kernel.Micros(size) / minDiskRate // the state goes to the disk there
		}
		var a copyResponse
		err := v.endpoint.Call(ctx, addr, "controlstate.copy", p, &a, wait)
		v.k.Counters.Add("controlstate.copied_bytes", int64(len(part)))
		switch {
		case errors.As(err, new(*rpc.Refused)):
			return Member{}, err
		case err == nil && (a.Member.Disk != "" || id.Stage && a.Next == count):
			return a.Member, nil
		case err == nil && a.Next == next+1 && a.Next < count:
			next, failed = a.Next, 0
			if id.Stage {
				// Other calls on the link come between.
				kernel.Sleep(ctx, (v.k.Clock.Now()-start)/4)
			}
			continue
		}
		if failed++; failed == chunkAttempts || count == 1 {
			return Member{}, fmt.Errorf("controlstate: chunk %d of %d was not taken: %w", next, count, errors.Join(err, ctx.Err()))
		}
		var have offerResponse
		if v.endpoint.Call(ctx, addr, "controlstate.offer", id, &have, callWait) == nil && have.Next >= 0 && have.Next < count {
			next = have.Next
		}
	}
}

// backupCandidates lists the control nodes that a copy is offered to, in turn; if the
// state was staged, those that have it come first.
func (v *Replica) backupCandidates(last View, answered func(addr string) bool) []string {
	alive := v.cfg.ControlNodes()
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.k.Clock.Now()
	order := v.members.candidates(last, alive, answered, now)
	if now < v.stagedTill {
		rank := func(addr string) int {
			if slices.Contains(v.stagedAt, addr) {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(order, func(a, b string) int { return rank(a) - rank(b) })
	}
	return order
}

// copyToBackups hands the whole state to as many control nodes as may be lost, and
// one at least. Control nodes that do not answer count as lost already: if there are
// too few others, these will do; not so if others answered a moment ago.
func (v *Replica) copyToBackups(ctx context.Context, state State, last View, disks map[string]string) ([]Member, error) {
	got := v.sendToFirst(ctx, newSnapshot(state), v.backupCandidates(last, has(disks)), false)
	backups := make([]Member, 0, len(got))
	for _, r := range got {
		backups = append(backups, r.member)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(backups) == 0 || !v.members.enoughCopies(backupAddrs(View{Backups: backups}), slices.Collect(maps.Keys(disks)), has(disks), v.k.Clock.Now()) {
		v.stagedTill = 0 // what was staged does not do
		return nil, errors.New("too few control nodes took the copy")
	}
	return backups, nil
}

// snapshotRecipient is a control node that took a snapshot.
type snapshotRecipient struct {
	addr   string
	member Member // if it is on its disk
}

// sendToFirst sends a snapshot to the first control nodes that take it, as many as
// there should be backups.
func (v *Replica) sendToFirst(ctx context.Context, s *snapshot, order []string, stage bool) (got []snapshotRecipient) {
	want := v.members.copies()
	for len(order) > 0 && len(got) < want && ctx.Err() == nil {
		n := min(want-len(got), len(order))
		took := make([]*snapshotRecipient, n)
		done := make(chan struct{}, n)
		for i, addr := range order[:n] {
			go func() {
				defer func() { done <- struct{}{} }()
				m, err := v.sendSnapshot(ctx, addr, s, stage)
				if err == nil && (stage || m.Disk != "") {
					took[i] = &snapshotRecipient{addr, m}
				}
				v.recordCopyResult(addr, stage, err)
			}()
		}
		for range n {
			<-done
		}
		for _, r := range took {
			if r != nil {
				got = append(got, *r)
			}
		}
		order = order[n:]
	}
	return got
}

// recordCopyResult has a control node that failed to take a copy come after the others for
// a while.
func (v *Replica) recordCopyResult(addr string, stage bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil && !stage:
		v.members.took(addr)
	case err != nil && !errors.Is(err, errTooLarge):
		v.members.failed(addr, v.k.Clock.Now())
	}
}

// staged tells whether a view can be formed without copying much meanwhile. If
// not, the state is brought to those who shall be backups first: the lease runs
// and is renewed, reads and changes go on, and nobody has promised anything.
func (v *Replica) staged() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return entriesSize(v.state.Entries) <= stageThreshold || v.k.Clock.Now() < v.stagedTill
}

// stageSoon has the state brought there, unless that is under way.
func (v *Replica) stageSoon(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.staging {
		v.staging = true
		go v.stageState(ctx)
	}
}

func (v *Replica) stageState(ctx context.Context) {
	v.mu.Lock()
	state, last := v.state, v.seen
	state.Epoch = v.nextEpoch()
	v.mu.Unlock()
	v.k.Counters.Add("controlstate.staged", 1)
	got := v.sendToFirst(ctx, newSnapshot(state), v.backupCandidates(last, func(string) bool { return false }), true)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.staging, v.stagedAt = false, nil
	if len(got) == 0 {
		v.k.Counters.Add("controlstate.staged_in_vain", 1)
		v.standAt = v.k.Clock.Now() + v.lease/24 + rand.N(v.lease/12)
		return
	}
	for _, r := range got {
		v.stagedAt = append(v.stagedAt, r.addr)
	}
	v.stagedTill = v.k.Clock.Now() + 2*v.lease
	v.poke()
}
