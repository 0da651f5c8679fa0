// Package gateway implements the HTTP gateway: it forwards client requests to services whose
// databases each run only a few requests at a time.
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

// ControlState is the part of the control state that the gateway reads.
type ControlState interface {
	Ready() bool
	Config() *routeconfig.Index
	Changed() <-chan struct{}
	Serving(service string) []discovery.Database
	MaySend(database string) error
	KeysKnown() bool
}

// Config holds the settings of a gateway.
type Config struct {
	ClientAddr  string
	Zone        string
	NetMbps     float64 // bandwidth of the machine's link; 0 if unknown
	GracePeriod func() kernel.Micros
}

// Gateway accepts client requests and forwards them to databases.
type Gateway struct {
	k        *kernel.Kernel
	cfg      Config
	control  ControlState
	conns    *httpconn.Pools
	balancer *loadbalance.Balancer
	health   *health.Monitor
	ring     *membership.Memberlist
	retries  *retrybudget.Budget
	quota    *quota.Client
	failures *failurelog.Log
	stalls   *kernel.StallDetector
	meter    *linkMeter
	memory   *memorybudget.Budget // for request bodies

	saturated    atomic.Bool
	draining     atomic.Bool
	drainExpired chan struct{} // closed when the drain period expires and pending waits are abandoned
	srv          *http.Server

	mu       sync.Mutex
	listener net.Listener
	clients  map[net.Conn]*clientState
}

// Services are the components of the process that a gateway depends on.
type Services struct {
	Control  ControlState
	Conns    *httpconn.Pools
	Balancer *loadbalance.Balancer
	Health   *health.Monitor
	Ring     *membership.Memberlist
	Retries  *retrybudget.Budget
	Quota    *quota.Client
	Failures *failurelog.Log
	Stalls   *kernel.StallDetector
	Memory   *memorybudget.Budget
}

// New returns a gateway.
func New(k *kernel.Kernel, cfg Config, services Services) *Gateway {
	t := &Gateway{
		k: k, cfg: cfg, control: services.Control, conns: services.Conns, balancer: services.Balancer, health: services.Health, ring: services.Ring,
		retries: services.Retries, quota: services.Quota, failures: services.Failures, stalls: services.Stalls, memory: services.Memory,
		clients: map[net.Conn]*clientState{}, drainExpired: make(chan struct{}), meter: newLinkMeter(k.Clock, cfg.NetMbps),
	}
	t.srv = &http.Server{
		Handler: t, MaxHeaderBytes: maxHeaderBytes, ConnState: t.trackState,
		ErrorLog: log.New(countingWriter{k.Counters.Counter("gateway.server_notes")}, "", 0),
	}
	return t
}

// countingWriter counts the HTTP server's log messages, which are about clients connecting and
// disconnecting, instead of printing them.
type countingWriter struct{ n *atomic.Int64 }

func (c countingWriter) Write(b []byte) (int, error) {
	c.n.Add(1)
	return len(b), nil
}

// maxHeaderBytes limits the size of a request header before the configured limit is checked.
const maxHeaderBytes = 256 << 10

// Ready reports whether clients should be sent to this gateway.
func (t *Gateway) Ready() bool {
	return !t.draining.Load() && t.control.Ready() && !t.saturated.Load()
}

// A gateway whose link utilization exceeds saturatedAbove reports not ready until utilization
// falls below saturatedBelow: clients are not distributed evenly, and other gateways may have
// capacity. It does so for maxSaturatedTime at most, since all gateways may be saturated alike.
const (
	saturatedAbove   = 0.9
	saturatedBelow   = 0.6
	maxSaturatedTime = 4 * kernel.Second
	// linkWaitLimit is the queueing delay at the link above which the least urgent requests are
	// refused.
	linkWaitLimit = 120 * kernel.Millisecond
)

// updateSaturation keeps saturated up to date.
func (t *Gateway) updateSaturation(ctx context.Context) {
	var lastSaturated kernel.Micros
	for kernel.Sleep(ctx, 100*kernel.Millisecond) {
		_, utilization := t.meter.load()
		now := t.k.Clock.Now()
		switch saturated := t.saturated.Load(); {
		case !saturated && utilization > saturatedAbove && now-lastSaturated > 2*maxSaturatedTime:
			lastSaturated = now
			t.saturated.Store(true)
			t.k.Log.Info("link saturated, reporting not ready", "use", utilization)
		case saturated && (utilization < saturatedBelow || now-lastSaturated > maxSaturatedTime):
			t.saturated.Store(false)
			t.k.Log.Info("link no longer saturated, reporting ready", "use", utilization)
		}
	}
}

// Serve accepts requests until ctx is done.
func (t *Gateway) Serve(ctx context.Context) error {
	ln, err := t.k.Net.Listen(t.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer context.AfterFunc(ctx, func() { t.srv.Close() })()
	t.mu.Lock()
	t.listener = ln
	t.mu.Unlock()
	go t.enforceClientTimeouts(ctx)
	go t.updateSaturation(ctx)
	if err := t.srv.Serve(clientListener{ln, t.meter}); err != nil && !errors.Is(err, http.ErrServerClosed) && !t.draining.Load() {
		return fmt.Errorf("gateway: %w", err)
	}
	<-ctx.Done()
	return nil
}

// connKey is the context key of a request's connection.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (t *Gateway) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	client := clientFromRequest(q)
	t.setBusy(client, true)
	defer t.setBusy(client, false)
	t.k.Counters.Add("gateway.requests", 1)
	h := w.Header()
	if t.draining.Load() {
		h.Set("Connection", "close")
	} else if _, idle := t.clientTimeouts(); idle > 2*kernel.Second {
		h.Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(idle/kernel.Second)-1, 10))
	}
	if t.saturated.Load() {
		h.Set("Connection", "close")
	}
	j, refused := t.newJob(w, q)
	defer j.memory.Release()
	defer j.watchDisconnect(client)()
	var reply *httpconn.Reply
	if refused == nil {
		reply, refused = j.serve()
	}
	j.checkAnsweredInTime()
	t.setResponding(client)
	if refused != nil {
		j.logFailure(strconv.Itoa(refused.status), refused.text)
		j.limitUnreadBody(w)
		t.writeRefusal(w, refused)
		return
	}
	if reply.Status >= http.StatusInternalServerError {
		j.logFailure(strconv.Itoa(reply.Status), causeDatabase)
	}
	if reply.Remainder != nil {
		client.writeUntil(time.Now().Add(j.remaining().Duration()))
		defer client.writeUntil(time.Time{})
	}
	t.forwardResponse(w, reply)
}

// hopByHop are the headers that apply to a single connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the headers that apply to a single connection only.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// forwardResponse forwards a database's response to the client.
func (t *Gateway) forwardResponse(w http.ResponseWriter, r *httpconn.Reply) {
	defer r.Close()
	h := w.Header()
	removeHopByHop(r.Header)
	for name, values := range r.Header {
		h[name] = values
	}
	if r.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // prevents net/http from guessing one
	}
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	} else if r.Remainder == nil {
		h.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if err == nil && r.Remainder != nil {
		_, err = io.Copy(w, r.Remainder)
	}
	if err != nil {
		t.k.Counters.Add("gateway.answers_cut", 1)
		panic(http.ErrAbortHandler) // the client must not take the response for complete
	}
}

// refusal is a response generated by the gateway itself.
type refusal struct {
	status     int
	text       string
	retryAfter kernel.Micros // value of Retry-After; 0 for none
}

func (t *Gateway) writeRefusal(w http.ResponseWriter, refused *refusal) {
	t.k.Counters.Add("gateway.answered_"+strconv.Itoa(refused.status), 1)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(refused.retryAfter)/float64(kernel.Second), 'f', -1, 64))
	}
	w.WriteHeader(refused.status)
	if _, err := io.WriteString(w, refused.text+"\n"); err != nil {
		t.k.Counters.Add("gateway.answers_cut", 1)
	}
}
