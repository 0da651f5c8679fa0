package failover

import (
	"slices"
	"strings"

	"indigowalk/internal/lineprotocol"
)

// PausedReplica is what a replica reported once it was paused.
type PausedReplica struct {
	ID       string                `json:"id"`
	Received lineprotocol.Position `json:"received"`
	Draining bool                  `json:"draining,omitempty"`
}

// AbsentReplica is a replica that did not respond, or that is gone.
type AbsentReplica struct {
	ID   string `json:"id"`
	Gone bool   `json:"gone,omitempty"`
	// Limit is the furthest position at which it may hold an acknowledged commit; nil if none is
	// known.
	Limit *lineprotocol.Position `json:"limit,omitempty"`
}

// Situation is all that the choice of the next primary depends on.
type Situation struct {
	SyncReplicas int             `json:"sync"` // sync_replicas
	Copies       []PausedReplica `json:"copies"`
	Absent       []AbsentReplica `json:"absent,omitempty"` // all other replicas of the service
	// PrimaryPosition is the old primary's own position, queried after every pooler had left it;
	// nil if it did not respond.
	PrimaryPosition *lineprotocol.Position `json:"held,omitempty"`
	// ChosenPosition is the position of the replica that was chosen earlier in this failover and
	// could not be promoted; nil if none was.
	ChosenPosition *lineprotocol.Position `json:"floor,omitempty"`
	// MinPosition is a position up to which databases that have since been removed may have held
	// commits.
	MinPosition lineprotocol.Position `json:"least"`
	// AckedUpperBound covers every commit that was acknowledged to a client; nil if no bound is known.
	AckedUpperBound *lineprotocol.Position `json:"acked,omitempty"`
	// AckedLowerBound is a position that some acknowledged commit has reached at least; nil if
	// none is known.
	AckedLowerBound *lineprotocol.Position `json:"certain,omitempty"`
	// FirstHeartbeatsElapsed says that the longest delay of a first heartbeat has passed, so that
	// every replica that receives commits has been heard.
	FirstHeartbeatsElapsed bool `json:"beats_due,omitempty"`
}

// ChoiceKind is the kind of recorded event that holds a Choice.
const ChoiceKind = "choice"

// Choice records one choice of a primary.
type Choice struct {
	Service   string    `json:"svc"`
	Epoch     int64     `json:"epoch"`
	Situation Situation `json:"situation"`
	To        string    `json:"to"`
	Accepted  bool      `json:"accepted,omitempty"` // an operator accepted that commits may be lost
}

// Reasons why no replica may be promoted yet.
const (
	noReplicaResponds         = "no replica answers"
	replicasBehindPrimary     = "no replica that stays holds all that the primary does"
	unresponsiveMayHoldCommit = "a replica that does not answer may hold an acknowledged commit"
	removedMayHaveHeldCommit  = "a database that is gone may have held an acknowledged commit"
	awaitingFirstHeartbeat    = "a replica that is not known yet may hold an acknowledged commit"
	acknowledgedCommitMissing = "an acknowledged commit is on no replica that is known"
	allHoldersRemoved         = "acknowledged commits may be lost: all databases that may have held them are gone"
)

// ChoosePrimary picks the replica to promote, or returns why none may be promoted yet.
//
// An acknowledged commit is on at least SyncReplicas replicas. The most advanced of those that
// responded holds it unless SyncReplicas others may be further ahead: absent replicas, except for
// those whose limit it has reached. It must also hold what removed databases may have held. If an
// upper bound of the acknowledged commits is known, any replica that has received as much is
// eligible; one that is not draining is preferred. If no known replica has received as much, one
// may have that has not sent a heartbeat yet: it is waited for as long as a first heartbeat may
// take, or without limit if a commit is known to have been acknowledged that no known replica
// has. Once a replica was chosen in this failover, any that has received as much is eligible: the
// poolers have left the old primary, and nobody writes to the chosen one before it is known to
// lead. If the old primary responded, a single replica that is not draining and has everything
// that it holds is enough.
func ChoosePrimary(s Situation) (id, refusal string) {
	copies := byPosition(s.Copies)
	if len(copies) == 0 {
		return "", noReplicaResponds
	}
	best := copies[0].Received
	if s.ChosenPosition != nil && !best.Less(*s.ChosenPosition) {
		return copies[0].ID, ""
	}
	if s.PrimaryPosition != nil {
		// Of equal positions, one that is not draining sorts first.
		if best.Less(*s.PrimaryPosition) || copies[0].Draining {
			return "", replicasBehindPrimary
		}
		return copies[0].ID, ""
	}
	if s.AckedUpperBound != nil {
		if id := mostAdvancedReaching(copies, *s.AckedUpperBound); id != "" {
			return id, ""
		}
	}
	ahead := s.mayBeAhead(best)
	gone := len(slices.DeleteFunc(slices.Clone(ahead), func(a AbsentReplica) bool { return !a.Gone }))
	switch sync := max(s.SyncReplicas, 1); {
	case gone >= sync || best.Less(s.MinPosition):
		return "", removedMayHaveHeldCommit
	case len(ahead) >= sync:
		return "", unresponsiveMayHoldCommit
	case s.SyncReplicas == 0: // no replica is required to have an acknowledged commit
	case s.AckedLowerBound != nil && best.Less(*s.AckedLowerBound):
		return "", acknowledgedCommitMissing
	case s.AckedUpperBound != nil && best.Less(*s.AckedUpperBound) && !s.FirstHeartbeatsElapsed:
		return "", awaitingFirstHeartbeat
	}
	return copies[0].ID, ""
}

// byPosition returns the replicas sorted by position, the most advanced first; of equal ones,
// those that are not draining come first.
func byPosition(copies []PausedReplica) []PausedReplica {
	copies = slices.Clone(copies)
	slices.SortStableFunc(copies, func(a, b PausedReplica) int {
		switch {
		case b.Received.Less(a.Received):
			return -1
		case a.Received.Less(b.Received):
			return 1
		case a.Draining != b.Draining:
			if a.Draining {
				return 1
			}
			return -1
		}
		return strings.Compare(a.ID, b.ID)
	})
	return copies
}

// MostAdvanced returns the ID of the replica that has received the most, "" if there is none.
func MostAdvanced(copies []PausedReplica) string {
	if len(copies) == 0 {
		return ""
	}
	return byPosition(copies)[0].ID
}

// mostAdvancedReaching returns the most advanced replica that has reached the position,
// preferring those that are not draining; "" if none has. The replicas must be sorted by
// byPosition.
func mostAdvancedReaching(copies []PausedReplica, position lineprotocol.Position) (id string) {
	for _, c := range copies {
		switch {
		case c.Received.Less(position):
			return id
		case !c.Draining:
			return c.ID
		case id == "":
			id = c.ID
		}
	}
	return id
}

// positionText formats a position, which may be unknown, for the log.
func positionText(p *lineprotocol.Position) string {
	if p == nil {
		return "not known"
	}
	return p.String()
}

// mayBeAhead lists the absent replicas that may hold commits past a position.
func (s Situation) mayBeAhead(of lineprotocol.Position) []AbsentReplica {
	return slices.DeleteFunc(slices.Clone(s.Absent), func(a AbsentReplica) bool { return a.Limit != nil && !of.Less(*a.Limit) })
}

// mostAdvancedPosition returns the position of the replica that has received the most.
func (s Situation) mostAdvancedPosition() (best lineprotocol.Position) {
	for _, c := range s.Copies {
		if best.Less(c.Received) {
			best = c.Received
		}
	}
	return best
}
