package controlapi

import (
	"encoding/json"
	"net/http"
	"strconv"

	"indigowalk/internal/failurelog"
)

// responseRecorder forwards a response and records its status and, for errors, its content.
type responseRecorder struct {
	http.ResponseWriter
	status   int
	response errorResponse
}

func (a *responseRecorder) WriteHeader(status int) {
	a.status = status
	a.ResponseWriter.WriteHeader(status)
}

func (a *responseRecorder) Write(raw []byte) (int, error) {
	if a.status >= http.StatusBadRequest && json.Unmarshal(raw, &a.response) != nil {
		a.response.Err = "unreadable reason"
	}
	return a.ResponseWriter.Write(raw)
}

// recordFailures adds requests that failed to the failure log, with the method and path as the
// id and the caller as the route.
func (r *Server) recordFailures(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		began := r.k.Clock.Now()
		recorder := &responseRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, request)
		if recorder.status < http.StatusBadRequest {
			return
		}
		r.failures.Add(failurelog.Failure{
			ID: request.Method + " " + request.URL.Path, Route: request.RemoteAddr, Response: strconv.Itoa(recorder.status),
			Cause: failureCause(recorder.status), Duration: r.k.Clock.Now() - began,
			Attempts: []failurelog.Attempt{{Result: recorder.response.Err}},
		})
	})
}

// failureCause names an error status in the counters.
func failureCause(status int) string { return "call_answered_" + strconv.Itoa(status) }
