// Package standin holds stand-ins for what surrounds the system: databases that
// speak the wire and replicate to each other, the platform that promotes them, and
// clients with their sessions. They check what they see against the rules. The
// simulation plays them on a simulated network, the testbed beside real processes.
package standin

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"indigowalk/internal/kernel"
)

// Environment is what stand-ins need of the network.
type Environment interface {
	// Network is that of a host.
	Network(ip string) kernel.Network
	// Controls lists the addresses of the control nodes, as the platform knows them.
	Controls() []string
	// Reaches tells whether packets pass from one address to another.
	Reaches(from, to string) bool
	// Made tells whether a connection that broke had reached whom it was made to: where
	// a relay stands between, that takes calls for others, it may not have.
	Made(c net.Conn) bool
	// Silence has a host answer nothing any more, or answer again.
	Silence(ip string, silent bool)
	// Reset breaks a host's connections and closes its addresses.
	Reset(ip string)
}

// serveAt has connections to an address be served until the address is closed.
func serveAt(network kernel.Network, addr string, serve func(net.Conn)) {
	ln, err := network.Listen(addr)
	if err != nil {
		panic(err) // two stand-ins at one address
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

const (
	// callWait is how long callers of the control address wait for an answer.
	callWait = time.Second
	// redirects are how many a caller follows.
	redirects = 2
)

// Call makes one call of a host to the control address of a node, as databases and
// operators do. The status is 0 if there was no answer.
func Call(network kernel.Network, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	return CallFollowing(network, redirects, method, addr, path, header, body)
}

// CallFollowing is a Call that follows so many redirects.
func CallFollowing(network kernel.Network, hops int, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	client := &http.Client{
		Timeout: callWait,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
			return network.Dial(ctx, a, 0)
		}},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > hops {
				return http.ErrUseLastResponse
			}
			return nil
		},
	}
	q, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	for name, value := range header {
		q.Header.Set(name, value)
	}
	a, err := client.Do(q)
	if err != nil {
		return 0, nil
	}
	defer a.Body.Close()
	raw, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil
	}
	return a.StatusCode, raw
}
