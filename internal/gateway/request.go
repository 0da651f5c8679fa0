package gateway

import (
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/memorybudget"
	"indigowalk/internal/routeconfig"
)

// freeBody is how long a body may be without being counted.
const freeBody = 4 << 10

func malformed(text string) *refusal { return &refusal{status: http.StatusBadRequest, text: text} }

// newJob reads a request, against one configuration. The job is there also where it is
// refused.
func (t *Gateway) newJob(w http.ResponseWriter, q *http.Request) (*job, *refusal) {
	j := &job{t: t, in: q, received: t.k.Clock.Now(), id: q.Header.Get(httpconn.RequestID), memory: t.memory.Hold(freeBody)}
	conf := j.configuration()
	if conf == nil {
		return j, &refusal{http.StatusServiceUnavailable, "no configuration yet", startsIn}
	}
	j.revision = conf.Rev
	if q.Method == http.MethodConnect || q.RequestURI == "*" {
		return j, malformed("no such request is served")
	}
	if n := conf.Limits.MaxHeaderBytes; n > 0 && headSize(q) > n {
		return j, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, text: "head over " + strconv.FormatInt(n, 10) + " bytes"}
	}
	if j.id == "" {
		return j, malformed(httpconn.RequestID + " is missing")
	}
	var ok bool
	if j.target, ok = target(q); !ok {
		return j, malformed("the path can't be read")
	}
	host, _, _ := strings.Cut(strings.ToLower(q.Host), ":")
	if j.route = conf.Match(host, pathOf(j.target)); j.route == nil {
		return j, &refusal{status: http.StatusNotFound, text: "no route"}
	}
	j.rank = j.route.Prio
	if no := j.identify(conf); no != nil {
		return j, no
	}
	if wait, _ := t.meter.load(); wait > fullWaits(j.route.Prio) {
		t.k.Counters.Add("gateway.link_full", 1)
		return j, j.busy("this node's link is full")
	}
	j.service = j.route.PickService(rand.Float64())
	span := kernel.Micros(j.route.DeadlineMs) * kernel.Millisecond
	if text := q.Header.Get(httpconn.DeadlineMs); text != "" {
		ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(ms > 0) {
			return j, malformed(httpconn.DeadlineMs + " is no number of milliseconds")
		}
		span = min(span, kernel.Micros(min(ms, float64(j.route.DeadlineMs))*float64(kernel.Millisecond)))
	}
	j.deadline = j.received + span
	aim := kernel.Micros(j.route.TargetMs) * kernel.Millisecond
	if aim == 0 {
		aim = span
	}
	j.giveUp = j.received + kernel.Micros(holdShare*float64(min(aim, span)))
	if no := j.read(w, conf.Limits.MaxBodyBytes); no != nil {
		return j, no
	}
	j.introduce(j.header, conf)
	return j, nil
}

// configuration returns what is in force; a node that has just started may learn
// it in a moment.
func (j *job) configuration() *routeconfig.Index {
	until := j.received + startHold
	for {
		changed := j.t.control.Changed()
		conf, wait := j.t.control.Config(), until-j.now()
		if conf != nil || wait <= 0 {
			return conf
		}
		t := time.NewTimer(wait.Duration())
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

// fullWaits is the wait at the link from which requests of a rank are refused:
// the less urgent go first.
func fullWaits(prio int) kernel.Micros {
	return fullWait * kernel.Micros(2+max(0, 2-prio)) / 2
}

func headSize(q *http.Request) (n int64) {
	n = int64(len(q.Method) + len(q.RequestURI) + len(q.Host))
	for name, values := range q.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + 4)
		}
	}
	return n
}

// target is what is asked for, byte by byte as the client wrote it.
func target(q *http.Request) (*url.URL, bool) {
	switch {
	case strings.HasPrefix(q.RequestURI, "//"):
		// Such a path would be taken for a host.
		return q.URL, q.URL.Host == "" && q.URL.RequestURI() == q.RequestURI
	case strings.HasPrefix(q.RequestURI, "/"):
		return &url.URL{Opaque: q.RequestURI}, true
	}
	u := *q.URL
	u.Scheme, u.Host = "", ""
	return &u, strings.HasPrefix(u.RequestURI(), "/")
}

// pathOf is the path by which a route is found.
func pathOf(u *url.URL) string {
	if u.Opaque == "" {
		return u.EscapedPath()
	}
	path, _, _ := strings.Cut(u.Opaque, "?")
	return path
}

// read takes the body in, as far as it is kept.
func (j *job) read(w http.ResponseWriter, limit int64) *refusal {
	j.header = j.in.Header.Clone()
	dropHops(j.header)
	if j.in.ContentLength == 0 {
		return nil
	}
	if limit > 0 && j.in.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body over " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	body := io.Reader(j.in.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, j.in.Body, limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(j.left().Duration())); err != nil {
		j.t.k.Counters.Add("gateway.no_read_deadline", 1)
	}
	raw, err := j.memory.ReadAll(io.LimitReader(body, maxKept+1), 1)
	var long *http.MaxBytesError
	switch {
	case errors.Is(err, memorybudget.ErrFull):
		j.t.k.Counters.Add("gateway.memory_full", 1)
		return j.busy("no memory for the body")
	case errors.As(err, &long):
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body over " + strconv.FormatInt(limit, 10) + " bytes"}
	case err != nil && j.left() <= 0:
		return &refusal{status: http.StatusRequestTimeout, text: "the body did not come in time"}
	case err != nil:
		return malformed("the body can't be read in full")
	}
	if j.body = raw; len(raw) > maxKept {
		j.rest = &bounded{r: body}
	} else if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		j.t.k.Counters.Add("gateway.no_read_deadline", 1)
	}
	return nil
}

// leaveWait is how long the rest of a refused request's body is waited for: a connection on
// which it has come can be kept.
const leaveWait = 20 * kernel.Millisecond

// leaveBody has a refusal not wait for what is left of the body, which the HTTP server
// reads before it answers: where that has not come, the connection closes after the answer.
func (j *job) leaveBody(w http.ResponseWriter) {
	if j.in.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(leaveWait.Duration())); err != nil {
		j.t.k.Counters.Add("gateway.no_read_deadline", 1)
	}
}

// bounded remembers whether a body that is passed on as it comes turned out
// too long.
type bounded struct {
	r    io.Reader
	long bool
}

func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.long = b.long || errors.As(err, new(*http.MaxBytesError))
	return n, err
}
