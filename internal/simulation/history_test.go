package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
)

// order is a change of the configuration as an operator sends it: the routes
// of a whole configuration, or those that it adds, by name with their
// deadlines. One route, mark, is in every order, with another deadline in each.
type order struct {
	update    bool
	base, rev int64
	routes    map[string]int64
	invalid   bool
}

const mark = "mark"

// answer is what a call with an order got: 200, a refusal, or nothing clear.
type answer struct {
	order       int
	asked, came int
	code        int
}

// reading is a configuration that was read back.
type reading struct {
	asked, came int
	rev         int64
	routes      map[string]int64
}

// history is what operators did and saw, in the order of an own count. It
// knows nothing of how orders are taken.
type history struct {
	mu       sync.Mutex
	count    int
	orders   []order
	answers  []answer
	readings []reading
}

// tick returns the next moment.
func (h *history) tick() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.count++
	return h.count
}

// add notes an order that is about to be sent and returns its number.
func (h *history) add(o order) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	o.routes = maps.Clone(o.routes)
	o.routes[mark] = int64(len(h.orders)) + 1
	h.orders = append(h.orders, o)
	return len(h.orders) - 1
}

func (h *history) get(n int) order {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.orders[n]
}

func (h *history) answered(n, asked, code int) {
	at := h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, answer{n, asked, at, code})
}

func (h *history) read(asked int, rev int64, routes map[string]int64) {
	at := h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readings = append(h.readings, reading{asked, at, rev, routes})
}

// faults lists what the rules do not allow. The last reading is taken for the
// end.
func (h *history) faults() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	broke := func(format string, args ...any) { out = append(out, fmt.Sprintf(format, args...)) }

	// What was in force, by version: it was acknowledged or read back.
	made := map[int64]int{}
	in := func(rev int64, n int) {
		if was, there := made[rev]; there && was != n {
			broke("version %d was made by order %d and by %d", rev, was, n)
		}
		made[rev] = n
	}
	for _, a := range h.answers {
		if a.code == 200 {
			in(h.orders[a.order].rev, a.order)
		}
	}
	for _, r := range h.readings {
		n := int(r.routes[mark]) - 1
		if n < 0 || n >= len(h.orders) || h.orders[n].rev != r.rev {
			broke("version %d is read back, and no order was like that", r.rev)
			continue
		}
		in(r.rev, n)
	}
	last := int64(0)
	for _, rev := range slices.Sorted(maps.Keys(made)) {
		o := h.orders[made[rev]]
		if o.base < last {
			broke("versions %d and %d are both in force on top of %d", last, rev, o.base)
		}
		if o.invalid || o.rev <= o.base {
			broke("order %d is invalid and in force", made[rev])
		}
		last = rev
	}

	end := int64(0)
	if len(h.readings) > 0 {
		end = h.readings[len(h.readings)-1].rev
	}
	for _, a := range h.answers {
		o := h.orders[a.order]
		switch n, there := made[o.rev]; {
		case a.code < 400 || a.code >= 500:
		case there && n == a.order:
			broke("order %d was refused with %d and is in force", a.order, a.code)
		case a.code != 412 && !o.invalid:
			broke("order %d is valid and was refused with %d", a.order, a.code)
		case !o.invalid && end <= o.base:
			broke("order %d was refused with %d, and nothing took its base", a.order, a.code)
		}
	}

	for _, r := range h.readings {
		for _, a := range h.answers {
			if a.code == 200 && a.came < r.asked && h.orders[a.order].rev > r.rev {
				broke("version %d is read back after %d was acknowledged", r.rev, h.orders[a.order].rev)
			}
		}
		for _, other := range h.readings {
			if other.came < r.asked && other.rev > r.rev {
				broke("version %d is read back after %d was", r.rev, other.rev)
			}
		}
		if n, there := made[r.rev]; there {
			if want := h.content(made, n); want != nil && !maps.Equal(want, r.routes) {
				broke("version %d is read back as %v, and order %d makes %v", r.rev, r.routes, n, want)
			}
		}
	}
	return out
}

// content is what an order that is in force makes; nil if it is not known what
// it builds on.
func (h *history) content(made map[int64]int, n int) map[string]int64 {
	o := h.orders[n]
	if !o.update {
		return o.routes
	}
	under, there := made[o.base]
	if !there || o.base >= o.rev {
		return nil
	}
	routes := maps.Clone(h.content(made, under))
	if routes != nil {
		maps.Copy(routes, o.routes)
	}
	return routes
}

// The checker finds what is wrong, and nothing in a history that is right.
func TestHistoryChecker(t *testing.T) {
	// Orders 0 to 2 make versions 2, 5 and 9; 3 lost its race for 2, 4 is
	// invalid, 5 is another under the number of order 1.
	right := func() *history {
		h := &history{count: 100}
		h.add(order{rev: 2, routes: map[string]int64{"a": 7}})
		h.add(order{base: 2, rev: 5, update: true, routes: map[string]int64{"b": 8}})
		h.add(order{base: 5, rev: 9, update: true, routes: map[string]int64{"a": 9}})
		h.add(order{base: 2, rev: 4, routes: map[string]int64{"a": 7}})
		h.add(order{base: 5, rev: 8, routes: map[string]int64{"a": 7}, invalid: true})
		h.add(order{base: 2, rev: 5, update: true, routes: map[string]int64{"b": 8}})
		h.answers = []answer{{0, 1, 2, 0}, {0, 3, 4, 200}, {1, 5, 9, 200}, {3, 6, 10, 412}, {5, 6, 12, 412}, {1, 11, 12, 200}, {0, 11, 12, 503}, {4, 13, 14, 400}, {2, 15, 16, 503}}
		h.readings = []reading{{17, 18, 9, map[string]int64{"a": 9, "b": 8, mark: 3}}}
		return h
	}
	if faults := right().faults(); len(faults) > 0 {
		t.Errorf("a right history: %v", faults)
	}
	for want, wrong := range map[string]func(h *history){
		"are both in force on top of 2":                      func(h *history) { h.answers[3].code = 200 },
		"version 5 was made by order":                        func(h *history) { h.answers[4].code = 200 },
		"order 1 was refused with 412 and is in force":       func(h *history) { h.answers[5].code = 412 },
		"order 0 was refused with 412 and is in force":       func(h *history) { h.answers[6].code = 412 },
		"order 2 was refused with 400 and is in force":       func(h *history) { h.answers[8].code = 400 },
		"order 4 is invalid and in force":                    func(h *history) { h.answers[7].code = 200 },
		"order 3 is valid and was refused with 400":          func(h *history) { h.answers[3].code = 400 },
		"version 2 is read back after 5 was acknowledged":    func(h *history) { h.readings[0] = reading{17, 18, 2, h.orders[0].routes} },
		"version 5 is read back after 9 was":                 func(h *history) { h.readings = append(h.readings, reading{19, 20, 5, h.orders[1].routes}) },
		"is read back as map[a:9 mark:3]":                    func(h *history) { delete(h.readings[0].routes, "b") },
		"version 7 is read back, and no order was like that": func(h *history) { h.readings[0].rev = 7 },
		"order 2 was refused with 412, and nothing took its base": func(h *history) {
			h.answers[8].code, h.readings[0] = 412, reading{17, 18, 5, map[string]int64{"a": 7, "b": 8, mark: 2}}
		},
	} {
		h := right()
		wrong(h)
		if faults := strings.Join(h.faults(), "\n"); !strings.Contains(faults, want) {
			t.Errorf("%q is not found: %q", want, faults)
		}
	}
}
