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

// Parameters of the HTTP services behind gateways, of their clients and of the route probes.
const (
	workersPerService = 8
	clientsPerGateway = 4
	requestPause      = 20 * time.Millisecond
	requestDeadline   = 2 * time.Second
	workerDrainTime   = drainBound/2 + time.Second
	probeDialTimeout  = 500 * time.Millisecond
	probeRequestPath  = "/probe"
)

// newService creates an HTTP service whose workers record their events in the history.
func (t *testRun) newService(name string) *standin.Service {
	s := standin.NewService(t.cluster.loopback, name)
	s.Observer = standin.Observer{
		Ran: func(r standin.Run) {
			t.traffic.AddRun(history.Run{Service: r.Service, Database: r.Database, ID: r.ID, Begins: r.Begins, At: t.traffic.Now()})
		},
		DrainAcked: func(service, database string) {
			t.traffic.AddDrain(history.Drain{Service: service, Database: database, At: t.traffic.Now()})
		},
	}
	return s
}

// requestRoutes returns the routes to an HTTP service.
func requestRoutes(service string) []history.TemplateRoute {
	host := service + ".example"
	return []history.TemplateRoute{
		{Host: host, Prefix: "/safe/", Type: "idempotent", Service: service},
		{Host: host, Prefix: "/unsafe/", Type: "mutating", Service: service},
	}
}

// startRequests starts the clients of every service at every gateway.
func (t *testRun) startRequests() {
	for _, s := range t.services {
		var gateways []standin.Gateway
		for i, m := range t.cluster.currentMachines() {
			if m.proxy {
				gateways = append(gateways, standin.Gateway{
					Number: i + 1, Address: func() string { return t.cluster.currentMachines()[i].clientAddr() },
					Network: t.cluster.loopback.Network(address(clientGroup, 1+i)),
				})
			}
		}
		t.requests = append(t.requests, s.StartLoad(gateways, clientsPerGateway, requestPause, func(r standin.Request) { t.recordRequest(s.Name, r) }))
	}
}

// recordRequest adds a request to the history.
func (t *testRun) recordRequest(service string, r standin.Request) {
	code := ""
	switch r.Status {
	case http.StatusOK:
	case 0:
		code = history.Unanswered
	default:
		code = strconv.Itoa(r.Status)
	}
	t.traffic.AddStatement(history.Statement{
		Pooler: r.Gateway, Service: service, ID: r.ID, Deadline: requestDeadline, Write: false, Key: r.ID,
		Sent: t.traffic.Offset(r.Sent), Done: t.traffic.Offset(r.Done), Code: code,
	})
}

// probeRoute requests one of the operators' routes from a gateway and reports whether the gateway serves
// it. If the response doesn't show that, known is false.
func (t *testRun) probeRoute(addr, route string, number int) (served, known bool) {
	dialer := net.Dialer{Timeout: probeDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(operatorHost())}}
	c, err := dialer.Dial("tcp4", addr)
	if err != nil {
		return false, false
	}
	defer c.Close()
	id := fmt.Sprintf("probe-%s-%d", addr, number)
	t.services[0].ExpectRequest(id, "GET "+probeRequestPath+" ", true)
	a := standin.ExchangeRaw(c, fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Indigowalk-Request-Id: %s\r\n\r\n", probeRequestPath, route, id))
	return a.Status == http.StatusOK, a.Status == http.StatusOK || a.Status == http.StatusNotFound
}

// injectWorkerFault injects one fault into a random worker of an HTTP service and returns when the fault
// is over.
func (f *faultInjector) injectWorkerFault(ctx context.Context, kind string, r *rand.Rand) error {
	serviceIndex := r.IntN(len(f.services))
	s := f.services[serviceIndex]
	workers := s.Workers()
	w := workers[r.IntN(len(workers))]
	if !w.Reserve() {
		return nil // it has stopped, or another fault affects it
	}
	defer w.Release()
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: kind, Node: w.ID, Planned: kind == ReplaceDatabase, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	id := fmt.Sprintf("%s-r%d", s.Name, f.replacementNumbers.next())
	switch kind {
	case Crash:
		w.Crash(r.IntN(3) == 0)
		sleep(ctx, randomDuration(r, maxCrashTime))
		f.cluster.loopback.Silence(w.IP, false)
		s.Add(id, w.IP, w.Zone)
	case ReplaceDatabase:
		f.addMu.Lock()
		s.Add(id, address(databaseGroup+serviceIndex, len(s.Workers())), w.Zone)
		f.addMu.Unlock()
		if r.IntN(3) == 0 {
			w.Deregister()
		} else {
			w.Drain()
		}
		sleep(ctx, workerDrainTime)
		w.Shutdown()
	case Reset:
		f.cluster.loopback.ResetConns(w.IP)
	case Hang:
		f.hangHost(ctx, w.IP, r)
	case ProtocolViolation:
		w.InjectFault(standin.AllFaults[r.IntN(len(standin.AllFaults))])
		sleep(ctx, randomDuration(r, maxProtocolViolation))
		w.InjectFault(standin.NoFault)
	}
	return nil
}
