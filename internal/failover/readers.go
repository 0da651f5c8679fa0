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

// leaseHolder is what is known of one pooler.
type leaseHolder struct {
	incarnation int64
	leaseEnd    kernel.Micros
	lastHeard   kernel.Micros
	// removing says that its registration is being removed: until that is done it is granted no
	// lease and its reports are refused.
	removing bool
	Report
}

// Readers tracks which poolers may still read at a primary: those that hold a read lease and have
// not acknowledged leaving.
type Readers struct {
	mu      sync.Mutex
	epoch   int64
	poolers map[string]*leaseHolder
	acks    ackTracker
	changes kernel.Notifier
}

// Report is what a pooler reports about the primaries with a poll.
type Report struct {
	// Left holds, by service, the number of the failover for which the pooler has left the old
	// primary: it no longer acknowledges any commit of that primary.
	Left map[string]int64
	// AckedUpperBound holds, by service that it has left, a position that covers every commit that
	// it has acknowledged to a client.
	AckedUpperBound map[string]lineprotocol.Position
	// AckedLowerBound holds, by service that it has left, a position that one of those commits has
	// reached at least.
	AckedLowerBound map[string]lineprotocol.Position
}

// NewReaders returns an empty set of poolers.
func NewReaders() *Readers { return &Readers{poolers: map[string]*leaseHolder{}} }

// RecordReport records what a pooler reported at that time. A report of an earlier incarnation of
// the pooler is refused, and the newest incarnation returned; so is the report of a pooler whose
// registration is being removed, with no incarnation returned.
func (r *Readers) RecordReport(pooler string, incarnation int64, report Report, now kernel.Micros) (newest int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.poolers[pooler]
	if d != nil && d.removing {
		return 0, false
	}
	if d != nil && incarnation < d.incarnation {
		return d.incarnation, false
	}
	fresh := d == nil || incarnation > d.incarnation
	if fresh {
		// A new incarnation does not hold the lease of the previous one, whose last
		// acknowledgements are no longer reported by anybody.
		d = &leaseHolder{incarnation: incarnation}
		r.poolers[pooler] = d
		r.acks.unreportedUntil = max(r.acks.unreportedUntil, now)
	}
	if changed := fresh || !maps.Equal(d.Left, report.Left); changed {
		r.changes.NotifyAll()
	}
	d.Report, d.lastHeard = report, now
	return incarnation, true
}

// Grant records that the pooler's lease runs until then. It must be called before the grant is
// sent.
func (r *Readers) Grant(pooler string, incarnation int64, until kernel.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.poolers[pooler]
	if d == nil || d.incarnation != incarnation || d.removing {
		return false
	}
	d.leaseEnd = max(d.leaseEnd, until)
	return true
}

// CountLeases returns how many poolers hold a lease that ends after that time.
func (r *Readers) CountLeases(at kernel.Micros) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.poolers {
		if d.leaseEnd > at {
			n++
		}
	}
	return n
}

// AllLeft reports whether every pooler has left the service's old primary for that failover or
// holds no lease any more, and if not, how long the leases still run.
func (r *Readers) AllLeft(service string, failoverID int64, now kernel.Micros) (bool, kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait kernel.Micros
	for _, d := range r.poolers {
		if d.leaseEnd > now && d.Left[service] < failoverID {
			wait = max(wait, d.leaseEnd-now)
		}
	}
	return wait == 0, wait
}

// MarkExpired lists the poolers that have not polled, and whose leases have been over, for a time
// span. From now on their reports are refused and they are granted nothing until RemoveExpired is
// called once their registrations have been removed: the next primary would not wait for a lease
// without a registration.
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

// RemoveExpired removes poolers whose registrations have been removed.
func (r *Readers) RemoveExpired(poolers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pooler := range poolers {
		if d := r.poolers[pooler]; d != nil && d.removing {
			// Nobody reports any more what it acknowledged.
			r.acks.unreportedUntil = max(r.acks.unreportedUntil, d.leaseEnd)
			delete(r.poolers, pooler)
		}
	}
}

// BeginTerm starts a term of the control state's primary, once: any pooler that was ever registered
// may hold a lease of the previous primary, for that duration. A term that has been followed by
// another is not started again, since it knows fewer poolers.
func (r *Readers) BeginTerm(epoch int64, registered map[string]int64, now, lease kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch <= r.epoch {
		return
	}
	r.epoch, r.poolers, r.acks = epoch, map[string]*leaseHolder{}, ackTracker{unreportedUntil: now}
	for pooler, incarnation := range registered {
		r.poolers[pooler] = &leaseHolder{incarnation: incarnation, leaseEnd: now + lease}
	}
}

// InTerm reports whether the term of that epoch is the current one.
func (r *Readers) InTerm(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch == epoch
}

// Changed returns a channel that is closed when a pooler's acknowledgements change.
func (r *Readers) Changed() <-chan struct{} { return r.changes.Wait() }

// proxyPrefix starts the keys of the control state's entries that register poolers: a pooler is
// registered before it is granted its first lease, so that the next primary knows which poolers
// to wait for.
const proxyPrefix = "carrier/"

// Registered returns the registered poolers in the control state, with their incarnations.
func Registered(entries map[string]json.RawMessage) (map[string]int64, error) {
	return controlstate.DecodePrefix[int64](entries, proxyPrefix)
}

// Register returns the change of the control state that registers an incarnation of a pooler.
func Register(pooler string, incarnation int64) map[string]json.RawMessage {
	return map[string]json.RawMessage{proxyPrefix + pooler: json.RawMessage(fmt.Sprint(incarnation))}
}

// Unregister returns the change of the control state that removes poolers.
func Unregister(poolers []string) map[string]json.RawMessage {
	removed := make(map[string]json.RawMessage, len(poolers))
	for _, pooler := range poolers {
		removed[proxyPrefix+pooler] = nil
	}
	return removed
}

// IsRegistered reports whether that incarnation of the pooler, or a later one, is registered.
func IsRegistered(entries map[string]json.RawMessage, pooler string, incarnation int64) bool {
	var known int64
	return json.Unmarshal(entries[proxyPrefix+pooler], &known) == nil && known >= incarnation
}
