package controlapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"indigowalk/internal/failurelog"
)

// answerWriter passes an answer on and remembers what it was, if it is a refusal.
type answerWriter struct {
	http.ResponseWriter
	status int
	reason problem
}

func (a *answerWriter) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

func (a *answerWriter) Write(raw []byte) (int, error) {
	if a.status >= http.StatusBadRequest && json.Unmarshal(raw, &a.reason) != nil {
		a.reason.Err = "unreadable reason"
	}
	return a.ResponseWriter.Write(raw)
}

// recordFailures puts calls that were not carried out into the failure log: the call
// as its id, and the caller as the route.
func (r *Server) recordFailures(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		began := r.k.Clock.Now()
		answer := &answerWriter{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(answer, q)
		if answer.status < http.StatusBadRequest {
			return
		}
		r.failures.Add(failurelog.Failure{
			ID: q.Method + " " + q.URL.Path, Route: q.RemoteAddr, Answer: strconv.Itoa(answer.status),
			Cause: callCause(answer.status), Took: r.k.Clock.Now() - began,
			Attempts: []failurelog.Attempt{{Result: answer.reason.Err}},
		})
	})
}

// callCause names a refusal in the counters.
func callCause(status int) string { return "call_answered_" + strconv.Itoa(status) }
