package failover

import (
	"slices"
	"strings"

	"indigowalk/internal/lineprotocol"
)

// PausedReplica is a replica that has been paused, with the position that it then reported.
type PausedReplica struct {
	ID       string                `json:"id"`
	Received lineprotocol.Position `json:"received"`
	Draining bool                  `json:"draining,omitempty"`
}

// AbsentReplica is a replica that did not respond, or that is gone.
type AbsentReplica struct {
	ID   string `json:"id"`
	Gone bool   `json:"gone,omitempty"`
	// CommitLimit is the last position at which it may hold an acknowledged commit; nil if no
	// limit is known.
	CommitLimit *lineprotocol.Position `json:"limit,omitempty"`
}

// ChoiceInput is everything on which the choice of the next primary depends.
type ChoiceInput struct {
	SyncReplicas int             `json:"sync"` // sync_replicas of the service
	Paused       []PausedReplica `json:"copies"`
	Absent       []AbsentReplica `json:"absent,omitempty"` // all other replicas of the service
	// PrimaryPosition is the old primary's own position, queried after every pooler had released
	// it; nil if it did not respond.
	PrimaryPosition *lineprotocol.Position `json:"held,omitempty"`
	// ChosenPosition is the position of a replica that was chosen earlier in this failover but
	// could not be promoted; nil if there is none.
	ChosenPosition *lineprotocol.Position `json:"floor,omitempty"`
	// MinPosition is the position up to which databases that were removed since may have held
	// acknowledged commits.
	MinPosition lineprotocol.Position `json:"least"`
	// AckedUpperBound covers every commit that was acknowledged to a client; nil if no bound is known.
	AckedUpperBound *lineprotocol.Position `json:"acked,omitempty"`
	// ReportedUpperBound covers the commits that were acknowledged by poolers that still report, those
	// that other poolers notified these of before they acknowledged them, and what was observed at
	// the old primary.
	ReportedUpperBound lineprotocol.Position `json:"reported"`
	// AckedLowerBound is a position such that a commit at it, or at a later one, was acknowledged
	// to a client; nil if none is known.
	AckedLowerBound *lineprotocol.Position `json:"certain,omitempty"`
	// FirstHeartbeatsElapsed says that the maximum delay of a first heartbeat has passed since the
	// poolers released the old primary, so that every replica that holds an acknowledged commit is
	// known.
	FirstHeartbeatsElapsed bool `json:"beats_due,omitempty"`
}

// ChoiceKind is the kind of recorded event that holds a Choice.
const ChoiceKind = "choice"

// Choice records one choice of a primary, or the refusal of one.
type Choice struct {
	Service  string      `json:"svc"`
	Epoch    int64       `json:"epoch"`
	Input    ChoiceInput `json:"situation"`
	Target   string      `json:"to"`
	Accepted bool        `json:"accepted,omitempty"` // an operator accepted that commits may be lost
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
// An acknowledged commit is on at least SyncReplicas replicas. So the most advanced of the paused
// replicas holds every acknowledged commit unless SyncReplicas of the absent ones may be ahead of
// it, which those cannot be whose CommitLimit it has reached. It must also hold what removed
// databases may have held.
//
// Any replica that has reached the known upper bound of the acknowledged commits is eligible; one
// that is not draining is preferred. If no known replica has reached it, or what is reported where no
// upper bound is known, a replica that has not sent its first heartbeat yet may hold more: the choice
// is deferred for as long as a first heartbeat may take, or without limit if a commit is known to
// have been acknowledged that no known replica holds.
//
// Once a replica has been chosen in this failover, any that has received as much is eligible: the
// poolers have released the old primary, and none writes to the chosen one before it is recorded as
// the leader. If the old primary responded, one replica that is not draining and has received
// everything that the primary holds is enough.
func ChoosePrimary(input ChoiceInput) (id, refusal string) {
	replicas := byPosition(input.Paused)
	if len(replicas) == 0 {
		return "", noReplicaResponds
	}
	best := replicas[0].Received
	if input.ChosenPosition != nil && !best.Less(*input.ChosenPosition) {
		return replicas[0].ID, ""
	}
	if input.PrimaryPosition != nil {
		// Of replicas at the same position, those that are not draining are sorted first.
		if best.Less(*input.PrimaryPosition) || replicas[0].Draining {
			return "", replicasBehindPrimary
		}
		return replicas[0].ID, ""
	}
	if input.AckedUpperBound != nil {
		if id := mostAdvancedReaching(replicas, *input.AckedUpperBound); id != "" {
			return id, ""
		}
	}
	ahead := input.mayBeAhead(best)
	goneAhead := len(slices.DeleteFunc(slices.Clone(ahead), func(a AbsentReplica) bool { return !a.Gone }))
	switch required := max(input.SyncReplicas, 1); {
	case goneAhead >= required || best.Less(input.MinPosition):
		return "", removedMayHaveHeldCommit
	case len(ahead) >= required:
		return "", unresponsiveMayHoldCommit
	case input.SyncReplicas == 0: // no replica is required to have an acknowledged commit
	case input.AckedLowerBound != nil && best.Less(*input.AckedLowerBound):
		return "", acknowledgedCommitMissing
	case !input.FirstHeartbeatsElapsed && best.Less(input.reportedBound()):
		return "", awaitingFirstHeartbeat
	}
	return replicas[0].ID, ""
}

// reportedBound returns the position that covers what is known of the acknowledged commits, whether or
// not all poolers report.
func (input ChoiceInput) reportedBound() lineprotocol.Position {
	if input.AckedUpperBound != nil {
		return *input.AckedUpperBound
	}
	return input.ReportedUpperBound
}

// byPosition returns the replicas sorted by position, the most advanced first. Of replicas at the
// same position, those that are not draining are first.
func byPosition(replicas []PausedReplica) []PausedReplica {
	replicas = slices.Clone(replicas)
	slices.SortStableFunc(replicas, func(a, b PausedReplica) int {
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
	return replicas
}

// MostAdvanced returns the ID of the replica with the newest position, "" if there is none.
func MostAdvanced(replicas []PausedReplica) string {
	if len(replicas) == 0 {
		return ""
	}
	return byPosition(replicas)[0].ID
}

// mostAdvancedReaching returns the most advanced replica that has reached the position,
// preferring those that are not draining; "" if none has. The replicas must be sorted by
// byPosition.
func mostAdvancedReaching(replicas []PausedReplica, position lineprotocol.Position) (id string) {
	for _, replica := range replicas {
		switch {
		case replica.Received.Less(position):
			return id
		case !replica.Draining:
			return replica.ID
		case id == "":
			id = replica.ID
		}
	}
	return id
}

// positionText formats a position for the log; nil is one that is not known.
func positionText(p *lineprotocol.Position) string {
	if p == nil {
		return "not known"
	}
	return p.String()
}

// logAttributes returns the input as attributes of a log line.
func (input ChoiceInput) logAttributes() []any {
	return []any{
		"answered", input.Paused, "absent", input.Absent, "least", input.MinPosition.String(),
		"held", positionText(input.PrimaryPosition), "acked", positionText(input.AckedUpperBound),
		"reported", input.ReportedUpperBound.String(), "certain", positionText(input.AckedLowerBound),
		"beats_due", input.FirstHeartbeatsElapsed,
	}
}

// mayBeAhead lists the absent replicas that may hold commits past a position.
func (input ChoiceInput) mayBeAhead(position lineprotocol.Position) []AbsentReplica {
	return slices.DeleteFunc(slices.Clone(input.Absent), func(a AbsentReplica) bool { return a.CommitLimit != nil && !position.Less(*a.CommitLimit) })
}

// mostAdvancedPosition returns the newest position of the paused replicas.
func (input ChoiceInput) mostAdvancedPosition() (newest lineprotocol.Position) {
	for _, replica := range input.Paused {
		if newest.Less(replica.Received) {
			newest = replica.Received
		}
	}
	return newest
}
