package kernel

import (
	"context"
	"sync/atomic"
)

const (
	// stallCheckInterval is the interval of the checks for stalls.
	stallCheckInterval = 200 * Millisecond
	// minStall is how late a check has to be to count as a stall: the process was frozen,
	// or got no CPU time.
	minStall = 150 * Millisecond
	// MaxUndetectedStall is the longest time for which the process may stall undetected.
	// A timeout that has to rule out a stall of this process must be longer than this.
	MaxUndetectedStall = stallCheckInterval + minStall
	// minLoggedStall is the shortest stall that is logged; shorter ones are only counted.
	minLoggedStall = Second
)

// StallDetector detects periods in which the process did not run, so that a delay caused by
// such a stall can be distinguished from one caused by the process's own work.
type StallDetector struct {
	k         *Kernel
	stallEnd  atomic.Int64 // when the last stall ended
	nextCheck atomic.Int64 // when the next check is due; 0 before the first and after Serve
	// stallLength is the length of the last stall.
	stallLength atomic.Int64
}

// NewStallDetector returns a detector that has observed no stall.
func NewStallDetector(k *Kernel) *StallDetector { return &StallDetector{k: k} }

// Serve checks for stalls until ctx ends.
func (s *StallDetector) Serve(ctx context.Context) error {
	defer s.nextCheck.Store(0)
	for {
		due := s.k.Clock.Now() + stallCheckInterval
		s.nextCheck.Store(int64(due))
		if !Sleep(ctx, stallCheckInterval) {
			return nil
		}
		now := s.k.Clock.Now()
		s.recordDelay(now, now-due)
	}
}

// recordDelay records a stall if a check was late by at least minStall.
func (s *StallDetector) recordDelay(now, late Micros) {
	if late < minStall {
		return
	}
	s.stallLength.Store(int64(late))
	s.stallEnd.Store(int64(now))
	s.k.Counters.Add("kernel.stalls", 1)
	s.k.Counters.Add("kernel.stalled_ms", late.Millis())
	if late >= minLoggedStall {
		s.k.Log.Warn("process stalled: it was frozen or got no CPU time", "ms", late.Millis())
	}
}

// Remaining returns how much of span remains, if span began when a signal or message was sent
// that this process has only just received. It may have been sent at any time during a stall
// that is in progress or has just ended, so the length of that stall is deducted.
func (s *StallDetector) Remaining(span Micros) Micros {
	if s == nil {
		return span
	}
	return max(0, span-s.recentStall())
}

// recentStall returns the length of a stall in progress or just ended, otherwise 0.
func (s *StallDetector) recentStall() Micros {
	now := s.k.Clock.Now()
	if due := Micros(s.nextCheck.Load()); due > 0 && now >= due+minStall {
		return now - due
	}
	if now-Micros(s.stallEnd.Load()) < stallCheckInterval {
		return Micros(s.stallLength.Load())
	}
	return 0
}

// StalledSince reports whether the process was stalled at that time or later. An overdue check
// counts as a stall.
func (s *StallDetector) StalledSince(at Micros) bool {
	if s == nil {
		return false
	}
	due := Micros(s.nextCheck.Load())
	return Micros(s.stallEnd.Load()) >= at || due > 0 && s.k.Clock.Now() >= due+minStall
}
