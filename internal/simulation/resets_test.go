package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
)

// tallied is a history of additions to one number: how many were acknowledged, how
// many ended without a clear answer, and what the number was in the end.
type tallied struct{ acked, unclear, value int }

// check finds what was lost or counted twice.
func (h tallied) check() error {
	switch {
	case h.value < h.acked:
		return fmt.Errorf("%d acknowledged additions are lost", h.acked-h.value)
	case h.value > h.acked+h.unclear:
		return fmt.Errorf("%d additions took effect twice", h.value-h.acked-h.unclear)
	}
	return nil
}

func TestTheCheckOfAdditions(t *testing.T) {
	for h, ok := range map[tallied]bool{
		{5, 0, 5}: true, {5, 2, 6}: true, {5, 2, 7}: true, {5, 2, 4}: false, {5, 2, 8}: false,
	} {
		if (h.check() == nil) != ok {
			t.Errorf("%+v: %v", h, h.check())
		}
	}
}

// add adds one to a number in the control state, at whichever control node leads.
func add(w *World, key string) (acked, sent bool) {
	for z := 1; z <= w.Zones; z++ {
		p := w.Process("control", z)
		if p == nil {
			continue
		}
		v := kernel.Need[*controlstate.Replica](p.Kernel)
		if _, left := v.Lease(); left <= 0 {
			continue
		}
		err := v.Update(context.Background(), func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
			return map[string]json.RawMessage{key: json.RawMessage(fmt.Sprint(number(entries, key) + 1))}, nil
		})
		return err == nil, !errors.Is(err, controlstate.ErrNotPrimary)
	}
	return false, false
}

func number(entries map[string]json.RawMessage, key string) (n int) {
	json.Unmarshal(entries[key], &n)
	return n
}

// All connections of core machines are reset, again and again, under load and a
// storm of changes: what was acknowledged is kept, nothing takes effect twice, no
// call gets another's answer, and changes are taken as soon as it is over.
func TestResetsInTheCore(t *testing.T) {
	for name, ports := range map[string][]string{"all connections": nil, "calls alone": {"7440", "7441"}} {
		t.Run(name, func(t *testing.T) {
			play(t, func(w *World, g *Group) {
				l := w.NewLoad(g, 11)
				rng := rand.New(rand.NewPCG(5, 5))
				stop := make(chan struct{})
				var wg sync.WaitGroup
				var mu sync.Mutex
				h := tallied{}
				for range 3 {
					wg.Go(func() {
						for {
							select {
							case <-stop:
								return
							case <-time.After(40 * time.Millisecond):
							}
							acked, sent := add(w, "number")
							mu.Lock()
							if acked {
								h.acked++
							} else if sent {
								h.unclear++
							}
							mu.Unlock()
						}
					})
				}
				wg.Go(func() {
					rng := rand.New(rand.NewPCG(6, 6))
					for {
						select {
						case <-stop:
							return
						case <-time.After(time.Duration(10+rng.IntN(60)) * time.Millisecond):
							w.Net.Break(ip(1+rng.IntN(w.Zones)), ports...)
						}
					}
				})
				rev, orders, refused := int64(1), 0, 0
				for until := time.Now().Add(5 * time.Second); time.Now().Before(until); orders++ {
					body := w.Configuration(rev + 1)
					for tries := 0; ; tries++ {
						code := w.Replace(1+rng.IntN(w.Zones), rev, body)
						if code == 200 {
							rev++
							break
						}
						if code/100 == 4 {
							refused++
						}
						if tries > 100 {
							t.Fatalf("an order is not taken: %d", code)
						}
						time.Sleep(time.Duration(20+rng.IntN(100)) * time.Millisecond)
					}
					time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
				}
				close(stop)
				wg.Wait()
				w.Until("a change is taken after the resets", 4*time.Second, func() bool {
					if w.Replace(1, rev, w.Configuration(rev+1)) == 200 {
						rev++
						return true
					}
					return false
				})
				l.Stop()
				state, err := kernel.Need[*controlstate.Replica](w.Process("control", controlPrimary(w)).Kernel).Durable()
				if err != nil {
					t.Fatal(err)
				}
				h.value = number(state.Entries, "number")
				if err := h.check(); err != nil {
					t.Errorf("%v: %+v", err, h)
				}
				if got := w.Fetch(); got != rev || refused > 0 || orders < 10 || h.acked < 50 {
					t.Errorf("version %d, not %d, %d orders, %d refused, %+v", got, rev, orders, refused, h)
				}
				broken := int64(0)
				for _, p := range w.procs {
					n := p.Kernel.Counters.Snapshot()
					broken += n["rpc.unreachable"]
					for _, c := range []string{"rpc.malformed", "rpc.unasked", "rpc.misdirected", "rpc.unknown_op"} {
						if n[c] > 0 {
							t.Errorf("%s: %s %d", p.Name, c, n[c])
						}
					}
				}
				if broken < 40 {
					t.Errorf("only %d calls were broken off", broken)
				}
				t.Logf("%d orders, %+v, %d writes served, %d calls broken off", orders, h, l.Served, broken)
			})
		})
	}
}
