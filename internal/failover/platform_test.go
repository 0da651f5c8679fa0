package failover

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"indigowalk/internal/kernel"
)

// Invariant DUTY-ONCE: a call to the platform must be sent at most once, whatever happens to its
// connection. The simulated platform responds to a number of requests of a connection, possibly
// none, and then resets it, either while it is idle or after it has read one more request.
func TestPlatformCallIsSentOnce(t *testing.T) {
	for name, test := range map[string]struct {
		responses      int  // requests of a connection that get a response
		resetWhileIdle bool // the connection is reset after the last response, not at the next request
		calls          int
		failures       int // calls that get no response
	}{
		"never breaks":                {100, false, 3, 0},
		"reset while idle":            {1, true, 3, 0},
		"reset at the second request": {1, false, 3, 0},
		"reset without a response":    {0, false, 3, 3},
		"reset before the request":    {0, true, 3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			var mu sync.Mutex
			var requestsRead, conns int
			var wg sync.WaitGroup
			serve := func(conn net.Conn) {
				defer wg.Done()
				defer conn.Close()
				conn.(*net.TCPConn).SetLinger(0)
				in := bufio.NewReader(conn)
				for n := 0; n < test.responses || !test.resetWhileIdle; n++ {
					request, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, request.Body)
					mu.Lock()
					requestsRead++
					mu.Unlock()
					if n == test.responses {
						return
					}
					io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				io.Copy(io.Discard, io.LimitReader(conn, 1)) // until the client has closed the connection or sends another request
			}
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					mu.Lock()
					conns++
					mu.Unlock()
					wg.Add(1)
					go serve(conn)
				}
			}()
			platform := newPlatformClient(kernel.HostNetwork{}, ln.Addr().String(), "a")
			failed := 0
			for range test.calls {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				if err := platform.failover(ctx, 7, "s", "id"); err != nil {
					failed++
				}
				cancel()
			}
			platform.client.CloseIdleConnections()
			wg.Wait()
			if answered := test.calls - min(failed, test.calls); failed != test.failures || requestsRead > test.calls || requestsRead < answered || conns != test.calls {
				t.Errorf("%d calls were read %d times on %d connections, %d failed, not %d", test.calls, requestsRead, conns, failed, test.failures)
			}
		})
	}
}

// A call that is abandoned before the platform has read it must be cut off.
func TestAbandonedPlatformCallIsNotDelivered(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	platform := newPlatformClient(kernel.HostNetwork{}, ln.Addr().String(), "a")
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error)
	go func() { result <- platform.failover(ctx, 7, "s", "id") }()
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	if _, err := in.Peek(1); err != nil {
		t.Fatal(err)
	}
	cancel()
	if err := <-result; !errors.Is(err, context.Canceled) {
		t.Error(err)
	}
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.Copy(io.Discard, in); err == nil {
		t.Error("the connection ended as if the request was complete")
	}
}
