package testbed

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// historyBounds are the time bounds that the history of a run is checked against.
var historyBounds = history.Bounds{Drain: drainBound, Apply: applyBound, Contact: contactBound, Slack: slackBound, Answer: answerBound}

// Report is the result of a run.
type Report struct {
	Seed        int64     `json:"seed"`
	Statements  Latencies `json:"statements"`
	Orders      Latencies `json:"orders"` // from the first attempt to the first acknowledgement
	Refused     int       `json:"statements_refused"`
	Unclear     int       `json:"statements_unclear"`
	Cut         int       `json:"statements_cut"`
	OrdersSent  int       `json:"orders_sent"`
	OrdersAcked int       `json:"orders_acknowledged"`
	Readings    int       `json:"readings"`
	Probes      int       `json:"probes"`
	// ProbesJudged counts the probes in fault-free periods, which are checked against the newest
	// configuration.
	ProbesJudged int              `json:"probes_judged"`
	Promotions   int              `json:"platform_calls"`
	Faults       map[string]int   `json:"troubles"`
	Breaches     []history.Breach `json:"breaches"`
	Processes    []string         `json:"processes_that_ended"`
	EventsAround []string         `json:"around_the_first_breach,omitempty"`
}

// Latencies summarizes a latency distribution, in microseconds.
type Latencies struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// longestLatency is the highest latency that is recorded; longer ones count as this.
const longestLatency = int64(10 * time.Minute / time.Microsecond)

// recorder collects latencies in a histogram.
type recorder struct{ h *hdrhistogram.Histogram }

func newRecorder() recorder { return recorder{hdrhistogram.New(1, longestLatency, 3)} }

func (m recorder) add(span time.Duration) {
	_ = m.h.RecordValue(min(max(1, span.Microseconds()), longestLatency)) // it lies within the bounds
}

func (m recorder) latencies() Latencies {
	return Latencies{m.h.TotalCount(), m.h.ValueAtQuantile(50), m.h.ValueAtQuantile(99), m.h.Max()}
}

// Clean reports whether no rule was broken and no process ended by itself.
func (r *Report) Clean() bool { return len(r.Breaches) == 0 && len(r.Processes) == 0 }

func (b *bed) report(leaks []history.Breach) *Report {
	r := &Report{Seed: b.cfg.Plan.Seed, Faults: map[string]int{}, Processes: b.cluster.faults()}
	b.countStatements(r)
	b.countOrders(r)
	for _, d := range b.traffic.Troubles() {
		r.Faults[d.Kind]++
	}
	r.Promotions = b.cluster.platform.Calls()
	r.Breaches = append(b.orders.Breaches(), b.traffic.Breaches(b.orders, historyBounds)...)
	now := b.traffic.Now()
	r.Breaches = append(append(r.Breaches, leaks...), b.cluster.logBreaches(now)...)
	for _, g := range b.groups {
		for _, text := range g.Broken() {
			r.Breaches = append(r.Breaches, history.Breach{Rule: "DATABASES", At: now, Text: text})
		}
	}
	for _, s := range b.services {
		for _, text := range s.Broken() {
			r.Breaches = append(r.Breaches, history.Breach{Rule: "DATABASES", At: now, Text: text})
		}
	}
	for _, text := range b.cluster.platform.Broken() {
		r.Breaches = append(r.Breaches, history.Breach{Rule: history.One, At: now, Text: text})
	}
	slices.SortStableFunc(r.Breaches, func(a, b history.Breach) int { return int(a.At - b.At) })
	if len(r.Breaches) > 0 {
		r.EventsAround = b.around(r.Breaches[0].At)
	}
	return r
}

func (b *bed) countStatements(r *Report) {
	served := newRecorder()
	for _, s := range b.traffic.Statements() {
		switch {
		case s.Code == "":
			served.add(s.Done - s.Sent)
		case s.Code == history.Unanswered:
			r.Cut++
		case standin.Promises(s.Code):
			r.Refused++
		default:
			r.Unclear++
		}
	}
	r.Statements = served.latencies()
}

func (b *bed) countOrders(r *Report) {
	r.OrdersSent, r.Readings = len(b.orders.All()), len(b.orders.Readings())
	first := map[int]time.Duration{}
	acked := map[int]bool{}
	took := newRecorder()
	for _, a := range b.orders.Answers() {
		if sent, known := first[a.Order]; !known || a.Sent < sent {
			first[a.Order] = a.Sent
		}
		if a.Code == 200 && !acked[a.Order] {
			acked[a.Order] = true
			took.add(a.Done - first[a.Order])
		}
	}
	r.OrdersAcked, r.Orders = len(acked), took.latencies()
	r.ProbesJudged, r.Probes = b.traffic.Judged(historyBounds)
}

// aroundSpan is how long before and after a moment events are listed.
const aroundSpan = 2 * time.Second

// maxAround bounds the number of listed events.
const maxAround = 200

// around lists the faults and order responses near a moment.
func (b *bed) around(at time.Duration) []string {
	type event struct {
		at   time.Duration
		text string
	}
	var events []event
	for _, d := range b.traffic.Troubles() {
		events = append(events, event{d.At, fmt.Sprintf("%s of %s, until %.3f s", d.Kind, d.Node, d.Till.Seconds())})
	}
	all := b.orders.All()
	for _, a := range b.orders.Answers() {
		events = append(events, event{a.Done, fmt.Sprintf("order %d, %d on %d, answered %d", a.Order, all[a.Order].Rev, all[a.Order].Base, a.Code)})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	var out []string
	for _, e := range events {
		if e.at >= at-aroundSpan && e.at <= at+aroundSpan && len(out) < maxAround {
			out = append(out, fmt.Sprintf("%.3f s: %s", e.at.Seconds(), e.text))
		}
	}
	return out
}

// lastAcknowledgement describes the events around the last acknowledgement of an order.
func (b *bed) lastAcknowledgement() string {
	var last time.Duration
	for _, a := range b.orders.Answers() {
		if a.Code == http.StatusOK {
			last = max(last, a.Done)
		}
	}
	return fmt.Sprintf("the last acknowledgement was at %.3f s:\n%s", last.Seconds(), strings.Join(b.around(last), "\n"))
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	row := func(name string, l Latencies) {
		fmt.Fprintf(w, "%-12s %8d  %8.2f  %8.2f  %9.2f\n", name, l.Count, float64(l.P50)/1000, float64(l.P99)/1000, float64(l.Max)/1000)
	}
	fmt.Fprintf(w, "seed %d\n%-12s %8s  %8s  %8s  %9s\n", r.Seed, "served", "count", "p50 ms", "p99 ms", "max ms")
	row("statements", r.Statements)
	row("orders", r.Orders)
	fmt.Fprintf(w, "statements refused %d, unclear %d, cut %d\n", r.Refused, r.Unclear, r.Cut)
	fmt.Fprintf(w, "orders sent %d, acknowledged %d; read back %d times\n", r.OrdersSent, r.OrdersAcked, r.Readings)
	fmt.Fprintf(w, "probes of routes %d, of which %d in calm times\n", r.Probes, r.ProbesJudged)
	fmt.Fprintf(w, "calls of the platform %d; troubles:", r.Promotions)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(w, " %s %d", kind, r.Faults[kind])
	}
	fmt.Fprintln(w)
	r.printFailures(w)
}

// maxPrinted bounds how many breaches are printed.
const maxPrinted = 20

func (r *Report) printFailures(w io.Writer) {
	if r.Clean() {
		fmt.Fprintln(w, "no rule was broken")
		return
	}
	for _, text := range r.Processes {
		fmt.Fprintln(w, text)
	}
	for _, breach := range r.Breaches[:min(maxPrinted, len(r.Breaches))] {
		fmt.Fprintln(w, breach)
	}
	if more := len(r.Breaches) - maxPrinted; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	if len(r.EventsAround) > 0 {
		fmt.Fprintln(w, "around the first:")
		for _, text := range r.EventsAround {
			fmt.Fprintln(w, " ", text)
		}
	}
}
