package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/kernel"
)

// Answer is what a client of a gateway was told.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Closes bool // the connection ends with it
	Unsent bool // there was no connection to the gateway
	Took   time.Duration
}

// Ask sends one request to a gateway; safe ones may run more than once. Status is 0 if
// there was no whole answer.
func (s *Service) Ask(network kernel.Network, addr, id string, safe bool, body string) Answer {
	path, method := "/safe/"+id+"?x=%2F%41", "GET"
	if !safe {
		path, method = "/unsafe/"+id, "POST"
	}
	s.Expect(id, method+" "+path+" "+body, safe)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestDialWait)
	defer cancel()
	c, err := network.Dial(ctx, addr, 0)
	if err != nil {
		return Answer{Unsent: true, Took: time.Since(start)}
	}
	defer c.Close()
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\nX-Indigowalk-Deadline-Ms: 2000\r\n", method, path, s.Name, id)
	b.WriteString("X-Kept: yes\r\nX-Dropped: no\r\nConnection: keep-alive, X-Dropped\r\nTE: trailers\r\nX-Indigowalk-Target-Instance: i-none\r\n")
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	a := Raw(c, b.Bytes())
	a.Took = time.Since(start)
	a.Unsent = a.Status == 0 && !s.env.Made(c)
	if a.Status == http.StatusOK {
		s.succeeded(id, a)
	}
	return a
}

// requestDialWait is how long a client waits for a connection, requestWait for an answer.
const (
	requestDialWait = time.Second
	requestWait     = 10 * time.Second
)

// succeeded checks a success.
func (s *Service) succeeded(id string, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Body != "run "+id || a.Header.Get("X-Indigowalk-Seal") != "seal-of-"+id {
		s.broken = append(s.broken, fmt.Sprintf("MIXED: %s is answered %q with %q", id, a.Body, a.Header.Get("X-Indigowalk-Seal")))
	}
	if s.runs[id] == 0 {
		s.broken = append(s.broken, "MIXED: "+id+" succeeded and never ran")
	}
}

// Raw sends bytes and reads one answer.
func Raw(c net.Conn, b []byte) (a Answer) {
	if c.SetReadDeadline(time.Now().Add(requestWait)) != nil {
		return a
	}
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

// Refused checks that what was promised not to have run has not.
func (s *Service) Refused(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] > 0 {
		s.broken = append(s.broken, "REFUSED: "+id+" was promised not to have run")
	}
}

// Entry is a gateway as its clients reach it.
type Entry struct {
	Number  int           // names what is asked there
	Address func() string // as it is now
	Network kernel.Network
}

// Request is what became of one.
type Request struct {
	Gateway    string
	ID         string
	Safe       bool
	Sent, Done time.Time
	Status     int // 0 if there was no whole answer
}

// Requests is a load of requests on gateways.
type Requests struct {
	s       *Service
	observe func(Request)
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	Statuses map[int]int
	Slowest  time.Duration
}

// longEvery is one in how many unsafe requests of a load is long, and longBytes how long.
const (
	longEvery = 25
	longBytes = 200 << 10
)

// Load starts so many clients at each gateway, which send safe and unsafe requests;
// observe, if there is one, is told what became of each.
func (s *Service) Load(entries []Entry, clients int, pause time.Duration, observe func(Request)) *Requests {
	l := &Requests{s: s, observe: observe, stop: make(chan struct{}), Statuses: map[int]int{}}
	for _, e := range entries {
		for i := range clients {
			l.wg.Go(func() { l.client(e, i, pause) })
		}
	}
	return l
}

func (l *Requests) client(e Entry, i int, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		id, safe, body := fmt.Sprintf("r-%s-%d-%d-%d", l.s.Name, e.Number, i, n), n%3 > 0, ""
		if !safe {
			body = "what " + strconv.Itoa(n)
		}
		if l.observe != nil && n%longEvery == 0 {
			safe, body = false, strings.Repeat(body+" ", longBytes/(len(body)+1))
		}
		addr, sent := e.Address(), time.Now()
		a := l.s.Ask(e.Network, addr, id, safe, body)
		if a.Status == http.StatusServiceUnavailable {
			l.s.Refused(id)
		}
		if l.observe != nil && !a.Unsent {
			l.observe(Request{Gateway: addr, ID: id, Safe: safe, Sent: sent, Done: time.Now(), Status: a.Status})
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
