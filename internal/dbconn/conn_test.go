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

// connect runs a test on a connection to a scripted database, which answers the log-in with the
// first text and each statement after 100 ms with the next, then counts the complete lines that
// still arrive until the connection ends.
func connect(t *testing.T, wrap func(kernel.Network) kernel.Network, texts []string, f func(c *dbconn.Conn, err error, more <-chan int)) {
	connectOn(t, wrap, texts, func(_ *simulation.Net, c *dbconn.Conn, err error, more <-chan int) { f(c, err, more) })
}

func connectOn(t *testing.T, wrap func(kernel.Network) kernel.Network, texts []string, f func(n *simulation.Net, c *dbconn.Conn, err error, more <-chan int)) {
	synctest.Test(t, func(t *testing.T) {
		n := simulation.NewNet(1)
		listener, err := n.Host("10.0.0.2").Listen("10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		more := make(chan int, 1)
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
			more <- n
		}()
		d := dbconn.Dialer{Net: wrap(n.Host("10.0.0.1")), ClientName: "w", ConnectTimeout: kernel.Second, UnresponsiveTimeout: kernel.Second}
		c, err := d.Open(t.Context(), discovery.Database{ID: "d", Service: "s", Address: "10.0.0.2:1"}, kernel.Second)
		f(n, c, err, more)
		n.CloseSockets("10.0.0.2")
		time.Sleep(15 * time.Second)
	})
}

func plain(n kernel.Network) kernel.Network { return n }

// An answer is matched only to the statement that it answers, and a connection on which that is
// uncertain is neither used nor lent again.
func TestAnswerIsNeverTakenForAnotherStatement(t *testing.T) {
	const soon, late = 50 * kernel.Millisecond, 200 * kernel.Millisecond
	for name, c := range map[string]struct {
		texts []string
		wait  kernel.Micros // for the first answer
		first string        // its seal, "" if the wait is abandoned
		clean bool          // whether the connection may be lent again
		next  string        // seal of the next statement's answer, "" if it is not sent
	}{
		"in order":                             {[]string{answerA, answerB}, late, "a", true, "b"},
		"abandoned, answered late":             {[]string{answerA, answerB}, soon, "", false, ""},
		"more data after a complete answer":    {[]string{answerA + answerB, answerB}, late, "a", false, ""},
		"partial data after a complete answer": {[]string{answerA + "COMP", answerB}, late, "a", false, ""},
		"incomplete answer":                    {[]string{"ROW x\r\n", answerB}, late, "", false, ""},
		"no COMPLETE or ERROR":                 {[]string{"ROW x\r\nIDLE I -\r\n", answerB}, late, "", false, ""},
		"ERROR without a code":                 {[]string{"ERROR\r\nIDLE I -\r\n", answerB}, late, "", false, ""},
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
				if got := seal(conn.Execute("FETCH 1", dbconn.NewLimit(c.wait, nil))); got != c.first {
					t.Errorf("first answer %q", got)
				}
				time.Sleep(200 * time.Millisecond) // late answers arrive meanwhile
				if clean := conn.Reusable() && conn.Alive(); clean != c.clean {
					t.Errorf("may be lent again: %v", clean)
				}
				if got := seal(conn.Execute("PUT 2 x", dbconn.NewLimit(late, nil))); got != c.next {
					t.Errorf("next answer %q", got)
				}
				conn.Close()
			})
		})
	}
	connect(t, plain, []string{"IDLE I -\r\nIDLE I -\r\n"}, func(_ *dbconn.Conn, err error, _ <-chan int) {
		if !errors.Is(err, connpool.ErrBroken) {
			t.Errorf("log-in answered twice: %v", err)
		}
	})
}

// halved is a network whose connections, after the log-in, write half of the data that they are
// given and then fail.
type halved struct{ kernel.Network }

type halvedConn struct {
	net.Conn
	writes int
}

func (h halved) Dial(ctx context.Context, addr string, silence kernel.Micros) (net.Conn, error) {
	c, err := h.Network.Dial(ctx, addr, silence)
	return &halvedConn{Conn: c}, err
}

func (c *halvedConn) Write(b []byte) (int, error) {
	if c.writes++; c.writes == 1 {
		return c.Conn.Write(b)
	}
	n, err := c.Conn.Write(b[:len(b)/2])
	return n, errors.Join(err, syscall.ECONNRESET)
}

// A partly written statement counts as unsent, because its end never follows: the connection is
// closed, and nothing more is sent on it.
func TestPartlySentStatementIsNeverCompleted(t *testing.T) {
	wrap := func(n kernel.Network) kernel.Network { return halved{n} }
	connect(t, wrap, []string{"IDLE I -\r\n"}, func(conn *dbconn.Conn, err error, more <-chan int) {
		if err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if err := conn.Send(lineprotocol.AppendMessage(nil, "QUERY", "a", "PUT x y"), kernel.Second, nil); !errors.Is(err, connpool.ErrBroken) {
				t.Errorf("sent in part: %v", err)
			}
		}
		if n := <-more; n > 0 || conn.Reusable() {
			t.Errorf("%d complete lines arrived, may be lent again: %v", n, conn.Reusable())
		}
	})
}

// The gate is never held while the database accepts no data, and is called anew for each attempt;
// only the end of a long statement goes through it. The database never receives the whole of a
// refused statement.
func TestGateIsNotHeldWhileDatabaseAcceptsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		full    time.Duration // how long the database accepts no data
		refuses time.Duration // when the gate begins to refuse, if not 0
		sent    bool
		alive   bool // whether the connection may be lent again
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
			connectOn(t, plain, []string{"IDLE I -\r\n", answerA}, func(net *simulation.Net, conn *dbconn.Conn, err error, more <-chan int) {
				if err != nil {
					t.Fatal(err)
				}
				start := time.Now()
				net.SetReceiveBlocked("10.0.0.2", c.full > 0)
				time.AfterFunc(c.full, func() { net.SetReceiveBlocked("10.0.0.2", false) })
				longest := time.Duration(0)
				gate := func(write func() error) error {
					asked := time.Now()
					if c.refuses > 0 && asked.Sub(start) >= c.refuses-time.Nanosecond {
						return errors.New("refused")
					}
					err := write()
					longest = max(longest, time.Since(asked))
					return err
				}
				text := "PUT x " + strings.Repeat("y", c.size)
				err = conn.Send(lineprotocol.AppendMessage(nil, "QUERY", "a", text), 2*kernel.Second, gate)
				if longest > 0 {
					t.Errorf("the gate was held for %v", longest)
				}
				if (err == nil) != c.sent {
					t.Errorf("sent: %v", err)
				}
				if a, err := conn.Receive(kernel.Second, dbconn.Watch{}); c.sent != (err == nil && a.Seal == "a") {
					t.Errorf("answer %+v, %v", a, err)
				}
				if conn.Reusable() != c.alive {
					t.Errorf("clean: %v", conn.Reusable())
				}
				conn.Close()
			})
		})
	}
}

// A statement sent on a connection that was idle must not fail on the expired write deadline of
// the statement before.
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
		through := func(write func() error) error { return write() }
		if err := c.Send(lineprotocol.AppendMessage(nil, "QUERY", "s1.2", "FETCH x"), limit, through); err != nil {
			t.Fatal(err)
		}
		if a, err := c.Receive(limit, dbconn.Watch{}); err != nil || a.Seal != "b" {
			t.Errorf("%v %v", a, err)
		}
	})
}
