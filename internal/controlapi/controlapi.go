// Package controlapi is the control node's HTTP API, to which databases send their heartbeats
// and the operator the configuration. A control node that is not the control state's primary
// redirects callers to the primary, or to a member that may know it. A response is sent only
// within the term of the primary in which it was made.
package controlapi

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/settings"
)

// maxHeartbeat bounds the body of a heartbeat, in bytes.
const maxHeartbeatBytes = 16 << 10

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// bodyCopies is how many copies of a body are in memory: the raw bytes and the decoded
	// value.
	bodyCopies = 2
)

// callTimeout bounds the processing of one request: callers time out after a second.
const callTimeout = 900 * time.Millisecond

// shutdownGrace is how long shutdown waits for requests in progress.
const shutdownGrace = 200 * time.Millisecond

// Server serves the HTTP API at the control address.
type Server struct {
	k         *kernel.Kernel
	addr      string
	replica   *controlstate.Replica
	databases *discovery.Registry
	config    *routeconfig.Registry

	failures *failurelog.Log
	memory   *memorybudget.Budget
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "controlapi", Rank: 80, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			current := kernel.Need[*settings.Live](k).Now()
			if current.ControlAddr == "" {
				return &settings.Error{Key: "listen.control_addr", Reason: "a control node needs it"}
			}
			server := New(k, current.ControlAddr, kernel.Need[*controlstate.Replica](k),
				kernel.Need[*discovery.Registry](k), kernel.Need[*routeconfig.Registry](k))
			server.memory = kernel.Need[*memorybudget.Budget](k)
			server.failures = kernel.Need[*failurelog.Log](k)
			k.Supervise("controlapi", server.Serve)
			return nil
		},
	})
}

// New returns a server that will listen at addr.
func New(k *kernel.Kernel, addr string, replica *controlstate.Replica, databases *discovery.Registry, config *routeconfig.Registry) *Server {
	return &Server{k: k, addr: addr, replica: replica, databases: databases, config: config}
}

// Serve serves requests until ctx ends.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := s.k.Net.Listen(s.addr)
	if err != nil {
		return fmt.Errorf("controlapi: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Servers.Heartbeat/{id}", s.onPrimary(s.heartbeat))
	mux.HandleFunc("POST /Servers.Deregister/{id}", s.onPrimary(s.deregister))
	mux.HandleFunc("POST /Conf.Replace", s.onPrimary(s.changeConfig(s.config.Replace)))
	mux.HandleFunc("POST /Conf.Update", s.onPrimary(s.changeConfig(s.config.Update)))
	mux.HandleFunc("GET /Conf.Fetch", s.onPrimary(s.fetch))
	httpServer := &http.Server{Handler: s.recordFailures(mux), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	closed := make(chan struct{})
	defer context.AfterFunc(ctx, func() {
		defer close(closed)
		s.close(httpServer)
	})()
	if err := httpServer.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("controlapi: %w", err)
	}
	if ctx.Err() != nil {
		<-closed
	}
	return nil
}

// close shuts the server down once the requests in progress have their responses, or after
// shutdownGrace: callers retry a change whose connection is closed.
func (s *Server) close(httpServer *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := httpServer.Shutdown(ctx); err != nil {
		s.k.Counters.Add("controlapi.cut_at_end", 1)
		httpServer.Close()
	}
}

// onPrimary calls the handler if this control node is the control state's primary, and redirects
// the caller otherwise: the caller may be able to reach a node that this one can't.
func (s *Server) onPrimary(handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		if term, err := s.replica.Term(); err == nil {
			// The response is sent only within the term in which it was made: a process
			// that was frozen in the meantime must not respond for a term that has
			// ended, even if it has won a later one since.
			buffered := &bufferedResponse{status: http.StatusOK, header: http.Header{}}
			handler(buffered, request)
			if !term.Valid() {
				s.k.Counters.Add("controlapi.term_ended", 1)
				s.writeError(w, http.StatusServiceUnavailable, "the term ended meanwhile")
				return
			}
			buffered.flush(w, s.k)
			return
		}
		primary := s.controlAddress(s.replica.Referral())
		if primary == "" {
			s.writeError(w, http.StatusServiceUnavailable, "no primary is known now")
			return
		}
		s.k.Counters.Add("controlapi.redirected", 1)
		w.Header().Set("Location", "http://"+primary+request.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

// bufferedResponse is a response that has not been sent yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (b *bufferedResponse) Header() http.Header           { return b.header }
func (b *bufferedResponse) WriteHeader(status int)        { b.status = status }
func (b *bufferedResponse) Write(raw []byte) (int, error) { return b.body.Write(raw) }

func (b *bufferedResponse) flush(w http.ResponseWriter, k *kernel.Kernel) {
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.status)
	if _, err := w.Write(b.body.Bytes()); err != nil {
		k.Counters.Add("controlapi.unsent", 1)
	}
}

// controlAddress returns the control address of the control node with the given internal
// address. The control port is the same on all machines.
func (s *Server) controlAddress(internal string) string {
	host, _, err := net.SplitHostPort(internal)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(s.addr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// errorResponse is the JSON body of an error response.
type errorResponse struct {
	Err    string   `json:"err"`
	Fields []string `json:"fields,omitempty"`
}

func (s *Server) writeError(w http.ResponseWriter, status int, reason string, fields ...string) {
	s.k.Counters.Add("controlapi.answered_"+strconv.Itoa(status), 1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(errorResponse{reason, fields}); err != nil {
		s.k.Counters.Add("controlapi.unsent", 1)
	}
}

// readBody reads a body of at most limit bytes and charges it to the memory budget. If it
// returns false, it has written the error response.
func (s *Server) readBody(w http.ResponseWriter, request *http.Request, reservation *memorybudget.Reservation, limit int64) ([]byte, bool) {
	raw, err := reservation.ReadAll(http.MaxBytesReader(w, request.Body, limit), bodyCopies)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memorybudget.ErrFull):
		s.k.Counters.Add("controlapi.memory_full", 1)
		s.writeError(w, http.StatusServiceUnavailable, err.Error())
		return nil, false
	case errors.As(err, &tooLarge):
		s.writeError(w, http.StatusRequestEntityTooLarge, "body over "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, false
	case err != nil:
		// A body that did not arrive in full says nothing about the change: it may have
		// been accepted before, so this must not be a status that means rejection.
		s.k.Counters.Add("controlapi.cut_short", 1)
		s.writeError(w, http.StatusRequestTimeout, "body: is not there in full", "body")
		return nil, false
	}
	return raw, true
}

func (s *Server) heartbeat(w http.ResponseWriter, request *http.Request) {
	reservation := s.memory.NewReservation(maxHeartbeatBytes * bodyCopies)
	defer reservation.Release()
	raw, ok := s.readBody(w, request, reservation, maxHeartbeatBytes)
	if !ok {
		return
	}
	var heartbeat discovery.Beat
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		s.writeError(w, http.StatusBadRequest, "beat: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	err := s.databases.Heartbeat(ctx, request.PathValue("id"), heartbeat)
	switch {
	case errors.Is(err, discovery.ErrMalformed):
		s.writeError(w, http.StatusBadRequest, "beat: svc and address are needed")
	case err != nil:
		s.writeError(w, http.StatusServiceUnavailable, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"beat_addr":"`+s.addr+`"}`)
	}
}

func (s *Server) deregister(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	if err := s.databases.Deregister(ctx, request.PathValue("id")); err != nil {
		s.writeError(w, http.StatusServiceUnavailable, err.Error())
	}
}

// changeConfig returns the handler for one kind of configuration change, a complete
// configuration or a change of named items. The handler passes the change to apply.
func (s *Server) changeConfig(apply func(ctx context.Context, base int64, raw []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		reservation := s.memory.NewReservation(0)
		defer reservation.Release()
		raw, ok := s.readBody(w, request, reservation, routeconfig.MaxConfigBytes)
		if !ok {
			return
		}
		base, err := strconv.ParseInt(strings.TrimSpace(request.Header.Get("X-Indigowalk-Base-Version")), 10, 64)
		if err != nil || base < 0 {
			s.writeError(w, http.StatusBadRequest, "X-Indigowalk-Base-Version is not a version", "X-Indigowalk-Base-Version")
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
		defer cancel()
		err = apply(ctx, base, raw)
		var invalid *routeconfig.ValidationError
		switch {
		case errors.As(err, &invalid):
			fields := make([]string, 0, len(invalid.Errors))
			for _, fieldError := range invalid.Errors {
				fields = append(fields, fieldError.Error())
			}
			s.writeError(w, http.StatusBadRequest, "invalid configuration", fields...)
		case errors.Is(err, routeconfig.ErrVersionConflict):
			s.writeError(w, http.StatusPreconditionFailed, err.Error())
		case err != nil:
			s.writeError(w, http.StatusServiceUnavailable, err.Error())
		}
	}
}

func (s *Server) fetch(w http.ResponseWriter, _ *http.Request) {
	body, err := s.config.Fetch()
	switch {
	case err != nil:
		s.writeError(w, http.StatusServiceUnavailable, err.Error())
	case body == nil:
		s.writeError(w, http.StatusNotFound, "no configuration yet")
	default:
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(body); err != nil {
			s.k.Counters.Add("controlapi.unsent", 1)
		}
	}
}
