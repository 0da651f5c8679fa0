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

// Limits of misbehaving clients.
const (
	misbehavingClients      = 8 // at the same time
	longestMisbehavior      = 4 * time.Second
	misbehavingDialTimeout  = 500 * time.Millisecond
	misbehavingWriteTimeout = time.Second
	endlessBytes            = 1200 << 10
)

// misbehavior is one way in which a client misbehaves on its connection.
type misbehavior func(ctx context.Context, c net.Conn, r *rand.Rand)

// misbehaviors returns the misbehaviors of clients of poolers, or of gateways.
func misbehaviors(tier string) []misbehavior {
	both := []misbehavior{silent, garbage, endless}
	if tier == Gateway {
		return append(both, partialHeader, partialBody, pipelinedRequests, neverRead("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	return append(both, partialStatement, pipelined, idleInTransaction, neverRead("QUERY r.1 FETCH x\r\n"), disconnectEarly)
}

// injectClientFault makes several clients misbehave in the same way at one proxy.
func (t *faultInjector) injectClientFault(ctx context.Context, _ string, r *rand.Rand) error {
	var proxies []*machine
	for _, m := range t.cluster.all() {
		if m.proxy {
			proxies = append(proxies, m)
		}
	}
	m := proxies[r.IntN(len(proxies))]
	choices := misbehaviors(t.cluster.plan.Tier)
	misbehave := choices[r.IntN(len(choices))]
	ctx, cancel := context.WithTimeout(ctx, randomDuration(r, longestMisbehavior))
	defer cancel()
	done := make(chan struct{}, misbehavingClients)
	for range misbehavingClients {
		own := rand.New(rand.NewPCG(r.Uint64(), misbehaviorStream))
		go func() {
			defer func() { done <- struct{}{} }()
			dialer := net.Dialer{Timeout: misbehavingDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(clientGroup, misbehavingHost))}}
			c, err := dialer.DialContext(ctx, "tcp4", m.clientAddr())
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(misbehavingWriteTimeout)) // best effort; a failure changes nothing
			misbehave(ctx, c, own)
		}()
	}
	for range misbehavingClients {
		<-done
	}
	return nil
}

const (
	// misbehavingHost is the host number of the address that these clients connect from, and
	// misbehaviorStream their stream of random numbers.
	misbehavingHost   = 200
	misbehaviorStream = 7000
)

// write writes a text and ignores errors: nothing depends on its success.
func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

// stay keeps the connection open until ctx ends.
func stay(ctx context.Context) { <-ctx.Done() }

func silent(ctx context.Context, _ net.Conn, _ *rand.Rand) { stay(ctx) }

func garbage(ctx context.Context, c net.Conn, r *rand.Rand) {
	raw := make([]byte, 1+r.IntN(4000))
	for i := range raw {
		raw[i] = byte(r.IntN(256))
	}
	write(c, string(raw))
	stay(ctx)
}

func endless(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, "LOGIN "+string(bytes.Repeat([]byte("x"), endlessBytes)))
	stay(ctx)
}

// login sends a raw login without reading the response.
func login(c net.Conn) {
	write(c, "LOGIN "+standin.PrimaryRoute+".service1 rude\r\n")
}

func partialStatement(ctx context.Context, c net.Conn, r *rand.Rand) {
	login(c)
	text := "QUERY rude.1 FETCH " + strings.Repeat("x", 100<<10)
	write(c, text[:1+r.IntN(len(text)-1)])
	stay(ctx)
}

func pipelined(ctx context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	var text strings.Builder
	for n := range 20 {
		fmt.Fprintf(&text, "QUERY rude.%d OPTION a %d\r\n", n, n)
	}
	write(c, text.String())
	stay(ctx)
}

func idleInTransaction(ctx context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	write(c, "QUERY rude.1 BEGIN FETCH\r\nQUERY rude.2 FETCH x\r\n")
	stay(ctx)
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
		stay(ctx)
	}
}

func partialHeader(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, "GET /safe/x HTTP/1.1\r\nHost: service1.example\r\nX-Slow: ")
	stay(ctx)
}

func partialBody(ctx context.Context, c net.Conn, r *rand.Rand) {
	size := 1 << r.IntN(20)
	write(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: service1.example\r\nX-Indigowalk-Request-Id: rude-%d\r\nContent-Length: %d\r\n\r\n%s",
		r.Int64(), size, strings.Repeat("x", size/2)))
	stay(ctx)
}

func pipelinedRequests(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 20))
	stay(ctx)
}
