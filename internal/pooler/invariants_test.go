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
		run  func(s *session, j *job)
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
		p := &Pooler{k: k, memory: memorybudget.New(0)}
		s := &session{pooler: p, busy: true, memory: p.memory.NewReservation(0)}
		p.sessions = map[*session]struct{}{s: {}}
		j := &job{s: s, statement: lineprotocol.Statement{ID: "s1.1"}}
		s.trace.reset(k.Clock.Now())
		s.trace.job = j
		c.run(s, j)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}

// Any stall that can make a response late must be detected, because a late response of a process that
// stalled is not a violation.
func TestStallsThatDelayResponsesAreDetected(t *testing.T) {
	if deadlineTolerance <= kernel.MaxUndetectedStall {
		t.Errorf("a response counts as late after %d us, but a stall of %d us can go undetected", deadlineTolerance, kernel.MaxUndetectedStall)
	}
}
