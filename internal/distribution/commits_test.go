package distribution

import (
	"testing"

	"indigowalk/internal/lineprotocol"
)

// A position query names its services in the first response, and again only when they change:
// they are the same in every response for as long as the commits of a lost proxy are not
// accounted for.
func TestPositionQueryOmitsKnownServices(t *testing.T) {
	var commits commitTracker
	services := []string{"ledger", "orders"}
	position := lineprotocol.Position{Term: 1, Number: 7}
	for poll, want := range []struct {
		services []string
		named    bool
	}{{services, true}, {services, false}, {services, false}, {services[:1], true}, {services[:1], false}, {nil, false}, {services, true}} {
		reported := commits.report()
		var query *positionQuery
		if want.services != nil {
			query = (&positionQuery{Term: 1, Stamp: 5, Services: want.services}).omitKnownServices(commits.query.checksum())
			if named := len(query.Services) > 0; named != want.named || query.Unchanged == named {
				t.Errorf("poll %d: query %+v", poll, query)
			}
		}
		commits.setQuery(query, reported, 10)
		for _, service := range services {
			commits.observe(service, 11, position)
		}
		if report := commits.report(); (report == nil) != (want.services == nil) || report != nil && len(report.Positions) != len(want.services) {
			t.Errorf("poll %d: reported %+v, want positions of %v", poll, report, want.services)
		}
	}
}

// The lower bound recorded for an acknowledged commit is never beyond that commit: the number in
// its response may be that of a later commit that no replica has.
func TestCommitLowerBound(t *testing.T) {
	at := func(term, number int64) lineprotocol.Position {
		return lineprotocol.Position{Term: term, Number: number}
	}
	for name, c := range map[string]struct {
		begun    PrimarySnapshot
		response lineprotocol.Position
		known    bool
		want     lineprotocol.Position
	}{
		"later commit of the same term":        {PrimarySnapshot{Acknowledged: at(3, 7)}, at(3, 12), true, at(3, 8)},
		"first commit of another term":         {PrimarySnapshot{Acknowledged: at(3, 7)}, at(4, 9), true, at(4, 1)},
		"first commit ever":                    {PrimarySnapshot{}, at(1, 5), true, at(1, 1)},
		"no position in the response":          {PrimarySnapshot{Acknowledged: at(3, 7)}, at(0, 0), false, at(3, 8)},
		"positions of earlier commits unknown": {PrimarySnapshot{Acknowledged: unbounded}, at(3, 12), true, at(3, 1)},
	} {
		var commits commitTracker
		commits.record("ledger", c.begun, c.response, c.known)
		if got := commits.lowerBounds["ledger"]; got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
