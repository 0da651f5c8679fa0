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
	// maxPartialFile is the longest time for which a settings file is only partly written.
	maxPartialFile = 80 * time.Millisecond
	// signalSetupTime is how long a program takes after its start to install its signal handlers.
	signalSetupTime = 100 * time.Millisecond
	// killOneIn: one in this many graceful shutdowns is cut short by a kill.
	killOneIn = 4
)

// pickMachine picks a random machine. It is a control machine if control is set, and otherwise too
// half of the time, unless the plan spares the control machines.
func (t *faultInjector) pickMachine(r *rand.Rand, control bool) *machine {
	all, spared := t.cluster.all(), t.cluster.plan.SpareControl
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
func (t *faultInjector) injectMachineFault(ctx context.Context, kind string, r *rand.Rand) error {
	if kind == All {
		return t.restartAll(ctx, r)
	}
	m := t.pickMachine(r, kind == Wipe || kind == Replace)
	switch kind {
	case Freeze:
		t.freeze(ctx, m, r)
		return nil
	case Hup:
		return t.changeSettings(ctx, m, r)
	}
	if !m.lifecycle.TryLock() {
		return nil // another timeline is starting or stopping it
	}
	defer m.lifecycle.Unlock()
	take := t.cluster.losses.tryAcquire
	if kind == Wipe || kind == Replace {
		take = t.cluster.losses.tryAcquireDisk
	}
	if !take(m) {
		return nil
	}
	defer t.cluster.losses.release(m)
	defer t.recordFault(kind, m, true)()
	down := randomDuration(r, maxDowntime)
	switch kind {
	case Term:
		t.terminate(ctx, m, r)
		sleep(ctx, down/4)
	case Replace:
		_, err := t.cluster.replace(m)
		return err
	default:
		m.kill()
		sleep(ctx, down)
	}
	if kind == Wipe {
		if err := m.wipe(); err != nil {
			return err
		}
	}
	return t.cluster.startMachine(m, false)
}

// terminate shuts down a machine's processes; some are killed before they have exited.
func (t *faultInjector) terminate(ctx context.Context, m *machine, r *rand.Rand) {
	if r.IntN(killOneIn) > 0 {
		m.terminate()
		return
	}
	defer t.recordFault(Kill, m, true)()
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM, true)
	}
	sleep(ctx, randomDuration(r, grace))
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

// freeze suspends a machine's processes for a while, regardless of other faults in the meantime.
func (t *faultInjector) freeze(ctx context.Context, m *machine, r *rand.Rand) {
	if !t.cluster.losses.tryAcquire(m) {
		return
	}
	defer t.cluster.losses.release(m)
	defer t.recordFault(Freeze, m, true)()
	m.signal(syscall.SIGSTOP)
	sleep(ctx, randomDuration(r, maxFreeze))
	m.signal(syscall.SIGCONT)
}

// changeSettings changes the settings files of a machine and makes its processes reload them,
// sometimes while the files are only partly written.
func (t *faultInjector) changeSettings(ctx context.Context, m *machine, r *rand.Rand) error {
	if !m.lifecycle.TryLock() {
		m.reload() // processes that are stopping or starting get the signal too
		return nil
	}
	defer m.lifecycle.Unlock()
	defer t.recordFault(Hup, m, true)()
	for _, p := range m.procs {
		raw, err := os.ReadFile(p.settings())
		if err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
		lines = append(lines, fmt.Sprintf("tune.poll_ms=%d", 300+r.IntN(400)))
		text := strings.Join(lines, "\n") + "\n"
		if r.IntN(2) == 0 {
			if err := p.write(text[:r.IntN(len(text))]); err != nil {
				return fmt.Errorf("testbed: %w", err)
			}
			m.reload()
			sleep(ctx, randomDuration(r, maxPartialFile))
		}
		if err := p.write(text); err != nil {
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

// restartAll kills every process at once and starts them again. It does nothing while another
// timeline starts or stops a machine, or if a machine is lost at the time and the plan doesn't go
// beyond the tolerated failures.
func (t *faultInjector) restartAll(ctx context.Context, r *rand.Rand) error {
	machines := t.cluster.all()
	for _, m := range machines {
		if !m.lifecycle.TryLock() {
			return nil
		}
		defer m.lifecycle.Unlock()
	}
	if !t.cluster.losses.noneLost() && !t.cluster.plan.ExceedTolerated {
		return nil
	}
	number := t.traffic.Begin(history.Trouble{Kind: All, Everywhere: true, Control: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	return t.cluster.restart(ctx, randomDuration(r, maxDowntime)/2, nil)
}

// restart kills every process at once, removes the data directories of the machine wiped unless it
// is nil, and starts all again after a while. The caller holds the lifecycle lock of every machine.
func (c *cluster) restart(ctx context.Context, down time.Duration, wiped *machine) error {
	machines := c.all()
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
	sleep(ctx, down)
	for _, m := range machines {
		if err := c.startMachine(m, false); err != nil {
			return err
		}
	}
	return nil
}
