package failover

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

type leaseHolder struct {
	incarnation  int64
	leaseEnd kernel.Micros
	lastHeard kernel.Micros
	// removing says that its registration is being removed: it is granted nothing and
	// heard no more until that is done.
	removing bool
	Report
}

// Readers knows which poolers may still read at a primary: those that hold a
// read lease and have not acknowledged leaving.
type Readers struct {
	mu           sync.Mutex
	epoch        int64
	poolers      map[string]*leaseHolder
	acks ackTracker
	bell         kernel.Bell
}

// Report is what a pooler tells of the primaries with a poll.
type Report struct {
	// Left holds, by service, the turn at which the pooler has left the old
	// primary: it acknowledges none of that one's commits any more.
	Left map[string]int64
	// Acked holds, by service that it has left, a position that covers every
	// commit that it has acknowledged to a client.
	Acked map[string]lineprotocol.Position
	// Certain holds, by service that it has left, a position that one of those commits has
	// at least.
	Certain map[string]lineprotocol.Position
}

// NewReaders returns an empty set.
func NewReaders() *Readers { return &Readers{poolers: map[string]*leaseHolder{}} }

// Heard notes what a pooler reports, at that time. An earlier life of the pooler is
// refused, and the newest returned; so is one whose registration is being removed, with
// no life to tell.
func (r *Readers) Heard(pooler string, life int64, report Report, now kernel.Micros) (newest int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.poolers[pooler]
	if d != nil && d.removing {
		return 0, false
	}
	if d != nil && life < d.incarnation {
		return d.incarnation, false
	}
	fresh := d == nil || life > d.incarnation
	if fresh {
		// A new life holds no lease of the one before, whose last
		// acknowledgements nobody reports any more.
		d = &leaseHolder{incarnation: life}
		r.poolers[pooler] = d
		r.acks.unreportedUntil = max(r.acks.unreportedUntil, now)
	}
	if changed := fresh || !maps.Equal(d.Left, report.Left); changed {
		r.bell.Ring()
	}
	d.Report, d.lastHeard = report, now
	return life, true
}

// Grant notes that the pooler's lease runs until then. It must be called before
// the grant is sent.
func (r *Readers) Grant(pooler string, life int64, until kernel.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.poolers[pooler]
	if d == nil || d.incarnation != life || d.removing {
		return false
	}
	d.leaseEnd = max(d.leaseEnd, until)
	return true
}

// Count is how many poolers held a lease at that time or later.
func (r *Readers) Count(at kernel.Micros) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.poolers {
		if d.leaseEnd > at {
			n++
		}
	}
	return n
}

// AllLeft tells whether every pooler has left the service's old primary at that
// turn or holds no lease any more, and if not, how long the leases run.
func (r *Readers) AllLeft(service string, turn int64, now kernel.Micros) (bool, kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait kernel.Micros
	for _, d := range r.poolers {
		if d.leaseEnd > now && d.Left[service] < turn {
			wait = max(wait, d.leaseEnd-now)
		}
	}
	return wait == 0, wait
}

// MarkExpired lists the poolers of which nothing was heard, and whose leases have been over, for
// a span. From now on they are
// neither heard nor granted anything, until Forget is called once their registrations
// have been removed: a lease that no registration tells of would not be waited for by the
// next primary.
func (r *Readers) MarkExpired(now, span kernel.Micros) (poolers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pooler, d := range r.poolers {
		if now-max(d.leaseEnd, d.lastHeard) > span {
			d.removing = true
		}
		if d.removing {
			poolers = append(poolers, pooler)
		}
	}
	slices.Sort(poolers)
	return poolers
}

// RemoveExpired drops poolers whose registrations have been removed.
func (r *Readers) RemoveExpired(poolers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pooler := range poolers {
		if d := r.poolers[pooler]; d != nil && d.removing {
			// What it acknowledged nobody reports any more.
			r.acks.unreportedUntil = max(r.acks.unreportedUntil, d.leaseEnd)
			delete(r.poolers, pooler)
		}
	}
}

// Term starts a term of the control state's primary, once: any pooler that was ever
// registered may hold a lease of the primary before, for that span. A term that
// another has followed is not begun again: it knows fewer poolers.
func (r *Readers) Term(epoch int64, registered map[string]int64, now, lease kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.poolers, r.acks = epoch, map[string]*leaseHolder{}, ackTracker{unreportedUntil: now}
	for pooler, life := range registered {
		r.poolers[pooler] = &leaseHolder{incarnation: life, leaseEnd: now + lease}
	}
}

// InTerm tells whether the term of that epoch has started.
func (r *Readers) InTerm(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch == epoch
}

// Changed closes when a pooler acknowledges something.
func (r *Readers) Changed() <-chan struct{} { return r.bell.Wait() }

// proxyPrefix starts the entries of the control state that register poolers: a
// pooler is entered there before it is granted its first lease, so that whoever
// takes over knows whom to wait for.
const proxyPrefix = "carrier/"

// Registered picks the poolers, with their lives, out of the control state.
func Registered(entries map[string]json.RawMessage) (map[string]int64, error) {
	return controlstate.Pick[int64](entries, proxyPrefix)
}

// Register returns the change of the control state that enters a pooler's life.
func Register(pooler string, life int64) map[string]json.RawMessage {
	return map[string]json.RawMessage{proxyPrefix + pooler: json.RawMessage(fmt.Sprint(life))}
}

// Unregister returns the change of the control state that removes poolers.
func Unregister(poolers []string) map[string]json.RawMessage {
	removed := make(map[string]json.RawMessage, len(poolers))
	for _, pooler := range poolers {
		removed[proxyPrefix+pooler] = nil
	}
	return removed
}

// IsRegistered tells whether that life of the pooler, or a later one, is entered.
func IsRegistered(entries map[string]json.RawMessage, pooler string, life int64) bool {
	var known int64
	return json.Unmarshal(entries[proxyPrefix+pooler], &known) == nil && known >= life
}
