package httpconn_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
	"indigowalk/internal/simulation"
)

// reply is an answer to a request.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", httpconn.RequestID, id, len(body), body)
}

// connect plays a test with a connection to a hand-made database, which answers
// the requests in turn with the texts; the connection ends after the last.
func connect(t *testing.T, texts []string, f func(c *httpconn.Conn)) {
	synctest.Test(t, func(t *testing.T) {
		n := simulation.NewNet(1)
		ln, err := n.Host("10.0.0.2").Listen("10.0.0.2:1")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			db, err := ln.Accept()
			if err != nil {
				return
			}
			defer db.Close()
			in := bufio.NewReader(db)
			for _, text := range texts {
				q, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, q.Body)
				time.Sleep(100 * time.Millisecond)
				io.WriteString(db, text)
			}
			time.Sleep(time.Second)
		}()
		d := httpconn.Dialer{
			Net: n.Host("10.0.0.1"), Connect: kernel.Second, Silence: kernel.Second, Wrap: func(c net.Conn) net.Conn { return c },
		}
		c, err := d.Open(t.Context(), discovery.Database{ID: "d", Address: "10.0.0.2:1"}, kernel.Second)
		if err != nil {
			t.Fatal(err)
		}
		f(c)
		c.Close()
		ln.Close()
		time.Sleep(15 * time.Second)
	})
}

// ask sends a request and waits for its answer; "" if there is none.
func ask(c *httpconn.Conn, id string, wait kernel.Micros) string {
	q, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	ch, err := c.Send(q, id, kernel.Second)
	if err != nil {
		return ""
	}
	r, err := httpconn.Await(ch, wait, nil, nil)
	if err != nil {
		return ""
	}
	defer r.Close()
	if r.Rest != nil {
		rest, err := io.ReadAll(r.Rest)
		return fmt.Sprintf("%d %v", len(r.Body)+len(rest), err)
	}
	return string(r.Body)
}

// Invariant REQUEST: an answer is given only to the request that it answers, and
// a connection on which that is not sure is neither used nor lent again.
func TestREQUESTTakesNoOthersAnswer(t *testing.T) {
	const soon, late = 50 * kernel.Millisecond, 300 * kernel.Millisecond
	long := strings.Repeat("y", 100<<10)
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	for name, c := range map[string]struct {
		texts []string
		ids   [2]string
		wait  kernel.Micros // for the first answer
		first string
		clean bool // the connection may serve others then
		next  string
	}{
		"in order":                      {[]string{reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, late, "1", true, "2"},
		"interim answers":               {[]string{strings.Repeat(interim, 5) + reply("a", "1"), strings.Repeat(interim, 5) + reply("b", "2")}, [2]string{"a", "b"}, late, "1", true, "2"},
		"interim answers without end":   {[]string{strings.Repeat(interim, 20) + reply("a", "1")}, [2]string{"a", "b"}, late, "", false, ""},
		"given up, answered late":       {[]string{reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, soon, "", true, "2"},
		"another's answer first":        {[]string{reply("z", "0") + reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, late, "1", false, ""},
		"answered twice":                {[]string{reply("a", "1") + reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, late, "1", false, ""},
		"the same id again":             {[]string{reply("a", "1"), reply("a", "1")}, [2]string{"a", "a"}, late, "1", true, ""},
		"more behind a long answer":     {[]string{reply("a", long) + "HTTP", reply("b", "2")}, [2]string{"a", "b"}, late, "102400 <nil>", false, ""},
		"cut off":                       {[]string{reply("a", long)[:5000]}, [2]string{"a", "b"}, 2 * kernel.Second, "", false, ""},
		"an answer without its request": {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", reply("b", "2")}, [2]string{"a", "b"}, late, "", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			connect(t, c.texts, func(conn *httpconn.Conn) {
				if got := ask(conn, c.ids[0], c.wait); got != c.first {
					t.Errorf("first answer %.20q", got)
				} else if got != "" && conn.Clean() && !c.clean {
					t.Error("it may serve others at once")
				}
				time.Sleep(200 * time.Millisecond) // what is late comes
				if clean := conn.Clean() && conn.Alive(); clean != c.clean {
					t.Errorf("it may serve others: %v", clean)
				}
				if got := ask(conn, c.ids[1], late); got != c.next {
					t.Errorf("next answer %.20q", got)
				}
				if c.ids[0] == c.ids[1] && conn.Clean() {
					t.Error("it is lent again after an id that it has carried")
				}
			})
		})
	}
}

// short is a connection whose first write fails after some bytes.
type short struct {
	net.Conn
	left int
}

func (c *short) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(c.left, len(b))])
	c.left -= n
	if err == nil && n < len(b) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A request of which a byte has left may have run; only one of which none has is
// unsent. Neither connection is used again.
func TestREQUESTOfWhichAByteHasLeftIsSent(t *testing.T) {
	for left, unsent := range map[int]bool{0: true, 1: false, 70 << 10: false} {
		synctest.Test(t, func(t *testing.T) {
			mine, theirs := net.Pipe()
			go io.Copy(io.Discard, theirs)
			d := httpconn.Dialer{
				Net: wire{end: mine}, Connect: kernel.Second, Silence: kernel.Second, Wrap: func(c net.Conn) net.Conn { return &short{c, left} },
			}
			c, err := d.Open(t.Context(), discovery.Database{ID: "d", Address: "d"}, kernel.Second)
			if err != nil {
				t.Fatal(err)
			}
			q, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader(strings.Repeat("x", 100<<10)))
			if err != nil {
				t.Fatal(err)
			}
			ch, err := c.Send(q, "a", kernel.Second)
			if errors.Is(err, httpconn.ErrUnsent) != unsent {
				t.Errorf("%d bytes have left: %v", left, err)
			}
			if !unsent {
				if _, err := httpconn.Await(ch, kernel.Second, nil, nil); err == nil || errors.Is(err, httpconn.ErrQuiet) {
					t.Errorf("%d bytes have left, then %v", left, err)
				}
			}
			if synctest.Wait(); c.Clean() || c.Alive() {
				t.Errorf("%d bytes have left, and it may serve others", left)
			}
			theirs.Close()
			time.Sleep(time.Minute)
		})
	}
}
