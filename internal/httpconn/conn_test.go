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

// reply returns the raw response to the request with the given ID.
func reply(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", httpconn.RequestID, id, len(body), body)
}

// connect runs f with a connection to a scripted database, which responds to successive requests
// with the given texts and closes the connection after the last.
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
				request, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				time.Sleep(100 * time.Millisecond)
				io.WriteString(db, text)
			}
			time.Sleep(time.Second)
		}()
		d := httpconn.Dialer{
			Net: n.Host("10.0.0.1"), ConnectTimeout: kernel.Second, UnresponsiveTimeout: kernel.Second, Wrap: func(c net.Conn) net.Conn { return c },
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

// exchange sends a request and returns the body of its response, "" if there is none. For a long
// response it returns the length of the body and the error of reading it.
func exchange(c *httpconn.Conn, id string, wait kernel.Micros) string {
	request, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	ch, err := c.Send(request, id, kernel.Second)
	if err != nil {
		return ""
	}
	r, err := httpconn.Await(ch, wait, nil, nil)
	if err != nil {
		return ""
	}
	defer r.Close()
	if r.Remainder != nil {
		rest, err := io.ReadAll(r.Remainder)
		return fmt.Sprintf("%d %v", len(r.Body)+len(rest), err)
	}
	return string(r.Body)
}

// A response is delivered only to the request that it belongs to. A connection on which the two can't
// be matched with certainty is neither used nor lent again.
func TestResponsesMatchTheirRequests(t *testing.T) {
	const tooShort, longEnough = 50 * kernel.Millisecond, 300 * kernel.Millisecond
	long := strings.Repeat("y", 100<<10)
	interim := "HTTP/1.1 100 Continue\r\n\r\n"
	for name, c := range map[string]struct {
		texts     []string
		ids       [2]string
		wait      kernel.Micros // for the first response
		firstBody string
		reusable  bool // whether the connection may be reused afterwards
		nextBody  string
	}{
		"in order":                          {[]string{reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, longEnough, "1", true, "2"},
		"interim responses":                 {[]string{strings.Repeat(interim, 5) + reply("a", "1"), strings.Repeat(interim, 5) + reply("b", "2")}, [2]string{"a", "b"}, longEnough, "1", true, "2"},
		"endless interim responses":         {[]string{strings.Repeat(interim, 20) + reply("a", "1")}, [2]string{"a", "b"}, longEnough, "", false, ""},
		"late response after a timeout":     {[]string{reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, tooShort, "", true, "2"},
		"response to another request first": {[]string{reply("z", "0") + reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, longEnough, "1", false, ""},
		"response sent twice":               {[]string{reply("a", "1") + reply("a", "1"), reply("b", "2")}, [2]string{"a", "b"}, longEnough, "1", false, ""},
		"repeated request ID":               {[]string{reply("a", "1"), reply("a", "1")}, [2]string{"a", "a"}, longEnough, "1", true, ""},
		"data after a long response":        {[]string{reply("a", long) + "HTTP", reply("b", "2")}, [2]string{"a", "b"}, longEnough, "102400 <nil>", false, ""},
		"truncated response":                {[]string{reply("a", long)[:5000]}, [2]string{"a", "b"}, 2 * kernel.Second, "", false, ""},
		"response without a request ID":     {[]string{"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", reply("b", "2")}, [2]string{"a", "b"}, longEnough, "", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			connect(t, c.texts, func(conn *httpconn.Conn) {
				if got := exchange(conn, c.ids[0], c.wait); got != c.firstBody {
					t.Errorf("first response %.20q", got)
				} else if got != "" && conn.Reusable() && !c.reusable {
					t.Error("the connection may be reused right after the response")
				}
				time.Sleep(200 * time.Millisecond) // a late response arrives
				if reusable := conn.Reusable() && conn.Alive(); reusable != c.reusable {
					t.Errorf("the connection may be reused: %v", reusable)
				}
				if got := exchange(conn, c.ids[1], longEnough); got != c.nextBody {
					t.Errorf("next response %.20q", got)
				}
				if c.ids[0] == c.ids[1] && conn.Reusable() {
					t.Error("the connection may be reused after a repeated request ID")
				}
			})
		})
	}
}

// failingConn is a connection whose writes fail after a given number of bytes.
type failingConn struct {
	net.Conn
	writable int
}

func (c *failingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b[:min(c.writable, len(b))])
	c.writable -= n
	if err == nil && n < len(b) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// A request of which even one byte was sent may have run; only a request of which no byte was sent
// counts as unsent. In both cases the connection is not reused.
func TestPartlyWrittenRequestCountsAsSent(t *testing.T) {
	for writable, unsent := range map[int]bool{0: true, 1: false, 70 << 10: false} {
		synctest.Test(t, func(t *testing.T) {
			local, remote := net.Pipe()
			go io.Copy(io.Discard, remote)
			d := httpconn.Dialer{
				Net: pipeNet{c: local}, ConnectTimeout: kernel.Second, UnresponsiveTimeout: kernel.Second, Wrap: func(c net.Conn) net.Conn { return &failingConn{c, writable} },
			}
			c, err := d.Open(t.Context(), discovery.Database{ID: "d", Address: "d"}, kernel.Second)
			if err != nil {
				t.Fatal(err)
			}
			request, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader(strings.Repeat("x", 100<<10)))
			if err != nil {
				t.Fatal(err)
			}
			ch, err := c.Send(request, "a", kernel.Second)
			if errors.Is(err, httpconn.ErrUnsent) != unsent {
				t.Errorf("%d bytes sent: %v", writable, err)
			}
			if !unsent {
				if _, err := httpconn.Await(ch, kernel.Second, nil, nil); err == nil || errors.Is(err, httpconn.ErrNoResponse) {
					t.Errorf("%d bytes sent: result %v", writable, err)
				}
			}
			if synctest.Wait(); c.Reusable() || c.Alive() {
				t.Errorf("%d bytes sent: the connection may be reused", writable)
			}
			remote.Close()
			time.Sleep(time.Minute)
		})
	}
}
