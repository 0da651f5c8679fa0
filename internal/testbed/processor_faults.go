package testbed

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"indigowalk/internal/history"
)

// Parameters of processor throttling.
const (
	// quotaPeriod is the period in which a process gets its share of the processor in one piece.
	quotaPeriod = 100 * time.Millisecond
	// minShare is the minimum share of each period in which a process runs.
	minShare = 0.3
	// maxThrottled is the longest time for which processes are throttled.
	maxThrottled = 6 * time.Second
)

// injectProcessorFault lets a machine's processes run for a part of each period only, as if their
// processor quota were used up. The checks make no exception for this fault.
func (t *faultInjector) injectProcessorFault(ctx context.Context, kind string, r *rand.Rand) error {
	m := t.pickMachine(r, false)
	running := time.Duration((minShare + (1-minShare)*r.Float64()) * float64(quotaPeriod))
	number := t.traffic.Begin(history.Trouble{Kind: kind, Node: m.clientAddr(), Calm: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	for end := time.Now().Add(randomDuration(r, maxThrottled)); time.Now().Before(end) && ctx.Err() == nil; {
		m.signal(syscall.SIGSTOP)
		sleep(ctx, quotaPeriod-running)
		m.signal(syscall.SIGCONT)
		sleep(ctx, running)
	}
	return nil
}
