package kernel

// Kept is for how long something is remembered, of a database or a route say, that
// is heard of no more.
const Kept = 3600 * Second

// Sweep paces the dropping of what has not been heard of for Kept.
type Sweep struct{ last Micros }

// Due tells whether it is time to look for what is to be dropped, a few times in
// the span that things are kept.
func (s *Sweep) Due(now Micros) bool {
	if now-s.last < Kept/4 {
		return false
	}
	s.last = now
	return true
}
