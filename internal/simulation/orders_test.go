package simulation

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/history"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
)

// ledgerTemplate is the part of the configuration that all orders of these tests share.
var ledgerTemplate = history.Template{Service: "ledger"}

// randomOrder returns an order of an operator that knows the version knownRev. It picks one of only
// two numbers for the new version, so that concurrent operators often pick the same.
func randomOrder(rng *rand.Rand, knownRev int64) history.Order {
	order := history.Order{Update: knownRev > 0 && rng.IntN(2) == 0, Base: knownRev, Rev: knownRev + 1 + rng.Int64N(2), Routes: map[string]int64{}}
	for range 1 + rng.IntN(3) {
		order.Routes[string(rune('a'+rng.IntN(5)))] = 1000 + rng.Int64N(1000)
	}
	if rng.IntN(12) == 0 {
		order.Invalid = history.InvalidKinds[rng.IntN(len(history.InvalidKinds))]
	}
	return order
}

// parseConfiguration returns the version of a configuration and the deadlines of its routes in
// milliseconds, by name. The version is 0 if there is no valid configuration.
func parseConfiguration(raw []byte) (rev int64, routes map[string]int64) {
	var c routeconfig.Configuration
	if len(raw) == 0 || json.Unmarshal(raw, &c) != nil {
		return 0, nil
	}
	routes = map[string]int64{}
	for _, r := range c.Routes {
		routes[r.Name] = r.DeadlineMs
	}
	return c.Rev, routes
}

// crashingState is a control state whose primary may crash before it answers a batch of changes.
// What it wrote in the batch is then either durable or lost, and no operator gets an answer.
type crashingState struct{ durable, pending map[string]json.RawMessage }

func (s *crashingState) Read(key string) (json.RawMessage, error) { return s.durable[key], nil }

func (s *crashingState) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(s.pending)
	if err == nil {
		maps.Copy(s.pending, changes)
	}
	return err
}

// Concurrent operators send and retry orders, often with the same version number, in batches of up
// to eight. The primary may crash at the end of a batch, and the next one starts with empty memory.
// Verifies the invariants ORDER-SAME and LEDGER-BOUNDED.
func TestOrdersWithPrimaryCrashes(t *testing.T) {
	const ledgerSize = 8
	var accepted, repeated, rejected, evicted, lostBatches int
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		state := &crashingState{durable: map[string]json.RawMessage{}}
		orders := history.NewOrders()
		start := func() *routeconfig.Registry {
			return routeconfig.New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), state, ledgerSize)
		}
		registry := start()
		knownRevs := make([]int64, 4) // by operator
		var acceptedOrders []int      // numbers of the accepted orders, oldest first
		readBack := func() int64 {
			asked := orders.Tick()
			raw, err := registry.Fetch()
			if err != nil {
				t.Fatal(err)
			}
			rev, routes := parseConfiguration(raw)
			if rev > 0 {
				orders.AddReading(asked, rev, routes)
			}
			return rev
		}
		for range 150 {
			type call struct {
				n     int
				asked history.Timestamp
				code  int
			}
			var batch []call
			state.pending = maps.Clone(state.durable)
			crashes, persists := rng.IntN(4) == 0, rng.IntN(2) == 0
			previouslyAccepted := slices.Clone(acceptedOrders)
			for range 1 + rng.IntN(8) {
				n, total := 0, len(orders.All())
				switch draw := rng.IntN(10); {
				case total == 0 || draw < 4:
					n = orders.Add(randomOrder(rng, knownRevs[rng.IntN(len(knownRevs))]))
				case draw < 9:
					n = max(0, total-1-rng.IntN(12)) // retry a recent order
				default:
					n = rng.IntN(total)
				}
				order := orders.Get(n)
				apply := registry.Replace
				if order.Update {
					apply = registry.Update
				}
				code, asked := 200, orders.Tick()
				err := apply(t.Context(), order.Base, order.Body(history.Template{Service: "s"}))
				switch {
				case errors.As(err, new(*routeconfig.ValidationError)):
					code = 400
					rejected++
				case errors.Is(err, routeconfig.ErrVersionConflict):
					code = 412
					rejected++
				case errors.Is(err, routeconfig.ErrOutcomeUnknown):
					code = 503
					evicted++
					if i := slices.Index(acceptedOrders, n); i >= 0 && i >= len(acceptedOrders)-ledgerSize {
						t.Errorf("seed %d: the ledger has no record of order %d, number %d of %d accepted ones", seed, n, i+1, len(acceptedOrders))
					}
				case err != nil:
					t.Fatal(err)
				}
				if code == 200 && !slices.Contains(acceptedOrders, n) {
					acceptedOrders = append(acceptedOrders, n)
					accepted++
				} else if code == 200 {
					repeated++
				}
				batch = append(batch, call{n, asked, code})
			}
			if crashes {
				lostBatches++
				registry = start()
			}
			if crashes && !persists {
				acceptedOrders = previouslyAccepted
			} else {
				state.durable = state.pending
			}
			for _, b := range batch {
				if crashes {
					b.code = 0
				}
				orders.AddAnswer(b.n, b.asked, b.code)
			}
			if rng.IntN(2) == 0 {
				knownRevs[rng.IntN(len(knownRevs))] = readBack()
			}
		}
		readBack()
		for _, breach := range orders.Breaches() {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
	if min(accepted, repeated, rejected, evicted, lostBatches) < 150 {
		t.Errorf("some outcomes occurred fewer than 150 times: %d orders accepted, %d repeated, %d rejected, %d evicted, %d batches lost", accepted, repeated, rejected, evicted, lostBatches)
	}
}

// sendOrder sends an order to one control node and returns the status code, or 0 if the outcome is
// unknown.
func (w *World) sendOrder(zone int, order history.Order) int {
	path := "/Conf.Replace"
	if order.Update {
		path = "/Conf.Update"
	}
	code := w.postToControl(zone, path, map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(order.Base, 10)}, order.Body(ledgerTemplate))
	if code >= 500 || code < 200 || code >= 300 && code < 400 || code == http.StatusRequestTimeout {
		return 0
	}
	return code
}

// readConfiguration reads the configuration back from one control node, records it in the history
// and returns its version.
func (w *World) readConfiguration(orders *history.Orders, zone int) (int64, bool) {
	asked := orders.Tick()
	code, raw := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(zone)+":8782", "/Conf.Fetch", nil, nil)
	rev, routes := parseConfiguration(raw)
	if code != 200 || rev == 0 {
		return 0, false
	}
	if rev > 1 { // the first version was not written by an order of the history
		orders.AddReading(asked, rev, routes)
	}
	return rev, true
}

// Eight concurrent operators send orders, often with the same version number, lose answers and retry
// at other control nodes. Meanwhile control nodes are killed, shut down, become unresponsive, lose
// their disks or are all killed at once.
func TestOrdersAcrossFailovers(t *testing.T) {
	const seed = 1
	withClusterOf(t, 4, 1, func(w *World, g *Group) {
		orders := history.NewOrders()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 8 {
			rng := rand.New(rand.NewPCG(seed, uint64(i)+10))
			wg.Go(func() { w.runOperator(orders, rng, stop) })
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 5 {
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			w.failControlNodes(rng)
		}
		close(stop)
		wg.Wait()
		w.Net.Heal()
		w.WaitUntil("the configuration is read back", 10*time.Second, func() bool { _, ok := w.readConfiguration(orders, 1); return ok })
		acked := 0
		for n, order := range orders.All() {
			if slices.Contains(orders.Acknowledged(), n) {
				acked++
				asked := orders.Tick()
				w.WaitUntil("an acknowledged order is answered again", 5*time.Second, func() bool {
					code := w.sendOrder(1+rng.IntN(4), order)
					orders.AddAnswer(n, asked, code)
					return code != 0
				})
			}
		}
		w.WaitUntil("the final configuration is read back", 10*time.Second, func() bool { _, ok := w.readConfiguration(orders, 2); return ok })
		for _, breach := range orders.Breaches() {
			t.Error(breach)
		}
		t.Logf("%d of %d orders acknowledged, %d answers, %d readings", acked, len(orders.All()), len(orders.Answers()), len(orders.Readings()))
		if acked < 15 {
			t.Errorf("only %d of %d orders were acknowledged", acked, len(orders.All()))
		}
	})
}

// runOperator acts as an operator until stop is closed: it reads the current version, and sends an
// order based on it, which it retries until it gets a definite answer or has tried often enough. It
// ignores a third of the answers, as if they had been lost.
func (w *World) runOperator(orders *history.Orders, rng *rand.Rand, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		// All operators send at about the same time, so that their orders conflict on one version.
		const round = time.Second
		time.Sleep(round - time.Duration(time.Now().UnixNano())%round + time.Duration(rng.IntN(20))*time.Millisecond)
		rev, ok := w.readConfiguration(orders, 1+rng.IntN(4))
		if !ok {
			continue
		}
		order := randomOrder(rng, rev)
		n := orders.Add(order)
		order = orders.Get(n)
		for try := range 12 {
			asked := orders.Tick()
			code := w.sendOrder(1+rng.IntN(4), order)
			if rng.IntN(3) == 0 {
				code = 0 // the answer is lost
			}
			orders.AddAnswer(n, asked, code)
			if code != 0 {
				break
			}
			time.Sleep(time.Duration(20+50*try) * time.Millisecond)
		}
	}
}

// failControlNodes injects a random fault into one control node, mostly the primary, or kills all of
// them. It restores them and waits until the others count them as available again.
func (w *World) failControlNodes(rng *rand.Rand) {
	z := controlPrimaryZone(w)
	if z == 0 || rng.IntN(4) == 0 {
		z = 1 + rng.IntN(4)
	}
	restart := func(z int) { w.Start("control", z, false) }
	switch p := w.Process("control", z); rng.IntN(6) {
	case 0:
		p.Kill()
		restart(z)
	case 1:
		p.Kill()
		time.Sleep(1500 * time.Millisecond)
		restart(z)
	case 2:
		p.Terminate()
		restart(z)
	case 3:
		w.Net.SetSilent(ip(z), true)
		time.Sleep(3 * time.Second)
		w.Net.SetSilent(ip(z), false)
	case 4:
		p.Kill()
		p.Wipe()
		restart(z)
	case 5:
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			restart(z)
		}
	}
	time.Sleep(4 * time.Second)
}

// Verifies the invariant TAKEN-LASTS: at any step of writing an order, the primary is killed, or all
// control nodes are, or all are and the primary also loses its disk. If the next primary has the
// order, it acknowledges a retry and rejects a rival order with the same version number; otherwise
// it accepts the rival and rejects the retry.
func TestOrderAtEachStepOfFailover(t *testing.T) {
	for _, c := range []struct {
		name          string
		killed, wiped int // number of control nodes, counted from the primary
	}{{"primary killed", 1, 0}, {"all killed", 4, 0}, {"all killed, primary's disk lost", 4, 1}} {
		var survived, lost int
		withClusterOf(t, 4, 1, func(w *World, g *Group) {
			orders := history.NewOrders()
			knownRev := int64(1)
			for step := range 8 {
				z := controlPrimaryZone(w)
				first, rival := orders.Add(history.Order{Base: knownRev, Rev: knownRev + 1, Routes: map[string]int64{"a": 7}}), orders.Add(history.Order{Base: knownRev, Rev: knownRev + 1, Routes: map[string]int64{"a": 8}})
				asked, firstCode := orders.Tick(), make(chan int)
				go func() { firstCode <- w.sendOrder(z, orders.Get(first)) }()
				time.Sleep(time.Duration(step) * 500 * time.Microsecond)
				forEachKilled := func(f func(i, z int)) {
					for i := range c.killed {
						f(i, 1+(z-1+i)%4)
					}
				}
				forEachKilled(func(i, z int) {
					p := w.Process("control", z)
					p.Kill()
					if i < c.wiped {
						p.Wipe()
					}
				})
				orders.AddAnswer(first, asked, <-firstCode)
				if c.killed > 1 {
					forEachKilled(func(_, z int) { w.Start("control", z, false) })
				}
				resend := func(n int) (code int) {
					asked := orders.Tick()
					w.WaitUntil("an order has a definite answer", 8*time.Second, func() bool { code = w.sendOrder(1+z%4, orders.Get(n)); return code != 0 })
					orders.AddAnswer(n, asked, code)
					return code
				}
				switch codes := [2]int{resend(rival), resend(first)}; codes {
				case [2]int{412, 200}:
					survived++
				case [2]int{200, 412}:
					lost++
				default:
					t.Errorf("%s, step %d: the rival got status %d, the retried order %d", c.name, step, codes[0], codes[1])
				}
				knownRev++
				if c.killed == 1 {
					w.Start("control", z, false)
				}
				w.WaitUntil("the new version is read back", 6*time.Second, func() bool { rev, ok := w.readConfiguration(orders, z); return ok && rev == knownRev })
				time.Sleep(4 * time.Second) // until the killed nodes count as available again
			}
			for _, breach := range orders.Breaches() {
				t.Errorf("%s: %s", c.name, breach)
			}
		})
		if survived < 2 || lost < 2 {
			t.Errorf("%s: the order survived %d times and was lost %d times, want each at least twice", c.name, survived, lost)
		}
	}
}
