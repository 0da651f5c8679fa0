package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
	"indigowalk/internal/tools"
)

// withControlNodeIsolated runs a scenario under light load on a cluster of six zones, four of them
// with a control node. During the scenario one control node's machine, the control primary's if
// primary is set, is partitioned from the machines of the other control nodes, but from no others. It
// returns the longest time between two writes served at that machine's pooler.
func withControlNodeIsolated(t *testing.T, primary bool, scenario func(w *World, g *Group, isolated int)) (longestGap time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 6)
		w.ControlNodes = 4
		defer w.Close()
		g := w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		isolated := controlPrimaryZone(w)
		if !primary {
			isolated = 1 + isolated%4
		}
		load := w.StartLoad(g, 7, isolated, 6)
		time.Sleep(2 * time.Second)
		w.Isolate(isolated, true, 1, 2, 3, 4)
		scenario(w, g, isolated)
		w.Isolate(isolated, false, 1, 2, 3, 4)
		time.Sleep(3 * time.Second)
		load.Stop()
		longestGap = load.LongestGap(isolated)
	})
	return longestGap
}

// A proxy that reaches only the control node on its own machine, which is partitioned as well, has
// its polls relayed by a peer. Its clients are still served, it receives a new configuration and the
// new primary of a service, and a failover does not wait for its lease to expire.
func TestPollsAreRelayedForPartitionedProxy(t *testing.T) {
	for _, primary := range []bool{false, true} {
		duration := 20 * time.Second
		if primary {
			duration = 10 * time.Second
		}
		longestGap := withControlNodeIsolated(t, primary, func(w *World, g *Group, isolated int) {
			end := time.Now().Add(duration)
			time.Sleep(4 * time.Second)
			subscriber := kernel.Need[*distribution.Subscriber](w.Process("pooler", isolated).Kernel)
			version := func() int64 { _, _, rev, _ := subscriber.Version(); return rev }
			w.WaitUntil("a change is acknowledged", 2*time.Second, func() bool { return w.Replace(1+isolated%4, 1, w.Configuration(2)) == 200 })
			if took := w.WaitUntil("the isolated pooler receives the change", 3*time.Second, func() bool { return version() == 2 }); took > time.Second {
				t.Errorf("the isolated pooler received a change after %v, want 1 s at most", took)
			}
			time.Sleep(2 * time.Second)
			oldPrimary := g.Primary()
			oldPrimary.Crash(false)
			if took := w.WaitUntil("another database is promoted", 5*time.Second, func() bool { p := g.Primary(); return p != nil && p != oldPrimary }); took > 2*time.Second {
				t.Errorf("the failover took %v, want 2 s at most", took)
			}
			time.Sleep(time.Until(end))
			if _, _, _, left := subscriber.Version(); left <= 0 {
				t.Error("the isolated pooler has no lease")
			}
		})
		t.Logf("control primary isolated: %v; longest gap between writes at the isolated machine: %v", primary, longestGap)
		if longestGap > 2500*time.Millisecond {
			t.Errorf("control primary isolated: %v; no write was served at the isolated machine for %v, want 2.5 s at most", primary, longestGap)
		}
	}
}

// Of three proxies the second reaches the control node only through the first, and the third reaches
// only the second. The second has a lease, measured from before it sent the poll. The third has none,
// since a relayed poll is not relayed again, and it must not retry too often.
func TestPollIsRelayedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay, lease = 200 * time.Millisecond, 2500 * kernel.Millisecond
		network := NewNet(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		newEndpoint := func(host, addr string) (*kernel.Kernel, *rpc.Endpoint) {
			k := kernel.NewKernel("pooler", network.Host(host), slog.New(slog.DiscardHandler))
			return k, rpc.NewEndpoint(k, addr)
		}
		_, controlNode := newEndpoint("10.0.0.9", "10.0.0.9:7440")
		controlNode.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			time.Sleep(delay)
			return map[string]any{"epoch": 1, "seq": 1, "lease_us": lease}, nil
		})
		go controlNode.Serve(ctx)
		hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		network.SetPartitioned(hosts[1], "10.0.0.9", true)
		network.SetPartitioned(hosts[2], "10.0.0.9", true)
		network.SetPartitioned(hosts[2], hosts[0], true)
		subscribers, kernels := make([]*distribution.Subscriber, 3), make([]*kernel.Kernel, 3)
		for i, host := range hosts {
			k, endpoint := newEndpoint(host, host+":7441")
			peers := slices.DeleteFunc([]string{"10.0.0.1:7441", "10.0.0.2:7441", "10.0.0.3:7441"}, func(a string) bool { return a == host+":7441" })
			subscribers[i], kernels[i] = distribution.NewSubscriber(k, endpoint, distribution.SubscriberConfig{
				ProxyName: host, Lease: lease, PollWait: func() kernel.Micros { return 600 * kernel.Millisecond },
				ControlNodes:  func() []string { return []string{"10.0.0.9:7440"} },
				Peers:         func() []string { return peers },
				DownDatabases: func() map[string]int64 { return nil },
				OnDatabases:   func(map[string]discovery.Database) {},
				Bounds:        func() distribution.Bounds { return distribution.Bounds{} },
			}), k
			go endpoint.Serve(ctx)
			go subscribers[i].Serve(ctx)
		}
		time.Sleep(4 * time.Second)
		maxRemaining := kernel.Micros(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, _, _, left := subscribers[1].Version()
			if maxRemaining = max(maxRemaining, left); left <= 0 {
				t.Fatal("the second proxy has no lease")
			}
			if _, _, _, left := subscribers[2].Version(); left > 0 {
				t.Fatal("the third proxy has a lease: a poll was relayed twice")
			}
		}
		if maxRemaining > lease-kernel.Micros(delay.Microseconds()) {
			t.Errorf("a lease had %d us left after its response, so it was not measured from before the poll", maxRemaining)
		}
		firstCounters, thirdCounters := kernels[0].Counters.Snapshot(), kernels[2].Counters.Snapshot()
		if firstCounters["distribution.passed_on"] == 0 || firstCounters["distribution.relayed"] != 0 || thirdCounters["distribution.relay_failed"] > 14*12 {
			t.Errorf("counters of the first proxy: %v, of the third: %v", firstCounters, thirdCounters)
		}
		cancel()
		for _, host := range append(hosts, "10.0.0.9") {
			network.CloseSockets(host)
		}
		time.Sleep(20 * time.Second)
	})
}

// A partitioned control node redirects callers to another node of the newest view that it knows, not
// to that view's primary if it does not respond: waiting for it would cost callers a second each time.
func TestPartitionedControlNodeRedirects(t *testing.T) {
	// Either the primary itself is partitioned from the other control nodes, or the primary is
	// unresponsive and a control node outside the view is partitioned from the others.
	for _, primaryUnresponsive := range []bool{false, true} {
		withClusterOf(t, 5, 2, func(w *World, g *Group) {
			primaryZone := controlPrimaryZone(w)
			view, _ := w.Process("control", primaryZone).replica().Primary()
			isolated := primaryZone
			if primaryUnresponsive {
				w.Net.SetSilent(ip(primaryZone), true)
				for z := 1; z <= 5; z++ {
					if z != primaryZone && !view.Has(w.Process("control", z).replica().Self()) {
						isolated = z
					}
				}
			}
			w.Isolate(isolated, true)
			start := time.Now()
			var worstEarly, worstLater time.Duration
			for rev := int64(2); time.Since(start) < 20*time.Second; rev++ {
				early := time.Since(start) < 4*time.Second
				took := w.WaitUntil("a change is acknowledged", 5*time.Second, func() bool { return w.Replace(isolated, rev-1, w.Configuration(rev)) == 200 })
				if early {
					worstEarly = max(worstEarly, took)
				} else {
					worstLater = max(worstLater, took)
				}
				time.Sleep(500 * time.Millisecond)
			}
			if worstEarly > 3500*time.Millisecond || worstLater > 100*time.Millisecond {
				t.Errorf("unresponsive primary %v: a change took %v during the change of primary, want 3.5 s at most, and %v afterwards, want 100 ms at most", primaryUnresponsive, worstEarly, worstLater)
			}
			t.Logf("unresponsive primary %v: a change took at most %v during the change of primary and %v afterwards", primaryUnresponsive, worstEarly, worstLater)
		})
	}
}

// Reports of control nodes that are not primary are not shown as the current state, and no plan is
// based on them.
func TestReportsWithoutPrimaryAreNotCurrent(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		isolated := controlPrimaryZone(w)
		host, addr := w.Net.Host("10.250.0.9"), func(z int) string { return ip(z) + ":7440" }
		before := tools.CollectReports(context.Background(), host, []string{addr(isolated)}, false)
		w.Isolate(isolated, true)
		time.Sleep(4 * time.Second)
		render := func(system *tools.System) string {
			var text strings.Builder
			system.Print(&text, false, "")
			return text.String()
		}
		isolatedOnly := tools.CollectReports(context.Background(), host, []string{addr(isolated)}, false)
		name := fmt.Sprintf("control-%d", isolated)
		if text := render(isolatedOnly); !strings.Contains(text, "not current, no primary among those asked; the last that "+name+" heard of is epoch") ||
			!strings.Contains(text, "hears no primary") || strings.Contains(text, "configuration: version") {
			t.Errorf("the report of the isolated control node does not say that it is not current:\n%s", text)
		}
		if _, err := isolatedOnly.MakePlan("restart", "", nil); err == nil {
			t.Error("a plan was based on the report of a control node that is not primary")
		}
		everyNode := tools.CollectReports(context.Background(), host, []string{addr(1), addr(2), addr(3), addr(4)}, false)
		if p := everyNode.Primary(); p == nil || p.Node == name || strings.Contains(render(everyNode), "not current") || !strings.Contains(render(everyNode), name+" in") {
			t.Errorf("the reports of all control nodes are not shown as current:\n%s", render(everyNode))
		}
		// A report from before the partition, combined with a newer one of another control node.
		mixed := &tools.System{Reports: append(before.Reports, tools.CollectReports(context.Background(), host, []string{addr(1 + isolated%4)}, false).Reports...)}
		mixed.Reports[1].LeaseUs = 0
		plan, err := mixed.MakePlan("restart", "", nil)
		if !strings.Contains(render(mixed), "not current: control-") || err != nil || len(plan.Warnings) != 1 {
			t.Errorf("a report from before the partition is not shown as outdated: plan %v, error %v:\n%s", plan, err, render(mixed))
		}
	})
}
