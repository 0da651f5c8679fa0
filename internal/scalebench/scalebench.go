package scalebench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Config holds the parameters of a benchmark run at one cluster size.
type Config struct {
	Program      string // path of the indigowalk binary, which every process runs
	Dir          string // folder for settings files and data folders
	Nodes        int
	ControlNodes int
	Databases    int
	Routes       int
	Changes      int           // number of configuration changes
	QuietPeriod  time.Duration // how long the cost without configuration changes is measured
	Sessions     int           // number of idle sessions opened at one pooler; 0 skips that measurement
}

// Result holds the measurements at one cluster size. CPU usage is in thousandths of a core. "Quiet"
// means that heartbeats arrive but the configuration does not change. Bytes are those sent and
// received; nodes are hollow nodes unless control nodes are named.
type Result struct {
	Nodes        int     `json:"nodes"`
	Databases    int     `json:"databases"`
	Routes       int     `json:"routes"`
	StartMs      int64   `json:"start_ms"`    // from the start of the hollow nodes until all have the state
	NodeBytes    float64 `json:"node_bytes"`  // per second and hollow node, quiet
	NodeCPU      float64 `json:"node_cpu"`    // of one hollow node, quiet
	NodeKB       float64 `json:"node_kb"`     // resident memory per hollow node
	PrimaryCPU   float64 `json:"primary_cpu"` // of the busiest control node, taken to be the primary; quiet
	ControlCPU   float64 `json:"control_cpu"` // of the busiest other control node; quiet
	PrimaryMB    float64 `json:"primary_mb"`
	ChangeMs     []int64 `json:"change_ms"`               // from sending a change until all nodes have it
	ChangeBytes  float64 `json:"change_bytes"`            // per hollow node and change, beyond the quiet rate
	TakeoverMs   int64   `json:"takeover_ms"`             // from the primary's kill until all nodes have a new change
	PoolerMB     float64 `json:"pooler_mb,omitempty"`     // resident memory of a pooler without sessions
	SessionBytes float64 `json:"session_bytes,omitempty"` // pooler memory per idle session
}

// hollowNodesPerProcess is the maximum number of hollow nodes in one process.
const hollowNodesPerProcess = 52

// stepTimeout bounds each step of the benchmark that waits.
const stepTimeout = 60 * time.Second

var errStepTimeout = errors.New("scalebench: a step timed out")

// Run measures one cluster size and kills every process that it started.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{cfg: cfg, result: &Result{Nodes: cfg.Nodes, Databases: cfg.Databases, Routes: cfg.Routes}}
	defer r.killAll()
	var seeds []string
	for i := range min(3, cfg.ControlNodes) {
		seeds = append(seeds, nodeAddress(i)+":8782")
	}
	for i := range cfg.ControlNodes {
		if err := r.startControlNode(ctx, i, strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	go r.sendHeartbeats(ctx)
	if err := r.publishConfig(1); err != nil {
		return nil, err
	}
	began := time.Now()
	for first := 0; first < cfg.Nodes; first += hollowNodesPerProcess {
		if err := r.startHollowNodes(ctx, cfg.ControlNodes+first, min(hollowNodesPerProcess, cfg.Nodes-first), strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	readyAt, err := r.awaitVersion(1)
	if err != nil {
		return nil, err
	}
	r.result.StartMs = readyAt.Sub(began).Milliseconds()
	time.Sleep(5 * time.Second) // the members synchronize before the quiet measurement
	quietRate := r.measureQuiet()
	if err := r.measureChanges(quietRate); err != nil {
		return nil, err
	}
	if err := r.measureSessions(ctx, strings.Join(seeds, ",")); err != nil {
		return nil, err
	}
	return r.result, r.measureTakeover()
}

// process is a child process of the benchmark.
type process struct {
	cmd *exec.Cmd

	mu         sync.Mutex
	lastStatus hollowStatus // last report of a hollow node process
}

// run is the state of one benchmark run.
type run struct {
	cfg             Config
	result          *Result
	controlNodes    []*process
	hollowProcesses []*process
	rev             int64 // configuration version last put in force
}

// startProcess starts the program with an addition to its environment, and returns the process
// and its standard output.
func (r *run) startProcess(ctx context.Context, env string, args ...string) (*process, io.Reader, error) {
	p := &process{cmd: exec.CommandContext(ctx, r.cfg.Program, args...)}
	p.cmd.Env = append(os.Environ(), env)
	out, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		return nil, nil, fmt.Errorf("scalebench: %w", err)
	}
	return p, out, nil
}

// startDaemon writes a node's settings file and starts the unmodified daemon of that role.
func (r *run) startDaemon(ctx context.Context, node int, role, seeds string) (*process, error) {
	path := filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%d.conf", role, node))
	text := settingsText(node, role, seeds, filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%d", role, node)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("scalebench: %w", err)
	}
	p, _, err := r.startProcess(ctx, "INDIGOWALK_SETTINGS="+path, role)
	return p, err
}

// startControlNode starts a control node.
func (r *run) startControlNode(ctx context.Context, node int, seeds string) error {
	p, err := r.startDaemon(ctx, node, "control", seeds)
	r.controlNodes = append(r.controlNodes, p)
	return err
}

// measureSessions measures the memory of a pooler without sessions, and the memory per idle session.
func (r *run) measureSessions(ctx context.Context, seeds string) error {
	if r.cfg.Sessions == 0 {
		return nil
	}
	node := r.cfg.ControlNodes + r.cfg.Nodes
	pooler, err := r.startDaemon(ctx, node, "pooler", seeds)
	if err != nil {
		return err
	}
	defer func() {
		pooler.cmd.Process.Kill()
		pooler.cmd.Wait()
	}()
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	login := func() error {
		conn, err := net.DialTimeout("tcp4", nodeAddress(node)+":8784", time.Second)
		if err != nil {
			return err
		}
		conns = append(conns, conn)
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, "LOGIN host0 someone\r\n"); err != nil {
			return err
		}
		reply, err := bufio.NewReader(conn).ReadString('\n')
		if err != nil || !strings.HasPrefix(reply, "IDLE") {
			return fmt.Errorf("scalebench: log-in answered %q: %v", reply, err)
		}
		return nil
	}
	for deadline := time.Now().Add(stepTimeout); login() != nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errStepTimeout
		}
	}
	time.Sleep(3 * time.Second)
	_, memoryBefore := pooler.usage()
	for range r.cfg.Sessions {
		if err := login(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	_, memoryAfter := pooler.usage()
	r.result.PoolerMB = float64(memoryBefore) / (1 << 20)
	r.result.SessionBytes = float64(memoryAfter-memoryBefore) / float64(r.cfg.Sessions)
	return nil
}

// startHollowNodes starts a process of count hollow nodes, and keeps its last status report.
func (r *run) startHollowNodes(ctx context.Context, first, count int, seeds string) error {
	p, out, err := r.startProcess(ctx, "", "scalebench", "--hollow", fmt.Sprintf("%d,%d", first, count), seeds)
	if err != nil {
		return err
	}
	r.hollowProcesses = append(r.hollowProcesses, p)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			var status hollowStatus
			if json.Unmarshal(scanner.Bytes(), &status) == nil {
				p.mu.Lock()
				p.lastStatus = status
				p.mu.Unlock()
			}
		}
	}()
	return nil
}

// killAll kills the control node and hollow node processes and waits for them to exit.
func (r *run) killAll() {
	for _, p := range append(r.controlNodes, r.hollowProcesses...) {
		if p != nil {
			p.cmd.Process.Kill()
			p.cmd.Wait()
		}
	}
}

// sendHeartbeats sends a heartbeat of every database every 1200 ms, evenly spread over that time, until
// ctx is done.
func (r *run) sendHeartbeats(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		start := time.Now()
		for i := range r.cfg.Databases {
			role := "replica"
			if i%3 == 0 {
				role = "primary"
			}
			body := fmt.Sprintf(`{"svc":"s%d","address":"127.250.%d.%d:9000","zone":"zone-%d","slots":7,"status":"up","target_role":%q,"call_seq":%d}`,
				i/3, i/200, i%200+1, i%11, role, seq)
			r.post("/Servers.Heartbeat/i-"+strconv.Itoa(i), nil, []byte(body))
			time.Sleep(time.Until(start.Add(time.Duration(i+1) * 1200 * time.Millisecond / time.Duration(r.cfg.Databases))))
		}
	}
}

// httpClient sends the requests to the control nodes.
var httpClient = &http.Client{Timeout: time.Second}

// post sends a request to the control nodes in turn until one accepts it, and reports whether
// one did.
func (r *run) post(path string, header map[string]string, body []byte) bool {
	for i := range r.cfg.ControlNodes {
		request, err := http.NewRequest(http.MethodPost, "http://"+nodeAddress(i)+":8782"+path, bytes.NewReader(body))
		if err != nil {
			return false
		}
		for k, v := range header {
			request.Header.Set(k, v)
		}
		response, err := httpClient.Do(request)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// publishConfig puts configuration version rev in force, retrying for up to stepTimeout. Two
// successive versions differ in the deadlines of two routes at most.
func (r *run) publishConfig(rev int64) error {
	var routes, services []map[string]any
	for i := range (r.cfg.Databases + 2) / 3 {
		services = append(services, map[string]any{"name": fmt.Sprint("s", i), "max_conns": 1200, "sync_replicas": 1})
	}
	for i := range r.cfg.Routes {
		deadlineMs := 2000
		if i == int(rev)%r.cfg.Routes {
			deadlineMs += int(rev)
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i), "host": fmt.Sprint("host", i), "path_prefix": "/", "type": "bounded", "prio": 1,
			"svc": fmt.Sprint("s", i%len(services)), "deadline_ms": deadlineMs, "target_ms": 250, "tries": 2, "stale_ms": 1500,
		})
	}
	body, err := json.Marshal(map[string]any{"rev": rev, "routes": routes, "services": services})
	if err != nil {
		return fmt.Errorf("scalebench: %w", err)
	}
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.post("/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(r.rev, 10)}, body) {
			r.rev = rev
			return nil
		}
	}
	return errStepTimeout
}

// awaitVersion waits until every hollow node has version rev or a later one, and returns when the
// last node received it.
func (r *run) awaitVersion(rev int64) (time.Time, error) {
	for deadline := time.Now().Add(stepTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		var lastReceived int64
		ready := 0
		for _, p := range r.hollowProcesses {
			p.mu.Lock()
			if p.lastStatus.Rev >= rev {
				ready += p.lastStatus.Ready
				lastReceived = max(lastReceived, p.lastStatus.AtUs)
			}
			p.mu.Unlock()
		}
		if ready == r.cfg.Nodes {
			return time.UnixMicro(lastReceived), nil
		}
	}
	return time.Time{}, errStepTimeout
}

// totalBytes returns the bytes that all hollow nodes have sent and received so far.
func (r *run) totalBytes() (total int64) {
	for _, p := range r.hollowProcesses {
		p.mu.Lock()
		total += p.lastStatus.In + p.lastStatus.Out
		p.mu.Unlock()
	}
	return total
}

// usage returns the process's total CPU time and its resident memory in bytes, or zeros if
// /proc cannot be read.
func (p *process) usage() (cpu time.Duration, memory int64) {
	stat, statErr := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	statm, statmErr := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if statErr != nil || statmErr != nil {
		return 0, 0
	}
	_, fields, _ := strings.Cut(string(stat), ") ")
	statFields, statmFields := strings.Fields(fields), strings.Fields(string(statm))
	if len(statFields) < 13 || len(statmFields) < 2 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(statFields[11], 10, 64)
	system, _ := strconv.ParseInt(statFields[12], 10, 64)
	pages, _ := strconv.ParseInt(statmFields[1], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}

// measureQuiet measures the CPU usage, memory and traffic over a period without configuration changes,
// and returns the bytes per second of all hollow nodes together.
func (r *run) measureQuiet() float64 {
	processes := append(append([]*process{}, r.controlNodes...), r.hollowProcesses...)
	cpuBefore := make([]time.Duration, len(processes))
	for i, p := range processes {
		cpuBefore[i], _ = p.usage()
	}
	bytesBefore, began := r.totalBytes(), time.Now()
	time.Sleep(r.cfg.QuietPeriod)
	elapsed := time.Since(began)
	perSecond := float64(r.totalBytes()-bytesBefore) / elapsed.Seconds()
	var totalCPU time.Duration
	var totalMemory int64
	for i, p := range processes {
		cpu, memory := p.usage()
		millicores := 1000 * float64(cpu-cpuBefore[i]) / float64(elapsed)
		if i >= len(r.controlNodes) {
			totalCPU += cpu - cpuBefore[i]
			totalMemory += memory
			continue
		}
		if millicores > r.result.PrimaryCPU {
			r.result.ControlCPU = max(r.result.ControlCPU, r.result.PrimaryCPU)
			r.result.PrimaryCPU, r.result.PrimaryMB = millicores, float64(memory)/(1<<20)
		} else {
			r.result.ControlCPU = max(r.result.ControlCPU, millicores)
		}
	}
	nodes := float64(r.cfg.Nodes)
	r.result.NodeBytes = perSecond / nodes
	r.result.NodeCPU = 1000 * float64(totalCPU) / float64(elapsed) / nodes
	r.result.NodeKB = float64(totalMemory) / 1024 / nodes
	return perSecond
}

// measureChanges measures how long changes take to reach every hollow node, and the traffic that
// they cause beyond quietRate, in bytes per second.
func (r *run) measureChanges(quietRate float64) error {
	bytesBefore, began := r.totalBytes(), time.Now()
	for range r.cfg.Changes {
		sentAt := time.Now()
		if err := r.publishConfig(r.rev + 1); err != nil {
			return err
		}
		receivedAt, err := r.awaitVersion(r.rev)
		if err != nil {
			return err
		}
		r.result.ChangeMs = append(r.result.ChangeMs, receivedAt.Sub(sentAt).Milliseconds())
		time.Sleep(300 * time.Millisecond)
	}
	extra := float64(r.totalBytes()-bytesBefore) - quietRate*time.Since(began).Seconds()
	r.result.ChangeBytes = max(0, extra) / float64(r.cfg.Changes) / float64(r.cfg.Nodes)
	return nil
}

// measureTakeover kills the primary, taken to be the control node with the most CPU time,
// and measures how long it takes until a new change has reached every hollow node.
func (r *run) measureTakeover() error {
	var primary int
	var maxCPU time.Duration
	for i, p := range r.controlNodes {
		if cpu, _ := p.usage(); cpu > maxCPU {
			primary, maxCPU = i, cpu
		}
	}
	killedAt := time.Now()
	if err := r.controlNodes[primary].cmd.Process.Kill(); err != nil {
		return fmt.Errorf("scalebench: %w", err)
	}
	if err := r.publishConfig(r.rev + 1); err != nil {
		return err
	}
	receivedAt, err := r.awaitVersion(r.rev)
	if err != nil {
		return err
	}
	r.result.TakeoverMs = receivedAt.Sub(killedAt).Milliseconds()
	return nil
}
