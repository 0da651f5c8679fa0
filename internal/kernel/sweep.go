package kernel

// RetentionPeriod is how long a process retains its state about a database, a route or the like that
// is no longer reported.
const RetentionPeriod = 3600 * Second

// SweepTimer schedules the periodic removal of state that is older than the retention period.
type SweepTimer struct{ last Micros }

// Due reports whether the next removal is due, which is four times per retention period. If it is
// due, the interval until the following one starts.
func (s *SweepTimer) Due(now Micros) bool {
	if now-s.last < RetentionPeriod/4 {
		return false
	}
	s.last = now
	return true
}
