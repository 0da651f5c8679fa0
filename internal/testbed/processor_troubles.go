package testbed

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"indigowalk/internal/history"
)

// Spans of processors that are shared out by quota.
const (
	// quotaPeriod is the span in which a process gets its share of the processor at once.
	quotaPeriod = 100 * time.Millisecond
	// leastShare of each period is what it gets at the least.
	leastShare = 0.3
	// longestThrottled is for how long that lasts.
	longestThrottled = 6 * time.Second
)

// strikeProcessors has a machine's processes run for the first part of each period only,
// as one whose quota of the processor is used up. Nothing is excused by it.
func (t *troubles) strikeProcessors(ctx context.Context, kind string, r *rand.Rand) error {
	m := t.draw(r, false)
	runs := time.Duration((leastShare + (1-leastShare)*r.Float64()) * float64(quotaPeriod))
	number := t.traffic.Begin(history.Trouble{Kind: kind, Node: m.clientAddr(), Calm: true, At: t.traffic.Now()})
	defer func() { t.traffic.End(number) }()
	for end := time.Now().Add(span(r, longestThrottled)); time.Now().Before(end) && ctx.Err() == nil; {
		m.signal(syscall.SIGSTOP)
		sleep(ctx, quotaPeriod-runs)
		m.signal(syscall.SIGCONT)
		sleep(ctx, runs)
	}
	return nil
}
