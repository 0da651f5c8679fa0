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
	Program string // path of the executable under test
	Dir     string // an empty directory for settings files, data directories and logs
	// Promote, if set, replaces the platform's handling of promotion requests, to test
	// that the checks detect a wrong promotion.
	Promote func(groups []*standin.Group, service, id string) int
}

const (
	// startTimeout is how long the cluster may take to accept the first configuration and to get ready.
	startTimeout = 30 * time.Second
	// faultFreeEnd is the time at the end of the workload in which no fault is injected.
	faultFreeEnd = recoveryBound + 2*time.Second
	// faultFreeEndAfterKill is the same period for plans that kill every process at the end.
	faultFreeEndAfterKill = faultFreeEnd + 10*time.Second
	// finalCheckTimeout bounds the operators' final requests.
	finalCheckTimeout = 20 * time.Second
	// maxOrdersResent is how many orders are sent again at the end. It is less than the number
	// of orders that the control state deduplicates, since some of those were never acknowledged.
	maxOrdersResent = 256
	// deadlineGrace is how long after its deadline a statement must have received its response.
	deadlineGrace = 500 * time.Millisecond
	// probeInterval is the pause between two probes of a proxy.
	probeInterval = 250 * time.Millisecond
)

// testRun is the state of one run of a plan.
type testRun struct {
	cfg       Config
	cluster   *cluster
	orders    *history.Orders
	traffic   *history.Traffic
	operators *operators
	groups    []*standin.Group
	loads     []*standin.Load
	services  []*standin.Service
	requests  []*standin.RequestLoad

	mu  sync.Mutex
	err error // the first error that makes the run invalid
}

// Run executes a plan and returns its report. It stops everything that it has started, even
// if ctx ends early.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	t, err := newTestRun(cfg)
	if err != nil {
		return nil, err
	}
	defer t.cluster.stop()
	if err := t.start(ctx); err != nil {
		return nil, err
	}
	t.runWorkload(ctx)
	if err := t.firstError(); err != nil {
		return nil, err
	}
	if err := t.recordFinalState(ctx); err != nil {
		return nil, err
	}
	leaks := t.cluster.checkLeaks(ctx, t.traffic.Now())
	for _, g := range t.groups {
		g.Stop()
	}
	for _, s := range t.services {
		for _, d := range s.Workers() {
			d.Crash(false)
		}
	}
	return t.report(leaks), nil
}

func newTestRun(cfg Config) (*testRun, error) {
	cluster, err := newCluster(cfg.Plan, cfg.Program, cfg.Dir)
	if err != nil {
		return nil, err
	}
	t := &testRun{cfg: cfg, cluster: cluster, orders: history.NewOrders()}
	t.traffic = history.NewTraffic(t.orders)
	common := history.Template{}
	if cfg.Plan.Tier == Gateway {
		common.Type = "idempotent"
	}
	for i := range int(cfg.Plan.Services) {
		service := fmt.Sprintf("service%d", i+1)
		if i == 0 {
			common.Service = service
		} else {
			common.OtherServices = append(common.OtherServices, service)
		}
		if cfg.Plan.Tier == Gateway {
			common.Routes = append(common.Routes, requestRoutes(service)...)
			t.services = append(t.services, t.newService(service))
			continue
		}
		for kind, routeType := range map[string]string{standin.PrimaryRoute: "primary", standin.BoundedRoute: "bounded", standin.NearestRoute: "nearest"} {
			common.Routes = append(common.Routes, history.TemplateRoute{Host: kind + "." + service, Type: routeType, Service: service})
		}
		t.groups = append(t.groups, t.newGroup(service))
	}
	t.operators = &operators{network: t.cluster.loopback.Network(operatorHost()), loopback: t.cluster.loopback, orders: t.orders, common: common}
	t.cluster.platform.Promote = t.promote
	return t, nil
}

// newGroup creates a database service whose databases record their events in the history.
func (t *testRun) newGroup(service string) *standin.Group {
	g := standin.NewGroup(t.cluster.loopback, service)
	g.Observer = standin.Observer{
		Ran: func(r standin.Run) {
			t.traffic.AddRun(history.Run{Service: r.Service, Database: r.Database, ID: r.ID, Begins: r.Begins, At: t.traffic.Now()})
		},
		DrainAcked: func(service, database string) {
			t.traffic.AddDrain(history.Drain{Service: service, Database: database, At: t.traffic.Now()})
		},
		Promoted: func(p standin.Promotion) {
			t.traffic.AddPromotion(history.Promotion{Service: p.Service, Database: p.Database, Term: p.Term, WriteIDs: p.LoggedStatements, At: t.traffic.Now()})
		},
	}
	return g
}

// startDatabases starts the databases or workers of every service.
func (t *testRun) startDatabases() {
	for n, s := range t.services {
		for i := range workersPerService {
			s.Add(fmt.Sprintf("%s-%d", s.Name, i+1), address(databaseGroup+n, i), fmt.Sprintf("zone-%d", i%zoneCount+1))
		}
	}
	for n, g := range t.groups {
		for i, role := range []string{"primary", "replica", "replica"} {
			g.Add(fmt.Sprintf("%s-%d", g.Service, i+1), address(databaseGroup+n, i), fmt.Sprintf("zone-%d", i+1), role)
		}
	}
}

// promote handles the platform's promotion requests and returns an HTTP status code.
func (t *testRun) promote(service, id string) int {
	if t.cfg.Promote != nil {
		return t.cfg.Promote(t.groups, service, id)
	}
	for _, g := range t.groups {
		if g.Service == service {
			return g.StartPromotion(id)
		}
	}
	return http.StatusBadRequest
}

// start starts all processes and databases and waits until the first configuration is accepted and the
// cluster is ready.
func (t *testRun) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeoutCause(ctx, startTimeout, errors.New("start timed out"))
	defer cancel()
	if err := t.cluster.start(); err != nil {
		return err
	}
	t.startDatabases()
	firstOrder := t.orders.Add(history.Order{Rev: 1, Routes: map[string]int64{"route-0": 1000}})
	r := t.newRandom(0)
	for code := 0; code != http.StatusOK; {
		sentAt := t.orders.Tick()
		code = t.operators.send(r, firstOrder)
		t.orders.AddAnswer(firstOrder, sentAt, code)
		if exits := t.cluster.unexpectedExits(); len(exits) > 0 {
			return fmt.Errorf("testbed: %s", exits[0])
		}
		if ctx.Err() != nil {
			return fmt.Errorf("testbed: the first configuration was not accepted: %w%s", context.Cause(ctx), t.controlLogs())
		}
		sleep(ctx, probeInterval/5)
	}
	return t.cluster.awaitReady(ctx)
}

// controlLogs returns the ends of the control nodes' logs.
func (t *testRun) controlLogs() string {
	var out strings.Builder
	for _, m := range t.cluster.currentMachines() {
		if m.control {
			fmt.Fprintf(&out, "\n%s:\n%s", m.procs[0].name, m.procs[0].logTail())
		}
	}
	return out.String()
}

// newRandom returns a random number generator for one stream of the plan's seed.
func (t *testRun) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(t.cfg.Plan.Seed), stream))
}

// runWorkload runs clients, operators, probes and fault injection for the plan's duration.
func (t *testRun) runWorkload(ctx context.Context) {
	duration := time.Duration(t.cfg.Plan.LengthS) * time.Second
	workloadCtx, cancelWorkload := context.WithTimeout(ctx, duration)
	defer cancelWorkload()
	faultFreeTime := faultFreeEnd
	if t.cfg.Plan.KillAllAtEnd {
		faultFreeTime = faultFreeEndAfterKill
	}
	faultCtx, cancelFaults := context.WithTimeout(ctx, max(duration-faultFreeTime, 0))
	defer cancelFaults()
	t.startLoads()
	t.startRequests()
	var clients, injecting sync.WaitGroup
	for i := range t.cfg.Plan.Operators {
		clients.Go(func() { t.operators.run(workloadCtx, t.newRandom(operatorStreams+uint64(i))) })
	}
	for i, m := range t.cluster.currentMachines() {
		if m.proxy {
			clients.Go(func() { t.probe(workloadCtx, i, t.newRandom(probeStreams+uint64(i))) })
		}
	}
	injector := &faultInjector{
		cluster: t.cluster, traffic: t.traffic, groups: t.groups, services: t.services,
		fail: func(err error) { t.recordError(err); cancelWorkload(); cancelFaults() },
	}
	for i, tl := range injector.timelines() {
		injecting.Go(func() { injector.runTimeline(faultCtx, tl, t.newRandom(faultStreams+uint64(i))) })
	}
	injecting.Wait()
	if t.cfg.Plan.KillAllAtEnd && t.firstError() == nil {
		if err := t.killAllAfterOrder(workloadCtx); err != nil {
			t.recordError(err)
		}
	}
	clients.Wait()
	for _, l := range t.loads {
		l.Stop()
	}
	for _, l := range t.requests {
		l.Stop()
	}
}

// Streams of random numbers. The plural ones are the first of a range, one stream for each operator,
// probed proxy or timeline.
const (
	operatorStreams = 100
	probeStreams    = 200
	faultStreams    = 1000
	killStream      = 4
)

// killAllAfterOrder waits for the next acknowledgement of an order, then kills all processes, erases the
// disk of one control machine and restarts the processes.
func (t *testRun) killAllAfterOrder(ctx context.Context) error {
	acknowledged := len(t.orders.Acknowledged())
	for ctx.Err() == nil && len(t.orders.Acknowledged()) == acknowledged {
		sleep(ctx, probeInterval/50)
	}
	r := t.newRandom(killStream)
	machines := t.cluster.currentMachines()
	var controls []*machine
	for _, m := range machines {
		m.lifecycle.Lock()
		defer m.lifecycle.Unlock()
		if m.control {
			controls = append(controls, m)
		}
	}
	faultNumber := t.traffic.BeginFault(history.Fault{Kind: KillAll, AllNodes: true, Control: true, At: t.traffic.Now()})
	defer func() { t.traffic.EndFault(faultNumber) }()
	return t.cluster.restart(ctx, randomDuration(r, maxDowntime), controls[r.IntN(len(controls))])
}

func (t *testRun) recordError(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.err == nil {
		t.err = err
	}
}

func (t *testRun) firstError() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// startLoads starts the clients of every database service at every pooler.
func (t *testRun) startLoads() {
	for _, g := range t.groups {
		var poolers []standin.Pooler
		for i, m := range t.cluster.currentMachines() {
			if m.proxy {
				poolers = append(poolers, standin.Pooler{
					Number: i + 1, Address: func() string { return t.cluster.currentMachines()[i].clientAddr() },
					Network: t.cluster.loopback.Network(address(clientGroup, 1+i)),
				})
			}
		}
		t.loads = append(t.loads, standin.NewLoad(g, uint64(t.cfg.Plan.Seed), poolers, func(s standin.Statement) { t.recordStatement(g.Service, s) }))
	}
}

// recordStatement adds a statement to the history.
func (t *testRun) recordStatement(service string, s standin.Statement) {
	lag := time.Duration(0)
	if !strings.HasPrefix(s.Route, standin.PrimaryRoute+".") {
		lag = standin.MaxStaleness
	}
	t.traffic.AddStatement(history.Statement{
		Pooler: s.Pooler, Route: s.Route, Service: service, ID: s.ID, Write: s.Write, Key: service + "/" + s.Key, Value: s.Value,
		MaxLag: lag, Deadline: standin.Deadline, Sent: t.traffic.Offset(s.Sent), LastSent: t.traffic.Offset(s.LastSent), Done: t.traffic.Offset(s.Done), Code: s.Code,
	})
}

// probe repeatedly records whether the proxy of the machine at the given position serves a random one of
// the routes that operators change.
func (t *testRun) probe(ctx context.Context, position int, r *rand.Rand) {
	network := t.cluster.loopback.Network(operatorHost())
	for number := 0; ctx.Err() == nil; number++ {
		sleep(ctx, probeInterval)
		route, m := routeName(r), t.cluster.currentMachines()[position]
		sent := t.traffic.Now()
		if t.cfg.Plan.Tier == Gateway {
			if served, known := t.probeRoute(m.clientAddr(), route, number); known {
				t.traffic.AddProbe(history.Probe{Pooler: m.clientAddr(), Route: route, Served: served, Sent: sent, Done: t.traffic.Now()})
			}
			continue
		}
		s, code := standin.Login(network, m.clientAddr(), route)
		if s != nil {
			s.Close()
		}
		if s != nil || code == noSuchRoute {
			t.traffic.AddProbe(history.Probe{Pooler: m.clientAddr(), Route: route, Served: s != nil, Sent: sent, Done: t.traffic.Now()})
		}
	}
}

// noSuchRoute is a pooler's error code for a login to a route that does not exist.
const noSuchRoute = "NODB"

// recordFinalState sends the newest acknowledged orders again, reads back the final configuration and
// records the logs of the primaries. No faults are injected any more, so a missing definite response is
// an error: a history without its final state can't be checked.
func (t *testRun) recordFinalState(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, finalCheckTimeout)
	defer cancel()
	r := t.newRandom(3)
	for _, n := range newest(t.orders.Acknowledged(), maxOrdersResent) {
		if err := t.resend(ctx, r, n); err != nil {
			return err
		}
	}
	for rev := int64(0); rev == 0; {
		if ctx.Err() != nil {
			return errors.New("testbed: the final configuration could not be read back")
		}
		rev, _ = t.operators.fetchConfig(r)
	}
	for _, g := range t.groups {
		if primary := g.Primary(); primary != nil {
			t.traffic.AddPromotion(history.Promotion{Service: g.Service, Database: primary.ID, WriteIDs: primary.LoggedStatements(), At: t.traffic.Now()})
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
func (t *testRun) resend(ctx context.Context, r *rand.Rand, n int) error {
	for ctx.Err() == nil {
		sentAt := t.orders.Tick()
		code := t.operators.send(r, n)
		t.orders.AddAnswer(n, sentAt, code)
		if code != 0 {
			return nil
		}
		sleep(ctx, resendBackoff)
	}
	return fmt.Errorf("testbed: order %d was acknowledged earlier but received no definite response when sent again at the end; %s", n, t.lastAcknowledgement())
}
