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

// Large updates for many proxies are spaced so that they take a share of the link. A proxy whose
// slot is far off keeps it when it asks again, and asking more often does not delay others.
func TestLargeUpdatesArePaced(t *testing.T) {
	pacer := transferPacer{rate: linkShare * 100 / 8} // of 100 Mbit/s
	var last kernel.Micros
	for i := range 300 {
		last = pacer.reserve(fmt.Sprint("pooler-", i), 0, 35_000)
	}
	if last < kernel.Second || last > 3*kernel.Second/2 {
		t.Errorf("the last of 300 waits %d us", last)
	}
	for range 20 {
		if wait := pacer.reserve("pooler-299", last/2, 35_000); wait != last-last/2 {
			t.Fatalf("asked again, it waits %d us, not %d", wait, last-last/2)
		}
	}
	if wait := pacer.reserve("pooler-299", last, 35_000); wait != 0 {
		t.Errorf("%d us to wait though its slot has come", wait)
	}
	if wait := pacer.reserve("late", last/2, 100); wait != 0 {
		t.Errorf("%d us to wait with a small update", wait)
	}
	if wait := pacer.reserve("late", 4*kernel.Second, 35_000); wait != 0 {
		t.Errorf("%d us to wait though all have left", wait)
	}
	if wait := (&transferPacer{}).reserve("a", 0, 1<<20); wait != 0 {
		t.Errorf("%d us to wait on a link of unknown bandwidth", wait)
	}
}

// A proxy that knows few members, because it is cut off or has just started, does not take the
// connections of the others.
func TestConnectionShareCountsRecentPoolers(t *testing.T) {
	config := &routeconfig.Configuration{Services: []routeconfig.Service{{Name: "s", MaxConns: 1200}}}
	var history routeconfig.History
	history.Advance(config, 1)
	c := &Subscriber{config: (*routeconfig.Index)(nil).Apply(history.Since(0, true)), proxies: 300}
	if n := c.connectionShare("s", 20); n != 3 {
		t.Errorf("%d connections for a pooler that knows 20 of 300", n)
	}
	if n := c.connectionShare("s", 540); n != 2 {
		t.Errorf("%d connections among 540 members", n)
	}
}

// A poll that was processed in a term that has ended is granted no lease and gets no update. The
// lease is recorded all the same, for a failover that waits for it.
func TestNoLeaseAfterTermEnds(t *testing.T) {
	publisher := &Publisher{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), readers: failover.NewReaders(), lease: kernel.Second}
	publisher.readers.BeginTerm(3, nil, 0, 0)
	publisher.readers.RecordReport("d", 1, failover.Report{}, publisher.k.Clock.Now())
	state := controlstate.State{Epoch: 2, Seq: 9}
	if response, err := publisher.respond(pollRequest{Proxy: "d", Incarnation: 1}, state, nil, newObservations(publisher.k.Clock), nil); err == nil {
		t.Errorf("responded %v to a pooler that is no longer registered", response)
	}
	state.Entries = failover.Register("d", 1)
	response, err := publisher.respond(pollRequest{Proxy: "d", Incarnation: 1}, state, json.RawMessage(`{}`), newObservations(publisher.k.Clock), nil)
	if got, ok := response.(pollReply); err != nil || !ok || got.Lease != 0 || got.Seq != 0 || got.Update != nil {
		t.Errorf("responded %s %v", response, err)
	}
	if publisher.readers.BeginTerm(2, map[string]int64{}, 0, 0); publisher.readers.InTerm(2) || publisher.readers.CountLeases(publisher.k.Clock.Now()) != 1 {
		t.Error("an earlier term was started again, and a lease was lost")
	}
}
