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

// counterHistory records increments of one counter: how many were acknowledged, how many have an
// unknown outcome, and the final value.
type counterHistory struct{ acked, unknown, value int }

// check returns an error if increments were lost or took effect twice.
func (h counterHistory) check() error {
	switch {
	case h.value < h.acked:
		return fmt.Errorf("%d acknowledged increments were lost", h.acked-h.value)
	case h.value > h.acked+h.unknown:
		return fmt.Errorf("%d increments took effect twice", h.value-h.acked-h.unknown)
	}
	return nil
}

func TestCounterHistoryCheck(t *testing.T) {
	for h, ok := range map[counterHistory]bool{
		{5, 0, 5}: true, {5, 2, 6}: true, {5, 2, 7}: true, {5, 2, 4}: false, {5, 2, 8}: false,
	} {
		if (h.check() == nil) != ok {
			t.Errorf("%+v: %v", h, h.check())
		}
	}
}

// incrementCounter increments a counter in the control state at the control node that holds the
// lease. sent is false if the increment certainly did not take effect.
func incrementCounter(w *World, key string) (acked, sent bool) {
	for z := 1; z <= w.Zones(); z++ {
		process := w.Process("control", z)
		if process == nil {
			continue
		}
		replica := kernel.Need[*controlstate.Replica](process.Kernel)
		if _, left := replica.Lease(); left <= 0 {
			continue
		}
		err := replica.Update(context.Background(), func(entries map[string]json.RawMessage) (map[string]json.RawMessage, error) {
			return map[string]json.RawMessage{key: json.RawMessage(fmt.Sprint(counterValue(entries, key) + 1))}, nil
		})
		return err == nil, !errors.Is(err, controlstate.ErrNotPrimary)
	}
	return false, false
}

// counterValue returns the value of a counter in the control state, 0 if there is none.
func counterValue(entries map[string]json.RawMessage, key string) (n int) {
	json.Unmarshal(entries[key], &n)
	return n
}

// All connections of machines with control nodes are reset repeatedly under load and many
// configuration changes. What was acknowledged is kept, nothing takes effect twice, no call gets
// another's response, and changes are accepted as soon as the resets end.
func TestConnectionResets(t *testing.T) {
	for name, ports := range map[string][]string{"all connections": nil, "RPC connections": {"7440", "7441"}} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(w *World, g *Group) {
				load := w.StartLoad(g, 11)
				rng := rand.New(rand.NewPCG(5, 5))
				stop := make(chan struct{})
				var wg sync.WaitGroup
				var mu sync.Mutex
				history := counterHistory{}
				for range 3 {
					wg.Go(func() {
						for {
							select {
							case <-stop:
								return
							case <-time.After(40 * time.Millisecond):
							}
							acked, sent := incrementCounter(w, "number")
							mu.Lock()
							if acked {
								history.acked++
							} else if sent {
								history.unknown++
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
							w.Net.ResetConnections(ip(1+rng.IntN(w.Zones())), ports...)
						}
					}
				})
				rev, changes, refused := int64(1), 0, 0
				for end := time.Now().Add(5 * time.Second); time.Now().Before(end); changes++ {
					body := w.Configuration(rev + 1)
					for attempt := 0; ; attempt++ {
						code := w.Replace(1+rng.IntN(w.Zones()), rev, body)
						if code == 200 {
							rev++
							break
						}
						if code/100 == 4 {
							refused++
						}
						if attempt > 100 {
							t.Fatalf("a configuration change is not accepted: status %d", code)
						}
						time.Sleep(time.Duration(20+rng.IntN(100)) * time.Millisecond)
					}
					time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
				}
				close(stop)
				wg.Wait()
				w.WaitUntil("a configuration change is accepted after the resets", 4*time.Second, func() bool {
					if w.Replace(1, rev, w.Configuration(rev+1)) == 200 {
						rev++
						return true
					}
					return false
				})
				load.Stop()
				state, err := kernel.Need[*controlstate.Replica](w.Process("control", controlPrimaryZone(w)).Kernel).DurableState()
				if err != nil {
					t.Fatal(err)
				}
				history.value = counterValue(state.Entries, "number")
				if err := history.check(); err != nil {
					t.Errorf("%v: %+v", err, history)
				}
				if version := w.FetchVersion(); version != rev || refused > 0 || changes < 10 || history.acked < 50 {
					t.Errorf("configuration version %d, want %d; %d changes, %d refused, %+v", version, rev, changes, refused, history)
				}
				unreachable := int64(0)
				for _, process := range w.runningProcesses() {
					counters := process.Kernel.Counters.Snapshot()
					unreachable += counters["rpc.unreachable"]
					for _, counter := range []string{"rpc.malformed", "rpc.unasked", "rpc.misdirected", "rpc.unknown_op"} {
						if counters[counter] > 0 {
							t.Errorf("%s: %s %d", process.Name, counter, counters[counter])
						}
					}
				}
				if unreachable < 40 {
					t.Errorf("only %d calls were interrupted", unreachable)
				}
				t.Logf("%d changes, %+v, %d writes served, %d calls interrupted", changes, history, load.Served, unreachable)
			})
		})
	}
}
