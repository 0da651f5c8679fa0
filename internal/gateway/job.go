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
	// maxKept is the largest body that is kept, so that it can be sent again.
	maxKept = 64 << 10
	// holdShare is the part of its aim for which a request waits for a database;
	// past it the client hears when to come back.
	holdShare = 0.2
	// borrowWait is how long one database is waited for before another is asked.
	borrowWait = 40 * kernel.Millisecond
	// comeBack is what a client that is refused is told, and half as much again.
	comeBack = 150 * kernel.Millisecond
	// startHold is how long a request waits for a node that has just started, and
	// startsIn when it is told to come back if that does not do.
	startHold = 80 * kernel.Millisecond
	startsIn  = kernel.Second
	// margin is kept of the deadline for the way back.
	margin = 5 * kernel.Millisecond
	// Of an answer that takes this many times the usual, or this part of the
	// aim, the request is sent to a second database too.
	quietTimes = 2.5
	quietShare = 0.55
	// keepForFaults is the part of the allowance left to requests that got no
	// answer.
	keepForFaults = 0.5
)

// job is one request on its way to a database.
type job struct {
	t        *Gateway
	in       *http.Request
	target   *url.URL
	id       string
	header   http.Header
	memory   *memorybudget.Holding // what the body takes
	body     []byte
	rest     *bounded // what follows a body that is not kept
	route    *routeconfig.Route
	tenant   *routeconfig.PublishedTenant // nil if there is none
	permit   *quota.Permit
	rank     int // how urgent it is: the lower, the more
	service  string
	received kernel.Micros
	deadline kernel.Micros
	giveUp   kernel.Micros // until then a database is waited for
	tries    int           // databases that it was sent to
	avoid    []string
	revision int64 // of the configuration that it is served by
	failed   []failurelog.Attempt
	// mayHaveRun says that a database may have run it.
	mayHaveRun bool
	gone       <-chan struct{} // closes when the client closes its connection
}

func (j *job) now() kernel.Micros { return j.t.k.Clock.Now() }

func (j *job) left() kernel.Micros { return j.deadline - j.now() }

func (j *job) safe() bool { return j.route.Type == routeconfig.Idempotent }

// request is what is sent to a database.
func (j *job) request(id string) *http.Request {
	h := j.header.Clone()
	h.Set(httpconn.DeadlineMs, strconv.FormatInt(max(1, (j.left()-margin).Millis()), 10))
	h.Set(httpconn.Target, id)
	if h["User-Agent"] == nil {
		h["User-Agent"] = nil // or one would be made up
	}
	q := &http.Request{Method: j.in.Method, URL: j.target, Host: j.in.Host, Header: h, ProtoMajor: 1, ProtoMinor: 1}
	switch {
	case j.rest != nil:
		q.Body, q.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(j.body), j.rest)), j.in.ContentLength
	case len(j.body) > 0:
		q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(j.body)), int64(len(j.body))
	}
	return q
}

// busy is the answer to a request that has not run and will not.
func (j *job) busy(text string) *refusal {
	return &refusal{http.StatusServiceUnavailable, text, comeBack + rand.N(comeBack/2)}
}

// unclear is the answer where a database may have run the request.
func (j *job) unclear() *refusal {
	if j.rest != nil && j.rest.long {
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body too long"}
	}
	if j.left() <= 0 {
		return &refusal{status: http.StatusGatewayTimeout, text: "no answer in time"}
	}
	return &refusal{status: http.StatusBadGateway, text: "no whole answer"}
}

// clientGone is the answer to a request that was given up since its client has gone:
// whoever only stopped sending hears it.
func (j *job) clientGone(sent bool) *refusal {
	if sent {
		return j.unclear()
	}
	return j.busy("the client has gone")
}

// attempt is the request at one database.
type attempt struct {
	db    discovery.Database
	conn  *httpconn.Conn
	gen   int64
	began kernel.Micros
	ch    <-chan httpconn.Result
}

// serve has a database answer, a second one if the first does not.
func (j *job) serve() (*httpconn.Reply, *refusal) {
	defer j.permit.Release()
	a, no := j.first()
	if no != nil {
		return nil, no
	}
	sent := false // some database may have run it
	for {
		reply, quiet, err := j.await(a)
		if quiet {
			// The first goes on: whichever answers is the answer.
			if b, ok := j.second(keepForFaults); ok {
				a, reply, err = j.race(a, b)
			} else {
				reply, err = j.answerOf(a, j.left())
			}
		}
		o, verdict := j.judge(reply, err)
		j.note(a, o, reply, err)
		j.done(a, o, reply, err)
		switch verdict {
		case answer:
			return reply, nil
		case ran:
			sent, j.mayHaveRun = true, true
		}
		if reply != nil {
			reply.Close()
		}
		if verdict == ran && !j.safe() {
			return nil, j.unclear()
		}
		if j.abandoned() {
			return nil, j.clientGone(sent)
		}
		b, ok := j.second(0)
		if !ok {
			if sent {
				if reply != nil && reply.Rest == nil && !promises(reply.Status) {
					return reply, nil // the database's own word is better than ours
				}
				return nil, j.unclear()
			}
			return nil, j.busy("every database that was asked is busy")
		}
		a = b
	}
}

// first sends the request to a database, waiting for one if need be.
func (j *job) first() (*attempt, *refusal) {
	for {
		if j.t.over() {
			return nil, j.busy("this node ends")
		}
		if j.abandoned() {
			return nil, j.clientGone(false)
		}
		changed, health := j.t.control.Changed(), j.t.health.Changed()
		a, err := j.send()
		if err == nil {
			j.t.again.CountRequest(j.service)
			return a, nil
		}
		if exhausted := new(quota.ExhaustedError); errors.As(err, &exhausted) {
			return nil, j.overQuota(exhausted)
		}
		if j.now() >= min(j.giveUp, j.deadline-margin) {
			return nil, j.busy("no database can take it now")
		}
		if errors.Is(err, errNoPlace) {
			j.avoid = j.avoid[:0]
			t := time.NewTimer(min(j.giveUp-j.now(), 50*kernel.Millisecond).Duration())
			select {
			case <-changed:
			case <-health:
			case <-j.t.ending:
			case <-j.gone:
			case <-t.C:
			}
			t.Stop()
		}
	}
}

// errNoPlace says that there is no database to send to now.
var errNoPlace = errors.New("gateway: no database can take it now")

// second sends the request once more, to another database, if it may.
func (j *job) second(keep float64) (*attempt, bool) {
	if j.rest != nil || j.tries >= j.route.Tries || j.left() < 4*margin || j.t.over() || j.abandoned() || !j.t.again.AllowRetry(j.service, keep) {
		return nil, false
	}
	for range 3 {
		if a, err := j.send(); err == nil {
			j.t.k.Counters.Add("gateway.sent_again", 1)
			return a, true
		} else if errors.Is(err, errNoPlace) {
			break
		}
	}
	return nil, false
}

// send picks a database and sends the request there.
func (j *job) send() (*attempt, error) {
	t := j.t
	if err := j.admit(); err != nil {
		return nil, err
	}
	db, ok := t.balancer.Pick(j.route.Host+j.route.Prefix, t.candidates(j.service, j.avoid))
	if !ok {
		return nil, errNoPlace
	}
	linkWait, _ := t.meter.load()
	began := t.balancer.Begin(db.ID)
	conn, err := t.conns.Borrow(db.ID, j.rank, httpconn.Want{Sure: !j.safe()}, min(borrowWait+2*linkWait, j.left()/4))
	if err != nil {
		j.avoid = append(j.avoid, db.ID)
		t.balancer.End("", db.ID, began, loadbalance.Full)
		return nil, err
	}
	var ch <-chan httpconn.Result
	if err = errors.Join(t.control.MaySend(db.ID), j.permit.Check()); err == nil {
		j.permit.Spend()
		ch, err = conn.Send(j.request(db.ID), j.id, j.left())
	}
	if err != nil {
		t.conns.Return(conn)
		t.balancer.End("", db.ID, began, loadbalance.Unused)
		return nil, err
	}
	j.tries++
	j.watchSend(db.ID)
	j.avoid = append(j.avoid, db.ID)
	return &attempt{db, conn, t.conns.Generation(conn), began, ch}, nil
}

// candidates are what the choice of a database is made from.
func (t *Gateway) candidates(service string, avoid []string) loadbalance.Candidates {
	return loadbalance.Candidates{
		Service: service, Databases: t.control.Serving(service), Zone: t.cfg.Zone,
		Self: t.ring.Self().Addr, Peers: t.ring.Near(), Up: t.health.Up, Avoid: avoid,
	}
}

// await waits for an attempt; quiet says that it is time to ask another.
func (j *job) await(a *attempt) (reply *httpconn.Reply, quiet bool, err error) {
	if soon, ask := j.quietAfter(); ask {
		if reply, err = j.answerOf(a, soon); !errors.Is(err, httpconn.ErrQuiet) {
			return reply, false, err
		}
		return nil, true, nil
	}
	reply, err = j.answerOf(a, j.left())
	return reply, false, err
}

// quietAfter is how long an answer may take before another database is asked too;
// false if none may be.
func (j *job) quietAfter() (kernel.Micros, bool) {
	usual := j.t.balancer.TypicalLatency(j.route.Host + j.route.Prefix)
	if !j.safe() || j.tries >= j.route.Tries || usual <= 0 {
		return 0, false
	}
	aim := float64(j.route.TargetMs) * float64(kernel.Millisecond)
	soon := kernel.Micros(min(quietTimes*float64(usual), quietShare*aim))
	return max(soon, margin), soon < j.left()
}

// race waits for the first good answer of two attempts and leaves the other
// behind.
func (j *job) race(a, b *attempt) (*attempt, *httpconn.Reply, error) {
	t := time.NewTimer(j.left().Duration())
	defer t.Stop()
	var r httpconn.Result
	var won, other *attempt
	select {
	case r = <-a.ch:
		won, other = a, b
	case r = <-b.ch:
		won, other = b, a
	case <-t.C:
		j.leave(b)
		return a, nil, httpconn.ErrQuiet
	case <-j.t.ending:
		j.leave(b)
		return a, nil, httpconn.ErrQuiet
	case <-j.gone: // only what may be repeated is sent twice
		j.leave(b)
		return a, nil, errClientGone
	}
	outcome, verdict := j.judge(r.Reply, r.Err)
	if verdict == answer {
		j.leave(other)
		return won, r.Reply, r.Err
	}
	// The other one decides.
	j.note(won, outcome, r.Reply, r.Err)
	j.done(won, outcome, r.Reply, r.Err)
	if r.Reply != nil {
		r.Reply.Close()
	}
	reply, err := j.answerOf(other, j.left())
	return other, reply, err
}

// leave waits aside for an attempt whose answer is not needed any more.
func (j *job) leave(a *attempt) {
	wait := j.left()
	go func() {
		reply, err := j.answerOf(a, wait)
		o, _ := j.judge(reply, err)
		j.done(a, o, reply, err)
		if reply != nil {
			reply.Close()
		}
	}()
}

// verdict is what an answer means for the request.
type verdict int

const (
	answer verdict = iota
	unrun          // promised not to have run
	ran            // may have run
)

// judge tells how an attempt ended.
func (j *job) judge(r *httpconn.Reply, err error) (loadbalance.Outcome, verdict) {
	switch {
	case errors.Is(err, httpconn.ErrUnsent):
		return loadbalance.Unused, unrun
	case errors.Is(err, errClientGone):
		return loadbalance.Unused, ran // the database is not at fault
	case err != nil:
		return loadbalance.Failed, ran
	case r.Status == http.StatusMisdirectedRequest:
		return loadbalance.Failed, unrun
	case r.Header.Get(httpconn.NotRun) != "":
		return loadbalance.Full, unrun
	case promises(r.Status), r.Status < 300 && (r.Header.Get(seal) == "" || r.Header.Get("Content-Encoding") != ""):
		return loadbalance.Failed, ran // it can't be passed on as what it is
	case r.Status >= 500 && r.Status != http.StatusGatewayTimeout && j.safe():
		return loadbalance.Failed, ran
	case r.Status >= 500:
		return loadbalance.Failed, answer
	}
	return loadbalance.Served, answer
}

// seal marks a database's success.
const seal = "X-Indigowalk-Seal"

// promises tells whether a client takes the status for a promise that the
// request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// done gives an attempt's connection back and notes how the database served.
func (j *job) done(a *attempt, o loadbalance.Outcome, r *httpconn.Reply, err error) {
	t := j.t
	if errors.Is(err, errClientGone) {
		t.k.Counters.Add("gateway.client_gone", 1)
		a.conn.Close()
	} else if err != nil && !errors.Is(err, httpconn.ErrUnsent) {
		t.k.Counters.Add("gateway.unanswered", 1)
		if silent := errors.Is(err, connpool.ErrSilent); silent || errors.Is(err, connpool.ErrBroken) {
			t.health.Report(a.db.ID, a.gen, silent)
		}
		a.conn.Close()
	}
	if r != nil && r.Status == http.StatusMisdirectedRequest {
		t.k.Counters.Add("gateway.misdirected", 1)
	}
	if r == nil || r.Rest == nil {
		t.conns.Return(a.conn)
	} else {
		go func() { // its body is being passed on yet
			<-r.Freed
			t.conns.Return(a.conn)
		}()
	}
	t.balancer.End(j.route.Host+j.route.Prefix, a.db.ID, a.began, o)
}
