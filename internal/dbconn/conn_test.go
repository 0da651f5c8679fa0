package dbconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/connpool"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/simulation"
)

const answerA, answerB = "COMPLETE a\r\nIDLE I -\r\n", "COMPLETE b\r\nIDLE I -\r\n"

// connect runs f with a connection to a scripted database. The database answers the log-in with the
// first text, and each statement with the next text after 100 ms. It then counts the complete lines
// that still arrive until the connection ends, and sends their number on extraLines.
func connect(t *testing.T, wrap func(kernel.Network) kernel.Network, texts []string, f func(c *dbconn.Conn, err error, extraLines <-chan int)) {
	connectOn(t, wrap, texts, func(_ *simulation.Net, c *dbconn.Conn, err error, extraLines <-chan int) { f(c, err, extraLines) })
}

// connectOn is like connect, and also passes the simulated network to f.
func connectOn(t *testing.T, wrap func(kernel.Network) kernel.Network, texts []string, f func(network *simulation.Net, c *dbconn.Conn, err error, extraLines <-chan int)) {
	synctest.Test(t, func(t *testing.T) {
		network := simulation.NewNet(1)
		listener, err := network.Host("10.0.0.2").Listen("10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		extraLines := make(chan int, 1)
		go func() {
			db, err := listener.Accept()
			if err != nil {
				return
			}
			r := lineprotocol.NewReader(db)
			for i, text := range texts {
				if _, err := r.Line(); err != nil {
					break
				}
				if i > 0 {
					time.Sleep(100 * time.Millisecond)
				}
				io.WriteString(db, text)
			}
			n := 0
			for ; ; n++ {
				if _, err := r.Line(); err != nil {
					break
				}
			}
			extraLines <- n
		}()
		d := dbconn.Dialer{Net: wrap(network.Host("10.0.0.1")), ClientName: "w", ConnectTimeout: kernel.Second, UnresponsiveTimeout: kernel.Second}
		c, err := d.Open(t.Context(), discovery.Database{ID: "d", Service: "s", Address: "10.0.0.2:1"}, kernel.Second)
		f(network, c, err, extraLines)
		network.CloseSockets("10.0.0.2")
		time.Sleep(15 * time.Second)
	})
}

// plain leaves the network as it is.
func plain(n kernel.Network) kernel.Network { return n }

// An answer is returned only for the statement that it answers. A connection on which the two can't be
// matched with certainty is neither used nor lent again.
func TestAnswersMatchTheirStatements(t *testing.T) {
	const tooShort, longEnough = 50 * kernel.Millisecond, 200 * kernel.Millisecond
	for name, c := range map[string]struct {
		texts     []string
		wait      kernel.Micros // for the first answer
		firstSeal string        // its seal, "" if the wait is abandoned
		reusable  bool          // whether the connection may be lent again
		nextSeal  string        // seal of the next statement's answer, "" if it is not sent
	}{
		"in order":                             {[]string{answerA, answerB}, longEnough, "a", true, "b"},
		"abandoned, answered late":             {[]string{answerA, answerB}, tooShort, "", false, ""},
		"more data after a complete answer":    {[]string{answerA + answerB, answerB}, longEnough, "a", false, ""},
		"partial data after a complete answer": {[]string{answerA + "COMP", answerB}, longEnough, "a", false, ""},
		"incomplete answer":                    {[]string{"ROW x\r\n", answerB}, longEnough, "", false, ""},
		"no COMPLETE or ERROR":                 {[]string{"ROW x\r\nIDLE I -\r\n", answerB}, longEnough, "", false, ""},
		"ERROR without a code":                 {[]string{"ERROR\r\nIDLE I -\r\n", answerB}, longEnough, "", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			connect(t, plain, append([]string{"IDLE I -\r\n"}, c.texts...), func(conn *dbconn.Conn, err error, _ <-chan int) {
				if err != nil {
					t.Fatal(err)
				}
				seal := func(a *lineprotocol.Answer, err error) string {
					if err != nil || a.Code != "" {
						return ""
					}
					return a.Seal
				}
				if got := seal(conn.Execute("FETCH 1", dbconn.NewLimit(c.wait, nil))); got != c.firstSeal {
					t.Errorf("first answer %q", got)
				}
				time.Sleep(200 * time.Millisecond) // late answers arrive meanwhile
				if reusable := conn.Reusable() && conn.Alive(); reusable != c.reusable {
					t.Errorf("the connection may be lent again: %v", reusable)
				}
				if got := seal(conn.Execute("PUT 2 x", dbconn.NewLimit(longEnough, nil))); got != c.nextSeal {
					t.Errorf("next answer %q", got)
				}
				conn.Close()
			})
		})
	}
	connect(t, plain, []string{"IDLE I -\r\nIDLE I -\r\n"}, func(_ *dbconn.Conn, err error, _ <-chan int) {
		if !errors.Is(err, connpool.ErrBroken) {
			t.Errorf("log-in that is answered twice: %v", err)
		}
	})
}

// halfWritingNetwork is a network whose connections, after the log-in, write half of the data that
// they are given and then fail.
type halfWritingNetwork struct{ kernel.Network }

type halfWritingConn struct {
	net.Conn
	writes int
}

func (n halfWritingNetwork) Dial(ctx context.Context, addr string, unresponsiveTimeout kernel.Micros) (net.Conn, error) {
	c, err := n.Network.Dial(ctx, addr, unresponsiveTimeout)
	return &halfWritingConn{Conn: c}, err
}

func (c *halfWritingConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:len(b)/2])
	return n, errors.Join(err, syscall.ECONNRESET)
}

// A partly written statement counts as unsent, because its end is never sent: the connection is closed
// and nothing more is written to it.
func TestPartlySentStatementIsNeverCompleted(t *testing.T) {
	wrap := func(n kernel.Network) kernel.Network { return halfWritingNetwork{n} }
	connect(t, wrap, []string{"IDLE I -\r\n"}, func(conn *dbconn.Conn, err error, extraLines <-chan int) {
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := conn.Send(lineprotocol.AppendMessage(nil, "QUERY", "a", "PUT x y"), kernel.Second, nil); !errors.Is(err, connpool.ErrBroken) {
				t.Errorf("statement sent in part: %v", err)
			}
		}
		if n := <-extraLines; n > 0 || conn.Reusable() {
			t.Errorf("%d complete lines arrived, the connection may be lent again: %v", n, conn.Reusable())
		}
	})
}

// Send never blocks inside the gate while the database accepts no data: it calls the gate anew for each
// attempt to write. Only the end of a long statement goes through the gate, and the database never
// receives a refused statement completely.
func TestGateIsNotHeldWhileDatabaseAcceptsNoData(t *testing.T) {
	for name, c := range map[string]struct {
		size         int
		fullFor      time.Duration // how long the database accepts no data
		refusesAfter time.Duration // when the gate begins to refuse, if not 0
		sent         bool
		reusable     bool // whether the connection may be lent again
	}{
		"short":                         {10, 0, 0, true, true},
		"short, full for a while":       {10, 400 * time.Millisecond, 0, true, true},
		"short, full for too long":      {10, 3 * time.Second, 0, false, false},
		"short, refused":                {10, 0, time.Nanosecond, false, true},
		"short, refused while full":     {10, 400 * time.Millisecond, 200 * time.Millisecond, false, true},
		"long":                          {100_000, 0, 0, true, true},
		"long, refused at its end":      {100_000, 0, time.Nanosecond, false, false},
		"long, full for a while before": {100_000, 400 * time.Millisecond, 0, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			connectOn(t, plain, []string{"IDLE I -\r\n", answerA}, func(network *simulation.Net, conn *dbconn.Conn, err error, extraLines <-chan int) {
				if err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				network.SetReceiveBlocked("10.0.0.2", c.fullFor > 0)
				time.AfterFunc(c.fullFor, func() { network.SetReceiveBlocked("10.0.0.2", false) })
				longestHeld := time.Duration(0)
				gate := func(write func() error) error {
					entered := time.Now()
					if c.refusesAfter > 0 && entered.Sub(start) >= c.refusesAfter-time.Nanosecond {
						return errors.New("refused")
					}
					err := write()
					longestHeld = max(longestHeld, time.Since(entered))
					return err
				}
				text := "PUT x " + strings.Repeat("y", c.size)
				err = conn.Send(lineprotocol.AppendMessage(nil, "QUERY", "a", text), 2*kernel.Second, gate)
				if longestHeld > 0 {
					t.Errorf("the gate was held for %v", longestHeld)
				}
				if (err == nil) != c.sent {
					t.Errorf("sent: %v", err)
				}
				if a, err := conn.Receive(kernel.Second, dbconn.Watch{}); c.sent != (err == nil && a.Seal == "a") {
					t.Errorf("answer %+v, %v", a, err)
				}
				if conn.Reusable() != c.reusable {
					t.Errorf("the connection may be lent again: %v", conn.Reusable())
				}
				conn.Close()
			})
		})
	}
}

// A statement sent on a connection that was idle must not fail because the write deadline of the
// previous statement has expired.
func TestIdleConnectionAcceptsNextStatement(t *testing.T) {
	connect(t, plain, []string{"IDLE I -\r\n", answerA, answerB}, func(c *dbconn.Conn, err error, _ <-chan int) {
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		const limit = 200 * kernel.Millisecond
		if _, err := c.Execute("OPTION colour blue", dbconn.NewLimit(limit, nil)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * limit.Duration())
		passThrough := func(write func() error) error { return write() }
		if err := c.Send(lineprotocol.AppendMessage(nil, "QUERY", "s1.2", "FETCH x"), limit, passThrough); err != nil {
			t.Fatal(err)
		}
		if a, err := c.Receive(limit, dbconn.Watch{}); err != nil || a.Seal != "b" {
			t.Errorf("answer %v, %v", a, err)
		}
	})
}
