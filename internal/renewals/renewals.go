// Package renewals bounds how often a node sends something again.
package renewals

import (
	"sync"

	"indigowalk/internal/foundation"
)

// parts is how many steps a window is kept in.
const parts = 20

// Allowance lets a node send again as a share of what it has itself sent first:
// in every window its further sends stay below that share of its first ones,
// and so do those of all nodes together, with nothing to be agreed on.
type Allowance struct {
	clock foundation.Clock
	ratio func() float64
	step  foundation.Micros

	mu     sync.Mutex
	at     int64 // step of the newest part
	firsts [parts + 1]int
	agains [parts + 1]int
}

// New returns an allowance of a share of the first sends of a window.
func New(clock foundation.Clock, ratio func() float64, window foundation.Micros) *Allowance {
	return &Allowance{clock: clock, ratio: ratio, step: max(window/parts, 1)}
}

// turn forgets what has left the window. Of the parts that are kept the oldest
// lies in the window only in part.
func (a *Allowance) turn() (newest int) {
	now := int64(a.clock.Now() / a.step)
	for ; a.at < now && now-a.at <= parts+1; a.at++ {
		i := (a.at + 1) % (parts + 1)
		a.firsts[i], a.agains[i] = 0, 0
	}
	if a.at < now {
		a.at = now
		clear(a.firsts[:])
		clear(a.agains[:])
	}
	return int(a.at % (parts + 1))
}

// First counts a first send.
func (a *Allowance) First() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.firsts[a.turn()]++
}

// Again tells whether something may be sent again now, and counts it. Of the
// first sends only those surely inside the window are counted, of the others
// all that may be. The part of the allowance that is kept for more pressing
// sends is not used.
func (a *Allowance) Again(keep float64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	newest := a.turn()
	oldest := (newest + 1) % (parts + 1)
	firsts, agains := 0, 0
	for i := range a.firsts {
		agains += a.agains[i]
		if i != oldest {
			firsts += a.firsts[i]
		}
	}
	if float64(agains+1) > a.ratio()*(1-keep)*float64(firsts) {
		return false
	}
	a.agains[newest]++
	return true
}
