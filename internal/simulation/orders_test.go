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

// ledgerFrame is what the orders of these tests have besides their own routes.
var ledgerFrame = history.Frame{Service: "ledger"}

// random is an order of an operator that knows a version: several operators
// pick few numbers, so that they often pick the same.
func random(rng *rand.Rand, known int64) history.Order {
	o := history.Order{Update: known > 0 && rng.IntN(2) == 0, Base: known, Rev: known + 1 + rng.Int64N(2), Routes: map[string]int64{}}
	for range 1 + rng.IntN(3) {
		o.Routes[string(rune('a'+rng.IntN(5)))] = 1000 + rng.Int64N(1000)
	}
	if rng.IntN(12) == 0 {
		o.Invalid = history.Faults[rng.IntN(len(history.Faults))]
	}
	return o
}

// readBack is what a configuration holds; 0 if there is none.
func readBack(raw []byte) (rev int64, routes map[string]int64) {
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

// crashing is a control state whose primary may end between any two steps of a
// batch of changes: what it wrote then lasts or not, and nobody gets an answer.
type crashing struct{ lasting, next map[string]json.RawMessage }

func (s *crashing) Read(key string) (json.RawMessage, error) { return s.lasting[key], nil }

func (s *crashing) Update(_ context.Context, change controlstate.ChangeFunc) error {
	changes, err := change(s.next)
	if err == nil {
		maps.Copy(s.next, changes)
	}
	return err
}

// Operators that pick equal numbers send and send again, in batches of eight;
// the primary ends at any step and the next one begins with an empty memory.
// ORDER-SAME and LEDGER-BOUNDED rest on it.
func TestOrdersOnACrashingState(t *testing.T) {
	const kept = 8
	var taken, again, refused, forgotten, lost int
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := &crashing{lasting: map[string]json.RawMessage{}}
		h := history.NewOrders()
		start := func() *routeconfig.Registry {
			return routeconfig.New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), s, kept)
		}
		c := start()
		known := make([]int64, 4) // by operator
		var newest []int          // orders that were taken, in their order
		read := func() int64 {
			asked := h.Tick()
			raw, err := c.Fetch()
			if err != nil {
				t.Fatal(err)
			}
			rev, routes := readBack(raw)
			if rev > 0 {
				h.Read(asked, rev, routes)
			}
			return rev
		}
		for range 150 {
			type call struct {
				n     int
				asked history.Moment
				code  int
			}
			var batch []call
			s.next = maps.Clone(s.lasting)
			ends, keeps := rng.IntN(4) == 0, rng.IntN(2) == 0
			before := slices.Clone(newest)
			for range 1 + rng.IntN(8) {
				n, all := 0, len(h.All())
				switch draw := rng.IntN(10); {
				case all == 0 || draw < 4:
					n = h.Add(random(rng, known[rng.IntN(len(known))]))
				case draw < 9:
					n = max(0, all-1-rng.IntN(12)) // what is under way
				default:
					n = rng.IntN(all)
				}
				o := h.Get(n)
				take := c.Replace
				if o.Update {
					take = c.Update
				}
				code, asked := 200, h.Tick()
				err := take(t.Context(), o.Base, o.Body(history.Frame{Service: "s"}))
				switch {
				case errors.As(err, new(*routeconfig.ValidationError)):
					code = 400
					refused++
				case errors.Is(err, routeconfig.ErrVersionConflict):
					code = 412
					refused++
				case errors.Is(err, routeconfig.ErrOutcomeUnknown):
					code = 503
					forgotten++
					if i := slices.Index(newest, n); i >= 0 && i >= len(newest)-kept {
						t.Errorf("seed %d: order %d is forgotten, the %dth of %d", seed, n, i+1, len(newest))
					}
				case err != nil:
					t.Fatal(err)
				}
				if code == 200 && !slices.Contains(newest, n) {
					newest = append(newest, n)
					taken++
				} else if code == 200 {
					again++
				}
				batch = append(batch, call{n, asked, code})
			}
			if ends {
				lost++
				c = start()
			}
			if ends && !keeps {
				newest = before
			} else {
				s.lasting = s.next
			}
			for _, b := range batch {
				if ends {
					b.code = 0
				}
				h.Answered(b.n, b.asked, b.code)
			}
			if rng.IntN(2) == 0 {
				known[rng.IntN(len(known))] = read()
			}
		}
		read()
		for _, fault := range h.Breaches() {
			t.Errorf("seed %d: %s", seed, fault)
		}
	}
	if min(taken, again, refused, forgotten, lost) < 150 {
		t.Errorf("too little happened: %d taken, %d again, %d refused, %d forgotten, %d batches lost", taken, again, refused, forgotten, lost)
	}
}

// send makes one call with an order, at one control node; 0 stands for no clear
// answer.
func (w *World) send(zone int, o history.Order) int {
	call := "/Conf.Replace"
	if o.Update {
		call = "/Conf.Update"
	}
	code := w.post(zone, call, map[string]string{"X-Indigowalk-Base-Version": strconv.FormatInt(o.Base, 10)}, o.Body(ledgerFrame))
	if code >= 500 || code < 200 || code >= 300 && code < 400 || code == http.StatusRequestTimeout {
		return 0
	}
	return code
}

// fetch reads the configuration back at one control node into the history.
func (w *World) fetch(h *history.Orders, zone int) (int64, bool) {
	asked := h.Tick()
	code, raw := w.Call(w.Net.Host("10.250.0.1"), "GET", ip(zone)+":8782", "/Conf.Fetch", nil, nil)
	rev, routes := readBack(raw)
	if code != 200 || rev == 0 {
		return 0, false
	}
	if rev > 1 { // the first one is not of the history
		h.Read(asked, rev, routes)
	}
	return rev, true
}

// Operators that pick equal numbers, eight orders under way, lost answers and
// sends to other nodes, while control nodes are killed, end, fall silent, lose their
// disks or all their power.
func TestOrdersAcrossTakeOvers(t *testing.T) {
	const seed = 1
	core(t, 4, 1, func(w *World, g *Group) {
		h := history.NewOrders()
		end := make(chan struct{})
		var wg sync.WaitGroup
		for i := range 8 {
			rng := rand.New(rand.NewPCG(seed, uint64(i)+10))
			wg.Go(func() { w.operate(h, rng, end) })
		}
		rng := rand.New(rand.NewPCG(seed, 3))
		for range 5 {
			time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
			w.trouble(rng)
		}
		close(end)
		wg.Wait()
		w.Net.Heal()
		w.Until("a version is read back", 10*time.Second, func() bool { _, ok := w.fetch(h, 1); return ok })
		acked := 0
		for n, o := range h.All() {
			if slices.Contains(h.Acknowledged(), n) {
				acked++
				asked := h.Tick()
				w.Until("it is acknowledged again", 5*time.Second, func() bool {
					code := w.send(1+rng.IntN(4), o)
					h.Answered(n, asked, code)
					return code != 0
				})
			}
		}
		w.Until("the end is read back", 10*time.Second, func() bool { _, ok := w.fetch(h, 2); return ok })
		for _, fault := range h.Breaches() {
			t.Error(fault)
		}
		t.Logf("%d of %d orders acknowledged, %d answers, %d readings", acked, len(h.All()), len(h.Answers()), len(h.Readings()))
		if acked < 15 {
			t.Errorf("only %d of %d orders were acknowledged", acked, len(h.All()))
		}
	})
}

// operate is an operator: it sends an order on top of the version that it
// knows until it has a clear answer, and loses some answers.
func (w *World) operate(h *history.Orders, rng *rand.Rand, end chan struct{}) {
	for {
		select {
		case <-end:
			return
		default:
		}
		// All at about the same time, so that they meet on one version.
		const round = time.Second
		time.Sleep(round - time.Duration(time.Now().UnixNano())%round + time.Duration(rng.IntN(20))*time.Millisecond)
		known, ok := w.fetch(h, 1+rng.IntN(4))
		if !ok {
			continue
		}
		o := random(rng, known)
		n := h.Add(o)
		o = h.Get(n)
		for try := range 12 {
			asked := h.Tick()
			code := w.send(1+rng.IntN(4), o)
			if rng.IntN(3) == 0 {
				code = 0 // lost on its way
			}
			h.Answered(n, asked, code)
			if code != 0 {
				break
			}
			time.Sleep(time.Duration(20+50*try) * time.Millisecond)
		}
	}
}

// trouble strikes a control node, the primary mostly, or all of them, and waits
// until what was struck counts as back.
func (w *World) trouble(rng *rand.Rand) {
	z := controlPrimary(w)
	if z == 0 || rng.IntN(4) == 0 {
		z = 1 + rng.IntN(4)
	}
	again := func(z int) { w.Start("control", z, false) }
	switch p := w.Process("control", z); rng.IntN(6) {
	case 0:
		p.Kill()
		again(z)
	case 1:
		p.Kill()
		time.Sleep(1500 * time.Millisecond)
		again(z)
	case 2:
		p.Term()
		again(z)
	case 3:
		w.Net.Dark(ip(z), true)
		time.Sleep(3 * time.Second)
		w.Net.Dark(ip(z), false)
	case 4:
		p.Kill()
		p.Wipe()
		again(z)
	case 5:
		for z := 1; z <= 4; z++ {
			w.Process("control", z).Kill()
		}
		for z := 1; z <= 4; z++ {
			again(z)
		}
	}
	time.Sleep(4 * time.Second)
}

// TAKEN-LASTS: at any step of a write the primary ends, or all lose their power,
// or besides that the primary its disk. Where who leads next holds the
// order, that is acknowledged when it is sent again, and its rival under the same
// number is refused; else the rival is taken, and it is not.
func TestOrderAtEachStepOfATakeOver(t *testing.T) {
	for _, c := range []struct {
		what          string
		struck, wiped int // control nodes from the primary on
	}{{"the primary ends", 1, 0}, {"all lose power", 4, 0}, {"and the primary its disk", 4, 1}} {
		var held, dropped int
		core(t, 4, 1, func(w *World, g *Group) {
			h := history.NewOrders()
			known := int64(1)
			for step := range 8 {
				z := controlPrimary(w)
				first, second := h.Add(history.Order{Base: known, Rev: known + 1, Routes: map[string]int64{"a": 7}}), h.Add(history.Order{Base: known, Rev: known + 1, Routes: map[string]int64{"a": 8}})
				asked, got := h.Tick(), make(chan int)
				go func() { got <- w.send(z, h.Get(first)) }()
				time.Sleep(time.Duration(step) * 500 * time.Microsecond)
				strike := func(f func(i, z int)) {
					for i := range c.struck {
						f(i, 1+(z-1+i)%4)
					}
				}
				strike(func(i, z int) {
					p := w.Process("control", z)
					p.Kill()
					if i < c.wiped {
						p.Wipe()
					}
				})
				h.Answered(first, asked, <-got)
				if c.struck > 1 {
					strike(func(_, z int) { w.Start("control", z, false) })
				}
				clear := func(n int) (code int) {
					asked := h.Tick()
					w.Until("a clear answer", 8*time.Second, func() bool { code = w.send(1+z%4, h.Get(n)); return code != 0 })
					h.Answered(n, asked, code)
					return code
				}
				switch codes := [2]int{clear(second), clear(first)}; codes {
				case [2]int{412, 200}:
					held++
				case [2]int{200, 412}:
					dropped++
				default:
					t.Errorf("%s, step %d: the rival got %d, the order sent again %d", c.what, step, codes[0], codes[1])
				}
				known++
				if c.struck == 1 {
					w.Start("control", z, false)
				}
				w.Until("read back", 6*time.Second, func() bool { rev, ok := w.fetch(h, z); return ok && rev == known })
				time.Sleep(4 * time.Second) // until what was struck counts as back
			}
			for _, fault := range h.Breaches() {
				t.Errorf("%s: %s", c.what, fault)
			}
		})
		if held < 2 || dropped < 2 {
			t.Errorf("%s: the order was held %d times and dropped %d times", c.what, held, dropped)
		}
	}
}
