package readrouting

import (
	"testing"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

type fixed struct{ now kernel.Micros }

func (f *fixed) Now() kernel.Micros { return f.now }

func TestPick(t *testing.T) {
	const ms = kernel.Millisecond
	clock := &fixed{100 * kernel.Second}
	a := New(clock)
	pos := func(n int64) lineprotocol.Position { return lineprotocol.Position{Term: 1, Number: n} }
	a.Observe("svc", clock.now-2000*ms, pos(5))
	a.Observe("svc", clock.now-1000*ms, pos(8))
	a.Observe("svc", clock.now-500*ms, pos(9))
	down := map[string]bool{}
	busy := map[string]int{}
	s := Candidates{
		Databases: []discovery.Database{
			{ID: "p", Zone: "z1", Slots: 7}, {ID: "near", Zone: "z1", Slots: 7}, {ID: "far", Zone: "z2", Slots: 7},
		},
		Leader: failover.Leader{ID: "p"}, Leased: true, Zone: "z1",
		Up: func(id string) bool { return !down[id] }, Busy: func(id string) int { return busy[id] },
		Idle: func(string) bool { return true },
	}
	q := Request{Service: "svc", Type: "bounded", MaxStaleness: 1500 * ms, Received: clock.now}
	expect := func(what, id string, after lineprotocol.Position) {
		t.Helper()
		if c, ok := a.Pick(q, s); !ok && id != "" || c.Database.ID != id || c.MinPosition != after {
			t.Errorf("%s: %q after %v (%v)", what, c.Database.ID, c.MinPosition, ok)
		}
	}
	expect("the oldest position that is fresh enough, in the own zone", "near", pos(8))
	busy["near"] = 3
	expect("the less busy replica", "far", pos(8))
	busy["near"] = 0
	for range 20 {
		a.RecordLatency("route", "far", 10*ms)
		a.RecordLatency("route", "near", 50*ms)
	}
	expect("the faster replica, though in another zone", "far", pos(8))
	q.Type, q.LastCommit = "nearest", pos(12)
	expect("the session's own commit", "far", pos(12))
	a.MarkLagging("far")
	expect("the other replica", "near", pos(12))
	down["near"] = true
	expect("the primary", "p", lineprotocol.Position{})
	s.Leased = false
	expect("nobody", "", lineprotocol.Position{})
	down["near"], s.Leased = false, true
	q.Received += 1100 * ms
	expect("no observation is fresh enough", "p", lineprotocol.Position{})
	q.Received -= 1100 * ms
	q.Type = "primary"
	expect("a primary route", "p", lineprotocol.Position{})
}
