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

// pipeNet is a network with a single connection.
type pipeNet struct {
	kernel.Network
	c net.Conn
}

func (n pipeNet) Dial(context.Context, string, kernel.Micros) (net.Conn, error) { return n.c, nil }

// Whatever bytes a database sends, and however they are split, a delivered response carries the ID of
// its request and contains only bytes that the database sent. Data that arrives after both responses,
// or while no request is in progress, ends the connection.
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
			local, remote := net.Pipe()
			go io.Copy(io.Discard, remote)
			d := httpconn.Dialer{Net: pipeNet{c: local}, ConnectTimeout: kernel.Second, UnresponsiveTimeout: kernel.Second, Wrap: func(c net.Conn) net.Conn { return c }}
			c, err := d.Open(t.Context(), discovery.Database{ID: "d", Address: "d"}, kernel.Second)
			if err != nil {
				t.Fatal(err)
			}
			all := append(bytes.Clone(first), second...)
			exchange := func(id string, piece []byte) {
				reusable := c.Reusable() && c.Alive()
				request, err := http.NewRequest(http.MethodPost, "http://d/", strings.NewReader("x"))
				if err != nil {
					t.Fatal(err)
				}
				ch, err := c.Send(request, id, kernel.Second)
				if err == nil && !reusable {
					t.Errorf("request %s is sent on a connection that must not be reused", id)
				}
				go remote.Write(piece)
				if err != nil {
					return
				}
				reply, err := httpconn.Await(ch, kernel.Second, nil, nil)
				if err != nil {
					c.Close()
					return
				}
				defer reply.Close()
				body := reply.Body
				if reply.Remainder != nil {
					rest, _ := io.ReadAll(io.LimitReader(reply.Remainder, 1<<20))
					body = append(bytes.Clone(body), rest...)
				}
				if reply.Header.Get(httpconn.RequestID) != id || reply.Status < 200 {
					t.Errorf("request %s got response %d %v", id, reply.Status, reply.Header)
				}
				if reply.Header.Get("Transfer-Encoding") == "" && reply.Length >= 0 && !bytes.Contains(all, body) {
					t.Errorf("request %s got %q, which the database did not send", id, body)
				}
			}
			exchange("a", first)
			synctest.Wait()
			exchange("b", second)
			synctest.Wait()
			remote.Close()
			time.Sleep(time.Minute)
			if c.Alive() {
				t.Error("the connection is alive after the database has closed it")
			}
			c.Close()
			time.Sleep(time.Minute)
		})
	})
}
