package testbed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"indigowalk/internal/standin"
)

// Parameters of misbehaving clients.
const (
	misbehavingClients      = 8 // that connect at the same time
	maxMisbehaviorTime      = 4 * time.Second
	misbehavingDialTimeout  = 500 * time.Millisecond
	misbehavingWriteTimeout = time.Second
	unterminatedLineBytes   = 1200 << 10
)

// misbehavior is one way in which a client misbehaves on its connection.
type misbehavior func(ctx context.Context, c net.Conn, r *rand.Rand)

// misbehaviors returns the misbehaviors of clients of a tier's proxies.
func misbehaviors(tier string) []misbehavior {
	common := []misbehavior{silent, randomBytes, unterminatedLine}
	if tier == Gateway {
		return append(common, partialHeader, partialBody, pipelinedRequests, neverRead("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	return append(common, partialStatement, pipelined, idleInTransaction, neverRead("QUERY r.1 FETCH x\r\n"), disconnectEarly)
}

// injectClientFault connects several clients to one proxy, which all misbehave in the same way, and
// returns when they have disconnected.
func (f *faultInjector) injectClientFault(ctx context.Context, _ string, r *rand.Rand) error {
	var proxies []*machine
	for _, m := range f.cluster.currentMachines() {
		if m.proxy {
			proxies = append(proxies, m)
		}
	}
	m := proxies[r.IntN(len(proxies))]
	choices := misbehaviors(f.cluster.plan.Tier)
	misbehave := choices[r.IntN(len(choices))]
	ctx, cancel := context.WithTimeout(ctx, randomDuration(r, maxMisbehaviorTime))
	defer cancel()
	done := make(chan struct{}, misbehavingClients)
	for range misbehavingClients {
		clientRandom := rand.New(rand.NewPCG(r.Uint64(), misbehaviorStream))
		go func() {
			defer func() { done <- struct{}{} }()
			dialer := net.Dialer{Timeout: misbehavingDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(clientGroup, misbehavingClientHost))}}
			c, err := dialer.DialContext(ctx, "tcp4", m.clientAddr())
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(misbehavingWriteTimeout)) // best effort; a failure changes nothing
			misbehave(ctx, c, clientRandom)
		}()
	}
	for range misbehavingClients {
		<-done
	}
	return nil
}

const (
	// misbehavingClientHost is the number, in the group of clients, of the address that misbehaving
	// clients connect from, and misbehaviorStream their stream of random numbers.
	misbehavingClientHost = 200
	misbehaviorStream     = 7000
)

// write writes a text and ignores errors, since the proxy may close the connection at any time.
func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

// holdOpen keeps the connection open until ctx ends.
func holdOpen(ctx context.Context) { <-ctx.Done() }

// silent sends nothing.
func silent(ctx context.Context, _ net.Conn, _ *rand.Rand) { holdOpen(ctx) }

// randomBytes sends bytes that are not of the protocol.
func randomBytes(ctx context.Context, c net.Conn, r *rand.Rand) {
	raw := make([]byte, 1+r.IntN(4000))
	for i := range raw {
		raw[i] = byte(r.IntN(256))
	}
	write(c, string(raw))
	holdOpen(ctx)
}

// unterminatedLine sends a line of unterminatedLineBytes without its end.
func unterminatedLine(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, "LOGIN "+string(bytes.Repeat([]byte("x"), unterminatedLineBytes)))
	holdOpen(ctx)
}

// login sends a raw login without reading the response.
func login(c net.Conn) {
	write(c, "LOGIN "+standin.PrimaryRoute+".service1 rude\r\n")
}

// partialStatement sends the beginning of a long statement.
func partialStatement(ctx context.Context, c net.Conn, r *rand.Rand) {
	login(c)
	text := "QUERY rude.1 FETCH " + strings.Repeat("x", 100<<10)
	write(c, text[:1+r.IntN(len(text)-1)])
	holdOpen(ctx)
}

// pipelined sends statements without waiting for responses, and reads none.
func pipelined(ctx context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	var text strings.Builder
	for n := range 20 {
		fmt.Fprintf(&text, "QUERY rude.%d OPTION a %d\r\n", n, n)
	}
	write(c, text.String())
	holdOpen(ctx)
}

// idleInTransaction leaves a transaction open.
func idleInTransaction(ctx context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	write(c, "QUERY rude.1 BEGIN FETCH\r\nQUERY rude.2 FETCH x\r\n")
	holdOpen(ctx)
}

// disconnectEarly sends a statement and disconnects before the response.
func disconnectEarly(_ context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	write(c, "QUERY rude.1 FETCH x\r\n")
}

// neverRead returns a misbehavior that keeps sending requests and never reads a response.
func neverRead(text string) misbehavior {
	return func(ctx context.Context, c net.Conn, _ *rand.Rand) {
		login(c)
		for ctx.Err() == nil {
			if _, err := c.Write([]byte(strings.Repeat(text, 100))); err != nil {
				break
			}
		}
		holdOpen(ctx)
	}
}

// partialHeader sends a request whose header does not end.
func partialHeader(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, "GET /safe/x HTTP/1.1\r\nHost: service1.example\r\nX-Slow: ")
	holdOpen(ctx)
}

// partialBody sends a request with half of its announced body.
func partialBody(ctx context.Context, c net.Conn, r *rand.Rand) {
	size := 1 << r.IntN(20)
	write(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: service1.example\r\nX-Indigowalk-Request-Id: rude-%d\r\nContent-Length: %d\r\n\r\n%s",
		r.Int64(), size, strings.Repeat("x", size/2)))
	holdOpen(ctx)
}

// pipelinedRequests sends requests without waiting for responses, and reads none.
func pipelinedRequests(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 20))
	holdOpen(ctx)
}
