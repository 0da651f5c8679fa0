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

// Answer is the outcome of a request to a gateway, with the response if there was one.
type Answer struct {
	Status int // 0 if there was no complete response
	Header http.Header
	Body   string
	Closes bool // the response says that the connection is closed after it
	Unsent bool // the request did not reach the gateway
	Took   time.Duration
}

// SendRequest sends one request to a gateway and checks a successful response. Only a safe request may
// run more than once.
func (s *Service) SendRequest(network kernel.Network, addr, id string, safe bool, body string) Answer {
	path, method := "/safe/"+id+"?x=%2F%41", "GET"
	if !safe {
		path, method = "/unsafe/"+id, "POST"
	}
	s.ExpectRequest(id, method+" "+path+" "+body, safe)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), requestDialTimeout)
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
	a := ExchangeRaw(c, b.Bytes())
	a.Took = time.Since(start)
	a.Unsent = a.Status == 0 && !s.env.ReachedPeer(c)
	if a.Status == http.StatusOK {
		s.checkSuccess(id, a)
	}
	return a
}

// requestDialTimeout is how long a client waits for a connection, requestTimeout for a response.
const (
	requestDialTimeout = time.Second
	requestTimeout     = 10 * time.Second
)

// checkSuccess records a MIXED violation if a successful response does not belong to the request or the
// request has not run.
func (s *Service) checkSuccess(id string, a Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.Body != "run "+id || a.Header.Get("X-Indigowalk-Seal") != "seal-of-"+id {
		s.violations = append(s.violations, fmt.Sprintf("MIXED: %s is answered %q with %q", id, a.Body, a.Header.Get("X-Indigowalk-Seal")))
	}
	if s.runs[id] == 0 {
		s.violations = append(s.violations, "MIXED: "+id+" succeeded and never ran")
	}
}

// ExchangeRaw sends bytes as they are and reads one HTTP response. The status is 0 without a complete
// response.
func ExchangeRaw(c net.Conn, b []byte) (a Answer) {
	if c.SetReadDeadline(time.Now().Add(requestTimeout)) != nil {
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

// Refused records a REFUSED violation if a request has run although the gateway's response promised that
// it had not.
func (s *Service) Refused(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[id] > 0 {
		s.violations = append(s.violations, "REFUSED: "+id+" was promised not to have run")
	}
}

// Gateway is a gateway as seen by its clients.
type Gateway struct {
	Number  int           // distinguishes the ids of the requests sent to it
	Address func() string // the current address
	Network kernel.Network
}

// Request is a request to a gateway and its result.
type Request struct {
	Gateway    string
	ID         string
	Safe       bool
	Sent, Done time.Time
	Status     int // 0 if there was no complete response
}

// RequestLoad is a workload of clients that send requests to gateways.
type RequestLoad struct {
	s       *Service
	observe func(Request)
	stop    chan struct{}
	wg      sync.WaitGroup

	mu       sync.Mutex
	Statuses map[int]int   // number of requests by status
	Slowest  time.Duration // the longest time that a successful request took
}

// With an observer, one in longRequestInterval requests of each client is an unsafe one with a body of
// about longRequestBytes.
const (
	longRequestInterval = 25
	longRequestBytes    = 200 << 10
)

// StartLoad starts the given number of clients at each gateway, which send safe and unsafe requests. If
// observe is not nil, it is called with each request that reached a gateway.
func (s *Service) StartLoad(gateways []Gateway, clients int, pause time.Duration, observe func(Request)) *RequestLoad {
	l := &RequestLoad{s: s, observe: observe, stop: make(chan struct{}), Statuses: map[int]int{}}
	for _, g := range gateways {
		for i := range clients {
			l.wg.Go(func() { l.client(g, i, pause) })
		}
	}
	return l
}

// client sends requests to one gateway until the load is stopped. It checks that requests refused with
// status 503 have not run.
func (l *RequestLoad) client(g Gateway, number int, pause time.Duration) {
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(pause):
		}
		id, safe, body := fmt.Sprintf("r-%s-%d-%d-%d", l.s.Name, g.Number, number, n), n%3 > 0, ""
		if !safe {
			body = "what " + strconv.Itoa(n)
		}
		if l.observe != nil && n%longRequestInterval == 0 {
			safe, body = false, strings.Repeat(body+" ", longRequestBytes/(len(body)+1))
		}
		addr, sent := g.Address(), time.Now()
		a := l.s.SendRequest(g.Network, addr, id, safe, body)
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
func (l *RequestLoad) Stop() {
	close(l.stop)
	l.wg.Wait()
}
