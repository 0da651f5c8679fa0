package kernel

// RetentionPeriod is the retention period of state about a database, route or the like that is no
// longer reported by anyone.
const RetentionPeriod = 3600 * Second

// SweepTimer schedules the periodic removal of state that is older than the retention period.
type SweepTimer struct{ last Micros }

// Due reports whether the next removal is due, four times per retention period, and if so
// starts the next interval.
func (s *SweepTimer) Due(now Micros) bool {
	if now-s.last < RetentionPeriod/4 {
		return false
	}
	s.last = now
	return true
}
