package pooler

import (
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// deadlineTolerance is how long after its deadline a statement may still be answered.
const deadlineTolerance = 500 * kernel.Millisecond

// checkAnsweredInTime checks that the statement that is about to be answered is not answered too
// late, unless the process stalled meanwhile.
func (s *session) checkAnsweredInTime(id string) {
	t := &s.trace
	if t.job == nil || t.job.deadline == 0 {
		return
	}
	late := s.pooler.k.Clock.Now() - t.job.deadline
	if late > deadlineTolerance && !s.pooler.stalls.StalledSince(t.started) {
		s.pooler.k.Invariants.Check(false, invariant.AnsweredInTime, "%s is answered %d ms after its deadline", id, late.Millis())
	}
}

// checkSentOnce checks that a write is not sent again after a database may have executed it.
func (j *job) checkSentOnce(database string) {
	j.s.pooler.k.Invariants.Check(!j.mayHaveRun, invariant.NoUnsafeRetry, "%s is sent to %s, and may have run before", j.statement.ID, database)
}

// checkNoneUnanswered checks, at the end of draining, that every statement that was read has been
// answered or its response is being written, unless the process stalled since draining began.
func (p *Pooler) checkNoneUnanswered(drainStart kernel.Micros) {
	unanswered := 0
	p.forEachSession(func(s *session) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.busy && !s.responding {
			unanswered++
		}
	})
	if unanswered > 0 && !p.stalls.StalledSince(drainStart) {
		p.k.Invariants.Check(false, invariant.NothingUnanswered, "%d sessions still wait for a response at the end of draining", unanswered)
	}
}
