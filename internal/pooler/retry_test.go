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

// jobPastDeadline returns a job whose deadline has passed, with a connection to a database.
func jobPastDeadline(t *testing.T) (*job, *dbconn.Conn, readrouting.Choice) {
	t.Helper()
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	s := &session{pooler: &Pooler{k: k, router: readrouting.New(k.Clock)}}
	j := &job{s: s, statement: lineprotocol.Statement{ID: "s1.1", Verb: lineprotocol.Fetch}, route: &routeconfig.Route{}}
	j.route.Tries = 3
	j.deadline = j.now() - kernel.Millisecond
	s.trace.reset(k.Clock.Now())
	s.trace.job = j
	db := discovery.Database{ID: "r1"}
	return j, &dbconn.Conn{DB: db}, readrouting.Choice{Database: db}
}

// A database's error response that is read only after the deadline, for example because the process
// stalled, must still lead to a response for the client, as with any other timeout.
func TestErrorsAtDeadlineGetResponse(t *testing.T) {
	for _, code := range []string{lineprotocol.Lagging, lineprotocol.Retry, lineprotocol.ReadOnly, lineprotocol.NoSuch} {
		j, conn, choice := jobPastDeadline(t)
		if answer := j.checkDeadline(j.handleResponse(conn, choice, &lineprotocol.Answer{Code: code, State: 'I'})); answer == nil || answer.Code != lineprotocol.Retry {
			t.Errorf("%s outside a transaction: response %v", code, answer)
		}
	}
	for executed, want := range map[int]string{0: lineprotocol.Retry, 2: lineprotocol.RolledBack} {
		j, _, _ := jobPastDeadline(t)
		tx := &transaction{s: j.s, executed: executed}
		j.s.tx = tx
		if answer := j.checkTransactionDeadline(tx, nil); answer == nil || answer.Code != want || answer.State != 'I' || j.s.tx != nil {
			t.Errorf("in a transaction with %d statements: response %v", executed, answer)
		}
	}
}
