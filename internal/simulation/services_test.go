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
	withCluster(t, func(w *World, g *Group) {
		load := withLoad(w, g, func() {
			g.DB(1).SetExtraLatency(1500 * time.Millisecond)
			time.Sleep(6 * time.Second)
			for z := 1; z <= 4; z++ {
				if monitor := kernel.Need[*health.Monitor](w.Process("pooler", z).Kernel); !monitor.Up(g.DB(1).ID) {
					t.Errorf("pooler %d considers the slow replica down", z)
				}
			}
			g.DB(1).SetExtraLatency(0)
		})
		checkWritesServed(t, load, 2*time.Second)
	})
}

// An answer is lost while its connection stays open: a read is sent again; a write is not, and its
// outcome is reported as unknown.
func TestLostAnswers(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		session, _ := w.Login(2, "p.ledger")
		defer session.Close()
		for range 20 {
			session.Query("FETCH k")
		}
		g.Primary().DropAnswers(1)
		start := time.Now()
		if answer, _ := session.Query("FETCH k"); answer.Code != "" || time.Since(start) > 300*time.Millisecond {
			t.Errorf("read whose answer was lost: %q after %v", answer.Code, time.Since(start))
		}
		g.Primary().DropAnswers(1)
		if answer, _ := session.Query("PUT k 1"); answer.Code != lineprotocol.Unknown {
			t.Errorf("write whose answer was lost: %q", answer.Code)
		}
		if answer, _ := session.Query("FETCH k"); standin.Row(answer) != "1" {
			t.Errorf("read after the write whose answer was lost: %s", answer.Rows)
		}
	})
}

// A primary that drains right after a handover between control nodes must be replaced without
// waiting for leases that poolers have acknowledged giving up.
func TestDrainAfterControlHandover(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		oldPrimary := g.Primary()
		load := withLoad(w, g, func() {
			primaryZone := controlPrimaryZone(w)
			go func() {
				time.Sleep(300 * time.Millisecond)
				oldPrimary.Drain()
			}()
			w.Process("control", primaryZone).Terminate()
			w.Start("control", primaryZone, false)
			w.WaitUntil("a new primary is promoted", 3*time.Second, func() bool { p := g.Primary(); return p != nil && p != oldPrimary })
		})
		checkWritesServed(t, load, 1500*time.Millisecond)
	})
}

// A platform that enforces its rate limit, is unavailable, does not respond, or reports that the
// database is not running delays a failover but does not abort it.
func TestPlatformErrorsDelayFailover(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		oldPrimary := g.Primary()
		load := withLoad(w, g, func() {
			w.RefusePlatformCalls(429, 503, 0, 409)
			oldPrimary.Crash(false)
			w.WaitUntil("a new primary is promoted", 8*time.Second, func() bool { p := g.Primary(); return p != nil && p != oldPrimary })
		})
		checkWritesServed(t, load, 6*time.Second)
		if calls := w.PlatformCalls(); calls < 5 || calls > 8 {
			t.Errorf("%d calls to the platform, want 5 to 8", calls)
		}
	})
}

// Malformed or unauthorized messages of a peer are counted and dropped.
func TestFaultyPeer(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primaryZone := controlPrimaryZone(w)
		controlKernel := w.Process("control", primaryZone).Kernel
		host := w.Net.Host("10.250.0.9")
		for _, message := range []string{"{\n", `{"id":1,"op":"nothing"}` + "\n"} {
			conn, err := host.Dial(context.Background(), ip(primaryZone)+":7440", 0)
			if err != nil {
				t.Fatal(err)
			}
			conn.Write([]byte(message))
			if n, err := conn.Read(make([]byte, 1)); err == nil {
				t.Errorf("message %q of a faulty peer got a response of %d bytes", message, n)
			}
			conn.Close()
		}
		datagrams, err := host.ListenPacket("10.250.0.9:7440")
		if err != nil {
			t.Fatal(err)
		}
		datagrams.WriteTo([]byte("not a message"), address(ip(primaryZone)+":7440"))
		datagrams.WriteTo([]byte(`{"k":"fault","f":"10.250.0.9:7440","b":7}`), address(ip(primaryZone)+":7440"))
		datagrams.Close()

		endpoint := rpc.NewEndpoint(kernel.NewKernel("peer", host, slog.New(slog.DiscardHandler)), "10.250.0.9:7440")
		defer endpoint.CloseConnections()
		unknownMember := controlstate.Member{Name: "unknown", Addr: "10.250.0.9:7440", Disk: "foreign"}
		for op, request := range map[string]any{
			"controlstate.write": map[string]any{"epoch": 0, "seq": 1, "changes": map[string]any{"configuration": nil}},
			"controlstate.copy":  map[string]any{"epoch": 99, "seq": 9},
			"distribution.poll":  map[string]any{"pooler": "", "life": 0},
		} {
			var refused *rpc.Refused
			if err := endpoint.Call(context.Background(), ip(primaryZone)+":7440", op, request, nil, kernel.Second); !errors.As(err, &refused) {
				t.Errorf("%s: %v", op, err)
			}
		}
		var response struct{ Granted bool }
		oldView := controlstate.View{Epoch: 0, Primary: unknownMember, Backups: []controlstate.Member{unknownMember}}
		if err := endpoint.Call(context.Background(), ip(primaryZone)+":7440", "controlstate.renew", map[string]any{"view": oldView}, &response, kernel.Second); err != nil || response.Granted {
			t.Errorf("lease renewal for an unknown node: %v %v", response, err)
		}
		time.Sleep(time.Second)
		counters := controlKernel.Counters.Snapshot()
		for _, counter := range []string{"rpc.malformed", "membership.malformed", "health.malformed", "distribution.malformed", "controlstate.old_epoch_refused"} {
			if counters[counter] == 0 {
				t.Errorf("counter %s is 0", counter)
			}
		}
		if controlPrimaryZone(w) != primaryZone || w.FetchVersion() != 1 {
			t.Error("an unknown node changed the control state")
		}
	})
}

func TestInvalidClientInput(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		for _, c := range []struct{ text, code, state string }{
			{"WAITPOS 1.1 FETCH x", lineprotocol.Malformed, "I"},
			{"STAT", lineprotocol.Malformed, "I"},
			{"FETCH", lineprotocol.Malformed, "I"},
			{"RUN unknown x", lineprotocol.NoSuch, "I"},
			{"CLOSE unknown", lineprotocol.NoSuch, "I"},
			{"COMMIT", lineprotocol.Malformed, "I"},
			{"PARSE a DROP x", lineprotocol.Malformed, "I"},
			{"PUT x 1", "", "I"},
		} {
			session, _ := w.Login(1, "p.ledger")
			if answer, _ := session.Query(c.text); answer.Code != c.code || session.State != c.state {
				t.Errorf("%q: %q in state %s", c.text, answer.Code, session.State)
			}
			session.Close()
		}
		if _, code := w.Login(1, "nowhere"); code != lineprotocol.NoDB {
			t.Errorf("login to an unknown database: %q", code)
		}
		for _, c := range []struct{ sent, code string }{
			{"QUERY 1 PUT x " + strings.Repeat("y", 1<<20) + "\r\n", lineprotocol.Oversize},
			{"QUERY 1 FETCH x\n", lineprotocol.Malformed},
		} {
			session, _ := w.Login(1, "p.ledger")
			session.Send([]byte(c.sent))
			if line, err := session.Line(); err != nil || !strings.HasPrefix(line, "ERROR "+c.code) {
				t.Errorf("%.20q: %s %v", c.sent, line, err)
			}
			session.Close()
		}
	})
}

// Prepared statements and options with the same name in two sessions, split and pipelined input,
// and transactions that stay idle too long.
func TestSessions(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		redSession, _ := w.Login(1, "p.ledger")
		blueSession, _ := w.Login(1, "p.ledger")
		redSession.Query("OPTION colour red")
		blueSession.Query("OPTION colour blue")
		redSession.Query("PARSE s PUT q")
		blueSession.Query("PARSE s FETCH q")
		for i := range 20 {
			if answer, _ := redSession.Query(fmt.Sprintf("RUN s thing %d", i)); answer.Code != "" {
				t.Fatalf("RUN of a PUT: %s", answer.Code)
			}
			if answer, _ := blueSession.Query("RUN s thing"); standin.Row(answer) != strconv.Itoa(i) || !strings.Contains(string(answer.Rows), "1:blue") {
				t.Fatalf("RUN of a FETCH: %s %s", answer.Code, answer.Rows)
			}
		}
		redSession.Send([]byte("QUERY 1 PUT k 1\r\nQUERY 2 FET"))
		first := redSession.Answer()
		redSession.Send([]byte("CH k\r\n"))
		if second := redSession.Answer(); first.Code != "" || standin.Row(second) != "1" {
			t.Errorf("pipelined and split: %v %v", first, second)
		}
		redSession.Query("BEGIN")
		redSession.Query("PUT k 2")
		if answer, _ := blueSession.Query("FETCH k"); standin.Row(answer) != "1" {
			t.Errorf("an open transaction is visible to another session: %s", answer.Rows)
		}
		time.Sleep(4 * time.Second)
		if answer, _ := redSession.Query("COMMIT"); answer.Code != lineprotocol.RolledBack || redSession.State != "I" {
			t.Errorf("COMMIT of a transaction that was idle too long: %s in state %s", answer.Code, redSession.State)
		}
		if answer, _ := blueSession.Query("FETCH k"); standin.Row(answer) != "1" {
			t.Errorf("a rolled-back transaction is visible: %s", answer.Rows)
		}
		redSession.Close()
		blueSession.Close()
	})
}

// The status and plan tools query a running system: the status covers all processes, plans name the
// databases that may be promoted, and processes that do not respond are reported.
func TestStatusAndPlan(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		primaryZone := controlPrimaryZone(w)
		host := w.Net.Host("10.250.0.9")
		sys := tools.CollectReports(context.Background(), host, []string{ip(primaryZone) + ":7440"}, true)
		if len(sys.Reports) != 8 || len(sys.Missing) != 0 || sys.Primary() == nil {
			t.Fatalf("%d reports, %v missing", len(sys.Reports), sys.Missing)
		}
		render := func(all bool, subject string) string {
			var text strings.Builder
			sys.Print(&text, all, subject)
			return text.String()
		}
		if text := render(true, ""); !strings.Contains(text, "database ledger-1 of ledger in z1: primary, lead") {
			t.Errorf("unexpected full status:\n%s", text)
		}
		if text := render(false, ""); strings.Contains(text, "database ledger-1") || !strings.Contains(text, "databases: 3 of 1 services, 1 with a lead; 0 down") ||
			!strings.Contains(text, "poolers: 4 asked, 4 as most are, 0 differ") {
			t.Errorf("unexpected short status:\n%s", text)
		}
		if text := render(false, "pooler-2"); !strings.Contains(text, "pooler pooler-2 in z2") || strings.Contains(text, "pooler-3") {
			t.Errorf("unexpected status of one pooler:\n%s", text)
		}
		plan, err := sys.MakePlan("release", "ledger-1", nil)
		if err != nil || len(plan.Warnings) != 0 || !strings.Contains(plan.Effects[0], "[ledger-2 ledger-3]") || plan.Headroom["ledger"] != 14 || plan.Conns["ledger"] != 20 {
			t.Errorf("plan of a release: %+v %v", plan, err)
		}
		plan, err = sys.MakePlan("lose", fmt.Sprintf("control-%d", primaryZone), nil)
		if err != nil || !strings.Contains(strings.Join(plan.Effects, "\n"), "takes over") || !strings.HasSuffix(plan.Restart[7], fmt.Sprintf("control-%d", primaryZone)) {
			t.Errorf("plan of a loss: %+v %v", plan, err)
		}
		plan, err = sys.MakePlan("grow", "40", nil)
		if err != nil || plan.Conns["ledger"] != 2 || len(plan.Warnings) != 0 || !strings.Contains(strings.Join(plan.Effects, "\n"), "44 members") {
			t.Errorf("plan to grow to 40 poolers: %+v %v", plan, err)
		}
		if plan, err = sys.MakePlan("grow", "91", nil); err != nil || len(plan.Warnings) != 1 {
			t.Errorf("plan to grow to 91 poolers with 90 connections: %+v %v", plan, err)
		}
		if _, err := sys.MakePlan("drain", "nothing", nil); err == nil {
			t.Error("a plan to drain an unknown database was made")
		}
		w.Process("pooler", 2).Kill()
		sys = tools.CollectReports(context.Background(), host, []string{ip(primaryZone) + ":7440"}, true)
		if len(sys.Reports) != 7 || len(sys.Missing) != 1 {
			t.Errorf("after a pooler was killed: %d reports, %v missing", len(sys.Reports), sys.Missing)
		}
	})
}
