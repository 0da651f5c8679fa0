package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"syscall"
	"time"

	"indigowalk/internal/history"
)

// Durations of machine faults.
const (
	maxDowntime = 2 * time.Second
	maxFreeze   = 3 * time.Second
	// maxPartialWriteTime is the longest time for which a settings file is only partly written.
	maxPartialWriteTime = 80 * time.Millisecond
	// signalSetupTime is how long a program takes after its start to install its signal handlers.
	signalSetupTime = 100 * time.Millisecond
	// shutdownsPerKill is the mean number of graceful shutdowns of which one is cut short by a kill.
	shutdownsPerKill = 4
)

// pickMachine picks a random machine. If the plan spares the control machines, it picks from the
// others. Otherwise it picks a control machine if control is set, and if not, half of the time from the
// control machines and half of the time from all machines.
func (f *faultInjector) pickMachine(r *rand.Rand, control bool) *machine {
	all, spared := f.cluster.currentMachines(), f.cluster.plan.SpareControl
	if !control && !spared && r.IntN(2) == 0 {
		return all[r.IntN(len(all))]
	}
	var candidates []*machine
	for _, m := range all {
		if m.control != spared {
			candidates = append(candidates, m)
		}
	}
	return candidates[r.IntN(len(candidates))]
}

// injectMachineFault injects one machine fault and returns when it is over. It does nothing if the
// fault is not permitted now.
func (f *faultInjector) injectMachineFault(ctx context.Context, kind string, r *rand.Rand) error {
	if kind == KillAll {
		return f.restartAll(ctx, r)
	}
	m := f.pickMachine(r, kind == Wipe || kind == Replace)
	switch kind {
	case Freeze:
		f.freeze(ctx, m, r)
		return nil
	case Hup:
		return f.changeSettings(ctx, m, r)
	}
	if !m.lifecycle.TryLock() {
		return nil // another timeline is starting or stopping its processes
	}
	defer m.lifecycle.Unlock()
	tryAcquire := f.cluster.lossLimiter.tryAcquire
	if kind == Wipe || kind == Replace {
		tryAcquire = f.cluster.lossLimiter.tryAcquireDisk
	}
	if !tryAcquire(m) {
		return nil
	}
	defer f.cluster.lossLimiter.release(m)
	defer f.recordFault(kind, m, true)()
	downtime := randomDuration(r, maxDowntime)
	switch kind {
	case Term:
		f.terminate(ctx, m, r)
		sleep(ctx, downtime/4)
	case Replace:
		_, err := f.cluster.replace(m)
		return err
	default:
		m.kill()
		sleep(ctx, downtime)
	}
	if kind == Wipe {
		if err := m.wipe(); err != nil {
			return err
		}
	}
	return f.cluster.startMachine(m, false)
}

// terminate shuts down a machine's processes with SIGTERM, and sometimes kills them before they have
// exited.
func (f *faultInjector) terminate(ctx context.Context, m *machine, r *rand.Rand) {
	if r.IntN(shutdownsPerKill) > 0 {
		m.terminate()
		return
	}
	defer f.recordFault(Kill, m, true)()
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM, true)
	}
	sleep(ctx, randomDuration(r, gracePeriod))
	m.kill()
}

// wipe removes the data directories of a machine.
func (m *machine) wipe() error {
	for _, p := range m.procs {
		if err := p.wipe(); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	return nil
}

// freeze suspends a machine's processes with SIGSTOP for a while. It doesn't take the lifecycle lock, so
// that other faults may affect the processes meanwhile.
func (f *faultInjector) freeze(ctx context.Context, m *machine, r *rand.Rand) {
	if !f.cluster.lossLimiter.tryAcquire(m) {
		return
	}
	defer f.cluster.lossLimiter.release(m)
	defer f.recordFault(Freeze, m, true)()
	m.signal(syscall.SIGSTOP)
	sleep(ctx, randomDuration(r, maxFreeze))
	m.signal(syscall.SIGCONT)
}

// changeSettings changes the settings files of a machine and makes its processes reload them,
// sometimes while the files are only partly written.
func (f *faultInjector) changeSettings(ctx context.Context, m *machine, r *rand.Rand) error {
	if !m.lifecycle.TryLock() {
		m.reload() // processes that are stopping or starting get the signal too
		return nil
	}
	defer m.lifecycle.Unlock()
	defer f.recordFault(Hup, m, true)()
	for _, p := range m.procs {
		raw, err := os.ReadFile(p.settingsPath())
		if err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		lines = append(lines, fmt.Sprintf("tune.poll_ms=%d", 300+r.IntN(400)))
		text := strings.Join(lines, "\n") + "\n"
		if r.IntN(2) == 0 {
			if err := p.writeSettings(text[:r.IntN(len(text))]); err != nil {
				return fmt.Errorf("testbed: %w", err)
			}
			m.reload()
			sleep(ctx, randomDuration(r, maxPartialWriteTime))
		}
		if err := p.writeSettings(text); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	m.reload()
	return nil
}

// reload sends SIGHUP to a machine's processes, except to those that have only just started: until
// a program has installed a handler for this signal, the system terminates it.
func (m *machine) reload() {
	for _, p := range m.procs {
		if p.uptime() > signalSetupTime {
			p.signal(syscall.SIGHUP, false)
		}
	}
}

// restartAll kills every process at once and starts them again. It does nothing while another timeline
// starts or stops a machine, or while a machine is lost unless the plan sets ExceedTolerated.
func (f *faultInjector) restartAll(ctx context.Context, r *rand.Rand) error {
	machines := f.cluster.currentMachines()
	for _, m := range machines {
		if !m.lifecycle.TryLock() {
			return nil
		}
		defer m.lifecycle.Unlock()
	}
	if !f.cluster.lossLimiter.noneLost() && !f.cluster.plan.ExceedTolerated {
		return nil
	}
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: KillAll, AllNodes: true, Control: true, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	return f.cluster.restart(ctx, randomDuration(r, maxDowntime)/2, nil)
}

// restart kills every process at once, removes the data directories of the machine wiped, if it is not
// nil, and starts all processes again after the downtime. The caller holds the lifecycle lock of every
// machine.
func (c *cluster) restart(ctx context.Context, downtime time.Duration, wiped *machine) error {
	machines := c.currentMachines()
	for _, m := range machines {
		for _, p := range m.procs {
			p.signal(syscall.SIGKILL, true)
		}
	}
	for _, m := range machines {
		m.kill()
	}
	if wiped != nil {
		if err := wiped.wipe(); err != nil {
			return err
		}
	}
	sleep(ctx, downtime)
	for _, m := range machines {
		if err := c.startMachine(m, false); err != nil {
			return err
		}
	}
	return nil
}
