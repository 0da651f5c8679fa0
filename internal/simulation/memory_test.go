package simulation

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/lineprotocol"
)

// withMemoryLimit boots and configures a cluster whose processes have a memory limit of 64 MB, and
// runs a scenario on it.
func withMemoryLimit(t *testing.T, scenario func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.Settings = "limits.mem_mb=64\n"
		g := w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		scenario(w, g)
	})
}

// firstLine returns a channel that receives the first line sent to a session, or "" if the session
// ends before or none comes within a minute.
func firstLine(s *Session) <-chan string {
	line := make(chan string, 1)
	go func() {
		text, _ := s.LineWithin(time.Minute)
		line <- text
	}()
	return line
}

// receivedLine returns the line that is ready in the channel, or "" if there is none.
func receivedLine(line <-chan string) string {
	select {
	case text := <-line:
		return text
	default:
		return ""
	}
}

// Messages that clients never complete take a bounded share of a pooler's memory for a bounded
// time, and short statements are served meanwhile.
func TestMemoryOfIncompleteMessagesIsBounded(t *testing.T) {
	const clients, length = 30, 900 << 10
	withMemoryLimit(t, func(w *World, g *Group) {
		var lines []<-chan string
		for range clients {
			s, code := w.Login(1, "p.ledger")
			if code != "" {
				t.Fatalf("log-in: %s", code)
			}
			defer s.Close()
			go s.Send([]byte("QUERY incomplete PUT k " + strings.Repeat("x", length)))
			lines = append(lines, firstLine(s))
		}
		time.Sleep(time.Second)
		var pending []<-chan string
		for _, line := range lines {
			switch text := receivedLine(line); {
			case strings.HasPrefix(text, "ERROR "+lineprotocol.Retry):
			case text == "":
				pending = append(pending, line)
			default:
				t.Errorf("an incomplete message is answered %q", text)
			}
		}
		if heldBytes := len(pending) * length; heldBytes > 16<<20 {
			t.Errorf("%d of %d incomplete messages are kept in memory, %d MB of 64", len(pending), clients, heldBytes>>20)
		}
		session, _ := w.Login(1, "p.ledger")
		defer session.Close()
		if a, _ := session.Query("PUT short 1"); a.Code != "" {
			t.Errorf("a short statement while incomplete messages are pending: %s", a.Code)
		}
		time.Sleep(31 * time.Second)
		for _, line := range pending {
			if text := receivedLine(line); !strings.HasPrefix(text, "ERROR "+lineprotocol.Retry) {
				t.Errorf("a message that is incomplete after 31 s is answered %q", text)
			}
		}
		if a, _ := session.Query("PUT long " + strings.Repeat("y", length)); a.Code != "" {
			t.Errorf("a long statement after the incomplete messages have expired: %s", a.Code)
		}
		time.Sleep(31 * time.Second)
		session.Query("BEGIN")
		time.Sleep(time.Second)
		if a, _ := session.Query("PUT short 2"); a.Code != "" || session.State != "T" {
			t.Errorf("a transaction 31 s after a long statement: %s in state %s", a.Code, session.State)
		}
	})
}

// The memory that prepared statements take is bounded for each session and for all sessions of a
// pooler together.
func TestMemoryOfPreparedStatementsIsBounded(t *testing.T) {
	const clients, statements, length = 100, 40, 30 << 10
	withMemoryLimit(t, func(w *World, g *Group) {
		totalBytes, sessions := 0, []*Session{}
		for range clients {
			s, code := w.Login(1, "p.ledger")
			if code != "" {
				t.Fatalf("log-in: %s", code)
			}
			sessions = append(sessions, s)
			sessionBytes := 0
			for i := range statements {
				a, _ := s.Query(fmt.Sprintf("PARSE s%d PUT %s", i, strings.Repeat("q", length)))
				if a.Code != "" {
					break
				}
				sessionBytes += length
			}
			if sessionBytes == 0 && totalBytes == 0 || sessionBytes > 1<<20 {
				t.Errorf("the prepared statements of one session take %d bytes", sessionBytes)
			}
			totalBytes += sessionBytes
		}
		if totalBytes > 16<<20 {
			t.Errorf("the prepared statements of %d sessions take %d MB of 64", clients, totalBytes>>20)
		}
		for _, s := range sessions {
			s.Close()
		}
		time.Sleep(time.Second)
		s, _ := w.Login(1, "p.ledger")
		defer s.Close()
		if a, _ := s.Query("PARSE s PUT " + strings.Repeat("q", length)); a.Code != "" {
			t.Errorf("a prepared statement after all other sessions have been closed: %s", a.Code)
		}
	})
}

// A connection to a database keeps the prepared statements of earlier clients for reuse, but only a
// bounded number of them.
func TestPreparedStatementsPerConnectionAreBounded(t *testing.T) {
	const statements, limit = 1500, 600
	withCluster(t, func(w *World, g *Group) {
		s, _ := w.Login(1, "p.ledger")
		defer s.Close()
		s.Query("OPTION colour red")
		for i := range statements {
			s.Query(fmt.Sprintf("PARSE s PUT shape%d", i))
			if a, _ := s.Query(fmt.Sprintf("RUN s thing %d", i)); a.Code != "" {
				t.Fatalf("statement %d: %s", i, a.Code)
			}
			s.Query("CLOSE s")
		}
		for i := range 3 {
			if n := g.DB(i).MostPrepared(); n > limit {
				t.Errorf("a connection to database %d has %d prepared statements", i+1, n)
			}
		}
	})
}

// sendTruncatedBodies sends requests whose bodies lack their last byte, and returns how many are
// still unanswered a second later. The others must have been answered with status 503.
func sendTruncatedBodies(t *testing.T, w *World, addr, head string, requests, length int) (pending int) {
	t.Helper()
	var answers []<-chan int
	for range requests {
		conn, err := w.Net.Host(requestHost).Dial(context.Background(), addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		answer := make(chan int, 1)
		answers = append(answers, answer)
		go func() {
			fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", length-1))
		}()
		go func() {
			if a, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				a.Body.Close()
				answer <- a.StatusCode
			}
		}()
	}
	time.Sleep(time.Second)
	for _, answer := range answers {
		select {
		case status := <-answer:
			if status != http.StatusServiceUnavailable {
				t.Errorf("a request with an incomplete body got status %d, want 503", status)
			}
		default:
			pending++
		}
	}
	return pending
}

// Request bodies that clients never complete take a bounded share of the memory of a gateway and
// of a control node.
func TestMemoryOfIncompleteBodiesIsBounded(t *testing.T) {
	for role, c := range map[string]struct {
		requests, length int
		port, head       string
	}{
		"gateway": {400, 60 << 10, "8784", "POST /unsafe/a HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: incomplete\r\n"},
		"control": {60, 1500 << 10, "8782", "POST /Conf.Replace HTTP/1.1\r\nHost: control\r\nX-Indigowalk-Base-Version: 1\r\n"},
	} {
		t.Run(role, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorld(t, 1, 4)
				w.Deploy, w.Settings = "api", "limits.mem_mb=64\n"
				defer w.Close()
				w.AddService("intake", 2)
				w.Boot()
				w.Configure()
				zone := 1
				if role == "control" {
					zone = controlPrimaryZone(w)
				}
				pending := sendTruncatedBodies(t, w, ip(zone)+":"+c.port, c.head, c.requests, c.length)
				if heldBytes := pending * c.length; pending == 0 || heldBytes > 16<<20 {
					t.Errorf("%d of %d incomplete bodies are kept in memory, %d MB of 64", pending, c.requests, heldBytes>>20)
				}
				time.Sleep(15 * time.Second)
				if pendingAgain := sendTruncatedBodies(t, w, ip(zone)+":"+c.port, c.head, 1, c.length); pendingAgain != 1 {
					t.Error("a body is refused after the incomplete ones have expired")
				}
			})
		})
	}
}
