package simulation

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/standin"
)

// postToControl makes one POST call to a zone's control node and returns the status.
func (w *World) postToControl(zone int, path string, header map[string]string, body []byte) int {
	code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(zone)+":8782", path, header, body)
	return code
}

// A deregistered database is not registered again by a delayed heartbeat, even at a control node
// that has only just become primary. Deregistering it again, or deregistering an unknown database,
// is acknowledged and changes nothing.
func TestDeregisteredDatabaseStaysDeregistered(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		database := g.DB(2)
		g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
		time.Sleep(2 * time.Second)
		entry := func(id string) string {
			raw, err := w.Process("control", controlPrimaryZone(w)).replica().Read("database/" + id)
			if err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
		heartbeat := fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z3","slots":7,"status":"up","call_seq":1}`, database.Addr)
		deregister := func(zone int, id string) int { return w.postToControl(zone, "/Servers.Deregister/"+id, nil, nil) }
		database.Drain()
		time.Sleep(2 * time.Second)
		database.Crash(false)
		if code := deregister(1, database.ID); code != 200 {
			t.Fatalf("deregistration: status %d, want 200", code)
		}
		w.WaitUntil("the database is removed", 10*time.Second, func() bool { return entry(database.ID) == "" })
		if code := deregister(2, "unknown"); code != 200 {
			t.Errorf("deregistration of an unknown database: status %d, want 200", code)
		}
		oldPrimaryZone := controlPrimaryZone(w)
		w.Process("control", oldPrimaryZone).Kill()
		w.WaitUntil("another control node becomes primary", 5*time.Second, func() bool { return controlPrimaryZone(w) != 0 })
		for _, id := range []string{database.ID, "unknown"} {
			if code := w.postToControl(controlPrimaryZone(w), "/Servers.Heartbeat/"+id, nil, heartbeat); code != 200 || entry(id) != "" {
				t.Errorf("delayed heartbeat of %s: status %d, want 200; its entry is %s, want none", id, code, entry(id))
			}
			for other := 1; other <= 4; other++ {
				if other == oldPrimaryZone {
					continue
				}
				w.WaitUntil("the repeated deregistration is acknowledged", 3*time.Second, func() bool {
					code := deregister(other, id)
					if code >= 400 && code < 500 {
						t.Errorf("repeated deregistration at control node %d: status %d", other, code)
					}
					return code == 200
				})
			}
		}
		w.Start("control", oldPrimaryZone, false)
	})
}

// A database that crashed and returned under a new ID is not displaced by a delayed heartbeat of
// any earlier incarnation, neither at the control node that received all of them nor at another.
// The same holds for a database of another service at that address.
func TestDelayedHeartbeatOfEarlierIncarnation(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		database, firstID := g.DB(2), g.DB(2).ID
		sendDelayed := func(id string) {
			t.Helper()
			heartbeat := fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z3","slots":6,"status":"up","call_seq":1}`, database.Addr)
			if code := w.postToControl(controlPrimaryZone(w), "/Servers.Heartbeat/"+id, nil, heartbeat); code >= 400 && code < 500 {
				t.Errorf("delayed heartbeat of %s: status %d", id, code)
			}
		}
		listedIDs := func() (ids []string) {
			state, err := w.Process("control", controlPrimaryZone(w)).replica().DurableState()
			if err != nil {
				t.Fatal(err)
			}
			for key, raw := range state.Entries {
				if strings.HasPrefix(key, "database/") && strings.Contains(string(raw), database.Addr) && !strings.Contains(string(raw), `"gone":true`) {
					ids = append(ids, strings.TrimPrefix(key, "database/"))
				}
			}
			return ids
		}
		expectListed := func(id string) {
			t.Helper()
			w.WaitUntil("a database is listed at the address", 5*time.Second, func() bool { return len(listedIDs()) > 0 })
			if got := listedIDs(); len(got) != 1 || got[0] != id {
				t.Errorf("databases listed at the address: %v, want %s alone", got, id)
			}
		}
		for _, id := range []string{"second", "third"} {
			database.Crash(false)
			time.Sleep(time.Second)
			database.Restart(id)
			time.Sleep(5 * time.Second)
		}
		sendDelayed(firstID)
		expectListed("third")
		w.Process("control", controlPrimaryZone(w)).Kill()
		w.WaitUntil("another control node becomes primary", 5*time.Second, func() bool { return controlPrimaryZone(w) != 0 })
		sendDelayed(firstID)
		sendDelayed("second")
		expectListed("third")
		database.Crash(false)
		w.Groups["lookup"] = &Group{standin.NewGroup(environment{w}, "lookup"), w}
		w.Groups["lookup"].Add("other", database.IP, "z3", "primary")
		otherService := fmt.Appendf(nil, `{"svc":"lookup","address":%q,"zone":"z3","slots":7,"status":"up","call_seq":9}`, database.Addr)
		w.WaitUntil("the heartbeat of another service's database is acknowledged", 3*time.Second, func() bool {
			return w.postToControl(controlPrimaryZone(w), "/Servers.Heartbeat/other", nil, otherService) == 200
		})
		sendDelayed("third")
		expectListed("other")
	})
}

// Checks the status of Conf.Replace calls that are malformed, based on an outdated version,
// concurrent or repeated, and of calls while no control node can act as primary.
func TestConfigurationReplaceCalls(t *testing.T) {
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		baseVersion := func(text string) map[string]string { return map[string]string{"X-Indigowalk-Base-Version": text} }
		primaryZone := controlPrimaryZone(w)
		counter := func(name string) int64 { return w.Process("control", primaryZone).Kernel.Counters.Snapshot()[name] }
		for _, c := range []struct {
			name   string
			header map[string]string
			body   []byte
			want   int
		}{
			{"no version", nil, w.Configuration(3), 400},
			{"version is not a number", baseVersion("one"), w.Configuration(3), 400},
			{"negative version", baseVersion("-1"), w.Configuration(3), 400},
			{"spaces around the version", baseVersion(" 1 "), w.Configuration(2), 200},
			{"body too large", baseVersion("2"), append(w.Configuration(3), make([]byte, routeconfig.MaxConfigBytes)...), 413},
			{"truncated body", baseVersion("2"), w.Configuration(3)[:99], 400},
			{"9000 routes", baseVersion("2"), configurationWithRoutes(3, 9000), 200},
			{"9000 routes, sent again", baseVersion("2"), configurationWithRoutes(3, 9000), 200},
			{"based on an outdated version", baseVersion("2"), w.Configuration(3), 412},
		} {
			if code := w.postToControl(primaryZone, "/Conf.Replace", c.header, c.body); code != c.want {
				t.Errorf("%s: status %d, want %d", c.name, code, c.want)
			}
		}

		// A body that never arrives is answered with 408, which does not say whether the change is
		// accepted or rejected.
		conn, err := w.Net.Host("10.250.0.1").Dial(context.Background(), ip(primaryZone)+":8782", 0)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /Conf.Replace HTTP/1.1\r\nHost: x\r\nX-Indigowalk-Base-Version: 2\r\nContent-Length: 999\r\n\r\n{\"rev\":3,")
		if text := readAll(conn); !strings.HasPrefix(text, "HTTP/1.1 408") {
			t.Errorf("a body that stalls was answered with %q, want 408", text)
		}

		// Eight concurrent changes based on one version, then one change sent eight times.
		replaceConcurrently := func(body func(i int) []byte) map[int]int {
			codes, got := make(chan int), map[int]int{}
			for i := range 8 {
				go func() { codes <- w.postToControl(1+i%4, "/Conf.Replace", baseVersion("3"), body(i)) }()
			}
			for range 8 {
				got[<-codes]++
			}
			return got
		}
		for name, want := range map[string]int64{"controlapi.answered_400": 4, "controlapi.answered_408": 1, "controlapi.answered_412": 1, "controlapi.answered_413": 1} {
			if got := counter(name); got != want {
				t.Errorf("got %d for counter %s, want %d", got, name, want)
			}
		}
		taken, lostRace, takenBefore := counter("routeconfig.taken"), counter("routeconfig.lost_race"), counter("routeconfig.taken_before")
		if got := replaceConcurrently(func(i int) []byte { return configurationWithRoutes(4, 3+i) }); got[200] != 1 || got[412] != 7 {
			t.Errorf("eight changes based on one version: counts by status are %v, want one 200 and seven 412", got)
		}
		routes := 0
		for i := range 8 {
			if w.postToControl(primaryZone, "/Conf.Replace", baseVersion("3"), configurationWithRoutes(4, 3+i)) == 200 {
				routes = 3 + i
			}
		}
		if got := replaceConcurrently(func(int) []byte { return configurationWithRoutes(4, routes) }); got[200] != 8 {
			t.Errorf("one change sent eight times: counts by status are %v, want eight 200", got)
		}
		if taken, lostRace, takenBefore = counter("routeconfig.taken")-taken, counter("routeconfig.lost_race")-lostRace, counter("routeconfig.taken_before")-takenBefore; taken != 1 || lostRace != 14 || takenBefore != 9 {
			t.Errorf("counted %d changes taken, %d that lost the race and %d taken before, want 1, 14 and 9", taken, lostRace, takenBefore)
		}

		// While it is partitioned from the other control nodes, the primary neither accepts nor
		// rejects a change; it may redirect the caller.
		postWithoutRedirects := func(path string, header map[string]string, body []byte) int {
			code, _ := standin.CallFollowing(w.Net.Host("10.250.0.1"), 0, "POST", ip(primaryZone)+":8782", path, header, body)
			return code
		}
		for other := 1; other <= 4; other++ {
			if other != primaryZone {
				w.Net.SetPartitioned(ip(primaryZone), ip(other), true)
			}
		}
		for range 3 {
			if code := postWithoutRedirects("/Conf.Replace", baseVersion("4"), configurationWithRoutes(5, 3)); code != 503 && code != 0 && code != 307 {
				t.Errorf("a change at the partitioned primary: status %d", code)
			}
			if code := postWithoutRedirects("/Servers.Deregister/unknown", nil, nil); code != 503 && code != 0 && code != 307 {
				t.Errorf("a deregistration at the partitioned primary: status %d", code)
			}
		}
		w.Net.Heal()
		w.WaitUntil("the change is acknowledged after the partition", 5*time.Second, func() bool {
			code := w.postToControl(primaryZone, "/Conf.Replace", baseVersion("4"), configurationWithRoutes(5, 3))
			if code >= 400 && code < 500 {
				t.Errorf("a change after the partition: status %d", code)
			}
			return code == 200
		})
	})
}

// configurationWithRoutes returns a configuration with the given number of routes.
func configurationWithRoutes(rev int64, routes int) []byte {
	order := history.Order{Rev: rev, Routes: map[string]int64{}}
	for i := range routes {
		order.Routes[fmt.Sprintf("route-%05d.example", i)] = 2000
	}
	return order.Body(ledgerTemplate)
}

// readAll reads from a connection until its end, for 15 s at most, and closes it.
func readAll(conn net.Conn) string {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(15 * time.Second))
	raw, _ := io.ReadAll(conn)
	return string(raw)
}
