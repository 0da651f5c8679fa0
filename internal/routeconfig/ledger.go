package routeconfig

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"indigowalk/internal/controlstate"
)

// order is a change of version Base to version Rev. Sum is of its kind and
// whole body: orders that are equal are the same order, sent again by
// whomever.
type order struct {
	Base int64  `json:"base"`
	Rev  int64  `json:"rev"`
	Sum  string `json:"sum"`
}

func newOrder(kind string, base, rev int64, body []byte) order {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s %d %d %s", kind, base, rev, body))
	return order{base, rev, base64.RawStdEncoding.EncodeToString(sum[:16])}
}

// orderPrefix starts the entries of the control state that hold the ledger.
const orderPrefix = "order/"

// ledger holds the idempotency records: the last orders that were taken, each
// in an entry of its own, written with the configuration that it made. The
// entries are a ring: a new order takes the place of the oldest one, which is
// thereby forgotten, so that what a change writes and what there is in all do not
// grow with the changes before it.
type ledger struct {
	size    int64
	decoded *controlstate.Decoded[order]
}

func newLedger(size int64) *ledger {
	return &ledger{size, controlstate.NewDecoded[order](orderPrefix)}
}

// place is the entry of the nth order.
func (l *ledger) place(n int64) string { return orderPrefix + strconv.FormatInt(n%l.size, 10) }

// check tells what becomes of an order that does not build on the current
// version: nil if it was taken before; ErrOtherVersion if it never was, and
// never can be; ErrForgotten if neither is known.
//
// The records are followed from the current version back, each to the version
// on which it builds. Whatever was taken and is not met on the way was taken
// before the last version so reached, builds on an older one and made that
// version at most. That holds also where the size of the ring was another
// before, or where there was none.
func (l *ledger) check(entries map[string]json.RawMessage, current int64, o order) error {
	orders, err := l.decoded.Of(entries)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	made := make(map[int64]order, len(orders))
	for _, taken := range orders {
		made[taken.Rev] = taken
	}
	reached := current
	for {
		taken, known := made[reached]
		switch {
		case known && taken == o:
			return nil
		case known:
			reached = taken.Base
		case o.Base < reached && o.Rev <= reached:
			return ErrForgotten
		default:
			return ErrOtherVersion
		}
	}
}
