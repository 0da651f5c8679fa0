package simulation

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/distribution"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/membership"
)

// With 300 poolers and 120 services, the traffic to each pooler stays bounded while nothing
// changes, after one configuration change and after one crash: it must not grow with the size of
// the deployment.
func TestManyPoolersAndServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poolers, controlNodes, services = 300, 6, 120
		w := NewWorld(t, 1, poolers)
		w.ControlNodes, w.TolerateHosts, w.MaxConns = controlNodes, 2, 1200
		defer w.Close()
		for i := range services {
			w.AddGroup(fmt.Sprintf("ledger%02d", i))
		}
		w.Boot()
		configuration := map[string]any{}
		if err := json.Unmarshal(w.Configuration(1), &configuration); err != nil {
			t.Fatal(err)
		}
		for i := range 1500 {
			configuration["routes"] = append(configuration["routes"].([]any), map[string]any{
				"name": fmt.Sprint("idle-", i), "host": fmt.Sprintf("idle%04d", i), "path_prefix": "/", "type": "bounded",
				"svc": "ledger00", "deadline_ms": 4000, "target_ms": 600, "prio": 2, "tries": 2, "stale_ms": 1500,
			})
		}
		// maxSentDuring returns the maximum that was sent to any one pooler in the period, among
		// those in zones without a control node.
		maxSentDuring := func(period time.Duration) (bytes, datagrams int) {
			type sent struct{ bytes, datagrams int }
			before := map[int]sent{}
			for z := controlNodes + 1; z <= poolers; z++ {
				b, d := w.Net.SentTo(ip(z))
				before[z] = sent{b, d}
			}
			time.Sleep(period)
			for z, earlier := range before {
				b, d := w.Net.SentTo(ip(z))
				bytes, datagrams = max(bytes, b-earlier.bytes), max(datagrams, d-earlier.datagrams)
			}
			return bytes, datagrams
		}
		replace := func(rev, base int64) {
			configuration["rev"] = rev
			body, err := json.Marshal(configuration)
			if err != nil {
				t.Fatal(err)
			}
			w.WaitUntil("a configuration is accepted", 10*time.Second, func() bool { return w.Replace(1, base, body) == 200 })
		}
		replace(1, 0)
		if maxBytes, _ := maxSentDuring(3 * time.Second); maxBytes > 200_000 {
			t.Errorf("up to %d bytes to a pooler while all of them start", maxBytes)
		}
		time.Sleep(4 * time.Second)
		if maxBytes, datagrams := maxSentDuring(7 * time.Second); maxBytes > 7*3000 || datagrams > 7*15 {
			t.Errorf("up to %d bytes in %d datagrams to a pooler in 7 s without changes", maxBytes, datagrams)
		}
		for z := 1; z <= poolers; z++ {
			k := w.Process("pooler", z).Kernel
			if n := len(kernel.Need[*membership.Memberlist](k).Members()); n != poolers+controlNodes {
				t.Errorf("pooler %d knows %d members", z, n)
			}
			if !kernel.Need[*distribution.Subscriber](k).Ready() {
				t.Errorf("pooler %d is not ready", z)
			}
		}
		idleBytes, _ := maxSentDuring(time.Second)
		configuration["routes"].([]any)[7].(map[string]any)["deadline_ms"] = 1500
		replace(2, 1)
		if maxBytes, _ := maxSentDuring(time.Second); maxBytes > idleBytes+4000 {
			t.Errorf("a change of one of 1590 routes: up to %d bytes to a pooler, %d in a second without changes", maxBytes, idleBytes)
		}

		g := w.Groups["ledger07"]
		primary := g.Primary()
		for z := 1; z <= poolers; z++ { // every pooler has a connection to it
			s, code := w.Login(z, "p.ledger07")
			if s == nil {
				t.Fatalf("login at pooler %d: %s", z, code)
			}
			if a, _ := s.Query("FETCH k"); a.Code != "" {
				t.Fatalf("pooler %d: %s", z, a.Code)
			}
			defer s.Close()
		}
		primary.Crash(false)
		if bytes, datagrams := maxSentDuring(500 * time.Millisecond); bytes > 10_000 || datagrams > 40 {
			t.Errorf("a crash that all poolers detected: up to %d bytes in %d datagrams to a pooler", bytes, datagrams)
		}
		w.WaitUntil("another database is primary", 3*time.Second, func() bool { p := g.Primary(); return p != nil && p != primary })
		time.Sleep(time.Second)
		for z := 1; z <= poolers; z++ {
			if down := kernel.Need[*health.Monitor](w.Process("pooler", z).Kernel).Down(); len(down) != 1 {
				t.Errorf("pooler %d considers %v down, want one database", z, down)
			}
		}
		if n := w.PlatformCalls(); n != 1 {
			t.Errorf("%d calls to the platform for one crash, want 1", n)
		}
	})
}

// The primary control node is killed right after it has acknowledged a change that few poolers
// have received. The next primary has followed the changes as a backup, so it sends each pooler
// this change and not the whole state.
func TestNewControlPrimarySendsOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poolers, controlNodes = 24, 4
		w := NewWorld(t, 1, poolers)
		w.ControlNodes = controlNodes
		defer w.Close()
		for i := range 40 {
			w.AddGroup(fmt.Sprintf("ledger%02d", i))
		}
		w.Boot()
		w.Configure()
		time.Sleep(5 * time.Second)
		primaryZone := 0
		for z := 1; z <= controlNodes; z++ {
			if _, isPrimary := kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel).Primary(); isPrimary {
				primaryZone = z
			}
		}
		if code := w.Replace(primaryZone, 1, w.Configuration(2)); code != 200 {
			t.Fatalf("the change got status %d", code)
		}
		w.Process("control", primaryZone).Kill()
		maxBytes := 0
		before := map[int]int{}
		for z := controlNodes + 1; z <= poolers; z++ {
			before[z], _ = w.Net.SentTo(ip(z))
		}
		time.Sleep(4 * time.Second)
		for z := controlNodes + 1; z <= poolers; z++ {
			sent, _ := w.Net.SentTo(ip(z))
			maxBytes = max(maxBytes, sent-before[z])
			if _, _, rev, _ := kernel.Need[*distribution.Subscriber](w.Process("pooler", z).Kernel).Version(); rev != 2 {
				t.Errorf("pooler %d has version %d", z, rev)
			}
		}
		if maxBytes > 11_000 {
			t.Errorf("up to %d bytes to a pooler, want at most 11000", maxBytes)
		}
	})
}
