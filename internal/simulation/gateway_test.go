package simulation

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/routeconfig"
	"indigowalk/internal/standin"
)

// serveRequests runs a scenario on a booted and configured cluster of four
// zones whose gateways serve one service of eight databases.
func serveRequests(t *testing.T, f func(w *World, s *Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		w.Deploy = "api"
		defer w.Close()
		s := w.Service("intake", 2)
		w.Boot()
		w.Configure()
		f(w, s)
	})
}

// load runs f under load, and returns how many requests ended how.
func load(s *Service, f func()) *Requests {
	l := s.Load(4, 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	f()
	time.Sleep(4 * time.Second)
	l.Stop()
	return l
}

// most fails unless nearly all requests were served.
func most(t *testing.T, l *Requests, otherwise int) {
	t.Helper()
	bad := 0
	for status, n := range l.Statuses {
		if status != 200 {
			bad += n
		}
	}
	if l.Statuses[200] < 300 || bad > otherwise {
		t.Errorf("answers by status %v, the slowest took %v", l.Statuses, l.Slowest)
	}
}

func TestRequestsOnAQuietDay(t *testing.T) {
	serveRequests(t, func(_ *World, s *Service) {
		l := load(s, func() {})
		most(t, l, 0)
		if l.Slowest > 300*time.Millisecond {
			t.Errorf("the slowest answer took %v", l.Slowest)
		}
	})
}

// Each way in which databases fail their requests, of two at the same time.
// What must not run twice is never sent again once it may have run, and what may
// is served by others.
func TestRequestsAtFailingDatabases(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault Fault
		lost  int // of the requests, at most
	}{
		{"mute", Mute, 16}, {"loses", Loses, 24}, {"breaks", Breaks, 24}, {"garbles", Garbles, 24}, {"surplus", Surplus, 0},
		{"resets", Resets, 24}, {"errors", Errors, 24}, {"forgetful", Forgetful, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			serveRequests(t, func(_ *World, s *Service) {
				most(t, atFailing(t, s, c.fault), c.lost)
			})
		})
	}
}

// atFailing is a load while two databases fail.
func atFailing(t *testing.T, s *Service, fault Fault) *Requests {
	t.Helper()
	l := load(s, func() {
		s.DB(0).InjectFault(fault)
		s.DB(3).InjectFault(fault)
		time.Sleep(3 * time.Second)
		s.DB(0).InjectFault(Well)
		s.DB(3).InjectFault(Well)
	})
	if l.Slowest > 900*time.Millisecond {
		t.Errorf("the slowest answer took %v", l.Slowest)
	}
	return l
}

// At databases that shed, requests are refused now and then by chance: in one play
// of fifty over six of some 1,160, eleven at most in 120. So the median of three plays
// counts, and no play may be far off.
func TestRequestsAtSheddingDatabases(t *testing.T) {
	var refused []int
	for range 3 {
		serveRequests(t, func(_ *World, s *Service) {
			l := atFailing(t, s, Sheds)
			bad := l.Statuses[503]
			refused = append(refused, bad)
			most(t, l, bad)
		})
	}
	if slices.Sort(refused); refused[1] > 5 || refused[2] > 16 {
		t.Errorf("in three plays %v requests were refused", refused)
	}
}

// Where every database loses its answers, a request that must not run twice runs
// once and is answered at once; one that may is sent no more often than its
// route allows.
func TestUnclearRequestsAreNotSentAgain(t *testing.T) {
	serveRequests(t, func(_ *World, s *Service) {
		for z := 1; z <= 4; z++ {
			for n := range 20 {
				if a := s.Ask(z, fmt.Sprintf("warm-%d-%d", z, n), true, ""); a.Status != 200 {
					t.Fatalf("status %d", a.Status)
				}
			}
		}
		for i := range 8 {
			s.DB(i).InjectFault(Loses)
		}
		for z := 1; z <= 4; z++ {
			for n, safe := range []bool{false, true, false} {
				id := fmt.Sprintf("lost-%d-%d", z, n)
				a := s.Ask(z, id, safe, "")
				if runs := s.Runs(id); a.Status != 502 || a.Took > 300*time.Millisecond || runs > 2 || runs > 1 && !safe {
					t.Errorf("%s, may run again %v: status %d after %v, %d runs", id, safe, a.Status, a.Took, runs)
				}
			}
		}
	})
}

// What must not run twice does not go out on a connection that the far end may
// have forgotten, and nothing that concerns one connection only goes on.
func TestRestedConnectionsAndTheirHeaders(t *testing.T) {
	serveRequests(t, func(_ *World, s *Service) {
		for i := range 8 {
			s.DB(i).InjectFault(Forgetful)
		}
		for n := range 30 {
			if a := s.Ask(1, fmt.Sprint("rested-", n), false, "x"); a.Status != 200 {
				t.Errorf("status %d", a.Status)
			}
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
		}
		for i := range 8 {
			d := s.DB(i)
			if d.Count() == 0 {
				continue
			}
			if h := d.Last; h.Get("X-Kept") != "yes" || h.Get("X-Dropped") != "" || h.Get("Te") != "" || h.Get("Connection") != "" {
				t.Errorf("%s got %v", d.ID, h)
			}
		}
	})
}

func TestRequestsAtCrashedDatabases(t *testing.T) {
	for _, dark := range []bool{false, true} {
		t.Run(fmt.Sprintf("dark %v", dark), func(t *testing.T) {
			serveRequests(t, func(_ *World, s *Service) {
				l := load(s, func() {
					s.DB(0).Crash(dark)
					s.DB(1).Crash(dark)
				})
				most(t, l, 16)
			})
		})
	}
}

// A database that says it is ill, and is well, is used; so is one that has its
// checks answered and fails no request.
func TestFalseHealthAnswers(t *testing.T) {
	serveRequests(t, func(_ *World, s *Service) {
		for i := range 8 {
			s.DB(i).Health(false)
		}
		before := s.DB(0).Count()
		most(t, load(s, func() {}), 0)
		if s.DB(0).Count() == before {
			t.Error("a database that serves is not used for what it says of its health")
		}
	})
}

// Databases leave and others come, one at an address that another service's had.
func TestRequestsWhileDatabasesComeAndGo(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		other := w.Service("feed", 0)
		var late int
		l := load(s, func() {
			for i := range 2 {
				d := s.DB(i)
				d.Leave()
				time.Sleep(1500 * time.Millisecond)
				late = d.Count()
				time.Sleep(500 * time.Millisecond)
				if n := d.Count(); n > late {
					t.Errorf("%s got %d requests long after it had said that it leaves", d.ID, n-late)
				}
				d.End()
				s.Add(fmt.Sprint("new-", i), fmt.Sprintf("10.1.109.%d", i+1), "z1")
			}
			other.Add("feed-y", s.DB(0).IP, "z1")
			time.Sleep(2 * time.Second)
		})
		most(t, l, 0)
		if n := s.DB(8).Count(); n == 0 {
			t.Error("a new database gets no requests")
		}
	})
}

// A gateway that leaves answers what it has taken, and tells clients to go.
func TestGatewayLeaves(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		s.DB(0).Work, s.DB(1).Work = 300*time.Millisecond, 300*time.Millisecond
		ends := make(chan Answer, 6)
		for i := range 6 {
			go func() { ends <- s.Ask(1, fmt.Sprint("under-way-", i), false, "x") }()
		}
		time.Sleep(100 * time.Millisecond)
		go w.Process("gateway", 1).Term()
		for range 6 {
			if a := <-ends; a.Status != 200 {
				t.Errorf("what was under way ended with %d", a.Status)
			}
		}
		a := s.Ask(1, "late", true, "")
		if a.Status != 200 || !a.Closes {
			t.Errorf("a request of a leaving gateway: %d, its connection closes: %v", a.Status, a.Closes)
		}
		time.Sleep(7 * time.Second)
	})
}

// All processes end at once and start again from their disks.
func TestGatewayReturns(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("gateway", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("gateway", z, false)
		}
		w.Until("requests are served", 6*time.Second, func() bool {
			return s.Ask(2, fmt.Sprint("again-", time.Now().UnixMicro()), true, "").Status == 200
		})
		if rev := w.Fetch(); rev != 1 {
			t.Errorf("version %d is read back", rev)
		}
	})
}

// Changes of named items: taken once, on the version that they build on, and
// followed by every gateway.
func TestUpdateOfNamedItems(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		send := func(base int, body string) int {
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(1)+":8782", "/Conf.Update",
				map[string]string{"X-Indigowalk-Base-Version": fmt.Sprint(base)}, []byte(body))
			return code
		}
		add := `{"rev":3,"upsert":{"routes":[{"name":"new","host":"intake.example","path_prefix":"/safe/new/","type":"idempotent","deadline_ms":1000,"weighted":[{"svc":"intake","share":1},{"svc":"none","share":0}],"tries":1}],
			"services":[{"name":"none","max_conns":5,"health_path":"/"}]},"remove":{"routes":["mutatingintake"]}}`
		for _, c := range []struct {
			base int
			body string
			want int
		}{
			{2, add, 412},
			{1, `{"rev":3,"upsert":{"routes":[{"name":"x","host":"h","path_prefix":"/","type":"mutating","deadline_ms":1,"weighted":[{"svc":"intake","share":0}]}]}}`, 400},
			{1, `{"rev":3,"remove":{"services":["intake"]}}`, 400},
			{1, `{"rev":1}`, 400},
			{1, `{"rev":3,"upsert":{"routes":[{"host":"h"}]}}`, 400},
			{1, add, 200},
			{1, add, 200},
			{1, strings.Replace(add, `"deadline_ms":1000`, `"deadline_ms":900`, 1), 412},
		} {
			if got := send(c.base, c.body); got != c.want {
				t.Errorf("on %d, %.60s: %d, want %d", c.base, c.body, got, c.want)
			}
		}
		time.Sleep(time.Second)
		for z := 1; z <= 4; z++ {
			if a := s.Ask(z, fmt.Sprint("new/", z), true, ""); a.Status != 200 {
				t.Errorf("zone %d: the new route answers %d", z, a.Status)
			}
			if a := s.Ask(z, fmt.Sprint("gone-", z), false, "x"); a.Status != 404 {
				t.Errorf("zone %d: the removed route answers %d", z, a.Status)
			}
		}
	})
}

// What no client should send is answered or closed, and never reaches a
// database: none of these ids was asked for.
func TestRudeRequests(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		for _, c := range []struct {
			name, bytes string
			want        string // statuses, 0 for a close
		}{
			{"no id", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\n\r\n", "400"},
			{"no number", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: soon\r\n\r\n", "400"},
			{"no time", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: 0\r\n\r\n", "400"},
			{"no route", "GET /else HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "404"},
			{"no host", "GET /safe/1 HTTP/1.1\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "400"},
			{"two lengths", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
			{"bad chunks", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
			{"half a body", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: 500\r\nContent-Length: 10\r\n\r\nab", "408"},
			{"a tunnel", "CONNECT intake.example:80 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "400"},
			{"a long head", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Long: " + strings.Repeat("x", 300<<10) + "\r\n\r\n", "431 0"},
			{"noise", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", "400 0"},
		} {
			conn, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			a := standin.Raw(conn, []byte(c.bytes))
			conn.Close()
			if !strings.Contains(c.want, fmt.Sprint(a.Status)) {
				t.Errorf("%s: %d, want %s", c.name, a.Status, c.want)
			}
		}
		if a := s.Ask(1, "after", true, ""); a.Status != 200 {
			t.Errorf("a proper request after all of them: %d", a.Status)
		}
	})
}

// Requests need a known key, except on public routes; databases see the tenant's name,
// whatever the client said, and never the key.
func TestRequestsOfTenants(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		var c routeconfig.Configuration
		if err := json.Unmarshal(w.Configuration(2), &c); err != nil {
			t.Fatal(err)
		}
		for i := range c.Routes {
			c.Routes[i].Public = c.Routes[i].Prefix == "/unsafe/"
		}
		c.Tenants = []routeconfig.Tenant{{Name: "ann", Keys: []string{"key-a"}}}
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		w.Until("a configuration is taken", 3*time.Second, func() bool { return w.Replace(1, 1, body) == 200 })
		time.Sleep(time.Second)
		for i, c := range []struct {
			method, path, key string
			status            int
			tenant            []string
		}{
			{"GET", "/safe/", "key-a", 200, []string{"ann"}},
			{"GET", "/safe/", "key-x", 401, nil},
			{"GET", "/safe/", "", 401, nil},
			{"POST", "/unsafe/", "key-x", 200, nil},
		} {
			id := fmt.Sprint("tenant-", i)
			path := c.path + id
			s.Expect(id, c.method+" "+path+" ", true)
			conn, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			a := standin.Raw(conn, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Indigowalk-Tenant: root\r\n\r\n",
				c.method, path, s.Name, id, c.key))
			conn.Close()
			if a.Status != c.status {
				t.Errorf("%s with key %q: %d", path, c.key, a.Status)
			}
			if c.status != 200 {
				continue
			}
			for z := range w.Zones {
				for _, d := range []*Worker{s.DB(2 * z), s.DB(2*z + 1)} {
					if h := d.Header(); h.Get("X-Indigowalk-Request-Id") == id && (!slices.Equal(h["X-Indigowalk-Tenant"], c.tenant) || h["X-Api-Key"] != nil) {
						t.Errorf("%s: the database saw tenant %q, key %q", path, h["X-Indigowalk-Tenant"], h["X-Api-Key"])
					}
				}
			}
		}
	})
}
