package simulation

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"testing"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/rpc"
	"indigowalk/internal/standin"
	"indigowalk/internal/tools"
)

func TestSlowReplicaIsNotDown(t *testing.T) {
	play(t, func(w *World, g *Group) {
		l := under(w, g, func() {
			g.DB(1).Slow(1500 * time.Millisecond)
			time.Sleep(6 * time.Second)
			for z := 1; z <= 4; z++ {
				if h := kernel.Need[*health.Monitor](w.Process("pooler", z).Kernel); !h.Up(g.DB(1).ID) {
					t.Errorf("pooler %d holds the slow replica as down", z)
				}
			}
			g.DB(1).Slow(0)
		})
		served(t, l, 2*time.Second)
	})
}

// A lost answer keeps its connection open: a read is sent once more, a write
// stays unknown and is not.
func TestLostAnswers(t *testing.T) {
	play(t, func(w *World, g *Group) {
		s, _ := w.Login(2, "p.ledger")
		defer s.Close()
		for range 20 {
			s.Query("FETCH k")
		}
		g.Primary().Lose(1)
		start := time.Now()
		if a, _ := s.Query("FETCH k"); a.Code != "" || time.Since(start) > 300*time.Millisecond {
			t.Errorf("a read whose answer was lost: %q after %v", a.Code, time.Since(start))
		}
		g.Primary().Lose(1)
		if a, _ := s.Query("PUT k 1"); a.Code != lineprotocol.Unknown {
			t.Errorf("a write whose answer was lost: %q", a.Code)
		}
		if a, _ := s.Query("FETCH k"); standin.Row(a) != "1" {
			t.Errorf("the write that ran shows as %s", a.Rows)
		}
	})
}

// A release right after the control nodes changed hands must not wait for leases
// that poolers have acknowledged leaving.
func TestReleaseAfterHandOver(t *testing.T) {
	play(t, func(w *World, g *Group) {
		old := g.Primary()
		l := under(w, g, func() {
			z := controlPrimary(w)
			go func() {
				time.Sleep(300 * time.Millisecond)
				old.Drain()
			}()
			w.Process("control", z).Term()
			w.Start("control", z, false)
			w.Until("the next lead", 3*time.Second, func() bool { l := g.Primary(); return l != nil && l != old })
		})
		served(t, l, 1500*time.Millisecond)
	})
}

// A platform that is over its rate, down, silent, or says that the database
// does not run, holds a move up and does not break it.
func TestPlatformRefuses(t *testing.T) {
	play(t, func(w *World, g *Group) {
		old := g.Primary()
		l := under(w, g, func() {
			w.Refuse(429, 503, 0, 409)
			old.Crash(false)
			w.Until("the next lead", 8*time.Second, func() bool { l := g.Primary(); return l != nil && l != old })
		})
		served(t, l, 6*time.Second)
		if n := w.Calls(); n < 5 || n > 8 {
			t.Errorf("%d calls to the platform", n)
		}
	})
}

// What a faulty peer sends is counted and dropped.
func TestFaultyPeer(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		k := w.Process("control", z).Kernel
		host := w.Net.Host("10.250.0.9")
		for _, text := range []string{"{\n", `{"id":1,"op":"nothing"}` + "\n"} {
			c, err := host.Dial(context.Background(), ip(z)+":7440", 0)
			if err != nil {
				t.Fatal(err)
			}
			c.Write([]byte(text))
			if n, err := c.Read(make([]byte, 1)); err == nil {
				t.Errorf("%q was answered with %d bytes", text, n)
			}
			c.Close()
		}
		u, err := host.ListenPacket("10.250.0.9:7440")
		if err != nil {
			t.Fatal(err)
		}
		u.WriteTo([]byte("noise"), address(ip(z)+":7440"))
		u.WriteTo([]byte(`{"k":"fault","f":"10.250.0.9:7440","b":7}`), address(ip(z)+":7440"))
		u.Close()

		b := rpc.NewEndpoint(kernel.NewKernel("peer", host, slog.New(slog.DiscardHandler)), "10.250.0.9:7440")
		defer b.CloseConnections()
		stranger := controlstate.Member{Name: "stranger", Addr: "10.250.0.9:7440", Disk: "foreign"}
		for op, ask := range map[string]any{
			"controlstate.write": map[string]any{"epoch": 0, "seq": 1, "changes": map[string]any{"configuration": nil}},
			"controlstate.copy":  map[string]any{"epoch": 99, "seq": 9},
			"distribution.poll":  map[string]any{"pooler": "", "life": 0},
		} {
			var refused *rpc.Refused
			if err := b.Call(context.Background(), ip(z)+":7440", op, ask, nil, kernel.Second); !errors.As(err, &refused) {
				t.Errorf("%s: %v", op, err)
			}
		}
		var renewed struct{ Granted bool }
		old := controlstate.View{Epoch: 0, Primary: stranger, Backups: []controlstate.Member{stranger}}
		if err := b.Call(context.Background(), ip(z)+":7440", "controlstate.renew", map[string]any{"view": old}, &renewed, kernel.Second); err != nil || renewed.Granted {
			t.Errorf("a stranger's lease: %v %v", renewed, err)
		}
		time.Sleep(time.Second)
		n := k.Counters.Snapshot()
		for _, c := range []string{"rpc.malformed", "membership.malformed", "health.malformed", "distribution.malformed", "controlstate.old_epoch_refused"} {
			if n[c] == 0 {
				t.Errorf("%s is not counted", c)
			}
		}
		if controlPrimary(w) != z || w.Fetch() != 1 {
			t.Error("a stranger changed the control state")
		}
	})
}

func TestBadInput(t *testing.T) {
	play(t, func(w *World, g *Group) {
		for _, c := range []struct{ text, code, state string }{
			{"WAITPOS 1.1 FETCH x", lineprotocol.Malformed, "I"},
			{"STAT", lineprotocol.Malformed, "I"},
			{"FETCH", lineprotocol.Malformed, "I"},
			{"RUN nobody x", lineprotocol.NoSuch, "I"},
			{"CLOSE nobody", lineprotocol.NoSuch, "I"},
			{"COMMIT", lineprotocol.Malformed, "I"},
			{"PARSE a DROP x", lineprotocol.Malformed, "I"},
			{"PUT x 1", "", "I"},
		} {
			s, _ := w.Login(1, "p.ledger")
			if a, _ := s.Query(c.text); a.Code != c.code || s.State != c.state {
				t.Errorf("%q: %q in state %s", c.text, a.Code, s.State)
			}
			s.Close()
		}
		if _, code := w.Login(1, "nowhere"); code != lineprotocol.NoDB {
			t.Errorf("an unknown database: %q", code)
		}
		for _, c := range []struct{ sent, code string }{
			{"QUERY 1 PUT x " + strings.Repeat("y", 1<<20) + "\r\n", lineprotocol.Oversize},
			{"QUERY 1 FETCH x\n", lineprotocol.Malformed},
		} {
			s, _ := w.Login(1, "p.ledger")
			s.Send([]byte(c.sent))
			if line, err := s.Line(); err != nil || !strings.HasPrefix(line, "ERROR "+c.code) {
				t.Errorf("%.20q: %s %v", c.sent, line, err)
			}
			s.Close()
		}
	})
}

// Names and values that clash between clients, split and pipelined input, and
// transactions that rest too long.
func TestSessions(t *testing.T) {
	play(t, func(w *World, g *Group) {
		a, _ := w.Login(1, "p.ledger")
		b, _ := w.Login(1, "p.ledger")
		a.Query("OPTION colour red")
		b.Query("OPTION colour blue")
		a.Query("PARSE s PUT q")
		b.Query("PARSE s FETCH q")
		for i := range 20 {
			if x, _ := a.Query(fmt.Sprintf("RUN s thing %d", i)); x.Code != "" {
				t.Fatalf("RUN of a PUT: %s", x.Code)
			}
			if x, _ := b.Query("RUN s thing"); standin.Row(x) != strconv.Itoa(i) || !strings.Contains(string(x.Rows), "1:blue") {
				t.Fatalf("RUN of a FETCH: %s %s", x.Code, x.Rows)
			}
		}
		a.Send([]byte("QUERY 1 PUT k 1\r\nQUERY 2 FET"))
		first := a.Answer()
		a.Send([]byte("CH k\r\n"))
		if second := a.Answer(); first.Code != "" || standin.Row(second) != "1" {
			t.Errorf("pipelined and split: %v %v", first, second)
		}
		a.Query("BEGIN")
		a.Query("PUT k 2")
		if x, _ := b.Query("FETCH k"); standin.Row(x) != "1" {
			t.Errorf("an open transaction shows: %s", x.Rows)
		}
		time.Sleep(4 * time.Second)
		if x, _ := a.Query("COMMIT"); x.Code != lineprotocol.RolledBack || a.State != "I" {
			t.Errorf("after a long rest: %s in state %s", x.Code, a.State)
		}
		if x, _ := b.Query("FETCH k"); standin.Row(x) != "1" {
			t.Errorf("a rolled-back transaction shows: %s", x.Rows)
		}
		a.Close()
		b.Close()
	})
}

// The tools ask a running system: status sees all of it, plans name who
// follows, and what is missing is said.
func TestStatusAndPlan(t *testing.T) {
	play(t, func(w *World, g *Group) {
		z := controlPrimary(w)
		host := w.Net.Host("10.250.0.9")
		sys := tools.CollectReports(context.Background(), host, []string{ip(z) + ":7440"}, true)
		if len(sys.Reports) != 8 || len(sys.Missing) != 0 || sys.Primary() == nil {
			t.Fatalf("%d reports, %v missing", len(sys.Reports), sys.Missing)
		}
		says := func(all bool, only string) string {
			var text strings.Builder
			sys.Print(&text, all, only)
			return text.String()
		}
		if text := says(true, ""); !strings.Contains(text, "database ledger-1 of ledger in z1: primary, lead") {
			t.Errorf("status says:\n%s", text)
		}
		if text := says(false, ""); strings.Contains(text, "database ledger-1") || !strings.Contains(text, "databases: 3 of 1 services, 1 with a lead; 0 down") ||
			!strings.Contains(text, "poolers: 4 asked, 4 as most are, 0 differ") {
			t.Errorf("in short:\n%s", text)
		}
		if text := says(false, "pooler-2"); !strings.Contains(text, "pooler pooler-2 in z2") || strings.Contains(text, "pooler-3") {
			t.Errorf("of one pooler:\n%s", text)
		}
		p, err := sys.MakePlan("release", "ledger-1", nil)
		if err != nil || len(p.Warnings) != 0 || !strings.Contains(p.Effects[0], "[ledger-2 ledger-3]") || p.Headroom["ledger"] != 14 || p.Conns["ledger"] != 20 {
			t.Errorf("release: %+v %v", p, err)
		}
		p, err = sys.MakePlan("lose", fmt.Sprintf("control-%d", z), nil)
		if err != nil || !strings.Contains(strings.Join(p.Effects, "\n"), "takes over") || !strings.HasSuffix(p.Restart[7], fmt.Sprintf("control-%d", z)) {
			t.Errorf("loss: %+v %v", p, err)
		}
		p, err = sys.MakePlan("grow", "40", nil)
		if err != nil || p.Conns["ledger"] != 2 || len(p.Warnings) != 0 || !strings.Contains(strings.Join(p.Effects, "\n"), "44 members") {
			t.Errorf("40 poolers: %+v %v", p, err)
		}
		if p, err = sys.MakePlan("grow", "91", nil); err != nil || len(p.Warnings) != 1 {
			t.Errorf("91 poolers on 90 connections: %+v %v", p, err)
		}
		if _, err := sys.MakePlan("drain", "nothing", nil); err == nil {
			t.Error("a drain of an unknown database was planned")
		}
		w.Process("pooler", 2).Kill()
		sys = tools.CollectReports(context.Background(), host, []string{ip(z) + ":7440"}, true)
		if len(sys.Reports) != 7 || len(sys.Missing) != 1 {
			t.Errorf("with a pooler gone: %d reports, %v missing", len(sys.Reports), sys.Missing)
		}
	})
}
