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

// Bounds of clients that misbehave.
const (
	rudeClients   = 8 // at a time
	longestRude   = 4 * time.Second
	rudeDialWait  = 500 * time.Millisecond
	rudeWriteWait = time.Second
	endlessBytes  = 1200 << 10
)

// rudeManner is one way in which a client misbehaves on its connection.
type rudeManner func(ctx context.Context, c net.Conn, r *rand.Rand)

// rudeManners are those of clients of poolers, or of gateways.
func rudeManners(tier string) []rudeManner {
	both := []rudeManner{silent, garbage, endless}
	if tier == Gateway {
		return append(both, halfHead, halfBody, pipelinedRequests, readsNothing("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	}
	return append(both, halfStatement, pipelined, restsInTransaction, readsNothing("QUERY r.1 FETCH x\r\n"), leavesAtOnce)
}

// strikeClients has some clients misbehave at one carrier.
func (t *troubles) strikeClients(ctx context.Context, _ string, r *rand.Rand) error {
	var carriers []*machine
	for _, m := range t.cluster.all() {
		if m.carrier {
			carriers = append(carriers, m)
		}
	}
	m := carriers[r.IntN(len(carriers))]
	manners := rudeManners(t.cluster.plan.Tier)
	manner := manners[r.IntN(len(manners))]
	ctx, cancel := context.WithTimeout(ctx, span(r, longestRude))
	defer cancel()
	done := make(chan struct{}, rudeClients)
	for range rudeClients {
		own := rand.New(rand.NewPCG(r.Uint64(), rudeStream))
		go func() {
			defer func() { done <- struct{}{} }()
			dialer := net.Dialer{Timeout: rudeDialWait, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address(clientGroup, rudeHost))}}
			c, err := dialer.DialContext(ctx, "tcp4", m.clientAddr())
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(rudeWriteWait)) // one that is not kept changes nothing
			manner(ctx, c, own)
		}()
	}
	for range rudeClients {
		<-done
	}
	return nil
}

const (
	// rudeHost is the number of the address that these clients call from, and rudeStream
	// the stream of random numbers that they draw from.
	rudeHost   = 200
	rudeStream = 7000
)

// write writes what the far end takes: nothing rests on it.
func write(c net.Conn, text string) { _, _ = c.Write([]byte(text)) }

// stay keeps the connection until ctx ends.
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

// login opens a session by hand.
func login(c net.Conn) {
	write(c, "LOGIN "+standin.PrimaryRoute+".service1 rude\r\n")
}

func halfStatement(ctx context.Context, c net.Conn, r *rand.Rand) {
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

func restsInTransaction(ctx context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	write(c, "QUERY rude.1 BEGIN FETCH\r\nQUERY rude.2 FETCH x\r\n")
	stay(ctx)
}

// leavesAtOnce sends a statement and leaves before its answer.
func leavesAtOnce(_ context.Context, c net.Conn, _ *rand.Rand) {
	login(c)
	write(c, "QUERY rude.1 FETCH x\r\n")
}

// readsNothing asks again and again, and takes no answer.
func readsNothing(text string) rudeManner {
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

func halfHead(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, "GET /safe/x HTTP/1.1\r\nHost: service1.example\r\nX-Slow: ")
	stay(ctx)
}

func halfBody(ctx context.Context, c net.Conn, r *rand.Rand) {
	size := 1 << r.IntN(20)
	write(c, fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: service1.example\r\nX-Indigowalk-Request-Id: rude-%d\r\nContent-Length: %d\r\n\r\n%s",
		r.Int64(), size, strings.Repeat("x", size/2)))
	stay(ctx)
}

func pipelinedRequests(ctx context.Context, c net.Conn, _ *rand.Rand) {
	write(c, strings.Repeat("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n", 20))
	stay(ctx)
}
