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

// Service is a group of equivalent databases that serve HTTP requests. It checks that each request
// runs as it was sent, and unsafe ones at most once.
type Service struct {
	Name    string
	Observe Observer // of runs and drains

	env Environment

	mu         sync.Mutex
	expected   map[string]string // method, path and body that clients sent, by request id
	unsafe     map[string]bool   // ids of requests that may run only once
	runs       map[string]int
	violations []string
	workers    []*Worker
}

// Fault is a way in which a worker misbehaves.
type Fault int

// Faults of workers.
const (
	Well      Fault = iota
	Mute            // runs the request and sends no response
	Loses           // runs the request and closes the connection
	Breaks          // runs the request and sends part of the response
	Garbles         // runs the request and sends something that is no HTTP response
	Surplus         // responds, and shortly afterwards once more
	Sheds           // doesn't run the request and responds that it is full
	Resets          // doesn't run the request and closes the connection
	Errors          // runs the request and responds with status 500
	Forgetful       // closes a connection when a request comes after it was idle
	Early           // rejects long requests before it has read them, and reads on
	Dribbles        // sends its response in small pieces
	Mislabels       // responds under another request's id
	Trails          // sends stray bytes after its response
	Long            // sends a long response, which is no fault
	Stalls          // sends half of a long response and stalls
)

// longAnswerBytes is the body size of the responses of Long and Stalls.
const longAnswerBytes = 1 << 20

// AllFaults lists the faults that any request may meet; Long and Stalls are not among them.
var AllFaults = []Fault{Mute, Loses, Breaks, Garbles, Surplus, Sheds, Resets, Errors, Forgetful, Early, Dribbles, Mislabels, Trails}

// Worker is one database of a Service.
type Worker struct {
	s        *Service
	ID       string
	IP, Zone string
	Slots    int
	Work     time.Duration

	mu       sync.Mutex
	reserved bool // a fault is being injected; see Reserve
	fault    Fault
	healthy  bool
	draining bool
	busy     int
	Arrived  int
	Last     http.Header // header of the latest request
	ctx      context.Context
	cancel   context.CancelFunc
}

// NewService returns a service without databases.
func NewService(env Environment, name string) *Service {
	return &Service{Name: name, env: env, expected: map[string]string{}, unsafe: map[string]bool{}, runs: map[string]int{}}
}

// workerPort is the port that every worker listens on.
const workerPort = "8000"

// Add starts a worker and adds it to the service.
func (s *Service) Add(id, ip, zone string) *Worker {
	d := &Worker{s: s, ID: id, IP: ip, Zone: zone, Slots: 2, Work: 20 * time.Millisecond, healthy: true}
	s.mu.Lock()
	s.workers = append(s.workers, d)
	s.mu.Unlock()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	serveAt(s.env.Network(ip), net.JoinHostPort(ip, workerPort), d.serve)
	go d.heartbeatLoop()
	return d
}

// Workers returns the workers in the order in which they were added.
func (s *Service) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// DB returns the worker that was added as number i, counted from 0.
func (s *Service) DB(i int) *Worker { return s.Workers()[i] }

// Broken returns the violations recorded so far.
func (s *Service) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.violations)
}

// Runs returns how often the request with an id has run.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Expect records the method, path and body of the request that a client is about to send under an
// id. A request that is not safe may run only once.
func (s *Service) Expect(id, content string, safe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expected[id], s.unsafe[id] = content, !safe
}

// InjectFault injects a fault from now on; Well ends it.
func (d *Worker) InjectFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Health sets whether the worker's health check reports it as healthy, whatever its true state.
func (d *Worker) Health(well bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.healthy = well
}

// Header returns the header of the latest request.
func (d *Worker) Header() http.Header {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Last
}

// Count returns how many requests have arrived.
func (d *Worker) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Arrived
}

// Crash stops the worker without notice. If dark is set, its host becomes unresponsive as well.
func (d *Worker) Crash(dark bool) {
	d.cancel()
	if dark {
		d.s.env.Silence(d.IP, true)
	}
	d.s.env.Reset(d.IP)
}

// drainAckTimeout is how long a worker waits for its draining to be acknowledged.
const drainAckTimeout = 5 * time.Second

// Leave reports the worker as draining and returns true once a control node has acknowledged it, or
// false if none has within drainAckTimeout.
func (d *Worker) Leave() bool {
	d.mu.Lock()
	d.draining = true
	d.mu.Unlock()
	for end := time.Now().Add(drainAckTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.sendHeartbeat() {
			if d.s.Observe.Drains != nil {
				d.s.Observe.Drains(d.s.Name, d.ID)
			}
			return true
		}
	}
	return false
}

// Reserve reserves a worker for one fault at a time. It returns false if the worker is already
// reserved or has stopped.
func (d *Worker) Reserve() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	reserved := d.reserved || d.ctx.Err() != nil
	d.reserved = d.reserved || !reserved
	return !reserved
}

// Release ends the reservation that Reserve made.
func (d *Worker) Release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved = false
}

// Deregister deregisters the worker, which keeps serving.
func (d *Worker) Deregister() {
	if d.call("/Servers.Deregister/"+d.ID, nil) && d.s.Observe.Drains != nil {
		d.s.Observe.Drains(d.s.Name, d.ID)
	}
}

// End deregisters the worker and stops it.
func (d *Worker) End() {
	d.call("/Servers.Deregister/"+d.ID, nil)
	d.Crash(false)
}

// heartbeatLoop sends a heartbeat every 700 ms until the worker stops.
func (d *Worker) heartbeatLoop() {
	for {
		d.sendHeartbeat()
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
	}
}

// sendHeartbeat sends one heartbeat and reports whether a control node acknowledged it.
func (d *Worker) sendHeartbeat() bool {
	d.mu.Lock()
	status := "up"
	if d.draining {
		status = "draining"
	}
	d.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"svc": d.s.Name, "address": net.JoinHostPort(d.IP, workerPort), "zone": d.Zone, "rev": "v1", "slots": d.Slots, "status": status,
		"warmup_left_ms": 0, "call_seq": time.Now().UnixMicro(),
	})
	return d.call("/Servers.Heartbeat/"+d.ID, body)
}

// call posts to the control nodes in turn until one acknowledges; false if none does or the worker
// has stopped.
func (d *Worker) call(path string, body []byte) bool {
	for _, a := range d.s.env.Controls() {
		if d.ctx.Err() != nil {
			return false
		}
		if code, _ := Call(d.s.env.Network(d.IP), http.MethodPost, a, path, nil, body); code == http.StatusOK {
			return true
		}
	}
	return false
}

// serve handles the requests of one connection.
func (d *Worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		idleSince := time.Now()
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.Last = q.Header
		fault := d.fault
		d.mu.Unlock()
		if fault == Early && q.ContentLength > earlyRejectBytes {
			if !d.rejectEarly(c, q) {
				return
			}
			continue
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if fault == Forgetful && time.Since(idleSince) > 200*time.Millisecond {
			return
		}
		if !d.handle(c, q, body, fault) {
			return
		}
	}
}

// earlyRejectBytes is the body size above which Early rejects a request before reading it.
const earlyRejectBytes = 64 << 10

// rejectEarly responds to a long request before it has read the body, and reads on: what follows
// must be the rest of that request.
func (d *Worker) rejectEarly(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("X-Indigowalk-Request-Id")
	header := map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}
	if !writeHTTPResponse(c, http.StatusServiceUnavailable, header, "") {
		return false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false // the body is cut short, which is no violation
	}
	d.check(id, q.Method+" "+q.RequestURI+" "+string(body))
	return true
}

// handle runs one request and responds to it. The caller closes the connection if it returns false.
func (d *Worker) handle(c net.Conn, q *http.Request, body []byte, fault Fault) bool {
	d.mu.Lock()
	healthy, full := d.healthy && !d.draining, d.busy >= d.Slots+8
	d.mu.Unlock()
	id := q.Header.Get("X-Indigowalk-Request-Id")
	switch {
	case q.URL.Path == "/healthz":
		status := 200
		if !healthy {
			status = 503
		}
		return writeHTTPResponse(c, status, map[string]string{"X-Indigowalk-Instance-Id": d.ID}, "")
	case q.Header.Get("X-Indigowalk-Target-Instance") != d.ID:
		return writeHTTPResponse(c, 421, map[string]string{"X-Indigowalk-Not-Run": "1"}, "")
	case fault == Sheds || full:
		return writeHTTPResponse(c, 503, map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}, "")
	case fault == Resets:
		return false
	}
	d.run(id, q.Method+" "+q.RequestURI+" "+string(body))
	return d.respond(c, id, fault)
}

// respond writes the response to a request that has run, as far as the fault lets it.
func (d *Worker) respond(c net.Conn, id string, fault Fault) bool {
	header := map[string]string{"X-Indigowalk-Request-Id": id, "X-Indigowalk-Seal": "seal-of-" + id}
	switch fault {
	case Mute:
		<-d.ctx.Done()
		return false
	case Loses:
		return false
	case Breaks:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Indigowalk-Request-Id: %s\r\nX-Indigowalk-Seal: s\r\nContent-Length: 900\r\n\r\nhalf", id)
		return false
	case Garbles:
		io.WriteString(c, "\x00\x01 no answer at all\r\n\r\n")
		return false
	case Errors:
		delete(header, "X-Indigowalk-Seal")
		return writeHTTPResponse(c, 500, header, "failed")
	}
	return d.writeWithFault(c, header, id, fault)
}

// writeWithFault writes a response that is mislabelled, long, stalled, in pieces or followed by more
// bytes, as the fault says, and a plain one without a fault.
func (d *Worker) writeWithFault(c net.Conn, header map[string]string, id string, fault Fault) bool {
	switch fault {
	case Mislabels:
		header["X-Indigowalk-Request-Id"] = "of-another"
	case Dribbles:
		return writeInPieces(c, header, "run "+id)
	case Trails:
		_, err := c.Write(append(encodeHTTPResponse(http.StatusOK, header, "run "+id), "run and run"...))
		return err == nil
	case Long:
		return writeHTTPResponse(c, 200, header, strings.Repeat("x", longAnswerBytes))
	case Stalls:
		b := encodeHTTPResponse(http.StatusOK, header, strings.Repeat("x", longAnswerBytes))
		if _, err := c.Write(b[:len(b)/2]); err == nil {
			<-d.ctx.Done()
		}
		return false
	}
	if !writeHTTPResponse(c, 200, header, "run "+id) {
		return false
	}
	if fault == Surplus {
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

// run simulates a request's work, queueing for a free slot, checks that a client sent the request,
// and counts the run. A second run of an unsafe request violates TWICE.
func (d *Worker) run(id, content string) {
	d.mu.Lock()
	d.Arrived++
	ahead := d.busy / d.Slots
	d.busy++
	d.mu.Unlock()
	time.Sleep(time.Duration(ahead+1) * d.Work)
	d.mu.Lock()
	d.busy--
	d.mu.Unlock()
	d.check(id, content)
	s := d.s
	if s.Observe.Ran != nil {
		s.Observe.Ran(Run{Service: s.Name, Database: d.ID, ID: id, Begins: true})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.unsafe[id] && s.runs[id] > 1 {
		s.violations = append(s.violations, fmt.Sprintf("TWICE: %s runs %s a second time", d.ID, id))
	}
}

// check checks that a received request is the one that a client sent under the id; otherwise it
// violates UNASKED.
func (d *Worker) check(id, content string) {
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if want, ok := s.expected[id]; !ok || want != content {
		s.violations = append(s.violations, fmt.Sprintf("UNASKED: %s gets %.80q (%d bytes) as %s, asked was %.80q", d.ID, content, len(content), id, want))
	}
}
