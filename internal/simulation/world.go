package simulation

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"

	// The components of a deployment register themselves.
	_ "indigowalk/internal/controlapi"
	_ "indigowalk/internal/controlstate"
	_ "indigowalk/internal/dbconn"
	_ "indigowalk/internal/discovery"
	_ "indigowalk/internal/distribution"
	_ "indigowalk/internal/failover"
	_ "indigowalk/internal/gateway"
	_ "indigowalk/internal/health"
	_ "indigowalk/internal/httpconn"
	_ "indigowalk/internal/membership"
	_ "indigowalk/internal/pooler"
	_ "indigowalk/internal/readrouting"
	_ "indigowalk/internal/routeconfig"
	_ "indigowalk/internal/rpc"
	"indigowalk/internal/standin"
)

// TB is the part of testing.TB that a World needs.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	TempDir() string
	Logf(format string, args ...any)
}

// World is a simulated deployment with its databases, platform and network.
type World struct {
	T                 TB
	Net               *Net
	Groups            map[string]*Group
	Services          map[string]*Service
	Deploy            string // settings key deploy; "" means pooler
	dir               string
	zones             atomic.Int64 // numbered from 1; see Zones
	mu                sync.Mutex   // guards processes
	processes         map[string]*Process
	platform          *standin.Platform
	LongPollTimeoutMs int       // settings key tune.poll_ms
	TolerateHosts     int       // settings key tolerate.hosts
	MaxConns          int       // max_conns of the services
	ControlNodes      int       // how many zones, from the first, have a control node; 0 means all
	Seeds             []string  // seeds of processes started from now on; nil means the first three control nodes
	Settings          string    // additional settings of processes started from now on, as lines
	LogOutput         io.Writer // receives what processes log, unless it is nil
}

// Process is a control node, pooler or gateway of the deployment.
type Process struct {
	world  *World
	Name   string
	Role   string
	IP     string
	Kernel *kernel.Kernel
	cancel context.CancelFunc
	done   chan struct{}
	dir    string
}

// platformIP is the IP address of the platform.
const platformIP = "10.200.0.1"

// NewWorld returns a world with a platform and one machine in each zone, on which a control node
// and a proxy run once they are started. A process keeps its data directory when it restarts.
func NewWorld(t TB, seed uint64, zones int) *World {
	w := &World{
		T: t, Net: NewNet(seed), Groups: map[string]*Group{}, Services: map[string]*Service{}, dir: t.TempDir(),
		processes: map[string]*Process{}, LongPollTimeoutMs: 600, TolerateHosts: 1, MaxConns: 90,
	}
	w.SetZones(zones)
	w.platform = &standin.Platform{Promote: w.promoteDatabase}
	listener, err := w.Net.Host(platformIP).Listen(platformIP + ":8783")
	if err != nil {
		t.Fatalf("platform: %v", err)
	}
	go http.Serve(listener, w.platform)
	return w
}

// promoteDatabase carries out a call to the platform: it promotes a database of a group and returns
// the HTTP status.
func (w *World) promoteDatabase(service, id string) int {
	g := w.Groups[service]
	if g == nil {
		return http.StatusBadRequest
	}
	return g.StartPromotion(id)
}

// RefusePlatformCalls makes the platform respond to the next calls with these statuses instead of
// carrying them out; 0 leaves a call without a response.
func (w *World) RefusePlatformCalls(codes ...int) { w.platform.ForceResponses(codes...) }

// PlatformCalls returns how many calls the platform has received.
func (w *World) PlatformCalls() int { return w.platform.Calls() }

// ip returns the IP address of a zone's machine.
func ip(zone int) string { return fmt.Sprintf("10.%d.%d.1", 1+(zone-1)%200, (zone-1)/200) }

// ControlAddrs returns the control addresses of the control nodes.
func (w *World) ControlAddrs() []string {
	var addrs []string
	for z := 1; z <= w.Zones(); z++ {
		if w.ControlNodes == 0 || z <= w.ControlNodes {
			addrs = append(addrs, ip(z)+":8782")
		}
	}
	return addrs
}

// Boot starts every control node and proxy for the first time.
func (w *World) Boot() {
	for z := 1; z <= w.Zones(); z++ {
		if w.ControlNodes == 0 || z <= w.ControlNodes {
			w.Start("control", z, true)
		}
		w.Start(w.ProxyRole(), z, true)
	}
}

// ProxyRole returns the role of the processes that serve clients, pooler or gateway.
func (w *World) ProxyRole() string {
	if w.Deploy == settings.DeployAPI {
		return "gateway"
	}
	return "pooler"
}

// Start starts a process on a zone's machine. bootstrap is set when the deployment starts for the
// first time.
func (w *World) Start(role string, zone int, bootstrap bool) *Process {
	name := fmt.Sprintf("%s-%d", role, zone)
	p := &Process{world: w, Name: name, Role: role, IP: ip(zone), done: make(chan struct{}), dir: filepath.Join(w.dir, name)}
	seeds := strings.Join(w.ControlAddrs()[:min(3, w.Zones())], ",")
	if w.Seeds != nil {
		seeds = strings.Join(w.Seeds, ",")
	}
	text := fmt.Sprintf(`node_name=%[1]s
ip=%[2]s
zone=z%[3]d
listen.client_addr=%[2]s:8784
listen.ready_addr=%[2]s:8785
listen.control_addr=%[2]s:8782
port_range=7440,7455
seeds=%[4]s
bootstrap=%[5]t
data_dir=%[6]s
platform.address=%[7]s:8783
tune.poll_ms=%[8]d
tolerate.hosts=%[9]d
deploy=%[10]s
tune.metrics_port=0
%[11]s`, name, p.IP, zone, seeds, bootstrap, p.dir, platformIP, w.LongPollTimeoutMs, w.TolerateHosts, cmp.Or(w.Deploy, "pooler"), w.Settings)
	s, err := settings.Parse([]byte(text))
	if err != nil {
		w.T.Fatalf("settings: %v", err)
	}
	k := kernel.NewKernel(role, w.Net.Host(p.IP), slog.New(slog.NewTextHandler(processLog{w, name}, nil)))
	// There is no need to sync files: what a killed process wrote persists, and power failures are
	// not simulated.
	k.Sync = func(*os.File) error { return nil }
	k.Invariants.OnViolation(func(v invariant.Violation) { w.T.Errorf("%s: %v", name, v) })
	kernel.Offer(k, settings.NewLive(s))
	if err := k.Assemble(); err != nil {
		w.T.Fatalf("%s: %v", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.Kernel, p.cancel = k, cancel
	go func() {
		defer close(p.done)
		if err := k.Run(ctx); err != nil {
			w.T.Errorf("%s: %v", name, err)
		}
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes[name] = p
	return p
}

// processLog receives the log of the process with the given name.
type processLog struct {
	world *World
	name  string
}

func (l processLog) Write(b []byte) (int, error) {
	if l.world.LogOutput != nil {
		l.world.LogOutput.Write(b)
	}
	if os.Getenv("SIMULATION_LOG") != "" {
		l.world.T.Logf("%s %s", l.name, bytes.TrimSpace(b))
	}
	return len(b), nil
}

// Process returns the running process with a role in a zone, or nil if there is none.
func (w *World) Process(role string, zone int) *Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.processes[fmt.Sprintf("%s-%d", role, zone)]
}

// runningProcesses returns the processes that run.
func (w *World) runningProcesses() []*Process {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.processes))
}

// Zones returns the number of zones.
func (w *World) Zones() int { return int(w.zones.Load()) }

// SetZones changes the number of zones. Databases send heartbeats to the control nodes of all.
func (w *World) SetZones(n int) { w.zones.Store(int64(n)) }

// Kill ends the process abruptly, as SIGKILL does.
func (p *Process) Kill() {
	ports := []string{"7441", "8784", "8785"}
	if p.Role == "control" {
		ports = []string{"7440", "8782"}
	}
	p.cancel()
	p.world.Net.CloseSockets(p.IP, ports...)
	<-p.done
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	delete(p.world.processes, p.Name)
}

// Terminate shuts the process down gracefully, as SIGTERM does.
func (p *Process) Terminate() {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	p.Kernel.Shutdown(ctx)
	p.Kill()
}

// Isolate separates a zone's machine from those of the given other zones (all if none are given),
// or reconnects it to them. Databases, clients and the platform stay reachable.
func (w *World) Isolate(zone int, isolated bool, from ...int) {
	for z := 1; z <= w.Zones(); z++ {
		if z != zone && (len(from) == 0 || slices.Contains(from, z)) {
			w.Net.SetPartitioned(ip(zone), ip(z), isolated)
		}
	}
}

// Wipe deletes the process's data directory, as when its disk is lost.
func (p *Process) Wipe() {
	if err := os.RemoveAll(p.dir); err != nil {
		p.world.T.Fatalf("wipe: %v", err)
	}
}

// Close stops all databases and processes, waits two minutes for pending timers and connections
// to end, and reports the violations that the stand-ins have recorded.
func (w *World) Close() {
	w.Net.Heal()
	for _, g := range w.Groups {
		g.Stop()
	}
	for _, s := range w.Services {
		for _, d := range s.Workers() {
			d.Crash(false)
		}
	}
	for _, p := range w.runningProcesses() {
		p.Kill()
	}
	w.Net.CloseSockets(platformIP)
	time.Sleep(2 * time.Minute)
	for _, g := range w.Groups {
		for _, violation := range g.Violations() {
			w.T.Errorf("%s: %s", g.Service, violation)
		}
	}
	for _, s := range w.Services {
		for _, violation := range s.Violations() {
			w.T.Errorf("%s: %s", s.Name, violation)
		}
	}
	for _, violation := range w.platform.Violations() {
		w.T.Errorf("platform: %s", violation)
	}
}

// Configuration returns a configuration as JSON. Each group has a route of each type: primary,
// bounded and nearest, with the hosts p.SERVICE, b.SERVICE and n.SERVICE. Each HTTP service has
// the host SERVICE.example, with idempotent requests under /safe/ and mutating ones under /unsafe/.
func (w *World) Configuration(rev int64) []byte {
	var routes, services []map[string]any
	for name := range w.Groups {
		services = append(services, map[string]any{"name": name, "max_conns": w.MaxConns, "sync_replicas": 1})
		for _, t := range []string{"primary", "bounded", "nearest"} {
			routes = append(routes, map[string]any{
				"name": t + name, "host": t[:1] + "." + name, "path_prefix": "/", "type": t, "svc": name,
				"deadline_ms": 2000, "target_ms": 250, "prio": 1, "tries": 2, "stale_ms": 1500,
			})
		}
	}
	for name := range w.Services {
		services = append(services, map[string]any{"name": name, "max_conns": w.MaxConns, "health_path": "/healthz"})
		for prefix, t := range map[string]string{"/safe/": "idempotent", "/unsafe/": "mutating"} {
			routes = append(routes, map[string]any{
				"name": t + name, "host": name + ".example", "path_prefix": prefix, "type": t, "svc": name,
				"deadline_ms": 2000, "target_ms": 500, "prio": 1, "tries": 2,
			})
		}
	}
	raw, _ := json.Marshal(map[string]any{
		"rev": rev, "routes": routes, "services": services, "limits": map[string]any{"txn_idle_ms": 3000},
	})
	return raw
}

// Call makes one HTTP call from a host to a control address, as standin.Call does.
func (w *World) Call(from *Host, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	return standin.Call(from, method, addr, path, header, body)
}

// Replace sends a configuration once, to one control node, and returns the HTTP status.
func (w *World) Replace(zone int, base int64, body []byte) int {
	code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(zone)+":8782", "/Conf.Replace",
		map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(base, 10)}, body)
	return code
}

// FetchVersion returns the version of the configuration, read from the first control node that
// answers, or 0 if none does.
func (w *World) FetchVersion() int64 {
	for _, addr := range w.ControlAddrs() {
		code, raw := w.Call(w.Net.Host("10.250.0.1"), "GET", addr, "/Conf.Fetch", nil, nil)
		var config struct {
			Rev int64 `json:"rev"`
		}
		if code == 200 && json.Unmarshal(raw, &config) == nil {
			return config.Rev
		}
	}
	return 0
}

// Configure sends the first configuration until it is accepted and waits until every proxy is
// ready.
func (w *World) Configure() {
	w.T.Helper()
	body := w.Configuration(1)
	w.WaitUntil("the configuration is accepted", 10*time.Second, func() bool { return w.Replace(1, 0, body) == 200 })
	w.WaitUntil("every proxy is ready", 10*time.Second, func() bool {
		for z := 1; z <= w.Zones(); z++ {
			if code, _ := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(z)+":8785", "/readyz", nil, nil); code != 200 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // until primaries are known and the first leases are granted
}

// WaitUntil polls a condition until it holds, and returns how long that took. The test fails if
// it does not hold within the limit.
func (w *World) WaitUntil(what string, limit time.Duration, holds func() bool) time.Duration {
	w.T.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > limit {
			w.T.Fatalf("condition does not hold within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
