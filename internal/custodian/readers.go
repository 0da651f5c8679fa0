package custodian

import (
	"sync"

	"indigowalk/internal/foundation"
)

type reader struct {
	life  int64
	until foundation.Micros
	left  map[string]int64
}

// Readers knows which desks may still read at a primary: those that hold a
// read lease and have not acknowledged leaving.
type Readers struct {
	mu    sync.Mutex
	desks map[string]*reader
	bell  foundation.Bell
}

// NewReaders returns an empty set.
func NewReaders() *Readers { return &Readers{desks: map[string]*reader{}} }

// Heard notes what a desk acknowledged: left holds, by service, the turn at
// which it has left the old primary. An earlier life of the desk is refused.
func (r *Readers) Heard(desk string, life int64, left map[string]int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.desks[desk]
	if d != nil && life < d.life {
		return false
	}
	if d == nil || life > d.life {
		// A new life holds no lease of the one before.
		d = &reader{life: life}
		r.desks[desk] = d
	}
	d.left = left
	r.bell.Ring()
	return true
}

// Grant notes that the desk's lease runs until then. It must be called before
// the grant is sent.
func (r *Readers) Grant(desk string, life int64, until foundation.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.desks[desk]
	if d == nil || d.life != life {
		return false
	}
	d.until = max(d.until, until)
	return true
}

// Left tells whether every desk has left the service's old primary at that
// turn or holds no lease any more, and if not, how long the leases run.
func (r *Readers) Left(service string, turn int64, now foundation.Micros) (bool, foundation.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait foundation.Micros
	for _, d := range r.desks {
		if d.until > now && d.left[service] < turn {
			wait = max(wait, d.until-now)
		}
	}
	return wait == 0, wait
}

// Reset forgets all desks, at the start of a term.
func (r *Readers) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desks = map[string]*reader{}
}

// Changed closes when a desk acknowledges something.
func (r *Readers) Changed() <-chan struct{} { return r.bell.Wait() }
