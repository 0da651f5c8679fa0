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

// withGatewayCluster boots and configures a cluster of four zones, whose gateways serve one service
// with eight databases, and runs a scenario on it.
func withGatewayCluster(t *testing.T, scenario func(w *World, s *Service)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		w.Deploy = "api"
		defer w.Close()
		s := w.AddService("intake", 2)
		w.Boot()
		w.Configure()
		scenario(w, s)
	})
}

// withRequestLoad calls run while clients send requests, and returns the results of the
// requests. The load starts 2 s before run and ends 4 s after it.
func withRequestLoad(s *Service, run func()) *RequestLoad {
	requests := s.StartRequests(4, 100*time.Millisecond)
	time.Sleep(2 * time.Second)
	run()
	time.Sleep(4 * time.Second)
	requests.Stop()
	return requests
}

// checkRequestsServed fails the test if fewer than 300 requests succeeded or more than maxFailed
// did not.
func checkRequestsServed(t *testing.T, requests *RequestLoad, maxFailed int) {
	t.Helper()
	failed := 0
	for status, n := range requests.Statuses {
		if status != 200 {
			failed += n
		}
	}
	if requests.Statuses[200] < 300 || failed > maxFailed {
		t.Errorf("responses by status %v, the slowest took %v; want at least 300 with status 200 and few others", requests.Statuses, requests.Slowest)
	}
}

func TestRequestsWithoutFaults(t *testing.T) {
	withGatewayCluster(t, func(_ *World, s *Service) {
		requests := withRequestLoad(s, func() {})
		checkRequestsServed(t, requests, 0)
		if requests.Slowest > 300*time.Millisecond {
			t.Errorf("the slowest response took %v, want at most 300ms", requests.Slowest)
		}
	})
}

// Two databases fail their requests at the same time, in one of several ways. A mutating
// request is never retried once it may have run; an idempotent one is retried at another database.
func TestRequestsWithFaultyDatabases(t *testing.T) {
	for _, c := range []struct {
		name      string
		fault     Fault
		maxFailed int
	}{
		{"no response", SendsNoResponse, 16}, {"closes after run", ClosesAfterRun, 24}, {"truncates response", TruncatesResponse, 24}, {"sends garbage", SendsGarbage, 24}, {"responds twice", RespondsTwice, 0},
		{"resets", Resets, 24}, {"errors", Errors, 24}, {"closes idle connections", ClosesIdle, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			withGatewayCluster(t, func(_ *World, s *Service) {
				checkRequestsServed(t, loadWithFaultyDatabases(t, s, c.fault), c.maxFailed)
			})
		})
	}
}

// loadWithFaultyDatabases returns the results of requests that are sent while two databases
// misbehave for 3 s.
func loadWithFaultyDatabases(t *testing.T, s *Service, fault Fault) *RequestLoad {
	t.Helper()
	requests := withRequestLoad(s, func() {
		s.DB(0).InjectFault(fault)
		s.DB(3).InjectFault(fault)
		time.Sleep(3 * time.Second)
		s.DB(0).InjectFault(NoFault)
		s.DB(3).InjectFault(NoFault)
	})
	if requests.Slowest > 900*time.Millisecond {
		t.Errorf("the slowest response took %v, want at most 900ms", requests.Slowest)
	}
	return requests
}

// When databases shed load, a few requests are refused by chance: in one run of fifty more than six
// of some 1,160, and never more than eleven in 120 runs. So the test bounds the median of three
// runs, and each run by a higher limit.
func TestRequestsWithOverloadedDatabases(t *testing.T) {
	var refused []int
	for range 3 {
		withGatewayCluster(t, func(_ *World, s *Service) {
			requests := loadWithFaultyDatabases(t, s, RejectsAsFull)
			unavailable := requests.Statuses[503]
			refused = append(refused, unavailable)
			checkRequestsServed(t, requests, unavailable)
		})
	}
	if slices.Sort(refused); refused[1] > 5 || refused[2] > 16 {
		t.Errorf("refused requests in three runs: %v, want a median of at most 5 and a maximum of at most 16", refused)
	}
}

// Every database runs requests and closes the connection without a response. A mutating request
// runs at most once and fails immediately; an idempotent one is tried no more often than its route
// allows.
func TestRetriesAfterLostResponses(t *testing.T) {
	withGatewayCluster(t, func(_ *World, s *Service) {
		for z := 1; z <= 4; z++ {
			for n := range 20 {
				if answer := s.Send(z, fmt.Sprintf("warm-%d-%d", z, n), true, ""); answer.Status != 200 {
					t.Fatalf("status %d", answer.Status)
				}
			}
		}
		for i := range 8 {
			s.DB(i).InjectFault(ClosesAfterRun)
		}
		for z := 1; z <= 4; z++ {
			for n, idempotent := range []bool{false, true, false} {
				id := fmt.Sprintf("lost-%d-%d", z, n)
				answer := s.Send(z, id, idempotent, "")
				if runs := s.Runs(id); answer.Status != 502 || answer.Took > 300*time.Millisecond || runs > 2 || runs > 1 && !idempotent {
					t.Errorf("%s, idempotent %v: status %d after %v, %d runs", id, idempotent, answer.Status, answer.Took, runs)
				}
			}
		}
	})
}

// A mutating request is not sent on an idle connection that the database may have closed, and
// hop-by-hop headers are not forwarded.
func TestIdleConnectionsAndHopByHopHeaders(t *testing.T) {
	withGatewayCluster(t, func(_ *World, s *Service) {
		for i := range 8 {
			s.DB(i).InjectFault(ClosesIdle)
		}
		for n := range 30 {
			if a := s.Send(1, fmt.Sprint("idle-", n), false, "x"); a.Status != 200 {
				t.Errorf("status %d", a.Status)
			}
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
		}
		for i := range 8 {
			d := s.DB(i)
			if d.RequestCount() == 0 {
				continue
			}
			if h := d.Last; h.Get("X-Kept") != "yes" || h.Get("X-Dropped") != "" || h.Get("Te") != "" || h.Get("Connection") != "" {
				t.Errorf("%s received a request with headers %v", d.ID, h)
			}
		}
	})
}

func TestRequestsWithCrashedDatabases(t *testing.T) {
	for _, hostUnresponsive := range []bool{false, true} {
		t.Run(fmt.Sprintf("host unresponsive %v", hostUnresponsive), func(t *testing.T) {
			withGatewayCluster(t, func(_ *World, s *Service) {
				requests := withRequestLoad(s, func() {
					s.DB(0).Crash(hostUnresponsive)
					s.DB(1).Crash(hostUnresponsive)
				})
				checkRequestsServed(t, requests, 16)
			})
		})
	}
}

// Databases whose health checks fail, but which serve their requests, stay in use.
func TestFalseHealthCheckResponses(t *testing.T) {
	withGatewayCluster(t, func(_ *World, s *Service) {
		for i := range 8 {
			s.DB(i).SetHealthy(false)
		}
		before := s.DB(0).RequestCount()
		checkRequestsServed(t, withRequestLoad(s, func() {}), 0)
		if s.DB(0).RequestCount() == before {
			t.Error("a database that serves requests is not used because its health check fails")
		}
	})
}

// Databases are drained and removed while new ones are added, one of them at an address that a
// database of another service had before.
func TestRequestsWhileDatabasesAreReplaced(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		other := w.AddService("feed", 0)
		var afterDrain int
		requests := withRequestLoad(s, func() {
			for i := range 2 {
				d := s.DB(i)
				d.Drain()
				time.Sleep(1500 * time.Millisecond)
				afterDrain = d.RequestCount()
				time.Sleep(500 * time.Millisecond)
				if n := d.RequestCount(); n > afterDrain {
					t.Errorf("%s received %d requests more than 1.5 s after it was drained", d.ID, n-afterDrain)
				}
				d.Shutdown()
				s.Add(fmt.Sprint("new-", i), fmt.Sprintf("10.1.109.%d", i+1), "z1")
			}
			other.Add("feed-y", s.DB(0).IP, "z1")
			time.Sleep(2 * time.Second)
		})
		checkRequestsServed(t, requests, 0)
		if n := s.DB(8).RequestCount(); n == 0 {
			t.Error("a new database received no requests")
		}
	})
}

// A gateway that shuts down completes the requests that it has accepted, and tells clients to close
// their connections.
func TestGatewayShutdown(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		s.DB(0).ServiceTime, s.DB(1).ServiceTime = 300*time.Millisecond, 300*time.Millisecond
		answers := make(chan Answer, 6)
		for i := range 6 {
			go func() { answers <- s.Send(1, fmt.Sprint("in-flight-", i), false, "x") }()
		}
		time.Sleep(100 * time.Millisecond)
		go w.Process("gateway", 1).Terminate()
		for range 6 {
			if answer := <-answers; answer.Status != 200 {
				t.Errorf("a request in flight during the shutdown ended with status %d", answer.Status)
			}
		}
		answer := s.Send(1, "late", true, "")
		if answer.Status != 200 || !answer.Closes {
			t.Errorf("a request during the shutdown: status %d, response closes the connection: %v", answer.Status, answer.Closes)
		}
		time.Sleep(7 * time.Second)
	})
}

// All processes are killed and restarted from their disks.
func TestAllProcessesRestartFromDisk(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
			w.Process("gateway", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			w.Start("control", z, false)
			w.Start("gateway", z, false)
		}
		w.WaitUntil("requests are served", 6*time.Second, func() bool {
			return s.Send(2, fmt.Sprint("again-", time.Now().UnixMicro()), true, "").Status == 200
		})
		if rev := w.FetchVersion(); rev != 1 {
			t.Errorf("read back version %d, want 1", rev)
		}
	})
}

// A change of individual routes and services is applied once, only on top of the version that it
// names as its base, and reaches every gateway.
func TestIncrementalConfigurationUpdate(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		send := func(base int, body string) int {
			code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(1)+":8782", "/Conf.Update",
				map[string]string{"X-Indigowalk-Base-Version": fmt.Sprint(base)}, []byte(body))
			return code
		}
		change := `{"rev":3,"upsert":{"routes":[{"name":"new","host":"intake.example","path_prefix":"/safe/new/","type":"idempotent","deadline_ms":1000,"weighted":[{"svc":"intake","share":1},{"svc":"none","share":0}],"tries":1}],
			"services":[{"name":"none","max_conns":5,"health_path":"/"}]},"remove":{"routes":["mutatingintake"]}}`
		for _, c := range []struct {
			base int
			body string
			want int
		}{
			{2, change, 412},
			{1, `{"rev":3,"upsert":{"routes":[{"name":"x","host":"h","path_prefix":"/","type":"mutating","deadline_ms":1,"weighted":[{"svc":"intake","share":0}]}]}}`, 400},
			{1, `{"rev":3,"remove":{"services":["intake"]}}`, 400},
			{1, `{"rev":1}`, 400},
			{1, `{"rev":3,"upsert":{"routes":[{"host":"h"}]}}`, 400},
			{1, change, 200},
			{1, change, 200},
			{1, strings.Replace(change, `"deadline_ms":1000`, `"deadline_ms":900`, 1), 412},
		} {
			if got := send(c.base, c.body); got != c.want {
				t.Errorf("base %d, %.60s: status %d, want %d", c.base, c.body, got, c.want)
			}
		}
		time.Sleep(time.Second)
		for z := 1; z <= 4; z++ {
			if a := s.Send(z, fmt.Sprint("new/", z), true, ""); a.Status != 200 {
				t.Errorf("zone %d: request on the added route: status %d, want 200", z, a.Status)
			}
			if a := s.Send(z, fmt.Sprint("removed-", z), false, "x"); a.Status != 404 {
				t.Errorf("zone %d: request on the removed route: status %d, want 404", z, a.Status)
			}
		}
	})
}

// Invalid requests get an error response or have their connection closed, and never reach a
// database. The service would report them there, since their ids are not among the expected ones.
func TestInvalidRequests(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		for _, c := range []struct {
			name, raw    string
			wantStatuses string // statuses, 0 for a close
		}{
			{"no request id", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\n\r\n", "400"},
			{"deadline is no number", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: soon\r\n\r\n", "400"},
			{"deadline of zero", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: 0\r\n\r\n", "400"},
			{"no matching route", "GET /else HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "404"},
			{"no host", "GET /safe/1 HTTP/1.1\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "400"},
			{"two Content-Length headers", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
			{"invalid chunked encoding", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400"},
			{"incomplete body", "POST /unsafe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Indigowalk-Deadline-Ms: 500\r\nContent-Length: 10\r\n\r\nab", "408"},
			{"CONNECT", "CONNECT intake.example:80 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\n\r\n", "400"},
			{"header too large", "GET /safe/1 HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: a\r\nX-Long: " + strings.Repeat("x", 300<<10) + "\r\n\r\n", "431 0"},
			{"not HTTP", "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", "400 0"},
		} {
			conn, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			a := standin.ExchangeRaw(conn, []byte(c.raw))
			conn.Close()
			if !strings.Contains(c.wantStatuses, fmt.Sprint(a.Status)) {
				t.Errorf("%s: status %d, want %s", c.name, a.Status, c.wantStatuses)
			}
		}
		if a := s.Send(1, "after", true, ""); a.Status != 200 {
			t.Errorf("a valid request after the invalid ones: status %d", a.Status)
		}
	})
}

// Requests need a known API key, except on public routes. Databases receive the name of the
// authenticated tenant, whatever the client's own header names, and never the key.
func TestTenantAuthentication(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		var configuration routeconfig.Configuration
		if err := json.Unmarshal(w.Configuration(2), &configuration); err != nil {
			t.Fatal(err)
		}
		for i := range configuration.Routes {
			configuration.Routes[i].Public = configuration.Routes[i].Prefix == "/unsafe/"
		}
		configuration.Tenants = []routeconfig.Tenant{{Name: "ann", Keys: []string{"key-a"}}}
		body, err := json.Marshal(configuration)
		if err != nil {
			t.Fatal(err)
		}
		w.WaitUntil("a configuration is accepted", 3*time.Second, func() bool { return w.Replace(1, 1, body) == 200 })
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
			s.ExpectRequest(id, c.method+" "+path+" ", true)
			conn, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			a := standin.ExchangeRaw(conn, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: %s\r\nX-Api-Key: %s\r\nX-Indigowalk-Tenant: root\r\n\r\n",
				c.method, path, s.Name, id, c.key))
			conn.Close()
			if a.Status != c.status {
				t.Errorf("%s with key %q: status %d", path, c.key, a.Status)
			}
			if c.status != 200 {
				continue
			}
			for z := range w.Zones() {
				for _, d := range []*Worker{s.DB(2 * z), s.DB(2*z + 1)} {
					if h := d.Header(); h.Get("X-Indigowalk-Request-Id") == id && (!slices.Equal(h["X-Indigowalk-Tenant"], c.tenant) || h["X-Api-Key"] != nil) {
						t.Errorf("%s: the database received tenant %q, key %q", path, h["X-Indigowalk-Tenant"], h["X-Api-Key"])
					}
				}
			}
		}
	})
}
