package kernel

import (
	"context"
	"sync/atomic"
)

const (
	// stallTick is between two looks at whether the process runs.
	stallTick = 200 * Millisecond
	// stallLeast is how late a look has to be to count: the process was frozen, or got
	// no processor.
	stallLeast = 150 * Millisecond
	// LongestUnseenStall is how long the process may have stood still without being
	// noticed. Whoever takes a wait for too long otherwise waits for longer than this.
	LongestUnseenStall = stallTick + stallLeast
	// stallLogged is from when on a stall is a change of state that is logged.
	stallLogged = Second
)

// Stalls notices when the process has stood still, so that what came late because of
// it can be told from what was held up by the process itself.
type Stalls struct {
	k     *Kernel
	until atomic.Int64 // when the last stall was over
	due   atomic.Int64 // when the next look is due, 0 before the first
}

// NewStalls returns a watch that has seen none.
func NewStalls(k *Kernel) *Stalls { return &Stalls{k: k} }

// Serve looks until ctx ends.
func (s *Stalls) Serve(ctx context.Context) error {
	defer s.due.Store(0)
	for {
		due := s.k.Clock.Now() + stallTick
		s.due.Store(int64(due))
		if !Sleep(ctx, stallTick) {
			return nil
		}
		now := s.k.Clock.Now()
		s.note(now, now-due)
	}
}

// note takes in how late a look was.
func (s *Stalls) note(now, late Micros) {
	if late < stallLeast {
		return
	}
	s.until.Store(int64(now))
	s.k.Counters.Add("kernel.stalls", 1)
	s.k.Counters.Add("kernel.stalled_ms", late.Millis())
	if late >= stallLogged {
		s.k.Log.Warn("the process has stood still", "ms", late.Millis())
	}
}

// Since tells whether the process stood still at that time or later. A look that is
// overdue says that it just has.
func (s *Stalls) Since(at Micros) bool {
	if s == nil {
		return false
	}
	due := Micros(s.due.Load())
	return Micros(s.until.Load()) >= at || due > 0 && s.k.Clock.Now() >= due+stallLeast
}
