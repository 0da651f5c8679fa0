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

// configurationWithLongDeadlines returns a configuration in which the deadline of a statement is
// longer than the grace period of a shutdown.
func (w *World) configurationWithLongDeadlines(rev int64) []byte {
	return bytes.ReplaceAll(w.Configuration(rev), []byte(`"deadline_ms":2000`), []byte(`"deadline_ms":30000`))
}

// A pooler that shuts down answers every statement that it has read, also those that wait for a
// connection to a database or for an answer that never comes, in a transaction or not. The answer
// says as much as is known about the statement's outcome.
func TestPoolerShutdownAnswersEveryStatement(t *testing.T) {
	for name, c := range map[string]struct {
		setup         []string // statements that are answered before the shutdown
		statement     string
		poolExhausted bool // every connection that the pool may open is in use
		silent        bool // the database answers nothing at all; otherwise it delays reads, writes and commits by a minute
		want          string
	}{
		"write":                           {[]string{"PUT z 1"}, "PUT a 1", false, false, "UNKNOWN"},
		"read":                            {[]string{"PUT z 1"}, "FETCH a", false, false, "RETRY"},
		"write in a transaction":          {[]string{"BEGIN", "PUT a 1"}, "PUT b 1", false, false, "ROLLEDBACK"},
		"commit":                          {[]string{"BEGIN", "PUT a 1"}, "COMMIT", false, false, "UNKNOWN"},
		"waiting for a connection":        {nil, "PUT a 1", true, false, "RETRY"},
		"session option and write":        {[]string{"PUT z 1", "OPTION colour blue"}, "PUT a 1", false, true, "RETRY"},
		"session option and read":         {[]string{"PUT z 1", "OPTION colour blue"}, "FETCH a", false, true, "RETRY"},
		"prepared statement":              {[]string{"PUT z 1", "PARSE s1 PUT q"}, "RUN s1 a 1", false, true, "RETRY"},
		"session option in a transaction": {[]string{"BEGIN", "PUT z 1", "OPTION colour blue"}, "PUT a 1", false, true, "ROLLEDBACK"},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(w *World, g *Group) {
				w.WaitUntil("a configuration is accepted", 3*time.Second, func() bool { return w.Replace(1, 1, w.configurationWithLongDeadlines(2)) == 200 })
				time.Sleep(time.Second)
				s, code := w.Login(1, "p.ledger")
				if s == nil {
					t.Fatal(code)
				}
				defer s.Close()
				for _, query := range c.setup {
					if a, _ := s.Query(query); a.Code != "" {
						t.Fatalf("%s: %s %s", query, a.Code, a.Text)
					}
				}
				if c.silent {
					g.Primary().InjectMisbehavior(standin.Silent, 1)
				} else {
					g.Primary().SetExtraLatency(time.Minute)
				}
				if c.poolExhausted {
					occupyConnections(w, 60)
				}
				start := time.Now()
				time.AfterFunc(10*time.Millisecond, w.Process("pooler", 1).Terminate)
				a := s.ExchangeRaw(fmt.Appendf(nil, "QUERY q1 %s\r\n", c.statement), 20*time.Second)
				if took := time.Since(start); a.Code != c.want || took > shutdownGrace-200*time.Millisecond {
					t.Errorf("answered %q %q after %v, want %s", a.Code, a.Text, took, c.want)
				}
				time.Sleep(8 * time.Second)
			})
		})
	}
}

// A pooler that shuts down answers every statement that it has read, also of sessions that are never
// idle and of those that connect during the shutdown. It ends soon after the time allowed for
// open transactions, however many clients connect.
func TestPoolerShutdownAnswersNewSessions(t *testing.T) {
	withCluster(t, func(w *World, g *Group) {
		pooler := w.Process("pooler", 1)
		g.Primary().SetExtraLatency(50 * time.Millisecond)
		stop := make(chan struct{})
		var clients sync.WaitGroup
		for range 10 {
			clients.Go(func() { queryContinuously(t, w, stop) })
		}
		time.Sleep(time.Second)
		start := time.Now()
		pooler.Terminate()
		if took := time.Since(start); took > shutdownGrace/2+500*time.Millisecond {
			t.Errorf("the shutdown took %v", took)
		}
		close(stop)
		clients.Wait()
	})
}

// queryContinuously is a client that sends one statement after the other, and logs in again
// whenever its session ends.
func queryContinuously(t *testing.T, w *World, stop <-chan struct{}) {
	for {
		s, _ := w.Login(1, "p.ledger")
		for s != nil {
			start := time.Now()
			a, id := s.Query("PUT y 1")
			if a.Code != standin.Cut {
				continue
			}
			if took := time.Since(start); took > 200*time.Millisecond {
				t.Errorf("statement %s got no answer; its connection was closed after %v", id, took)
			}
			s.Close()
			s = nil
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Millisecond / 10):
		}
	}
}

// shutdownGrace is the value of the setting bounds.grace_s in these tests.
const shutdownGrace = 6 * time.Second

// occupyConnections opens sessions that each have a statement in progress.
func occupyConnections(w *World, sessions int) {
	for i := range sessions {
		s, _ := w.Login(1, "p.ledger")
		if s == nil {
			continue
		}
		go func() {
			defer s.Close()
			s.ExchangeRaw(fmt.Appendf(nil, "QUERY busy%d PUT x%d 1\r\n", i, i), 90*time.Second)
		}()
	}
	time.Sleep(100 * time.Millisecond)
}

// A gateway that shuts down answers every request that it has read, even if no database responds,
// and closes idle connections.
func TestGatewayShutdownAnswersEveryRequest(t *testing.T) {
	withGatewayCluster(t, func(w *World, s *Service) {
		w.WaitUntil("a configuration is accepted", 3*time.Second, func() bool { return w.Replace(1, 1, w.configurationWithLongDeadlines(2)) == 200 })
		time.Sleep(time.Second)
		for i := range 2 * w.Zones() {
			s.DB(i).InjectFault(SendsNoResponse)
		}
		dial := func() net.Conn {
			c, err := w.Net.Host("10.251.0.1").Dial(context.Background(), ip(1)+":8784", 0)
			if err != nil {
				t.Fatal(err)
			}
			return c
		}
		idle := dial()
		defer idle.Close()
		request := func(method, path string) Answer {
			c := dial()
			defer c.Close()
			s.ExpectRequest("r"+path, method+" "+path+" ", true)
			start := time.Now()
			a := standin.ExchangeRaw(c, fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s.example\r\nX-Indigowalk-Request-Id: r%s\r\n\r\n", method, path, s.Name, path))
			a.Took = time.Since(start)
			return a
		}
		answers := make(chan Answer, 2)
		go func() { answers <- request("GET", "/safe/a") }()
		go func() { answers <- request("POST", "/unsafe/b") }()
		time.Sleep(100 * time.Millisecond)
		w.Process("gateway", 1).Kernel.Shutdown(context.Background())
		for range 2 {
			if a := <-answers; a.Status != 502 || a.Took > shutdownGrace {
				t.Errorf("status %d after %v, want 502 within the grace period", a.Status, a.Took)
			}
		}
		if n, err := idle.Read(make([]byte, 1)); n > 0 || err != io.EOF {
			t.Errorf("idle connection: read %d bytes, error %v, want EOF", n, err)
		}
	})
}
