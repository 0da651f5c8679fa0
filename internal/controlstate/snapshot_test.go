package controlstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"log/slog"
	"maps"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// newReceiver is a control state that only takes copies.
func newReceiver(t *testing.T) *Replica {
	return &Replica{
		k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), store: open(t, t.TempDir()),
		self: Member{"a", "a:1", "disk-a"}, stating: kernel.NewGate(), intake: intake{gate: kernel.NewGate()},
	}
}

// splitChunks cuts a snapshot as a sender does.
func splitChunks(id snapshotID, data []byte) (out []chunk) {
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		out = append(out, chunk{id, i, count, crc32.ChecksumIEEE(part), part})
	}
	return out
}

func largeState(epoch, seq int64) State {
	entries := map[string]json.RawMessage{"one": json.RawMessage(`"` + strings.Repeat("x", 3*chunkBytes) + `"`)}
	for i := range 50 {
		entries[fmt.Sprint("key ", i)] = json.RawMessage(fmt.Sprint(100*i + int(seq)))
	}
	return State{Epoch: epoch, Seq: seq, Entries: entries}
}

// A snapshot is taken only if all of it arrives, in order, unharmed and for an
// epoch above the receiver's own; whatever else arrives is refused and counted.
func TestSnapshotIsTakenWholeOrNotAtAll(t *testing.T) {
	v := newReceiver(t)
	send := func(c chunk) (copyResponse, error) {
		a, err := v.onCopy(context.Background(), c)
		if err != nil {
			return copyResponse{}, err
		}
		return a.(copyResponse), nil
	}
	state := largeState(5, 40)
	s := newSnapshot(state)
	id := snapshotID{Epoch: 5, Seq: 40, Digest: s.digest}
	all := splitChunks(id, s.encoded)
	with := func(c chunk, f func(*chunk)) chunk { f(&c); return c }
	older := splitChunks(snapshotID{Epoch: 5, Seq: 39, Digest: "older"}, s.encoded)
	newer := newSnapshot(largeState(6, 41))
	again := splitChunks(snapshotID{Epoch: 6, Seq: 41, Digest: newer.digest}, newer.encoded)
	last := len(all) - 1
	for i, step := range []struct {
		what string
		c    chunk
		next int
		err  error
	}{
		{"a chunk of an unknown transfer", all[1], 0, errTransfer},
		{"the first", all[0], 1, nil},
		{"the first again", all[0], 1, nil},
		{"one left out", all[2], 0, errTransfer},
		{"a flipped bit", with(all[1], func(c *chunk) { c.Checksum++ }), 0, errChunk},
		{"beyond the last", with(all[1], func(c *chunk) { c.Index = c.Count }), 0, errChunk},
		{"one of another epoch", with(all[1], func(c *chunk) { c.Epoch = 4 }), 0, errTransfer},
		{"another number of chunks", with(all[1], func(c *chunk) { c.Count++ }), 0, errTransfer},
		{"the first of an older transfer", older[0], 0, errTransfer},
		{"the second", all[1], 2, nil},
		{"the first of a newer transfer", again[0], 1, nil},
		{"the third of the one that it replaced", all[2], 0, errTransfer},
		{"the one that it replaced, from the first", all[0], 0, errTransfer},
	} {
		if a, err := send(step.c); !errors.Is(err, step.err) || a.Next != step.next || a.Member.Disk != "" {
			t.Errorf("step %d, %s: %+v %v", i, step.what, a, err)
		}
	}
	if n := v.k.Counters.Snapshot()["controlstate.chunk_refused"]; n != 9 {
		t.Errorf("%d refusals are counted", n)
	}
	if v.state.Seq != 0 {
		t.Error("an unfinished snapshot is in place")
	}
	for i, c := range again[1:] {
		a, err := send(c)
		if err != nil || a.Next != i+2 || (a.Member.Disk != "") != (i+1 == last) {
			t.Errorf("chunk %d: %+v %v", i+1, a, err)
		}
	}
	if a, err := send(again[last]); err != nil || a.Member != v.self {
		t.Errorf("the last again: %+v %v", a, err)
	}
	if _, err := send(all[0]); !errors.Is(err, errOldEpoch) {
		t.Errorf("a snapshot of an older epoch: %v", err)
	}
	if have, err := v.store.LoadState(); err != nil || have.Epoch != 6 || !maps.EqualFunc(have.Entries, largeState(6, 41).Entries, equalJSON) || !maps.EqualFunc(v.state.Entries, have.Entries, equalJSON) {
		t.Errorf("in place and on disk: epoch %d seq %d, %v", have.Epoch, have.Seq, err)
	}
	bad := newSnapshot(largeState(7, 50))
	for i, c := range splitChunks(snapshotID{Epoch: 7, Seq: 50, Digest: "another"}, bad.encoded) {
		if _, err := send(c); (i == last) != errors.Is(err, errDigestMismatch) || v.state.Epoch != 6 {
			t.Errorf("chunk %d of a snapshot with another digest: %v", i, err)
		}
	}
}

// What a control node lacks is told apart from what it has even if its last change
// was acknowledged by nobody; if that can't be known, the digest tells.
func TestDifferenceMakesTheSendersState(t *testing.T) {
	for _, c := range []struct {
		what  string
		lost  map[string]json.RawMessage // the receiver's last change, which the sender never saw
		knows bool                       // the receiver knows what that was
		fits  bool
	}{
		{"none", nil, true, true},
		{"of an entry that the sender changed too", map[string]json.RawMessage{"key 1": json.RawMessage(`"lost"`)}, false, true},
		{"of another", map[string]json.RawMessage{"key 7": json.RawMessage(`"lost"`), "new": json.RawMessage(`1`), "key 8": nil}, true, true},
		{"of another, not known", map[string]json.RawMessage{"key 7": json.RawMessage(`"lost"`)}, false, false},
	} {
		v := newReceiver(t)
		common := largeState(5, 40).WithoutRevisions()
		v.state = common
		if c.lost != nil {
			if v.state = common.With(c.lost); !c.knows {
				v.state = v.state.WithoutRevisions()
			}
		}
		mine := common
		for i := range 3 {
			mine = mine.With(map[string]json.RawMessage{fmt.Sprint("key ", i): json.RawMessage(`"mine"`), fmt.Sprint("key ", 10+i): nil})
		}
		mine.Epoch = 6
		s := newSnapshot(mine)
		id := snapshotID{Epoch: 6, Seq: mine.Seq, Digest: s.digest}
		o, err := v.onOffer(context.Background(), id)
		if err != nil {
			t.Fatal(err)
		}
		have := o.(offerResponse)
		id.Since = have.Seq
		less := s.difference(have)
		if len(less) > 300 {
			t.Errorf("%s: %d bytes are sent", c.what, len(less))
		}
		a, err := v.onCopy(context.Background(), splitChunks(id, less)[0])
		if c.fits && (err != nil || a.(copyResponse).Member != v.self || !maps.EqualFunc(v.state.Entries, mine.Entries, equalJSON)) {
			t.Errorf("%s: %+v %v", c.what, a, err)
		}
		if !c.fits && (!errors.Is(err, errDigestMismatch) || v.state.Epoch != 5) {
			t.Errorf("%s: %+v %v", c.what, a, err)
		}
	}
}
