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

// Ports, the same on every machine.
const (
	controlCallPort = "7440"
	proxyCallPort   = "7441"

	clientPort   = "8784"
	readyPort    = "8785"
	controlPort  = "8782"
	platformPort = "8783"
)

// machine is an address with its processes. Others reach them through relays at this address; the
// processes listen at a second one, which is also the source address of their connections.
type machine struct {
	name    string
	ip      string
	bind    string
	zone    string
	control bool // a control node runs here
	proxy   bool // a pooler or gateway runs here
	procs   []*process

	relays    []*relay
	datagrams []*datagramRelay
	// lifecycle is held while the processes are started or stopped.
	lifecycle sync.Mutex
}

func (m *machine) clientAddr() string  { return m.ip + ":" + clientPort }
func (m *machine) controlAddr() string { return m.ip + ":" + controlPort }

// process is one process of the program.
type process struct {
	role    string
	name    string
	dir     string // its data directory
	log     string // path of its log
	program string
	cores   int64

	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
	exitExpected   bool // the testbed has sent a signal that may end it
	unexpectedExit error
	logs           *logPipe
	startedAt      time.Time
}

// raceExit is the code with which a race-built program ends at the first race.
const raceExit = 66

// write writes the settings file of a process.
func (p *process) write(text string) error {
	return os.WriteFile(p.settings(), []byte(text), 0o600)
}

func (p *process) settings() string { return p.dir + ".conf" }

// start starts the process, which must not be running.
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
	// The process must not outlive the testbed, however the testbed exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("testbed: %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	done := make(chan struct{})
	p.cmd, p.done, p.exitExpected, p.logs, p.startedAt = cmd, done, false, logs, time.Now()
	go p.wait(cmd, done)
	return nil
}

// wait waits for the process to exit and records an unexpected exit or a detected race.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	var code *exec.ExitError
	raced := errors.As(err, &code) && code.ExitCode() == raceExit
	if (!p.exitExpected || raced) && p.unexpectedExit == nil {
		p.unexpectedExit = fmt.Errorf("%s ended by itself: %v", p.name, cmd.ProcessState)
	}
	close(done)
}

// signal sends a signal; ends says that the process may exit because of it.
func (p *process) signal(s syscall.Signal, ends bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || ends
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s) // best effort: the process may have exited already
	}
}

// uptime returns the time since the last start of the process.
func (p *process) uptime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.startedAt)
}

// killAndWait kills the process and waits for its exit, up to a minute.
func (p *process) killAndWait() {
	p.signal(syscall.SIGKILL, true)
	p.awaitExit(time.Minute)
}

// awaitExit waits for the process to exit and reports whether it did within the timeout.
func (p *process) awaitExit(timeout time.Duration) bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done == nil {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// wipe removes the data directory.
func (p *process) wipe() error { return os.RemoveAll(p.dir) }

// fault returns the unexpected exit of the process, if there was one.
func (p *process) fault() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExit
}

// tail returns the end of the log.
func (p *process) tail() string {
	raw, err := os.ReadFile(p.log)
	if err != nil {
		return ""
	}
	const maxBytes = 3000
	return string(raw[max(0, len(raw)-maxBytes):])
}

// addProcesses adds the processes that run on the machine.
func (m *machine) addProcesses(dir, program, tier string, cores int64) {
	add := func(role string) {
		name := m.name + "-" + role
		m.procs = append(m.procs, &process{
			role: role, name: name, dir: filepath.Join(dir, name), log: filepath.Join(dir, name+".log"), program: program, cores: cores,
		})
	}
	if m.control {
		add(controlRole)
	}
	if m.proxy {
		add(tier)
	}
}

// settings returns the settings file content for a process of the machine.
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
