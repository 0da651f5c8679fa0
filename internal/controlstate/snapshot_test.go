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

// newReceiver returns a Replica that only receives snapshots.
func newReceiver(t *testing.T) *Replica {
	return &Replica{
		k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), store: open(t, t.TempDir()),
		self: Member{"a", "a:1", "disk-a"}, stateGate: kernel.NewGate(), receiver: snapshotReceiver{gate: kernel.NewGate()},
	}
}

// splitChunks splits a snapshot into chunks as a sender does.
func splitChunks(id snapshotID, data []byte) (out []chunk) {
	count := max(1, (len(data)+chunkBytes-1)/chunkBytes)
	for i := range count {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		out = append(out, chunk{id, i, count, crc32.ChecksumIEEE(part), part})
	}
	return out
}

// largeState returns a state that takes several chunks.
func largeState(epoch, seq int64) State {
	entries := map[string]json.RawMessage{"one": json.RawMessage(`"` + strings.Repeat("x", 3*chunkBytes) + `"`)}
	for i := range 50 {
		entries[fmt.Sprint("key ", i)] = json.RawMessage(fmt.Sprint(100*i + int(seq)))
	}
	return State{Epoch: epoch, Seq: seq, Entries: entries}
}

// A snapshot is installed only if all its chunks arrive in order and intact, for an epoch
// above that of the receiver's state; anything else is rejected and counted.
func TestSnapshotIsInstalledWholeOrNotAtAll(t *testing.T) {
	v := newReceiver(t)
	send := func(c chunk) (copyResponse, error) {
		response, err := v.onCopy(context.Background(), c)
		if err != nil {
			return copyResponse{}, err
		}
		return response.(copyResponse), nil
	}
	state := largeState(5, 40)
	s := newSnapshot(state)
	id := snapshotID{Epoch: 5, Seq: 40, Digest: s.digest}
	all := splitChunks(id, s.encoded)
	modified := func(c chunk, f func(*chunk)) chunk { f(&c); return c }
	olderChunks := splitChunks(snapshotID{Epoch: 5, Seq: 39, Digest: "older"}, s.encoded)
	newer := newSnapshot(largeState(6, 41))
	newerChunks := splitChunks(snapshotID{Epoch: 6, Seq: 41, Digest: newer.digest}, newer.encoded)
	last := len(all) - 1
	for i, step := range []struct {
		name string
		c    chunk
		next int
		err  error
	}{
		{"a chunk of an unknown transfer", all[1], 0, errTransfer},
		{"the first", all[0], 1, nil},
		{"the first again", all[0], 1, nil},
		{"a skipped chunk", all[2], 0, errTransfer},
		{"a flipped bit", modified(all[1], func(c *chunk) { c.Checksum++ }), 0, errChunk},
		{"an index beyond the last", modified(all[1], func(c *chunk) { c.Index = c.Count }), 0, errChunk},
		{"a chunk of another epoch", modified(all[1], func(c *chunk) { c.Epoch = 4 }), 0, errTransfer},
		{"another number of chunks", modified(all[1], func(c *chunk) { c.Count++ }), 0, errTransfer},
		{"the first of an older transfer", olderChunks[0], 0, errTransfer},
		{"the second", all[1], 2, nil},
		{"the first of a newer transfer", newerChunks[0], 1, nil},
		{"the third of the replaced transfer", all[2], 0, errTransfer},
		{"the first of the replaced transfer", all[0], 0, errTransfer},
	} {
		if response, err := send(step.c); !errors.Is(err, step.err) || response.Next != step.next || response.Member.Disk != "" {
			t.Errorf("step %d, %s: %+v %v", i, step.name, response, err)
		}
	}
	if n := v.k.Counters.Snapshot()["controlstate.chunk_refused"]; n != 9 {
		t.Errorf("%d rejections are counted", n)
	}
	if v.state.Seq != 0 {
		t.Error("an unfinished snapshot is installed")
	}
	for i, c := range newerChunks[1:] {
		response, err := send(c)
		if err != nil || response.Next != i+2 || (response.Member.Disk != "") != (i+1 == last) {
			t.Errorf("chunk %d: %+v %v", i+1, response, err)
		}
	}
	if response, err := send(newerChunks[last]); err != nil || response.Member != v.self {
		t.Errorf("the last again: %+v %v", response, err)
	}
	if _, err := send(all[0]); !errors.Is(err, errStaleEpoch) {
		t.Errorf("a snapshot of an older epoch: %v", err)
	}
	if have, err := v.store.LoadState(); err != nil || have.Epoch != 6 || !maps.EqualFunc(have.Entries, largeState(6, 41).Entries, equalJSON) || !maps.EqualFunc(v.state.Entries, have.Entries, equalJSON) {
		t.Errorf("in memory and on disk: epoch %d seq %d, %v", have.Epoch, have.Seq, err)
	}
	bad := newSnapshot(largeState(7, 50))
	for i, c := range splitChunks(snapshotID{Epoch: 7, Seq: 50, Digest: "another"}, bad.encoded) {
		if _, err := send(c); (i == last) != errors.Is(err, errDigestMismatch) || v.state.Epoch != 6 {
			t.Errorf("chunk %d of a snapshot with another digest: %v", i, err)
		}
	}
}

// A difference yields the sender's state even if the receiver's last change was never
// acknowledged. If the receiver does not know which entries that change modified, the digest
// reveals the mismatch.
func TestDifferenceYieldsSendersState(t *testing.T) {
	for _, c := range []struct {
		name    string
		lost    map[string]json.RawMessage // the receiver's last change, which the sender never saw
		knows   bool                       // the receiver knows which entries it changed
		matches bool                       // the difference yields the sender's state
	}{
		{"none", nil, true, true},
		{"of an entry that the sender changed as well", map[string]json.RawMessage{"key 1": json.RawMessage(`"lost"`)}, false, true},
		{"of another entry", map[string]json.RawMessage{"key 7": json.RawMessage(`"lost"`), "new": json.RawMessage(`1`), "key 8": nil}, true, true},
		{"of another entry, not known", map[string]json.RawMessage{"key 7": json.RawMessage(`"lost"`)}, false, false},
	} {
		v := newReceiver(t)
		common := largeState(5, 40).WithoutRevisions()
		v.state = common
		if c.lost != nil {
			if v.state = common.With(c.lost); !c.knows {
				v.state = v.state.WithoutRevisions()
			}
		}
		sender := common
		for i := range 3 {
			sender = sender.With(map[string]json.RawMessage{fmt.Sprint("key ", i): json.RawMessage(`"mine"`), fmt.Sprint("key ", 10+i): nil})
		}
		sender.Epoch = 6
		s := newSnapshot(sender)
		id := snapshotID{Epoch: 6, Seq: sender.Seq, Digest: s.digest}
		offer, err := v.onOffer(context.Background(), id)
		if err != nil {
			t.Fatal(err)
		}
		have := offer.(offerResponse)
		id.Since = have.Seq
		diff := s.difference(have)
		if len(diff) > 300 {
			t.Errorf("%s: %d bytes are sent", c.name, len(diff))
		}
		response, err := v.onCopy(context.Background(), splitChunks(id, diff)[0])
		if c.matches && (err != nil || response.(copyResponse).Member != v.self || !maps.EqualFunc(v.state.Entries, sender.Entries, equalJSON)) {
			t.Errorf("%s: %+v %v", c.name, response, err)
		}
		if !c.matches && (!errors.Is(err, errDigestMismatch) || v.state.Epoch != 5) {
			t.Errorf("%s: %+v %v", c.name, response, err)
		}
	}
}
