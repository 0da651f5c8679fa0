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

// causeDatabase is the cause of a failure that is a database's own answer.
const causeDatabase = "answer_of_database"

// note remembers an attempt that failed, for the failure log.
func (j *job) note(a *attempt, o loadbalance.Outcome, r *httpconn.Reply, err error) {
	if o == loadbalance.Served {
		return
	}
	result := ""
	switch {
	case errors.Is(err, httpconn.ErrUnsent):
		result = "not sent"
	case errors.Is(err, errClientGone):
		result = "sent: given up, the client has gone"
	case errors.Is(err, httpconn.ErrQuiet):
		result = "sent: no answer in time"
	case errors.Is(err, connpool.ErrSilent):
		result = "sent: silent"
	case errors.Is(err, httpconn.ErrMalformed):
		result = "sent: malformed answer"
	case err != nil:
		result = "sent: connection broken"
	case r.Header.Get(httpconn.NotRun) != "":
		result = "not run: " + strconv.Itoa(r.Status)
	default:
		result = "answered " + strconv.Itoa(r.Status)
	}
	j.failed = append(j.failed, failurelog.Attempt{Database: a.db.ID, After: j.now() - j.received, Result: result})
}

// record puts a request that was not served into the failure log.
func (j *job) record(answer, why string) {
	f := failurelog.Failure{
		ID: j.id, Route: j.in.Host, Service: j.service, Response: answer, Cause: strings.ReplaceAll(why, " ", "_"),
		Duration: j.now() - j.received, Revision: j.revision, Attempts: j.failed,
	}
	if j.route != nil {
		f.Route = j.route.Host + j.route.Prefix
	}
	if j.tenant != nil {
		f.Tenant = j.tenant.Name
	}
	j.t.failures.Add(f)
}
