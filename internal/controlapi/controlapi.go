// Package controlapi is the control node's HTTP side: databases send their beats
// here, the operator the configuration. Whoever is not the control state's primary
// sends callers there, or to a member who knows more. An answer leaves only in
// the primary's term in which it was made.
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

// maxBeat bounds a beat.
const maxBeat = 16 << 10

const (
	// maxHead bounds the head of a call.
	maxHead = 64 << 10
	// bodyCopies is how often a body lies in memory: as it came and as what it says.
	bodyCopies = 2
)

// callWait bounds the work on one call: callers give up after a second.
const callWait = 900 * time.Millisecond

// lastAnswers is how long the end of the process waits for calls that are being
// worked on.
const lastAnswers = 200 * time.Millisecond

// Server serves the control address.
type Server struct {
	k    *kernel.Kernel
	addr string
	v    *controlstate.Replica
	acc  *discovery.Registry
	cat  *routeconfig.Registry

	failures *failurelog.Log
	memory   *memorybudget.Budget
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "controlapi", Rank: 80, Roles: []string{"control"},
		Build: func(k *kernel.Kernel) error {
			s := kernel.Need[*settings.Live](k).Now()
			if s.ControlAddr == "" {
				return &settings.Error{Key: "listen.control_addr", Reason: "a control node needs it"}
			}
			r := New(k, s.ControlAddr, kernel.Need[*controlstate.Replica](k),
				kernel.Need[*discovery.Registry](k), kernel.Need[*routeconfig.Registry](k))
			r.memory = kernel.Need[*memorybudget.Budget](k)
			r.failures = kernel.Need[*failurelog.Log](k)
			k.Supervise("controlapi", r.Serve)
			return nil
		},
	})
}

// New returns a control API that will listen at addr.
func New(k *kernel.Kernel, addr string, v *controlstate.Replica, acc *discovery.Registry, cat *routeconfig.Registry) *Server {
	return &Server{k: k, addr: addr, v: v, acc: acc, cat: cat}
}

// Serve answers until ctx ends.
func (r *Server) Serve(ctx context.Context) error {
	ln, err := r.k.Net.Listen(r.addr)
	if err != nil {
		return fmt.Errorf("controlapi: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /Servers.Heartbeat/{id}", r.primary(r.heartbeat))
	mux.HandleFunc("POST /Servers.Deregister/{id}", r.primary(r.deregister))
	mux.HandleFunc("POST /Conf.Replace", r.primary(r.change(r.cat.Replace)))
	mux.HandleFunc("POST /Conf.Update", r.primary(r.change(r.cat.Update)))
	mux.HandleFunc("GET /Conf.Fetch", r.primary(r.fetch))
	srv := &http.Server{Handler: r.recordFailures(mux), MaxHeaderBytes: maxHead, ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	closed := make(chan struct{})
	defer context.AfterFunc(ctx, func() {
		defer close(closed)
		r.close(srv)
	})()
	if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("controlapi: %w", err)
	}
	if ctx.Err() != nil {
		<-closed
	}
	return nil
}

// close ends the server once the calls that are being worked on have their answers,
// within a moment: an order that is cut off is asked for again.
func (r *Server) close(srv *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := srv.Shutdown(ctx); err != nil {
		r.k.Counters.Add("controlapi.cut_at_end", 1)
		srv.Close()
	}
}

// primary lets the call through on the control state's primary, and sends the caller on
// from elsewhere: a caller may be able to reach what this control node can't.
func (r *Server) primary(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if term, err := r.v.Term(); err == nil {
			// The answer leaves only in the term in which it was made: a process
			// that was frozen meanwhile must not speak for one that is over, also
			// if it has won another since.
			held := &heldAnswer{status: http.StatusOK, header: http.Header{}}
			h(held, q)
			if !term.Valid() {
				r.k.Counters.Add("controlapi.term_ended", 1)
				r.fail(w, http.StatusServiceUnavailable, "the term ended meanwhile")
				return
			}
			held.send(w, r.k)
			return
		}
		to := r.control(r.v.Referral())
		if to == "" {
			r.fail(w, http.StatusServiceUnavailable, "no primary is known now")
			return
		}
		r.k.Counters.Add("controlapi.redirected", 1)
		w.Header().Set("Location", "http://"+to+q.URL.RequestURI())
		w.WriteHeader(http.StatusTemporaryRedirect)
	}
}

// heldAnswer is an answer that is not on its way yet.
type heldAnswer struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (a *heldAnswer) Header() http.Header           { return a.header }
func (a *heldAnswer) WriteHeader(status int)        { a.status = status }
func (a *heldAnswer) Write(raw []byte) (int, error) { return a.body.Write(raw) }

func (a *heldAnswer) send(w http.ResponseWriter, k *kernel.Kernel) {
	maps.Copy(w.Header(), a.header)
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body.Bytes()); err != nil {
		k.Counters.Add("controlapi.unsent", 1)
	}
}

// control is the control address of the control node at an inner address: the
// ports are the same on all machines.
func (r *Server) control(inner string) string {
	host, _, err := net.SplitHostPort(inner)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(r.addr)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

type problem struct {
	Err    string   `json:"err"`
	Fields []string `json:"fields,omitempty"`
}

func (r *Server) fail(w http.ResponseWriter, status int, reason string, fields ...string) {
	r.k.Counters.Add("controlapi.answered_"+strconv.Itoa(status), 1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(problem{reason, fields}); err != nil {
		r.k.Counters.Add("controlapi.unsent", 1)
	}
}

// body reads at most limit bytes; it has answered if it returns false. What it has read
// is held.
func (r *Server) body(w http.ResponseWriter, q *http.Request, holding *memorybudget.Holding, limit int64) ([]byte, bool) {
	raw, err := holding.ReadAll(http.MaxBytesReader(w, q.Body, limit), bodyCopies)
	var long *http.MaxBytesError
	switch {
	case errors.Is(err, memorybudget.ErrFull):
		r.k.Counters.Add("controlapi.memory_full", 1)
		r.fail(w, http.StatusServiceUnavailable, err.Error())
		return nil, false
	case errors.As(err, &long):
		r.fail(w, http.StatusRequestEntityTooLarge, "body over "+strconv.FormatInt(limit, 10)+" bytes")
		return nil, false
	case err != nil:
		// What never arrived says nothing of the order: it may be one that was
		// taken, so this is no refusal of it.
		r.k.Counters.Add("controlapi.cut_short", 1)
		r.fail(w, http.StatusRequestTimeout, "body: is not there in full", "body")
		return nil, false
	}
	return raw, true
}

func (r *Server) heartbeat(w http.ResponseWriter, q *http.Request) {
	holding := r.memory.Hold(maxBeat * bodyCopies)
	defer holding.Release()
	raw, ok := r.body(w, q, holding, maxBeat)
	if !ok {
		return
	}
	var b discovery.Beat
	if err := json.Unmarshal(raw, &b); err != nil {
		r.fail(w, http.StatusBadRequest, "beat: "+err.Error())
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), callWait)
	defer cancel()
	err := r.acc.Heartbeat(ctx, q.PathValue("id"), b)
	switch {
	case errors.Is(err, discovery.ErrMalformed):
		r.fail(w, http.StatusBadRequest, "beat: svc and address are needed")
	case err != nil:
		r.fail(w, http.StatusServiceUnavailable, err.Error())
	default:
		w.Header().Set("Content-Type", "application/json")
		io.WriteString(w, `{"beat_addr":"`+r.addr+`"}`)
	}
}

func (r *Server) deregister(w http.ResponseWriter, q *http.Request) {
	ctx, cancel := context.WithTimeout(q.Context(), callWait)
	defer cancel()
	if err := r.acc.Deregister(ctx, q.PathValue("id")); err != nil {
		r.fail(w, http.StatusServiceUnavailable, err.Error())
	}
}

// change takes a whole configuration, or a change of named items.
func (r *Server) change(take func(ctx context.Context, base int64, raw []byte) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		holding := r.memory.Hold(0)
		defer holding.Release()
		raw, ok := r.body(w, q, holding, routeconfig.MaxBody)
		if !ok {
			return
		}
		base, err := strconv.ParseInt(strings.TrimSpace(q.Header.Get("X-Indigowalk-Base-Version")), 10, 64)
		if err != nil || base < 0 {
			r.fail(w, http.StatusBadRequest, "X-Indigowalk-Base-Version is not a version", "X-Indigowalk-Base-Version")
			return
		}
		ctx, cancel := context.WithTimeout(q.Context(), callWait)
		defer cancel()
		err = take(ctx, base, raw)
		var invalid *routeconfig.Invalid
		switch {
		case errors.As(err, &invalid):
			fields := make([]string, 0, len(invalid.Faults))
			for _, f := range invalid.Faults {
				fields = append(fields, f.Error())
			}
			r.fail(w, http.StatusBadRequest, "invalid configuration", fields...)
		case errors.Is(err, routeconfig.ErrOtherVersion):
			r.fail(w, http.StatusPreconditionFailed, err.Error())
		case err != nil:
			r.fail(w, http.StatusServiceUnavailable, err.Error())
		}
	}
}

func (r *Server) fetch(w http.ResponseWriter, _ *http.Request) {
	body, err := r.cat.Fetch()
	switch {
	case err != nil:
		r.fail(w, http.StatusServiceUnavailable, err.Error())
	case body == nil:
		r.fail(w, http.StatusNotFound, "no configuration yet")
	default:
		w.Header().Set("Content-Type", "application/json")
		if _, err := w.Write(body); err != nil {
			r.k.Counters.Add("controlapi.unsent", 1)
		}
	}
}
