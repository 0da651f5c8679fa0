package simulation

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/kernel"
	"indigowalk/internal/standin"
)

// connectionsInUse returns the number of database connections that requests at a zone's gateway have
// checked out of the pool.
func connectionsInUse(w *World, zone int) (n int) {
	for _, c := range kernel.Need[connpool.ConnectionCounts](w.Process("gateway", zone).Kernel)() {
		n += c[0] - c[1]
	}
	return n
}

// openRequests returns the number of requests in progress at a zone's gateway.
func openRequests(w *World, zone int) int64 {
	return w.Process("gateway", zone).Kernel.Counters.Snapshot()["gateway.requests_open"]
}

// clientConnections returns the number of open client connections at a zone's gateway.
func clientConnections(w *World, zone int) int64 {
	return w.Process("gateway", zone).Kernel.Counters.Snapshot()["gateway.connections_open"]
}

// sendRequest opens a client connection to the first zone's gateway, sends a request and returns the
// connection without reading the response.
func sendRequest(t *testing.T, w *World, s *Service, host, method, path string) net.Conn {
	t.Helper()
	conn, err := w.Net.Host(host).Dial(context.Background(), ip(1)+":8784", 0)
	if err != nil {
		t.Fatal(err)
	}
	id := "r" + path
	s.ExpectRequest(id, method+" "+path+" ", method == "GET")
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\n\r\n", method, path, s.Name, id); err != nil {
		t.Fatal(err)
	}
	return conn
}

// When a client disconnects, an idempotent request is cancelled at its database. A request that must
// not be repeated runs on, and its database connection is released by the deadline.
func TestClientDisconnects(t *testing.T) {
	for method, path := range map[string]string{"GET": "/safe/a", "POST": "/unsafe/b"} {
		t.Run(method, func(t *testing.T) {
			withGatewayCluster(t, func(w *World, s *Service) {
				for _, d := range s.Workers() {
					d.InjectFault(SendsNoResponse)
				}
				conn := sendRequest(t, w, s, requestHost, method, path)
				time.Sleep(100 * time.Millisecond)
				if connectionsInUse(w, 1) != 1 {
					t.Fatalf("%d database connections are in use during the request, want 1", connectionsInUse(w, 1))
				}
				conn.Close()
				time.Sleep(400 * time.Millisecond)
				if n, want := connectionsInUse(w, 1), map[string]int{"GET": 0, "POST": 1}[method]; n != want {
					t.Errorf("%d database connections are in use after the client has disconnected, want %d", n, want)
				}
				time.Sleep(2 * time.Second)
				if connectionsInUse(w, 1) != 0 || openRequests(w, 1) != 0 {
					t.Errorf("after the deadline %d database connections are in use and %d requests open, want none", connectionsInUse(w, 1), openRequests(w, 1))
				}
			})
		})
	}
}

// Neither a client that does not read its response nor a database that stalls in the middle of a long
// response keeps the request open or the database connection in use beyond the route's deadline.
func TestStalledResponses(t *testing.T) {
	const stalledClient = "10.251.0.9"
	for name, c := range map[string]struct {
		fault        Fault
		clientStalls bool // the client does not read
	}{
		"client does not read a short response": {NoFault, true},
		"client does not read a long response":  {SendsLongResponse, true},
		"database stalls in a long response":    {StallsInResponse, false},
	} {
		t.Run(name, func(t *testing.T) {
			withGatewayCluster(t, func(w *World, s *Service) {
				for _, d := range s.Workers() {
					d.InjectFault(c.fault)
				}
				conn := sendRequest(t, w, s, stalledClient, "GET", "/safe/a")
				defer conn.Close()
				w.Net.SetReceiveBlocked(stalledClient, c.clientStalls)
				time.Sleep(2600 * time.Millisecond)
				if connectionsInUse(w, 1) != 0 || openRequests(w, 1) != 0 {
					t.Errorf("600 ms after the deadline %d database connections are in use and %d requests open, want none", connectionsInUse(w, 1), openRequests(w, 1))
				}
				time.Sleep(5 * time.Second)
				if n := clientConnections(w, 1); c.clientStalls && n > 0 {
					t.Errorf("%d connections of clients that do not read are still open", n)
				}
				w.Net.SetReceiveBlocked(stalledClient, false)
				time.Sleep(time.Minute)
			})
		})
	}
}

// A rejected request is answered immediately, whether or not its body has arrived, and does not stay
// open if the body never arrives.
func TestErrorResponsesDoNotWaitForBody(t *testing.T) {
	for name, c := range map[string]struct {
		line, id string
		status   int
	}{
		"no route": {"POST /else", "a", 404},
		"no id":    {"POST /unsafe/1", "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			withGatewayCluster(t, func(w *World, _ *Service) {
				conn, err := w.Net.Host(requestHost).Dial(context.Background(), ip(1)+":8784", 0)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				began := time.Now()
				a := standin.ExchangeRaw(conn, fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", c.line, c.id))
				if took := time.Since(began); a.Status != c.status || took > 200*time.Millisecond {
					t.Errorf("status %d after %v, want %d within 200 ms", a.Status, took, c.status)
				}
				if openRequests(w, 1) != 0 {
					t.Errorf("%d requests are still open, want none", openRequests(w, 1))
				}
			})
		})
	}
}
