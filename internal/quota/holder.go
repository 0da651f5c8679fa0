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

// controlState is the part of the control state replica that the ledger depends on.
type controlState interface {
	Term() (*controlstate.Term, error)
	Durable() (controlstate.State, error)
	Update(ctx context.Context, change controlstate.ChangeFunc) error
	Changed() <-chan struct{}
}

// LedgerServer runs the ledger of the current term, if this control node is the primary.
type LedgerServer struct {
	k         *kernel.Kernel
	replica   controlState
	lease     kernel.Micros
	tolerance Tolerance

	mu          sync.Mutex
	ledger      *Ledger
	stateSeq    int64           // of the control state from which the ledger has its limits
	configEntry json.RawMessage // entry with the configuration of those limits
}

// NewLedgerServer returns one that has no ledger yet.
func NewLedgerServer(k *kernel.Kernel, replica controlState, lease kernel.Micros, tolerance Tolerance) *LedgerServer {
	return &LedgerServer{k: k, replica: replica, lease: lease, tolerance: tolerance}
}

// Serve creates a ledger at the start of each term, without waiting for a request, since the
// first lease of a ledger counts from its creation. It runs until ctx ends.
func (h *LedgerServer) Serve(ctx context.Context) error {
	startedTerm := int64(0)
	for ctx.Err() == nil {
		changed := h.replica.Changed()
		term, ledger, err := h.currentTerm()
		switch {
		case err == nil && ledger.term != startedTerm:
			startedTerm = ledger.term
			h.runOpening(ctx, term, ledger)
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

// runOpening sees a ledger through its opening period, which is its first lease, or its term
// if that is shorter. The ledger grants early if that is safe.
func (h *LedgerServer) runOpening(ctx context.Context, term *controlstate.Term, ledger *Ledger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(term.Context(), cancel)()
	if h.mayGrantEarly() && h.writeOpening(ctx, openingRecord{Term: ledger.term}) == nil {
		ledger.GrantEarly(h.k.Clock.Now())
	}
	kernel.Sleep(ctx, ledger.previousLeasesEnd-h.k.Clock.Now())
	for ctx.Err() == nil && h.writeOpening(ctx, openingRecord{ledger.term, true}) != nil {
		kernel.Sleep(ctx, writeRetryInterval)
	}
}

// writeRetryInterval is the pause between attempts to write an opening record.
const writeRetryInterval = 200 * kernel.Millisecond

// openingKey is the key of the control state entry with the last opening record.
const openingKey = "quota/opening"

// openingRecord records, for the last ledger that granted during its first lease, whether that
// lease has ended. Until then, slices of that term and of the previous one may be outstanding
// at once.
type openingRecord struct {
	Term      int64 `json:"term"`
	Completed bool  `json:"settled"`
}

// mayGrantEarly reports whether slices of at most one term may be outstanding, so that a new
// ledger may grant during its first lease.
func (h *LedgerServer) mayGrantEarly() bool {
	state, err := h.replica.Durable()
	if err != nil {
		return false
	}
	raw, present := state.Entries[openingKey]
	if !present {
		return true
	}
	var last openingRecord
	return json.Unmarshal(raw, &last) == nil && last.Completed
}

// writeOpening writes an opening record to the control state, unless one of a later term is there.
func (h *LedgerServer) writeOpening(ctx context.Context, record openingRecord) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return h.replica.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		var last openingRecord
		if json.Unmarshal(entries[openingKey], &last) == nil && last.Term > record.Term {
			return nil, errNoLedger // the term of this record has ended
		}
		return map[string]json.RawMessage{openingKey: raw}, nil
	})
}

// currentTerm returns the current term and its ledger with the latest limits. The error is
// errNoLedger if this node is not the primary.
func (h *LedgerServer) currentTerm() (*controlstate.Term, *Ledger, error) {
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
	if h.ledger == nil || h.ledger.term < term.FirstEpoch() {
		h.ledger, h.stateSeq, h.configEntry = NewLedger(term.FirstEpoch(), now, h.lease, h.tolerance), 0, nil
	}
	if h.ledger.term != term.FirstEpoch() {
		return nil, nil, errNoLedger
	}
	return term, h.ledger, h.updateLimits(now, state)
}

// updateLimits passes the limits of a control state to the ledger, if they are newer.
func (h *LedgerServer) updateLimits(now kernel.Micros, state controlstate.State) error {
	if state.Seq <= h.stateSeq {
		return nil
	}
	h.stateSeq = state.Seq
	entry := state.Entries[routeconfig.Key]
	if bytes.Equal(entry, h.configEntry) {
		return nil
	}
	_, config, err := routeconfig.Decode(entry)
	if err != nil {
		return err
	}
	limits := map[string]Limit{}
	if config != nil {
		for _, t := range config.Tenants {
			limits[t.Name] = Limit{t.RatePerS, t.Burst}
		}
	}
	h.ledger.SetLimits(now, limits)
	h.k.Recorder.Add(LimitsKind, LimitsRecord{h.tolerance, limits})
	h.configEntry = entry
	return nil
}

// onTake handles the request of a proxy. The response is sent only within the term in which
// it was made: the next ledger may not allow for anything granted after that.
func (h *LedgerServer) onTake(_ context.Context, req sliceRequest) (any, error) {
	term, ledger, err := h.currentTerm()
	if errors.Is(err, errNoLedger) {
		return sliceResponse{}, nil
	}
	if err != nil {
		h.k.Counters.Add("quota.unreadable", 1)
		return nil, err
	}
	a, err := ledger.Take(h.k.Clock.Now(), req)
	switch {
	case a.NewestIncarnation > 0:
		h.k.Counters.Add("quota.old_life", 1)
		return a, nil
	case err != nil:
		h.k.Counters.Add("quota.not_taken", 1)
		return nil, err
	case !term.Valid():
		h.k.Counters.Add("quota.term_ended", 1)
		return sliceResponse{}, nil
	}
	if h.k.Recorder != nil {
		h.k.Recorder.Add(ReceivedKind, CallRecord{Proxy: req.Proxy, Incarnation: req.Incarnation, Seq: req.Seq})
	}
	return a, nil
}

// Accounts returns the accounts of the current ledger by tenant, nil if this node has no
// ledger.
func (h *LedgerServer) Accounts() map[string]Account {
	term, ledger, err := h.currentTerm()
	if err != nil || !term.Valid() {
		return nil
	}
	return ledger.Accounts(h.k.Clock.Now())
}
