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

// controlRole is the role of a control node's process.
const controlRole = "control"

// Ports, which are the same on every machine. The RPC ports also receive datagrams.
const (
	controlRPCPort = "7440"
	proxyRPCPort   = "7441"

	clientPort   = "8784"
	readyPort    = "8785"
	controlPort  = "8782"
	platformPort = "8783"
)

// machine is a host address with its processes. Relays listen at this address and forward to the
// processes, which listen at bindIP and connect from there.
type machine struct {
	name    string
	ip      string
	bindIP  string
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

// process is one process of the program under test, across its restarts.
type process struct {
	role    string
	name    string
	dir     string // its data directory
	logPath string // path of its log
	program string
	cores   int64

	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
	exitExpected   bool // the testbed has sent a signal that may end it
	unexpectedExit error
	logPipe        *logPipe
	startedAt      time.Time
}

// raceExitCode is the exit code of a program built with the race detector that has found a race.
const raceExitCode = 66

// writeSettings writes the settings file of the process.
func (p *process) writeSettings(text string) error {
	return os.WriteFile(p.settingsPath(), []byte(text), 0o600)
}

func (p *process) settingsPath() string { return p.dir + ".conf" }

// start starts the process, which must not be running.
func (p *process) start() error {
	logs, err := newLogPipe(p.logPath)
	if err != nil {
		return fmt.Errorf("testbed: %w", err)
	}
	defer logs.in.Close()
	cmd := exec.Command(p.program, p.role)
	cmd.Env = append(os.Environ(),
		"INDIGOWALK_SETTINGS="+p.settingsPath(), "GOMAXPROCS="+strconv.FormatInt(p.cores, 10),
		"GORACE=halt_on_error=1 exitcode="+strconv.Itoa(raceExitCode))
	cmd.Stdout, cmd.Stderr = logs.in, logs.in
	// The process must not outlive the testbed, however the testbed exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("testbed: %s: %w", p.name, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	exited := make(chan struct{})
	p.cmd, p.exited, p.exitExpected, p.logPipe, p.startedAt = cmd, exited, false, logs, time.Now()
	go p.wait(cmd, exited)
	return nil
}

// wait waits for the process to exit and records an unexpected exit or a detected race.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	var exitErr *exec.ExitError
	raced := errors.As(err, &exitErr) && exitErr.ExitCode() == raceExitCode
	if (!p.exitExpected || raced) && p.unexpectedExit == nil {
		p.unexpectedExit = fmt.Errorf("%s ended by itself: %v", p.name, cmd.ProcessState)
	}
	close(exited)
}

// signal sends a signal. If mayExit is set, a later exit of the process counts as expected.
func (p *process) signal(s syscall.Signal, mayExit bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || mayExit
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
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// wipe removes the data directory.
func (p *process) wipe() error { return os.RemoveAll(p.dir) }

// exitError returns the first unexpected exit of the process, or nil if there was none.
func (p *process) exitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExit
}

// logTail returns the end of the log.
func (p *process) logTail() string {
	raw, err := os.ReadFile(p.logPath)
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
			role: role, name: name, dir: filepath.Join(dir, name), logPath: filepath.Join(dir, name+".log"), program: program, cores: cores,
		})
	}
	if m.control {
		add(controlRole)
	}
	if m.proxy {
		add(tier)
	}
}

// settingsText returns the content of the settings file for a process of the machine.
func (m *machine) settingsText(p *process, plan Plan, seeds []string, platform string, bootstrap bool) string {
	var b strings.Builder
	line := func(key string, value any) { fmt.Fprintf(&b, "%s=%v\n", key, value) }
	line("node_name", m.name)
	line("role", p.role)
	line("ip", m.ip)
	line("listen.bind_ip", m.bindIP)
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
	line("bounds.contact_ms", recoveryBound.Milliseconds())
	line("bounds.apply_ms", applyBound.Milliseconds())
	line("bounds.grace_s", int(gracePeriod/time.Second))
	line("bounds.catchup_s", int(catchUpTime/time.Second))
	line("platform.address", platform)
	return b.String()
}
