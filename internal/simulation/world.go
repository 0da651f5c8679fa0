package simulation

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/settings"

	// The parts that a cluster is made of register themselves.
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

// TB is what the world needs of a test.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Errorf(format string, args ...any)
	TempDir() string
	Logf(format string, args ...any)
}

// World is a deployment in one process.
type World struct {
	T            TB
	Net          *Net
	Zones        int
	Groups       map[string]*Group
	Services     map[string]*Service
	Deploy       string // kind of deployment; a pooler's if ""
	dir          string
	procs        map[string]*Process
	platform     *standin.Platform
	Poll         int       // tune.poll_ms
	Losses       int       // tolerate.hosts
	MaxConns     int       // max_conns of the services
	ControlNodes int       // zones with a control node, the first ones; all if 0
	Seeds        []string  // of processes started from now on; the first zones' if nil
	Settings     string    // more lines for processes that are started from now on
	Logged       io.Writer // what processes log is written there too, if it is not nil
}

// Process is one daemon.
type Process struct {
	w      *World
	Name   string
	Role   string
	IP     string
	Kernel *kernel.Kernel
	cancel context.CancelFunc
	done   chan struct{}
	dir    string
}

// platformIP is where the platform stands.
const platformIP = "10.200.0.1"

// NewWorld returns a world with a disk machine in each zone, where a control node
// and a pooler run, and a platform.
func NewWorld(t TB, seed uint64, zones int) *World {
	w := &World{
		T: t, Net: NewNet(seed), Zones: zones, Groups: map[string]*Group{}, Services: map[string]*Service{}, dir: t.TempDir(),
		procs: map[string]*Process{}, Poll: 600, Losses: 1, MaxConns: 90,
	}
	w.platform = &standin.Platform{Promote: w.promote}
	ln, err := w.Net.Host(platformIP).Listen(platformIP + ":8783")
	if err != nil {
		t.Fatalf("platform: %v", err)
	}
	go http.Serve(ln, w.platform)
	return w
}

// promote is what the platform does.
func (w *World) promote(service, id string) int {
	g := w.Groups[service]
	if g == nil {
		return http.StatusBadRequest
	}
	return g.PromoteTo(id)
}

// Refuse has the platform answer the next calls with these codes; 0 leaves a
// call unanswered.
func (w *World) Refuse(codes ...int) { w.platform.Refuse(codes...) }

// Calls is how often the platform was called.
func (w *World) Calls() int { return w.platform.Calls() }

func ip(zone int) string { return fmt.Sprintf("10.%d.%d.1", 1+(zone-1)%200, (zone-1)/200) }

// ControlAddrs lists the control nodes' control addresses.
func (w *World) ControlAddrs() []string {
	var out []string
	for z := 1; z <= w.Zones; z++ {
		if w.ControlNodes == 0 || z <= w.ControlNodes {
			out = append(out, ip(z)+":8782")
		}
	}
	return out
}

// Boot starts every control node and pooler for the first time.
func (w *World) Boot() {
	for z := 1; z <= w.Zones; z++ {
		if w.ControlNodes == 0 || z <= w.ControlNodes {
			w.Start("control", z, true)
		}
		w.Start(w.Carrier(), z, true)
	}
}

// Carrier is the role that carries the traffic.
func (w *World) Carrier() string {
	if w.Deploy == settings.DeployAPI {
		return "gateway"
	}
	return "pooler"
}

// Start starts a process of a zone's machine.
func (w *World) Start(role string, zone int, bootstrap bool) *Process {
	name := fmt.Sprintf("%s-%d", role, zone)
	p := &Process{w: w, Name: name, Role: role, IP: ip(zone), done: make(chan struct{}), dir: filepath.Join(w.dir, name)}
	seeds := strings.Join(w.ControlAddrs()[:min(3, w.Zones)], ",")
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
%[11]s`, name, p.IP, zone, seeds, bootstrap, p.dir, platformIP, w.Poll, w.Losses, cmp.Or(w.Deploy, "pooler"), w.Settings)
	s, err := settings.Parse([]byte(text))
	if err != nil {
		w.T.Fatalf("settings: %v", err)
	}
	k := kernel.NewKernel(role, w.Net.Host(p.IP), slog.New(slog.NewTextHandler(logTo{w, name}, nil)))
	// What a killed process wrote is there; power is not lost in this world.
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
	w.procs[name] = p
	return p
}

type logTo struct {
	w    *World
	name string
}

func (l logTo) Write(b []byte) (int, error) {
	if l.w.Logged != nil {
		l.w.Logged.Write(b)
	}
	if os.Getenv("SIMULATION_LOG") != "" {
		l.w.T.Logf("%s %s", l.name, bytes.TrimSpace(b))
	}
	return len(b), nil
}

// Process returns a running process by role and zone.
func (w *World) Process(role string, zone int) *Process {
	return w.procs[fmt.Sprintf("%s-%d", role, zone)]
}

// Kill ends the process without notice.
func (p *Process) Kill() {
	ports := []string{"7441", "8784", "8785"}
	if p.Role == "control" {
		ports = []string{"7440", "8782"}
	}
	p.cancel()
	p.w.Net.Reset(p.IP, ports...)
	<-p.done
	delete(p.w.procs, p.Name)
}

// Term ends the process in order.
func (p *Process) Term() {
	ctx, done := context.WithTimeout(context.Background(), 6*time.Second)
	defer done()
	p.Kernel.Shutdown(ctx)
	p.Kill()
}

// Isolate cuts a zone's machine off from those of other zones, all if none are
// named, and from nothing else, or joins it to them again.
func (w *World) Isolate(zone int, cut bool, from ...int) {
	for z := 1; z <= w.Zones; z++ {
		if z != zone && (len(from) == 0 || slices.Contains(from, z)) {
			w.Net.Cut(ip(zone), ip(z), cut)
		}
	}
}

// Wipe empties the process's disk.
func (p *Process) Wipe() {
	if err := os.RemoveAll(p.dir); err != nil {
		p.w.T.Fatalf("wipe: %v", err)
	}
}

// Close ends everything, and lets what lingers run out.
func (w *World) Close() {
	w.Net.Heal()
	for _, g := range w.Groups {
		g.End()
	}
	for _, s := range w.Services {
		for _, d := range s.Workers() {
			d.Crash(false)
		}
	}
	for _, p := range w.procs {
		p.Kill()
	}
	w.Net.Reset(platformIP)
	time.Sleep(2 * time.Minute)
	for _, g := range w.Groups {
		for _, b := range g.Broken() {
			w.T.Errorf("%s: %s", g.Service, b)
		}
	}
	for _, s := range w.Services {
		for _, b := range s.Broken() {
			w.T.Errorf("%s: %s", s.Name, b)
		}
	}
	for _, b := range w.platform.Broken() {
		w.T.Errorf("platform: %s", b)
	}
}

// Configuration is a configuration with one route of each type for each
// service: p.SERVICE, b.SERVICE and n.SERVICE.
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

// Call makes one call of a host to a control address, and follows 307 twice.
func (w *World) Call(from *Host, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	return standin.Call(from, method, addr, path, header, body)
}

// Replace sends a configuration once, to one control node.
func (w *World) Replace(zone int, base int64, body []byte) int {
	code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(zone)+":8782", "/Conf.Replace",
		map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(base, 10)}, body)
	return code
}

// Fetch reads the configuration's version back; 0 if nobody answers.
func (w *World) Fetch() int64 {
	for _, a := range w.ControlAddrs() {
		code, raw := w.Call(w.Net.Host("10.250.0.1"), "GET", a, "/Conf.Fetch", nil, nil)
		var c struct {
			Rev int64 `json:"rev"`
		}
		if code == 200 && json.Unmarshal(raw, &c) == nil {
			return c.Rev
		}
	}
	return 0
}

// Configure sends the first configuration until it is taken and waits until
// every pooler is ready.
func (w *World) Configure() {
	w.T.Helper()
	body := w.Configuration(1)
	w.Until("a configuration is taken", 10*time.Second, func() bool { return w.Replace(1, 0, body) == 200 })
	w.Until("every pooler is ready", 10*time.Second, func() bool {
		for z := 1; z <= w.Zones; z++ {
			if code, _ := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(z)+":8785", "/readyz", nil, nil); code != 200 {
				return false
			}
		}
		return true
	})
	time.Sleep(2 * time.Second) // for leads and first leases
}

// Until waits for a condition.
func (w *World) Until(what string, limit time.Duration, ok func() bool) time.Duration {
	w.T.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > limit {
			w.T.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(start)
}
