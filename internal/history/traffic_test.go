package history

import (
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

var testBounds = Bounds{Drain: 7 * time.Second, Apply: 3 * time.Second, Recovery: 4 * time.Second, AnswerGrace: 200 * ms, DeadlineGrace: 500 * ms}

// validTraffic returns a history without violations: writes and reads, databases that drain, a
// promotion, a pooler that shuts down gracefully, killed processes, and a route that is added and
// another that is dropped.
func validTraffic() (*Traffic, *Orders) {
	h := &Orders{lastSeq: 100}
	h.Add(Order{Rev: 2, Routes: map[string]int64{"a": 7}})
	h.Add(Order{Base: 2, Rev: 5, Update: true, Routes: map[string]int64{"b": 8}})
	h.Add(Order{Base: 5, Rev: 9, Routes: map[string]int64{"b": 8}})
	second := time.Second
	h.answers = []Answer{
		{Order: 0, SentSeq: 1, DoneSeq: 2, Code: 200, Sent: second, Done: second + ms},
		{Order: 1, SentSeq: 3, DoneSeq: 4, Code: 200, Sent: 10 * second, Done: 10*second + ms},
		{Order: 2, SentSeq: 5, DoneSeq: 6, Code: 200, Sent: 20 * second, Done: 20*second + ms},
	}
	t := &Traffic{
		statements: []Statement{
			{Pooler: "p1", Service: "s", ID: "w1", Write: true, Key: "x", Value: 1, Sent: 5 * second, Done: 5*second + 10*ms},
			{Pooler: "p1", Service: "s", ID: "w2", Write: true, Key: "x", Value: 2, Sent: 6 * second, Done: 6*second + 10*ms},
			{Pooler: "p1", Service: "s", ID: "w3", Write: true, Key: "x", Value: 3, Sent: 7 * second, Done: 7*second + 10*ms, Code: "UNKNOWN"},
			{Pooler: "p2", Service: "s", ID: "r1", Key: "x", Value: 2, Sent: 6*second + 20*ms, Done: 6*second + 30*ms},
			{Pooler: "p2", Service: "s", ID: "r2", Key: "x", Value: 1, MaxLag: 1500 * ms, Sent: 7 * second, Done: 7*second + 5*ms},
			{Pooler: "p2", Service: "other", ID: "r3", Key: "y", Sent: 7 * second, Done: 7*second + 5*ms},
			// Unanswered as the pooler is killed, and within Bounds.AnswerGrace as a pooler shuts down.
			{Pooler: "p3", Service: "s", ID: "r4", Key: "x", Sent: 30 * second, Done: 31 * second, Code: Unanswered},
			{Pooler: "p1", Service: "s", ID: "r5", Key: "x", Sent: 50 * second, Done: 50*second + 100*ms, Code: Unanswered},
			// Unanswered and late as all processes are killed, and answered just in time.
			{Pooler: "p2", Service: "s", ID: "r6", Key: "x", Sent: 68 * second, Done: 69 * second, Code: Unanswered},
			{Pooler: "p2", Service: "s", ID: "r7", Key: "x", Value: 2, Deadline: second, Sent: 68 * second, Done: 72 * second},
			{Pooler: "p2", Service: "s", ID: "r8", Key: "x", Value: 2, Deadline: second, Sent: 80 * second, Done: 81*second + 500*ms},
		},
		runs: []Run{
			{"s", "d1", "w1", true, 5*second + 5*ms}, {"s", "d1", "w2", true, 6*second + 5*ms},
			{"s", "d2", "r1", true, 6*second + 25*ms}, {"other", "o1", "r3", true, 7*second + 2*ms},
			{"s", "d3", "w1", false, 12 * second}, // continues a transaction
		},
		drains:     []Drain{{"s", "d3", 4 * second}, {"s", "d2", 4 * second}},
		promotions: []Promotion{{"s", "d2", 2, []string{"w1", "w2"}, 8 * second}, {"s", "d2", 0, []string{"w1", "w2"}, 60 * second}},
		faults: []Fault{
			{Kind: "kill", Node: "p3", At: 30*second + 500*ms, End: 31 * second},
			{Kind: "term", Node: "p1", Planned: true, At: 49 * second, End: 55 * second},
			{Kind: "kill", Node: "c1", Control: true, At: 39 * second, End: 40 * second},
			{Kind: "cut_core", Node: "p1", DependencyOnly: true, Control: true, At: 52 * second, End: 56 * second},
			{Kind: "all", AllNodes: true, Control: true, At: 69 * second, End: 70 * second},
		},
		probes: []Probe{
			{"p1", "b", false, 9 * second, 9*second + ms},
			{"p1", "b", false, 11 * second, 11*second + ms}, // the added route is not in force yet
			{"p1", "b", true, 15 * second, 15*second + ms},
			{"p1", "a", true, 21 * second, 21*second + ms}, // the dropped route is still in force
			{"p1", "a", false, 25 * second, 25*second + ms},
			{"p3", "a", true, 32 * second, 32*second + ms}, // p3 has just been killed
			{"p4", "a", true, 41 * second, 41*second + ms}, // a control node has just been killed
			{"p4", "a", false, 42 * second, 42*second + ms},
			{"p1", "a", true, 56 * second, 56*second + ms}, // the next incarnation
			{"p1", "a", false, 57 * second, 57*second + ms},
		},
	}
	return t, h
}

// The checker accepts a valid history, and finds the violation in each invalid variant of it.
func TestTrafficChecker(t *testing.T) {
	valid, orders := validTraffic()
	if breaches := valid.Breaches(orders, testBounds); len(breaches) > 0 {
		t.Errorf("breaches in a valid history: %v", breaches)
	}
	for want, invalidate := range map[string]func(t *Traffic, h *Orders){
		"LOST at 8.000 s: d2 lacks w2":              func(t *Traffic, _ *Orders) { t.promotions[0].WriteIDs = []string{"w1"} },
		"LOST at 60.000 s: d2 lacks w1":             func(t *Traffic, _ *Orders) { t.promotions[1].WriteIDs = []string{"w2"} },
		"r4 at p3, sent at 30.000 s, has no answer": func(t *Traffic, _ *Orders) { t.faults[0].Planned = true },
		"r5 at p1, sent at 50.000 s, has no answer": func(t *Traffic, _ *Orders) { t.statements[7].Done += time.Second },
		"r1 read 1 of x, 2 was acknowledged":        func(t *Traffic, _ *Orders) { t.statements[3].Value = 1 },
		"r2 read 0 of x, 1 was acknowledged":        func(t *Traffic, _ *Orders) { t.statements[4].Value = 0 },
		"DRAIN at 12.000 s: w1 begins at d3":        func(t *Traffic, _ *Orders) { t.runs[4].Begins = true },
		"r3, asked of other, runs at d9 of s":       func(t *Traffic, _ *Orders) { t.runs = append(t.runs, Run{"s", "d9", "r3", true, 7 * time.Second}) },
		"d2 and d1 both lead s in term 2": func(t *Traffic, _ *Orders) {
			t.promotions = append(t.promotions, Promotion{"s", "d1", 2, []string{"w1", "w2"}, 9 * time.Second})
		},
		"p1 does not serve b, which was added":           func(t *Traffic, _ *Orders) { t.probes[2].Served = false },
		"p1 serves a, which was dropped":                 func(t *Traffic, _ *Orders) { t.probes[4].Served = true },
		"p1 serves b, which was dropped":                 func(t *Traffic, _ *Orders) { t.probes[0].Served = true },
		"p3 serves a, which was dropped":                 func(t *Traffic, _ *Orders) { t.faults = t.faults[1:] },
		"41.001 s: p4 serves a, which was dropped":       func(t *Traffic, _ *Orders) { t.faults[2].Control = false },
		"42.001 s: p4 goes back: it was at version 9":    func(t *Traffic, _ *Orders) { t.probes[6].Served, t.probes[7].Served = false, true },
		"r6 at p2, sent at 68.000 s, has no answer":      func(t *Traffic, _ *Orders) { t.faults[4].AllNodes = false },
		"r7 at p2 is answered 3000 ms after":             func(t *Traffic, _ *Orders) { t.faults[4].AllNodes = false },
		"r8 at p2 is answered 501 ms after":              func(t *Traffic, _ *Orders) { t.statements[10].Done += ms },
		"56.001 s: p1 goes back: it was at version 9":    func(t *Traffic, _ *Orders) { t.faults[1].Kind = "hup" },
		"r6 at p2, sent at 68.000 s, has no answer\n":    func(t *Traffic, _ *Orders) { t.faults[4].RecordOnly = true },
		"p3 serves a, which was dropped\n":               func(t *Traffic, _ *Orders) { t.faults[0].Kind = "hup" },
		"25.001 s: p1 does not serve a, which was added": func(_ *Traffic, h *Orders) { h.answers = h.answers[:2] },
	} {
		traffic, orders := validTraffic()
		invalidate(traffic, orders)
		breaches := traffic.Breaches(orders, testBounds)
		if !strings.Contains(text(breaches), want) {
			t.Errorf("breach %q not found in %q", want, text(breaches))
		}
		if !slices.IsSortedFunc(breaches, func(a, b Breach) int { return int(a.At - b.At) }) {
			t.Errorf("breaches not in order of time: %s", text(breaches))
		}
	}
}
