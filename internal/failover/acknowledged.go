package failover

import (
	"hash/crc32"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// ackTracker holds what is needed to bound, for each service, the commits that were acknowledged
// to clients. A pooler that has released a primary reports which commits it acknowledged. What was
// acknowledged by a pooler that no longer reports, because it ended or its lease expired, is
// covered by an observation instead: the position in a primary's response to a statement covers
// every commit acknowledged before that statement was sent.
type ackTracker struct {
	// unreportedUntil is the time until which earlier incarnations of poolers, and poolers that have
	// been removed, may have acknowledged commits.
	unreportedUntil kernel.Micros
	services        []string // those that have a leader
	observed        map[string]coveringPosition
}

// coveringPosition is a position that covers every commit acknowledged before a time.
type coveringPosition struct {
	before   kernel.Micros
	position lineprotocol.Position
}

// Observation holds the positions that a pooler observed at primaries after it received a poll
// response, which carries a stamp: the time of the control node that sent it.
type Observation struct {
	Term      int64                            // of the control state's primary that sent the stamp
	Stamp     kernel.Micros                    // by the clock of that control node
	Positions map[string]lineprotocol.Position // newest observed position, by service
}

// RecordObservation records what a pooler observed. An observation of another term is ignored,
// since its stamp is a time of another node's clock.
func (r *ReadLeases) RecordObservation(observation Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if observation.Term != r.epoch || observation.Stamp <= 0 {
		return
	}
	for service, position := range observation.Positions {
		if previous, ok := r.acks.observed[service]; ok && observation.Stamp <= previous.before {
			continue
		}
		if r.acks.observed == nil {
			r.acks.observed = map[string]coveringPosition{}
		}
		r.acks.observed[service] = coveringPosition{observation.Stamp, position}
	}
}

// SetServicesWithLeader sets the services that have a leader, which alone are to be observed.
func (r *ReadLeases) SetServicesWithLeader(services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acks.services = slices.Sorted(slices.Values(services))
}

const (
	// maxServicesToObserve is the maximum number of services that one pooler is asked to observe.
	maxServicesToObserve = 16
	// observeRotation is how long the same services are requested of a pooler, provided that
	// observations of them are still needed: an unchanged list need not be sent again.
	observeRotation = 2 * kernel.Second
)

// ServicesToObserve lists the services that a pooler is asked to observe: those for which an
// observation is needed that covers what poolers that no longer report may have acknowledged.
// Different poolers are asked to observe different services.
func (r *ReadLeases) ServicesToObserve(pooler string, now kernel.Micros) (services []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unreportedUntil := r.acks.unreportedUntil
	for _, holder := range r.poolers {
		if holder.leaseEnd <= now {
			unreportedUntil = max(unreportedUntil, holder.leaseEnd)
		}
	}
	candidates := r.acks.services
	offset := int(crc32.ChecksumIEEE([]byte(pooler))>>1) + int(now/observeRotation)*maxServicesToObserve
	for i := range candidates {
		service := candidates[(offset+i)%len(candidates)]
		if observed, known := r.acks.observed[service]; (!known || observed.before < unreportedUntil) && len(services) < maxServicesToObserve {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// ReportedCommits is what is known of the commits of a service that were acknowledged to clients.
type ReportedCommits struct {
	// UpperBound covers the commits acknowledged by the poolers that report, those of other poolers
	// of which they were notified, and all those acknowledged before the latest observation.
	UpperBound lineprotocol.Position
	// UnreportedUntil is the time until which poolers that no longer report may have acknowledged
	// commits.
	UnreportedUntil kernel.Micros
	// Complete says that UpperBound covers what those poolers acknowledged, too.
	Complete bool
}

// ReportedCommits returns what is known of the service's commits that were acknowledged to clients.
// It is valid once AllReleased holds for that failover.
func (r *ReadLeases) ReportedCommits(service string, failoverID int64) ReportedCommits {
	r.mu.Lock()
	defer r.mu.Unlock()
	commits := ReportedCommits{UnreportedUntil: r.acks.unreportedUntil}
	for _, holder := range r.poolers {
		if holder.Released[service] < failoverID {
			commits.UnreportedUntil = max(commits.UnreportedUntil, holder.leaseEnd)
		} else if acked := holder.AckedUpperBound[service]; commits.UpperBound.Less(acked) {
			commits.UpperBound = acked
		}
	}
	observed, known := r.acks.observed[service]
	if commits.UpperBound.Less(observed.position) {
		commits.UpperBound = observed.position
	}
	commits.Complete = known && observed.before >= commits.UnreportedUntil
	return commits
}

// AcknowledgedLowerBound returns a position such that a commit at it, or at a later one, was
// acknowledged to a client, according to the poolers that have released the old primary for that
// failover; false if they reported none. Other poolers may have acknowledged later commits.
func (r *ReadLeases) AcknowledgedLowerBound(service string, failoverID int64) (bound lineprotocol.Position, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, holder := range r.poolers {
		if position, reported := holder.AckedLowerBound[service]; reported && holder.Released[service] >= failoverID && !position.Less(bound) {
			bound, known = position, true
		}
	}
	return bound, known
}
