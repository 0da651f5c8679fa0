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

// playSmall runs a scenario on a cluster whose processes have 64 MB.
func playSmall(t *testing.T, f func(w *World, g *Group)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := NewWorld(t, 1, 4)
		defer w.Close()
		w.Settings = "limits.mem_mb=64\n"
		g := w.Group("ledger")
		w.Boot()
		w.Configure()
		f(w, g)
	})
}

// told passes on what a session is sent first.
func told(s *Session) <-chan string {
	line := make(chan string, 1)
	go func() {
		text, _ := s.LineWithin(time.Minute)
		line <- text
	}()
	return line
}

// heard returns what has been passed on, "" if nothing has.
func heard(line <-chan string) string {
	select {
	case text := <-line:
		return text
	default:
		return ""
	}
}

// Messages that never become whole take a bounded part of a process's memory, for a
// bounded time, and short statements are served meanwhile.
func TestHalfMessagesAreBounded(t *testing.T) {
	const clients, length = 30, 900 << 10
	playSmall(t, func(w *World, g *Group) {
		var lines []<-chan string
		for range clients {
			s, code := w.Login(1, "p.ledger")
			if code != "" {
				t.Fatalf("log-in: %s", code)
			}
			defer s.Close()
			go s.Send([]byte("QUERY half PUT thing " + strings.Repeat("x", length)))
			lines = append(lines, told(s))
		}
		time.Sleep(time.Second)
		var open []<-chan string
		for _, line := range lines {
			switch text := heard(line); {
			case strings.HasPrefix(text, "ERROR "+lineprotocol.Retry):
			case text == "":
				open = append(open, line)
			default:
				t.Errorf("a half message is told %q", text)
			}
		}
		if held := len(open) * length; held > 16<<20 {
			t.Errorf("%d of %d half messages are held, %d MB of 64", len(open), clients, held>>20)
		}
		other, _ := w.Login(1, "p.ledger")
		defer other.Close()
		if a, _ := other.Query("PUT short 1"); a.Code != "" {
			t.Errorf("a short statement beside them: %s", a.Code)
		}
		time.Sleep(31 * time.Second)
		for _, line := range open {
			if text := heard(line); !strings.HasPrefix(text, "ERROR "+lineprotocol.Retry) {
				t.Errorf("a message that is not whole after half a minute is told %q", text)
			}
		}
		if a, _ := other.Query("PUT long " + strings.Repeat("y", length)); a.Code != "" {
			t.Errorf("a long statement half a minute later: %s", a.Code)
		}
		time.Sleep(31 * time.Second)
		other.Query("BEGIN")
		time.Sleep(time.Second)
		if a, _ := other.Query("PUT short 2"); a.Code != "" || other.State != "T" {
			t.Errorf("a transaction long after a long statement: %s in state %s", a.Code, other.State)
		}
	})
}

// What a session keeps is bounded, by itself and with all others.
func TestWhatSessionsKeepIsBounded(t *testing.T) {
	const clients, shapes, length = 100, 40, 30 << 10
	playSmall(t, func(w *World, g *Group) {
		kept, sessions := 0, []*Session{}
		for range clients {
			s, code := w.Login(1, "p.ledger")
			if code != "" {
				t.Fatalf("log-in: %s", code)
			}
			sessions = append(sessions, s)
			own := 0
			for i := range shapes {
				a, _ := s.Query(fmt.Sprintf("PARSE s%d PUT %s", i, strings.Repeat("q", length)))
				if a.Code != "" {
					break
				}
				own += length
			}
			if own == 0 && kept == 0 || own > 1<<20 {
				t.Errorf("a session may keep %d bytes", own)
			}
			kept += own
		}
		if kept > 16<<20 {
			t.Errorf("%d sessions keep %d MB of 64", clients, kept>>20)
		}
		for _, s := range sessions {
			s.Close()
		}
		time.Sleep(time.Second)
		s, _ := w.Login(1, "p.ledger")
		defer s.Close()
		if a, _ := s.Query("PARSE s PUT " + strings.Repeat("q", length)); a.Code != "" {
			t.Errorf("after all of them have gone: %s", a.Code)
		}
	})
}

// A connection to a database keeps the prepared names of clients that went, but not all
// that there ever were.
func TestPreparedNamesOfConnectionsAreBounded(t *testing.T) {
	const shapes, most = 1500, 600
	play(t, func(w *World, g *Group) {
		s, _ := w.Login(1, "p.ledger")
		defer s.Close()
		s.Query("OPTION colour red")
		for i := range shapes {
			s.Query(fmt.Sprintf("PARSE s PUT shape%d", i))
			if a, _ := s.Query(fmt.Sprintf("RUN s thing %d", i)); a.Code != "" {
				t.Fatalf("shape %d: %s", i, a.Code)
			}
			s.Query("CLOSE s")
		}
		for i := range 3 {
			if n := g.DB(i).MostPrepared(); n > most {
				t.Errorf("a connection to database %d has %d prepared names", i+1, n)
			}
		}
	})
}

// half sends so many requests, each with a body of which all but the end comes, and tells
// a second later how many are not answered; the others must have been answered 503.
func half(t *testing.T, w *World, addr, head string, requests, length int) (open int) {
	t.Helper()
	var answers []<-chan int
	for range requests {
		c, err := w.Net.Host(requestHost).Dial(context.Background(), addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		answer := make(chan int, 1)
		answers = append(answers, answer)
		go func() {
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, length, strings.Repeat("x", length-1))
		}()
		go func() {
			if a, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
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
				t.Errorf("half a body is answered %d", status)
			}
		default:
			open++
		}
	}
	return open
}

// Bodies that never become whole take a bounded part of a gateway's memory, and of a
// control node's.
func TestHalfBodiesAreBounded(t *testing.T) {
	for role, c := range map[string]struct {
		requests, length int
		port, head       string
	}{
		"gateway": {400, 60 << 10, "8784", "POST /unsafe/a HTTP/1.1\r\nHost: intake.example\r\nX-Indigowalk-Request-Id: half\r\n"},
		"control": {60, 1500 << 10, "8782", "POST /Conf.Replace HTTP/1.1\r\nHost: control\r\nX-Indigowalk-Base-Version: 1\r\n"},
	} {
		t.Run(role, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorld(t, 1, 4)
				w.Deploy, w.Settings = "api", "limits.mem_mb=64\n"
				defer w.Close()
				w.Service("intake", 2)
				w.Boot()
				w.Configure()
				zone := 1
				if role == "control" {
					zone = controlPrimary(w)
				}
				open := half(t, w, ip(zone)+":"+c.port, c.head, c.requests, c.length)
				if held := open * c.length; open == 0 || held > 16<<20 {
					t.Errorf("%d of %d half bodies are held, %d MB of 64", open, c.requests, held>>20)
				}
				time.Sleep(15 * time.Second)
				if again := half(t, w, ip(zone)+":"+c.port, c.head, 1, c.length); again != 1 {
					t.Error("once they are gone, one is refused")
				}
			})
		})
	}
}
