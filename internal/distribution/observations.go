package distribution

import (
	"math"
	"sync"

	"indigowalk/internal/kernel"
)

// Seen is what a carrier saw of a database since it last told: how many answers
// it had, the sum of their times over what is usual, in hundredths, and how many
// requests failed there.
type Seen [3]int

// observations puts together what all carriers see of each database, and tells all of
// them how many usual answers a request there costs. It is remembered, not kept:
// another primary begins anew, and what carriers were told fades with them.
type observations struct {
	clock kernel.Clock

	mu   sync.Mutex
	seq  int64 // of the newest change that is told
	next kernel.Micros
	of   map[string]*observed
}

type observed struct {
	pace   float64
	paceAt kernel.Micros
	ill    float64
	illAt  kernel.Micros
	told   int   // hundredths
	at     int64 // seq at which that was set
}

const (
	observeEvery = 300 * kernel.Millisecond
	// Of one answer, or one failure, so much of what was known is replaced.
	paceWeight = 0.04
	illWeight  = 0.2
	// What was seen fades.
	paceFades = 30 * kernel.Second
	illFades  = 3 * kernel.Second
	// illCosts is what a request costs where all fail.
	illCosts = 20
	// A change by so much is told.
	toldStep = 0.15
	// mostTallied bounds what is remembered.
	mostTallied = 10_000
)

func newObservations(clock kernel.Clock) *observations {
	return &observations{clock: clock, of: map[string]*observed{}}
}

// fade is what is left of v, which fades to rest.
func fade(v, rest float64, span, over kernel.Micros) float64 {
	return rest + (v-rest)*math.Exp(-float64(span)/float64(over))
}

// add takes in what a carrier saw.
func (t *observations) add(seen map[string]Seen) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for id, s := range seen {
		if s[0] < 0 || s[1] < 0 || s[2] < 0 {
			continue
		}
		e := t.of[id]
		if e == nil {
			if len(t.of) >= mostTallied {
				continue
			}
			e = &observed{pace: 1, paceAt: now, illAt: now, told: 100}
			t.of[id] = e
		}
		if s[0] > 0 {
			e.pace = fade(e.pace, 1, now-e.paceAt, paceFades)
			mean := float64(s[1]) / 100 / float64(s[0])
			e.pace += (1 - math.Pow(1-paceWeight, float64(s[0]))) * (mean - e.pace)
			e.paceAt = now
		}
		e.ill = fade(e.ill, 0, now-e.illAt, illFades)
		e.ill *= math.Pow(1-illWeight, float64(s[0]))
		e.ill += (1 - math.Pow(1-illWeight, float64(s[2]))) * (1 - e.ill)
		e.illAt = now
	}
}

// since returns what changed since a sequence, and the newest one.
func (t *observations) since(seq int64) (paces map[string]int, newest int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now := t.clock.Now(); now >= t.next {
		t.next = now + observeEvery
		for _, e := range t.of {
			cost := 100 * (fade(e.pace, 1, now-e.paceAt, paceFades) + illCosts*fade(e.ill, 0, now-e.illAt, illFades))
			if math.Abs(cost-float64(e.told)) > toldStep*float64(e.told) {
				t.seq++
				e.told, e.at = int(cost), t.seq
			}
		}
	}
	if seq >= t.seq {
		return nil, t.seq
	}
	paces = map[string]int{}
	for id, e := range t.of {
		if e.at > seq {
			paces[id] = e.told
		}
	}
	return paces, t.seq
}

// keep forgets databases that are no more.
func (t *observations) keep(there func(id string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.of {
		if !there(id) {
			delete(t.of, id)
		}
	}
}
