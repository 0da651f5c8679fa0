package readrouting

import (
	"testing"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

type fixedClock struct{ now kernel.Micros }

func (f *fixedClock) Now() kernel.Micros { return f.now }

func TestPick(t *testing.T) {
	const ms = kernel.Millisecond
	clock := &fixedClock{100 * kernel.Second}
	router := New(clock)
	pos := func(n int64) lineprotocol.Position { return lineprotocol.Position{Term: 1, Number: n} }
	router.Observe("svc", clock.now-2000*ms, pos(5))
	router.Observe("svc", clock.now-1000*ms, pos(8))
	router.Observe("svc", clock.now-500*ms, pos(9))
	down := map[string]bool{}
	busy := map[string]int{}
	candidates := Candidates{
		Databases: []discovery.Database{
			{ID: "p", Zone: "z1", Slots: 7}, {ID: "near", Zone: "z1", Slots: 7}, {ID: "far", Zone: "z2", Slots: 7},
		},
		Leader: failover.Leader{ID: "p"}, Leased: true, Zone: "z1",
		Up: func(id string) bool { return !down[id] }, Busy: func(id string) int { return busy[id] },
		Idle: func(string) bool { return true },
	}
	request := Request{Service: "svc", RouteType: "bounded", MaxStaleness: 1500 * ms, Received: clock.now}
	expect := func(name, id string, minPosition lineprotocol.Position) {
		t.Helper()
		if choice, ok := router.Pick(request, candidates); !ok && id != "" || choice.Database.ID != id || choice.MinPosition != minPosition {
			t.Errorf("%s: %q after %v (%v)", name, choice.Database.ID, choice.MinPosition, ok)
		}
	}
	expect("the oldest position that is fresh enough, in the own zone", "near", pos(8))
	busy["near"] = 3
	expect("the less busy replica", "far", pos(8))
	busy["near"] = 0
	for range 20 {
		router.RecordLatency("route", "far", 10*ms)
		router.RecordLatency("route", "near", 50*ms)
	}
	expect("the faster replica, though in another zone", "far", pos(8))
	request.RouteType, request.LastCommit = "nearest", pos(12)
	expect("the session's own commit", "far", pos(12))
	router.MarkLagging("far")
	expect("the other replica", "near", pos(12))
	down["near"] = true
	expect("the primary", "p", lineprotocol.Position{})
	candidates.Leased = false
	expect("no database", "", lineprotocol.Position{})
	down["near"], candidates.Leased = false, true
	request.Received += 1100 * ms
	expect("no observation is fresh enough", "p", lineprotocol.Position{})
	request.Received -= 1100 * ms
	request.RouteType = "primary"
	expect("a primary route", "p", lineprotocol.Position{})
}
