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

// Parameters of an HTTP service behind gateways, its clients and its probes.
const (
	workersPerService = 8
	clientsPerGateway = 4
	requestPause      = 20 * time.Millisecond
	requestDeadline   = 2 * time.Second
	workerDrainTime   = drainBound/2 + time.Second
	probeDialTimeout  = 500 * time.Millisecond
	probeRequestPath  = "/probe"
)

// service creates an HTTP service whose workers record their events in the history.
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

// requestRoutes returns the routes to an HTTP service.
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
			if m.proxy {
				entries = append(entries, standin.Entry{
					Number: i + 1, Address: func() string { return b.cluster.all()[i].clientAddr() },
					Network: b.cluster.net.Network(address(clientGroup, 1+i)),
				})
			}
		}
		b.requests = append(b.requests, s.Load(entries, clientsPerGateway, requestPause, func(r standin.Request) { b.recordRequest(s.Name, r) }))
	}
}

// recordRequest adds a request to the history.
func (b *bed) recordRequest(service string, r standin.Request) {
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

// probeRoute requests one of the operators' routes from a gateway; known is false if the
// response doesn't show whether the route is served.
func (b *bed) probeRoute(addr, route string, number int) (served, known bool) {
	dialer := net.Dialer{Timeout: probeDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(operatorHost())}}
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

// injectWorkerFault injects one fault into a worker of an HTTP service.
func (t *faultInjector) injectWorkerFault(ctx context.Context, kind string, r *rand.Rand) error {
	number := r.IntN(len(t.services))
	s := t.services[number]
	workers := s.Workers()
	d := workers[r.IntN(len(workers))]
	if !d.Reserve() {
		return nil // it is down or draining
	}
	defer d.Release()
	fault := t.traffic.Begin(history.Trouble{Kind: kind, Node: d.ID, Planned: kind == Release, At: t.traffic.Now()})
	defer func() { t.traffic.End(fault) }()
	id := fmt.Sprintf("%s-r%d", s.Name, t.rounds.next())
	switch kind {
	case Crash:
		d.Crash(r.IntN(3) == 0)
		sleep(ctx, randomDuration(r, maxCrash))
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
		sleep(ctx, workerDrainTime)
		d.End()
	case Reset:
		t.cluster.net.Break(d.IP)
	case Hang:
		t.hang(ctx, d.IP, r)
	case ProtocolViolation:
		d.InjectFault(standin.AllFaults[r.IntN(len(standin.AllFaults))])
		sleep(ctx, randomDuration(r, maxMisbehaving))
		d.InjectFault(standin.Well)
	}
	return nil
}
