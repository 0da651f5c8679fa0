package controlstate

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"hash/crc32"
	"maps"
	"slices"
	"strconv"

	"indigowalk/internal/kernel"
)

// A whole state travels as a snapshot: its entries, or those in which it
// differs from the state that the receiver has, encoded once and cut into
// chunks. Both ends know the digest of all entries, so whatever the receiver
// puts together is the sender's state or is not taken.
const (
	// chunkBytes bounds a chunk; a state of that size takes one call. A chunk
	// passes a link of 2 Mbit/s within chunkWait.
	chunkBytes   = 64 << 10
	chunkTimeout = 900 * kernel.Millisecond
	// chunkAttempts is how many calls in a row may go wrong.
	chunkAttempts = 3
	// stageThreshold is how much may be copied while a view is being formed: the
	// witnesses have promised the next epoch, and the lease of the one before
	// can't be renewed. What is larger is staged before.
	stageThreshold = 1 << 20
	// minDiskRate is what a disk writes in a microsecond at least, in bytes.
	minDiskRate = 10
	// transferIdleTimeout is when an unfinished transfer that nobody goes on with gives
	// way to any other.
	transferIdleTimeout = kernel.Second
)

// encodeEntries writes entries in the order of their keys: the sizes of key and
// value, and both. A value of size -1 is an entry that is no more.
func encodeEntries(entries map[string]json.RawMessage) []byte {
	size := 0
	for key, raw := range entries {
		size += len(key) + len(raw) + 16
	}
	out := make([]byte, 0, size)
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		raw := entries[key]
		n := len(raw)
		if raw == nil {
			n = -1
		}
		out = append(strconv.AppendInt(out, int64(len(key)), 10), ' ')
		out = append(strconv.AppendInt(out, int64(n), 10), '\n')
		out = append(append(out, key...), raw...)
	}
	return out
}

var errEncoding = errors.New("unreadable snapshot")

func decodeEntries(raw []byte) (map[string]json.RawMessage, error) {
	entries := map[string]json.RawMessage{}
	for len(raw) > 0 {
		head, rest, _ := bytes.Cut(raw, []byte("\n"))
		key, value, _ := bytes.Cut(head, []byte(" "))
		k, err := strconv.Atoi(string(key))
		n, verr := strconv.Atoi(string(value))
		if err != nil || verr != nil || k < 0 || n < -1 || k > len(rest) || n > len(rest)-k {
			return nil, errEncoding
		}
		entries[string(rest[:k])] = nil
		if n >= 0 {
			value := bytes.Clone(rest[k : k+n])
			if !json.Valid(value) {
				return nil, errEncoding
			}
			entries[string(rest[:k])] = value
		}
		raw = rest[k+max(0, n):]
	}
	return entries, nil
}

func digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

// entriesSize is about what the entries are when encoded.
func entriesSize(entries map[string]json.RawMessage) (size int) {
	for key, raw := range entries {
		size += len(key) + len(raw)
	}
	return size
}

// snapshotID names a snapshot by whom it is for and by what it holds, so that
// chunks of two never mix.
type snapshotID struct {
	Epoch  int64  `json:"epoch"` // the state will be that of this epoch
	Seq    int64  `json:"seq"`
	Digest string `json:"sum"`             // digest of all entries
	Since  int64  `json:"since,omitempty"` // sequence of the state that it is a difference from; a whole one if 0
	Stage  bool   `json:"stage,omitempty"` // it is only to be kept for a copy that follows
}

// chunk is one part of a snapshot.
type chunk struct {
	snapshotID
	Index    int    `json:"index"`
	Count    int    `json:"count"` // of chunks
	Checksum uint32 `json:"check"` // CRC-32 of the data
	Data     []byte `json:"data"`
}

type copyResponse struct {
	Member Member `json:"member"` // once the state is on this disk
	Next   int    `json:"next"`   // the chunk that is to come; their number, if none is
}

// offerResponse is what a control node has to which a snapshot is offered.
type offerResponse struct {
	Epoch       int64    `json:"epoch"` // that its own state is of
	Seq         int64    `json:"seq"`   // of the state that a difference may build on
	Sum         string   `json:"sum"`
	LastChanged []string `json:"last,omitempty"` // entries that its last change touched: nobody may have acknowledged it
	Next        int      `json:"next"`           // of the snapshot's chunks
}

// Errors of the receiving side.
var (
	errChunk          = errors.New("a chunk fails its checksum, or its bounds")
	errTransfer       = errors.New("a chunk of another transfer, or out of order")
	errDigestMismatch = errors.New("the snapshot does not fit the state here, or its checksum")
)

// intake is the receiving side: one snapshot at a time. Whoever holds its gate
// uses it.
type intake struct {
	gate          kernel.Gate
	id            snapshotID
	count         int // of chunks
	next          int // the chunk that is to come
	data          []byte
	lastChunkAt   kernel.Micros // of the last chunk
	lastInstalled snapshotID    // the last that was put in place

	// staged is a state that came whole and was checked, and that no member's
	// word rests on: a copy that follows may be sent as what differs from it.
	staged       State
	stagedDigest string
}

// addChunk adds a chunk to the snapshot and tells whether that is whole now.
func (in *intake) addChunk(p chunk, now kernel.Micros) (whole bool, err error) {
	if p.Count < 1 || p.Index < 0 || p.Index >= p.Count || len(p.Data) > chunkBytes || crc32.ChecksumIEEE(p.Data) != p.Checksum {
		return false, errChunk
	}
	if in.id != p.snapshotID || in.count != p.Count {
		unfinished := in.next < in.count && now-in.lastChunkAt < transferIdleTimeout
		newer := p.Epoch > in.id.Epoch || p.Epoch == in.id.Epoch && (p.Seq > in.id.Seq || in.id.Stage && !p.Stage)
		if p.Index != 0 || unfinished && !newer {
			return false, errTransfer
		}
		in.id, in.count, in.next, in.data = p.snapshotID, p.Count, 0, nil
	}
	in.lastChunkAt = now
	switch {
	case p.Index > in.next:
		return false, errTransfer
	case p.Index == in.next:
		in.data = append(in.data, p.Data...)
		in.next++
	}
	return in.next == in.count, nil
}

func (in *intake) reset() { in.id, in.count, in.next, in.data = snapshotID{}, 0, 0, nil }

// assemble puts the state together, from the chunks and one of those that it may
// be a difference from.
func (in *intake) assemble(own State) (map[string]json.RawMessage, error) {
	parts, err := decodeEntries(in.data)
	if err != nil {
		return nil, err
	}
	if in.id.Since == 0 {
		if digest(in.data) != in.id.Digest {
			return nil, errDigestMismatch
		}
		return parts, nil
	}
	for _, base := range []State{in.staged, own} {
		if base.Seq != in.id.Since {
			continue
		}
		entries := maps.Clone(base.Entries)
		if entries == nil {
			entries = map[string]json.RawMessage{}
		}
		applyChanges(entries, parts)
		if digest(encodeEntries(entries)) == in.id.Digest {
			return entries, nil
		}
	}
	return nil, errDigestMismatch
}

// onOffer tells a sender what this control node lacks of a snapshot.
func (v *Replica) onOffer(ctx context.Context, id snapshotID) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	in := &v.intake
	if err := in.gate.Enter(ctx); err != nil {
		return nil, err
	}
	defer in.gate.Leave()
	v.mu.Lock()
	own := v.state
	v.mu.Unlock()
	a := offerResponse{Epoch: own.Epoch}
	if in.id == id {
		a.Next = in.next
	}
	if in.staged.Epoch > own.Epoch {
		a.Seq, a.Sum = in.staged.Seq, in.stagedDigest
	} else {
		a.Seq, a.Sum, a.LastChanged = own.Seq, digest(encodeEntries(own.Entries)), own.Since(own.Seq-1)
	}
	return a, nil
}

// onCopy takes a chunk of a state from a candidate, or from a primary that needs
// another backup. The state is put in place, and this control node's word given, only
// when all of it is there and on disk; one of an epoch that is not above this
// control node's own is refused.
func (v *Replica) onCopy(ctx context.Context, p chunk) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callWait.Duration())
	defer cancel()
	in := &v.intake
	if err := in.gate.Enter(ctx); err != nil {
		return nil, err
	}
	defer in.gate.Leave()
	v.mu.Lock()
	own := v.state
	v.mu.Unlock()
	if a := (copyResponse{Next: p.Count}); p.snapshotID == in.lastInstalled && p.Stage {
		return a, nil // the answer was lost
	} else if p.snapshotID == in.lastInstalled && own.Epoch == p.Epoch {
		a.Member = v.self
		return a, nil
	}
	if v.rejectsEpoch(p.Epoch) {
		return nil, v.refused(errOldEpoch)
	}
	whole, err := in.addChunk(p, v.k.Clock.Now())
	if err != nil {
		return nil, v.refused(err)
	}
	if !whole {
		return copyResponse{Next: in.next}, nil
	}
	if err := v.installSnapshot(ctx, own); err != nil {
		return nil, v.refused(err)
	}
	a := copyResponse{Next: in.count}
	if !in.id.Stage {
		a.Member = v.self
	}
	in.lastInstalled = in.id
	in.reset()
	return a, nil
}

// rejectsEpoch tells whether a state for that epoch may not replace this control node's.
func (v *Replica) rejectsEpoch(epoch int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return epoch <= v.state.Epoch || v.leads(v.k.Clock.Now()) || v.leaving
}

// installSnapshot does with a whole snapshot what it was sent for.
func (v *Replica) installSnapshot(ctx context.Context, own State) error {
	in := &v.intake
	entries, err := in.assemble(own)
	if err != nil {
		in.reset()
		return err
	}
	s := State{Epoch: in.id.Epoch, Seq: in.id.Seq, Entries: entries}
	if in.id.Stage {
		in.staged, in.stagedDigest = s, in.id.Digest
		return nil
	}
	err = v.onDisk(ctx, func() error {
		if v.rejectsEpoch(s.Epoch) {
			return errOldEpoch
		}
		if err := v.store.SaveState(s); err != nil {
			return err
		}
		v.mu.Lock()
		have := v.state
		v.mu.Unlock()
		return v.replace(s.withHistoryOf(have))
	})
	if err == nil {
		in.staged, in.stagedDigest = State{}, ""
	}
	return err
}

// replace puts a state that is on disk in place, unless this control node has
// meanwhile begun to stand for a later epoch.
func (v *Replica) replace(s State) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Epoch > s.Epoch {
		return errOldEpoch
	}
	v.state = s
	return nil
}

// refused counts what is refused as not fitting.
func (v *Replica) refused(err error) error {
	switch {
	case errors.Is(err, errOldEpoch):
		v.k.Counters.Add("controlstate.old_epoch_refused", 1)
	case errors.Is(err, errChunk), errors.Is(err, errTransfer), errors.Is(err, errEncoding), errors.Is(err, errDigestMismatch):
		v.k.Counters.Add("controlstate.chunk_refused", 1)
	}
	return err
}
