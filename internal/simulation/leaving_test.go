package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"indigowalk/internal/standin"
)

// patientRoutes is a configuration whose statements may take longer than a process
// has for its end.
func (w *World) patientRoutes(rev int64) []byte {
	return bytes.ReplaceAll(w.Configuration(rev), []byte(`"deadline_ms":2000`), []byte(`"deadline_ms":30000`))
}

// EveryStatementIsAnswered: a pooler that leaves answers whatever it has read, also
// statements that wait for a place at a database, for an answer that never comes,
// or, in a transaction, for either; each as far as is known of it.
func TestALeavingPoolerAnswersEverything(t *testing.T) {
	for name, c := range map[string]struct {
		before []string // statements that are answered before
		ask    string
		full   bool // every connection that there may be is busy
		mute   bool // the database answers nothing at all, not only nothing that is work
		want   string
	}{
		"a write":                  {[]string{"PUT z 1"}, "PUT a 1", false, false, "UNKNOWN"},
		"a read":                   {[]string{"PUT z 1"}, "FETCH a", false, false, "RETRY"},
		"in a transaction":         {[]string{"BEGIN", "PUT a 1"}, "PUT b 1", false, false, "ROLLEDBACK"},
		"the commit":               {[]string{"BEGIN", "PUT a 1"}, "COMMIT", false, false, "UNKNOWN"},
		"waiting for a connection": {nil, "PUT a 1", true, false, "RETRY"},
		"its values":               {[]string{"PUT z 1", "OPTION colour blue"}, "PUT a 1", false, true, "RETRY"},
		"its values, reading":      {[]string{"PUT z 1", "OPTION colour blue"}, "FETCH a", false, true, "RETRY"},
		"a prepared name":          {[]string{"PUT z 1", "PARSE s1 PUT q"}, "RUN s1 a 1", false, true, "RETRY"},
		"values in a transaction":  {[]string{"BEGIN", "PUT z 1", "OPTION colour blue"}, "PUT a 1", false, true, "ROLLEDBACK"},
	} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *World, g *Group) {
				w.Until("a configuration is taken", 3*time.Second, func() bool { return w.Replace(1, 1, w.patientRoutes(2)) == 200 })
				time.Sleep(time.Second)
				s, code := w.Login(1, "p.ledger")
				if s == nil {
					t.Fatal(code)
				}
				defer s.Close()
				for _, text := range c.before {
					if a, _ := s.Query(text); a.Code != "" {
						t.Fatalf("%s: %s %s", text, a.Code, a.Text)
					}
				}
				if c.mute {
					g.Primary().Behave(standin.Silent, 1)
				} else {
					g.Primary().Slow(time.Minute)
				}
				if c.full {
					busy(w, 60)
				}
				start := time.Now()
				time.AfterFunc(10*time.Millisecond, w.Process("pooler", 1).Term)
				a := s.Raw(fmt.Appendf(nil, "QUERY q1 %s\r\n", c.ask), 20*time.Second)
				if took := time.Since(start); a.Code != c.want || took > grace-200*time.Millisecond {
					t.Errorf("answered %q %q after %v, want %s", a.Code, a.Text, took, c.want)
				}
				time.Sleep(8 * time.Second)
			})
		})
	}
}

// EveryStatementIsAnswered, for sessions that come while a pooler leaves, and for those
// that never rest: whatever it has read is answered when it ends, and it ends soon after
// the time that open transactions have, however many come.
func TestALeavingPoolerAnswersWhoeverComes(t *testing.T) {
	play(t, func(w *World, g *Group) {
		p := w.Process("pooler", 1)
		g.Primary().Slow(50 * time.Millisecond)
		over := make(chan struct{})
		var clients sync.WaitGroup
		for range 10 {
			clients.Go(func() { neverRests(t, w, over) })
		}
		time.Sleep(time.Second)
		start := time.Now()
		p.Term()
		if took := time.Since(start); took > grace/2+500*time.Millisecond {
			t.Errorf("it took %v to end", took)
		}
		close(over)
		clients.Wait()
	})
}

// neverRests is a client that has a statement run all the time, and comes back at once
// whenever its session ends.
func neverRests(t *testing.T, w *World, over <-chan struct{}) {
	for {
		s, _ := w.Login(1, "p.ledger")
		for s != nil {
			start := time.Now()
			a, id := s.Query("PUT y 1")
			if a.Code != standin.Cut {
				continue
			}
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("%s has no answer after %v", id, took)
			}
			s.Close()
			s = nil
		}
		select {
		case <-over:
			return
		case <-time.After(time.Millisecond / 10):
		}
	}
}

// grace is bounds.grace_s of the worlds here.
const grace = 6 * time.Second

// busy opens sessions that each have a statement under way.
func busy(w *World, sessions int) {
	for i := range sessions {
		s, _ := w.Login(1, "p.ledger")
		if s == nil {
			continue
		}
		go func() {
			defer s.Close()
			s.Raw(fmt.Appendf(nil, "QUERY busy%d PUT x%d 1\r\n", i, i), 90*time.Second)
		}()
	}
	time.Sleep(100 * time.Millisecond)
}

// EveryStatementIsAnswered, for requests: what a leaving gateway has read is
// answered, though no database answers; connections that rest end.
func TestALeavingGatewayAnswersEverything(t *testing.T) {
	serveRequests(t, func(w *World, s *Service) {
		w.Until("a configuration is taken", 3*time.Second, func() bool { return w.Replace(1, 1, w.patientRoutes(2)) == 200 })
		time.Sleep(time.Second)
		for i := range 2 * w.Zones {
			s.DB(i).InjectFault(Mute)
		}
		dial := func() net.Conn {
			c, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		resting := dial()
		defer resting.Close()
		ask := func(method, path string) Answer {
			c := dial()
			defer c.Close()
			s.Expect("r"+path, method+" "+path+" ", true)
			start := time.Now()
			a := standin.Raw(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: r%s\r\n\r\n", method, path, s.Name, path))
			a.Took = time.Since(start)
			return a
		}
		answers := make(chan Answer, 2)
		go func() { answers <- ask("GET", "/safe/a") }()
		go func() { answers <- ask("POST", "/unsafe/b") }()
		time.Sleep(100 * time.Millisecond)
		w.Process("gateway", 1).Kernel.Shutdown(context.Background())
		for range 2 {
			if a := <-answers; a.Status != 502 || a.Took > grace {
				t.Errorf("answered %d after %v", a.Status, a.Took)
			}
		}
		if n, err := resting.Read(make([]byte, 1)); n > 0 || err != io.EOF {
			t.Errorf("a connection that rested: %d bytes, %v", n, err)
		}
	})
}
