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

// Service is a group of databases that answer requests, each alike.
type Service struct {
	Name    string
	Observe Observer // of runs and leavings

	env Environment

	mu      sync.Mutex
	asked   map[string]string // what clients asked for, by request id
	unsafe  map[string]bool   // ids that may run once
	runs    map[string]int
	broken  []string
	workers []*Worker
}

// Fault is how a worker misbehaves.
type Fault int

// Faults of workers.
const (
	Well      Fault = iota
	Mute            // runs and does not answer
	Loses           // runs and resets
	Breaks          // answers in part
	Garbles         // answers what is no answer
	Surplus         // answers, and again later
	Sheds           // is full and says so
	Resets          // is full and resets
	Errors          // answers 500
	Forgetful       // drops connections that rest, and resets what then comes
	Early           // turns long requests away before they are in, and reads on
	Dribbles        // answers in pieces
	Mislabels       // answers under another request's id
	Trails          // sends bytes behind its answer that are none
	Long            // answers at length, which is no fault
	Stalls          // answers at length, and stops in the middle
)

// longAnswer is how long such an answer is.
const longAnswer = 1 << 20

// AllFaults are those that there are.
var AllFaults = []Fault{Mute, Loses, Breaks, Garbles, Surplus, Sheds, Resets, Errors, Forgetful, Early, Dribbles, Mislabels, Trails}

// Worker is one database of a Service.
type Worker struct {
	s        *Service
	ID       string
	IP, Zone string
	Slots    int
	Work     time.Duration

	mu      sync.Mutex
	taken   bool // somebody strikes it, or it is gone
	fault   Fault
	healthy bool
	drain   bool
	busy    int
	Arrived int
	Last    http.Header // of the newest request
	ctx     context.Context
	cancel  context.CancelFunc
}

// NewService returns a service without databases.
func NewService(env Environment, name string) *Service {
	return &Service{Name: name, env: env, asked: map[string]string{}, unsafe: map[string]bool{}, runs: map[string]int{}}
}

// workerPort is that of every worker.
const workerPort = "8000"

// Add starts a database.
func (s *Service) Add(id, ip, zone string) *Worker {
	d := &Worker{s: s, ID: id, IP: ip, Zone: zone, Slots: 2, Work: 20 * time.Millisecond, healthy: true}
	s.mu.Lock()
	s.workers = append(s.workers, d)
	s.mu.Unlock()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	serveAt(s.env.Network(ip), net.JoinHostPort(ip, workerPort), d.serve)
	go d.beats()
	return d
}

// Workers returns the databases in the order in which they were added.
func (s *Service) Workers() []*Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.workers)
}

// DB returns a database in the order in which they were added.
func (s *Service) DB(i int) *Worker { return s.Workers()[i] }

// Broken lists the rules that were broken.
func (s *Service) Broken() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.broken)
}

// Runs is how often the request of an id has run.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// Expect notes what a client is about to ask for under an id; what is not safe may run
// once.
func (s *Service) Expect(id, what string, safe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked[id], s.unsafe[id] = what, !safe
}

// Be has the database misbehave from now on, or no more.
func (d *Worker) Be(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Health has it tell that it is well, or ill, whatever it is.
func (d *Worker) Health(well bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.healthy = well
}

// Header is that of the newest request.
func (d *Worker) Header() http.Header {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Last
}

// Count is how many requests have arrived.
func (d *Worker) Count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Arrived
}

// Crash ends it without notice; dark has its host fall silent.
func (d *Worker) Crash(dark bool) {
	d.cancel()
	if dark {
		d.s.env.Silence(d.IP, true)
	}
	d.s.env.Reset(d.IP)
}

// leaveWait is how long a database waits for its leaving to be acknowledged.
const leaveWait = 5 * time.Second

// Leave drains it: it tells so, and returns once that is acknowledged, or false if it is
// not in time.
func (d *Worker) Leave() bool {
	d.mu.Lock()
	d.drain = true
	d.mu.Unlock()
	for end := time.Now().Add(leaveWait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if d.beat() {
			if d.s.Observe.Drains != nil {
				d.s.Observe.Drains(d.s.Name, d.ID)
			}
			return true
		}
	}
	return false
}

// Take has a database be struck by one at a time; false if it is struck already, or gone.
func (d *Worker) Take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	taken := d.taken || d.ctx.Err() != nil
	d.taken = d.taken || !taken
	return !taken
}

// Give ends what Take began.
func (d *Worker) Give() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.taken = false
}

// Deregister says that it has gone, though it serves on.
func (d *Worker) Deregister() {
	if d.call("/Servers.Deregister/"+d.ID, nil) && d.s.Observe.Drains != nil {
		d.s.Observe.Drains(d.s.Name, d.ID)
	}
}

// End deregisters it and ends.
func (d *Worker) End() {
	d.call("/Servers.Deregister/"+d.ID, nil)
	d.Crash(false)
}

func (d *Worker) beats() {
	for {
		d.beat()
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(700 * time.Millisecond):
		}
	}
}

func (d *Worker) beat() bool {
	d.mu.Lock()
	status := "up"
	if d.drain {
		status = "draining"
	}
	d.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"svc": d.s.Name, "address": net.JoinHostPort(d.IP, workerPort), "zone": d.Zone, "rev": "v1", "slots": d.Slots, "status": status,
		"warmup_left_ms": 0, "call_seq": time.Now().UnixMicro(),
	})
	return d.call("/Servers.Heartbeat/"+d.ID, body)
}

// call makes a call to the first control node that acknowledges it, if any does.
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

// serve answers one connection's requests.
func (d *Worker) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		rested := time.Now()
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.Last = q.Header
		fault := d.fault
		d.mu.Unlock()
		if fault == Early && q.ContentLength > longBody {
			if !d.turnAway(c, q) {
				return
			}
			continue
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if fault == Forgetful && time.Since(rested) > 200*time.Millisecond {
			return
		}
		if !d.answer(c, q, body, fault) {
			return
		}
	}
}

// longBody is from when on a request is turned away before it is in.
const longBody = 64 << 10

// turnAway answers a long request before it has read it, and reads on: what comes must
// be the rest of that request.
func (d *Worker) turnAway(c net.Conn, q *http.Request) bool {
	id := q.Header.Get("X-Indigowalk-Request-Id")
	header := map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}
	if !answerTo(c, http.StatusServiceUnavailable, header, "") {
		return false
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return false // it is cut short, which is no fault
	}
	d.check(id, q.Method+" "+q.RequestURI+" "+string(body))
	return true
}

// answer answers one request; false ends the connection.
func (d *Worker) answer(c net.Conn, q *http.Request, body []byte, fault Fault) bool {
	d.mu.Lock()
	healthy, full := d.healthy && !d.drain, d.busy >= d.Slots+8
	d.mu.Unlock()
	id := q.Header.Get("X-Indigowalk-Request-Id")
	switch {
	case q.URL.Path == "/healthz":
		status := 200
		if !healthy {
			status = 503
		}
		return answerTo(c, status, map[string]string{"X-Indigowalk-Instance-Id": d.ID}, "")
	case q.Header.Get("X-Indigowalk-Target-Instance") != d.ID:
		return answerTo(c, 421, map[string]string{"X-Indigowalk-Not-Run": "1"}, "")
	case fault == Sheds || full:
		return answerTo(c, 503, map[string]string{"X-Indigowalk-Not-Run": "1", "X-Indigowalk-Request-Id": id}, "")
	case fault == Resets:
		return false
	}
	d.run(id, q.Method+" "+q.RequestURI+" "+string(body))
	return d.finish(c, id, fault)
}

// finish writes the answer to a request that has run, as far as the fault lets it.
func (d *Worker) finish(c net.Conn, id string, fault Fault) bool {
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
		return answerTo(c, 500, header, "failed")
	}
	return d.answerOddly(c, header, id, fault)
}

// answerOddly writes an answer that is late, long, in pieces or followed by more, as the
// fault says, and a plain one without a fault.
func (d *Worker) answerOddly(c net.Conn, header map[string]string, id string, fault Fault) bool {
	switch fault {
	case Mislabels:
		header["X-Indigowalk-Request-Id"] = "of-another"
	case Dribbles:
		return dribble(c, header, "run "+id)
	case Trails:
		_, err := c.Write(append(encodeAnswer(http.StatusOK, header, "run "+id), "run and run"...))
		return err == nil
	case Long:
		return answerTo(c, 200, header, strings.Repeat("x", longAnswer))
	case Stalls:
		b := encodeAnswer(http.StatusOK, header, strings.Repeat("x", longAnswer))
		if _, err := c.Write(b[:len(b)/2]); err == nil {
			<-d.ctx.Done()
		}
		return false
	}
	if !answerTo(c, 200, header, "run "+id) {
		return false
	}
	if fault == Surplus {
		time.Sleep(5 * time.Millisecond)
		header["X-Indigowalk-Request-Id"] = "of-another"
		answerTo(c, 200, header, "of another")
	}
	return true
}

// dribble answers in pieces.
func dribble(c net.Conn, header map[string]string, body string) bool {
	b := encodeAnswer(http.StatusOK, header, body)
	for len(b) > 0 {
		n := min(piece, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return false
		}
		b = b[n:]
		time.Sleep(piecePause)
	}
	return true
}

func answerTo(c net.Conn, status int, header map[string]string, body string) bool {
	_, err := c.Write(encodeAnswer(status, header, body))
	return err == nil
}

func encodeAnswer(status int, header map[string]string, body string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	return b.Bytes()
}

// run does a request's work, once a slot is free, and checks that it was asked
// for.
func (d *Worker) run(id, what string) {
	d.mu.Lock()
	d.Arrived++
	ahead := d.busy / d.Slots
	d.busy++
	d.mu.Unlock()
	time.Sleep(time.Duration(ahead+1) * d.Work)
	d.mu.Lock()
	d.busy--
	d.mu.Unlock()
	d.check(id, what)
	s := d.s
	if s.Observe.Ran != nil {
		s.Observe.Ran(Run{Service: s.Name, Database: d.ID, ID: id, Begins: true})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if s.unsafe[id] && s.runs[id] > 1 {
		s.broken = append(s.broken, fmt.Sprintf("TWICE: %s runs %s a second time", d.ID, id))
	}
}

// check checks that what came is what was asked for under the id.
func (d *Worker) check(id, what string) {
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if want, ok := s.asked[id]; !ok || want != what {
		s.broken = append(s.broken, fmt.Sprintf("UNASKED: %s gets %.80q (%d bytes) as %s, asked was %.80q", d.ID, what, len(what), id, want))
	}
}
