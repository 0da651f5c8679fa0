package routeconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"indigowalk/internal/controlstate"
)

// changeID identifies a change of version Base to version Rev. Sum is a digest of the kind of
// change, both versions and the whole body: changes with equal ids are the same change, even if
// different clients sent them.
type changeID struct {
	Base int64  `json:"base"`
	Rev  int64  `json:"rev"`
	Sum  string `json:"sum"`
}

func newChangeID(kind string, base, rev int64, body []byte) changeID {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d %s", kind, base, rev, body))
	return changeID{base, rev, base64.RawStdEncoding.EncodeToString(sum[:16])}
}

// changePrefix is the key prefix of the control state entries that hold the ledger.
const changePrefix = "order/"

// ledger holds the idempotency records: the last accepted changes, each in an entry of its
// own, written together with the configuration that it made. The entries form a ring: a new
// record overwrites the oldest one, so that neither what a change writes nor the total size
// grows with the number of earlier changes.
type ledger struct {
	size    int64
	decoded *controlstate.Decoder[changeID]
}

func newLedger(size int64) *ledger {
	return &ledger{size, controlstate.NewDecoder[changeID](changePrefix)}
}

// entryKey returns the key of the entry that holds the nth change.
func (l *ledger) entryKey(n int64) string { return changePrefix + strconv.FormatInt(n%l.size, 10) }

// resolve determines the outcome of a change that is not based on the current version: nil if it
// was accepted before, a version conflict if it was not and never can be, and an unknown outcome
// if that can't be determined.
//
// The records are followed from the current version backwards, each to its base version, down to
// the oldest version that they reach. An accepted change that is not met on the way made that
// oldest version or an earlier one, so its base is older than that version, and the version it
// made is at most that one. This also holds if the ring had a different size before, or did not
// exist.
func (l *ledger) resolve(entries map[string]json.RawMessage, current int64, id changeID) error {
	records, err := l.decoded.Decode(entries)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	byRev := make(map[int64]changeID, len(records))
	for _, accepted := range records {
		byRev[accepted.Rev] = accepted
	}
	reached := current
	for {
		accepted, known := byRev[reached]
		switch {
		case known && accepted == id:
			return nil
		case known:
			reached = accepted.Base
		case id.Base < reached && id.Rev <= reached:
			return ErrOutcomeUnknown
		default:
			return ErrVersionConflict
		}
	}
}
