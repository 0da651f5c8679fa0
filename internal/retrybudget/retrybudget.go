// Package retrybudget bounds how often a node sends something again.
package retrybudget

import (
	"sync"

	"indigowalk/internal/kernel"
)

// parts is how many steps a window is kept in.
const parts = 20

// Allowance lets a node send again, to each service, as a share of what it has
// itself sent there first: in every window its further sends stay below that
// share of its first ones, and so do those of all nodes together, with nothing
// to be agreed on.
type Allowance struct {
	clock kernel.Clock
	ratio func() float64
	step  kernel.Micros

	mu sync.Mutex
	of map[string]*sends // by service
}

type sends struct {
	at     int64 // step of the newest part
	firsts [parts + 1]int
	agains [parts + 1]int
}

// New returns an allowance of a share of the first sends of a window.
func New(clock kernel.Clock, ratio func() float64, window kernel.Micros) *Allowance {
	return &Allowance{clock: clock, ratio: ratio, step: max(window/parts, 1), of: map[string]*sends{}}
}

// sends returns what has been sent to a service, as of now.
func (a *Allowance) sends(service string) *sends {
	s := a.of[service]
	if s == nil {
		s = &sends{}
		a.of[service] = s
	}
	s.turn(int64(a.clock.Now() / a.step))
	return s
}

// turn forgets what has left the window. Of the parts that are kept the oldest
// lies in the window only in part.
func (a *sends) turn(now int64) {
	for ; a.at < now && now-a.at <= parts+1; a.at++ {
		i := (a.at + 1) % (parts + 1)
		a.firsts[i], a.agains[i] = 0, 0
	}
	if a.at < now {
		a.at = now
		clear(a.firsts[:])
		clear(a.agains[:])
	}
}

// newest is the index of the part that now lies in.
func (a *sends) newest() int { return int(a.at % (parts + 1)) }

// First counts a first send.
func (a *Allowance) First(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.sends(service)
	s.firsts[s.newest()]++
}

// Again tells whether something may be sent again now, and counts it. Of the
// first sends only those surely inside the window are counted, of the others
// all that may be. The part of the allowance that is kept for more pressing
// sends is not used.
func (a *Allowance) Again(service string, keep float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.sends(service)
	newest := s.newest()
	oldest := (newest + 1) % (parts + 1)
	firsts, agains := 0, 0
	for i := range s.firsts {
		agains += s.agains[i]
		if i != oldest {
			firsts += s.firsts[i]
		}
	}
	if float64(agains+1) > a.ratio()*(1-keep)*float64(firsts) {
		return false
	}
	s.agains[newest]++
	return true
}
