package kernel

// Kept is the retention period of state about a database, route or the like that is no
// longer reported by anyone.
const Kept = 3600 * Second

// Sweep schedules the periodic removal of state that is older than the retention period.
type Sweep struct{ last Micros }

// Due reports whether the next removal is due, four times per retention period, and if so
// starts the next interval.
func (s *Sweep) Due(now Micros) bool {
	if now-s.last < Kept/4 {
		return false
	}
	s.last = now
	return true
}
