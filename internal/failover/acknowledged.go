package failover

import (
	"hash/crc32"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// ackTracker holds what bounds, for each service, the commits that were acknowledged to clients.
// A pooler that has left a primary reports what it acknowledged itself. Commits acknowledged by a
// pooler that no longer reports, because it ended or its lease expired, are covered by an
// observation: the position in a primary's response to a statement that was sent later covers
// every commit acknowledged before.
type ackTracker struct {
	unreportedUntil kernel.Micros // poolers that no longer report may have acknowledged commits until then
	services        []string      // those that have a primary
	observed        map[string]coveringPosition
}

// coveringPosition is a position that covers every commit acknowledged before a time.
type coveringPosition struct {
	before   kernel.Micros
	position lineprotocol.Position
}

// Observation is what a pooler observed at primaries after it received the poll response with this
// stamp.
type Observation struct {
	Term  int64                            // in which the stamp was issued
	Stamp kernel.Micros                    // clock of the control node that issued it
	At    map[string]lineprotocol.Position // newest observed position, by service
}

// RecordObservation records what a pooler observed. Observations stamped in another term are
// ignored, since their stamp is of another node's clock.
func (r *Readers) RecordObservation(s Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Term != r.epoch || s.Stamp <= 0 {
		return
	}
	for service, position := range s.At {
		if known, ok := r.acks.observed[service]; ok && s.Stamp <= known.before {
			continue
		}
		if r.acks.observed == nil {
			r.acks.observed = map[string]coveringPosition{}
		}
		r.acks.observed[service] = coveringPosition{s.Stamp, position}
	}
}

// SetLedServices sets the services that have a primary.
func (r *Readers) SetLedServices(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks.services = slices.Sorted(slices.Values(services))
}

const (
	// maxServicesToObserve bounds the services that one pooler is asked to observe.
	maxServicesToObserve = 16
	// observeRotation is how long a pooler is asked for the same services, as long as
	// observations of them are needed, so that the list does not have to be sent again.
	observeRotation = 2 * kernel.Second
)

// ServicesToObserve lists services for which an observation later than now would bound what was
// acknowledged by poolers that no longer report. Different poolers are asked for different
// services.
func (r *Readers) ServicesToObserve(pooler string, now kernel.Micros) (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unreportedUntil := r.acks.unreportedUntil
	for _, d := range r.poolers {
		if d.leaseEnd <= now {
			unreportedUntil = max(unreportedUntil, d.leaseEnd)
		}
	}
	candidates := r.acks.services
	offset := int(crc32.ChecksumIEEE([]byte(pooler))>>1) + int(now/observeRotation)*maxServicesToObserve
	for i := range candidates {
		service := candidates[(offset+i)%len(candidates)]
		if s, known := r.acks.observed[service]; (!known || s.before < unreportedUntil) && len(services) < maxServicesToObserve {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// AcknowledgedUpperBound returns a position that covers every commit of the service that was
// acknowledged to a client, once every pooler has left its primary for that failover or holds no
// lease any more; false if no such position is known.
func (r *Readers) AcknowledgedUpperBound(service string, failoverID int64) (lineprotocol.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unreportedUntil := r.acks.unreportedUntil
	var bound lineprotocol.Position
	for _, d := range r.poolers {
		if d.Left[service] < failoverID {
			unreportedUntil = max(unreportedUntil, d.leaseEnd)
		} else if acked := d.AckedUpperBound[service]; bound.Less(acked) {
			bound = acked
		}
	}
	s, known := r.acks.observed[service]
	if !known || s.before < unreportedUntil {
		return lineprotocol.Position{}, false
	}
	if bound.Less(s.position) {
		bound = s.position
	}
	return bound, true
}

// AcknowledgedLowerBound returns a position that some acknowledged commit of the service has
// reached at least, according to the poolers that have left its primary for that failover; false
// if they reported none. Other poolers may have acknowledged later commits.
func (r *Readers) AcknowledgedLowerBound(service string, failoverID int64) (bound lineprotocol.Position, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.poolers {
		if at, any := d.AckedLowerBound[service]; any && d.Left[service] >= failoverID && !at.Less(bound) {
			bound, known = at, true
		}
	}
	return bound, known
}
