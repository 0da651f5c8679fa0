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
	DurableState() (controlstate.State, error)
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

// NewLedgerServer returns a LedgerServer that has no ledger yet.
func NewLedgerServer(k *kernel.Kernel, replica controlState, lease kernel.Micros, tolerance Tolerance) *LedgerServer {
	return &LedgerServer{k: k, replica: replica, lease: lease, tolerance: tolerance}
}

// Serve creates a ledger at the start of each term, without waiting for a request, since the
// first lease of a ledger counts from its creation. It runs until ctx ends.
func (s *LedgerServer) Serve(ctx context.Context) error {
	startedTerm := int64(0)
	for ctx.Err() == nil {
		changed := s.replica.Changed()
		term, ledger, err := s.currentTerm()
		switch {
		case err == nil && ledger.term != startedTerm:
			startedTerm = ledger.term
			s.runOpening(ctx, term, ledger)
			continue
		case err != nil && !errors.Is(err, errNoLedger):
			s.k.Counters.Add("quota.unreadable", 1)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

// runOpening runs the opening period of a ledger, which is its first lease, or its term if that
// is shorter: it lets the ledger grant early if that is safe, and records when the period ends.
func (s *LedgerServer) runOpening(ctx context.Context, term *controlstate.Term, ledger *Ledger) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(term.Context(), cancel)()
	if s.mayGrantEarly() && s.writeOpening(ctx, openingRecord{Term: ledger.term}) == nil {
		ledger.GrantEarly(s.k.Clock.Now())
	}
	kernel.Sleep(ctx, ledger.previousLeasesEnd-s.k.Clock.Now())
	for ctx.Err() == nil && s.writeOpening(ctx, openingRecord{ledger.term, true}) != nil {
		kernel.Sleep(ctx, writeRetryInterval)
	}
}

// writeRetryInterval is the pause between attempts to write an opening record.
const writeRetryInterval = 200 * kernel.Millisecond

// openingKey is the key of the control state entry with the last opening record.
const openingKey = "quota/opening"

// openingRecord records the term of the last ledger that granted during its first lease, and
// whether that lease has ended. Until then, slices of that term and of the previous one may be
// outstanding at once.
type openingRecord struct {
	Term      int64 `json:"term"`
	Completed bool  `json:"settled"`
}

// mayGrantEarly reports whether slices of at most one term may be outstanding, so that a new
// ledger may grant during its first lease.
func (s *LedgerServer) mayGrantEarly() bool {
	state, err := s.replica.DurableState()
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

// writeOpening writes an opening record to the control state, unless that holds the record of a
// later term.
func (s *LedgerServer) writeOpening(ctx context.Context, record openingRecord) error {
	raw, err := json.Marshal(record)
	if err != nil {
		return err
	}
	return s.replica.Update(ctx, func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		var last openingRecord
		if json.Unmarshal(entries[openingKey], &last) == nil && last.Term > record.Term {
			return nil, errNoLedger // the term of this record has ended
		}
		return map[string]json.RawMessage{openingKey: raw}, nil
	})
}

// currentTerm returns the current term and its ledger with the latest limits. The error is
// errNoLedger if this node is not the primary.
func (s *LedgerServer) currentTerm() (*controlstate.Term, *Ledger, error) {
	term, err := s.replica.Term()
	if err != nil {
		return nil, nil, errNoLedger
	}
	state, err := s.replica.DurableState()
	if err != nil {
		return nil, nil, errNoLedger
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	if s.ledger == nil || s.ledger.term < term.FirstEpoch() {
		s.ledger, s.stateSeq, s.configEntry = NewLedger(term.FirstEpoch(), now, s.lease, s.tolerance), 0, nil
	}
	if s.ledger.term != term.FirstEpoch() {
		return nil, nil, errNoLedger
	}
	return term, s.ledger, s.updateLimits(now, state)
}

// updateLimits passes the limits of a control state to the ledger, if they are newer.
func (s *LedgerServer) updateLimits(now kernel.Micros, state controlstate.State) error {
	if state.Seq <= s.stateSeq {
		return nil
	}
	s.stateSeq = state.Seq
	entry := state.Entries[routeconfig.Key]
	if bytes.Equal(entry, s.configEntry) {
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
	s.ledger.SetLimits(now, limits)
	s.k.Recorder.Add(LimitsKind, LimitsRecord{s.tolerance, limits})
	s.configEntry = entry
	return nil
}

// handleRequest handles the request of a proxy. The response is sent only within the term in
// which it was made: the next ledger may not allow for anything granted after that.
func (s *LedgerServer) handleRequest(_ context.Context, req sliceRequest) (any, error) {
	term, ledger, err := s.currentTerm()
	if errors.Is(err, errNoLedger) {
		return sliceResponse{}, nil
	}
	if err != nil {
		s.k.Counters.Add("quota.unreadable", 1)
		return nil, err
	}
	resp, err := ledger.ProcessRequest(s.k.Clock.Now(), req)
	switch {
	case resp.NewestIncarnation > 0:
		s.k.Counters.Add("quota.old_life", 1)
		return resp, nil
	case err != nil:
		s.k.Counters.Add("quota.not_taken", 1)
		return nil, err
	case !term.Valid():
		s.k.Counters.Add("quota.term_ended", 1)
		return sliceResponse{}, nil
	}
	if s.k.Recorder != nil {
		s.k.Recorder.Add(ReceivedKind, CallRecord{Proxy: req.Proxy, Incarnation: req.Incarnation, Seq: req.Seq})
	}
	return resp, nil
}

// Accounts returns the accounts of the current ledger by tenant, nil if this node has no
// ledger.
func (s *LedgerServer) Accounts() map[string]Account {
	term, ledger, err := s.currentTerm()
	if err != nil || !term.Valid() {
		return nil
	}
	return ledger.Accounts(s.k.Clock.Now())
}
