package failover

import (
	"testing"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

func TestChoosePrimary(t *testing.T) {
	at := func(n int64) lineprotocol.Position { return lineprotocol.Position{Term: 1, Number: n} }
	held := at(9)
	pos := func(n int64) *lineprotocol.Position { p := at(n); return &p }
	unresponsive, gone := []AbsentReplica{{ID: "x"}}, []AbsentReplica{{ID: "x", Gone: true}}
	for _, c := range []struct {
		name string
		s    Situation
		want string
	}{
		{"no replica responds", Situation{SyncReplicas: 1, Absent: append(unresponsive, AbsentReplica{ID: "y"})}, ""},
		{"the most advanced", Situation{SyncReplicas: 1, Copies: []PausedReplica{{"a", at(5), false}, {"b", at(7), false}}}, "b"},
		{"one of two", Situation{Absent: unresponsive, SyncReplicas: 1, Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"one of two, two in sync", Situation{Absent: unresponsive, SyncReplicas: 2, Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"one of two, the primary holds no more", Situation{Absent: unresponsive, SyncReplicas: 1, PrimaryPosition: &held, Copies: []PausedReplica{{"a", at(9), false}}}, "a"},
		{"the primary holds more", Situation{SyncReplicas: 1, PrimaryPosition: &held, Copies: []PausedReplica{{"a", at(8), false}, {"b", at(8), false}}}, ""},
		{"only a draining replica holds as much as the primary", Situation{SyncReplicas: 1, PrimaryPosition: &held, Copies: []PausedReplica{{"a", at(9), true}, {"b", at(8), false}}}, ""},
		{"only a draining replica holds it", Situation{SyncReplicas: 1, Copies: []PausedReplica{{"a", at(9), true}, {"b", at(8), false}}}, "a"},
		{"the unresponsive one was paused no further", Situation{SyncReplicas: 1, Absent: []AbsentReplica{{ID: "x", Limit: pos(5)}}, Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"the unresponsive one was paused further", Situation{SyncReplicas: 1, Absent: []AbsentReplica{{ID: "x", Limit: pos(6)}}, Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"one is gone", Situation{SyncReplicas: 1, Absent: gone, Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"two in sync, one gone and one unresponsive", Situation{SyncReplicas: 2, Absent: append(gone, unresponsive...), Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"less than a removed one held", Situation{SyncReplicas: 1, MinPosition: at(6), Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"as much as a removed one held", Situation{SyncReplicas: 1, MinPosition: at(6), Copies: []PausedReplica{{"a", at(6), false}}}, "a"},
		{"as much as the one chosen before", Situation{SyncReplicas: 1, ChosenPosition: pos(5), Absent: unresponsive, Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"as much, but it is draining, and the primary responds", Situation{SyncReplicas: 1, ChosenPosition: pos(9), PrimaryPosition: &held, Copies: []PausedReplica{{"a", at(9), true}}}, "a"},
		{"less than the one chosen before", Situation{SyncReplicas: 1, ChosenPosition: pos(6), Absent: unresponsive, Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"an acknowledged commit is on no known replica", Situation{SyncReplicas: 1, AckedLowerBound: pos(6), FirstHeartbeatsElapsed: true, Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"the best position is that of the acknowledged commits", Situation{SyncReplicas: 1, AckedLowerBound: pos(5), AckedUpperBound: pos(5), Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"a replica whose first heartbeat is late may hold more", Situation{SyncReplicas: 1, AckedLowerBound: pos(5), AckedUpperBound: pos(6), Copies: []PausedReplica{{"a", at(5), false}}}, ""},
		{"the longest delay of a first heartbeat has passed", Situation{SyncReplicas: 1, AckedLowerBound: pos(5), AckedUpperBound: pos(6), FirstHeartbeatsElapsed: true, Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"no replica needs to have a commit", Situation{AckedLowerBound: pos(6), AckedUpperBound: pos(6), Copies: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"the primary responds, and no replica holds everything", Situation{SyncReplicas: 1, PrimaryPosition: &held, AckedLowerBound: pos(9), FirstHeartbeatsElapsed: true, Copies: []PausedReplica{{"a", at(8), false}}}, ""},
		{"one that is not draining is preferred", Situation{SyncReplicas: 1, Copies: []PausedReplica{{"a", at(7), true}, {"b", at(7), false}}}, "b"},
		{"a later term counts more", Situation{SyncReplicas: 1, Copies: []PausedReplica{{"a", at(9), false}, {"b", lineprotocol.Position{Term: 2, Number: 1}, false}}}, "b"},
	} {
		if got, why := ChoosePrimary(c.s); got != c.want || (got == "") == (why == "") {
			t.Errorf("%s: %q (%s), want %q", c.name, got, why, c.want)
		}
	}
}

func TestReadersHoldAPromotionUpUntilTheyLeaveOrTheirLeaseEnds(t *testing.T) {
	r := NewReaders()
	now := kernel.Second
	leftAt := func(turn int64) Report { return Report{Left: map[string]int64{"svc": turn}} }
	r.RecordReport("d1", 10, Report{}, now)
	r.Grant("d1", 10, now+5)
	r.RecordReport("d2", 10, Report{}, now)
	r.Grant("d2", 10, now+9)
	if ok, wait := r.AllLeft("svc", 1, now); ok || wait != 9 {
		t.Errorf("left %v, wait %d", ok, wait)
	}
	r.RecordReport("d2", 10, leftAt(1), now)
	if ok, _ := r.AllLeft("svc", 1, now+4); ok {
		t.Error("d1's lease still runs, yet it is not waited for")
	}
	if ok, _ := r.AllLeft("svc", 1, now+5); !ok {
		t.Error("d1's lease has expired, yet it is waited for")
	}
	if newest, ok := r.RecordReport("d1", 9, leftAt(5), now); ok || newest != 10 || r.Grant("d1", 9, now+99) {
		t.Error("an earlier incarnation of a pooler was accepted, or the newest one not returned")
	}
	r.BeginTerm(2, map[string]int64{"d1": 10, "d3": 4}, now, 50)
	r.BeginTerm(2, nil, 0, 0) // the same term again changes nothing
	if ok, wait := r.AllLeft("svc", 1, now); ok || wait != 50 {
		t.Errorf("in a new term: left %v, wait %d", ok, wait)
	}
	r.RecordReport("d3", 4, leftAt(1), now)
	if r.RecordReport("d1", 11, Report{}, now); !func() bool { ok, _ := r.AllLeft("svc", 1, now); return ok }() {
		t.Error("a new incarnation holds the lease of the previous one")
	}
}
