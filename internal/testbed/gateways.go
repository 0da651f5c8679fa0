package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// What a service in front of which gateways stand is like.
const (
	workersAService  = 8
	clientsAGateway  = 4
	requestPause     = 20 * time.Millisecond
	requestDeadline  = 2 * time.Second
	workerDrainsFor  = drainBound/2 + time.Second
	probeDialWait    = 500 * time.Millisecond
	probeRequestPath = "/probe"
)

// service makes a service of requests whose databases tell what they see.
func (b *bed) service(name string) *standin.Service {
	s := standin.NewService(b.cluster.net, name)
	s.Observe = standin.Observer{
		Ran: func(r standin.Run) {
			b.traffic.Ran(history.Run{Service: r.Service, Database: r.Database, ID: r.ID, Begins: r.Begins, At: b.traffic.Now()})
		},
		Drains: func(service, database string) {
			b.traffic.Draining(history.Drains{Service: service, Database: database, At: b.traffic.Now()})
		},
	}
	return s
}

// requestRoutes are the routes to a service of requests.
func requestRoutes(service string) []history.FrameRoute {
	host := service + ".example"
	return []history.FrameRoute{
		{Host: host, Prefix: "/safe/", Type: "idempotent", Service: service},
		{Host: host, Prefix: "/unsafe/", Type: "mutating", Service: service},
	}
}

// startRequests starts the clients of every service at every gateway.
func (b *bed) startRequests() {
	for _, s := range b.services {
		var entries []standin.Entry
		for i, m := range b.cluster.all() {
			if m.carrier {
				entries = append(entries, standin.Entry{
					Number: i + 1, Address: func() string { return b.cluster.all()[i].clientAddr() },
					Network: b.cluster.net.Network(address(clientGroup, 1+i)),
				})
			}
		}
		b.requests = append(b.requests, s.Load(entries, clientsAGateway, requestPause, func(r standin.Request) { b.noteRequest(s.Name, r) }))
	}
}

// noteRequest puts a request into the history.
func (b *bed) noteRequest(service string, r standin.Request) {
	code := ""
	switch r.Status {
	case http.StatusOK:
	case 0:
		code = history.Unanswered
	default:
		code = strconv.Itoa(r.Status)
	}
	b.traffic.Asked(history.Statement{
		Pooler: r.Gateway, Service: service, ID: r.ID, Within: requestDeadline, Write: false, Thing: r.ID,
		Sent: b.traffic.Since(r.Sent), Done: b.traffic.Since(r.Done), Code: code,
	})
}

// askRoute asks for a route of the operators at a gateway; known is false if the answer
// tells nothing of it.
func (b *bed) askRoute(addr, route string, number int) (served, known bool) {
	dialer := net.Dialer{Timeout: probeDialWait, LocalAddr: &net.TCPAddr{IP: net.ParseIP(operatorHost())}}
	c, err := dialer.Dial("tcp4", addr)
	if err != nil {
		return false, false
	}
	defer c.Close()
	id := fmt.Sprintf("probe-%s-%d", addr, number)
	b.services[0].Expect(id, "GET "+probeRequestPath+" ", true)
	a := standin.Raw(c, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Indigowalk-Request-Id: %s\r\n\r\n", probeRequestPath, route, id))
	return a.Status == http.StatusOK, a.Status == http.StatusOK || a.Status == http.StatusNotFound
}

// strikeWorker carries one trouble of a database of requests out.
func (t *troubles) strikeWorker(ctx context.Context, kind string, r *rand.Rand) error {
	number := r.IntN(len(t.services))
	s := t.services[number]
	workers := s.Workers()
	d := workers[r.IntN(len(workers))]
	if !d.Take() {
		return nil // it is away, or leaves
	}
	defer d.Give()
	noted := t.traffic.Begin(history.Trouble{Kind: kind, Node: d.ID, Planned: kind == Release, At: t.traffic.Now()})
	defer func() { t.traffic.End(noted) }()
	id := fmt.Sprintf("%s-r%d", s.Name, t.rounds.next())
	switch kind {
	case Crash:
		d.Crash(r.IntN(3) == 0)
		sleep(ctx, span(r, longestCrash))
		t.cluster.net.Silence(d.IP, false)
		s.Add(id, d.IP, d.Zone)
	case Release:
		t.adding.Lock()
		s.Add(id, address(databaseGroup+number, len(s.Workers())), d.Zone)
		t.adding.Unlock()
		if r.IntN(3) == 0 {
			d.Deregister()
		} else {
			d.Leave()
		}
		sleep(ctx, workerDrainsFor)
		d.End()
	case Reset:
		t.cluster.net.Break(d.IP)
	case Hang:
		t.hang(ctx, d.IP, r)
	case Manners:
		d.Be(standin.AllFaults[r.IntN(len(standin.AllFaults))])
		sleep(ctx, span(r, longestManners))
		d.Be(standin.Well)
	}
	return nil
}
