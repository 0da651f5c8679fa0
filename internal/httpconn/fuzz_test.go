package httpconn_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/httpconn"
	"indigowalk/internal/kernel"
)

// wire is a network of one connection.
type wire struct {
	kernel.Network
	end net.Conn
}

func (w wire) Dial(context.Context, string, kernel.Micros) (net.Conn, error) { return w.end, nil }

// Whatever a database sends, in whatever pieces, an answer carries the id of the
// request that it is given to and its bytes come from the stream; what is sent
// after both requests are answered, or while none is out, ends the connection.
func FuzzUpstream(f *testing.F) {
	a, b := reply("a", "one"), reply("b", "two")
	chunked := "HTTP/1.1 200 OK\r\n" + httpconn.RequestID + ": a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
	for _, s := range [][2]string{
		{a, b}, {a + b, ""}, {"", a + b}, {b, a}, {a + a, b}, {a, a + b}, {a[:20], a[20:] + b}, {a[:len(a)-1], b}, {chunked, b}, {chunked[:len(chunked)-3], b},
		{"HTTP/1.1 100 Continue\r\n\r\n" + a, b}, {strings.Replace(a, "200", "101", 1), b}, {strings.Replace(a, ": a", ": z", 1) + a, b},
		{strings.Replace(a, "Content-Length: 3", "Connection: close", 1), b}, {"noise\r\n", a}, {strings.Replace(a, ": 3", ": 99999999999", 1), b},
		{strings.Replace(a, ": 3", ": 70000", 1) + strings.Repeat("y", 70000), b}, {strings.Replace(a, ": 3", ": 70000", 1) + strings.Repeat("y", 69000), b}, {strings.Replace(a, "OK", strings.Repeat("K", 70000), 1), b},
	} {
		f.Add([]byte(s[0]), []byte(s[1]))
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		synctest.Test(t, func(t *testing.T) {
			mine, theirs := net.Pipe()
			go io.Copy(io.Discard, theirs)
			d := httpconn.Dialer{Net: wire{end: mine}, Connect: kernel.Second, Silence: kernel.Second, Wrap: func(c net.Conn) net.Conn { return c }}
			c, err := d.Open(t.Context(), discovery.Database{ID: "d", Address: "d"}, kernel.Second)
			if err != nil {
				t.Fatal(err)
			}
			all := append(bytes.Clone(first), second...)
			ask := func(id string, piece []byte) {
				clean := c.Clean() && c.Alive()
				q, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				ch, err := c.Send(q, id, kernel.Second)
				if err == nil && !clean {
					t.Errorf("%s is sent on a connection that is not clean", id)
				}
				go theirs.Write(piece)
				if err != nil {
					return
				}
				r, err := httpconn.Await(ch, kernel.Second, nil, nil)
				if err != nil {
					c.Close()
					return
				}
				defer r.Close()
				body := r.Body
				if r.Rest != nil {
					rest, _ := io.ReadAll(io.LimitReader(r.Rest, 1<<20))
					body = append(bytes.Clone(body), rest...)
				}
				if r.Header.Get(httpconn.RequestID) != id || r.Status < 200 {
					t.Errorf("%s got %d %v", id, r.Status, r.Header)
				}
				if r.Header.Get("Transfer-Encoding") == "" && r.Length >= 0 && !bytes.Contains(all, body) {
					t.Errorf("%s got %q, which nobody sent", id, body)
				}
			}
			ask("a", first)
			synctest.Wait()
			ask("b", second)
			synctest.Wait()
			theirs.Close()
			time.Sleep(time.Minute)
			if c.Alive() {
				t.Error("it outlives its end")
			}
			c.Close()
			time.Sleep(time.Minute)
		})
	})
}
