package failover

import (
	"hash/crc32"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// ackTracker is what bounds, for each service, the commits that clients were
// told of. A pooler that has left a primary reports what it ackTracker itself.
// What a pooler ackTracker that reports no more, since it ended or its lease ran
// out, is covered by a sighting: the position in an answer of the primary to a
// statement that was sent later covers every commit ackTracker before.
type ackTracker struct {
	unreportedUntil     kernel.Micros // until when poolers acknowledged that are no more
	services []string      // with a primary
	observed  map[string]coveringPosition
}

// coveringPosition is a position that covers every commit acknowledged before a time.
type coveringPosition struct {
	before   kernel.Micros
	position lineprotocol.Position
}

// Sighting is what a pooler saw at primaries after it had the answer that bore
// that stamp.
type Sighting struct {
	Term  int64                            // in which the stamp was made
	Stamp kernel.Micros                    // clock of the control node that made it
	At    map[string]lineprotocol.Position // newest, by service
}

// Sighted notes what a pooler saw. A stamp of another term is of another clock.
func (r *Readers) Sighted(s Sighting) {
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

// SetLedServices notes which services have a primary.
func (r *Readers) SetLedServices(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks.services = slices.Sorted(slices.Values(services))
}

const (
	// maxServicesToObserve bounds the services that one pooler is asked sightings of.
	maxServicesToObserve = 16
	// observeRotation is for how long it is asked for the same ones, if they stay wanted: it
	// need not be told them again.
	observeRotation = 2 * kernel.Second
)

// Wanted lists services of which a sighting later than now would bound what poolers
// acknowledged that are no more. Poolers are asked for different ones.
func (r *Readers) Wanted(pooler string, now kernel.Micros) (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.acks.unreportedUntil
	for _, d := range r.poolers {
		if d.leaseEnd <= now {
			lost = max(lost, d.leaseEnd)
		}
	}
	all := r.acks.services
	first := int(crc32.ChecksumIEEE([]byte(pooler))>>1) + int(now/observeRotation)*maxServicesToObserve
	for i := range all {
		service := all[(first+i)%len(all)]
		if s, known := r.acks.observed[service]; (!known || s.before < lost) && len(services) < maxServicesToObserve {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// AcknowledgedUpperBound returns a position that covers every commit of the service that a
// client was told of, once every pooler has left its primary at that turn or
// holds no lease any more; false if none is known.
func (r *Readers) AcknowledgedUpperBound(service string, turn int64) (lineprotocol.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.acks.unreportedUntil
	var most lineprotocol.Position
	for _, d := range r.poolers {
		if d.Left[service] < turn {
			lost = max(lost, d.leaseEnd)
		} else if acked := d.Acked[service]; most.Less(acked) {
			most = acked
		}
	}
	s, known := r.acks.observed[service]
	if !known || s.before < lost {
		return lineprotocol.Position{}, false
	}
	if most.Less(s.position) {
		most = s.position
	}
	return most, true
}

// AcknowledgedLowerBound returns a position that a commit of the service has at least of which a client
// was told, by the poolers that have left its primary at that turn; false if they told of
// none. Others may have told of later ones.
func (r *Readers) AcknowledgedLowerBound(service string, turn int64) (most lineprotocol.Position, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.poolers {
		if at, any := d.Certain[service]; any && d.Left[service] >= turn && !at.Less(most) {
			most, known = at, true
		}
	}
	return most, known
}
