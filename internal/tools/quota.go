package tools

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"

	"indigowalk/internal/kernel"
	"indigowalk/internal/quota"
)

// QuotaCheck is what the recordings of all nodes show of tenants' quotas. Nodes are in
// one group if answered calls join them, so that their clocks can be compared; windows
// are counted in each group by itself.
type QuotaCheck struct {
	Recordings  int           `json:"recordings"`
	Groups      int           `json:"groups"`
	Operations  int           `json:"operations"`
	Tenants     int           `json:"tenants"`
	UncertainUs kernel.Micros `json:"uncertain_us"`       // the most by which a time may be wrong
	LeftOut     []string      `json:"left_out,omitempty"` // nodes that no call joins to a ledger
	Excess      *QuotaExcess  `json:"excess,omitempty"`   // the first of the first group that has one
}

// QuotaExcess is a window with more operations than the limit allows, in the time of the
// group's first ledger.
type QuotaExcess struct {
	Tenant string         `json:"tenant"`
	FromUs kernel.Micros  `json:"from_us"`
	ToUs   kernel.Micros  `json:"to_us"`
	Count  int            `json:"count"`
	Most   float64        `json:"most"`
	ByNode map[string]int `json:"by_node"`
}

// Print writes the result for people.
func (c *QuotaCheck) Print(w io.Writer) {
	fmt.Fprintf(w, "%d operations of %d tenants in %d recordings; times within %.1f ms\n", c.Operations, c.Tenants, c.Recordings, float64(c.UncertainUs)/1000)
	if c.Groups > 1 {
		fmt.Fprintf(w, "%d groups of nodes whose clocks can't be compared: windows are counted in each\n", c.Groups)
	}
	for _, node := range c.LeftOut {
		fmt.Fprintf(w, "left out: %s, which no answered call joins to the others\n", node)
	}
	if e := c.Excess; e != nil {
		fmt.Fprintf(w, "over the limit: %s, %d operations between %d us and %d us, and %.0f are allowed: %v\n", e.Tenant, e.Count, e.FromUs, e.ToUs, e.Most, e.ByNode)
		return
	}
	fmt.Fprintln(w, "no window is over a limit")
}

// CheckQuota counts every window of every tenant again, from the recordings of all
// nodes.
func CheckQuota(paths []string) (*QuotaCheck, error) {
	c := &quotaCheck{taken: map[quota.CallRecord]reading{}}
	for _, path := range paths {
		if err := c.load(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	differences := c.differences()
	out := &QuotaCheck{Recordings: len(c.nodes)}
	for _, n := range c.nodes {
		if !n.placed && len(n.limits) > 0 {
			out.Groups++
			newQuotaGroup(n, differences).count(out)
		}
	}
	for _, n := range c.nodes {
		if !n.placed && len(n.sent) > 0 {
			out.LeftOut = append(out.LeftOut, n.name)
		}
	}
	return out, nil
}

// quotaCheck is the recordings as far as they concern quotas.
type quotaCheck struct {
	nodes []*recordedNode
	taken map[quota.CallRecord]reading // by a call without its time at the carrier
}

// recordedNode is one recording.
type recordedNode struct {
	name      string
	sent      []operation
	calls     []answeredCall
	limits    []limitsAt
	placed    bool
	offset    kernel.Micros // to be added to its times
	uncertain kernel.Micros
}

type operation struct {
	tenant string
	node   string
	at     kernel.Micros
}

type answeredCall struct {
	call     quota.CallRecord
	asked    kernel.Micros
	answered kernel.Micros
}

// reading is a time at a node.
type reading struct {
	node *recordedNode
	at   kernel.Micros
}

type limitsAt struct {
	quota.LimitsRecord
	at kernel.Micros
}

func (c *quotaCheck) load(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, records, _, err := readRecording(raw)
	if err != nil {
		return err
	}
	n := &recordedNode{name: head.Node + "/" + head.Role}
	c.nodes = append(c.nodes, n)
	for i, r := range records {
		if err := c.note(n, r); err != nil {
			return fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return nil
}

// note takes one record in.
func (c *quotaCheck) note(n *recordedNode, r kernel.Record) (err error) {
	switch r.Kind {
	case quota.SentKind:
		var s quota.SentRecord
		err = json.Unmarshal(r.Body, &s)
		n.sent = append(n.sent, operation{s.Tenant, n.name, r.At})
	case quota.RequestedKind:
		var call quota.CallRecord
		err = json.Unmarshal(r.Body, &call)
		asked := call.RequestedAt
		call.RequestedAt = 0
		n.calls = append(n.calls, answeredCall{call, asked, r.At})
	case quota.ReceivedKind:
		var call quota.CallRecord
		err = json.Unmarshal(r.Body, &call)
		c.taken[call] = reading{n, r.At}
	case quota.LimitsKind:
		l := limitsAt{at: r.At}
		err = json.Unmarshal(r.Body, &l.LimitsRecord)
		n.limits = append(n.limits, l)
	}
	return err
}

// difference is how much the clock of a carrier is ahead of that of a ledger: what was
// taken was taken between the asking and the answer.
type difference struct{ least, most kernel.Micros }

func (d difference) width() kernel.Micros  { return d.most - d.least }
func (d difference) middle() kernel.Micros { return d.least + d.width()/2 }

type pair struct{ carrier, ledger *recordedNode }

// differences compares the clocks of carriers and of ledgers that answered them.
func (c *quotaCheck) differences() map[pair]difference {
	out := map[pair]difference{}
	for _, n := range c.nodes {
		for _, call := range n.calls {
			taken, known := c.taken[call.call]
			if !known {
				continue
			}
			p := pair{n, taken.node}
			d, known := out[p]
			if !known {
				d = difference{math.MinInt64 / 4, math.MaxInt64 / 4}
			}
			out[p] = difference{max(d.least, call.asked-taken.at), min(d.most, call.answered-taken.at)}
		}
	}
	return out
}

// quotaGroup is nodes whose clocks can be compared.
type quotaGroup struct {
	nodes  []*recordedNode
	limits []limitsAt
	at     map[string][]operation // by tenant
}

// newQuotaGroup places all nodes that calls join to one, along the narrowest
// differences.
func newQuotaGroup(first *recordedNode, differences map[pair]difference) *quotaGroup {
	g := &quotaGroup{nodes: []*recordedNode{first}, at: map[string][]operation{}}
	first.placed = true
	for n := placeNext(differences); n != nil; n = placeNext(differences) {
		g.nodes = append(g.nodes, n)
	}
	return g
}

// placeNext places the node that is joined most closely to one that is placed, and
// returns it; nil if there is none.
func placeNext(differences map[pair]difference) *recordedNode {
	var best pair
	narrowest := kernel.Micros(math.MaxInt64)
	for p, d := range differences {
		if p.carrier.placed != p.ledger.placed && d.width() < narrowest {
			best, narrowest = p, d.width()
		}
	}
	switch d := differences[best]; {
	case best.carrier == nil:
		return nil
	case best.ledger.placed:
		return best.carrier.place(best.ledger, -d.middle(), d)
	default:
		return best.ledger.place(best.carrier, d.middle(), d)
	}
}

func (n *recordedNode) place(by *recordedNode, ahead kernel.Micros, d difference) *recordedNode {
	n.placed = true
	n.offset = by.offset + ahead
	n.uncertain = by.uncertain + max(0, d.width())/2
	return n
}

// count adds the group's windows to what is told.
func (g *quotaGroup) count(out *QuotaCheck) {
	for _, n := range g.nodes {
		out.UncertainUs = max(out.UncertainUs, n.uncertain)
		out.Operations += len(n.sent)
		for _, o := range n.sent {
			o.at += n.offset
			g.at[o.tenant] = append(g.at[o.tenant], o)
		}
		for _, l := range n.limits {
			l.at += n.offset
			g.limits = append(g.limits, l)
		}
	}
	out.Tenants = max(out.Tenants, len(g.at))
	slices.SortFunc(g.limits, func(a, b limitsAt) int { return cmp.Compare(a.at, b.at) })
	var first *QuotaExcess
	for tenant, operations := range g.at {
		slices.SortFunc(operations, func(a, b operation) int { return cmp.Compare(a.at, b.at) })
		if e := g.firstExcess(tenant, operations); e != nil && (first == nil || e.ToUs < first.ToUs) {
			first = e
		}
	}
	out.Excess = cmp.Or(out.Excess, first)
}

// limitSettles is for how long after a lower limit another may yet hold: until carriers
// know of it, and slices of the higher one are over.
const limitSettles = 10 * kernel.Second

// firstExcess returns the first window of a tenant with too many operations.
func (g *quotaGroup) firstExcess(tenant string, operations []operation) *QuotaExcess {
	window := g.limits[0].Tolerance.Window
	for first, last := 0, 0; last < len(operations); last++ {
		for operations[last].at-operations[first].at > window {
			first++
		}
		from, to := operations[first].at, operations[last].at
		if most := g.most(tenant, from, to); float64(last-first+1) > most {
			e := &QuotaExcess{Tenant: tenant, FromUs: from, ToUs: to, Count: last - first + 1, Most: most, ByNode: map[string]int{}}
			for _, o := range operations[first : last+1] {
				e.ByNode[o.node]++
			}
			return e
		}
	}
	return nil
}

// most is what is allowed between two times, by the highest limit that may have held.
func (g *quotaGroup) most(tenant string, from, to kernel.Micros) (most float64) {
	for i, l := range g.limits {
		if l.at > to || i+1 < len(g.limits) && g.limits[i+1].at+limitSettles < from {
			continue
		}
		limit, known := l.Limits[tenant]
		if known && limit.Unlimited() {
			return math.Inf(1)
		}
		most = max(most, l.Tolerance.MaxOperations(limit))
	}
	return most
}
