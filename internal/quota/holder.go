package quota

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"sync"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
)

// controlState is what a holder needs of the control state.
type controlState interface {
	Term() (*controlstate.Term, error)
	Durable() (controlstate.State, error)
	Update(ctx context.Context, change controlstate.ChangeFunc) error
	Changed() <-chan struct{}
}

// Holder has the ledger of the term that runs at this control node.
type Holder struct {
	k         *kernel.Kernel
	replica   controlState
	lease     kernel.Micros
	tolerance Tolerance

	mu     sync.Mutex
	ledger *Ledger
	seq    int64           // of the control state whose limits the ledger has
	entry  json.RawMessage // with the configuration that they are of
}

// NewHolder returns a holder that has no ledger yet.
func NewHolder(k *kernel.Kernel, replica controlState, lease kernel.Micros, tolerance Tolerance) *Holder {
	return &Holder{k: k, replica: replica, lease: lease, tolerance: tolerance}
}

// Serve begins a ledger with each term, since that counts its first lease from then.
func (h *Holder) Serve(ctx context.Context) error {
	begun := int64(0)
	for ctx.Err() == nil {
		changed := h.replica.Changed()
		term, ledger, err := h.inTerm()
		switch {
		case err == nil && ledger.term != begun:
			begun = ledger.term
			h.open(ctx, term, ledger)
			continue
		case err != nil && !errors.Is(err, errNoLedger):
			h.k.Counters.Add("quota.unreadable", 1)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// open sees a ledger through its first lease, or its term if that is shorter.
func (h *Holder) open(ctx context.Context, term *controlstate.Term, ledger *Ledger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(term.Context(), cancel)()
	if h.settled() && h.note(ctx, opening{Term: ledger.term}) == nil {
		ledger.Narrow(h.k.Clock.Now())
	}
	kernel.Sleep(ctx, ledger.opens-h.k.Clock.Now())
	for ctx.Err() == nil && h.note(ctx, opening{ledger.term, true}) != nil {
		kernel.Sleep(ctx, noteAgain)
	}
}

// noteAgain is between two attempts at writing how far a ledger has come.
const noteAgain = 200 * kernel.Millisecond

// openingKey is the entry of the control state with the last opening.
const openingKey = "quota/opening"

// opening tells of the last ledger that granted in its first lease whether that is
// over. Until it is, slices of that term and of the one before may be out together.
type opening struct {
	Term    int64 `json:"term"`
	Settled bool  `json:"settled"`
}

// settled tells whether slices of no more than one term may be out.
func (h *Holder) settled() bool {
	state, err := h.replica.Durable()
	if err != nil {
		return false
	}
	raw, there := state.Entries[openingKey]
	if !there {
		return true
	}
	var last opening
	return json.Unmarshal(raw, &last) == nil && last.Settled
}

// note writes an opening to the control state.
func (h *Holder) note(ctx context.Context, o opening) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return err
	}
	return h.replica.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		var last opening
		if json.Unmarshal(entries[openingKey], &last) == nil && last.Term > o.Term {
			return nil, errNoLedger // the term of this one is over
		}
		return map[string]json.RawMessage{openingKey: raw}, nil
	})
}

// inTerm returns the term that runs, and its ledger with the newest limits.
func (h *Holder) inTerm() (*controlstate.Term, *Ledger, error) {
	term, err := h.replica.Term()
	if err != nil {
		return nil, nil, errNoLedger
	}
	state, err := h.replica.Durable()
	if err != nil {
		return nil, nil, errNoLedger
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.k.Clock.Now()
	if h.ledger == nil || h.ledger.term < term.Began() {
		h.ledger, h.seq, h.entry = NewLedger(term.Began(), now, h.lease, h.tolerance), 0, nil
	}
	if h.ledger.term != term.Began() {
		return nil, nil, errNoLedger
	}
	return term, h.ledger, h.updateLimits(now, state)
}

// updateLimits gives the ledger the limits of a state, if those are newer.
func (h *Holder) updateLimits(now kernel.Micros, state controlstate.State) error {
	if state.Seq <= h.seq {
		return nil
	}
	h.seq = state.Seq
	entry := state.Entries[routeconfig.Key]
	if bytes.Equal(entry, h.entry) {
		return nil
	}
	_, conf, err := routeconfig.Decode(entry)
	if err != nil {
		return err
	}
	limits := map[string]Limit{}
	if conf != nil {
		for _, t := range conf.Tenants {
			limits[t.Name] = Limit{t.RatePerS, t.Burst}
		}
	}
	h.ledger.SetLimits(now, limits)
	h.k.Recorder.Add(LimitsKind, LimitsRecord{h.tolerance, limits})
	h.entry = entry
	return nil
}

// onTake answers a carrier. The answer leaves only in the term in which it was made:
// what is granted later may not be known to the next ledger.
func (h *Holder) onTake(_ context.Context, q ask) (any, error) {
	term, ledger, err := h.inTerm()
	if errors.Is(err, errNoLedger) {
		return answer{}, nil
	}
	if err != nil {
		h.k.Counters.Add("quota.unreadable", 1)
		return nil, err
	}
	a, err := ledger.Take(h.k.Clock.Now(), q)
	switch {
	case a.Newest > 0:
		h.k.Counters.Add("quota.old_life", 1)
		return a, nil
	case err != nil:
		h.k.Counters.Add("quota.not_taken", 1)
		return nil, err
	case !term.Valid():
		h.k.Counters.Add("quota.term_ended", 1)
		return answer{}, nil
	}
	if h.k.Recorder != nil {
		h.k.Recorder.Add(TakenKind, CallRecord{Carrier: q.Carrier, Life: q.Life, Seq: q.Seq})
	}
	return a, nil
}

// Accounts shows the tenants of the ledger of the term that runs, nil if none does here.
func (h *Holder) Accounts() map[string]Account {
	term, ledger, err := h.inTerm()
	if err != nil || !term.Valid() {
		return nil
	}
	return ledger.Accounts(h.k.Clock.Now())
}
