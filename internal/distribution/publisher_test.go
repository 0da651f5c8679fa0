package distribution

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
)

// Large updates for many proxies are spaced so that they take only a share of the link. A proxy
// whose slot is in the future keeps it when it polls again, and polling repeatedly does not delay
// other proxies.
func TestLargeUpdatesArePaced(t *testing.T) {
	pacer := transferPacer{rate: linkShare * 100 / 8} // of 100 Mbit/s
	var last kernel.Micros
	for i := range 300 {
		last = pacer.reserve(fmt.Sprint("pooler-", i), 0, 35_000)
	}
	if last < kernel.Second || last > 3*kernel.Second/2 {
		t.Errorf("the last of 300 proxies waits %d us", last)
	}
	for range 20 {
		if wait := pacer.reserve("pooler-299", last/2, 35_000); wait != last-last/2 {
			t.Fatalf("on another poll it waits %d us, want %d", wait, last-last/2)
		}
	}
	if wait := pacer.reserve("pooler-299", last, 35_000); wait != 0 {
		t.Errorf("a proxy waits %d us at the time of its slot", wait)
	}
	if wait := pacer.reserve("late", last/2, 100); wait != 0 {
		t.Errorf("a small update waits %d us", wait)
	}
	if wait := pacer.reserve("late", 4*kernel.Second, 35_000); wait != 0 {
		t.Errorf("a large update waits %d us after all slots have passed", wait)
	}
	if wait := (&transferPacer{}).reserve("a", 0, 1<<20); wait != 0 {
		t.Errorf("an update waits %d us on a link of unknown bandwidth", wait)
	}
}

// A proxy that knows few members, because it is cut off or has just started, does not use the
// connection shares of other proxies.
func TestConnectionShareCountsRecentProxies(t *testing.T) {
	config := &routeconfig.Configuration{Services: []routeconfig.Service{{Name: "s", MaxConns: 1200}}}
	var history routeconfig.History
	history.Advance(config, 1)
	subscriber := &Subscriber{config: (*routeconfig.Index)(nil).Apply(history.Since(0, true)), proxyCount: 300}
	if n := subscriber.connectionShare("s", 20); n != 3 {
		t.Errorf("%d connections for a proxy that knows 20 of 300 proxies", n)
	}
	if n := subscriber.connectionShare("s", 540); n != 2 {
		t.Errorf("%d connections for a proxy among 540 members", n)
	}
}

// A poll that was processed in a term that has ended is granted no lease and gets no update. The
// lease is recorded all the same, for a failover that waits for it.
func TestNoLeaseAfterTermEnds(t *testing.T) {
	publisher := &Publisher{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), readLeases: failover.NewReadLeases(), lease: kernel.Second}
	publisher.readLeases.BeginTerm(3, nil, 0, 0)
	publisher.readLeases.RecordReport("d", 1, failover.Report{}, publisher.k.Clock.Now())
	state := controlstate.State{Epoch: 2, Seq: 9}
	if response, err := publisher.respond(pollRequest{Proxy: "d", Incarnation: 1}, state, nil, newObservations(publisher.k.Clock), nil); err == nil {
		t.Errorf("responded %v to a proxy that is no longer registered", response)
	}
	state.Entries = failover.RegistrationChanges("d", 1)
	response, err := publisher.respond(pollRequest{Proxy: "d", Incarnation: 1}, state, json.RawMessage(`{}`), newObservations(publisher.k.Clock), nil)
	if got, ok := response.(pollReply); err != nil || !ok || got.Lease != 0 || got.Seq != 0 || got.Update != nil {
		t.Errorf("responded %s, error %v, want neither a lease nor an update", response, err)
	}
	if publisher.readLeases.BeginTerm(2, map[string]int64{}, 0, 0); publisher.readLeases.InTerm(2) || publisher.readLeases.CountLeases(publisher.k.Clock.Now()) != 1 {
		t.Error("an earlier term was begun again, or the recorded lease was lost")
	}
}
