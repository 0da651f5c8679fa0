package testbed

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/invariant"
	"indigowalk/internal/tools"
)

func TestForbiddenLogTextsAreDetected(t *testing.T) {
	for line, rule := range map[string]string{
		`{"level":"ERROR","msg":"` + invariant.LogMessage + `","name":"one_primary"}`: Invariant,
		"panic: runtime error: index out of range":                                    Log,
		"WARNING: DATA RACE": Log,
		"fatal error: all goroutines are asleep - deadlock!":         Log,
		`{"level":"WARN","msg":"the control state is not heard of"}`: "",
	} {
		path := filepath.Join(t.TempDir(), "log")
		if err := os.WriteFile(path, []byte(`{"msg":"start"}`+"\n"+line+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		breaches := logBreaches("edge-1-pooler", path, time.Second)
		if rule == "" && len(breaches) > 0 || rule != "" && (len(breaches) != 1 || breaches[0].Rule != rule || !strings.Contains(breaches[0].Text, line)) {
			t.Errorf("%s: got breaches %v, want rule %q", line, breaches, rule)
		}
	}
}

func TestResourceLeaksAreDetected(t *testing.T) {
	report := func(name string, n int64) *tools.System {
		return &tools.System{Reports: []*tools.Report{{Node: "edge-1", Role: "pooler", Counters: map[string]int64{name: n}}}}
	}
	for want, c := range map[string]struct {
		open   map[string]int
		system *tools.System
	}{
		"edge-1-pooler has 5000 descriptors":      {map[string]int{"edge-1-pooler": 5000}, &tools.System{}},
		"has 900 goroutines":                      {nil, report("kernel.goroutines", 900)},
		"pooler.sessions_open is 1":               {nil, report("pooler.sessions_open", 1)},
		"gateway.connections_open is 2":           {nil, report("gateway.connections_open", 2)},
		"gateway.requests_open is 1":              {nil, report("gateway.requests_open", 1)},
		"10.0.0.1:7440 does not answer: no route": {nil, &tools.System{Missing: map[string]string{"10.0.0.1:7440": "no route"}}},
	} {
		if leaks := findLeaks(c.open, c.system); len(leaks) != 1 || !strings.Contains(leaks[0], want) {
			t.Errorf("leak %q is not reported: %v", want, leaks)
		}
	}
	if leaks := findLeaks(map[string]int{"edge-1-pooler": 40}, report("kernel.goroutines", 40)); len(leaks) > 0 {
		t.Errorf("leaks reported below all limits: %v", leaks)
	}
}

func TestLossLimiterBoundsLostMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second, proxy := &machine{control: true}, &machine{control: true}, &machine{}
		limiter := newLossLimiter(1)
		for _, m := range []*machine{first, first, proxy} {
			if !limiter.tryAcquire(m) {
				t.Fatal("tryAcquire refused a machine within the limit, or one without a control node")
			}
		}
		limiter.release(first)
		if limiter.tryAcquire(second) || limiter.noneLost() {
			t.Error("a second machine may be lost while the first still is")
		}
		limiter.release(first)
		if limiter.tryAcquire(second) {
			t.Error("a second machine may be lost before the first has caught up")
		}
		time.Sleep(catchUpTime + time.Millisecond)
		if !limiter.noneLost() || !limiter.tryAcquireDisk(second) {
			t.Error("no machine may be lost though all have caught up")
		}
		if limiter.tryAcquireDisk(first) {
			t.Error("two disks may be lost at once")
		}
		unbounded := newLossLimiter(0)
		if !unbounded.tryAcquire(first) || !unbounded.tryAcquire(second) {
			t.Error("a machine may not be lost though there is no limit")
		}
		if unbounded.tryAcquireDisk(first) {
			t.Error("a disk may be lost while another machine is lost")
		}
	})
}

// The printed report lists the first breach with its rule and time, and the events around it.
func TestReportPrintsEventsAroundFirstBreach(t *testing.T) {
	r := &Report{Breaches: []history.Breach{{Rule: Leak, At: 3 * time.Second, Text: "text"}}, EventsNearFirstBreach: []string{"2.900 s: kill"}}
	var out strings.Builder
	r.Print(&out)
	if text := out.String(); r.Clean() || !strings.Contains(text, "LEAK at 3.000 s: text") || !strings.Contains(text, "2.900 s: kill") {
		t.Errorf("printed:\n%s", text)
	}
}
