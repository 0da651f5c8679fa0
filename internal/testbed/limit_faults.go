package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sys/unix"

	"indigowalk/internal/controlstate"
)

// Bounds of resource limit faults.
const (
	// maxDescriptors is the descriptor limit in the settings of the processes.
	maxDescriptors = 4000
	maxLimited     = 4 * time.Second
	maxUnread      = 6 * time.Second
	// maxSpareDescriptors and maxSpareBytes limit how many descriptors, and how many bytes of a
	// file, are left.
	maxSpareDescriptors = 8
	maxSpareBytes       = 400
)

// injectLimitFault injects one fault of a process's resources and returns when it is over.
func (t *faultInjector) injectLimitFault(ctx context.Context, kind string, r *rand.Rand) error {
	m := t.pickMachine(r, kind == FullDisk)
	p := m.procs[r.IntN(len(m.procs))]
	switch kind {
	case Descriptors:
		if !t.cluster.losses.tryAcquire(m) {
			return nil
		}
		defer t.cluster.losses.release(m)
		defer t.recordFault(kind, m, true)()
		used, err := descriptors(p.pid())
		if err != nil {
			return nil // the process has just exited
		}
		lowerLimit(ctx, p, unix.RLIMIT_NOFILE, uint64(used+r.IntN(maxSpareDescriptors)), randomDuration(r, maxLimited))
	case FullDisk:
		if !t.cluster.losses.tryAcquire(m) {
			return nil
		}
		defer t.cluster.losses.release(m)
		defer t.recordFault(kind, m, false)()
		size := uint64(0)
		if info, err := os.Stat(filepath.Join(m.procs[0].dir, controlstate.StoreFile)); err == nil {
			size = uint64(info.Size())
		}
		lowerLimit(ctx, m.procs[0], unix.RLIMIT_FSIZE, size+uint64(r.IntN(maxSpareBytes)), randomDuration(r, maxLimited))
	case LogReader:
		defer p.pauseLogReader()()
		sleep(ctx, randomDuration(r, maxUnread))
	}
	return nil
}

// lowerLimit lowers a resource limit of a process for a while. If the process has exited in the
// meantime, there is nothing to restore: its next incarnation starts with its own limits.
func lowerLimit(ctx context.Context, p *process, resource int, value uint64, duration time.Duration) {
	pid := p.pid()
	var previous unix.Rlimit
	if pid == 0 || unix.Prlimit(pid, resource, nil, &previous) != nil {
		return
	}
	if unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(value, previous.Max), Max: previous.Max}, nil) != nil {
		return
	}
	sleep(ctx, duration)
	if p.pid() == pid {
		_ = unix.Prlimit(pid, resource, &previous, nil) // best effort: the process may have just exited
	}
}

// descriptors returns the number of open descriptors of a process.
func descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// pid returns the ID of the running process, or 0 if it is not running.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.cmd.Process == nil {
		return 0
	}
	select {
	case <-p.done:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// pauseLogReader stops reading the process's log output until the returned function is called.
func (p *process) pauseLogReader() (release func()) {
	p.mu.Lock()
	logs := p.logs
	p.mu.Unlock()
	if logs == nil {
		return func() {}
	}
	return logs.hold()
}
