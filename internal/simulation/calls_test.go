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

// post makes one call at one control node.
func (w *World) post(zone int, path string, header map[string]string, body []byte) int {
	code, _ := w.Call(w.Net.Host("10.250.0.1"), "POST", ip(zone)+":8782", path, header, body)
	return code
}

// LEFT-STAYS: a database that has left stays away, though a late beat of it
// comes to a control node that has led for a moment only; its leaving sent again, and
// that of one that nobody knows, are acknowledged and change nothing.
func TestLeftStays(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		d := g.DB(2)
		g.Add("ledger-4", "10.4.64.9", "z4", "replica").SetReplicationStopped(false)
		time.Sleep(2 * time.Second)
		entry := func(id string) string {
			raw, err := w.Process("control", controlPrimary(w)).replica().Read("database/" + id)
			if err != nil {
				t.Fatal(err)
			}
			return string(raw)
		}
		beat := fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z3","slots":7,"status":"up","call_seq":1}`, d.Addr)
		leave := func(zone int, id string) int { return w.post(zone, "/Servers.Deregister/"+id, nil, nil) }
		d.Drain()
		time.Sleep(2 * time.Second)
		d.Crash(false)
		if code := leave(1, d.ID); code != 200 {
			t.Fatalf("its leaving: %d", code)
		}
		w.Until("it is forgotten", 10*time.Second, func() bool { return entry(d.ID) == "" })
		if code := leave(2, "never-heard"); code != 200 {
			t.Errorf("the leaving of one that nobody knows: %d", code)
		}
		z := controlPrimary(w)
		w.Process("control", z).Kill()
		w.Until("another primary", 5*time.Second, func() bool { return controlPrimary(w) != 0 })
		for _, id := range []string{d.ID, "never-heard"} {
			if code := w.post(controlPrimary(w), "/Servers.Heartbeat/"+id, nil, beat); code != 200 || entry(id) != "" {
				t.Errorf("a late beat of %s: %d, and it is listed as %s", id, code, entry(id))
			}
			for other := 1; other <= 4; other++ {
				if other == z {
					continue
				}
				w.Until("its leaving is acknowledged again", 3*time.Second, func() bool {
					code := leave(other, id)
					if code >= 400 && code < 500 {
						t.Errorf("its leaving again, at %d: %d", other, code)
					}
					return code == 200
				})
			}
		}
		w.Start("control", z, false)
	})
}

// LEFT-STAYS: a database that crashed and returned under a new id is not displaced by a late
// beat of a life before, however many lives ago, at the control node that heard them
// all nor at another; nor is one of another service at that address.
func TestLateBeatOfAnEarlierLife(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		d, first := g.DB(2), g.DB(2).ID
		late := func(id string) {
			t.Helper()
			beat := fmt.Appendf(nil, `{"svc":"ledger","address":%q,"zone":"z3","slots":6,"status":"up","call_seq":1}`, d.Addr)
			if code := w.post(controlPrimary(w), "/Servers.Heartbeat/"+id, nil, beat); code >= 400 && code < 500 {
				t.Errorf("a late beat of %s: %d", id, code)
			}
		}
		listed := func() (out []string) {
			state, err := w.Process("control", controlPrimary(w)).replica().Durable()
			if err != nil {
				t.Fatal(err)
			}
			for key, raw := range state.Entries {
				if strings.HasPrefix(key, "database/") && strings.Contains(string(raw), d.Addr) && !strings.Contains(string(raw), `"gone":true`) {
					out = append(out, strings.TrimPrefix(key, "database/"))
				}
			}
			return out
		}
		expect := func(id string) {
			t.Helper()
			w.Until("the newest life is listed", 5*time.Second, func() bool { return len(listed()) > 0 })
			if got := listed(); len(got) != 1 || got[0] != id {
				t.Errorf("listed at its address: %v, want %s", got, id)
			}
		}
		for _, id := range []string{"second", "third"} {
			d.Crash(false)
			time.Sleep(time.Second)
			d.Return(id)
			time.Sleep(5 * time.Second)
		}
		late(first)
		expect("third")
		w.Process("control", controlPrimary(w)).Kill()
		w.Until("another primary", 5*time.Second, func() bool { return controlPrimary(w) != 0 })
		late(first)
		late("second")
		expect("third")
		d.Crash(false)
		other := fmt.Appendf(nil, `{"svc":"lookup","address":%q,"zone":"z3","slots":7,"status":"up","call_seq":9}`, d.Addr)
		w.Until("another's beat is taken", 3*time.Second, func() bool {
			return w.post(controlPrimary(w), "/Servers.Heartbeat/other", nil, other) == 200
		})
		late("third")
		expect("other")
	})
}

// What a call with an order gets that is not as the page has it, or has no
// primary that could take it.
func TestCallsWithOrders(t *testing.T) {
	core(t, 4, 1, func(w *World, g *Group) {
		base := func(text string) map[string]string { return map[string]string{"X-Indigowalk-Base-Version": text} }
		z := controlPrimary(w)
		counted := func(name string) int64 { return w.Process("control", z).Kernel.Counters.Snapshot()[name] }
		for _, c := range []struct {
			what   string
			header map[string]string
			body   []byte
			want   int
		}{
			{"no version", nil, w.Configuration(3), 400},
			{"no number", base("one"), w.Configuration(3), 400},
			{"below the first", base("-1"), w.Configuration(3), 400},
			{"blanks around it", base(" 1 "), w.Configuration(2), 200},
			{"too large", base("2"), append(w.Configuration(3), make([]byte, routeconfig.MaxBody)...), 413},
			{"cut off", base("2"), w.Configuration(3)[:99], 400},
			{"9000 routes", base("2"), many(3, 9000), 200},
			{"9000 routes again", base("2"), many(3, 9000), 200},
			{"one on the version before", base("2"), w.Configuration(3), 412},
		} {
			if code := w.post(z, "/Conf.Replace", c.header, c.body); code != c.want {
				t.Errorf("%s: %d, want %d", c.what, code, c.want)
			}
		}

		// A body that never comes says nothing of the order.
		conn, err := w.Net.Host("10.250.0.1").Dial(context.Background(), ip(z)+":8782", 0)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(conn, "POST /Conf.Replace HTTP/1.1\r\nHost: x\r\nX-Indigowalk-Base-Version: 2\r\nContent-Length: 999\r\n\r\n{\"rev\":3,")
		if text := all(conn); !strings.HasPrefix(text, "HTTP/1.1 408") {
			t.Errorf("a body that stops: %q", text)
		}

		// Eight operators at once under one number, then one order eight times.
		at := func(body func(i int) []byte) map[int]int {
			codes, got := make(chan int), map[int]int{}
			for i := range 8 {
				go func() { codes <- w.post(1+i%4, "/Conf.Replace", base("3"), body(i)) }()
			}
			for range 8 {
				got[<-codes]++
			}
			return got
		}
		for name, want := range map[string]int64{"controlapi.answered_400": 4, "controlapi.answered_408": 1, "controlapi.answered_412": 1, "controlapi.answered_413": 1} {
			if got := counted(name); got != want {
				t.Errorf("counted %d of %s, want %d", got, name, want)
			}
		}
		taken, lost, again := counted("routeconfig.taken"), counted("routeconfig.lost_race"), counted("routeconfig.taken_before")
		if got := at(func(i int) []byte { return many(4, 3+i) }); got[200] != 1 || got[412] != 7 {
			t.Errorf("eight orders under one number: %v", got)
		}
		routes := 0
		for i := range 8 {
			if w.post(z, "/Conf.Replace", base("3"), many(4, 3+i)) == 200 {
				routes = 3 + i
			}
		}
		if got := at(func(int) []byte { return many(4, routes) }); got[200] != 8 {
			t.Errorf("one order eight times: %v", got)
		}
		if taken, lost, again = counted("routeconfig.taken")-taken, counted("routeconfig.lost_race")-lost, counted("routeconfig.taken_before")-again; taken != 1 || lost != 14 || again != 9 {
			t.Errorf("counted %d taken, %d lost, %d taken before", taken, lost, again)
		}

		// Without the others the primary itself takes nothing and refuses nothing;
		// it may send the caller on.
		here := func(path string, header map[string]string, body []byte) int {
			code, _ := standin.CallFollowing(w.Net.Host("10.250.0.1"), 0, "POST", ip(z)+":8782", path, header, body)
			return code
		}
		for other := 1; other <= 4; other++ {
			if other != z {
				w.Net.Cut(ip(z), ip(other), true)
			}
		}
		for range 3 {
			if code := here("/Conf.Replace", base("4"), many(5, 3)); code != 503 && code != 0 && code != 307 {
				t.Errorf("while cut off: %d", code)
			}
			if code := here("/Servers.Deregister/nobody", nil, nil); code != 503 && code != 0 && code != 307 {
				t.Errorf("a leaving while cut off: %d", code)
			}
		}
		w.Net.Heal()
		w.Until("it is taken", 5*time.Second, func() bool {
			code := w.post(z, "/Conf.Replace", base("4"), many(5, 3))
			if code >= 400 && code < 500 {
				t.Errorf("after the cut: %d", code)
			}
			return code == 200
		})
	})
}

// many is a configuration of so many routes.
func many(rev int64, routes int) []byte {
	o := history.Order{Rev: rev, Routes: map[string]int64{}}
	for i := range routes {
		o.Routes[fmt.Sprintf("route-%05d.example", i)] = 2000
	}
	return o.Body(ledgerFrame)
}

// all reads what a connection brings in fifteen seconds.
func all(c net.Conn) string {
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(15 * time.Second))
	raw, _ := io.ReadAll(c)
	return string(raw)
}
