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

// testEnv is a test on the simulated network and clock.
type testEnv struct {
	*testing.T
	network *simulation.Net
	ctx     context.Context
}

// simulate runs a test on the simulated network and clock.
func simulate(t *testing.T, test func(env testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		env := testEnv{t, simulation.NewNet(1), ctx}
		test(env)
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			env.network.CloseSockets(host)
		}
		time.Sleep(10 * time.Second)
	})
}

// host returns the host of an address.
func host(addr string) string { return addr[:strings.IndexByte(addr, ':')] }

// endpoint returns an endpoint at an address, and its counters.
func (env testEnv) endpoint(addr string) (*rpc.Endpoint, *kernel.Counters) {
	k := kernel.NewKernel("control", env.network.Host(host(addr)), slog.New(slog.DiscardHandler))
	return rpc.NewEndpoint(k, addr), k.Counters
}

// sendLines connects as a hand-written caller, sends the lines and returns what it receives
// within a second.
func (env testEnv) sendLines(from, to string, lines ...string) string {
	conn, err := env.network.Host(host(from)).Dial(env.ctx, to, 0)
	if err != nil {
		env.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprint(conn, strings.Join(lines, "\n")+"\n")
	conn.SetReadDeadline(time.Now().Add(time.Second))
	raw, _ := io.ReadAll(conn)
	return string(raw)
}

// peer serves an address with a hand-written responder: each line that a caller sends is
// passed to respond, with the number of its connection, and the lines that respond returns
// are sent back.
func (env testEnv) peer(addr string, respond func(conn int, request map[string]any) []string) {
	listener, err := env.network.Host(host(addr)).Listen(addr)
	if err != nil {
		env.Fatal(err)
	}
	go func() {
		for connection := 1; ; connection++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for scanner := bufio.NewScanner(c); scanner.Scan(); {
					var request map[string]any
					if json.Unmarshal(scanner.Bytes(), &request) != nil {
						return
					}
					for _, line := range respond(connection, request) {
						io.WriteString(c, line+"\n")
					}
				}
			}()
		}
	}()
}

// helloLine returns the hello of a process in an incarnation.
func helloLine(from, to string, incarnation int) string {
	return fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d,"seq":1}}`, from, to, incarnation)
}

// A response is accepted only from the intended process in its newest incarnation,
// for a call that was sent on the same connection, and only once.
func TestResponseAcceptedOnlyFromIntendedPeer(t *testing.T) {
	validResponse := func(id any) string { return fmt.Sprintf(`{"id":%v,"body":"ok"}`, id) }
	hello := helloLine(other, self, 10)
	for _, c := range []struct {
		name, count string
		lines       func(id any) []string
		delivered   bool // the call received its response before the connection failed
	}{
		{"no hello", "rpc.malformed", func(id any) []string { return []string{validResponse(id)} }, false},
		{"another address", "rpc.misdirected", func(id any) []string { return []string{helloLine(third, self, 10), validResponse(id)} }, false},
		{"addressed to another process", "rpc.misdirected", func(id any) []string { return []string{helloLine(other, third, 10), validResponse(id)} }, false},
		{"an older incarnation", "rpc.old_life", func(id any) []string { return []string{helloLine(other, self, 9), validResponse(id)} }, false},
		{"an incarnation beyond the maximum", "rpc.malformed", func(id any) []string {
			return []string{fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d}}`, other, self, int64(1)<<60), validResponse(id)}
		}, false},
		{"response to a call that was not sent", "rpc.unasked", func(id any) []string { return []string{hello, `{"id":77,"body":"no"}`, validResponse(id)} }, false},
		{"two responses to one call", "rpc.unasked", func(id any) []string { return []string{hello, validResponse(id), validResponse(id)} }, true},
		{"a request instead of a response", "rpc.malformed", func(id any) []string { return []string{hello, fmt.Sprintf(`{"id":%v,"op":"x"}`, id)} }, false},
		{"two hellos", "rpc.malformed", func(id any) []string { return []string{hello, hello, validResponse(id)} }, false},
		{"not JSON", "rpc.malformed", func(id any) []string { return []string{hello, "noise", validResponse(id)} }, false},
		{"too long", "rpc.malformed", func(id any) []string { return []string{hello, `"` + strings.Repeat("x", 5<<20), validResponse(id)} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, func(env testEnv) {
				caller, counters := env.endpoint(self)
				env.peer(other, func(connection int, request map[string]any) []string {
					switch {
					case request["id"] == nil:
						return nil
					case connection == 2:
						return c.lines(request["id"])
					}
					return []string{hello, validResponse(request["id"])}
				})
				defer caller.CloseConnections()
				call := func() (body string, err error) {
					err = caller.Call(env.ctx, other, "op", 1, &body, kernel.Second)
					return body, err
				}
				if body, err := call(); body != "ok" || err != nil {
					env.Fatalf("first call: response %q, error %v", body, err)
				}
				caller.CloseConnections()
				body, err := call()
				time.Sleep(10 * time.Millisecond)
				if (err == nil) != c.delivered || c.delivered && body != "ok" || counters.Snapshot()[c.count] != 1 {
					env.Errorf("response %q, error %v, counters %v", body, err, counters.Snapshot())
				}
				if !c.delivered && !errors.Is(err, rpc.ErrUnreachable) {
					env.Error(err)
				}
				if body, err := call(); body != "ok" || err != nil {
					env.Errorf("call on a new connection: response %q, error %v", body, err)
				}
			})
		})
	}
}

// The response to an abandoned call may arrive late. It must not be delivered to another
// call, and the connection must stay usable for the calls that still wait on it.
func TestLateResponseNotDeliveredToOtherCall(t *testing.T) {
	simulate(t, func(env testEnv) {
		callee, _ := env.endpoint(other)
		callee.Handle("slow", func(_ context.Context, body json.RawMessage) (any, error) {
			time.Sleep(300 * time.Millisecond)
			return body, nil
		})
		caller, counters := env.endpoint(self)
		go callee.Serve(env.ctx)
		synctest.Wait()
		defer caller.CloseConnections()
		waitingErr := make(chan error, 1)
		go func() {
			var response string
			err := caller.Call(env.ctx, other, "slow", "long", &response, kernel.Second)
			if err == nil && response != "long" {
				err = errors.New(response)
			}
			waitingErr <- err
		}()
		time.Sleep(100 * time.Millisecond)
		if err := caller.Call(env.ctx, other, "slow", "short", nil, 100*kernel.Millisecond); !errors.Is(err, rpc.ErrUnreachable) {
			env.Error(err)
		}
		var response string
		if err := caller.Call(env.ctx, other, "slow", "next", &response, kernel.Second); err != nil || response != "next" {
			env.Errorf("later call: response %q, error %v", response, err)
		}
		if err := <-waitingErr; err != nil || counters.Snapshot()["rpc.unasked"] != 0 {
			env.Errorf("waiting call: error %v, counters %v", err, counters.Snapshot())
		}
	})
}

// A call is executed only if it is addressed to this process, on the newest connection
// of the newest incarnation of its caller, and only once.
func TestCallExecutedOnlyFromNewestConnection(t *testing.T) {
	simulate(t, func(env testEnv) {
		var mu sync.Mutex
		ran := map[string]int{}
		ended := make(chan struct{})
		callee, counters := env.endpoint(other)
		callee.Handle("op", func(_ context.Context, body json.RawMessage) (any, error) {
			mu.Lock()
			defer mu.Unlock()
			ran[string(body)]++
			return 1, nil
		})
		callee.Handle("hold", func(ctx context.Context, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			close(ended)
			return nil, ctx.Err()
		})
		go callee.Serve(env.ctx)
		synctest.Wait()
		oldConn, err := env.network.Host("10.0.0.1").Dial(env.ctx, other, 0)
		if err != nil {
			env.Fatal(err)
		}
		fmt.Fprintln(oldConn, helloLine(self, other, 5)+"\n"+`{"id":1,"op":"hold"}`)
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
			if got := env.sendLines(self, other, c.lines...); !strings.Contains(got, c.want) || c.count != "" && counters.Snapshot()[c.count] != before+1 {
				env.Errorf("%s: received %q, counters %v", c.name, got, counters.Snapshot())
			}
		}
		select {
		case <-ended:
		default:
			env.Error("a call of the previous incarnation still runs")
		}
		mu.Lock()
		defer mu.Unlock()
		if ran[`"x"`] != 0 || ran[`"a"`] != 1 || ran[`"b"`] > 1 {
			env.Error(ran)
		}
	})
}

// A process that restarts after its clock stepped back has an older incarnation than its
// predecessor. It must move to the incarnation after that of its predecessor, so that calls
// succeed, both as caller and as callee.
func TestRestartAfterClockSteppedBack(t *testing.T) {
	simulate(t, func(env testEnv) {
		firstCaller, _ := env.endpoint(self) // its incarnation is the present time
		time.Sleep(time.Second)
		laterCaller, _ := env.endpoint(self)
		restartedCallee, _ := env.endpoint(other)
		time.Sleep(time.Second)
		previousCallee, _ := env.endpoint(other)
		for _, endpoint := range []*rpc.Endpoint{firstCaller, laterCaller, restartedCallee, previousCallee} {
			endpoint.Handle("op", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
		}
		serve := func(endpoint *rpc.Endpoint) (stop func()) {
			ctx, cancel := context.WithCancel(env.ctx)
			go endpoint.Serve(ctx)
			synctest.Wait()
			return func() { cancel(); time.Sleep(10 * time.Millisecond) }
		}
		call := func(endpoint *rpc.Endpoint, addr string) {
			if err := endpoint.Call(env.ctx, addr, "op", 1, nil, 200*kernel.Millisecond); err != nil {
				env.Error(err)
			}
		}
		stop := serve(previousCallee)
		call(laterCaller, other) // learns the callee's later incarnation
		laterCaller.CloseConnections()
		call(firstCaller, other) // older than the caller that connected last
		firstCaller.CloseConnections()
		stop()
		defer serve(restartedCallee)()
		call(laterCaller, other) // the callee is older than the known incarnation
		laterCaller.CloseConnections()
		firstCaller.CloseConnections()
	})
}

// A call that is canceled while dialing, or whose connection is closed, must not leave anything
// behind that delays the next call or is mistaken for its response.
func TestCallCanceledWhileDialing(t *testing.T) {
	simulate(t, func(env testEnv) {
		callee, _ := env.endpoint(other)
		callee.Handle("op", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
		go callee.Serve(env.ctx)
		synctest.Wait()
		caller, _ := env.endpoint(self)
		defer caller.CloseConnections()
		env.network.SetPartitioned(host(self), host(other), true)
		ctx, cancel := context.WithCancel(env.ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		began := time.Now()
		if err := caller.Call(ctx, other, "op", 1, nil, kernel.Second); !errors.Is(err, rpc.ErrUnreachable) || time.Since(began) > 20*time.Millisecond {
			env.Error(err, time.Since(began))
		}
		env.network.SetPartitioned(host(self), host(other), false)
		for range 3 {
			if err := caller.Call(env.ctx, other, "op", 1, nil, kernel.Second); err != nil {
				env.Error(err)
			}
			caller.CloseConnections()
		}
	})
}
