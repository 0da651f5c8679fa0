// Package gateway is the gateway: requests in front of services whose
// databases each run a few at a time.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/loadbalance"
	"indigowalk/internal/membership"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/quota"
	"indigowalk/internal/retrybudget"
	"indigowalk/internal/routeconfig"
)

// ControlState is what the gateway needs of the control state.
type ControlState interface {
	Ready() bool
	Config() *routeconfig.Index
	Changed() <-chan struct{}
	Serving(service string) []discovery.Database
	MaySend(database string) error
	KeysKnown() bool
}

// Config is what a gateway is built from.
type Config struct {
	ClientAddr string
	Zone       string
	NetMbps    float64 // of the machine's link, 0 if that is not known
	Grace      func() kernel.Micros
}

// Gateway takes requests and has databases answer them.
type Gateway struct {
	k        *kernel.Kernel
	cfg      Config
	control  ControlState
	conns    *httpconn.Pools
	balancer *loadbalance.Balancer
	health   *health.Monitor
	ring     *membership.Ring
	again    *retrybudget.Budget
	quota    *quota.Client
	failures *failurelog.Log
	stalls   *kernel.Stalls
	meter    *linkMeter
	memory   *memorybudget.Budget // of requests' bodies

	crowded atomic.Bool
	leaving atomic.Bool
	ending  chan struct{} // closes when whatever is still waited for is given up
	srv     *http.Server

	mu       sync.Mutex
	listener net.Listener
	clients  map[net.Conn]*clientState
}

// Services are the parts of the process that a gateway works with.
type Services struct {
	Control  ControlState
	Conns    *httpconn.Pools
	Balancer *loadbalance.Balancer
	Health   *health.Monitor
	Ring     *membership.Ring
	Retries  *retrybudget.Budget
	Quota    *quota.Client
	Failures *failurelog.Log
	Stalls   *kernel.Stalls
	Memory   *memorybudget.Budget
}

// New returns a gateway.
func New(k *kernel.Kernel, cfg Config, with Services) *Gateway {
	t := &Gateway{
		k: k, cfg: cfg, control: with.Control, conns: with.Conns, balancer: with.Balancer, health: with.Health, ring: with.Ring,
		again: with.Retries, quota: with.Quota, failures: with.Failures, stalls: with.Stalls, memory: with.Memory,
		clients: map[net.Conn]*clientState{}, ending: make(chan struct{}), meter: newLinkMeter(k.Clock, cfg.NetMbps),
	}
	t.srv = &http.Server{
		Handler: t, MaxHeaderBytes: maxHeader, ConnState: t.noteState,
		ErrorLog: log.New(counted{k.Counters.Of("gateway.server_notes")}, "", 0),
	}
	return t
}

// counted counts what the server would log: clients that come and go.
type counted struct{ n *atomic.Int64 }

func (c counted) Write(b []byte) (int, error) {
	c.n.Add(1)
	return len(b), nil
}

// maxHeader bounds a request's head before the configuration's own bound is
// looked at.
const maxHeader = 256 << 10

// Ready tells whether clients should be sent here.
func (t *Gateway) Ready() bool {
	return !t.leaving.Load() && t.control.Ready() && !t.crowded.Load()
}

// A gateway whose link is in use by more than crowdedFrom is not ready, until
// it is by less than crowdedTo: clients are not spread evenly, and others have
// room. That lasts for a while at most, since all may be crowded alike.
const (
	crowdedFrom = 0.9
	crowdedTo   = 0.6
	crowdedFor  = 4 * kernel.Second
	// fullWait is the wait at the link from which the least urgent requests are
	// refused.
	fullWait = 120 * kernel.Millisecond
)

// watchLink keeps crowded up to date.
func (t *Gateway) watchLink(ctx context.Context) {
	var since kernel.Micros
	for kernel.Sleep(ctx, 100*kernel.Millisecond) {
		_, use := t.meter.load()
		now := t.k.Clock.Now()
		switch crowded := t.crowded.Load(); {
		case !crowded && use > crowdedFrom && now-since > 2*crowdedFor:
			since = now
			t.crowded.Store(true)
			t.k.Log.Info("link full, not ready", "use", use)
		case crowded && (use < crowdedTo || now-since > crowdedFor):
			t.crowded.Store(false)
			t.k.Log.Info("link has room, ready", "use", use)
		}
	}
}

// Serve takes requests until ctx ends.
func (t *Gateway) Serve(ctx context.Context) error {
	ln, err := t.k.Net.Listen(t.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer context.AfterFunc(ctx, func() { t.srv.Close() })()
	t.mu.Lock()
	t.listener = ln
	t.mu.Unlock()
	go t.watchClients(ctx)
	go t.watchLink(ctx)
	if err := t.srv.Serve(clientListener{ln, t.meter}); err != nil && !errors.Is(err, http.ErrServerClosed) && !t.leaving.Load() {
		return fmt.Errorf("gateway: %w", err)
	}
	<-ctx.Done()
	return nil
}

// connKey finds a request's connection in its context.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (t *Gateway) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	client := clientOf(q)
	t.inHand(client, true)
	defer t.inHand(client, false)
	t.k.Counters.Add("gateway.requests", 1)
	h := w.Header()
	if t.leaving.Load() {
		h.Set("Connection", "close")
	} else if _, idle := t.limits(); idle > 2*kernel.Second {
		h.Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(idle/kernel.Second)-1, 10))
	}
	if t.crowded.Load() {
		h.Set("Connection", "close")
	}
	j, no := t.newJob(w, q)
	defer j.memory.Release()
	defer j.watchClient(client)()
	var reply *httpconn.Reply
	if no == nil {
		reply, no = j.serve()
	}
	j.watchAnswer()
	t.inAnswer(client)
	if no != nil {
		j.record(strconv.Itoa(no.status), no.text)
		j.leaveBody(w)
		t.refuse(w, no)
		return
	}
	if reply.Status >= http.StatusInternalServerError {
		j.record(strconv.Itoa(reply.Status), causeDatabase)
	}
	if reply.Rest != nil {
		client.writeUntil(time.Now().Add(j.left().Duration()))
		defer client.writeUntil(time.Time{})
	}
	t.pass(w, reply)
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// dropHops removes what concerns one connection only.
func dropHops(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// pass hands a database's answer on.
func (t *Gateway) pass(w http.ResponseWriter, r *httpconn.Reply) {
	defer r.Close()
	h := w.Header()
	dropHops(r.Header)
	for name, values := range r.Header {
		h[name] = values
	}
	if r.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // or one would be guessed
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	} else if r.Rest == nil {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if err == nil && r.Rest != nil {
		_, err = io.Copy(w, r.Rest)
	}
	if err != nil {
		t.k.Counters.Add("gateway.answers_cut", 1)
		panic(http.ErrAbortHandler) // the client must not take it for whole
	}
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	text   string
	wait   kernel.Micros // when to come back
}

func (t *Gateway) refuse(w http.ResponseWriter, no *refusal) {
	t.k.Counters.Add("gateway.answered_"+strconv.Itoa(no.status), 1)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if no.wait > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(no.wait)/float64(kernel.Second), 'f', -1, 64))
	}
	w.WriteHeader(no.status)
	if _, err := io.WriteString(w, no.text+"\n"); err != nil {
		t.k.Counters.Add("gateway.answers_cut", 1)
	}
}
