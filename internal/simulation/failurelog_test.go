package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/failurelog"
	"indigowalk/internal/kernel"
)

// recentFailures returns the failures in a proxy's failure log.
func recentFailures(p *Process) []failurelog.Failure {
	return kernel.Need[*failurelog.Log](p.Kernel).Recent()
}

// checkFailureLogged fails the test unless the proxy's failure log has the request or statement with
// the given cause and, if result is not empty, with an attempt at a database with that result.
func checkFailureLogged(t *testing.T, p *Process, id, cause, result string) {
	t.Helper()
	for _, f := range recentFailures(p) {
		if f.ID != id {
			continue
		}
		matched := slices.ContainsFunc(f.Attempts, func(a failurelog.Attempt) bool {
			return a.Database != "" && strings.Contains(a.Result, result)
		})
		if f.Cause != cause || result != "" && !matched {
			t.Errorf("%s is logged with cause %q and attempts %v, want cause %q and result %q", id, f.Cause, f.Attempts, cause, result)
		}
		return
	}
	t.Errorf("%s is not in the failure log: %v", id, recentFailures(p))
}

// A pooler's failure log has, for each statement that was not served, the cause and the result of
// each attempt.
func TestFailureLogOfStatement(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		session, _ := w.Login(1, "p.ledger")
		defer session.Close()
		if a, id := session.Query("PUT x 1"); a.Code != "" || len(recentFailures(w.Process("pooler", 1))) > 0 {
			t.Fatalf("statement %s without faults got %v or left a failure in the log", id, a)
		}
		g.Primary().DropAnswers(1)
		_, id := session.Query("PUT x 2")
		checkFailureLogged(t, w.Process("pooler", 1), id, "unanswered", "deadline")
		g.DB(1).Crash(false)
		g.DB(2).Crash(false)
		g.Primary().Crash(false)
		time.Sleep(time.Second)
		_, id = session.Query("FETCH x")
		checkFailureLogged(t, w.Process("pooler", 1), id, "lead_moves", "")
		bounded, _ := w.Login(1, "b.ledger")
		defer bounded.Close()
		_, id = bounded.Query("FETCH x")
		checkFailureLogged(t, w.Process("pooler", 1), id, "no_position_of_primary_known and lead_moves", "")
		if _, code := w.Login(1, "nowhere"); code != "NODB" {
			t.Errorf("login to a database without a route got %s, want NODB", code)
		}
		checkFailureLogged(t, w.Process("pooler", 1), "-", "no_route", "")
	})
}

// A gateway's failure log has, for each request that failed, the cause and the result of each attempt.
func TestFailureLogOfRequest(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		for _, d := range s.Workers() {
			d.InjectFault(ClosesAfterRun)
		}
		s.Send(1, "unsafe-1", false, "body")
		checkFailureLogged(t, w.Process("gateway", 1), "unsafe-1", "no_whole_answer", "connection broken")
		for _, d := range s.Workers() {
			d.InjectFault(RejectsAsFull)
		}
		s.Send(1, "unsafe-2", false, "body")
		checkFailureLogged(t, w.Process("gateway", 1), "unsafe-2", "every_database_that_was_asked_is_busy", "not run: 503")
	})
}
