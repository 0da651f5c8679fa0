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

// Spans of troubles of machines.
const (
	longestDown   = 2 * time.Second
	longestFreeze = 3 * time.Second
	// longestHalfFile is for how long a settings file is only written in half.
	longestHalfFile = 80 * time.Millisecond
	// beginning is how long a program takes to say which signals it takes.
	beginning = 100 * time.Millisecond
	// oneIn is how often what is told to end is killed before it has ended.
	oneIn = 4
)

// draw picks a machine: a control machine where it must be one, and half of the time
// otherwise too, unless these are spared.
func (t *troubles) draw(r *rand.Rand, control bool) *machine {
	all, spared := t.cluster.all(), t.cluster.plan.SpareControl
	if !control && !spared && r.IntN(2) == 0 {
		return all[r.IntN(len(all))]
	}
	var some []*machine
	for _, m := range all {
		if m.control != spared {
			some = append(some, m)
		}
	}
	return some[r.IntN(len(some))]
}

// strikeMachine carries one trouble of a machine out, to its end; none if it may not come
// now.
func (t *troubles) strikeMachine(ctx context.Context, kind string, r *rand.Rand) error {
	if kind == All {
		return t.all(ctx, r)
	}
	m := t.draw(r, kind == Wipe || kind == Replace)
	switch kind {
	case Freeze:
		t.freeze(ctx, m, r)
		return nil
	case Hup:
		return t.hup(ctx, m, r)
	}
	if !m.lifecycle.TryLock() {
		return nil // another timeline has it end or start
	}
	defer m.lifecycle.Unlock()
	take := t.cluster.losses.take
	if kind == Wipe || kind == Replace {
		take = t.cluster.losses.takeDisk
	}
	if !take(m) {
		return nil
	}
	defer t.cluster.losses.give(m)
	defer t.note(kind, m, true)()
	down := span(r, longestDown)
	switch kind {
	case Term:
		t.term(ctx, m, r)
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

// term tells a machine's processes to end; some are killed before they have.
func (t *troubles) term(ctx context.Context, m *machine, r *rand.Rand) {
	if r.IntN(oneIn) > 0 {
		m.term()
		return
	}
	defer t.note(Kill, m, true)()
	for _, p := range m.procs {
		p.signal(syscall.SIGTERM, true)
	}
	sleep(ctx, span(r, grace))
	m.kill()
}

// wipe empties the disks of a machine.
func (m *machine) wipe() error {
	for _, p := range m.procs {
		if err := p.wipe(); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	return nil
}

// freeze has a machine's processes stand still for a while, whatever else happens to
// them meanwhile.
func (t *troubles) freeze(ctx context.Context, m *machine, r *rand.Rand) {
	if !t.cluster.losses.take(m) {
		return
	}
	defer t.cluster.losses.give(m)
	defer t.note(Freeze, m, true)()
	m.signal(syscall.SIGSTOP)
	sleep(ctx, span(r, longestFreeze))
	m.signal(syscall.SIGCONT)
}

// hup changes the settings files of a machine and tells its processes, at times while the
// files are only there in half.
func (t *troubles) hup(ctx context.Context, m *machine, r *rand.Rand) error {
	if !m.lifecycle.TryLock() {
		m.reload() // one that ends or starts is told too
		return nil
	}
	defer m.lifecycle.Unlock()
	defer t.note(Hup, m, true)()
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
			sleep(ctx, span(r, longestHalfFile))
		}
		if err := p.write(text); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	m.reload()
	return nil
}

// reload tells a machine's processes that their settings have changed, but for those that
// have only just begun: before a program has said that it takes the signal, the system
// ends it by that, whatever the program is.
func (m *machine) reload() {
	for _, p := range m.procs {
		if p.age() > beginning {
			p.signal(syscall.SIGHUP, false)
		}
	}
}

// all kills every process at once and starts them again, where no machine is lost beside.
func (t *troubles) all(ctx context.Context, r *rand.Rand) error {
	machines := t.cluster.all()
	for _, m := range machines {
		if !m.lifecycle.TryLock() {
			return nil
		}
		defer m.lifecycle.Unlock()
	}
	if !t.cluster.losses.none() && !t.cluster.plan.Beyond {
		return nil
	}
	number := t.traffic.Begin(history.Trouble{Kind: All, Everywhere: true, Control: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	return t.cluster.restart(ctx, span(r, longestDown)/2, nil)
}

// restart kills every process at once, empties the disks of one machine if one is named,
// and starts all again after a while. The caller holds every lifecycle.
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
