package testbed

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Roles of processes.
const controlRole = "control"

// Ports, alike on every machine.
const (
	controlCallPort = "7440"
	carrierCallPort = "7441"

	clientPort   = "8784"
	readyPort    = "8785"
	controlPort  = "8782"
	platformPort = "8783"
)

// machine is an address with its processes. Others reach it through relays at its
// address; the processes listen at another, and call from there.
type machine struct {
	name    string
	ip      string
	bind    string
	zone    string
	control bool // a control node runs here
	carrier bool // a pooler or gateway does
	procs   []*process

	relays    []*relay
	datagrams []*datagramRelay
	// lifecycle is held by whoever starts or ends the processes.
	lifecycle sync.Mutex
}

func (m *machine) clientAddr() string  { return m.ip + ":" + clientPort }
func (m *machine) controlAddr() string { return m.ip + ":" + controlPort }

// process is one process of the program.
type process struct {
	role    string
	name    string
	dir     string // of its disk
	log     string // path of its log
	program string
	cores   int64

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	expected bool // it is about to be ended from here
	died     error
	logs     *logPipe
	began    time.Time
}

// raceExit is the code with which a race-built program ends at the first race.
const raceExit = 66

// write writes the settings of a process.
func (p *process) write(text string) error {
	return os.WriteFile(p.settings(), []byte(text), 0o600)
}

func (p *process) settings() string { return p.dir + ".conf" }

// start starts the process; it must not run.
func (p *process) start() error {
	logs, err := newLogPipe(p.log)
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	defer logs.in.Close()
	cmd := exec.Command(p.program, p.role)
	cmd.Env = append(os.Environ(),
		"INDIGOWALK_SETTINGS="+p.settings(), "GOMAXPROCS="+strconv.FormatInt(p.cores, 10),
		"GORACE=halt_on_error=1 exitcode="+strconv.Itoa(raceExit))
	cmd.Stdout, cmd.Stderr = logs.in, logs.in
	// It must not outlive the testbed, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("testbed: %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	p.cmd, p.done, p.expected, p.logs, p.began = cmd, done, false, logs, time.Now()
	go p.wait(cmd, done)
	return nil
}

// wait notes a process that ends by itself.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	var code *exec.ExitError
	raced := errors.As(err, &code) && code.ExitCode() == raceExit
	if (!p.expected || raced) && p.died == nil {
		p.died = fmt.Errorf("%s ended by itself: %v", p.name, cmd.ProcessState)
	}
	close(done)
}

// signal sends a signal; ends says that the process may end by it.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ends
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // one that has ended needs none
	}
}

// age is for how long the process has run.
func (p *process) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.began)
}

// end ends the process and waits for it.
func (p *process) end() {
	p.signal(syscall.SIGKILL, true)
	p.await(time.Minute)
}

// await waits for the end of the process; it reports whether that came in time.
func (p *process) await(span time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(span):
		return false
	}
}

// wipe empties the disk.
func (p *process) wipe() error { return os.RemoveAll(p.dir) }

// fault tells how the process ended if nobody had ended it.
func (p *process) fault() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.died
}

// tail is the end of the log.
func (p *process) tail() string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return ""
	}
	const most = 3000
	return string(raw[max(0, len(raw)-most):])
}

// processes adds the machine's processes.
func (m *machine) processes(dir, program, tier string, cores int64) {
	add := func(role string) {
		name := m.name + "-" + role
		m.procs = append(m.procs, &process{
			role: role, name: name, dir: filepath.Join(dir, name), log: filepath.Join(dir, name+".log"), program: program, cores: cores,
		})
	}
	if m.control {
		add(controlRole)
	}
	if m.carrier {
		add(tier)
	}
}

// settings are those of a process of the machine.
func (m *machine) settings(p *process, plan Plan, seeds []string, platform string, bootstrap bool) string {
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	line("node_name", m.name)
	line("role", p.role)
	line("ip", m.ip)
	line("listen.bind_ip", m.bind)
	if plan.Tier == Gateway {
		line("deploy", "api")
	}
	line("limits.max_fds", maxDescriptors)
	line("zone", m.zone)
	line("listen.client_addr", m.clientAddr())
	line("listen.ready_addr", m.ip+":"+readyPort)
	line("listen.control_addr", m.controlAddr())
	line("port_range", "7440,7455")
	line("seeds", strings.Join(seeds, ","))
	line("bootstrap", bootstrap)
	if p.role == controlRole {
		line("data_dir", p.dir)
	}
	line("tolerate.hosts", plan.Tolerate)
	line("bounds.drain_ms", drainBound.Milliseconds())
	line("bounds.contact_ms", contactBound.Milliseconds())
	line("bounds.apply_ms", applyBound.Milliseconds())
	line("bounds.grace_s", int(grace/time.Second))
	line("bounds.catchup_s", int(catchup/time.Second))
	line("platform.address", platform)
	return b.String()
}
