// Package subscription brings the control state from the archive to the
// desks. A desk asks with what it has; the answer comes at the next change, or
// after a while without one, and carries the desk's read lease.
package subscription

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"indigowalk/internal/custodian"
	"indigowalk/internal/foundation"
	"indigowalk/internal/loan"
	"indigowalk/internal/vault"
)

const pollOp = "subscription.poll"

type pollAsk struct {
	Desk string           `json:"desk"`
	Life int64            `json:"life"`
	Seq  int64            `json:"seq"`
	Left map[string]int64 `json:"left,omitempty"`
	Down []string         `json:"down,omitempty"` // databases the desk holds as down
	Now  bool             `json:"now,omitempty"`  // the desk's lease can't wait for the next change
}

type pollAnswer struct {
	Elsewhere string            `json:"elsewhere,omitempty"` // the primary, if this archive is not it
	Newest    int64             `json:"newest,omitempty"`    // a later life of the desk, if this one is refused
	Epoch     int64             `json:"epoch,omitempty"`
	Seq       int64             `json:"seq,omitempty"`
	Lease     foundation.Micros `json:"lease_us,omitempty"`
	Desks     int               `json:"desks,omitempty"` // that have been here of late
	News      json.RawMessage   `json:"news,omitempty"`  // of type news; none if nothing changed since the desk's seq
}

// Office is the archive's side.
type Office struct {
	k       *foundation.Kernel
	v       *vault.Vault
	readers *custodian.Readers
	lease   foundation.Micros
	hold    func() foundation.Micros
	heard   func(desk, id string) // a desk's notice of a fault
	edition *edition
	turns   turns
}

// turns has whole states leave one after another, at a share of the link: of
// hundreds of desks that start at once each is sent one, and whatever else the
// archive sends would wait behind them, its checks of databases too.
type turns struct {
	rate float64 // bytes a microsecond; 0 for no bound

	mu   sync.Mutex
	next foundation.Micros
}

// linkShare is the part of the link that whole states may take.
const linkShare = 0.7

// take returns how long to wait for the turn of so many bytes.
func (t *turns) take(now foundation.Micros, size int) foundation.Micros {
	if t.rate == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at := max(now, t.next)
	t.next = at + foundation.Micros(float64(size)/t.rate)
	return at - now
}

// NewOffice answers polls through the branch.
// Mbps is the bandwidth of its link, 0 if that is not known.
func NewOffice(k *foundation.Kernel, b *loan.Branch, v *vault.Vault, readers *custodian.Readers, lease foundation.Micros, hold func() foundation.Micros, heard func(desk, id string), mbps float64) *Office {
	o := &Office{k: k, v: v, readers: readers, lease: lease, hold: hold, heard: heard, edition: newEdition()}
	o.turns.rate = linkShare * mbps / 8
	loan.On(b, pollOp, o.onPoll)
	return o
}

func (o *Office) onPoll(ctx context.Context, q pollAsk) (any, error) {
	if q.Desk == "" || q.Life == 0 {
		o.k.Counters.Add("subscription.malformed", 1)
		return nil, errors.New("malformed")
	}
	if _, leads := o.v.Primary(); !leads && !o.awaitPrimary(ctx) {
		addr, known := o.v.Known()
		if !known || addr == o.v.Self().Addr {
			addr = ""
		}
		return pollAnswer{Elsewhere: addr}, nil
	}
	if err := o.register(ctx, q); err != nil {
		return nil, err
	}
	if newest, ok := o.readers.Heard(q.Desk, q.Life, q.Left); !ok {
		o.k.Counters.Add("subscription.old_life", 1)
		return pollAnswer{Newest: newest}, nil
	}
	for _, id := range q.Down {
		o.heard(q.Desk, id)
	}
	t := time.NewTimer(o.hold().Duration())
	defer t.Stop()
	for waited := false; ; {
		changed := o.v.Changed()
		state, err := o.v.Durable()
		if err != nil {
			return pollAnswer{}, nil
		}
		news, urgent, err := o.edition.since(state, q.Seq)
		if err != nil {
			o.k.Counters.Add("subscription.unreadable", 1)
			return nil, err
		}
		if q.Seq == 0 && news != nil && !waited {
			waited = true
			if wait := o.turns.take(o.k.Clock.Now(), len(news)); wait > 0 {
				foundation.Sleep(ctx, wait)
				continue
			}
		}
		if news == nil && !q.Now {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
				continue
			case <-t.C:
			}
		}
		if news != nil && !urgent && !q.Now {
			// Changes that come close together go out together.
			q.Now = true
			foundation.Sleep(ctx, gather)
			continue
		}
		return o.answer(q, state, news)
	}
}

// ofLate is for how long a desk that polls no more is counted: the connections
// that it had may be there yet, and it may come back.
const ofLate = 20 * foundation.Second

// gather is how long a change that can wait is held back for others.
const gather = 50 * foundation.Millisecond

// register enters the desk's life in the control state before it is granted a
// lease, and starts the term if this is its first poll.
func (o *Office) register(ctx context.Context, q pollAsk) error {
	state, err := o.v.Durable()
	if err != nil {
		return err
	}
	_, began, err := o.v.Term()
	if err != nil {
		return err
	}
	if !o.readers.InTerm(began) {
		desks, err := custodian.Registered(state.Entries)
		if err != nil {
			return err
		}
		o.readers.Term(began, desks, o.k.Clock.Now()+o.lease)
	}
	if custodian.IsRegistered(state.Entries, q.Desk, q.Life) {
		return nil
	}
	return o.v.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		return custodian.Register(q.Desk, q.Life), nil
	})
}

// awaitPrimary waits, where no primary is known, until there is one; it
// reports whether it is this archive.
func (o *Office) awaitPrimary(ctx context.Context) bool {
	t := time.NewTimer(o.hold().Duration())
	defer t.Stop()
	for {
		changed := o.v.Changed()
		if _, leads := o.v.Primary(); leads {
			return true
		}
		if _, known := o.v.Known(); known {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		case <-t.C:
			return false
		}
	}
}

func (o *Office) answer(q pollAsk, state vault.State, news json.RawMessage) (any, error) {
	// The lease is noted before it is granted, and only while this archive's
	// own lease runs.
	if !o.readers.Grant(q.Desk, q.Life, o.k.Clock.Now()+o.lease) {
		return nil, errors.New("an earlier life of that desk")
	}
	if epoch, left := o.v.Lease(); left <= 0 || epoch != state.Epoch {
		return pollAnswer{}, nil
	}
	raw, err := json.Marshal(pollAnswer{
		Epoch: state.Epoch, Seq: state.Seq, Lease: o.lease, Desks: o.readers.Count(o.k.Clock.Now() - ofLate),
	})
	if err != nil || news == nil {
		return json.RawMessage(raw), err
	}
	// The news were encoded once for all desks.
	return json.RawMessage(append(append(append(raw[:len(raw)-1], `,"news":`...), news...), '}')), nil
}
