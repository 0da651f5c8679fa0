package gateway

import (
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// answerSlack is how much later than its deadline a request may be answered.
const answerSlack = 500 * kernel.Millisecond

// watchAnswer checks that the request that is about to be answered is not answered too
// late, unless the process stood still meanwhile.
func (j *job) watchAnswer() {
	late := j.now() - j.deadline
	if j.deadline > 0 && late > answerSlack && !j.t.stalls.Since(j.received) {
		j.t.k.Invariants.Check(false, invariant.AnsweredInTime, "%s is answered %d ms after its deadline", j.id, late.Millis())
	}
}

// watchSend checks that what must not run twice is not sent where it may have run, and
// that no more databases are sent it than the route allows.
func (j *job) watchSend(database string) {
	j.t.k.Invariants.Check(!j.mayHaveRun || j.safe(), invariant.SentOnce, "%s is sent to %s, and may have run before", j.id, database)
	j.t.k.Invariants.Check(j.tries <= max(1, j.route.Tries), invariant.TriesBounded, "%s is sent to database %d of %d", j.id, j.tries, j.route.Tries)
}

// watchEnd checks that everything that was read has its answer, or waits for its client
// to take it.
func (t *Gateway) watchEnd(began kernel.Micros) {
	t.mu.Lock()
	unanswered := 0
	for _, g := range t.clients {
		if g.busy && !g.answering {
			unanswered++
		}
	}
	t.mu.Unlock()
	if unanswered > 0 && !t.stalls.Since(began) {
		t.k.Invariants.Check(false, invariant.NothingUnanswered, "%d requests wait for an answer", unanswered)
	}
}
