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

type bench struct {
	*testing.T
	n   *simulation.Net
	ctx context.Context
}

// play runs a test on the simulated network and clock.
func play(t *testing.T, f func(b bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := bench{t, simulation.NewNet(1), ctx}
		f(b)
		cancel()
		for _, host := range []string{"10.0.0.1", "10.0.0.2", "10.0.0.3"} {
			b.n.Reset(host)
		}
		time.Sleep(10 * time.Second)
	})
}

func host(addr string) string { return addr[:strings.IndexByte(addr, ':')] }

func (b bench) endpoint(addr string) (*rpc.Endpoint, *kernel.Counters) {
	k := kernel.NewKernel("control", b.n.Host(host(addr)), slog.New(slog.DiscardHandler))
	return rpc.NewEndpoint(k, addr), k.Counters
}

// say greets and asks as a hand-made caller, and returns what comes back within
// a second.
func (b bench) say(from, to string, lines ...string) string {
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

// peer answers at an address by hand: each line that a caller sends is given to
// answer, which returns lines.
func (b bench) peer(addr string, answer func(conn int, ask map[string]any) []string) {
	ln, err := b.n.Host(host(addr)).Listen(addr)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
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

func greeting(from, to string, life int) string {
	return fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d,"seq":1}}`, from, to, life)
}

// Invariant ANSWER: an answer is believed only from the process that was meant,
// in its newest life, for a call that was sent on that very connection, once.
func TestANSWERIsOnlyBelievedFromWhoWasAsked(t *testing.T) {
	good := func(id any) string { return fmt.Sprintf(`{"id":%v,"body":"ok"}`, id) }
	hello := greeting(other, self, 10)
	for _, c := range []struct {
		name, count string
		lines       func(id any) []string
		answered    bool // the call itself got its answer before
	}{
		{"nobody greets", "rpc.malformed", func(id any) []string { return []string{good(id)} }, false},
		{"another address", "rpc.misdirected", func(id any) []string { return []string{greeting(third, self, 10), good(id)} }, false},
		{"meant for another", "rpc.misdirected", func(id any) []string { return []string{greeting(other, third, 10), good(id)} }, false},
		{"an older life", "rpc.old_life", func(id any) []string { return []string{greeting(other, self, 9), good(id)} }, false},
		{"a life past all clocks", "rpc.malformed", func(id any) []string {
			return []string{fmt.Sprintf(`{"hello":{"from":"%s","to":"%s","life":%d}}`, other, self, int64(1)<<60), good(id)}
		}, false},
		{"a call not made here", "rpc.unasked", func(id any) []string { return []string{hello, `{"id":77,"body":"no"}`, good(id)} }, false},
		{"answered twice", "rpc.unasked", func(id any) []string { return []string{hello, good(id), good(id)} }, true},
		{"a question for an answer", "rpc.malformed", func(id any) []string { return []string{hello, fmt.Sprintf(`{"id":%v,"op":"x"}`, id)} }, false},
		{"greeted twice", "rpc.malformed", func(id any) []string { return []string{hello, hello, good(id)} }, false},
		{"noise", "rpc.malformed", func(id any) []string { return []string{hello, "noise", good(id)} }, false},
		{"too long", "rpc.malformed", func(id any) []string { return []string{hello, `"` + strings.Repeat("x", 5<<20), good(id)} }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			play(t, func(b bench) {
				e, counts := b.endpoint(self)
				b.peer(other, func(conn int, q map[string]any) []string {
					switch {
					case q["id"] == nil:
						return nil
					case conn == 2:
						return c.lines(q["id"])
					}
					return []string{hello, good(q["id"])}
				})
				defer e.HangUp()
				call := func() (a string, err error) {
					err = e.Call(b.ctx, other, "op", 1, &a, kernel.Second)
					return a, err
				}
				if a, err := call(); a != "ok" || err != nil {
					b.Fatalf("%q %v", a, err)
				}
				e.HangUp()
				a, err := call()
				time.Sleep(10 * time.Millisecond)
				if (err == nil) != c.answered || c.answered && a != "ok" || counts.Snapshot()[c.count] != 1 {
					b.Errorf("%q %v %v", a, err, counts.Snapshot())
				}
				if !c.answered && !errors.Is(err, rpc.ErrUnreachable) {
					b.Error(err)
				}
				if a, err := call(); a != "ok" || err != nil {
					b.Errorf("afterwards: %q %v", a, err)
				}
			})
		})
	}
}

// A call whose caller gave up may be answered late; that answers no other call,
// and the connection goes on for those that wait on it.
func TestALateAnswerAnswersNoOther(t *testing.T) {
	play(t, func(b bench) {
		p, _ := b.endpoint(other)
		p.Handle("slow", func(_ context.Context, body json.RawMessage) (any, error) {
			time.Sleep(300 * time.Millisecond)
			return body, nil
		})
		e, counts := b.endpoint(self)
		go p.Serve(b.ctx)
		synctest.Wait()
		defer e.HangUp()
		waits := make(chan error, 1)
		go func() {
			var a string
			err := e.Call(b.ctx, other, "slow", "long", &a, kernel.Second)
			if err == nil && a != "long" {
				err = errors.New(a)
			}
			waits <- err
		}()
		time.Sleep(100 * time.Millisecond)
		if err := e.Call(b.ctx, other, "slow", "short", nil, 100*kernel.Millisecond); !errors.Is(err, rpc.ErrUnreachable) {
			b.Error(err)
		}
		var a string
		if err := e.Call(b.ctx, other, "slow", "next", &a, kernel.Second); err != nil || a != "next" {
			b.Errorf("%q %v", a, err)
		}
		if err := <-waits; err != nil || counts.Snapshot()["rpc.unasked"] != 0 {
			b.Errorf("%v %v", err, counts.Snapshot())
		}
	})
}

// Invariant CALLER: a call is carried out only if it is meant for this process,
// on the newest connection of the newest life of its caller, and once.
func TestCALLERIsNewestAndMeansThisProcess(t *testing.T) {
	play(t, func(b bench) {
		var mu sync.Mutex
		ran := map[string]int{}
		ended := make(chan struct{})
		p, counts := b.endpoint(other)
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
		fmt.Fprintln(old, greeting(self, other, 5)+"\n"+`{"id":1,"op":"hold"}`)
		time.Sleep(10 * time.Millisecond)
		for _, c := range []struct {
			name, count, want string
			lines             []string
		}{
			{"a new life", "", `"id":1,"body":1`, []string{greeting(self, other, 10), `{"id":1,"op":"op","body":"a"}`}},
			{"no greeting", "rpc.malformed", "", []string{`{"id":1,"op":"op","body":"x"}`}},
			{"for another address", "rpc.misdirected", "hello", []string{greeting(self, third, 10), `{"id":1,"op":"op","body":"x"}`}},
			{"an older life", "rpc.old_life", `"known":10,"old":true`, []string{greeting(self, other, 9), `{"id":1,"op":"op","body":"x"}`}},
			{"an older connection", "rpc.old_life", `"known":10,"old":true`, []string{greeting(self, other, 10), `{"id":1,"op":"op","body":"x"}`}},
			{"the same call twice", "rpc.malformed", "hello", []string{greeting(third, other, 1), `{"id":1,"op":"op","body":"b"}`, `{"id":1,"op":"op","body":"b"}`}},
			{"an unknown operation", "rpc.unknown_op", `"err":"unknown operation"`, []string{greeting(self, other, 11), `{"id":1,"op":"nothing"}`}},
			{"cut off", "", "", []string{greeting(self, other, 12)[:30]}},
		} {
			before := counts.Snapshot()[c.count]
			if got := b.say(self, other, c.lines...); !strings.Contains(got, c.want) || c.count != "" && counts.Snapshot()[c.count] != before+1 {
				b.Errorf("%s: %q %v", c.name, got, counts.Snapshot())
			}
		}
		select {
		case <-ended:
		default:
			b.Error("a call of the life before goes on")
		}
		mu.Lock()
		defer mu.Unlock()
		if ran[`"x"`] != 0 || ran[`"a"`] != 1 || ran[`"b"`] > 1 {
			b.Error(ran)
		}
	})
}

// A process that restarts after its clock stepped back finds that its life is
// older than the one before; it takes the next, both as caller and as callee.
func TestAClockThatSteppedBackCostsNothing(t *testing.T) {
	play(t, func(b bench) {
		first, _ := b.endpoint(self) // its life begins now
		time.Sleep(time.Second)
		later, _ := b.endpoint(self)
		mine, _ := b.endpoint(other)
		time.Sleep(time.Second)
		before, _ := b.endpoint(other)
		for _, e := range []*rpc.Endpoint{first, later, mine, before} {
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
		call(later, other) // knows the callee's later life
		later.HangUp()
		call(first, other) // older than the caller that was heard last
		first.HangUp()
		stop()
		defer serve(mine)()
		call(later, other) // the callee is older than was known
		later.HangUp()
		first.HangUp()
	})
}

// A caller that gave up while a connection was being made, or whose connection
// was reset, leaves nothing behind that would hold up or answer the next.
func TestACallThatGaveUpWhileDialling(t *testing.T) {
	play(t, func(b bench) {
		p, _ := b.endpoint(other)
		p.Handle("op", func(context.Context, json.RawMessage) (any, error) { return 1, nil })
		go p.Serve(b.ctx)
		synctest.Wait()
		e, _ := b.endpoint(self)
		defer e.HangUp()
		b.n.Cut(host(self), host(other), true)
		ctx, cancel := context.WithCancel(b.ctx)
		time.AfterFunc(10*time.Millisecond, cancel)
		began := time.Now()
		if err := e.Call(ctx, other, "op", 1, nil, kernel.Second); !errors.Is(err, rpc.ErrUnreachable) || time.Since(began) > 20*time.Millisecond {
			b.Error(err, time.Since(began))
		}
		b.n.Cut(host(self), host(other), false)
		for range 3 {
			if err := e.Call(b.ctx, other, "op", 1, nil, kernel.Second); err != nil {
				b.Error(err)
			}
			e.HangUp()
		}
	})
}
