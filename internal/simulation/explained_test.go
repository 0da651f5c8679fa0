package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/failurelog"
	"indigowalk/internal/kernel"
)

// failures are those that a carrier keeps.
func failures(p *Process) []failurelog.Failure {
	return kernel.Need[*failurelog.Log](p.Kernel).Recent()
}

// explained fails unless the carrier keeps the request with that cause, and an attempt
// with that result if one is named.
func explained(t *testing.T, p *Process, id, cause, result string) {
	t.Helper()
	for _, f := range failures(p) {
		if f.ID != id {
			continue
		}
		made := slices.ContainsFunc(f.Attempts, func(a failurelog.Attempt) bool {
			return a.Database != "" && strings.Contains(a.Result, result)
		})
		if f.Cause != cause || result != "" && !made {
			t.Errorf("%s is explained by %q %v, want %q %q", id, f.Cause, f.Attempts, cause, result)
		}
		return
	}
	t.Errorf("%s is not explained: %v", id, failures(p))
}

// A statement that was not served can be explained afterwards: why, and what came of
// each sending.
func TestAFailedStatementIsExplained(t *testing.T) {
	play(t, func(w *World, g *Group) {
		s, _ := w.Login(1, "p.ledger")
		defer s.Close()
		if a, id := s.Query("PUT x 1"); a.Code != "" || len(failures(w.Process("pooler", 1))) > 0 {
			t.Fatalf("%s: %v", id, a)
		}
		g.Primary().Lose(1)
		_, id := s.Query("PUT x 2")
		explained(t, w.Process("pooler", 1), id, "unanswered", "deadline")
		g.DB(1).Crash(false)
		g.DB(2).Crash(false)
		g.Primary().Crash(false)
		time.Sleep(time.Second)
		_, id = s.Query("FETCH x")
		explained(t, w.Process("pooler", 1), id, "lead_moves", "")
		b, _ := w.Login(1, "b.ledger")
		defer b.Close()
		_, id = b.Query("FETCH x")
		explained(t, w.Process("pooler", 1), id, "no_position_of_primary_known and lead_moves", "")
		if _, code := w.Login(1, "nowhere"); code != "NODB" {
			t.Errorf("a database that is not there: %s", code)
		}
		explained(t, w.Process("pooler", 1), "-", "no_route", "")
	})
}

// So can a request.
func TestAFailedRequestIsExplained(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		for _, d := range s.Workers() {
			d.InjectFault(Loses)
		}
		s.Ask(1, "unsafe-1", false, "what")
		explained(t, w.Process("gateway", 1), "unsafe-1", "no_whole_answer", "connection broken")
		for _, d := range s.Workers() {
			d.InjectFault(Sheds)
		}
		s.Ask(1, "unsafe-2", false, "what")
		explained(t, w.Process("gateway", 1), "unsafe-2", "every_database_that_was_asked_is_busy", "not run: 503")
	})
}
