package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// Config is the configuration of a run.
type Config struct {
	Plan    Plan
	Program string // path of the executable
	Dir     string // an empty directory for settings, disks and logs
	// Promote, if set, replaces the platform's handling of promotion requests, to test
	// that the checks detect a wrong promotion.
	Promote func(groups []*standin.Group, service, id string) int
}

const (
	// startTimeout is how long processes may take to start serving.
	startTimeout = 30 * time.Second
	// faultFreeEnd is how long no fault is injected before the final state is checked.
	faultFreeEnd = contactBound + 2*time.Second
	// faultFreeEndAfterKill is the same period for plans that kill every process at the end.
	faultFreeEndAfterKill = faultFreeEnd + 10*time.Second
	// finalCheckTimeout bounds the operators' final requests.
	finalCheckTimeout = 20 * time.Second
	// maxOrdersResent is how many orders are sent again at the end. It is less than the number
	// of orders that the control state deduplicates, since some of those were never acknowledged.
	maxOrdersResent = 256
	// answerBound is how long after its deadline a statement may still receive its response.
	answerBound = 500 * time.Millisecond
	// probeInterval is the pause between two probes of a proxy.
	probeInterval = 250 * time.Millisecond
)

// bed is the state of one run.
type bed struct {
	cfg       Config
	cluster   *cluster
	orders    *history.Orders
	traffic   *history.Traffic
	operators *operators
	groups    []*standin.Group
	loads     []*standin.Load
	services  []*standin.Service
	requests  []*standin.Requests

	mu    sync.Mutex
	fault error // the first error that prevented the run from continuing
}

// Run executes a plan and returns its report. It stops everything that it has started, even
// if ctx ends early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	b, err := newBed(cfg)
	if err != nil {
		return nil, err
	}
	defer b.cluster.end()
	if err := b.boot(ctx); err != nil {
		return nil, err
	}
	b.runWorkload(ctx)
	if err := b.failure(); err != nil {
		return nil, err
	}
	if err := b.recordFinalState(ctx); err != nil {
		return nil, err
	}
	leaks := b.cluster.leaks(ctx, b.traffic.Now())
	for _, g := range b.groups {
		g.End()
	}
	for _, s := range b.services {
		for _, d := range s.Workers() {
			d.Crash(false)
		}
	}
	return b.report(leaks), nil
}

func newBed(cfg Config) (*bed, error) {
	cluster, err := newCluster(cfg.Plan, cfg.Program, cfg.Dir)
	if err != nil {
		return nil, err
	}
	b := &bed{cfg: cfg, cluster: cluster, orders: history.NewOrders()}
	b.traffic = history.NewTraffic(b.orders)
	frame := history.Frame{}
	if cfg.Plan.Tier == Gateway {
		frame.Type = "idempotent"
	}
	for i := range int(cfg.Plan.Services) {
		service := fmt.Sprintf("service%d", i+1)
		if i == 0 {
			frame.Service = service
		} else {
			frame.Others = append(frame.Others, service)
		}
		if cfg.Plan.Tier == Gateway {
			frame.Routes = append(frame.Routes, requestRoutes(service)...)
			b.services = append(b.services, b.service(service))
			continue
		}
		for kind, routeType := range map[string]string{standin.PrimaryRoute: "primary", standin.BoundedRoute: "bounded", standin.NearestRoute: "nearest"} {
			frame.Routes = append(frame.Routes, history.FrameRoute{Host: kind + "." + service, Type: routeType, Service: service})
		}
		b.groups = append(b.groups, b.group(service))
	}
	b.operators = &operators{network: b.cluster.net.Network(operatorHost()), net: b.cluster.net, orders: b.orders, frame: frame}
	b.cluster.platform.Promote = b.promote
	return b, nil
}

// group creates a database service whose databases record their events in the history.
func (b *bed) group(service string) *standin.Group {
	g := standin.NewGroup(b.cluster.net, service)
	g.Observe = standin.Observer{
		Ran: func(r standin.Run) {
			b.traffic.Ran(history.Run{Service: r.Service, Database: r.Database, ID: r.ID, Begins: r.Begins, At: b.traffic.Now()})
		},
		Drains: func(service, database string) {
			b.traffic.Draining(history.Drains{Service: service, Database: database, At: b.traffic.Now()})
		},
		Promoted: func(p standin.Promotion) {
			b.traffic.Promoted(history.Promotion{Service: p.Service, Database: p.Database, Term: p.Term, Holds: p.Holds, At: b.traffic.Now()})
		},
	}
	return g
}

// databases starts the databases of every service.
func (b *bed) databases() {
	for n, s := range b.services {
		for i := range workersPerService {
			s.Add(fmt.Sprintf("%s-%d", s.Name, i+1), address(databaseGroup+n, i), fmt.Sprintf("zone-%d", i%zones+1))
		}
	}
	for n, g := range b.groups {
		for i, role := range []string{"primary", "replica", "replica"} {
			g.Add(fmt.Sprintf("%s-%d", g.Service, i+1), address(databaseGroup+n, i), fmt.Sprintf("zone-%d", i+1), role)
		}
	}
}

// promote handles the platform's promotion requests and returns an HTTP status code.
func (b *bed) promote(service, id string) int {
	if b.cfg.Promote != nil {
		return b.cfg.Promote(b.groups, service, id)
	}
	for _, g := range b.groups {
		if g.Service == service {
			return g.PromoteTo(id)
		}
	}
	return http.StatusBadRequest
}

// boot starts all processes and waits until the first configuration is accepted and the
// cluster is ready.
func (b *bed) boot(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, startTimeout, errors.New("start timed out"))
	defer cancel()
	if err := b.cluster.start(); err != nil {
		return err
	}
	b.databases()
	firstOrder := b.orders.Add(history.Order{Rev: 1, Routes: map[string]int64{"route-0": 1000}})
	r := b.random(0)
	for code := 0; code != http.StatusOK; {
		sentAt := b.orders.Tick()
		code = b.operators.send(r, firstOrder)
		b.orders.Answered(firstOrder, sentAt, code)
		if faults := b.cluster.faults(); len(faults) > 0 {
			return fmt.Errorf("testbed: %s", faults[0])
		}
		if ctx.Err() != nil {
			return fmt.Errorf("testbed: no configuration is taken: %w%s", context.Cause(ctx), b.logs())
		}
		sleep(ctx, probeInterval/5)
	}
	return b.cluster.ready(ctx)
}

// logs returns the last lines of the control nodes' logs.
func (b *bed) logs() string {
	var out strings.Builder
	for _, m := range b.cluster.all() {
		if m.control {
			fmt.Fprintf(&out, "\n%s:\n%s", m.procs[0].name, m.procs[0].tail())
		}
	}
	return out.String()
}

// random returns a random number generator for one stream of the plan's seed.
func (b *bed) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(b.cfg.Plan.Seed), stream))
}

// runWorkload runs clients, operators, probes and fault injection for the plan's duration.
func (b *bed) runWorkload(ctx context.Context) {
	length := time.Duration(b.cfg.Plan.LengthS) * time.Second
	workloadCtx, cancelWorkload := context.WithTimeout(ctx, length)
	defer cancelWorkload()
	tail := faultFreeEnd
	if b.cfg.Plan.KillAllAtEnd {
		tail = faultFreeEndAfterKill
	}
	faultCtx, cancelFaults := context.WithTimeout(ctx, max(length-tail, 0))
	defer cancelFaults()
	b.startLoads()
	b.startRequests()
	var clients, injecting sync.WaitGroup
	for i := range b.cfg.Plan.Operators {
		clients.Go(func() { b.operators.run(workloadCtx, b.random(operatorStreams+uint64(i))) })
	}
	for i, m := range b.cluster.all() {
		if m.proxy {
			clients.Go(func() { b.probe(workloadCtx, i, b.random(probeStreams+uint64(i))) })
		}
	}
	injector := &faultInjector{
		cluster: b.cluster, traffic: b.traffic, groups: b.groups, services: b.services,
		failed: func(err error) { b.fail(err); cancelWorkload(); cancelFaults() },
	}
	for i, line := range injector.timelines() {
		injecting.Go(func() { injector.run(faultCtx, line, b.random(faultStreams+uint64(i))) })
	}
	injecting.Wait()
	if b.cfg.Plan.KillAllAtEnd && b.failure() == nil {
		if err := b.killAllAfterOrder(workloadCtx); err != nil {
			b.fail(err)
		}
	}
	clients.Wait()
	for _, l := range b.loads {
		l.Stop()
	}
	for _, l := range b.requests {
		l.Stop()
	}
}

// Streams of random numbers, each with an offset so that no two users share a stream.
const (
	operatorStreams = 100
	probeStreams    = 200
	faultStreams    = 1000
	killStream      = 4
)

// killAllAfterOrder kills and restarts all processes right after an order was acknowledged,
// and erases the disk of one control machine at the same time.
func (b *bed) killAllAfterOrder(ctx context.Context) error {
	acknowledged := len(b.orders.Acknowledged())
	for ctx.Err() == nil && len(b.orders.Acknowledged()) == acknowledged {
		sleep(ctx, probeInterval/50)
	}
	r := b.random(killStream)
	machines := b.cluster.all()
	var controls []*machine
	for _, m := range machines {
		m.lifecycle.Lock()
		defer m.lifecycle.Unlock()
		if m.control {
			controls = append(controls, m)
		}
	}
	number := b.traffic.Begin(history.Trouble{Kind: All, Everywhere: true, Control: true, At: b.traffic.Now()})
	defer func() { b.traffic.End(number) }()
	return b.cluster.restart(ctx, randomDuration(r, maxDowntime), controls[r.IntN(len(controls))])
}

func (b *bed) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fault == nil {
		b.fault = err
	}
}

func (b *bed) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fault
}

// startLoads starts the clients of every service at every pooler.
func (b *bed) startLoads() {
	for _, g := range b.groups {
		var poolers []standin.Pooler
		for i, m := range b.cluster.all() {
			if m.proxy {
				poolers = append(poolers, standin.Pooler{
					Number: i + 1, Address: func() string { return b.cluster.all()[i].clientAddr() },
					Network: b.cluster.net.Network(address(clientGroup, 1+i)),
				})
			}
		}
		b.loads = append(b.loads, standin.NewLoad(g, uint64(b.cfg.Plan.Seed), poolers, func(s standin.Statement) { b.recordStatement(g.Service, s) }))
	}
}

// recordStatement adds a statement to the history.
func (b *bed) recordStatement(service string, s standin.Statement) {
	lag := time.Duration(0)
	if !strings.HasPrefix(s.Route, standin.PrimaryRoute+".") {
		lag = standin.Stale
	}
	b.traffic.Asked(history.Statement{
		Pooler: s.Pooler, Route: s.Route, Service: service, ID: s.ID, Write: s.Write, Thing: service + "/" + s.Thing, Value: s.Value,
		MayLag: lag, Within: standin.Deadline, Sent: b.traffic.Since(s.Sent), Last: b.traffic.Since(s.Last), Done: b.traffic.Since(s.Done), Code: s.Code,
	})
}

// probe checks repeatedly whether the routes that operators change are served by the proxy of
// the machine at the given position.
func (b *bed) probe(ctx context.Context, position int, r *rand.Rand) {
	network := b.cluster.net.Network(operatorHost())
	for n := 0; ctx.Err() == nil; n++ {
		sleep(ctx, probeInterval)
		route, m := routeName(r), b.cluster.all()[position]
		sent := b.traffic.Now()
		if b.cfg.Plan.Tier == Gateway {
			if served, known := b.probeRoute(m.clientAddr(), route, n); known {
				b.traffic.Probed(history.Probe{Pooler: m.clientAddr(), Route: route, Served: served, Sent: sent, Done: b.traffic.Now()})
			}
			continue
		}
		s, code := standin.Login(network, m.clientAddr(), route)
		if s != nil {
			s.Close()
		}
		if s != nil || code == noSuchRoute {
			b.traffic.Probed(history.Probe{Pooler: m.clientAddr(), Route: route, Served: s != nil, Sent: sent, Done: b.traffic.Now()})
		}
	}
}

// noSuchRoute is the error code for a session on a route that does not exist.
const noSuchRoute = "NODB"

// recordFinalState sends the newest acknowledged orders again, and reads back the final
// configuration. No faults are injected any more, so an indefinite response is a failure: a
// history without its final state can't be checked.
func (b *bed) recordFinalState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finalCheckTimeout)
	defer cancel()
	r := b.random(3)
	for _, n := range newest(b.orders.Acknowledged(), maxOrdersResent) {
		if err := b.resend(ctx, r, n); err != nil {
			return err
		}
	}
	for rev := int64(0); rev == 0; {
		if ctx.Err() != nil {
			return errors.New("testbed: the final configuration could not be read back")
		}
		rev, _ = b.operators.read(r)
	}
	for _, g := range b.groups {
		if leader := g.Primary(); leader != nil {
			b.traffic.Promoted(history.Promotion{Service: g.Service, Database: leader.ID, Holds: leader.Holds(), At: b.traffic.Now()})
		}
	}
	return nil
}

// newest returns at most limit of the highest numbers, in increasing order.
func newest(numbers []int, limit int) []int {
	slices.Sort(numbers)
	return numbers[max(0, len(numbers)-limit):]
}

// resend sends an order until it receives a definite response.
func (b *bed) resend(ctx context.Context, r *rand.Rand, n int) error {
	for ctx.Err() == nil {
		sentAt := b.orders.Tick()
		code := b.operators.send(r, n)
		b.orders.Answered(n, sentAt, code)
		if code != 0 {
			return nil
		}
		sleep(ctx, resendBackoff)
	}
	return fmt.Errorf("testbed: order %d was acknowledged earlier but received no definite response when sent again at the end; %s", n, b.lastAcknowledgement())
}
