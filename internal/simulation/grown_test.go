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

// Some three hundred poolers and a hundred services: what each pooler is sent in a
// quiet second, for one change and for one crash must not grow with what there
// is.
func TestManyPoolersAndServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poolers, controlNodes, services = 300, 6, 120
		w := NewWorld(t, 1, poolers)
		w.ControlNodes, w.Losses, w.MaxConns = controlNodes, 2, 1200
		defer w.Close()
		for i := range services {
			w.Group(fmt.Sprintf("ledger%02d", i))
		}
		w.Boot()
		conf := map[string]any{}
		if err := json.Unmarshal(w.Configuration(1), &conf); err != nil {
			t.Fatal(err)
		}
		for i := range 1500 {
			conf["routes"] = append(conf["routes"].([]any), map[string]any{
				"name": fmt.Sprint("idle-", i), "host": fmt.Sprintf("idle%04d", i), "path_prefix": "/", "type": "bounded",
				"svc": "ledger00", "deadline_ms": 4000, "target_ms": 600, "prio": 2, "tries": 2, "stale_ms": 1500,
			})
		}
		// during returns the most that any pooler without a control node was sent in
		// that span.
		during := func(span time.Duration) (bytes, datagrams int) {
			type sent struct{ bytes, datagrams int }
			before := map[int]sent{}
			for z := controlNodes + 1; z <= poolers; z++ {
				b, d := w.Net.Sent(ip(z))
				before[z] = sent{b, d}
			}
			time.Sleep(span)
			for z, was := range before {
				b, d := w.Net.Sent(ip(z))
				bytes, datagrams = max(bytes, b-was.bytes), max(datagrams, d-was.datagrams)
			}
			return bytes, datagrams
		}
		send := func(rev, base int64) {
			conf["rev"] = rev
			body, err := json.Marshal(conf)
			if err != nil {
				t.Fatal(err)
			}
			w.Until("a configuration is taken", 10*time.Second, func() bool { return w.Replace(1, base, body) == 200 })
		}
		send(1, 0)
		if got, _ := during(3 * time.Second); got > 200_000 {
			t.Errorf("up to %d bytes to a pooler while all start", got)
		}
		time.Sleep(4 * time.Second)
		if got, datagrams := during(7 * time.Second); got > 7*3000 || datagrams > 7*15 {
			t.Errorf("up to %d bytes in %d datagrams to a pooler in 7 quiet seconds", got, datagrams)
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
		quiet, _ := during(time.Second)
		conf["routes"].([]any)[7].(map[string]any)["deadline_ms"] = 1500
		send(2, 1)
		if got, _ := during(time.Second); got > quiet+4000 {
			t.Errorf("a change of one of 1590 routes: up to %d bytes to a pooler, %d in a quiet second", got, quiet)
		}

		g := w.Groups["ledger07"]
		lead := g.Primary()
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
		lead.Crash(false)
		if bytes, datagrams := during(500 * time.Millisecond); bytes > 10_000 || datagrams > 40 {
			t.Errorf("a crash that all poolers saw: up to %d bytes in %d datagrams to a pooler", bytes, datagrams)
		}
		w.Until("the next lead", 3*time.Second, func() bool { l := g.Primary(); return l != nil && l != lead })
		time.Sleep(time.Second)
		for z := 1; z <= poolers; z++ {
			if down := kernel.Need[*health.Monitor](w.Process("pooler", z).Kernel).Down(); len(down) != 1 {
				t.Errorf("pooler %d holds as down %v", z, down)
			}
		}
		if n := w.Calls(); n != 1 {
			t.Errorf("%d calls to the platform for one crash", n)
		}
	})
}

// The primary control node is lost right after it has acknowledged a change that few
// have heard of: another, which has followed what changed, tells each pooler that
// and not all there is.
func TestAnotherPrimaryTellsWhatChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const poolers, controlNodes = 24, 4
		w := NewWorld(t, 1, poolers)
		w.ControlNodes = controlNodes
		defer w.Close()
		for i := range 40 {
			w.Group(fmt.Sprintf("ledger%02d", i))
		}
		w.Boot()
		w.Configure()
		time.Sleep(5 * time.Second)
		lost := 0
		for z := 1; z <= controlNodes; z++ {
			if _, leads := kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel).Primary(); leads {
				lost = z
			}
		}
		if code := w.Replace(lost, 1, w.Configuration(2)); code != 200 {
			t.Fatalf("the change is answered %d", code)
		}
		w.Process("control", lost).Kill()
		most := 0
		before := map[int]int{}
		for z := controlNodes + 1; z <= poolers; z++ {
			before[z], _ = w.Net.Sent(ip(z))
		}
		time.Sleep(4 * time.Second)
		for z := controlNodes + 1; z <= poolers; z++ {
			now, _ := w.Net.Sent(ip(z))
			most = max(most, now-before[z])
			if _, _, rev, _ := kernel.Need[*distribution.Subscriber](w.Process("pooler", z).Kernel).Version(); rev != 2 {
				t.Errorf("pooler %d has version %d", z, rev)
			}
		}
		if most > 11_000 {
			t.Errorf("up to %d bytes to a pooler", most)
		}
	})
}
