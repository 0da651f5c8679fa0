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

// leaseHolder is the state of one pooler.
type leaseHolder struct {
	incarnation int64
	leaseEnd    kernel.Micros
	lastHeard   kernel.Micros
	// removing says that its registration is being removed: until that is done, its reports are
	// refused and it is granted no lease.
	removing bool
	Report
}

// ReadLeases tracks which poolers may still use a primary: those that hold a read lease and have
// not reported that they released the primary. Where databases have no leader, the lease holders
// are gateways.
type ReadLeases struct {
	mu      sync.Mutex
	epoch   int64
	poolers map[string]*leaseHolder
	acks    ackTracker
	changes kernel.Notifier
}

// Report is what a pooler reports with a poll about the failovers in progress.
type Report struct {
	// Released holds, by service, the number of the failover for which the pooler has released the
	// old primary: it no longer acknowledges any commit of that primary.
	Released map[string]int64
	// AckedUpperBound holds, by released service, a position that covers every commit that the
	// pooler acknowledged to a client, and those of other poolers of which it was notified.
	AckedUpperBound map[string]lineprotocol.Position
	// AckedLowerBound holds, by released service, a position such that the pooler acknowledged a
	// commit at it or at a later one.
	AckedLowerBound map[string]lineprotocol.Position
}

// NewReadLeases returns a tracker that knows no poolers.
func NewReadLeases() *ReadLeases { return &ReadLeases{poolers: map[string]*leaseHolder{}} }

// RecordReport records what a pooler reported at that time. It refuses a report of an earlier
// incarnation of the pooler, and returns the newest one; it also refuses a report of a pooler whose
// registration is being removed, and returns 0.
func (r *ReadLeases) RecordReport(pooler string, incarnation int64, report Report, now kernel.Micros) (newest int64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	holder := r.poolers[pooler]
	if holder != nil && holder.removing {
		return 0, false
	}
	if holder != nil && incarnation < holder.incarnation {
		return holder.incarnation, false
	}
	newIncarnation := holder == nil || incarnation > holder.incarnation
	if newIncarnation {
		// A new incarnation does not hold the lease of the previous one. What the previous one
		// acknowledged under its lease since its last report will not be reported any more.
		if holder != nil {
			r.acks.unreportedUntil = max(r.acks.unreportedUntil, min(now, holder.leaseEnd))
		}
		holder = &leaseHolder{incarnation: incarnation}
		r.poolers[pooler] = holder
	}
	if changed := newIncarnation || !maps.Equal(holder.Released, report.Released); changed {
		r.changes.NotifyAll()
	}
	holder.Report, holder.lastHeard = report, now
	return incarnation, true
}

// Grant records that the pooler is granted a lease until that time. It must be called before the
// grant is sent, and reports whether the grant may be sent.
func (r *ReadLeases) Grant(pooler string, incarnation int64, until kernel.Micros) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	holder := r.poolers[pooler]
	if holder == nil || holder.incarnation != incarnation || holder.removing {
		return false
	}
	holder.leaseEnd = max(holder.leaseEnd, until)
	return true
}

// CountLeases returns how many poolers hold a lease that ends after that time.
func (r *ReadLeases) CountLeases(at kernel.Micros) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, holder := range r.poolers {
		if holder.leaseEnd > at {
			n++
		}
	}
	return n
}

// AllReleased reports whether every pooler has released the service's old primary for that failover
// or holds no lease any more, and if not, the time until the last of the leases ends.
func (r *ReadLeases) AllReleased(service string, failoverID int64, now kernel.Micros) (bool, kernel.Micros) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait kernel.Micros
	for _, holder := range r.poolers {
		if holder.leaseEnd > now && holder.Released[service] < failoverID {
			wait = max(wait, holder.leaseEnd-now)
		}
	}
	return wait == 0, wait
}

// MarkExpired lists the poolers that have neither polled nor held a lease for a time span. Their
// reports are refused, and they are granted no lease, until RemoveExpired is called after their
// registrations have been removed: the next primary of the control state does not wait for a lease
// whose holder is not registered.
func (r *ReadLeases) MarkExpired(now, span kernel.Micros) (poolers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pooler, holder := range r.poolers {
		if now-max(holder.leaseEnd, holder.lastHeard) > span {
			holder.removing = true
		}
		if holder.removing {
			poolers = append(poolers, pooler)
		}
	}
	slices.Sort(poolers)
	return poolers
}

// RemoveExpired removes poolers after their registrations have been removed.
func (r *ReadLeases) RemoveExpired(poolers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, pooler := range poolers {
		if holder := r.poolers[pooler]; holder != nil && holder.removing {
			// What it acknowledged will not be reported any more.
			r.acks.unreportedUntil = max(r.acks.unreportedUntil, holder.leaseEnd)
			delete(r.poolers, pooler)
		}
	}
}

// BeginTerm resets the tracker for a term of the control state's primary: every registered pooler
// may hold a lease that the previous primary granted, of the given duration. A repeated call for
// the current term, or for an earlier one, has no effect.
func (r *ReadLeases) BeginTerm(epoch int64, registered map[string]int64, now, lease kernel.Micros) {
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

// InTerm reports whether the current term is the one that began with that epoch.
func (r *ReadLeases) InTerm(epoch int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.epoch == epoch
}

// Changed returns a channel that is closed when a pooler reports that it has released a primary, or
// returns as a new incarnation.
func (r *ReadLeases) Changed() <-chan struct{} { return r.changes.Wait() }

// proxyPrefix is the prefix of the keys of the control state's entries that register proxies:
// poolers, or gateways where databases have no leader. A proxy is registered before it is granted
// its first lease, so that the next primary of the control state knows which ones to wait for.
const proxyPrefix = "carrier/"

// DecodeRegistrations returns the incarnations of the poolers that are registered in the control
// state.
func DecodeRegistrations(entries map[string]json.RawMessage) (map[string]int64, error) {
	return controlstate.DecodePrefix[int64](entries, proxyPrefix)
}

// RegistrationChanges returns the change of the control state that registers an incarnation of a
// pooler.
func RegistrationChanges(pooler string, incarnation int64) map[string]json.RawMessage {
	return map[string]json.RawMessage{proxyPrefix + pooler: json.RawMessage(fmt.Sprint(incarnation))}
}

// UnregistrationChanges returns the change of the control state that removes the registrations of
// poolers.
func UnregistrationChanges(poolers []string) map[string]json.RawMessage {
	removed := make(map[string]json.RawMessage, len(poolers))
	for _, pooler := range poolers {
		removed[proxyPrefix+pooler] = nil
	}
	return removed
}

// IsRegistered reports whether that incarnation of the pooler, or a later one, is registered.
func IsRegistered(entries map[string]json.RawMessage, pooler string, incarnation int64) bool {
	var registered int64
	return json.Unmarshal(entries[proxyPrefix+pooler], &registered) == nil && registered >= incarnation
}
