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

// Bounds of the faults of a process's resources.
const (
	// maxDescriptors is the descriptor limit in the settings of the processes.
	maxDescriptors = 4000
	maxLimitTime   = 4 * time.Second
	maxLogPause    = 6 * time.Second
	// maxSpareDescriptors and maxSpareFileBytes bound how many more descriptors a process can open, and
	// how far its files can grow, under a lowered limit.
	maxSpareDescriptors = 8
	maxSpareFileBytes   = 400
)

// injectLimitFault restricts one resource of a process and returns when the fault is over. It does
// nothing if the fault is not permitted now.
func (f *faultInjector) injectLimitFault(ctx context.Context, kind string, r *rand.Rand) error {
	m := f.pickMachine(r, kind == FullDisk)
	p := m.procs[r.IntN(len(m.procs))]
	switch kind {
	case Descriptors:
		if !f.cluster.lossLimiter.tryAcquire(m) {
			return nil
		}
		defer f.cluster.lossLimiter.release(m)
		defer f.recordFault(kind, m, true)()
		used, err := countDescriptors(p.pid())
		if err != nil {
			return nil // the process has just exited
		}
		lowerLimit(ctx, p, unix.RLIMIT_NOFILE, uint64(used+r.IntN(maxSpareDescriptors)), randomDuration(r, maxLimitTime))
	case FullDisk:
		if !f.cluster.lossLimiter.tryAcquire(m) {
			return nil
		}
		defer f.cluster.lossLimiter.release(m)
		defer f.recordFault(kind, m, false)()
		size := uint64(0)
		if info, err := os.Stat(filepath.Join(m.procs[0].dir, controlstate.StoreFile)); err == nil {
			size = uint64(info.Size())
		}
		lowerLimit(ctx, m.procs[0], unix.RLIMIT_FSIZE, size+uint64(r.IntN(maxSpareFileBytes)), randomDuration(r, maxLimitTime))
	case PauseLogReader:
		defer p.pauseLogReader()()
		sleep(ctx, randomDuration(r, maxLogPause))
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

// countDescriptors returns the number of open file descriptors of a process.
func countDescriptors(pid int) (int, error) {
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
	case <-p.exited:
		return 0
	default:
		return p.cmd.Process.Pid
	}
}

// pauseLogReader stops reading the process's log output until the returned function is called.
func (p *process) pauseLogReader() (resume func()) {
	p.mu.Lock()
	logs := p.logPipe
	p.mu.Unlock()
	if logs == nil {
		return func() {}
	}
	return logs.pause()
}
