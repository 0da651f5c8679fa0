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

// Config says what is measured.
type Config struct {
	Program      string // this program, to run control nodes and hollow nodes with
	Dir          string // for settings and stores
	Nodes        int
	ControlNodes int
	Databases    int
	Routes       int
	Changes      int           // of the configuration
	Quiet        time.Duration // for which nothing is asked of it
	Sessions     int           // idle ones at one pooler
}

// Size is what was measured at one number of nodes. Processor time is in
// thousandths of a core.
type Size struct {
	Nodes        int     `json:"nodes"`
	Databases    int     `json:"databases"`
	Routes       int     `json:"routes"`
	StartMs      int64   `json:"start_ms"`    // until all nodes had the state
	NodeBytes    float64 `json:"node_bytes"`  // a second, sent and received by a node, quiet
	NodeCPU      float64 `json:"node_cpu"`    // of a node, quiet
	NodeKB       float64 `json:"node_kb"`     // of memory a node
	PrimaryCPU   float64 `json:"primary_cpu"` // quiet
	ControlCPU   float64 `json:"control_cpu"` // of the busiest other
	PrimaryMB    float64 `json:"primary_mb"`
	ChangeMs     []int64 `json:"change_ms"`               // from sending until in force everywhere
	ChangeBytes  float64 `json:"change_bytes"`            // to and from a node for one change, beyond the quiet
	TakeoverMs   int64   `json:"takeover_ms"`             // from the primary's kill until a change is in force everywhere
	PoolerMB     float64 `json:"pooler_mb,omitempty"`     // of a pooler without sessions
	SessionBytes float64 `json:"session_bytes,omitempty"` // of its memory, an idle session
}

// perProcess is how many hollow nodes share a process.
const perProcess = 52

// wait bounds each step.
const wait = 60 * time.Second

var errTooLong = errors.New("scalebench: a step takes too long")

// Run measures one size.
func Run(ctx context.Context, cfg Config) (*Size, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{cfg: cfg, size: &Size{Nodes: cfg.Nodes, Databases: cfg.Databases, Routes: cfg.Routes}}
	defer r.end()
	var seeds []string
	for i := range min(3, cfg.ControlNodes) {
		seeds = append(seeds, address(i)+":8782")
	}
	for i := range cfg.ControlNodes {
		if err := r.startControl(ctx, i, strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	go r.beats(ctx)
	if err := r.change(1); err != nil {
		return nil, err
	}
	began := time.Now()
	for first := 0; first < cfg.Nodes; first += perProcess {
		if err := r.startHollow(ctx, cfg.ControlNodes+first, min(perProcess, cfg.Nodes-first), strings.Join(seeds, ",")); err != nil {
			return nil, err
		}
	}
	at, err := r.everywhere(1)
	if err != nil {
		return nil, err
	}
	r.size.StartMs = at.Sub(began).Milliseconds()
	time.Sleep(5 * time.Second) // members are compared
	quiet := r.quiet()
	if err := r.changes(quiet); err != nil {
		return nil, err
	}
	if err := r.sessions(ctx, strings.Join(seeds, ",")); err != nil {
		return nil, err
	}
	return r.size, r.takeover()
}

type process struct {
	cmd *exec.Cmd

	mu   sync.Mutex
	line line // of hollow nodes
}

type run struct {
	cfg          Config
	size         *Size
	controlNodes []*process
	hollow       []*process
	rev          int64
}

func (r *run) start(ctx context.Context, env string, args ...string) (*process, io.Reader, error) {
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

// startReal starts a daemon as it is.
func (r *run) startReal(ctx context.Context, node int, role, seeds string) (*process, error) {
	path := filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%d.conf", role, node))
	text := settingsOf(node, role, seeds, filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%d", role, node)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("scalebench: %w", err)
	}
	p, _, err := r.start(ctx, "INDIGOWALK_SETTINGS="+path, role)
	return p, err
}

func (r *run) startControl(ctx context.Context, node int, seeds string) error {
	p, err := r.startReal(ctx, node, "control", seeds)
	r.controlNodes = append(r.controlNodes, p)
	return err
}

// sessions measures what idle sessions cost a pooler.
func (r *run) sessions(ctx context.Context, seeds string) error {
	if r.cfg.Sessions == 0 {
		return nil
	}
	node := r.cfg.ControlNodes + r.cfg.Nodes
	pooler, err := r.startReal(ctx, node, "pooler", seeds)
	if err != nil {
		return err
	}
	defer func() {
		pooler.cmd.Process.Kill()
		pooler.cmd.Wait()
	}()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	login := func() error {
		c, err := net.DialTimeout("tcp4", address(node)+":8784", time.Second)
		if err != nil {
			return err
		}
		open = append(open, c)
		c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, "LOGIN host0 someone\r\n"); err != nil {
			return err
		}
		answer, err := bufio.NewReader(c).ReadString('\n')
		if err != nil || !strings.HasPrefix(answer, "IDLE") {
			return fmt.Errorf("scalebench: log-in answered %q: %v", answer, err)
		}
		return nil
	}
	for end := time.Now().Add(wait); login() != nil; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			return errTooLong
		}
	}
	time.Sleep(3 * time.Second)
	_, before := pooler.used()
	for range r.cfg.Sessions {
		if err := login(); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	_, after := pooler.used()
	r.size.PoolerMB = float64(before) / (1 << 20)
	r.size.SessionBytes = float64(after-before) / float64(r.cfg.Sessions)
	return nil
}

func (r *run) startHollow(ctx context.Context, first, count int, seeds string) error {
	p, out, err := r.start(ctx, "", "scalebench", "--hollow", fmt.Sprintf("%d,%d", first, count), seeds)
	if err != nil {
		return err
	}
	r.hollow = append(r.hollow, p)
	go func() {
		sc := bufio.NewScanner(out)
		for sc.Scan() {
			var l line
			if json.Unmarshal(sc.Bytes(), &l) == nil {
				p.mu.Lock()
				p.line = l
				p.mu.Unlock()
			}
		}
	}()
	return nil
}

// end ends every process that this run started.
func (r *run) end() {
	for _, p := range append(r.controlNodes, r.hollow...) {
		if p != nil {
			p.cmd.Process.Kill()
			p.cmd.Wait()
		}
	}
}

// beats has the databases tell of themselves.
func (r *run) beats(ctx context.Context) {
	for seq := 1; ctx.Err() == nil; seq++ {
		start := time.Now()
		for i := range r.cfg.Databases {
			role := "replica"
			if i%3 == 0 {
				role = "primary"
			}
			body := fmt.Sprintf(`{"svc":"s%d","address":"127.250.%d.%d:9000","zone":"zone-%d","slots":7,"status":"up","target_role":%q,"call_seq":%d}`,
				i/3, i/200, i%200+1, i%11, role, seq)
			r.call("/Servers.Heartbeat/i-"+strconv.Itoa(i), nil, []byte(body))
			time.Sleep(time.Until(start.Add(time.Duration(i+1) * 1200 * time.Millisecond / time.Duration(r.cfg.Databases))))
		}
	}
}

var client = &http.Client{Timeout: time.Second}

// call sends to any control node that takes it.
func (r *run) call(path string, header map[string]string, body []byte) bool {
	for i := range r.cfg.ControlNodes {
		q, err := http.NewRequest(http.MethodPost, "http://"+address(i)+":8782"+path, bytes.NewReader(body))
		if err != nil {
			return false
		}
		for k, v := range header {
			q.Header.Set(k, v)
		}
		a, err := client.Do(q)
		if err != nil {
			continue
		}
		io.Copy(io.Discard, a.Body)
		a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// change puts the next version in force: one route of many differs.
func (r *run) change(rev int64) error {
	var routes, services []map[string]any
	for i := range (r.cfg.Databases + 2) / 3 {
		services = append(services, map[string]any{"name": fmt.Sprint("s", i), "max_conns": 1200, "sync_replicas": 1})
	}
	for i := range r.cfg.Routes {
		deadline := 2000
		if i == int(rev)%r.cfg.Routes {
			deadline += int(rev)
		}
		routes = append(routes, map[string]any{
			"name": fmt.Sprint("r-", i), "host": fmt.Sprint("host", i), "path_prefix": "/", "type": "bounded", "prio": 1,
			"svc": fmt.Sprint("s", i%len(services)), "deadline_ms": deadline, "target_ms": 250, "tries": 2, "stale_ms": 1500,
		})
	}
	body, err := json.Marshal(map[string]any{"rev": rev, "routes": routes, "services": services})
	if err != nil {
		return fmt.Errorf("scalebench: %w", err)
	}
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.call("/Conf.Replace", map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(r.rev, 10)}, body) {
			r.rev = rev
			return nil
		}
	}
	return errTooLong
}

// everywhere waits until every node has a version, and returns when the last
// one learnt it.
func (r *run) everywhere(rev int64) (time.Time, error) {
	for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var last int64
		ready := 0
		for _, p := range r.hollow {
			p.mu.Lock()
			if p.line.Rev >= rev {
				ready += p.line.Ready
				last = max(last, p.line.AtUs)
			}
			p.mu.Unlock()
		}
		if ready == r.cfg.Nodes {
			return time.UnixMicro(last), nil
		}
	}
	return time.Time{}, errTooLong
}

// bytes is what all nodes have sent and received.
func (r *run) bytes() (n int64) {
	for _, p := range r.hollow {
		p.mu.Lock()
		n += p.line.In + p.line.Out
		p.mu.Unlock()
	}
	return n
}

// used is a process's processor time and memory.
func (p *process) used() (cpu time.Duration, bytes int64) {
	stat, err1 := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	statm, err2 := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err1 != nil || err2 != nil {
		return 0, 0
	}
	_, after, _ := strings.Cut(string(stat), ") ")
	f, m := strings.Fields(after), strings.Fields(string(statm))
	if len(f) < 13 || len(m) < 2 {
		return 0, 0
	}
	user, _ := strconv.ParseInt(f[11], 10, 64)
	system, _ := strconv.ParseInt(f[12], 10, 64)
	pages, _ := strconv.ParseInt(m[1], 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond, pages * int64(os.Getpagesize())
}

// quiet measures a span in which nothing is asked, and returns the bytes a
// second of all nodes.
func (r *run) quiet() float64 {
	all := append(append([]*process{}, r.controlNodes...), r.hollow...)
	before := make([]time.Duration, len(all))
	for i, p := range all {
		before[i], _ = p.used()
	}
	sent, start := r.bytes(), time.Now()
	time.Sleep(r.cfg.Quiet)
	span := time.Since(start)
	perSecond := float64(r.bytes()-sent) / span.Seconds()
	var nodes time.Duration
	var memory int64
	for i, p := range all {
		cpu, bytes := p.used()
		cores := 1000 * float64(cpu-before[i]) / float64(span)
		if i >= len(r.controlNodes) {
			nodes += cpu - before[i]
			memory += bytes
			continue
		}
		if cores > r.size.PrimaryCPU {
			r.size.ControlCPU = max(r.size.ControlCPU, r.size.PrimaryCPU)
			r.size.PrimaryCPU, r.size.PrimaryMB = cores, float64(bytes)/(1<<20)
		} else {
			r.size.ControlCPU = max(r.size.ControlCPU, cores)
		}
	}
	n := float64(r.cfg.Nodes)
	r.size.NodeBytes = perSecond / n
	r.size.NodeCPU = 1000 * float64(nodes) / float64(span) / n
	r.size.NodeKB = float64(memory) / 1024 / n
	return perSecond
}

// changes measures how long changes take to be in force everywhere.
func (r *run) changes(quiet float64) error {
	sent, began := r.bytes(), time.Now()
	for range r.cfg.Changes {
		start := time.Now()
		if err := r.change(r.rev + 1); err != nil {
			return err
		}
		at, err := r.everywhere(r.rev)
		if err != nil {
			return err
		}
		r.size.ChangeMs = append(r.size.ChangeMs, at.Sub(start).Milliseconds())
		time.Sleep(300 * time.Millisecond)
	}
	beyond := float64(r.bytes()-sent) - quiet*time.Since(began).Seconds()
	r.size.ChangeBytes = max(0, beyond) / float64(r.cfg.Changes) / float64(r.cfg.Nodes)
	return nil
}

// takeover kills the primary, which is the busiest control node, and measures until a
// change is in force everywhere again.
func (r *run) takeover() error {
	var primary int
	var most time.Duration
	for i, p := range r.controlNodes {
		if cpu, _ := p.used(); cpu > most {
			primary, most = i, cpu
		}
	}
	start := time.Now()
	if err := r.controlNodes[primary].cmd.Process.Kill(); err != nil {
		return fmt.Errorf("scalebench: %w", err)
	}
	if err := r.change(r.rev + 1); err != nil {
		return err
	}
	at, err := r.everywhere(r.rev)
	if err != nil {
		return err
	}
	r.size.TakeoverMs = at.Sub(start).Milliseconds()
	return nil
}
