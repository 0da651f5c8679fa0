package failover

import (
	"testing"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

func TestChoosePrimary(t *testing.T) {
	at := func(n int64) lineprotocol.Position { return lineprotocol.Position{Term: 1, Number: n} }
	held := at(9)
	pointer := func(n int64) *lineprotocol.Position { p := at(n); return &p }
	unresponsive, gone := []AbsentReplica{{ID: "x"}}, []AbsentReplica{{ID: "x", Gone: true}}
	for _, test := range []struct {
		name  string
		input ChoiceInput
		want  string
	}{
		{"no replica responds", ChoiceInput{SyncReplicas: 1, Absent: append(unresponsive, AbsentReplica{ID: "y"})}, ""},
		{"the most advanced", ChoiceInput{SyncReplicas: 1, Paused: []PausedReplica{{"a", at(5), false}, {"b", at(7), false}}}, "b"},
		{"one of two", ChoiceInput{Absent: unresponsive, SyncReplicas: 1, Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"one of two, two in sync", ChoiceInput{Absent: unresponsive, SyncReplicas: 2, Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"one of two, the primary holds no more", ChoiceInput{Absent: unresponsive, SyncReplicas: 1, PrimaryPosition: &held, Paused: []PausedReplica{{"a", at(9), false}}}, "a"},
		{"the primary holds more", ChoiceInput{SyncReplicas: 1, PrimaryPosition: &held, Paused: []PausedReplica{{"a", at(8), false}, {"b", at(8), false}}}, ""},
		{"only a draining replica holds as much as the primary", ChoiceInput{SyncReplicas: 1, PrimaryPosition: &held, Paused: []PausedReplica{{"a", at(9), true}, {"b", at(8), false}}}, ""},
		{"only a draining replica holds it", ChoiceInput{SyncReplicas: 1, Paused: []PausedReplica{{"a", at(9), true}, {"b", at(8), false}}}, "a"},
		{"the unresponsive one was paused no further", ChoiceInput{SyncReplicas: 1, Absent: []AbsentReplica{{ID: "x", CommitLimit: pointer(5)}}, Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"the unresponsive one was paused further", ChoiceInput{SyncReplicas: 1, Absent: []AbsentReplica{{ID: "x", CommitLimit: pointer(6)}}, Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"one is gone", ChoiceInput{SyncReplicas: 1, Absent: gone, Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"two in sync, one gone and one unresponsive", ChoiceInput{SyncReplicas: 2, Absent: append(gone, unresponsive...), Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"less than a removed one held", ChoiceInput{SyncReplicas: 1, MinPosition: at(6), Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"as much as a removed one held", ChoiceInput{SyncReplicas: 1, MinPosition: at(6), Paused: []PausedReplica{{"a", at(6), false}}}, "a"},
		{"as much as the one chosen before", ChoiceInput{SyncReplicas: 1, ChosenPosition: pointer(5), Absent: unresponsive, Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"as much, but it is draining, and the primary responds", ChoiceInput{SyncReplicas: 1, ChosenPosition: pointer(9), PrimaryPosition: &held, Paused: []PausedReplica{{"a", at(9), true}}}, "a"},
		{"less than the one chosen before", ChoiceInput{SyncReplicas: 1, ChosenPosition: pointer(6), Absent: unresponsive, Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"an acknowledged commit is on no known replica", ChoiceInput{SyncReplicas: 1, AckedLowerBound: pointer(6), FirstHeartbeatsElapsed: true, Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"the best position is that of the acknowledged commits", ChoiceInput{SyncReplicas: 1, AckedLowerBound: pointer(5), AckedUpperBound: pointer(5), Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"a replica whose first heartbeat is late may hold more", ChoiceInput{SyncReplicas: 1, AckedLowerBound: pointer(5), AckedUpperBound: pointer(6), Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"the longest delay of a first heartbeat has passed", ChoiceInput{SyncReplicas: 1, AckedLowerBound: pointer(5), AckedUpperBound: pointer(6), FirstHeartbeatsElapsed: true, Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"no upper bound is known, and what is reported has been reached", ChoiceInput{SyncReplicas: 1, AckedLowerBound: pointer(5), ReportedUpperBound: at(5), Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"no upper bound is known, and what is reported has not been reached", ChoiceInput{SyncReplicas: 1, ReportedUpperBound: at(6), Paused: []PausedReplica{{"a", at(5), false}}}, ""},
		{"no upper bound is known, and the longest delay has passed", ChoiceInput{SyncReplicas: 1, ReportedUpperBound: at(6), FirstHeartbeatsElapsed: true, Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"no upper bound is known, and no replica needs to have a commit", ChoiceInput{ReportedUpperBound: at(6), Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"no replica needs to have a commit", ChoiceInput{AckedLowerBound: pointer(6), AckedUpperBound: pointer(6), Paused: []PausedReplica{{"a", at(5), false}}}, "a"},
		{"the primary responds, and no replica holds everything", ChoiceInput{SyncReplicas: 1, PrimaryPosition: &held, AckedLowerBound: pointer(9), FirstHeartbeatsElapsed: true, Paused: []PausedReplica{{"a", at(8), false}}}, ""},
		{"one that is not draining is preferred", ChoiceInput{SyncReplicas: 1, Paused: []PausedReplica{{"a", at(7), true}, {"b", at(7), false}}}, "b"},
		{"a later term counts more", ChoiceInput{SyncReplicas: 1, Paused: []PausedReplica{{"a", at(9), false}, {"b", lineprotocol.Position{Term: 2, Number: 1}, false}}}, "b"},
	} {
		if got, refusal := ChoosePrimary(test.input); got != test.want || (got == "") == (refusal == "") {
			t.Errorf("%s: %q (%s), want %q", test.name, got, refusal, test.want)
		}
	}
}

func TestFailoverWaitsForReadLeases(t *testing.T) {
	readLeases := NewReadLeases()
	now := kernel.Second
	released := func(failoverID int64) Report { return Report{Released: map[string]int64{"svc": failoverID}} }
	readLeases.RecordReport("d1", 10, Report{}, now)
	readLeases.Grant("d1", 10, now+5)
	readLeases.RecordReport("d2", 10, Report{}, now)
	readLeases.Grant("d2", 10, now+9)
	if ok, wait := readLeases.AllReleased("svc", 1, now); ok || wait != 9 {
		t.Errorf("released: %v, time to wait: %d", ok, wait)
	}
	readLeases.RecordReport("d2", 10, released(1), now)
	if ok, _ := readLeases.AllReleased("svc", 1, now+4); ok {
		t.Error("d1's lease still runs, yet it is not waited for")
	}
	if ok, _ := readLeases.AllReleased("svc", 1, now+5); !ok {
		t.Error("d1's lease has expired, yet it is waited for")
	}
	if newest, ok := readLeases.RecordReport("d1", 9, released(5), now); ok || newest != 10 || readLeases.Grant("d1", 9, now+99) {
		t.Error("an earlier incarnation of a pooler was accepted, or the newest one not returned")
	}
	readLeases.BeginTerm(2, map[string]int64{"d1": 10, "d3": 4}, now, 50)
	readLeases.BeginTerm(2, nil, 0, 0) // a repeated call for the same term has no effect
	if ok, wait := readLeases.AllReleased("svc", 1, now); ok || wait != 50 {
		t.Errorf("in a new term: released: %v, time to wait: %d", ok, wait)
	}
	readLeases.RecordReport("d3", 4, released(1), now)
	if readLeases.RecordReport("d1", 11, Report{}, now); !func() bool { ok, _ := readLeases.AllReleased("svc", 1, now); return ok }() {
		t.Error("a failover waits for the lease of a pooler's previous incarnation")
	}
}

// A pooler that was lost and returns later has acknowledged nothing after its lease: the failover
// manager does not wait for first heartbeats from its return on.
func TestReturnedPoolerAcknowledgedNothingAfterItsLease(t *testing.T) {
	readLeases := NewReadLeases()
	readLeases.RecordReport("p1", 1, Report{}, 100)
	readLeases.Grant("p1", 1, 130)
	readLeases.RecordReport("p2", 1, Report{}, 100)
	readLeases.Grant("p2", 1, 180)
	readLeases.RecordReport("p1", 2, Report{}, 170)
	if until := readLeases.ReportedCommits("svc", 0).UnreportedUntil; until != 130 {
		t.Errorf("the returned pooler may have acknowledged commits until %d, want 130", until)
	}
	readLeases.RecordReport("p2", 2, Report{}, 170)
	if until := readLeases.ReportedCommits("svc", 0).UnreportedUntil; until != 170 {
		t.Errorf("a pooler restarted during its lease may have acknowledged commits until %d, want 170", until)
	}
}
