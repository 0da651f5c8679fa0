package rehearsal

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/circulation"
	"indigowalk/internal/conservator"
	"indigowalk/internal/foundation"
	"indigowalk/internal/subscription"
	"indigowalk/internal/vault"
)

// Some three hundred desks and a hundred services: what each desk is sent in a
// quiet second, for one change and for one crash must not grow with what there
// is.
func TestManyDesksAndServices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const desks, archives, services = 300, 6, 120
		w := NewWorld(t, 1, desks)
		w.Archives, w.Losses, w.MaxConns = archives, 2, 1200
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
		// during returns the most that any desk without an archive was sent in
		// that span.
		during := func(span time.Duration) (bytes, datagrams int) {
			type sent struct{ bytes, datagrams int }
			before := map[int]sent{}
			for z := archives + 1; z <= desks; z++ {
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
			t.Errorf("up to %d bytes to a desk while all start", got)
		}
		time.Sleep(4 * time.Second)
		if got, datagrams := during(7 * time.Second); got > 7*3000 || datagrams > 7*15 {
			t.Errorf("up to %d bytes in %d datagrams to a desk in 7 quiet seconds", got, datagrams)
		}
		for z := 1; z <= desks; z++ {
			k := w.Process("desk", z).Kernel
			if n := len(foundation.Need[*circulation.Ring](k).Members()); n != desks+archives {
				t.Errorf("desk %d knows %d members", z, n)
			}
			if !foundation.Need[*subscription.Card](k).Ready() {
				t.Errorf("desk %d is not ready", z)
			}
		}
		quiet, _ := during(time.Second)
		conf["routes"].([]any)[7].(map[string]any)["deadline_ms"] = 1500
		send(2, 1)
		if got, _ := during(time.Second); got > quiet+4000 {
			t.Errorf("a change of one of 1590 routes: up to %d bytes to a desk, %d in a quiet second", got, quiet)
		}

		g := w.Groups["ledger07"]
		lead := g.Lead()
		for z := 1; z <= desks; z++ { // every desk has a connection to it
			s, code := w.Login(z, "p.ledger07")
			if s == nil {
				t.Fatalf("login at desk %d: %s", z, code)
			}
			if a, _ := s.Query("FETCH k"); a.Code != "" {
				t.Fatalf("desk %d: %s", z, a.Code)
			}
			defer s.Close()
		}
		lead.Crash(false)
		if bytes, datagrams := during(500 * time.Millisecond); bytes > 10_000 || datagrams > 40 {
			t.Errorf("a crash that all desks saw: up to %d bytes in %d datagrams to a desk", bytes, datagrams)
		}
		w.Until("the next lead", 3*time.Second, func() bool { l := g.Lead(); return l != nil && l != lead })
		time.Sleep(time.Second)
		for z := 1; z <= desks; z++ {
			if down := foundation.Need[*conservator.Conservator](w.Process("desk", z).Kernel).Down(); len(down) != 1 {
				t.Errorf("desk %d holds as down %v", z, down)
			}
		}
		if n := w.Calls(); n != 1 {
			t.Errorf("%d calls to the platform for one crash", n)
		}
	})
}

// The primary archive is lost right after it has acknowledged a change that few
// have heard of: another, which has followed what changed, tells each desk that
// and not all there is.
func TestAnotherPrimaryTellsWhatChanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const desks, archives = 24, 4
		w := NewWorld(t, 1, desks)
		w.Archives = archives
		defer w.Close()
		for i := range 40 {
			w.Group(fmt.Sprintf("ledger%02d", i))
		}
		w.Boot()
		w.Configure()
		time.Sleep(5 * time.Second)
		lost := 0
		for z := 1; z <= archives; z++ {
			if _, leads := foundation.Need[*vault.Vault](w.Process("archive", z).Kernel).Primary(); leads {
				lost = z
			}
		}
		if code := w.Replace(lost, 1, w.Configuration(2)); code != 200 {
			t.Fatalf("the change is answered %d", code)
		}
		w.Process("archive", lost).Kill()
		most := 0
		before := map[int]int{}
		for z := archives + 1; z <= desks; z++ {
			before[z], _ = w.Net.Sent(ip(z))
		}
		time.Sleep(4 * time.Second)
		for z := archives + 1; z <= desks; z++ {
			now, _ := w.Net.Sent(ip(z))
			most = max(most, now-before[z])
			if _, _, rev, _ := foundation.Need[*subscription.Card](w.Process("desk", z).Kernel).Version(); rev != 2 {
				t.Errorf("desk %d has version %d", z, rev)
			}
		}
		if most > 11_000 {
			t.Errorf("up to %d bytes to a desk", most)
		}
	})
}
