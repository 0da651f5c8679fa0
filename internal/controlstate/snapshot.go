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

// A whole state is transferred as a snapshot: all its entries, or only those that differ
// from the state that the receiver has, encoded once and split into chunks. Both ends know
// the digest of all entries, so what the receiver assembles either equals the sender's state
// or is rejected.
const (
	// chunkBytes is the maximum size of a chunk; a state up to that size takes one call. A
	// link of 2 Mbit/s transfers a chunk within chunkTimeout.
	chunkBytes   = 64 << 10
	chunkTimeout = 900 * kernel.Millisecond
	// chunkAttempts is the number of consecutive failed calls after which a transfer is
	// abandoned.
	chunkAttempts = 3
	// stageThreshold is the maximum number of bytes to copy while a view is being formed:
	// the witnesses have then promised the next epoch, so the lease of the previous one
	// can't be renewed. A larger state is staged in advance.
	stageThreshold = 1 << 20
	// minDiskRate is the minimum write rate that is assumed of a disk, in bytes per
	// microsecond.
	minDiskRate = 10
	// transferIdleTimeout is how long after its last chunk an unfinished transfer may be
	// replaced by any other.
	transferIdleTimeout = kernel.Second
)

// encodeEntries encodes entries in the order of their keys, each as the sizes of key and
// value followed by key and value. A value of size -1 marks a deleted entry.
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

var errEncoding = errors.New("malformed snapshot")

// decodeEntries is the inverse of encodeEntries. It rejects values that are not valid JSON.
func decodeEntries(raw []byte) (map[string]json.RawMessage, error) {
	entries := map[string]json.RawMessage{}
	for len(raw) > 0 {
		header, rest, _ := bytes.Cut(raw, []byte("\n"))
		keySize, valueSize, _ := bytes.Cut(header, []byte(" "))
		k, err := strconv.Atoi(string(keySize))
		n, valueErr := strconv.Atoi(string(valueSize))
		if err != nil || valueErr != nil || k < 0 || n < -1 || k > len(rest) || n > len(rest)-k {
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

// digest returns the first 16 bytes of the SHA-256 sum of encoded entries, in hexadecimal.
func digest(encoded []byte) string {
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

// entriesSize returns the approximate encoded size of entries, in bytes.
func entriesSize(entries map[string]json.RawMessage) (size int) {
	for key, raw := range entries {
		size += len(key) + len(raw)
	}
	return size
}

// snapshotID identifies a snapshot by its purpose and its content, so that chunks of
// different snapshots are never mixed.
type snapshotID struct {
	Epoch  int64  `json:"epoch"` // epoch that the state will belong to
	Seq    int64  `json:"seq"`
	Digest string `json:"sum"`             // digest of all entries
	Since  int64  `json:"since,omitempty"` // sequence number of the base state of a difference; 0 for a whole state
	Stage  bool   `json:"stage,omitempty"` // only staged, as the base for a copy that follows
}

// chunk is one part of a snapshot.
type chunk struct {
	snapshotID
	Index    int    `json:"index"`
	Count    int    `json:"count"` // number of chunks
	Checksum uint32 `json:"check"` // CRC-32 of the data
	Data     []byte `json:"data"`
}

// copyResponse is the response to a chunk.
type copyResponse struct {
	Member Member `json:"member"` // set once the state is on the disk of this member
	Next   int    `json:"next"`   // index of the next chunk expected; the number of chunks if complete
}

// offerResponse describes the state of a control node to which a snapshot is offered.
type offerResponse struct {
	Epoch       int64    `json:"epoch"`          // epoch of its current state
	Seq         int64    `json:"seq"`            // sequence number of the state that a difference may be based on
	Digest      string   `json:"sum"`            // digest of that state
	LastChanged []string `json:"last,omitempty"` // keys of the entries in its last change, which may be unacknowledged
	Next        int      `json:"next"`           // index of the next chunk of the offered snapshot
}

// Errors of the receiving side.
var (
	errChunk          = errors.New("chunk with an invalid checksum, index or size")
	errTransfer       = errors.New("chunk of another transfer or out of order")
	errDigestMismatch = errors.New("snapshot does not match its digest or the local base state")
)

// snapshotReceiver receives snapshots, one at a time. Its gate must be held to use it.
type snapshotReceiver struct {
	gate          kernel.Gate
	id            snapshotID
	count         int // number of chunks
	next          int // index of the next chunk expected
	data          []byte
	lastChunkAt   kernel.Micros // when the last chunk arrived
	lastInstalled snapshotID    // the last snapshot that was installed or staged

	// staged is a state that arrived complete and was verified, but was not acknowledged
	// as stored: a copy that follows may be sent as the difference from it.
	staged       State
	stagedDigest string
}

// addChunk adds a chunk to the snapshot and reports whether the snapshot is complete.
func (in *snapshotReceiver) addChunk(c chunk, now kernel.Micros) (complete bool, err error) {
	if c.Count < 1 || c.Index < 0 || c.Index >= c.Count || len(c.Data) > chunkBytes || crc32.ChecksumIEEE(c.Data) != c.Checksum {
		return false, errChunk
	}
	if in.id != c.snapshotID || in.count != c.Count {
		unfinished := in.next < in.count && now-in.lastChunkAt < transferIdleTimeout
		newer := c.Epoch > in.id.Epoch || c.Epoch == in.id.Epoch && (c.Seq > in.id.Seq || in.id.Stage && !c.Stage)
		if c.Index != 0 || unfinished && !newer {
			return false, errTransfer
		}
		in.id, in.count, in.next, in.data = c.snapshotID, c.Count, 0, nil
	}
	in.lastChunkAt = now
	switch {
	case c.Index > in.next:
		return false, errTransfer
	case c.Index == in.next:
		in.data = append(in.data, c.Data...)
		in.next++
	}
	return in.next == in.count, nil
}

func (in *snapshotReceiver) reset() { in.id, in.count, in.next, in.data = snapshotID{}, 0, 0, nil }

// assemble returns the entries of the snapshot's state, built from the chunks and, for a
// difference, from its base: the staged state or this control node's current one.
func (in *snapshotReceiver) assemble(own State) (map[string]json.RawMessage, error) {
	received, err := decodeEntries(in.data)
	if err != nil {
		return nil, err
	}
	if in.id.Since == 0 {
		if digest(in.data) != in.id.Digest {
			return nil, errDigestMismatch
		}
		return received, nil
	}
	for _, base := range []State{in.staged, own} {
		if base.Seq != in.id.Since {
			continue
		}
		entries := maps.Clone(base.Entries)
		if entries == nil {
			entries = map[string]json.RawMessage{}
		}
		applyChanges(entries, received)
		if digest(encodeEntries(entries)) == in.id.Digest {
			return entries, nil
		}
	}
	return nil, errDigestMismatch
}

// onOffer handles the offer of a snapshot: it returns which state this control node has and which
// chunk of the offered snapshot it expects next.
func (v *Replica) onOffer(ctx context.Context, id snapshotID) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	in := &v.receiver
	if err := in.gate.Acquire(ctx); err != nil {
		return nil, err
	}
	defer in.gate.Release()
	v.mu.Lock()
	own := v.state
	v.mu.Unlock()
	response := offerResponse{Epoch: own.Epoch}
	if in.id == id {
		response.Next = in.next
	}
	if in.staged.Epoch > own.Epoch {
		response.Seq, response.Digest = in.staged.Seq, in.stagedDigest
	} else {
		response.Seq, response.Digest, response.LastChanged = own.Seq, digest(encodeEntries(own.Entries)), own.ChangedSince(own.Seq-1)
	}
	return response, nil
}

// onCopy receives a chunk of a state from a candidate, or from a primary that needs another
// backup. The state is installed and acknowledged only once it is complete and on disk; a
// state whose epoch is not above that of this control node's current one is rejected.
func (v *Replica) onCopy(ctx context.Context, c chunk) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	in := &v.receiver
	if err := in.gate.Acquire(ctx); err != nil {
		return nil, err
	}
	defer in.gate.Release()
	v.mu.Lock()
	own := v.state
	v.mu.Unlock()
	if response := (copyResponse{Next: c.Count}); c.snapshotID == in.lastInstalled && c.Stage {
		return response, nil // the previous response was lost
	} else if c.snapshotID == in.lastInstalled && own.Epoch == c.Epoch {
		response.Member = v.self
		return response, nil
	}
	if v.rejectsEpoch(c.Epoch) {
		return nil, v.countRejection(errStaleEpoch)
	}
	complete, err := in.addChunk(c, v.k.Clock.Now())
	if err != nil {
		return nil, v.countRejection(err)
	}
	if !complete {
		return copyResponse{Next: in.next}, nil
	}
	if err := v.installSnapshot(ctx, own); err != nil {
		return nil, v.countRejection(err)
	}
	response := copyResponse{Next: in.count}
	if !in.id.Stage {
		response.Member = v.self
	}
	in.lastInstalled = in.id
	in.reset()
	return response, nil
}

// rejectsEpoch reports whether a state of that epoch must not replace this control node's
// current one: its epoch is not higher, or this control node is the primary or is leaving.
func (v *Replica) rejectsEpoch(epoch int64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return epoch <= v.state.Epoch || v.holdsLease(v.k.Clock.Now()) || v.leaving
}

// installSnapshot stages a complete snapshot, or makes it the current state, on disk and in
// memory.
func (v *Replica) installSnapshot(ctx context.Context, own State) error {
	in := &v.receiver
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
	err = v.writeStateToDisk(ctx, func() error {
		if v.rejectsEpoch(s.Epoch) {
			return errStaleEpoch
		}
		if err := v.store.SaveState(s); err != nil {
			return err
		}
		v.mu.Lock()
		current := v.state
		v.mu.Unlock()
		return v.adoptState(s.withHistoryOf(current))
	})
	if err == nil {
		in.staged, in.stagedDigest = State{}, ""
	}
	return err
}

// adoptState makes a state that is on disk the current one, unless this control node has
// meanwhile begun to campaign for a later epoch.
func (v *Replica) adoptState(s State) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.state.Epoch > s.Epoch {
		return errStaleEpoch
	}
	v.state = s
	return nil
}

// countRejection counts rejected changes and chunks by their cause, and returns err.
func (v *Replica) countRejection(err error) error {
	switch {
	case errors.Is(err, errStaleEpoch):
		v.k.Counters.Add("controlstate.old_epoch_refused", 1)
	case errors.Is(err, errChunk), errors.Is(err, errTransfer), errors.Is(err, errEncoding), errors.Is(err, errDigestMismatch):
		v.k.Counters.Add("controlstate.chunk_refused", 1)
	}
	return err
}
