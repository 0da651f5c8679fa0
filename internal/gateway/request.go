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

// uncountedBodyBytes is how much of each body is not charged to the memory budget.
const uncountedBodyBytes = 4 << 10

// malformed returns the response to an invalid request.
func malformed(text string) *refusal { return &refusal{status: http.StatusBadRequest, text: text} }

// newJob parses a request against a single configuration revision. It returns a job even if the
// request is refused.
func (g *Gateway) newJob(w http.ResponseWriter, request *http.Request) (*job, *refusal) {
	j := &job{gateway: g, incoming: request, received: g.k.Clock.Now(), id: request.Header.Get(httpconn.RequestID), memory: g.memory.NewReservation(uncountedBodyBytes)}
	conf := j.configuration()
	if conf == nil {
		return j, &refusal{http.StatusServiceUnavailable, "no configuration yet", noConfigRetryAfter}
	}
	j.revision = conf.Rev
	if request.Method == http.MethodConnect || request.RequestURI == "*" {
		return j, malformed("no such request is served")
	}
	if n := conf.Limits.MaxHeaderBytes; n > 0 && headerSize(request) > n {
		return j, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, text: "head over " + strconv.FormatInt(n, 10) + " bytes"}
	}
	if j.id == "" {
		return j, malformed(httpconn.RequestID + " is missing")
	}
	var ok bool
	if j.target, ok = requestTarget(request); !ok {
		return j, malformed("the path can't be read")
	}
	host, _, _ := strings.Cut(strings.ToLower(request.Host), ":")
	if j.route = conf.Match(host, routePath(j.target)); j.route == nil {
		return j, &refusal{status: http.StatusNotFound, text: "no route"}
	}
	j.priority = j.route.Prio
	if refused := j.authenticate(conf); refused != nil {
		return j, refused
	}
	if wait, _ := g.meter.load(); wait > linkWaitLimitFor(j.route.Prio) {
		g.k.Counters.Add("gateway.link_full", 1)
		return j, j.unavailable("this node's link is full")
	}
	j.service = j.route.PickService(rand.Float64())
	timeout := kernel.Micros(j.route.DeadlineMs) * kernel.Millisecond
	if text := request.Header.Get(httpconn.DeadlineMs); text != "" {
		ms, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || !(ms > 0) {
			return j, malformed(httpconn.DeadlineMs + " is no number of milliseconds")
		}
		timeout = min(timeout, kernel.Micros(min(ms, float64(j.route.DeadlineMs))*float64(kernel.Millisecond)))
	}
	j.deadline = j.received + timeout
	targetLatency := kernel.Micros(j.route.TargetMs) * kernel.Millisecond
	if targetLatency == 0 {
		targetLatency = timeout
	}
	j.waitUntil = j.received + kernel.Micros(databaseWaitShare*float64(min(targetLatency, timeout)))
	if refused := j.readBody(w, conf.Limits.MaxBodyBytes); refused != nil {
		return j, refused
	}
	j.setTenantHeaders(j.header, conf)
	return j, nil
}

// configuration returns the current configuration. On a node that has just started it waits
// briefly for one to arrive.
func (j *job) configuration() *routeconfig.Index {
	deadline := j.received + configWait
	for {
		changed := j.gateway.control.Changed()
		conf, wait := j.gateway.control.Config(), deadline-j.now()
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

// linkWaitLimitFor returns the queueing delay at the link above which requests of a priority are
// refused: the less urgent are refused first.
func linkWaitLimitFor(prio int) kernel.Micros {
	return linkWaitLimit * kernel.Micros(2+max(0, 2-prio)) / 2
}

// headerSize returns the approximate size of the request header in bytes.
func headerSize(request *http.Request) (n int64) {
	n = int64(len(request.Method) + len(request.RequestURI) + len(request.Host))
	for name, values := range request.Header {
		for _, v := range values {
			n += int64(len(name) + len(v) + 4)
		}
	}
	return n
}

// requestTarget returns the request target, byte for byte as the client sent it.
func requestTarget(request *http.Request) (*url.URL, bool) {
	switch {
	case strings.HasPrefix(request.RequestURI, "//"):
		// Such a path would be parsed as a host.
		return request.URL, request.URL.Host == "" && request.URL.RequestURI() == request.RequestURI
	case strings.HasPrefix(request.RequestURI, "/"):
		return &url.URL{Opaque: request.RequestURI}, true
	}
	u := *request.URL
	u.Scheme, u.Host = "", ""
	return &u, strings.HasPrefix(u.RequestURI(), "/")
}

// routePath returns the path used for route matching.
func routePath(u *url.URL) string {
	if u.Opaque == "" {
		return u.EscapedPath()
	}
	path, _, _ := strings.Cut(u.Opaque, "?")
	return path
}

// readBody reads a body of up to maxBufferedBody bytes completely. Of a longer one it reads the
// beginning, and sets j.streamed for the rest.
func (j *job) readBody(w http.ResponseWriter, limit int64) *refusal {
	j.header = j.incoming.Header.Clone()
	removeHopByHop(j.header)
	if j.incoming.ContentLength == 0 {
		return nil
	}
	if limit > 0 && j.incoming.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body over " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	body := io.Reader(j.incoming.Body)
	if limit > 0 {
		body = http.MaxBytesReader(w, j.incoming.Body, limit)
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(j.remaining().Duration())); err != nil {
		j.gateway.k.Counters.Add("gateway.no_read_deadline", 1)
	}
	raw, err := j.memory.ReadAll(io.LimitReader(body, maxBufferedBody+1), 1)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memorybudget.ErrFull):
		j.gateway.k.Counters.Add("gateway.memory_full", 1)
		return j.unavailable("no memory for the body")
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, text: "body over " + strconv.FormatInt(limit, 10) + " bytes"}
	case err != nil && j.remaining() <= 0:
		return &refusal{status: http.StatusRequestTimeout, text: "the body did not come in time"}
	case err != nil:
		return malformed("the body can't be read in full")
	}
	if j.body = raw; len(raw) > maxBufferedBody {
		j.streamed = &limitRecorder{reader: body}
	} else if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		j.gateway.k.Counters.Add("gateway.no_read_deadline", 1)
	}
	return nil
}

// unreadBodyTimeout is how long to wait for the rest of a refused request's body: a connection
// on which it has arrived in full can be kept open.
const unreadBodyTimeout = 20 * kernel.Millisecond

// limitUnreadBody keeps a refusal from being delayed by the HTTP server, which reads the rest of the
// body before it responds: if the rest does not arrive within unreadBodyTimeout, the connection closes
// after the response.
func (j *job) limitUnreadBody(w http.ResponseWriter) {
	if j.incoming.ContentLength == 0 {
		return
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout.Duration())); err != nil {
		j.gateway.k.Counters.Add("gateway.no_read_deadline", 1)
	}
}

// limitRecorder records whether a body that is streamed turned out to exceed the size limit.
type limitRecorder struct {
	reader  io.Reader
	tooLong bool
}

func (r *limitRecorder) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.tooLong = r.tooLong || errors.As(err, new(*http.MaxBytesError))
	return n, err
}
