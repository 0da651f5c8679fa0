package pooler

import (
	"log/slog"
	"testing"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/readrouting"
	"indigowalk/internal/routeconfig"
)

// atDeadline is a job whose time is up, with a connection to a database.
func atDeadline(t *testing.T) (*job, *dbconn.Conn, readrouting.Choice) {
	t.Helper()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	s := &session{d: &Pooler{k: k, router: readrouting.New(k.Clock)}}
	j := &job{s: s, q: lineprotocol.Statement{ID: "s1.1", Verb: lineprotocol.Fetch}, route: &routeconfig.Route{}}
	j.route.Tries = 3
	j.deadline = j.now() - kernel.Millisecond
	s.trace.begin(k.Clock.Now())
	s.trace.job = j
	db := discovery.Database{ID: "r1"}
	return j, &dbconn.Conn{DB: db}, readrouting.Choice{Database: db}
}

// A promise of a database that is read only when the time is up, as after the process
// stood still, is answered like any other statement that is given up.
func TestPromisesAtTheDeadlineAreAnswered(t *testing.T) {
	for _, code := range []string{lineprotocol.Lagging, lineprotocol.Retry, lineprotocol.ReadOnly, lineprotocol.NoSuch} {
		j, conn, choice := atDeadline(t)
		if a := j.settle(j.judge(conn, choice, &lineprotocol.Answer{Code: code, State: 'I'})); a == nil || a.Code != lineprotocol.Retry {
			t.Errorf("%s outside a transaction: answered %v", code, a)
		}
	}
	for ran, want := range map[int]string{0: lineprotocol.Retry, 2: lineprotocol.RolledBack} {
		j, _, _ := atDeadline(t)
		open := &transaction{s: j.s, ran: ran}
		j.s.tx = open
		if a := j.settleInside(open, nil); a == nil || a.Code != want || a.State != 'I' || j.s.tx != nil {
			t.Errorf("in a transaction with %d statements: answered %v", ran, a)
		}
	}
}
