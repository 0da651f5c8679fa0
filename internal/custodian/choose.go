package custodian

import (
	"slices"
	"strings"

	"indigowalk/internal/folio"
)

// Copy is what a replica answered once it was paused.
type Copy struct {
	ID       string         `json:"id"`
	Received folio.Position `json:"received"`
	Draining bool           `json:"draining,omitempty"`
}

// Situation is all that the choice of the next primary depends on.
type Situation struct {
	Replicas int    `json:"replicas"` // databases of the service besides the old primary
	Sync     int    `json:"sync"`     // sync_replicas
	Copies   []Copy `json:"copies"`
	// Held is the old primary's own position, asked after every desk had left
	// it; nil if it did not answer.
	Held *folio.Position `json:"held,omitempty"`
}

// ChoiceKind is the kind of record of a choice.
const ChoiceKind = "choice"

// Choice is the record of one.
type Choice struct {
	Service   string    `json:"svc"`
	Epoch     int64     `json:"epoch"`
	Situation Situation `json:"situation"`
	To        string    `json:"to"`
}

// Choose picks the replica to promote, or says why none may be yet.
//
// A commit that was acknowledged is on Sync replicas at least, so answers
// from all but Sync-1 of them include it; the furthest then holds it. If the
// old primary answered, a replica that has all it holds will do alone.
func Choose(s Situation) (id, refusal string) {
	copies := slices.Clone(s.Copies)
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
	if len(copies) == 0 {
		return "", "no replica answers"
	}
	best := copies[0]
	if s.Held != nil {
		if best.Received.Less(*s.Held) {
			return "", "no replica holds all that the primary does"
		}
		return best.ID, ""
	}
	need := max(1, s.Replicas-max(s.Sync, 1)+1)
	if len(copies) < need {
		return "", "a replica that does not answer may hold an acknowledged commit"
	}
	return best.ID, ""
}
