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

// cutFromCore runs a scenario on a cluster of six zones, four with a control node,
// under a little load, with one machine of the core cut off from the others of the core
// while f runs, and from nothing else. It returns the longest time for which no
// write was served there.
func cutFromCore(t *testing.T, leads bool, f func(w *World, g *Group, cut int)) (longest time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 6)
		w.ControlNodes = 4
		defer w.Close()
		g := w.Group("ledger")
		w.Boot()
		w.Configure()
		cut := controlPrimary(w)
		if !leads {
			cut = 1 + cut%4
		}
		l := w.NewLoad(g, 7, cut, 6)
		time.Sleep(2 * time.Second)
		w.Isolate(cut, true, 1, 2, 3, 4)
		f(w, g, cut)
		w.Isolate(cut, false, 1, 2, 3, 4)
		time.Sleep(3 * time.Second)
		l.Stop()
		longest = l.LongestGap(cut)
	})
	return longest
}

// CutOffCarrierIsHelped: a carrier that reaches no control node but the one beside
// it, cut off as well, has its polls passed on by a peer. Its clients are served
// on, it hears of a new configuration and of a new lead, and a move of a lead
// does not wait for its lease.
func TestCutOffCarrierIsHelped(t *testing.T) {
	for _, leads := range []bool{false, true} {
		span := 20 * time.Second
		if leads {
			span = 10 * time.Second
		}
		longest := cutFromCore(t, leads, func(w *World, g *Group, cut int) {
			end := time.Now().Add(span)
			time.Sleep(4 * time.Second)
			subscriber := kernel.Need[*distribution.Subscriber](w.Process("pooler", cut).Kernel)
			rev := func() int64 { _, _, rev, _ := subscriber.Version(); return rev }
			w.Until("a change is taken", 2*time.Second, func() bool { return w.Replace(1+cut%4, 1, w.Configuration(2)) == 200 })
			if took := w.Until("the change is known there", 3*time.Second, func() bool { return rev() == 2 }); took > time.Second {
				t.Errorf("a change was known after %v", took)
			}
			time.Sleep(2 * time.Second)
			lead := g.Primary()
			lead.Crash(false)
			if took := w.Until("the next lead", 5*time.Second, func() bool { l := g.Primary(); return l != nil && l != lead }); took > 2*time.Second {
				t.Errorf("a lead moved after %v", took)
			}
			time.Sleep(time.Until(end))
			if _, _, _, left := subscriber.Version(); left <= 0 {
				t.Error("no lease")
			}
		})
		t.Logf("primary cut off %v: no write was served at the machine for %v at most", leads, longest)
		if longest > 2500*time.Millisecond {
			t.Errorf("primary cut off %v: no write was served at the machine for %v", leads, longest)
		}
	}
}

// PassedOnOnce: of three carriers the second reaches the control node through the
// first only, and the third the second only. The second has a lease, measured from
// before it asked; the third has none, since what was passed on once is not passed
// on again, and it asks in moderation.
func TestPassedOnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late, lease = 200 * time.Millisecond, 2500 * kernel.Millisecond
		n := NewNet(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		endpoint := func(host, addr string) (*kernel.Kernel, *rpc.Endpoint) {
			k := kernel.NewKernel("pooler", n.Host(host), slog.New(slog.DiscardHandler))
			return k, rpc.NewEndpoint(k, addr)
		}
		_, controlNode := endpoint("10.0.0.9", "10.0.0.9:7440")
		controlNode.Handle("distribution.poll", func(context.Context, json.RawMessage) (any, error) {
			time.Sleep(late)
			return map[string]any{"epoch": 1, "seq": 1, "lease_us": lease}, nil
		})
		go controlNode.Serve(ctx)
		hosts := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"}
		n.Cut(hosts[1], "10.0.0.9", true)
		n.Cut(hosts[2], "10.0.0.9", true)
		n.Cut(hosts[2], hosts[0], true)
		subscribers, kernels := make([]*distribution.Subscriber, 3), make([]*kernel.Kernel, 3)
		for i, host := range hosts {
			k, b := endpoint(host, host+":7441")
			peers := slices.DeleteFunc([]string{"10.0.0.1:7441", "10.0.0.2:7441", "10.0.0.3:7441"}, func(a string) bool { return a == host+":7441" })
			subscribers[i], kernels[i] = distribution.NewSubscriber(k, b, distribution.SubscriberConfig{
				ProxyName: host, Lease: lease, PollWait: func() kernel.Micros { return 600 * kernel.Millisecond },
				ControlNodes:  func() []string { return []string{"10.0.0.9:7440"} },
				Peers:         func() []string { return peers },
				DownDatabases: func() map[string]int64 { return nil },
				OnDatabases:   func(map[string]discovery.Database) {},
				Bounds:        func() distribution.Bounds { return distribution.Bounds{} },
			}), k
			go b.Serve(ctx)
			go subscribers[i].Serve(ctx)
		}
		time.Sleep(4 * time.Second)
		most := kernel.Micros(0)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			_, _, _, left := subscribers[1].Version()
			if most = max(most, left); left <= 0 {
				t.Fatal("the second has no lease")
			}
			if _, _, _, left := subscribers[2].Version(); left > 0 {
				t.Fatal("a poll was passed on twice")
			}
		}
		if most > lease-kernel.Micros(late.Microseconds()) {
			t.Errorf("a lease ran for %d us after its answer", most)
		}
		asked, refused := kernels[0].Counters.Snapshot(), kernels[2].Counters.Snapshot()
		if asked["distribution.passed_on"] == 0 || asked["distribution.relayed"] != 0 || refused["distribution.relay_failed"] > 14*12 {
			t.Errorf("the first: %v, the third: %v", asked, refused)
		}
		cancel()
		for _, host := range append(hosts, "10.0.0.9") {
			n.Reset(host)
		}
		time.Sleep(20 * time.Second)
	})
}

// MemberThatHearsNothingSendsOn: a member of the core that is cut off sends
// callers on to one that knows more, not to a primary that it only once knew: to
// wait for a silent one costs them a second each time.
func TestMemberThatHearsNothingSendsOn(t *testing.T) {
	for _, silent := range []bool{false, true} { // the primary; else the primary is the one that is cut off
		core(t, 5, 2, func(w *World, g *Group) {
			p := controlPrimary(w)
			view, _ := w.Process("control", p).replica().Primary()
			cut := p
			if silent {
				w.Net.Dark(ip(p), true)
				for z := 1; z <= 5; z++ {
					if z != p && !view.Has(w.Process("control", z).replica().Self()) {
						cut = z
					}
				}
			}
			w.Isolate(cut, true)
			start := time.Now()
			var worst, later time.Duration
			for rev := int64(2); time.Since(start) < 20*time.Second; rev++ {
				early := time.Since(start) < 4*time.Second
				took := w.Until("an order is taken", 5*time.Second, func() bool { return w.Replace(cut, rev-1, w.Configuration(rev)) == 200 })
				if early {
					worst = max(worst, took)
				} else {
					later = max(later, took)
				}
				time.Sleep(500 * time.Millisecond)
			}
			if worst > 3500*time.Millisecond || later > 100*time.Millisecond {
				t.Errorf("silent primary %v: an order took %v while another primary was found, %v later", silent, worst, later)
			}
			t.Logf("silent primary %v: an order took %v at worst while another primary was found, %v later", silent, worst, later)
		})
	}
}

// UnsureIsNotCurrent: what a control node tells that does not lead is not shown as
// the current state, nor planned on.
func TestUnsureIsNotCurrent(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		cut := controlPrimary(w)
		host, addr := w.Net.Host("10.250.0.9"), func(z int) string { return ip(z) + ":7440" }
		before := tools.CollectReports(context.Background(), host, []string{addr(cut)}, false)
		w.Isolate(cut, true)
		time.Sleep(4 * time.Second)
		says := func(sys *tools.System) string {
			var text strings.Builder
			sys.Print(&text, false, "")
			return text.String()
		}
		alone := tools.CollectReports(context.Background(), host, []string{addr(cut)}, false)
		name := fmt.Sprintf("control-%d", cut)
		if text := says(alone); !strings.Contains(text, "not current, no primary among those asked; the last that "+name+" heard of is epoch") ||
			!strings.Contains(text, "hears no primary") || strings.Contains(text, "configuration: version") {
			t.Errorf("the one that is cut off says:\n%s", text)
		}
		if _, err := alone.MakePlan("restart", "", nil); err == nil {
			t.Error("planned on what a member says that does not lead")
		}
		all := tools.CollectReports(context.Background(), host, []string{addr(1), addr(2), addr(3), addr(4)}, false)
		if p := all.Primary(); p == nil || p.Node == name || strings.Contains(says(all), "not current") || !strings.Contains(says(all), name+" in") {
			t.Errorf("all say:\n%s", says(all))
		}
		// What was asked before the cut, beside what others have heard since.
		mixed := &tools.System{Reports: append(before.Reports, tools.CollectReports(context.Background(), host, []string{addr(1 + cut%4)}, false).Reports...)}
		mixed.Reports[1].LeaseUs = 0
		plan, err := mixed.MakePlan("restart", "", nil)
		if !strings.Contains(says(mixed), "not current: control-") || err != nil || len(plan.Warnings) != 1 {
			t.Errorf("mixed, %v, %v:\n%s", plan, err, says(mixed))
		}
	})
}
