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

// Bounds of troubles of what processes may use.
const (
	// maxDescriptors is what the processes are told that they have.
	maxDescriptors = 4000
	longestLimit   = 4 * time.Second
	longestUnread  = 6 * time.Second
	// mostSpare is how many descriptors, or bytes of a file, there are left at most.
	mostSpare = 8
	mostRoom  = 400
)

// strikeLimits carries one trouble of what a process may use out, to its end.
func (t *troubles) strikeLimits(ctx context.Context, kind string, r *rand.Rand) error {
	m := t.draw(r, kind == FullDisk)
	p := m.procs[r.IntN(len(m.procs))]
	switch kind {
	case Descriptors:
		if !t.cluster.losses.take(m) {
			return nil
		}
		defer t.cluster.losses.give(m)
		defer t.note(kind, m, true)()
		used, err := descriptors(p.pid())
		if err != nil {
			return nil // it has just ended
		}
		limit(ctx, p, unix.RLIMIT_NOFILE, uint64(used+r.IntN(mostSpare)), span(r, longestLimit))
	case FullDisk:
		if !t.cluster.losses.take(m) {
			return nil
		}
		defer t.cluster.losses.give(m)
		defer t.note(kind, m, false)()
		size := uint64(0)
		if fi, err := os.Stat(filepath.Join(m.procs[0].dir, controlstate.StoreFile)); err == nil {
			size = uint64(fi.Size())
		}
		limit(ctx, m.procs[0], unix.RLIMIT_FSIZE, size+uint64(r.IntN(mostRoom)), span(r, longestLimit))
	case LogReader:
		defer p.holdLog()()
		sleep(ctx, span(r, longestUnread))
	}
	return nil
}

// limit lowers a limit of a process for a while. One that has ended meanwhile needs
// none, and its next life begins with its own.
func limit(ctx context.Context, p *process, resource int, value uint64, lasts time.Duration) {
	pid := p.pid()
	var was unix.Rlimit
	if pid == 0 || unix.Prlimit(pid, resource, nil, &was) != nil {
		return
	}
	if unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(value, was.Max), Max: was.Max}, nil) != nil {
		return
	}
	sleep(ctx, lasts)
	if p.pid() == pid {
		_ = unix.Prlimit(pid, resource, &was, nil) // it may have just ended
	}
}

// descriptors is how many a process has open.
func descriptors(pid int) (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(entries), err
}

// pid is that of the process that runs, 0 if none does.
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

// holdLog has nobody read the process's log until the returned function is called.
func (p *process) holdLog() (release func()) {
	p.mu.Lock()
	logs := p.logs
	p.mu.Unlock()
	if logs == nil {
		return func() {}
	}
	return logs.hold()
}
