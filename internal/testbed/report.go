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

// historyBounds are the time bounds for the checks of a run's history.
var historyBounds = history.Bounds{Drain: drainBound, Apply: applyBound, Recovery: recoveryBound, AnswerGrace: answerGrace, DeadlineGrace: deadlineGrace}

// Report is the result of a run.
type Report struct {
	Seed        int64     `json:"seed"`
	Statements  Latencies `json:"statements"`
	Orders      Latencies `json:"orders"`             // from the first attempt of an order to its acknowledgement
	Refused     int       `json:"statements_refused"` // with a code that promises that they are not committed
	Unclear     int       `json:"statements_unclear"` // with any other code
	Unanswered  int       `json:"statements_cut"`     // the connection ended or timed out before the answer
	OrdersSent  int       `json:"orders_sent"`
	OrdersAcked int       `json:"orders_acknowledged"`
	Readings    int       `json:"readings"` // configurations that operators read back
	Probes      int       `json:"probes"`   // of routes at proxies
	// ProbesJudged counts the probes in fault-free periods, which are checked against the newest
	// configuration.
	ProbesJudged          int              `json:"probes_judged"`
	PlatformCalls         int              `json:"platform_calls"`
	Faults                map[string]int   `json:"troubles"`
	Breaches              []history.Breach `json:"breaches"`
	UnexpectedExits       []string         `json:"processes_that_ended"`
	EventsNearFirstBreach []string         `json:"around_the_first_breach,omitempty"`
}

// Latencies summarizes a latency distribution, in microseconds.
type Latencies struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	Max   int64 `json:"max_us"`
}

// maxLatency is the highest latency in microseconds that is recorded; higher ones are recorded as this.
const maxLatency = int64(10 * time.Minute / time.Microsecond)

// latencyRecorder collects latencies in a histogram.
type latencyRecorder struct{ histogram *hdrhistogram.Histogram }

func newLatencyRecorder() latencyRecorder { return latencyRecorder{hdrhistogram.New(1, maxLatency, 3)} }

func (r latencyRecorder) add(span time.Duration) {
	_ = r.histogram.RecordValue(min(max(1, span.Microseconds()), maxLatency)) // the value lies within the histogram's bounds
}

func (r latencyRecorder) latencies() Latencies {
	return Latencies{r.histogram.TotalCount(), r.histogram.ValueAtQuantile(50), r.histogram.ValueAtQuantile(99), r.histogram.Max()}
}

// Clean reports whether no rule was broken and no process ended by itself.
func (r *Report) Clean() bool { return len(r.Breaches) == 0 && len(r.UnexpectedExits) == 0 }

// report checks the history of the run and summarizes the result; leaks are breaches found before.
func (t *testRun) report(leaks []history.Breach) *Report {
	r := &Report{Seed: t.cfg.Plan.Seed, Faults: map[string]int{}, UnexpectedExits: t.cluster.unexpectedExits()}
	t.countStatements(r)
	t.countOrders(r)
	for _, fault := range t.traffic.Faults() {
		r.Faults[fault.Kind]++
	}
	r.PlatformCalls = t.cluster.platform.Calls()
	r.Breaches = append(t.orders.Breaches(), t.traffic.Breaches(t.orders, historyBounds)...)
	now := t.traffic.Now()
	r.Breaches = append(append(r.Breaches, leaks...), t.cluster.logBreaches(now)...)
	for _, g := range t.groups {
		for _, text := range g.Violations() {
			r.Breaches = append(r.Breaches, history.Breach{Rule: "DATABASES", At: now, Text: text})
		}
	}
	for _, s := range t.services {
		for _, text := range s.Violations() {
			r.Breaches = append(r.Breaches, history.Breach{Rule: "DATABASES", At: now, Text: text})
		}
	}
	for _, text := range t.cluster.platform.Violations() {
		r.Breaches = append(r.Breaches, history.Breach{Rule: history.RuleSinglePrimary, At: now, Text: text})
	}
	slices.SortStableFunc(r.Breaches, func(a, b history.Breach) int { return int(a.At - b.At) })
	if len(r.Breaches) > 0 {
		r.EventsNearFirstBreach = t.eventsAround(r.Breaches[0].At)
	}
	return r
}

func (t *testRun) countStatements(r *Report) {
	recorder := newLatencyRecorder()
	for _, s := range t.traffic.Statements() {
		switch {
		case s.Code == "":
			recorder.add(s.Done - s.Sent)
		case s.Code == history.Unanswered:
			r.Unanswered++
		case standin.PromisesNotCommitted(s.Code):
			r.Refused++
		default:
			r.Unclear++
		}
	}
	r.Statements = recorder.latencies()
}

func (t *testRun) countOrders(r *Report) {
	r.OrdersSent, r.Readings = len(t.orders.All()), len(t.orders.Readings())
	firstSent := map[int]time.Duration{}
	acked := map[int]bool{}
	recorder := newLatencyRecorder()
	for _, a := range t.orders.Answers() {
		if sent, known := firstSent[a.Order]; !known || a.Sent < sent {
			firstSent[a.Order] = a.Sent
		}
		if a.Code == 200 && !acked[a.Order] {
			acked[a.Order] = true
			recorder.add(a.Done - firstSent[a.Order])
		}
	}
	r.OrdersAcked, r.Orders = len(acked), recorder.latencies()
	r.ProbesJudged, r.Probes = t.traffic.CheckedProbes(historyBounds)
}

// eventWindow is how long before and after a time eventsAround lists events.
const eventWindow = 2 * time.Second

// maxListedEvents bounds the number of listed events.
const maxListedEvents = 200

// eventsAround lists the starts of faults and the responses to orders near a time of the run.
func (t *testRun) eventsAround(at time.Duration) []string {
	type event struct {
		at   time.Duration
		text string
	}
	var events []event
	for _, fault := range t.traffic.Faults() {
		events = append(events, event{fault.At, fmt.Sprintf("%s of %s, until %.3f s", fault.Kind, fault.Node, fault.End.Seconds())})
	}
	all := t.orders.All()
	for _, a := range t.orders.Answers() {
		events = append(events, event{a.Done, fmt.Sprintf("order %d, %d on %d, answered %d", a.Order, all[a.Order].Rev, all[a.Order].Base, a.Code)})
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	var out []string
	for _, e := range events {
		if e.at >= at-eventWindow && e.at <= at+eventWindow && len(out) < maxListedEvents {
			out = append(out, fmt.Sprintf("%.3f s: %s", e.at.Seconds(), e.text))
		}
	}
	return out
}

// lastAcknowledgement describes when an order was last acknowledged, and the events around that time.
func (t *testRun) lastAcknowledgement() string {
	var last time.Duration
	for _, a := range t.orders.Answers() {
		if a.Code == http.StatusOK {
			last = max(last, a.Done)
		}
	}
	return fmt.Sprintf("the last acknowledgement was at %.3f s:\n%s", last.Seconds(), strings.Join(t.eventsAround(last), "\n"))
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	row := func(name string, l Latencies) {
		fmt.Fprintf(w, "%-12s %8d  %8.2f  %8.2f  %9.2f\n", name, l.Count, float64(l.P50)/1000, float64(l.P99)/1000, float64(l.Max)/1000)
	}
	fmt.Fprintf(w, "seed %d\n%-12s %8s  %8s  %8s  %9s\n", r.Seed, "served", "count", "p50 ms", "p99 ms", "max ms")
	row("statements", r.Statements)
	row("orders", r.Orders)
	fmt.Fprintf(w, "statements refused %d, unclear %d, cut %d\n", r.Refused, r.Unclear, r.Unanswered)
	fmt.Fprintf(w, "orders sent %d, acknowledged %d; read back %d times\n", r.OrdersSent, r.OrdersAcked, r.Readings)
	fmt.Fprintf(w, "probes of routes %d, of which %d in calm times\n", r.Probes, r.ProbesJudged)
	fmt.Fprintf(w, "calls of the platform %d; troubles:", r.PlatformCalls)
	for _, kind := range slices.Sorted(maps.Keys(r.Faults)) {
		fmt.Fprintf(w, " %s %d", kind, r.Faults[kind])
	}
	fmt.Fprintln(w)
	r.printFailures(w)
}

// maxPrintedBreaches bounds how many breaches are printed.
const maxPrintedBreaches = 20

func (r *Report) printFailures(w io.Writer) {
	if r.Clean() {
		fmt.Fprintln(w, "no rule was broken")
		return
	}
	for _, text := range r.UnexpectedExits {
		fmt.Fprintln(w, text)
	}
	for _, breach := range r.Breaches[:min(maxPrintedBreaches, len(r.Breaches))] {
		fmt.Fprintln(w, breach)
	}
	if more := len(r.Breaches) - maxPrintedBreaches; more > 0 {
		fmt.Fprintf(w, "and %d more\n", more)
	}
	if len(r.EventsNearFirstBreach) > 0 {
		fmt.Fprintln(w, "around the first:")
		for _, text := range r.EventsNearFirstBreach {
			fmt.Fprintln(w, " ", text)
		}
	}
}
