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
	// lasted is how long the last stall was.
	lasted atomic.Int64
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
	s.lasted.Store(int64(late))
	s.until.Store(int64(now))
	s.k.Counters.Add("kernel.stalls", 1)
	s.k.Counters.Add("kernel.stalled_ms", late.Millis())
	if late >= stallLogged {
		s.k.Log.Warn("the process has stood still", "ms", late.Millis())
	}
}

// Left is what is left of a span that began when this process was told something, if that
// has just come: it may have come at any moment while the process stood still.
func (s *Stalls) Left(span Micros) Micros {
	if s == nil {
		return span
	}
	return max(0, span-s.justOver())
}

// justOver is how long the process stood still, if it has only just gone on.
func (s *Stalls) justOver() Micros {
	now := s.k.Clock.Now()
	if due := Micros(s.due.Load()); due > 0 && now >= due+stallLeast {
		return now - due
	}
	if now-Micros(s.until.Load()) < stallTick {
		return Micros(s.lasted.Load())
	}
	return 0
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
