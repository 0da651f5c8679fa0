package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Service is a set of equivalent workers that serve HTTP requests. It checks that each request runs as it
// was sent, and that unsafe ones run at most once.
type Service struct {
	Name     string
	Observer Observer // Ran and DrainAcked are called

	env Environment

	mu         sync.Mutex
	expected   map[string]string // method, path and body that clients sent, by request id
	unsafe     map[string]bool   // ids of requests that may run only once
	runs       map[string]int    // how often each request has run, by id
	violations []string
	workers    []*Worker
}

// Fault is a way in which a worker misbehaves while it serves requests.
type Fault int

// Faults of workers.
const (
	NoFault            Fault = iota
	SendsNoResponse          // runs the request and sends no response
	ClosesAfterRun           // runs the request and closes the connection without a response
	TruncatesResponse        // runs the request, sends a part of the response and closes the connection
	SendsGarbage             // runs the request and sends bytes that are no HTTP response
	RespondsTwice            // runs the request, responds, and shortly afterwards responds again
	RejectsAsFull            // doesn't run the request and responds that it is full, with status 503
	Resets                   // doesn't run the request and closes the connection
	Errors                   // runs the request and responds with status 500
	ClosesIdle               // closes a connection that was idle when the next request arrives, without running it
	RejectsEarly             // rejects a long request before reading its body, then reads the body
	RespondsInPieces         // runs the request and sends the response in small pieces
	SendsWrongID             // runs the request and responds with another request's id
	SendsTrailingBytes       // runs the request and sends stray bytes after the response
	SendsLongResponse        // runs the request and sends a long response, which is allowed
	StallsInResponse         // runs the request, sends half of a long response and stalls
)

// longResponseBytes is the size of the response bodies of SendsLongResponse and StallsInResponse.
const longResponseBytes = 1 << 20

// AllFaults lists the faults that may be injected under any workload. SendsLongResponse and
// StallsInResponse are not among them.
var AllFaults = []Fault{SendsNoResponse, ClosesAfterRun, TruncatesResponse, SendsGarbage, RespondsTwice, RejectsAsFull, Resets, Errors, ClosesIdle, RejectsEarly, RespondsInPieces, SendsWrongID, SendsTrailingBytes}

// Worker is one server of a Service. Like a database, it announces itself to the control nodes by
// heartbeats.
type Worker struct {
	s           *Service
	ID          string
	IP, Zone    string
	Slots       int           // requests that it runs at the same time
	ServiceTime time.Duration // how long a request runs

	mu       sync.Mutex
	reserved bool // for a fault; see Reserve
	fault    Fault
	healthy  bool
	draining bool
	running  int
	Arrived  int         // requests that have run or are running
	Last     http.Header // header of the latest request
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewService returns a service without workers.
func NewService(env Environment, name string) *Service {
	return &Service{Name: name, env: env, expected: map[string]string{}, unsafe: map[string]bool{}, runs: map[string]int{}}
}

// workerPort is the port that every worker listens on.
const workerPort = "8000"

// Add starts a worker and adds it to the service.
func (s *Service) Add(id, ip, zone string) *Worker {
	w := &Worker{s: s, ID: id, IP: ip, Zone: zone, Slots: 2, ServiceTime: 20 * time.Millisecond, healthy: true}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	w.ctx, w.cancel = context.WithCancel(context.Background())
	serveAt(s.env.Network(ip), net.JoinHostPort(ip, workerPort), w.serve)
	go w.heartbeatLoop()
	return w
}

// Workers returns the workers in the order in which they were added.
func (s *Service) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// DB returns the worker that was added as number i, counted from 0.
func (s *Service) DB(i int) *Worker { return s.Workers()[i] }

// Violations returns the violations recorded so far.
func (s *Service) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Runs returns how often the request with the given id has run.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// ExpectRequest records the id and the content (method, path and body) of a request that a client is about
// to send. A request that is not safe may run only once.
func (s *Service) ExpectRequest(id, content string, safe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[id], s.unsafe[id] = content, !safe
}

// InjectFault makes the worker misbehave from now on. NoFault ends it.
func (w *Worker) InjectFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// SetHealthy sets whether the worker responds to health checks as healthy. A draining worker never does.
func (w *Worker) SetHealthy(healthy bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.healthy = healthy
}

// Header returns the header of the latest request.
func (w *Worker) Header() http.Header {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Last
}

// RequestCount returns how many requests have run or are running.
func (w *Worker) RequestCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Arrived
}

// Crash stops the worker without notice. If silenceHost is set, its host becomes unresponsive as well.
func (w *Worker) Crash(silenceHost bool) {
	w.cancel()
	if silenceHost {
		w.s.env.Silence(w.IP, true)
	}
	w.s.env.Reset(w.IP)
}

// drainAckTimeout is how long a worker waits for its draining to be acknowledged.
const drainAckTimeout = 5 * time.Second

// Drain reports the worker as draining and returns true once a control node has acknowledged that, or
// false if none has within drainAckTimeout.
func (w *Worker) Drain() bool {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	for end := time.Now().Add(drainAckTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.sendHeartbeat() {
			if w.s.Observer.DrainAcked != nil {
				w.s.Observer.DrainAcked(w.s.Name, w.ID)
			}
			return true
		}
	}
	return false
}

// Reserve reserves a worker for one fault at a time. It returns false if the worker is already
// reserved or has stopped.
func (w *Worker) Reserve() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	reserved := w.reserved || w.ctx.Err() != nil
	w.reserved = w.reserved || !reserved
	return !reserved
}

// Release ends the reservation that Reserve made.
func (w *Worker) Release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reserved = false
}

// Deregister deregisters the worker, which keeps serving.
func (w *Worker) Deregister() {
	if w.call("/Servers.Deregister/"+w.ID, nil) && w.s.Observer.DrainAcked != nil {
		w.s.Observer.DrainAcked(w.s.Name, w.ID)
	}
}

// Shutdown deregisters the worker and stops it.
func (w *Worker) Shutdown() {
	w.call("/Servers.Deregister/"+w.ID, nil)
	w.Crash(false)
}

// heartbeatLoop sends a heartbeat every 700 ms until the worker stops.
func (w *Worker) heartbeatLoop() {
	for {
		w.sendHeartbeat()
		select {
		case <-w.ctx.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether a control node acknowledged it.
func (w *Worker) sendHeartbeat() bool {
	w.mu.Lock()
	status := "up"
	if w.draining {
		status = "draining"
	}
	w.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"svc": w.s.Name, "address": net.JoinHostPort(w.IP, workerPort), "zone": w.Zone, "rev": "v1", "slots": w.Slots, "status": status,
		"warmup_left_ms": 0, "call_seq": time.Now().UnixMicro(),
	})
	return w.call("/Servers.Heartbeat/"+w.ID, body)
}

// call posts to the control nodes in turn until one acknowledges the request. It returns false if none
// does or the worker has stopped.
func (w *Worker) call(path string, body []byte) bool {
	for _, a := range w.s.env.Controls() {
		if w.ctx.Err() != nil {
			return false
		}
		if code, _ := Call(w.s.env.Network(w.IP), http.MethodPost, a, path, nil, body); code == http.StatusOK {
			return true
		}
	}
	return false
}

// serve handles the requests of one connection.
func (w *Worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		idleSince := time.Now()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		w.mu.Lock()
		w.Last = request.Header
		fault := w.fault
		w.mu.Unlock()
		if fault == RejectsEarly && request.ContentLength > earlyRejectBytes {
			if !w.rejectEarly(c, request) {
				return
			}
			continue
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if fault == ClosesIdle && time.Since(idleSince) > 200*time.Millisecond {
			return
		}
		if !w.handle(c, request, body, fault) {
			return
		}
	}
}

// earlyRejectBytes is the body size above which RejectsEarly rejects a request before reading it.
const earlyRejectBytes = 64 << 10

// rejectEarly responds to a long request before reading its body, then reads the body and checks it: the
// sender must complete the request and not send another one in its place.
func (w *Worker) rejectEarly(c net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Indigowalk-Request-Id")
	header := map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}
	if !writeHTTPResponse(c, http.StatusServiceUnavailable, header, "") {
		return false
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false // the body is cut short, which is no violation
	}
	w.check(id, request.Method+" "+request.RequestURI+" "+string(body))
	return true
}

// handle responds to a health check or runs one request and responds to it. The caller closes the
// connection if it returns false.
func (w *Worker) handle(c net.Conn, request *http.Request, body []byte, fault Fault) bool {
	w.mu.Lock()
	healthy, full := w.healthy && !w.draining, w.running >= w.Slots+8
	w.mu.Unlock()
	id := request.Header.Get("X-Indigowalk-Request-Id")
	switch {
	case request.URL.Path == "/healthz":
		status := 200
		if !healthy {
			status = 503
		}
		return writeHTTPResponse(c, status, map[string]string{"X-Indigowalk-Instance-Id": w.ID}, "")
	case request.Header.Get("X-Indigowalk-Target-Instance") != w.ID:
		return writeHTTPResponse(c, 421, map[string]string{"X-Indigowalk-Not-Run": "1"}, "")
	case fault == RejectsAsFull || full:
		return writeHTTPResponse(c, 503, map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}, "")
	case fault == Resets:
		return false
	}
	w.run(id, request.Method+" "+request.RequestURI+" "+string(body))
	return w.respond(c, id, fault)
}

// respond writes the response to a request that has run, as the fault says. The caller closes the
// connection if it returns false.
func (w *Worker) respond(c net.Conn, id string, fault Fault) bool {
	header := map[string]string{"X-Indigowalk-Request-Id": id, "X-Indigowalk-Seal": "seal-of-" + id}
	switch fault {
	case SendsNoResponse:
		<-w.ctx.Done()
		return false
	case ClosesAfterRun:
		return false
	case TruncatesResponse:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Indigowalk-Request-Id: %s\r\nX-Indigowalk-Seal: s\r\nContent-Length: 900\r\n\r\nhalf", id)
		return false
	case SendsGarbage:
		io.WriteString(c, "\x00\x01 no answer at all\r\n\r\n")
		return false
	case Errors:
		delete(header, "X-Indigowalk-Seal")
		return writeHTTPResponse(c, 500, header, "failed")
	}
	return w.writeWithFault(c, header, id, fault)
}

// writeWithFault writes a response that has a wrong id, is long, stalls, comes in pieces or is followed
// by more bytes, as the fault says; without one of these faults it writes a correct response.
func (w *Worker) writeWithFault(c net.Conn, header map[string]string, id string, fault Fault) bool {
	switch fault {
	case SendsWrongID:
		header["X-Indigowalk-Request-Id"] = "of-another"
	case RespondsInPieces:
		return writeInPieces(c, header, "run "+id)
	case SendsTrailingBytes:
		_, err := c.Write(append(encodeHTTPResponse(http.StatusOK, header, "run "+id), "run and run"...))
		return err == nil
	case SendsLongResponse:
		return writeHTTPResponse(c, 200, header, strings.Repeat("x", longResponseBytes))
	case StallsInResponse:
		b := encodeHTTPResponse(http.StatusOK, header, strings.Repeat("x", longResponseBytes))
		if _, err := c.Write(b[:len(b)/2]); err == nil {
			<-w.ctx.Done()
		}
		return false
	}
	if !writeHTTPResponse(c, 200, header, "run "+id) {
		return false
	}
	if fault == RespondsTwice {
		time.Sleep(5 * time.Millisecond)
		header["X-Indigowalk-Request-Id"] = "of-another"
		writeHTTPResponse(c, 200, header, "of another")
	}
	return true
}

// writeInPieces writes a response in pieces of pieceBytes.
func writeInPieces(c net.Conn, header map[string]string, body string) bool {
	b := encodeHTTPResponse(http.StatusOK, header, body)
	for len(b) > 0 {
		n := min(pieceBytes, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		time.Sleep(piecePause)
	}
	return true
}

// writeHTTPResponse writes a response and reports whether that succeeded.
func writeHTTPResponse(c net.Conn, status int, header map[string]string, body string) bool {
	_, err := c.Write(encodeHTTPResponse(status, header, body))
	return err == nil
}

func encodeHTTPResponse(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// run takes the time that a request needs, including the wait for a free slot, checks that a client has
// sent the request, and counts the run. A second run of an unsafe request violates TWICE.
func (w *Worker) run(id, content string) {
	w.mu.Lock()
	w.Arrived++
	queued := w.running / w.Slots
	w.running++
	w.mu.Unlock()
	time.Sleep(time.Duration(queued+1) * w.ServiceTime)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	w.check(id, content)
	s := w.s
	if s.Observer.Ran != nil {
		s.Observer.Ran(Run{Service: s.Name, Database: w.ID, ID: id, Begins: true})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.unsafe[id] && s.runs[id] > 1 {
		s.violations = append(s.violations, fmt.Sprintf("TWICE: %s runs %s a second time", w.ID, id))
	}
}

// check records an UNASKED violation unless a client has sent a request with this id and content.
func (w *Worker) check(id, content string) {
	s := w.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if want, ok := s.expected[id]; !ok || want != content {
		s.violations = append(s.violations, fmt.Sprintf("UNASKED: %s gets %.80q (%d bytes) as %s, asked was %.80q", w.ID, content, len(content), id, want))
	}
}
