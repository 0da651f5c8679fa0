package health

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

func TestDelayedReportOfAnOlderGenerationIsIgnored(t *testing.T) {
	c := NewCoordinator()
	if got := c.Report("a", 0); got != MarkedDown {
		t.Fatalf("first report: %v", got)
	}
	if got := c.Report("a", 0); got != AlreadyDown {
		t.Errorf("repeated report: %v", got)
	}
	if !c.Checked("a", 0, true) {
		t.Fatal("a successful check did not change the state")
	}
	if up, gen := c.Up("a"); !up || gen != 1 {
		t.Fatalf("after recovery: up %v generation %d", up, gen)
	}
	if got := c.Report("a", 0); got != StaleReport {
		t.Errorf("report from before the recovery: %v", got)
	}
	if up, _ := c.Up("a"); !up {
		t.Error("the late report marked a running database down")
	}
	if got := c.Report("a", 1); got != MarkedDown {
		t.Errorf("fault of the current generation: %v", got)
	}
	if c.Checked("a", 0, true) {
		t.Error("a check that began under an older generation changed the state")
	}
}

func TestSessionAppliesNoticesByGeneration(t *testing.T) {
	b := &Binding{database: "a", generation: 3, unbound: make(chan struct{})}
	b.apply(Notice{"a", 2})
	if db, _ := b.Bound(); db != "a" {
		t.Error("an older notice unbound the session")
	}
	b.apply(Notice{"b", 4})
	if db, gen := b.Bound(); db != "a" || gen != 4 {
		t.Errorf("a newer notice of another database: bound to %q at %d", db, gen)
	}
	b.apply(Notice{"a", 3})
	if db, _ := b.Bound(); db != "a" {
		t.Error("a reordered notice unbound the session")
	}
	b.apply(Notice{"a", 4})
	if db, _ := b.Bound(); db != "" {
		t.Error("the notice did not unbind the session")
	}
}

// newTestMonitor returns a running monitor whose checks succeed while running is true.
func newTestMonitor(t *testing.T, running *atomic.Bool, checks *atomic.Int64, sent func(kind string)) *Monitor {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	m := New(k, Config{
		Interval: kernel.Second, FirstCheck: 100 * kernel.Millisecond,
		Check:        func(context.Context, string) bool { checks.Add(1); return running.Load() },
		Peers:        func() []string { return []string{"p1", "p2"} },
		ControlNodes: func() []string { return nil },
		Send: func(addrs []string, kind string, _ any) {
			for range addrs {
				sent(kind)
			}
		},
		AcceptNotices: func() bool { return true },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go m.Serve(ctx)
	return m
}

func TestPeerNoticeCountsOnlyAfterLocalCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Bool
		var checks, sent atomic.Int64
		running.Store(true)
		m := newTestMonitor(t, &running, &checks, func(string) { sent.Add(1) })
		body, _ := json.Marshal(notice{[]string{"a"}})
		for range 3 { // duplicated by the network
			m.HandleNotices("p1", body)
		}
		synctest.Wait()
		if !m.Up("a") || checks.Load() != 1 {
			t.Fatalf("up %v after %d checks of a running database", m.Up("a"), checks.Load())
		}
		running.Store(false)
		time.Sleep(time.Second)
		b := m.Bind("a")
		m.HandleNotices("p1", body)
		synctest.Wait()
		if db, _ := b.Bound(); m.Up("a") || db != "" {
			t.Error("the check failed, yet the database is up or the session bound")
		}
		if sent.Load() != 0 {
			t.Error("a peer's notice was relayed to peers")
		}
		m.HandleNotices("p1", []byte("{"))
		running.Store(true)
		time.Sleep(1100 * time.Millisecond)
		synctest.Wait()
		if up, gen := m.State("a"); !up || gen != 1 {
			t.Errorf("after recovery: up %v generation %d", up, gen)
		}
	})
}

func TestLocalFaultMarksDownAtOnceAndNotifiesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Bool
		var checks, sent atomic.Int64
		m := newTestMonitor(t, &running, &checks, func(string) { sent.Add(1) })
		b := m.Bind("a")
		m.Report("a", 0, true)
		synctest.Wait()
		if db, _ := b.Bound(); m.Up("a") || db != "" || checks.Load() != 0 {
			t.Error("the report waited for a check, or the session stayed bound")
		}
		time.Sleep(200 * time.Millisecond)
		if sent.Load() != 4 { // twice to each of two peers
			t.Errorf("%d datagrams to peers", sent.Load())
		}
		before := checks.Load()
		time.Sleep(5 * time.Second)
		if n := checks.Load() - before; n < 4 || n > 6 {
			t.Errorf("%d checks in 5 s of being down", n)
		}
	})
}

func TestOneBrokenConnectionCountsAfterACheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Bool
		var checks, sent atomic.Int64
		m := newTestMonitor(t, &running, &checks, func(string) { sent.Add(1) })
		running.Store(true)
		m.Report("a", 0, false)
		synctest.Wait()
		if !m.Up("a") || checks.Load() != 1 {
			t.Fatalf("up %v after %d checks", m.Up("a"), checks.Load())
		}
		running.Store(false)
		m.Report("a", 0, false)
		time.Sleep(100 * time.Millisecond)
		if m.Up("a") || sent.Load() != 4 {
			t.Errorf("up %v, %d datagrams: a fault of a local session must be sent to peers", m.Up("a"), sent.Load())
		}
	})
}

// Notices of many faults that occur together must share datagrams, and a redundant notice must
// cause no check.
func TestManyFaultsShareDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Bool
		var checks, sent atomic.Int64
		m := newTestMonitor(t, &running, &checks, func(string) { sent.Add(1) })
		var ids []string
		for i := range 90 {
			ids = append(ids, fmt.Sprint("db-", i))
			m.Report(ids[i], 0, true)
		}
		time.Sleep(80 * time.Millisecond)
		if n := sent.Load(); n != 8 { // two datagrams, twice, to each of two peers
			t.Errorf("%d datagrams for %d faults", n, len(ids))
		}
		before := checks.Load()
		body, _ := json.Marshal(notice{ids})
		m.HandleNotices("p1", body)
		synctest.Wait()
		if n := checks.Load() - before; n != 0 {
			t.Errorf("%d checks of databases that are already down", n)
		}
		// A notice that two peers send while it is queued here must not be sent by this pooler too.
		before = sent.Load()
		m.Report("seen by all", 0, true)
		body, _ = json.Marshal(notice{[]string{"seen by all"}})
		m.HandleNotices("p1", body)
		m.HandleNotices("p2", body)
		time.Sleep(80 * time.Millisecond)
		if n := sent.Load() - before; n != 0 {
			t.Errorf("%d datagrams repeat what enough peers have reported", n)
		}
	})
}

// Notifying many peers takes a while. A process that receives the same notice from enough
// higher-ranked processes meanwhile must leave the remaining peers to them; notices of lower-ranked
// ones must not stop it.
func TestSendingIsLeftToHigherRankedPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var running atomic.Bool
		var checks, sent atomic.Int64
		m := newTestMonitor(t, &running, &checks, func(string) { sent.Add(1) })
		m.cfg.Peers = func() []string { return make([]string, 240) }
		var higher, lower []string
		for i := range 40 {
			if addr := fmt.Sprint("p", i); rank(addr, "a") < rank(m.cfg.Self, "a") {
				higher = append(higher, addr)
			} else {
				lower = append(lower, addr)
			}
		}
		notify := func(id string, from []string) int64 {
			before := sent.Load()
			m.Report(id, 0, true)
			for range 1000 { // until the first batch is sent
				if sent.Load() > before {
					break
				}
				time.Sleep(time.Millisecond)
			}
			body, _ := json.Marshal(notice{[]string{id}})
			for _, addr := range from[:2] {
				m.HandleNotices(addr, body)
			}
			time.Sleep(30 * time.Millisecond)
			return sent.Load() - before
		}
		if n := notify("a", lower); n != 240 {
			t.Errorf("%d of 240 peers notified, though only lower-ranked processes report the same", n)
		}
		m.SetDatabases(map[string]bool{})
		m.SetDatabases(map[string]bool{"a": true})
		if n := notify("a", higher); n > 2*peersPerBatch {
			t.Errorf("%d peers notified although two higher-ranked processes report the same", n)
		}
	})
}

// Notices must use no more than their share of the link, even if one database after another is
// found unresponsive because the link is saturated.
func TestNoticesUseAShareOfTheLink(t *testing.T) {
	budget := byteBudget{}
	const rate = 0.05 // bytes a microsecond: 50 KB a second
	sentBytes := 0.0
	for now := kernel.Micros(kernel.Second); now < 21*kernel.Second; now += 10 * kernel.Millisecond {
		if budget.available(now, rate) {
			const all = 92 * (noticeHeaderBytes + noticeEntryBytes)
			budget.bytes -= all
			sentBytes += all
		}
	}
	if sentBytes > 22*50_000 || sentBytes < 18*50_000 {
		t.Errorf("%.0f bytes in 20 s at 50 KB a second", sentBytes)
	}
	if !(&byteBudget{}).available(0, 0) {
		t.Error("nothing may be sent on a link of unknown speed")
	}
}

// A database that was removed while a check, report or notice of it was in progress must not be
// considered down afterwards.
func TestRemovedDatabaseStaysRemoved(t *testing.T) {
	for name, late := range map[string]func(m *Monitor){
		"a check that ends later": func(m *Monitor) { m.post(Event{Kind: "checked", Database: "a"}) },
		"a late report":           func(m *Monitor) { m.Report("a", 0, true) },
		"a late suspicion":        func(m *Monitor) { m.Report("a", 0, false) },
		"a late notice":           func(m *Monitor) { m.HandleNotice("10.0.0.2:7441", "a") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := kernel.NewKernel("pooler", nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
				m := New(k, Config{
					Interval: kernel.Second, FirstCheck: kernel.Second / 10, Check: func(context.Context, string) bool { return false },
					Peers: func() []string { return nil }, ControlNodes: func() []string { return nil },
					Send: func([]string, string, any) {}, AcceptNotices: func() bool { return true },
				})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go m.Serve(ctx)
				m.Report("a", 0, true)
				time.Sleep(time.Second)
				if m.Up("a") {
					t.Fatal("a failing database is not considered down")
				}
				m.SetDatabases(map[string]bool{"b": true})
				late(m)
				time.Sleep(5 * time.Second)
				if down := m.Down(); len(down) > 0 {
					t.Errorf("considered down: %v", down)
				}
			})
		})
	}
}
