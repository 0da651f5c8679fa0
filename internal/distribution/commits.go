package distribution

import (
	"math"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// commitTracker tracks the log positions that commits have reached: those of the commits that
// this proxy acknowledged to clients and, while a control node queries them, those of the
// commits that any proxy had acknowledged by the time of the query.
type commitTracker struct {
	upperBounds positions      // upper bound for the commits that this process acknowledged, by service
	lowerBounds positions      // lower bound for the newest of those commits, by service
	peerBounds  positions      // newest of the commits that peers have notified this process of, by service
	query       *positionQuery // from the last poll response, nil if it had none
	queriedAt   kernel.Micros  // when that response arrived; only statements sent later count
	observed    positions      // newest positions in primaries' responses since then
}

// PrimarySnapshot is the state of a service's primary at the time a statement was begun there.
type PrimarySnapshot struct {
	Term         int64                 // in which the database is the primary
	Acknowledged lineprotocol.Position // upper bound for the commits acknowledged by then
}

// unbounded is a position that covers every possible commit.
var unbounded = lineprotocol.Position{Term: math.MaxInt64, Number: math.MaxInt64}

// record records a commit that is acknowledged to a client. begun is the state of the primary
// when the commit was begun; position is the one in the primary's response, if known.
func (c *commitTracker) record(service string, begun PrimarySnapshot, position lineprotocol.Position, known bool) {
	if bound := lowerBound(begun, position, known); c.lowerBounds[service].Less(bound) {
		c.lowerBounds.set(service, bound)
	}
	if !known {
		position = unbounded
	}
	if c.upperBounds[service].Less(position) {
		c.upperBounds.set(service, position)
	}
}

// lowerBound returns a lower bound for the position of a commit; begun is the state of the
// primary when it was begun. The commit follows every commit that had been acknowledged by then,
// and the response carries the term in which it was made. The number in the response is no lower
// bound: it may be that of a later commit that no replica has received yet.
func lowerBound(begun PrimarySnapshot, response lineprotocol.Position, known bool) (bound lineprotocol.Position) {
	if begun.Acknowledged != unbounded {
		bound = begun.Acknowledged.Next()
	}
	if first := (lineprotocol.Position{Term: response.Term, Number: 1}); known && bound.Less(first) {
		bound = first
	}
	return bound
}

// set sets the position of a service.
func (p *positions) set(service string, position lineprotocol.Position) {
	if *p == nil {
		*p = positions{}
	}
	(*p)[service] = position
}

// forServices returns the positions of the given services.
func (p positions) forServices(services map[string]int64) positions {
	out := positions{}
	for service := range services {
		if position, known := p[service]; known {
			out[service] = position
		}
	}
	return out
}

// setQuery installs the query of a poll response that arrived at the given time. reported is
// what the poll itself reported. Positions that were observed and not reported yet keep the
// current query alive, so that they are reported first.
func (c *commitTracker) setQuery(query *positionQuery, reported *positionReport, now kernel.Micros) {
	if query != nil && reported == nil && len(c.observed) > 0 && c.query.Term == query.Term {
		return
	}
	if query != nil && query.Unchanged && c.query != nil {
		query.Services = c.query.Services
	}
	c.query, c.queriedAt, c.observed = query, now, nil
}

// observe records the position in a primary's response to a statement.
func (c *commitTracker) observe(service string, sent kernel.Micros, position lineprotocol.Position) {
	if c.query == nil || sent < c.queriedAt || !slices.Contains(c.query.Services, service) {
		return
	}
	if c.observed[service].Less(position) {
		c.observed.set(service, position)
	}
}

// report returns the positions observed for the current query, nil if there are none.
func (c *commitTracker) report() *positionReport {
	if c.query == nil || len(c.observed) == 0 {
		return nil
	}
	observed := make(positions, len(c.observed))
	for service, position := range c.observed {
		observed[service] = position
	}
	return &positionReport{Term: c.query.Term, Stamp: c.query.Stamp, Positions: observed}
}

// Acknowledge reports whether a commit that the primary has just acknowledged, with the position
// in its response, may be acknowledged to a client, and records the commit if so. It may if the
// database is still primary in the term in which the commit was begun, the lease is valid, and
// this proxy has not reported the primary as released. Once every proxy has released the old
// primary, or its lease has expired, no further commit of that primary is acknowledged to
// any client, even if replicas that resume later still receive it.
//
// Peers are notified of the commit before its client is, so that they can report it if this process
// and the primary are lost together.
func (s *Subscriber) Acknowledge(service, id string, begun PrimarySnapshot, position string) bool {
	if !s.recordAcknowledged(service, id, begun, position) {
		return false
	}
	s.notifyPeers(service, position)
	return true
}

// recordAcknowledged makes the checks of Acknowledge and records the commit if they pass.
func (s *Subscriber) recordAcknowledged(service, id string, begun PrimarySnapshot, position string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	leader := s.leaders[service]
	if leader.ID != id || leader.Term != begun.Term || leader.FailoverInProgress && s.released[service] >= leader.FailoverID || s.k.Clock.Now()+leaseMargin >= s.leaseEnd {
		return false
	}
	responsePosition, known := lineprotocol.ParsePosition(position)
	s.commits.record(service, begun, responsePosition, known)
	return true
}

// Observe records the position in a primary's response to a statement that was sent at the given
// time, under the lease.
func (s *Subscriber) Observe(service string, sent kernel.Micros, position lineprotocol.Position) {
	s.mu.RLock()
	queried := s.commits.query != nil
	s.mu.RUnlock()
	if !queried {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits.observe(service, sent, position)
}
