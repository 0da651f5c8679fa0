package gateway

import (
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// deadlineTolerance is how long after its deadline a request may be answered.
const deadlineTolerance = 500 * kernel.Millisecond

// checkAnsweredInTime checks that the request, which is about to be answered, is not answered more
// than deadlineTolerance after its deadline, unless the process was stalled since it was received.
func (j *job) checkAnsweredInTime() {
	late := j.now() - j.deadline
	if j.deadline > 0 && late > deadlineTolerance && !j.gateway.stalls.StalledSince(j.received) {
		j.gateway.k.Invariants.Check(false, invariant.AnsweredInTime, "%s is answered %d ms after its deadline", j.id, late.Millis())
	}
}

// checkSentOnce is called before a request is sent to a database. It checks that a request that is not
// idempotent is not sent again once it may have run, and that there are no more attempts than the
// route allows.
func (j *job) checkSentOnce(database string) {
	j.gateway.k.Invariants.Check(!j.mayHaveRun || j.idempotent(), invariant.NoUnsafeRetry, "%s is sent to %s, and may have run before", j.id, database)
	j.gateway.k.Invariants.Check(j.attempts <= max(1, j.route.Tries), invariant.TriesBounded, "%s is sent to database %d of %d", j.id, j.attempts, j.route.Tries)
}

// checkNoneUnanswered checks, at the end of draining, that every request that was read has been
// answered or is being answered, unless the process was stalled since draining began, at the given time.
func (g *Gateway) checkNoneUnanswered(since kernel.Micros) {
	g.mu.Lock()
	unanswered := 0
	for _, state := range g.clients {
		if state.busy && !state.responding {
			unanswered++
		}
	}
	g.mu.Unlock()
	if unanswered > 0 && !g.stalls.StalledSince(since) {
		g.k.Invariants.Check(false, invariant.NothingUnanswered, "%d requests still wait for a response at the end of draining", unanswered)
	}
}
