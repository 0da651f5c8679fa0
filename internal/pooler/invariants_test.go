package pooler

import (
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/memorybudget"
)

// The invariant checks detect a late response, a write that is sent a second time, a statement that
// is unanswered at the end of draining, and memory that is not released.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for name, c := range map[string]struct {
		play func(s *session, j *job)
		want []invariant.Invariant
	}{
		"answered at its deadline": {func(s *session, j *job) { j.deadline = j.now(); s.checkAnsweredInTime("s1.1") }, nil},
		"answered too late": {func(s *session, j *job) { j.deadline = j.now() - kernel.Second; s.checkAnsweredInTime("s1.1") },
			[]invariant.Invariant{invariant.AnsweredInTime}},
		"sent once":                 {func(_ *session, j *job) { j.checkSentOnce("a") }, nil},
		"sent again":                {func(_ *session, j *job) { j.mayHaveRun = true; j.checkSentOnce("b") }, []invariant.Invariant{invariant.NoUnsafeRetry}},
		"idle at the end":           {func(s *session, _ *job) { s.busy = false; s.pooler.checkNoneUnanswered(0) }, nil},
		"being answered at the end": {func(s *session, _ *job) { s.responding = true; s.pooler.checkNoneUnanswered(0) }, nil},
		"waiting at the end":        {func(s *session, _ *job) { s.pooler.checkNoneUnanswered(0) }, []invariant.Invariant{invariant.NothingUnanswered}},
		"memory of a session":       {func(s *session, _ *job) { s.memory.Resize(1); s.pooler.checkMemoryReleased() }, nil},
		"memory without a session": {func(s *session, _ *job) {
			s.memory.Resize(1)
			delete(s.pooler.sessions, s)
			s.pooler.checkMemoryReleased()
		}, []invariant.Invariant{invariant.MemoryReleased}},
	} {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		d := &Pooler{k: k, memory: memorybudget.New(0)}
		s := &session{pooler: d, busy: true, memory: d.memory.NewReservation(0)}
		d.sessions = map[*session]struct{}{s: {}}
		j := &job{s: s, statement: lineprotocol.Statement{ID: "s1.1"}}
		s.trace.reset(k.Clock.Now())
		s.trace.job = j
		c.play(s, j)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// Any stall long enough to make a response late must be detected, so that a stalled process is not
// reported as one that answers late.
func TestStallsThatDelayResponsesAreDetected(t *testing.T) {
	if deadlineTolerance <= kernel.MaxUndetectedStall {
		t.Errorf("an answer counts as late after %d us, a stall of %d us is not seen", deadlineTolerance, kernel.MaxUndetectedStall)
	}
}
