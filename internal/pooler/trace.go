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

// Causes of error responses, for the failure log, besides those that readrouting determines.
const (
	causeMalformed        = "malformed"
	causeNoMemory         = "no_memory_for_message"
	causeNoRoute          = "no_route"
	causeNotReady         = "no_configuration_yet"
	causeDenied           = "key_unknown"
	causeKeysStale        = "keys_not_known_here"
	causeQuota            = "over_quota"
	causeQueueFull        = "queue_full"
	causeNoConnection     = "no_connection_in_time"
	causeShutdown         = "process_ends"
	causeTriesExhausted   = "tries_used_up"
	causeNoResponse       = "unanswered"
	causeDeadline         = "deadline"
	causeLeaderChanged    = "lead_moved_meanwhile"
	causeTransactionEnded = "transaction_ended"
	causeDatabaseError    = "answer_of_database"
)

// trace collects what the failure log records about the statement that a session is processing: its
// cause of failure and its failed attempts.
type trace struct {
	started  kernel.Micros
	job      *job
	cause    string
	attempts []failurelog.Attempt
}

// reset starts the trace of the next statement.
func (t *trace) reset(now kernel.Micros) {
	*t = trace{started: now, attempts: t.attempts[:0]}
}

// setCause sets the cause of the statement's failure, replacing any earlier one.
func (t *trace) setCause(cause string) { t.cause = cause }

// addAttempt records a failed attempt: an error or, if err is nil, a database's error response.
func (t *trace) addAttempt(database string, now kernel.Micros, err error, answer *lineprotocol.Answer) {
	result := describeError(err)
	if err == nil {
		result = answer.Code
	}
	t.attempts = append(t.attempts, failurelog.Attempt{Database: database, After: now - t.started, Result: result})
}

// describeError returns the text for the failure log: whether the statement was sent, and why the
// attempt got no response.
func describeError(err error) string {
	sent := "sent: "
	if errors.Is(err, errNotSent) {
		sent = "not sent: "
	}
	for _, known := range []struct {
		err  error
		name string
	}{
		{distribution.ErrNoLease, "no lease on the primary"}, {distribution.ErrDatabaseUnavailable, "the database has left"},
		{quota.ErrAdmissionEnded, "the slice of the quota ended"}, {dbconn.ErrNoAnswerYet, "no answer yet, sent a second time"},
		{dbconn.ErrMarkedDown, "the database is held as down"}, {dbconn.ErrShuttingDown, "the process ends"},
		{connpool.ErrDeadline, "deadline"}, {connpool.ErrUnresponsive, "silent"}, {connpool.ErrBroken, "connection broken"},
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

// recordFailure adds a statement that got an error response to the failure log.
func (s *session) recordFailure(id string, answer *lineprotocol.Answer) {
	t := &s.trace
	failure := failurelog.Failure{
		ID: id, Route: s.database, Response: answer.Code, Cause: t.cause, Duration: s.pooler.k.Clock.Now() - t.started, Attempts: t.attempts,
	}
	if failure.Cause == "" {
		failure.Cause = causeDatabaseError
	}
	if t.job != nil {
		failure.Service, failure.Tenant = t.job.route.Service, nameFor(t.job.tenant)
	}
	_, _, failure.Revision, _ = s.pooler.control.Version()
	s.pooler.failures.Add(failure)
}
