package gateway

import (
	"errors"
	"strconv"
	"strings"

	"indigowalk/internal/connpool"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/loadbalance"
)

// causeDatabase is the cause of a failure whose response came from a database itself.
const causeDatabase = "answer_of_database"

// recordAttempt records a failed attempt for the failure log.
func (j *job) recordAttempt(a *attempt, outcome loadbalance.Outcome, reply *httpconn.Reply, err error) {
	if outcome == loadbalance.Served {
		return
	}
	result := ""
	switch {
	case errors.Is(err, httpconn.ErrUnsent):
		result = "not sent"
	case errors.Is(err, errClientDisconnected):
		result = "sent: given up, the client has gone"
	case errors.Is(err, httpconn.ErrNoResponse):
		result = "sent: no answer in time"
	case errors.Is(err, connpool.ErrUnresponsive):
		result = "sent: silent"
	case errors.Is(err, httpconn.ErrMalformed):
		result = "sent: malformed answer"
	case err != nil:
		result = "sent: connection broken"
	case reply.Header.Get(httpconn.NotRun) != "":
		result = "not run: " + strconv.Itoa(reply.Status)
	default:
		result = "answered " + strconv.Itoa(reply.Status)
	}
	j.failedAttempts = append(j.failedAttempts, failurelog.Attempt{Database: a.db.ID, After: j.now() - j.received, Result: result})
}

// logFailure adds a request that was not served to the failure log.
func (j *job) logFailure(response, cause string) {
	failure := failurelog.Failure{
		ID: j.id, Route: j.incoming.Host, Service: j.service, Response: response, Cause: strings.ReplaceAll(cause, " ", "_"),
		Duration: j.now() - j.received, Revision: j.revision, Attempts: j.failedAttempts,
	}
	if j.route != nil {
		failure.Route = j.route.Host + j.route.Prefix
	}
	if j.tenant != nil {
		failure.Tenant = j.tenant.Name
	}
	j.gateway.failures.Add(failure)
}
