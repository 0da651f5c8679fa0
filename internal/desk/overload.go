package desk

import (
	"math"
	"math/rand/v2"
	"sync"

	"indigowalk/internal/foundation"
)

// strain is how far a database is past its capacity, as this desk sees it: 0
// while answers come in their usual time, towards 1 while it turns statements
// away or lets them wait. It settles where strainUp of the signals are bad by
// strainDown of the good ones.
type strain struct {
	clock foundation.Clock

	mu    sync.Mutex
	level map[string]level
}

type level struct {
	at    foundation.Micros
	value float64
}

func (l level) now(now foundation.Micros) float64 {
	return l.value * math.Exp(-float64(now-l.at)/float64(strainFades))
}

const (
	strainUp    = 0.03
	strainDown  = 0.01
	strainFades = 2 * foundation.Second
	strainTimes = 5 // times the usual: an answer that waited
	// a route that takes this many times the cheapest one's time is dear
	dearTimes = 3
)

func newStrain(clock foundation.Clock) *strain {
	return &strain{clock: clock, level: map[string]level{}}
}

// note takes the signal of one answer.
func (s *strain) note(id string, bad bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	l := s.level[id].now(now)
	if bad {
		l = min(1, l+strainUp)
	} else {
		l = max(0, l-strainDown)
	}
	s.level[id] = level{now, l}
}

// sheds tells whether a statement is to be refused for the database's sake:
// never one of the most urgent, first those that take long, then the others.
func (s *strain) sheds(id string, urgent, dear bool) bool {
	if urgent {
		return false
	}
	s.mu.Lock()
	l := s.level[id].now(s.clock.Now())
	s.mu.Unlock()
	share := 2*l - 1
	if dear {
		share = 2 * l
	}
	return share > 0 && rand.Float64() < share
}

// sheds tells whether the job is refused early at the database.
func (j *job) sheds(id string) bool {
	d := j.s.d
	least := j.route.Prio
	cheapest := d.aid.Usual(j.route.Name)
	for _, r := range d.card.Config().Routes {
		if u := d.aid.Usual(r.Name); u > 0 && r.Service == j.route.Service {
			least, cheapest = min(least, r.Prio), min(cheapest, u)
		}
	}
	dear := d.aid.Usual(j.route.Name) > dearTimes*cheapest
	return d.strain.sheds(id, j.route.Prio <= least, dear)
}

// felt notes what an answer tells of the database's strain.
func (j *job) felt(id string, took foundation.Micros, turnedAway bool) {
	usual := j.s.d.aid.Usual(j.route.Name)
	j.s.d.strain.note(id, turnedAway || usual > 0 && took > strainTimes*usual)
}
