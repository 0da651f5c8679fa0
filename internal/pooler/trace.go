package pooler

import (
	"errors"

	"indigowalk/internal/connpool"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/distribution"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/quota"
)

// Causes of statements that were not served, beside those of readrouting.
const (
	causeMalformed    = "malformed"
	causeMemory       = "no_memory_for_message"
	causeNoRoute      = "no_route"
	causeNotReady     = "no_configuration_yet"
	causeDenied       = "key_unknown"
	causeKeysUnknown  = "keys_not_known_here"
	causeQuota        = "over_quota"
	causeQueueFull    = "queue_full"
	causeNoConnection = "no_connection_in_time"
	causeEnding       = "process_ends"
	causeTries        = "tries_used_up"
	causeUnanswered   = "unanswered"
	causeDeadline     = "deadline"
	causeLeft         = "lead_moved_meanwhile"
	causeEnded        = "transaction_ended"
	causeDatabase     = "answer_of_database"
)

// trace is what is remembered of the statement that a session is working on, for the
// failure log. Only failed attempts are remembered.
type trace struct {
	began    kernel.Micros
	job      *job
	cause    string
	attempts []failurelog.Attempt
}

// begin forgets the statement before.
func (t *trace) begin(now kernel.Micros) {
	*t = trace{began: now, attempts: t.attempts[:0]}
}

// because notes why the statement is not served; the last cause counts.
func (t *trace) because(cause string) { t.cause = cause }

// failed notes an attempt that got no success: an error, or a database's answer.
func (t *trace) failed(database string, now kernel.Micros, err error, a *lineprotocol.Answer) {
	result := causeOf(err)
	if err == nil {
		result = a.Code
	}
	t.attempts = append(t.attempts, failurelog.Attempt{Database: database, After: now - t.began, Result: result})
}

// causeOf names what kept an attempt from being answered.
func causeOf(err error) string {
	sent := "sent: "
	if errors.Is(err, errUnsent) {
		sent = "not sent: "
	}
	for _, known := range []struct {
		err  error
		name string
	}{
		{distribution.ErrNoLease, "no lease on the primary"}, {distribution.ErrDatabaseUnavailable, "the database has left"},
		{quota.ErrAdmissionEnded, "the slice of the quota ended"}, {dbconn.ErrQuiet, "no answer yet, sent a second time"},
		{dbconn.ErrUnbound, "the database is held as down"}, {dbconn.ErrEnding, "the process ends"},
		{connpool.ErrDeadline, "deadline"}, {connpool.ErrSilent, "silent"}, {connpool.ErrBroken, "connection broken"},
		{connpool.ErrRejected, "rejected"},
	} {
		if errors.Is(err, known.err) {
			return sent + known.name
		}
	}
	if err == nil {
		return ""
	}
	return sent + err.Error()
}

// record puts a statement that was not served into the failure log.
func (s *session) record(id string, a *lineprotocol.Answer) {
	t := &s.trace
	f := failurelog.Failure{
		ID: id, Route: s.database, Response: a.Code, Cause: t.cause, Duration: s.d.k.Clock.Now() - t.began, Attempts: t.attempts,
	}
	if f.Cause == "" {
		f.Cause = causeDatabase
	}
	if t.job != nil {
		f.Service, f.Tenant = t.job.route.Service, nameOf(t.job.tenant)
	}
	_, _, f.Revision, _ = s.d.control.Version()
	s.d.failures.Add(f)
}
