package custodian

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
	"indigowalk/internal/vault"
)

type reader struct {
	life  int64
	until foundation.Micros
	Report
}

// Readers knows which desks may still read at a primary: those that hold a
// read lease and have not acknowledged leaving.
type Readers struct {
	mu           sync.Mutex
	epoch        int64
	desks        map[string]*reader
	acknowledged acknowledged
	bell         foundation.Bell
}

// Report is what a desk tells of the primaries with a poll.
type Report struct {
	// Left holds, by service, the turn at which the desk has left the old
	// primary: it acknowledges none of that one's commits any more.
	Left map[string]int64
	// Acked holds, by service that it has left, a position that covers every
	// commit that it has acknowledged to a client.
	Acked map[string]folio.Position
}

// NewReaders returns an empty set.
func NewReaders() *Readers { return &Readers{desks: map[string]*reader{}} }

// Heard notes what a desk reports, at that time. An earlier life of the desk is
// refused, and the newest returned.
func (r *Readers) Heard(desk string, life int64, report Report, now foundation.Micros) (newest int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.desks[desk]
	if d != nil && life < d.life {
		return d.life, false
	}
	fresh := d == nil || life > d.life
	if fresh {
		// A new life holds no lease of the one before, whose last
		// acknowledgements nobody reports any more.
		d = &reader{life: life}
		r.desks[desk] = d
		r.acknowledged.lost = max(r.acknowledged.lost, now)
	}
	if changed := fresh || !maps.Equal(d.Left, report.Left); changed {
		r.bell.Ring()
	}
	d.Report = report
	return life, true
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

// Count is how many desks held a lease at that time or later.
func (r *Readers) Count(at foundation.Micros) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.desks {
		if d.until > at {
			n++
		}
	}
	return n
}

// Left tells whether every desk has left the service's old primary at that
// turn or holds no lease any more, and if not, how long the leases run.
func (r *Readers) Left(service string, turn int64, now foundation.Micros) (bool, foundation.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait foundation.Micros
	for _, d := range r.desks {
		if d.until > now && d.Left[service] < turn {
			wait = max(wait, d.until-now)
		}
	}
	return wait == 0, wait
}

// Term starts a term of the vault's primary, once: any desk that was ever
// registered may hold a lease of the primary before, for that span. A term that
// another has followed is not begun again: it knows fewer desks.
func (r *Readers) Term(epoch int64, registered map[string]int64, now, lease foundation.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.desks, r.acknowledged = epoch, map[string]*reader{}, acknowledged{lost: now}
	for desk, life := range registered {
		r.desks[desk] = &reader{life: life, until: now + lease}
	}
}

// InTerm tells whether the term of that epoch has started.
func (r *Readers) InTerm(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch == epoch
}

// Changed closes when a desk acknowledges something.
func (r *Readers) Changed() <-chan struct{} { return r.bell.Wait() }

// deskPrefix starts the entries of the control state that register desks: a
// desk is entered there before it is granted its first lease, so that whoever
// takes over knows whom to wait for.
const deskPrefix = "desk/"

// Registered picks the desks, with their lives, out of the control state.
func Registered(entries map[string]json.RawMessage) (map[string]int64, error) {
	return vault.Pick[int64](entries, deskPrefix)
}

// Register returns the change of the control state that enters a desk's life.
func Register(desk string, life int64) map[string]json.RawMessage {
	return map[string]json.RawMessage{deskPrefix + desk: json.RawMessage(fmt.Sprint(life))}
}

// IsRegistered tells whether that life of the desk, or a later one, is entered.
func IsRegistered(entries map[string]json.RawMessage, desk string, life int64) bool {
	var known int64
	return json.Unmarshal(entries[deskPrefix+desk], &known) == nil && known >= life
}
