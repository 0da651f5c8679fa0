// Package gateway implements the API gateway: an HTTP proxy that forwards client requests to services
// whose databases each run only a few requests at a time.
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
	ServiceDatabases(service string) []discovery.Database
	MaySend(database string) error
	APIKeysCurrent() bool
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
	pools    *httpconn.Pools
	balancer *loadbalance.Balancer
	health   *health.Monitor
	ring     *membership.Memberlist
	retries  *retrybudget.Budget
	quota    *quota.Client
	failures *failurelog.Log
	stalls   *kernel.StallDetector
	meter    *linkMeter
	memory   *memorybudget.Budget // for request bodies

	saturated    atomic.Bool // the gateway reports not ready because its link is saturated
	draining     atomic.Bool
	drainExpired chan struct{} // closed when the drain period expires; pending waits then end
	server       *http.Server

	mu       sync.Mutex
	listener net.Listener
	clients  map[net.Conn]*clientState
}

// Services are the components of the process that a gateway depends on.
type Services struct {
	Control  ControlState
	Pools    *httpconn.Pools
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
	g := &Gateway{
		k: k, cfg: cfg, control: services.Control, pools: services.Pools, balancer: services.Balancer, health: services.Health, ring: services.Ring,
		retries: services.Retries, quota: services.Quota, failures: services.Failures, stalls: services.Stalls, memory: services.Memory,
		clients: map[net.Conn]*clientState{}, drainExpired: make(chan struct{}), meter: newLinkMeter(k.Clock, cfg.NetMbps),
	}
	g.server = &http.Server{
		Handler: g, MaxHeaderBytes: maxHeaderBytes, ConnState: g.trackState,
		ErrorLog: log.New(countingWriter{k.Counters.Counter("gateway.server_notes")}, "", 0),
	}
	return g
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
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && g.control.Ready() && !g.saturated.Load()
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

// updateSaturation updates g.saturated from the link's utilization, until ctx is done.
func (g *Gateway) updateSaturation(ctx context.Context) {
	var lastSaturated kernel.Micros
	for kernel.Sleep(ctx, 100*kernel.Millisecond) {
		_, utilization := g.meter.load()
		now := g.k.Clock.Now()
		switch saturated := g.saturated.Load(); {
		case !saturated && utilization > saturatedAbove && now-lastSaturated > 2*maxSaturatedTime:
			lastSaturated = now
			g.saturated.Store(true)
			g.k.Log.Info("link saturated, reporting not ready", "use", utilization)
		case saturated && (utilization < saturatedBelow || now-lastSaturated > maxSaturatedTime):
			g.saturated.Store(false)
			g.k.Log.Info("link no longer saturated, reporting ready", "use", utilization)
		}
	}
}

// Serve accepts requests until ctx is done.
func (g *Gateway) Serve(ctx context.Context) error {
	ln, err := g.k.Net.Listen(g.cfg.ClientAddr)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer context.AfterFunc(ctx, func() { g.server.Close() })()
	g.mu.Lock()
	g.listener = ln
	g.mu.Unlock()
	go g.enforceClientTimeouts(ctx)
	go g.updateSaturation(ctx)
	if err := g.server.Serve(clientListener{ln, g.meter}); err != nil && !errors.Is(err, http.ErrServerClosed) && !g.draining.Load() {
		return fmt.Errorf("gateway: %w", err)
	}
	<-ctx.Done()
	return nil
}

// connKey is the context key of the client connection on which a request arrived.
type connKey struct{}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	client := clientFromRequest(request)
	g.setBusy(client, true)
	defer g.setBusy(client, false)
	g.k.Counters.Add("gateway.requests", 1)
	h := w.Header()
	if g.draining.Load() {
		h.Set("Connection", "close")
	} else if _, idle := g.clientTimeouts(); idle > 2*kernel.Second {
		h.Set("Keep-Alive", "timeout="+strconv.FormatInt(int64(idle/kernel.Second)-1, 10))
	}
	if g.saturated.Load() {
		h.Set("Connection", "close")
	}
	j, refused := g.newJob(w, request)
	defer j.memory.Release()
	defer j.watchDisconnect(client)()
	var reply *httpconn.Reply
	if refused == nil {
		reply, refused = j.serve()
	}
	j.checkAnsweredInTime()
	g.setResponding(client)
	if refused != nil {
		j.logFailure(strconv.Itoa(refused.status), refused.text)
		j.limitUnreadBody(w)
		g.writeRefusal(w, refused)
		return
	}
	if reply.Status >= http.StatusInternalServerError {
		j.logFailure(strconv.Itoa(reply.Status), causeDatabase)
	}
	if reply.Remainder != nil {
		client.writeUntil(time.Now().Add(j.remaining().Duration()))
		defer client.writeUntil(time.Time{})
	}
	g.forwardResponse(w, reply)
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
func (g *Gateway) forwardResponse(w http.ResponseWriter, reply *httpconn.Reply) {
	defer reply.Close()
	h := w.Header()
	removeHopByHop(reply.Header)
	for name, values := range reply.Header {
		h[name] = values
	}
	if reply.Header["Content-Type"] == nil {
		h["Content-Type"] = nil // prevents net/http from guessing one
	}
	if reply.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(reply.Length, 10))
	} else if reply.Remainder == nil {
		h.Set("Content-Length", strconv.Itoa(len(reply.Body)))
	}
	w.WriteHeader(reply.Status)
	_, err := w.Write(reply.Body)
	if err == nil && reply.Remainder != nil {
		_, err = io.Copy(w, reply.Remainder)
	}
	if err != nil {
		g.k.Counters.Add("gateway.answers_cut", 1)
		panic(http.ErrAbortHandler) // the client must not take the response for complete
	}
}

// refusal is a response generated by the gateway itself.
type refusal struct {
	status     int
	text       string
	retryAfter kernel.Micros // value of Retry-After; 0 for none
}

// writeRefusal writes the gateway's own response to the client.
func (g *Gateway) writeRefusal(w http.ResponseWriter, refused *refusal) {
	g.k.Counters.Add("gateway.answered_"+strconv.Itoa(refused.status), 1)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(refused.retryAfter)/float64(kernel.Second), 'f', -1, 64))
	}
	w.WriteHeader(refused.status)
	if _, err := io.WriteString(w, refused.text+"\n"); err != nil {
		g.k.Counters.Add("gateway.answers_cut", 1)
	}
}
