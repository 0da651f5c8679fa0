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

// A late answer, a write that is sent a second time, and a statement that is left without
// an answer at the end, are found.
func TestInvariantsOfThePooler(t *testing.T) {
	for name, c := range map[string]struct {
		play func(s *session, j *job)
		want []invariant.Invariant
	}{
		"answered at its deadline": {func(s *session, j *job) { j.deadline = j.now(); s.watchAnswer("s1.1") }, nil},
		"answered too late": {func(s *session, j *job) { j.deadline = j.now() - kernel.Second; s.watchAnswer("s1.1") },
			[]invariant.Invariant{invariant.AnsweredInTime}},
		"sent once":                 {func(_ *session, j *job) { j.watchSend("a") }, nil},
		"sent again":                {func(_ *session, j *job) { j.mayHaveRun = true; j.watchSend("b") }, []invariant.Invariant{invariant.SentOnce}},
		"resting at the end":        {func(s *session, _ *job) { s.asked = false; s.d.watchEnd(0) }, nil},
		"being answered at the end": {func(s *session, _ *job) { s.answering = true; s.d.watchEnd(0) }, nil},
		"waiting at the end":        {func(s *session, _ *job) { s.d.watchEnd(0) }, []invariant.Invariant{invariant.NothingUnanswered}},
		"memory of a session":       {func(s *session, _ *job) { s.memory.Resize(1); s.d.watchMemory() }, nil},
		"memory of nobody": {func(s *session, _ *job) {
			s.memory.Resize(1)
			delete(s.d.sessions, s)
			s.d.watchMemory()
		}, []invariant.Invariant{invariant.MemoryGivenBack}},
	} {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		d := &Pooler{k: k, memory: memorybudget.New(0)}
		s := &session{d: d, asked: true, memory: d.memory.Hold(0)}
		d.sessions = map[*session]struct{}{s: {}}
		j := &job{s: s, q: lineprotocol.Statement{ID: "s1.1"}}
		s.trace.begin(k.Clock.Now())
		s.trace.job = j
		c.play(s, j)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// A process that stood still must not be taken for one that let its clients wait.
func TestStallsThatMatterAreSeen(t *testing.T) {
	if answerSlack <= kernel.LongestUnseenStall {
		t.Errorf("an answer counts as late after %d us, a stall of %d us is not seen", answerSlack, kernel.LongestUnseenStall)
	}
}
