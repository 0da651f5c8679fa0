package gateway

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/discovery"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/loadbalance"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
)

const (
	// maxBufferedBody is the largest body that is buffered, so that it can be sent again.
	maxBufferedBody = 64 << 10
	// databaseWaitShare is the fraction of its latency target for which a request waits for a
	// database; after that the client gets a Retry-After.
	databaseWaitShare = 0.2
	// borrowTimeout is how long to wait for a connection to one database before trying another.
	borrowTimeout = 40 * kernel.Millisecond
	// retryAfterBase is the minimum Retry-After of a refusal. Up to half as much is added at random.
	retryAfterBase = 150 * kernel.Millisecond
	// configWait is how long a request waits for the configuration on a node that has just
	// started; noConfigRetryAfter is the Retry-After if that is not long enough.
	configWait         = 80 * kernel.Millisecond
	noConfigRetryAfter = kernel.Second
	// returnMargin is the part of the deadline reserved for returning the response.
	returnMargin = 5 * kernel.Millisecond
	// A request is hedged, that is, also sent to a second database, once its response has taken
	// hedgeLatencyFactor times the typical latency, or the fraction hedgeTargetShare of the
	// latency target, whichever is less.
	hedgeLatencyFactor = 2.5
	hedgeTargetShare   = 0.55
	// hedgeBudgetReserve is the fraction of the retry budget that hedging leaves to retries of
	// requests that got no response.
	hedgeBudgetReserve = 0.5
)

// job is the processing of one client request.
type job struct {
	gateway        *Gateway
	incoming       *http.Request
	target         *url.URL
	id             string
	header         http.Header
	memory         *memorybudget.Reservation // memory reserved for the body
	body           []byte
	streamed       *limitRecorder // the rest of a body that is too large to buffer
	route          *routeconfig.Route
	tenant         *routeconfig.PublishedTenant // nil if there is none
	permit         *quota.Permit
	priority       int // lower values are more urgent
	service        string
	received       kernel.Micros
	deadline       kernel.Micros
	waitUntil      kernel.Micros // until when to wait for a database
	attempts       int           // how many times the request was sent to a database
	excluded       []string
	revision       int64 // of the configuration that the request is served with
	failedAttempts []failurelog.Attempt
	// mayHaveRun is set if a database may have run the request already.
	mayHaveRun   bool
	disconnected <-chan struct{} // closed when the client closes its connection
}

func (j *job) now() kernel.Micros { return j.gateway.k.Clock.Now() }

func (j *job) remaining() kernel.Micros { return j.deadline - j.now() }

func (j *job) idempotent() bool { return j.route.Type == routeconfig.Idempotent }

// upstreamRequest builds the request that is sent to the database with the given ID.
func (j *job) upstreamRequest(id string) *http.Request {
	h := j.header.Clone()
	h.Set(httpconn.DeadlineMs, strconv.FormatInt(max(1, (j.remaining()-returnMargin).Millis()), 10))
	h.Set(httpconn.Target, id)
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // prevents net/http from adding its own
	}
	request := &http.Request{Method: j.incoming.Method, URL: j.target, Host: j.incoming.Host, Header: h, ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case j.streamed != nil:
		request.Body, request.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(j.body), j.streamed)), j.incoming.ContentLength
	case len(j.body) > 0:
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(j.body)), int64(len(j.body))
	}
	return request
}

// unavailable returns the response to a request that has not run and will not run.
func (j *job) unavailable(text string) *refusal {
	return &refusal{http.StatusServiceUnavailable, text, retryAfterBase + rand.N(retryAfterBase/2)}
}

// outcomeUnknown returns the response to a request that a database may have run.
func (j *job) outcomeUnknown() *refusal {
	if j.streamed != nil && j.streamed.tooLong {
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body too long"}
	}
	if j.remaining() <= 0 {
		return &refusal{status: http.StatusGatewayTimeout, text: "no answer in time"}
	}
	return &refusal{status: http.StatusBadGateway, text: "no whole answer"}
}

// disconnectedRefusal returns the response to a request that was abandoned because its client
// disconnected. A client that has closed only its sending side still receives it.
func (j *job) disconnectedRefusal(possiblyRun bool) *refusal {
	if possiblyRun {
		return j.outcomeUnknown()
	}
	return j.unavailable("the client has gone")
}

// attempt is one attempt to get a response to the request from a database.
type attempt struct {
	db         discovery.Database
	conn       *httpconn.Conn
	generation int64
	startedAt  kernel.Micros
	result     <-chan httpconn.Result
}

// serve obtains a response from a database, trying others if the first does not respond.
func (j *job) serve() (*httpconn.Reply, *refusal) {
	defer j.permit.Release()
	a, refused := j.firstAttempt()
	if refused != nil {
		return nil, refused
	}
	possiblyRun := false // whether a database may have run the request
	for {
		reply, hedge, err := j.awaitOrHedge(a)
		if hedge {
			// The first attempt continues; the first usable response to either is returned.
			if another, ok := j.anotherAttempt(hedgeBudgetReserve); ok {
				a, reply, err = j.race(a, another)
			} else {
				reply, err = j.awaitResult(a, j.remaining())
			}
		}
		outcome, verdict := j.classify(reply, err)
		j.recordAttempt(a, outcome, reply, err)
		j.finish(a, outcome, reply, err)
		switch verdict {
		case final:
			return reply, nil
		case mayHaveRun:
			possiblyRun, j.mayHaveRun = true, true
		}
		if reply != nil {
			reply.Close()
		}
		if verdict == mayHaveRun && !j.idempotent() {
			return nil, j.outcomeUnknown()
		}
		if j.clientDisconnected() {
			return nil, j.disconnectedRefusal(possiblyRun)
		}
		another, ok := j.anotherAttempt(0)
		if !ok {
			if possiblyRun {
				if reply != nil && reply.Remainder == nil && !impliesNotRun(reply.Status) {
					return reply, nil // the database's own response tells the client more than ours
				}
				return nil, j.outcomeUnknown()
			}
			return nil, j.unavailable("every database that was asked is busy")
		}
		a = another
	}
}

// firstAttempt sends the request to a database, waiting for one to become available if necessary.
func (j *job) firstAttempt() (*attempt, *refusal) {
	for {
		if j.gateway.isDrainExpired() {
			return nil, j.unavailable("this node ends")
		}
		if j.clientDisconnected() {
			return nil, j.disconnectedRefusal(false)
		}
		changed, healthChanged := j.gateway.control.Changed(), j.gateway.health.Changed()
		a, err := j.send()
		if err == nil {
			j.gateway.retries.CountRequest(j.service)
			return a, nil
		}
		if exhausted := new(quota.ExhaustedError); errors.As(err, &exhausted) {
			return nil, j.quotaExceeded(exhausted)
		}
		if j.now() >= min(j.waitUntil, j.deadline-returnMargin) {
			return nil, j.unavailable("no database can take it now")
		}
		if errors.Is(err, errNoDatabase) {
			j.excluded = j.excluded[:0]
			t := time.NewTimer(min(j.waitUntil-j.now(), 50*kernel.Millisecond).Duration())
			select {
			case <-changed:
			case <-healthChanged:
			case <-j.gateway.drainExpired:
			case <-j.disconnected:
			case <-t.C:
			}
			t.Stop()
		}
	}
}

// errNoDatabase reports that no database is available to send the request to.
var errNoDatabase = errors.New("gateway: no database available for the request")

// anotherAttempt sends the request again, to another database, if that is allowed. It leaves the
// fraction reserve of the retry budget unused.
func (j *job) anotherAttempt(reserve float64) (*attempt, bool) {
	if j.streamed != nil || j.attempts >= j.route.Tries || j.remaining() < 4*returnMargin || j.gateway.isDrainExpired() || j.clientDisconnected() || !j.gateway.retries.AllowRetry(j.service, reserve) {
		return nil, false
	}
	for range 3 {
		if a, err := j.send(); err == nil {
			j.gateway.k.Counters.Add("gateway.sent_again", 1)
			return a, true
		} else if errors.Is(err, errNoDatabase) {
			break
		}
	}
	return nil, false
}

// send picks a database and sends the request to it.
func (j *job) send() (*attempt, error) {
	g := j.gateway
	if err := j.acquireQuota(); err != nil {
		return nil, err
	}
	db, ok := g.balancer.Pick(j.route.Host+j.route.Prefix, g.candidates(j.service, j.excluded))
	if !ok {
		return nil, errNoDatabase
	}
	linkWait, _ := g.meter.load()
	startedAt := g.balancer.Begin(db.ID)
	conn, err := g.pools.Borrow(db.ID, j.priority, httpconn.Want{Fresh: !j.idempotent()}, min(borrowTimeout+2*linkWait, j.remaining()/4))
	if err != nil {
		j.excluded = append(j.excluded, db.ID)
		g.balancer.End("", db.ID, startedAt, loadbalance.Full)
		return nil, err
	}
	var results <-chan httpconn.Result
	if err = errors.Join(g.control.MaySend(db.ID), j.permit.Check()); err == nil {
		j.permit.Spend()
		results, err = conn.Send(j.upstreamRequest(db.ID), j.id, j.remaining())
	}
	if err != nil {
		g.pools.Return(conn)
		g.balancer.End("", db.ID, startedAt, loadbalance.Unused)
		return nil, err
	}
	j.attempts++
	j.checkSentOnce(db.ID)
	j.excluded = append(j.excluded, db.ID)
	return &attempt{db, conn, g.pools.Generation(conn), startedAt, results}, nil
}

// candidates returns the input for the selection of a database.
func (g *Gateway) candidates(service string, avoid []string) loadbalance.Candidates {
	return loadbalance.Candidates{
		Service: service, Databases: g.control.ServiceDatabases(service), Zone: g.cfg.Zone,
		Self: g.ring.Self().Addr, Peers: g.ring.ZonePeers(), Up: g.health.Up, Avoid: avoid,
	}
}

// awaitOrHedge waits for an attempt; hedge reports that it is time to hedge the request.
func (j *job) awaitOrHedge(a *attempt) (reply *httpconn.Reply, hedge bool, err error) {
	if delay, allowed := j.hedgeDelay(); allowed {
		if reply, err = j.awaitResult(a, delay); !errors.Is(err, httpconn.ErrNoResponse) {
			return reply, false, err
		}
		return nil, true, nil
	}
	reply, err = j.awaitResult(a, j.remaining())
	return reply, false, err
}

// hedgeDelay returns how long to wait for a response before a second database is tried too, and
// false if the request must not be hedged.
func (j *job) hedgeDelay() (kernel.Micros, bool) {
	typical := j.gateway.balancer.TypicalLatency(j.route.Host + j.route.Prefix)
	if !j.idempotent() || j.attempts >= j.route.Tries || typical <= 0 {
		return 0, false
	}
	target := float64(j.route.TargetMs) * float64(kernel.Millisecond)
	delay := kernel.Micros(min(hedgeLatencyFactor*float64(typical), hedgeTargetShare*target))
	return max(delay, returnMargin), delay < j.remaining()
}

// race waits for the first usable response of two attempts, and discards the other attempt.
func (j *job) race(first, second *attempt) (*attempt, *httpconn.Reply, error) {
	t := time.NewTimer(j.remaining().Duration())
	defer t.Stop()
	var result httpconn.Result
	var finished, other *attempt
	select {
	case result = <-first.result:
		finished, other = first, second
	case result = <-second.result:
		finished, other = second, first
	case <-t.C:
		j.discard(second)
		return first, nil, httpconn.ErrNoResponse
	case <-j.gateway.drainExpired:
		j.discard(second)
		return first, nil, httpconn.ErrNoResponse
	case <-j.disconnected: // only idempotent requests are sent twice
		j.discard(second)
		return first, nil, errClientDisconnected
	}
	outcome, verdict := j.classify(result.Reply, result.Err)
	if verdict == final {
		j.discard(other)
		return finished, result.Reply, result.Err
	}
	// The result is not usable: that of the other attempt is returned.
	j.recordAttempt(finished, outcome, result.Reply, result.Err)
	j.finish(finished, outcome, result.Reply, result.Err)
	if result.Reply != nil {
		result.Reply.Close()
	}
	reply, err := j.awaitResult(other, j.remaining())
	return other, reply, err
}

// discard waits in the background for an attempt whose result is no longer needed.
func (j *job) discard(a *attempt) {
	wait := j.remaining()
	go func() {
		reply, err := j.awaitResult(a, wait)
		outcome, _ := j.classify(reply, err)
		j.finish(a, outcome, reply, err)
		if reply != nil {
			reply.Close()
		}
	}()
}

// verdict says what the result of an attempt means for the request.
type verdict int

const (
	final      verdict = iota // the result is the response to the client
	notRun                    // the database guarantees that the request has not run
	mayHaveRun                // the request may have run
)

// classify returns what the result of an attempt means for the load balancer and for the request.
func (j *job) classify(reply *httpconn.Reply, err error) (loadbalance.Outcome, verdict) {
	switch {
	case errors.Is(err, httpconn.ErrUnsent):
		return loadbalance.Unused, notRun
	case errors.Is(err, errClientDisconnected):
		return loadbalance.Unused, mayHaveRun // the database is not at fault
	case err != nil:
		return loadbalance.Failed, mayHaveRun
	case reply.Status == http.StatusMisdirectedRequest:
		return loadbalance.Failed, notRun
	case reply.Header.Get(httpconn.NotRun) != "":
		return loadbalance.Full, notRun
	case impliesNotRun(reply.Status), reply.Status < 300 && (reply.Header.Get(seal) == "" || reply.Header.Get("Content-Encoding") != ""):
		return loadbalance.Failed, mayHaveRun // must not be forwarded: it would mislead the client
	case reply.Status >= 500 && reply.Status != http.StatusGatewayTimeout && j.idempotent():
		return loadbalance.Failed, mayHaveRun
	case reply.Status >= 500:
		return loadbalance.Failed, final
	}
	return loadbalance.Served, final
}

// seal is the header that marks a successful response from a database.
const seal = "X-Indigowalk-Seal"

// impliesNotRun reports whether clients take the status as a guarantee that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// finish returns an attempt's connection to the pool and records how the database performed.
func (j *job) finish(a *attempt, outcome loadbalance.Outcome, reply *httpconn.Reply, err error) {
	g := j.gateway
	if errors.Is(err, errClientDisconnected) {
		g.k.Counters.Add("gateway.client_gone", 1)
		a.conn.Close()
	} else if err != nil && !errors.Is(err, httpconn.ErrUnsent) {
		g.k.Counters.Add("gateway.unanswered", 1)
		if unresponsive := errors.Is(err, connpool.ErrUnresponsive); unresponsive || errors.Is(err, connpool.ErrBroken) {
			g.health.Report(a.db.ID, a.generation, unresponsive)
		}
		a.conn.Close()
	}
	if reply != nil && reply.Status == http.StatusMisdirectedRequest {
		g.k.Counters.Add("gateway.misdirected", 1)
	}
	if reply == nil || reply.Remainder == nil {
		g.pools.Return(a.conn)
	} else {
		go func() { // the body is still being forwarded
			<-reply.Released
			g.pools.Return(a.conn)
		}()
	}
	g.balancer.End(j.route.Host+j.route.Prefix, a.db.ID, a.startedAt, outcome)
}
