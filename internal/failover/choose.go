package failover

import (
	"slices"
	"strings"

	"indigowalk/internal/lineprotocol"
)

// Copy is what a replica answered once it was paused.
type Copy struct {
	ID       string                `json:"id"`
	Received lineprotocol.Position `json:"received"`
	Draining bool                  `json:"draining,omitempty"`
}

// AbsentReplica is a replica that did not answer, or has ended.
type AbsentReplica struct {
	ID   string `json:"id"`
	Gone bool   `json:"gone,omitempty"`
	// Limit is the furthest position at which it may hold an acknowledged
	// commit; nil if none is known.
	Limit *lineprotocol.Position `json:"limit,omitempty"`
}

// Situation is all that the choice of the next primary depends on.
type Situation struct {
	SyncReplicas   int      `json:"sync"` // sync_replicas
	Copies []Copy   `json:"copies"`
	Absent []AbsentReplica `json:"absent,omitempty"` // every other replica of the service
	// PrimaryPosition is the old primary's own position, asked after every pooler had left
	// it; nil if it did not answer.
	PrimaryPosition *lineprotocol.Position `json:"held,omitempty"`
	// ChosenPosition is what the one held that was chosen before in this turn, and could
	// not be promoted; nil if none was.
	ChosenPosition *lineprotocol.Position `json:"floor,omitempty"`
	// MinPosition is what databases that are forgotten by now may have held.
	MinPosition lineprotocol.Position `json:"least"`
	// Acked covers every commit that a client was told of; nil if that is not
	// known.
	Acked *lineprotocol.Position `json:"acked,omitempty"`
	// AckedLowerBound is a position that a commit has at least of which a client was told; nil
	// if none is known.
	AckedLowerBound *lineprotocol.Position `json:"certain,omitempty"`
	// FirstHeartbeatsElapsed says that the first beat of every replica that receives has had its time,
	// however late it is.
	FirstHeartbeatsElapsed bool `json:"beats_due,omitempty"`
}

// ChoiceKind is the kind of record of a choice.
const ChoiceKind = "choice"

// Choice is the record of one.
type Choice struct {
	Service   string    `json:"svc"`
	Epoch     int64     `json:"epoch"`
	Situation Situation `json:"situation"`
	To        string    `json:"to"`
	Accepted  bool      `json:"accepted,omitempty"` // an operator accepted that commits may be lost
}

// Why nobody may be promoted yet.
const (
	noReplicaResponds = "no replica answers"
	replicasBehindPrimary = "no replica that stays holds all that the primary does"
	unresponsiveMayHoldCommit = "a replica that does not answer may hold an acknowledged commit"
	removedMayHaveHeldCommit   = "a database that is gone may have held an acknowledged commit"
	awaitingFirstHeartbeat   = "a replica that is not known yet may hold an acknowledged commit"
	acknowledgedCommitMissing   = "an acknowledged commit is on no replica that is known"
	allHoldersRemoved          = "acknowledged commits may be lost: all databases that may have held them are gone"
)

// Choose picks the replica to promote, or says why none may be yet.
//
// A commit that was acknowledged is on Sync replicas at least. The furthest of
// those that answered holds it unless Sync others may hold more: replicas that
// are absent, but for those whose limit it has reached. What forgotten
// databases may have held it must hold too. Where it is known how far the commits
// reach that clients were told of, whoever has received as much will do, rather
// one that stays. If nobody who is known has, a replica may that has sent no beat yet:
// it is waited for as long as a first beat may take, or without end where a client
// was certainly told of more than anybody has. Once somebody was chosen in this turn,
// whoever has received as much will do: the poolers have left the old primary, and
// nobody writes at the chosen one before it is known to lead. If the old primary answered, a
// replica that stays and has all that it holds will do alone.
func Choose(s Situation) (id, refusal string) {
	copies := byPosition(s.Copies)
	if len(copies) == 0 {
		return "", noReplicaResponds
	}
	best := copies[0].Received
	if s.ChosenPosition != nil && !best.Less(*s.ChosenPosition) {
		return copies[0].ID, ""
	}
	if s.PrimaryPosition != nil {
		// Of equals, one that stays comes first.
		if best.Less(*s.PrimaryPosition) || copies[0].Draining {
			return "", replicasBehindPrimary
		}
		return copies[0].ID, ""
	}
	if s.Acked != nil {
		if id := mostAdvancedReaching(copies, *s.Acked); id != "" {
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
	case s.SyncReplicas == 0: // no replica has to have a commit that was acknowledged
	case s.AckedLowerBound != nil && best.Less(*s.AckedLowerBound):
		return "", acknowledgedCommitMissing
	case s.Acked != nil && best.Less(*s.Acked) && !s.FirstHeartbeatsElapsed:
		return "", awaitingFirstHeartbeat
	}
	return copies[0].ID, ""
}

// byPosition sorts copies, the furthest first, and of equals one that stays.
func byPosition(copies []Copy) []Copy {
	copies = slices.Clone(copies)
	slices.SortStableFunc(copies, func(a, b Copy) int {
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

// MostAdvanced returns the copy that has received the most, "" if there is none.
func MostAdvanced(copies []Copy) string {
	if len(copies) == 0 {
		return ""
	}
	return byPosition(copies)[0].ID
}

// mostAdvancedReaching returns the first of the copies, the furthest first, that has
// reached a position, one that stays before any that leaves; "" if none has.
func mostAdvancedReaching(copies []Copy, position lineprotocol.Position) (id string) {
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

// positionText is a position that may not be known, as it is logged.
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

// mostAdvancedPosition is the position of the replica that has received the most.
func (s Situation) mostAdvancedPosition() (best lineprotocol.Position) {
	for _, c := range s.Copies {
		if best.Less(c.Received) {
			best = c.Received
		}
	}
	return best
}
