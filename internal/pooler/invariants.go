package pooler

import (
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// answerSlack is how much later than its deadline a statement may be answered.
const answerSlack = 500 * kernel.Millisecond

// watchAnswer checks that the statement that is about to be answered is not answered
// too late, unless the process stood still meanwhile.
func (s *session) watchAnswer(id string) {
	t := &s.trace
	if t.job == nil || t.job.deadline == 0 {
		return
	}
	late := s.d.k.Clock.Now() - t.job.deadline
	if late > answerSlack && !s.d.stalls.Since(t.began) {
		s.d.k.Invariants.Check(false, invariant.AnsweredInTime, "%s is answered %d ms after its deadline", id, late.Millis())
	}
}

// watchSend checks that what must not run twice is not sent where it may have run.
func (j *job) watchSend(database string) {
	j.s.d.k.Invariants.Check(!j.mayHaveRun, invariant.SentOnce, "%s is sent to %s, and may have run before", j.q.ID, database)
}

// watchEnd checks that everything that was read has its answer, or waits for its client
// to take it.
func (d *Pooler) watchEnd(began kernel.Micros) {
	unanswered := 0
	d.each(func(s *session) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.asked && !s.answering {
			unanswered++
		}
	})
	if unanswered > 0 && !d.stalls.Since(began) {
		d.k.Invariants.Check(false, invariant.NothingUnanswered, "%d sessions wait for an answer", unanswered)
	}
}
