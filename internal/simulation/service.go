package simulation

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Service is a group of databases that answer requests, each alike.
type Service struct {
	w    *World
	Name string

	mu     sync.Mutex
	asked  map[string]string // what clients asked for, by request id
	unsafe map[string]bool   // ids that may run once
	runs   map[string]int
	acked  map[string]bool // ids that a client saw succeed
	Broken []string
	dbs    []*Worker
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
)

// Worker is one database of a Service.
type Worker struct {
	s        *Service
	ID       string
	IP, Zone string
	Slots    int
	Work     time.Duration

	mu      sync.Mutex
	fault   Fault
	healthy bool
	drain   bool
	busy    int
	Arrived int
	Last    http.Header // of the newest request
	ctx     context.Context
	cancel  context.CancelFunc
}

// Service adds a service of so many databases in each zone.
func (w *World) Service(name string, each int) *Service {
	s := &Service{w: w, Name: name, asked: map[string]string{}, unsafe: map[string]bool{}, runs: map[string]int{}, acked: map[string]bool{}}
	w.Services[name] = s
	for z := 1; z <= w.Zones; z++ {
		for i := range each {
			s.Add(fmt.Sprintf("%s-%d-%d", name, z, i), fmt.Sprintf("10.%d.%d.%d", z, 100+len(w.Services), i+1), z)
		}
	}
	return s
}

// Add starts a database.
func (s *Service) Add(id, ip string, zone int) *Worker {
	d := &Worker{s: s, ID: id, IP: ip, Zone: fmt.Sprintf("z%d", zone), Slots: 2, Work: 20 * time.Millisecond, healthy: true}
	s.mu.Lock()
	s.dbs = append(s.dbs, d)
	s.mu.Unlock()
	d.ctx, d.cancel = context.WithCancel(context.Background())
	ln, err := s.w.Net.Host(ip).Listen(ip + ":8000")
	if err != nil {
		s.w.T.Fatalf("%s: %v", id, err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	go d.beats()
	return d
}

// DB returns a database in the order in which they were added.
func (s *Service) DB(i int) *Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dbs[i]
}

func (s *Service) broke(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Broken = append(s.Broken, fmt.Sprintf(format, args...))
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
		d.s.w.Net.Dark(d.IP, true)
	}
	d.s.w.Net.Reset(d.IP)
}

// Leave drains it: it tells so, and returns once that is acknowledged.
func (d *Worker) Leave() {
	d.mu.Lock()
	d.drain = true
	d.mu.Unlock()
	d.s.w.Until(d.ID+" may leave", 5*time.Second, func() bool { return d.beat() })
}

// End deregisters it and ends.
func (d *Worker) End() {
	for _, a := range d.s.w.ControlAddrs() {
		if code, _ := d.s.w.Call(d.s.w.Net.Host(d.IP), "POST", a, "/Servers.Deregister/"+d.ID, nil, nil); code == 200 {
			break
		}
	}
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
		"svc": d.s.Name, "address": d.IP + ":8000", "zone": d.Zone, "rev": "v1", "slots": d.Slots, "status": status,
		"warmup_left_ms": 0, "call_seq": time.Now().UnixMicro(),
	})
	for _, a := range d.s.w.ControlAddrs() {
		if d.ctx.Err() != nil {
			return false
		}
		if code, _ := d.s.w.Call(d.s.w.Net.Host(d.IP), "POST", a, "/Servers.Heartbeat/"+d.ID, nil, body); code == 200 {
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
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		d.mu.Lock()
		d.Last = q.Header
		fault := d.fault
		d.mu.Unlock()
		if fault == Forgetful && time.Since(rested) > 200*time.Millisecond {
			return
		}
		if !d.answer(c, q, body, fault) {
			return
		}
	}
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

func answerTo(c net.Conn, status int, header map[string]string, body string) bool {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for k, v := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	b.WriteString("\r\n" + body)
	_, err := c.Write(b.Bytes())
	return err == nil
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
	s := d.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	if want, ok := s.asked[id]; !ok || want != what {
		s.Broken = append(s.Broken, fmt.Sprintf("%s runs %q as %s, asked was %q", d.ID, what, id, want))
	}
	if s.unsafe[id] && s.runs[id] > 1 {
		s.Broken = append(s.Broken, fmt.Sprintf("%s runs %s a second time", d.ID, id))
	}
}

// Answer is what a client of a gateway was told.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Closes bool // the connection ends with it
	Took   time.Duration
}

// Ask sends one request to a zone's gateway; safe ones may run more than once.
// Status is 0 if there was no whole answer.
func (s *Service) Ask(zone int, id string, safe bool, body string) Answer {
	path, method := "/safe/"+id+"?x=%2F%41", "GET"
	if !safe {
		path, method = "/unsafe/"+id, "POST"
	}
	s.mu.Lock()
	s.asked[id], s.unsafe[id] = method+" "+path+" "+body, !safe
	s.mu.Unlock()
	start := time.Now()
	c, err := s.w.Net.Host("10.251.0.1").Dial(context.Background(), ip(zone)+":8784", 0)
	if err != nil {
		return Answer{Took: time.Since(start)}
	}
	defer c.Close()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\nX-Indigowalk-Deadline-Ms: 2000\r\n", method, path, s.Name, id)
	b.WriteString("X-Kept: yes\r\nX-Dropped: no\r\nConnection: keep-alive, X-Dropped\r\nTE: trailers\r\nX-Indigowalk-Target-Instance: i-none\r\n")
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	a := s.raw(c, b.Bytes())
	a.Took = time.Since(start)
	if a.Status == 200 {
		if a.Body != "run "+id || a.Header.Get("X-Indigowalk-Seal") != "seal-of-"+id {
			s.broke("%s is answered %q with %q", id, a.Body, a.Header.Get("X-Indigowalk-Seal"))
		}
		s.mu.Lock()
		s.acked[id] = true
		if s.runs[id] == 0 {
			s.Broken = append(s.Broken, id+" succeeded and never ran")
		}
		s.mu.Unlock()
	}
	return a
}

// raw sends bytes and reads one answer.
func (s *Service) raw(c net.Conn, b []byte) (a Answer) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := c.Write(b); err != nil {
		return a
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return a
	}
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return a
	}
	return Answer{Status: r.StatusCode, Header: r.Header, Body: string(raw), Closes: r.Close}
}

// Refused checks, at the end, that what was promised not to have run has not.
func (s *Service) refused(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] > 0 {
		s.Broken = append(s.Broken, id+" was promised not to have run")
	}
}

// Requests is a load of requests on all zones' gateways.
type Requests struct {
	s    *Service
	stop chan struct{}
	wg   sync.WaitGroup

	mu       sync.Mutex
	Statuses map[int]int
	Slowest  time.Duration
}

// Load starts clients in every zone, which send safe and unsafe requests.
func (s *Service) Load(clients int, pause time.Duration) *Requests {
	l := &Requests{s: s, stop: make(chan struct{}), Statuses: map[int]int{}}
	for z := 1; z <= s.w.Zones; z++ {
		for i := range clients {
			l.wg.Go(func() { l.client(z, i, pause) })
		}
	}
	return l
}

func (l *Requests) client(zone, i int, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		id, safe, body := fmt.Sprintf("r-%d-%d-%d", zone, i, n), n%3 > 0, ""
		if !safe {
			body = "what " + strconv.Itoa(n)
		}
		a := l.s.Ask(zone, id, safe, body)
		if a.Status == 503 {
			l.s.refused(id)
		}
		l.mu.Lock()
		l.Statuses[a.Status]++
		if a.Status == 200 {
			l.Slowest = max(l.Slowest, a.Took)
		}
		l.mu.Unlock()
	}
}

// Stop ends the load.
func (l *Requests) Stop() {
	close(l.stop)
	l.wg.Wait()
}
