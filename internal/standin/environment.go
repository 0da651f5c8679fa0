// Package standin provides stand-ins for the system's environment: databases that speak the line
// protocol and replicate to each other, workers of HTTP services, the platform that promotes databases,
// and clients. They check what they observe against the system's rules and record violations. The
// simulation runs them on a simulated network, the testbed beside real processes.
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

// Environment is the network that stand-ins use, with its fault injection.
type Environment interface {
	// Network returns the network as seen from the host with this IP address.
	Network(ip string) kernel.Network
	// Controls lists the addresses of the control nodes, as the platform knows them.
	Controls() []string
	// Reaches reports whether packets pass from one address to another.
	Reaches(from, to string) bool
	// ReachedPeer reports whether a broken connection had reached its intended peer, and not only a relay
	// that accepts connections on behalf of the peer.
	ReachedPeer(c net.Conn) bool
	// Silence makes a host unresponsive, or responsive again.
	Silence(ip string, silent bool)
	// Reset resets a host's connections and closes its listeners.
	Reset(ip string)
}

// serveAt accepts connections at an address and serves each one until the listener is closed.
// It panics if it can't listen there.
func serveAt(network kernel.Network, addr string, serve func(net.Conn)) {
	ln, err := network.Listen(addr)
	if err != nil {
		panic(err) // two stand-ins share one address
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
	// callTimeout is how long callers of a control address wait for a response.
	callTimeout = time.Second
	// maxRedirects is how many redirects Call follows.
	maxRedirects = 2
)

// Call sends one HTTP request to the control API at addr, as databases and operators do, and returns the
// status and body of the response. It follows redirects. The status is 0 without a complete response.
func Call(network kernel.Network, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	return CallFollowing(network, maxRedirects, method, addr, path, header, body)
}

// CallFollowing is like Call, but follows up to the given number of redirects.
func CallFollowing(network kernel.Network, redirects int, method, addr, path string, header map[string]string, body []byte) (int, []byte) {
	client := &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
			return network.Dial(ctx, a, 0)
		}},
		CheckRedirect: func(_ *http.Request, via []*http.Request) error {
			if len(via) > redirects {
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
