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

// lent is how many connections to databases requests hold at a zone's gateway.
func lent(w *World, zone int) (n int) {
	for _, c := range kernel.Need[connpool.Counts](w.Process("gateway", zone).Kernel)() {
		n += c[0] - c[1]
	}
	return n
}

// held is how many requests a zone's gateway is working on.
func held(w *World, zone int) int64 {
	return w.Process("gateway", zone).Kernel.Counters.Snapshot()["gateway.requests_open"]
}

// connections is how many clients have one to a zone's gateway.
func connections(w *World, zone int) int64 {
	return w.Process("gateway", zone).Kernel.Counters.Snapshot()["gateway.connections_open"]
}

// send opens a connection of a client to the first zone's gateway and sends a request.
func send(t *testing.T, w *World, s *Service, host, method, path string) net.Conn {
	t.Helper()
	c, err := w.Net.Host(host).Dial(context.Background(), ip(1)+":8784", 0)
	if err != nil {
		t.Fatal(err)
	}
	id := "r" + path
	s.Expect(id, method+" "+path+" ", method == "GET")
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\n\r\n", method, path, s.Name, id); err != nil {
		t.Fatal(err)
	}
	return c
}

// What a client no longer waits for ends at its database, if it may be repeated; what may
// not runs on, and its connection is free by the deadline.
func TestClientsThatLeave(t *testing.T) {
	for method, path := range map[string]string{"GET": "/safe/a", "POST": "/unsafe/b"} {
		t.Run(method, func(t *testing.T) {
			serveRequests(t, func(w *World, s *Service) {
				for _, d := range s.Workers() {
					d.InjectFault(Mute)
				}
				c := send(t, w, s, requestHost, method, path)
				time.Sleep(100 * time.Millisecond)
				if lent(w, 1) != 1 {
					t.Fatalf("%d connections are lent", lent(w, 1))
				}
				c.Close()
				time.Sleep(400 * time.Millisecond)
				if n, want := lent(w, 1), map[string]int{"GET": 0, "POST": 1}[method]; n != want {
					t.Errorf("%d connections are lent after the client has gone, want %d", n, want)
				}
				time.Sleep(2 * time.Second)
				if lent(w, 1) != 0 || held(w, 1) != 0 {
					t.Errorf("after the deadline %d connections are lent, %d requests held", lent(w, 1), held(w, 1))
				}
			})
		})
	}
}

// A client that takes nothing, and a database that stops in the middle of a long answer,
// hold neither the request nor the database's connection for longer than the route allows.
func TestAnswersThatAreNotTaken(t *testing.T) {
	const deaf = "10.251.0.9"
	for name, c := range map[string]struct {
		fault Fault
		deaf  bool // the client takes nothing
	}{
		"a short answer not taken":  {Well, true},
		"a long answer not taken":   {Long, true},
		"a long answer that stalls": {Stalls, false},
	} {
		t.Run(name, func(t *testing.T) {
			serveRequests(t, func(w *World, s *Service) {
				for _, d := range s.Workers() {
					d.InjectFault(c.fault)
				}
				conn := send(t, w, s, deaf, "GET", "/safe/a")
				defer conn.Close()
				w.Net.Full(deaf, c.deaf)
				time.Sleep(2600 * time.Millisecond)
				if lent(w, 1) != 0 || held(w, 1) != 0 {
					t.Errorf("half a second after the deadline %d connections are lent, %d requests held", lent(w, 1), held(w, 1))
				}
				time.Sleep(5 * time.Second)
				if n := connections(w, 1); c.deaf && n > 0 {
					t.Errorf("%d connections of clients are open, which take nothing", n)
				}
				w.Net.Full(deaf, false)
				time.Sleep(time.Minute)
			})
		})
	}
}

// A request that is refused has its answer at once, whether its body has come or not, and
// one whose body never comes holds nothing.
func TestRefusalsDoNotWaitForBodies(t *testing.T) {
	for name, c := range map[string]struct {
		line, id string
		status   int
	}{
		"no route": {"POST /else", "a", 404},
		"no id":    {"POST /unsafe/1", "", 400},
	} {
		t.Run(name, func(t *testing.T) {
			serveRequests(t, func(w *World, _ *Service) {
				conn, err := w.Net.Host(requestHost).Dial(context.Background(), ip(1)+":8784", 0)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
				began := time.Now()
				a := standin.Raw(conn, fmt.Appendf(nil, "%s HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", c.line, c.id))
				if took := time.Since(began); a.Status != c.status || took > 200*time.Millisecond {
					t.Errorf("answered %d after %v, want %d at once", a.Status, took, c.status)
				}
				if held(w, 1) != 0 {
					t.Errorf("%d requests are held", held(w, 1))
				}
			})
		})
	}
}
