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

// Absent is a replica that did not answer, or has ended.
type Absent struct {
	ID   string `json:"id"`
	Gone bool   `json:"gone,omitempty"`
	// Limit is the furthest position at which it may hold an acknowledged
	// commit; nil if none is known.
	Limit *lineprotocol.Position `json:"limit,omitempty"`
}

// Situation is all that the choice of the next primary depends on.
type Situation struct {
	Sync   int      `json:"sync"` // sync_replicas
	Copies []Copy   `json:"copies"`
	Absent []Absent `json:"absent,omitempty"` // every other replica of the service
	// Held is the old primary's own position, asked after every pooler had left
	// it; nil if it did not answer.
	Held *lineprotocol.Position `json:"held,omitempty"`
	// Floor is what the one held that was chosen before in this turn, and could
	// not be promoted; nil if none was.
	Floor *lineprotocol.Position `json:"floor,omitempty"`
	// Least is what databases that are forgotten by now may have held.
	Least lineprotocol.Position `json:"least"`
	// Acked covers every commit that a client was told of; nil if that is not
	// known.
	Acked *lineprotocol.Position `json:"acked,omitempty"`
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
	nobodyAnswers = "no replica answers"
	behindPrimary = "no replica that stays holds all that the primary does"
	someoneSilent = "a replica that does not answer may hold an acknowledged commit"
	someoneGone   = "a database that is gone may have held an acknowledged commit"
	lost          = "acknowledged commits may be lost: all databases that may have held them are gone"
)

// Choose picks the replica to promote, or says why none may be yet.
//
// A commit that was acknowledged is on Sync replicas at least. The furthest of
// those that answered holds it unless Sync others may hold more: replicas that
// are absent, but for those whose limit it has reached. What forgotten
// databases may have held it must hold too. Where it is known how far the commits
// reach that clients were told of, whoever has received as much will do, rather
// one that stays. Once somebody was chosen in this turn,
// whoever has received as much will do: the poolers have left the old primary, and
// nobody writes at the chosen one before it is known to lead. If the old primary answered, a
// replica that stays and has all that it holds will do alone.
func Choose(s Situation) (id, refusal string) {
	copies := byPosition(s.Copies)
	if len(copies) == 0 {
		return "", nobodyAnswers
	}
	best := copies[0].Received
	if s.Floor != nil && !best.Less(*s.Floor) {
		return copies[0].ID, ""
	}
	if s.Held != nil {
		// Of equals, one that stays comes first.
		if best.Less(*s.Held) || copies[0].Draining {
			return "", behindPrimary
		}
		return copies[0].ID, ""
	}
	if s.Acked != nil {
		if id := furthestPast(copies, *s.Acked); id != "" {
			return id, ""
		}
	}
	ahead := s.ahead(best)
	gone := len(slices.DeleteFunc(slices.Clone(ahead), func(a Absent) bool { return !a.Gone }))
	switch sync := max(s.Sync, 1); {
	case gone >= sync || best.Less(s.Least):
		return "", someoneGone
	case len(ahead) >= sync:
		return "", someoneSilent
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

// Furthest returns the copy that has received the most, "" if there is none.
func Furthest(copies []Copy) string {
	if len(copies) == 0 {
		return ""
	}
	return byPosition(copies)[0].ID
}

// furthestPast returns the first of the copies, the furthest first, that has
// reached a position, one that stays before any that leaves; "" if none has.
func furthestPast(copies []Copy, position lineprotocol.Position) (id string) {
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

// ackedText is how far acknowledged commits reach, as it is logged.
func (s Situation) ackedText() string {
	if s.Acked == nil {
		return "not known"
	}
	return s.Acked.String()
}

// ahead lists the absent replicas that may hold commits past a position.
func (s Situation) ahead(of lineprotocol.Position) []Absent {
	return slices.DeleteFunc(slices.Clone(s.Absent), func(a Absent) bool { return a.Limit != nil && !of.Less(*a.Limit) })
}

// furthest is the position of the replica that has received the most.
func (s Situation) furthest() (best lineprotocol.Position) {
	for _, c := range s.Copies {
		if best.Less(c.Received) {
			best = c.Received
		}
	}
	return best
}
