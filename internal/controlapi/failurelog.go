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

func (r *responseRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

func (r *responseRecorder) Write(raw []byte) (int, error) {
	if r.status >= http.StatusBadRequest && json.Unmarshal(raw, &r.response) != nil {
		r.response.Err = "unreadable reason"
	}
	return r.ResponseWriter.Write(raw)
}

// recordFailures adds requests that failed to the failure log, with the method and path as the
// id and the caller as the route.
func (s *Server) recordFailures(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		startedAt := s.k.Clock.Now()
		recorder := &responseRecorder{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(recorder, request)
		if recorder.status < http.StatusBadRequest {
			return
		}
		s.failures.Add(failurelog.Failure{
			ID: request.Method + " " + request.URL.Path, Route: request.RemoteAddr, Response: strconv.Itoa(recorder.status),
			Cause: failureCause(recorder.status), Duration: s.k.Clock.Now() - startedAt,
			Attempts: []failurelog.Attempt{{Result: recorder.response.Err}},
		})
	})
}

// failureCause names an error status in the counters.
func failureCause(status int) string { return "call_answered_" + strconv.Itoa(status) }
