package custodian

import (
	"slices"

	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
)

// acknowledged is what bounds, for each service, the commits that clients were
// told of. A desk that has left a primary reports what it acknowledged itself.
// What a desk acknowledged that reports no more, since it ended or its lease ran
// out, is covered by a sighting: the position in an answer of the primary to a
// statement that was sent later covers every commit acknowledged before.
type acknowledged struct {
	lost     foundation.Micros // until when desks acknowledged that are no more
	services []string          // with a primary
	sighted  map[string]sighted
}

// sighted is a position that covers every commit acknowledged before a time.
type sighted struct {
	before   foundation.Micros
	position folio.Position
}

// Sighting is what a desk saw at primaries after it had the answer that bore
// that stamp.
type Sighting struct {
	Term  int64                     // in which the stamp was made
	Stamp foundation.Micros         // clock of the archive that made it
	At    map[string]folio.Position // newest, by service
}

// Sighted notes what a desk saw. A stamp of another term is of another clock.
func (r *Readers) Sighted(s Sighting) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Term != r.epoch || s.Stamp <= 0 {
		return
	}
	for service, position := range s.At {
		if known, ok := r.acknowledged.sighted[service]; ok && s.Stamp <= known.before {
			continue
		}
		if r.acknowledged.sighted == nil {
			r.acknowledged.sighted = map[string]sighted{}
		}
		r.acknowledged.sighted[service] = sighted{s.Stamp, position}
	}
}

// Led notes which services have a primary.
func (r *Readers) Led(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged.services = services
}

// mostWanted bounds the services that one answer asks sightings of.
const mostWanted = 16

// Wanted lists services of which a sighting later than now would bound what desks
// acknowledged that are no more.
func (r *Readers) Wanted(now foundation.Micros) (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.acknowledged.lost
	for _, d := range r.desks {
		if d.until <= now {
			lost = max(lost, d.until)
		}
	}
	for _, service := range r.acknowledged.services {
		if s, known := r.acknowledged.sighted[service]; (!known || s.before < lost) && len(services) < mostWanted {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// Acknowledged returns a position that covers every commit of the service that a
// client was told of, once every desk has left its primary at that turn or
// holds no lease any more; false if none is known.
func (r *Readers) Acknowledged(service string, turn int64) (folio.Position, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := r.acknowledged.lost
	var most folio.Position
	for _, d := range r.desks {
		if d.Left[service] < turn {
			lost = max(lost, d.until)
		} else if acked := d.Acked[service]; most.Less(acked) {
			most = acked
		}
	}
	s, known := r.acknowledged.sighted[service]
	if !known || s.before < lost {
		return folio.Position{}, false
	}
	if most.Less(s.position) {
		most = s.position
	}
	return most, true
}
