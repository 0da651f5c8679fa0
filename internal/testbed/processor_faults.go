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
	// throttlePeriod is the period in which a throttled process runs once, for its share of the period.
	throttlePeriod = 100 * time.Millisecond
	// minProcessorShare is the minimum share of each period for which a process runs.
	minProcessorShare = 0.3
	// maxThrottleTime is the longest time for which processes are throttled.
	maxThrottleTime = 6 * time.Second
)

// injectProcessorFault lets a machine's processes run only for a part of each period, like processes
// that exceed a processor quota. The checks make no exception for this fault.
func (f *faultInjector) injectProcessorFault(ctx context.Context, kind string, r *rand.Rand) error {
	m := f.pickMachine(r, false)
	runTime := time.Duration((minProcessorShare + (1-minProcessorShare)*r.Float64()) * float64(throttlePeriod))
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: kind, Node: m.clientAddr(), RecordOnly: true, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	for end := time.Now().Add(randomDuration(r, maxThrottleTime)); time.Now().Before(end) && ctx.Err() == nil; {
		m.signal(syscall.SIGSTOP)
		sleep(ctx, throttlePeriod-runTime)
		m.signal(syscall.SIGCONT)
		sleep(ctx, runTime)
	}
	return nil
}
