package rpc_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
	"indigowalk/internal/simulation"
)

const (
	self  = "10.0.0.1:7441"
	other = "10.0.0.2:7440"
	third = "10.0.0.3:7440"
)

type testEnv struct {
	*testing.T
	n   *simulation.Net
	ctx context.Context
}

// simulate runs a test on the simulated network and clock.
func simulate(t *testing.T, f func(b testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := testEnv{t, simulation.NewNet(1), ctx}
		f(b)
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			b.n.CloseSockets(host)
		}
		time.Sleep(10 * time.Second)
	})
}

func host(addr string) string { return addr[:strings.IndexByte(addr, ':')] }

func (b testEnv) endpoint(addr string) (*rpc.Endpoint, *kernel.Counters) {
	k := kernel.NewKernel("control", b.n.Host(host(addr)), slog.New(slog.DiscardHandler))
	return rpc.NewEndpoint(k, addr), k.Counters
}

// sendLines connects as a hand-written caller, sends the lines and returns what comes
// back within a second.
func (b testEnv) sendLines(from, to string, lines ...string) string {
	c, err := b.n.Host(host(from)).Dial(b.ctx, to, 0)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	fmt.Fprint(c, strings.Join(lines, "\n")+"\n")
	c.SetReadDeadline(time.Now().Add(time.Second))
	raw, _ := io.ReadAll(c)
	return string(raw)
}

// peer serves an address with a hand-written responder: each line that a caller sends
// is passed to answer, which returns the lines to send back.
func (b testEnv) peer(addr string, answer func(conn int, ask map[string]any) []string) {
	listener, err := b.n.Host(host(addr)).Listen(addr)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for n := 1; ; n++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for sc := bufio.NewScanner(c); sc.Scan(); {
					var q map[string]any
					if json.Unmarshal(sc.Bytes(), &q) != nil {
						return
					}
					for _, l := range answer(n, q) {
						io.WriteString(c, l+"\n")
					}
				}
			}()
		}
	}()
}

func helloLine(from, to string, incarnation int) string {
	return fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d,"seq":1}}`, from, to, incarnation)
}

// A response is accepted only from the intended process in its newest incarnation,
// for a call that was sent on the same connection, and only once.
func TestResponseAcceptedOnlyFromIntendedPeer(t *testing.T) {
	good := func(id any) string { return fmt.Sprintf(`{"id":%v,"body":"ok"}`, id) }
	hello := helloLine(other, self, 10)
	for _, c := range []struct {
		name, count string
		lines       func(id any) []string
		delivered   bool // the call received its response before the connection failed
	}{
		{"no hello", "rpc.malformed", func(id any) []string { return []string{good(id)} }, false},
		{"another address", "rpc.misdirected", func(id any) []string { return []string{helloLine(third, self, 10), good(id)} }, false},
		{"addressed to another process", "rpc.misdirected", func(id any) []string { return []string{helloLine(other, third, 10), good(id)} }, false},
		{"an older incarnation", "rpc.old_life", func(id any) []string { return []string{helloLine(other, self, 9), good(id)} }, false},
		{"an incarnation beyond the maximum", "rpc.malformed", func(id any) []string {
			return []string{fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d}}`, other, self, int64(1)<<60), good(id)}
		}, false},
		{"response to a call that was not sent", "rpc.unasked", func(id any) []string { return []string{hello, `{"id":77,"body":"no"}`, good(id)} }, false},
		{"two responses to one call", "rpc.unasked", func(id any) []string { return []string{hello, good(id), good(id)} }, true},
		{"a request instead of a response", "rpc.malformed", func(id any) []string { return []string{hello, fmt.Sprintf(`{"id":%v,"op":"x"}`, id)} }, false},
		{"two hellos", "rpc.malformed", func(id any) []string { return []string{hello, hello, good(id)} }, false},
		{"not JSON", "rpc.malformed", func(id any) []string { return []string{hello, "noise", good(id)} }, false},
		{"too long", "rpc.malformed", func(id any) []string { return []string{hello, `"` + strings.Repeat("x", 5<<20), good(id)} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(b testEnv) {
				e, counters := b.endpoint(self)
				b.peer(other, func(conn int, q map[string]any) []string {
					switch {
					case q["id"] == nil:
						return nil
					case conn == 2:
						return c.lines(q["id"])
					}
					return []string{hello, good(q["id"])}
				})
				defer e.CloseConnections()
				call := func() (a string, err error) {
					err = e.Call(b.ctx, other, "op", 1, &a, kernel.Second)
					return a, err
				}
				if a, err := call(); a != "ok" || err != nil {
					b.Fatalf("%q %v", a, err)
				}
				e.CloseConnections()
				a, err := call()
				time.Sleep(10 * time.Millisecond)
				if (err == nil) != c.delivered || c.delivered && a != "ok" || counters.Snapshot()[c.count] != 1 {
					b.Errorf("%q %v %v", a, err, counters.Snapshot())
				}
				if !c.delivered && !errors.Is(err, rpc.ErrUnreachable) {
					b.Error(err)
				}
				if a, err := call(); a != "ok" || err != nil {
					b.Errorf("afterwards: %q %v", a, err)
				}
			})
		})
	}
}

// The response to an abandoned call may arrive late. It must not be delivered to another
// call, and the connection must stay usable for the calls that still wait on it.
func TestLateResponseNotDeliveredToOtherCall(t *testing.T) {
	simulate(t, func(b testEnv) {
		p, _ := b.endpoint(other)
		p.Handle("slow", func(_ context.Context, body json.RawMessage) (any, error) {
			time.Sleep(300 * time.Millisecond)
			return body, nil
		})
		e, counters := b.endpoint(self)
		go p.Serve(b.ctx)
		synctest.Wait()
		defer e.CloseConnections()
		waitingErr := make(chan error, 1)
		go func() {
			var a string
			err := e.Call(b.ctx, other, "slow", "long", &a, kernel.Second)
			if err == nil && a != "long" {
				err = errors.New(a)
			}
			waitingErr <- err
		}()
		time.Sleep(100 * time.Millisecond)
		if err := e.Call(b.ctx, other, "slow", "short", nil, 100*kernel.Millisecond); !errors.Is(err, rpc.ErrUnreachable) {
			b.Error(err)
		}
		var a string
		if err := e.Call(b.ctx, other, "slow", "next", &a, kernel.Second); err != nil || a != "next" {
			b.Errorf("%q %v", a, err)
		}
		if err := <-waitingErr; err != nil || counters.Snapshot()["rpc.unasked"] != 0 {
			b.Errorf("%v %v", err, counters.Snapshot())
		}
	})
}

// A call is executed only if it is addressed to this process, on the newest connection
// of the newest incarnation of its caller, and only once.
func TestCallExecutedOnlyFromNewestConnection(t *testing.T) {
	simulate(t, func(b testEnv) {
		var mu sync.Mutex
		ran := map[string]int{}
		ended := make(chan struct{})
		p, counters := b.endpoint(other)
		p.Handle("op", func(_ context.Context, body json.RawMessage) (any, error) {
			mu.Lock()
			defer mu.Unlock()
			ran[string(body)]++
			return 1, nil
		})
		p.Handle("hold", func(ctx context.Context, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
		go p.Serve(b.ctx)
		synctest.Wait()
		old, err := b.n.Host("10.0.0.1").Dial(b.ctx, other, 0)
		if err != nil {
			b.Fatal(err)
		}
		fmt.Fprintln(old, helloLine(self, other, 5)+"\n"+`{"id":1,"op":"hold"}`)
		time.Sleep(10 * time.Millisecond)
		for _, c := range []struct {
			name, count, want string
			lines             []string
		}{
			{"a new incarnation", "", `"id":1,"body":1`, []string{helloLine(self, other, 10), `{"id":1,"op":"op","body":"a"}`}},
			{"no hello", "rpc.malformed", "", []string{`{"id":1,"op":"op","body":"x"}`}},
			{"addressed to another process", "rpc.misdirected", "hello", []string{helloLine(self, third, 10), `{"id":1,"op":"op","body":"x"}`}},
			{"an older incarnation", "rpc.old_life", `"known":10,"old":true`, []string{helloLine(self, other, 9), `{"id":1,"op":"op","body":"x"}`}},
			{"an older connection", "rpc.old_life", `"known":10,"old":true`, []string{helloLine(self, other, 10), `{"id":1,"op":"op","body":"x"}`}},
			{"the same call twice", "rpc.malformed", "hello", []string{helloLine(third, other, 1), `{"id":1,"op":"op","body":"b"}`, `{"id":1,"op":"op","body":"b"}`}},
			{"an unknown operation", "rpc.unknown_op", `"err":"unknown operation"`, []string{helloLine(self, other, 11), `{"id":1,"op":"nothing"}`}},
			{"cut off", "", "", []string{helloLine(self, other, 12)[:30]}},
		} {
			before := counters.Snapshot()[c.count]
			if got := b.sendLines(self, other, c.lines...); !strings.Contains(got, c.want) || c.count != "" && counters.Snapshot()[c.count] != before+1 {
				b.Errorf("%s: %q %v", c.name, got, counters.Snapshot())
			}
		}
		select {
		case <-ended:
		default:
			b.Error("a call of the previous incarnation still runs")
		}
		mu.Lock()
		defer mu.Unlock()
		if ran[`"x"`] != 0 || ran[`"a"`] != 1 || ran[`"b"`] > 1 {
			b.Error(ran)
		}
	})
}

// A process that restarts after its clock stepped back has an older incarnation than its
// predecessor. It must take the next one and work, both as caller and as callee.
func TestRestartAfterClockSteppedBack(t *testing.T) {
	simulate(t, func(b testEnv) {
		first, _ := b.endpoint(self) // its incarnation is the present time
		time.Sleep(time.Second)
		later, _ := b.endpoint(self)
		restarted, _ := b.endpoint(other)
		time.Sleep(time.Second)
		before, _ := b.endpoint(other)
		for _, e := range []*rpc.Endpoint{first, later, restarted, before} {
			e.Handle("op", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
		}
		serve := func(e *rpc.Endpoint) (stop func()) {
			ctx, cancel := context.WithCancel(b.ctx)
			go e.Serve(ctx)
			synctest.Wait()
			return func() { cancel(); time.Sleep(10 * time.Millisecond) }
		}
		call := func(e *rpc.Endpoint, addr string) {
			if err := e.Call(b.ctx, addr, "op", 1, nil, 200*kernel.Millisecond); err != nil {
				b.Error(err)
			}
		}
		stop := serve(before)
		call(later, other) // learns the callee's later incarnation
		later.CloseConnections()
		call(first, other) // older than the caller that connected last
		first.CloseConnections()
		stop()
		defer serve(restarted)()
		call(later, other) // the callee is older than the known incarnation
		later.CloseConnections()
		first.CloseConnections()
	})
}

// A caller that is canceled while dialing, or whose connection is closed, must not leave
// anything behind that delays the next call or is taken for its response.
func TestCallCanceledWhileDialing(t *testing.T) {
	simulate(t, func(b testEnv) {
		p, _ := b.endpoint(other)
		p.Handle("op", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
		go p.Serve(b.ctx)
		synctest.Wait()
		e, _ := b.endpoint(self)
		defer e.CloseConnections()
		b.n.SetPartitioned(host(self), host(other), true)
		ctx, cancel := context.WithCancel(b.ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		began := time.Now()
		if err := e.Call(ctx, other, "op", 1, nil, kernel.Second); !errors.Is(err, rpc.ErrUnreachable) || time.Since(began) > 20*time.Millisecond {
			b.Error(err, time.Since(began))
		}
		b.n.SetPartitioned(host(self), host(other), false)
		for range 3 {
			if err := e.Call(b.ctx, other, "op", 1, nil, kernel.Second); err != nil {
				b.Error(err)
			}
			e.CloseConnections()
		}
	})
}
