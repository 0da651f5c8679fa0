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

// QuotaCheck is the result of checking tenants' quotas against the recordings of all nodes. Nodes
// belong to one group if they are connected by answered calls, so that their clocks can be
// compared. Windows are counted in each group separately.
type QuotaCheck struct {
	Recordings  int           `json:"recordings"`
	Groups      int           `json:"groups"`
	Operations  int           `json:"operations"`
	Tenants     int           `json:"tenants"`
	UncertainUs kernel.Micros `json:"uncertain_us"`       // maximum error of an aligned time
	LeftOut     []string      `json:"left_out,omitempty"` // nodes not connected to a ledger by any call
	Excess      *QuotaExcess  `json:"excess,omitempty"`   // the earliest one of the first group that has any
}

// QuotaExcess is a window with more operations than the limit allows. Its times are on the clock of
// the group's first ledger.
type QuotaExcess struct {
	Tenant  string         `json:"tenant"`
	FromUs  kernel.Micros  `json:"from_us"`
	ToUs    kernel.Micros  `json:"to_us"`
	Count   int            `json:"count"`
	Allowed float64        `json:"most"`
	ByNode  map[string]int `json:"by_node"`
}

// Print writes the result as text.
func (c *QuotaCheck) Print(w io.Writer) {
	fmt.Fprintf(w, "%d operations of %d tenants in %d recordings; times within %.1f ms\n", c.Operations, c.Tenants, c.Recordings, float64(c.UncertainUs)/1000)
	if c.Groups > 1 {
		fmt.Fprintf(w, "%d groups of nodes whose clocks can't be compared: windows are counted in each\n", c.Groups)
	}
	for _, node := range c.LeftOut {
		fmt.Fprintf(w, "left out: %s, which no answered call joins to the others\n", node)
	}
	if e := c.Excess; e != nil {
		fmt.Fprintf(w, "over the limit: %s, %d operations between %d us and %d us, and %.0f are allowed: %v\n", e.Tenant, e.Count, e.FromUs, e.ToUs, e.Allowed, e.ByNode)
		return
	}
	fmt.Fprintln(w, "no window is over a limit")
}

// CheckQuota recounts every window of every tenant from the recordings of all nodes.
func CheckQuota(paths []string) (*QuotaCheck, error) {
	c := &quotaRecordings{received: map[quota.CallRecord]nodeTime{}}
	for _, path := range paths {
		if err := c.load(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	clockSkews := c.clockSkews()
	result := &QuotaCheck{Recordings: len(c.nodes)}
	for _, n := range c.nodes {
		if !n.aligned && len(n.limits) > 0 {
			result.Groups++
			newQuotaGroup(n, clockSkews).countWindows(result)
		}
	}
	for _, n := range c.nodes {
		if !n.aligned && len(n.sent) > 0 {
			result.LeftOut = append(result.LeftOut, n.name)
		}
	}
	return result, nil
}

// quotaRecordings holds the quota records of all recordings.
type quotaRecordings struct {
	nodes    []*recordedNode
	received map[quota.CallRecord]nodeTime // keyed by the call with RequestedAt zeroed
}

// recordedNode holds the quota records of one node's recording.
type recordedNode struct {
	name        string
	sent        []operation
	calls       []answeredCall
	limits      []timedLimits
	aligned     bool
	offset      kernel.Micros // added to its times to convert them to the first ledger's clock
	uncertainty kernel.Micros
}

type operation struct {
	tenant string
	node   string
	at     kernel.Micros
}

type answeredCall struct {
	call        quota.CallRecord
	requestedAt kernel.Micros
	respondedAt kernel.Micros
}

// nodeTime is a time on a node's clock.
type nodeTime struct {
	node *recordedNode
	at   kernel.Micros
}

type timedLimits struct {
	quota.LimitsRecord
	at kernel.Micros
}

func (c *quotaRecordings) load(path string) error {
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
		if err := c.addRecord(n, r); err != nil {
			return fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return nil
}

// addRecord adds a record if it concerns quotas.
func (c *quotaRecordings) addRecord(n *recordedNode, r kernel.Record) (err error) {
	switch r.Kind {
	case quota.SentKind:
		var s quota.SentRecord
		err = json.Unmarshal(r.Body, &s)
		n.sent = append(n.sent, operation{s.Tenant, n.name, r.At})
	case quota.RequestedKind:
		var call quota.CallRecord
		err = json.Unmarshal(r.Body, &call)
		requestedAt := call.RequestedAt
		call.RequestedAt = 0
		n.calls = append(n.calls, answeredCall{call, requestedAt, r.At})
	case quota.ReceivedKind:
		var call quota.CallRecord
		err = json.Unmarshal(r.Body, &call)
		c.received[call] = nodeTime{n, r.At}
	case quota.LimitsKind:
		l := timedLimits{at: r.At}
		err = json.Unmarshal(r.Body, &l.LimitsRecord)
		n.limits = append(n.limits, l)
	}
	return err
}

// clockSkew bounds how far a proxy's clock is ahead of a ledger's: the ledger received each call
// between the proxy's request and the response.
type clockSkew struct{ minimum, maximum kernel.Micros }

func (s clockSkew) width() kernel.Micros    { return s.maximum - s.minimum }
func (s clockSkew) midpoint() kernel.Micros { return s.minimum + s.width()/2 }

type nodePair struct{ proxy, ledger *recordedNode }

// clockSkews estimates the skew between each proxy and each ledger that answered it.
func (c *quotaRecordings) clockSkews() map[nodePair]clockSkew {
	result := map[nodePair]clockSkew{}
	for _, n := range c.nodes {
		for _, call := range n.calls {
			received, known := c.received[call.call]
			if !known {
				continue
			}
			p := nodePair{n, received.node}
			skew, known := result[p]
			if !known {
				skew = clockSkew{math.MinInt64 / 4, math.MaxInt64 / 4}
			}
			result[p] = clockSkew{max(skew.minimum, call.requestedAt-received.at), min(skew.maximum, call.respondedAt-received.at)}
		}
	}
	return result
}

// quotaGroup is a set of nodes whose clocks can be compared.
type quotaGroup struct {
	nodes      []*recordedNode
	limits     []timedLimits
	operations map[string][]operation // by tenant
}

// newQuotaGroup aligns the clocks of all nodes that calls connect to first, always following the
// narrowest skew bounds next.
func newQuotaGroup(first *recordedNode, clockSkews map[nodePair]clockSkew) *quotaGroup {
	g := &quotaGroup{nodes: []*recordedNode{first}, operations: map[string][]operation{}}
	first.aligned = true
	for n := alignNext(clockSkews); n != nil; n = alignNext(clockSkews) {
		g.nodes = append(g.nodes, n)
	}
	return g
}

// alignNext aligns the node that has the narrowest skew bounds to an already aligned node, and
// returns it. It returns nil if there is none.
func alignNext(clockSkews map[nodePair]clockSkew) *recordedNode {
	var best nodePair
	narrowest := kernel.Micros(math.MaxInt64)
	for p, skew := range clockSkews {
		if p.proxy.aligned != p.ledger.aligned && skew.width() < narrowest {
			best, narrowest = p, skew.width()
		}
	}
	switch skew := clockSkews[best]; {
	case best.proxy == nil:
		return nil
	case best.ledger.aligned:
		return best.proxy.align(best.ledger, -skew.midpoint(), skew)
	default:
		return best.ledger.align(best.proxy, skew.midpoint(), skew)
	}
}

func (n *recordedNode) align(reference *recordedNode, ahead kernel.Micros, skew clockSkew) *recordedNode {
	n.aligned = true
	n.offset = reference.offset + ahead
	n.uncertainty = reference.uncertainty + max(0, skew.width())/2
	return n
}

// countWindows counts the group's windows and adds the outcome to the result.
func (g *quotaGroup) countWindows(result *QuotaCheck) {
	for _, n := range g.nodes {
		result.UncertainUs = max(result.UncertainUs, n.uncertainty)
		result.Operations += len(n.sent)
		for _, o := range n.sent {
			o.at += n.offset
			g.operations[o.tenant] = append(g.operations[o.tenant], o)
		}
		for _, l := range n.limits {
			l.at += n.offset
			g.limits = append(g.limits, l)
		}
	}
	result.Tenants = max(result.Tenants, len(g.operations))
	slices.SortFunc(g.limits, func(a, b timedLimits) int { return cmp.Compare(a.at, b.at) })
	var first *QuotaExcess
	for tenant, operations := range g.operations {
		slices.SortFunc(operations, func(a, b operation) int { return cmp.Compare(a.at, b.at) })
		if e := g.firstExcess(tenant, operations); e != nil && (first == nil || e.ToUs < first.ToUs) {
			first = e
		}
	}
	result.Excess = cmp.Or(result.Excess, first)
}

// limitPropagation is how long a previous, higher limit may remain in effect after it was lowered:
// until proxies have learned of the change and the slices granted under the old limit have expired.
const limitPropagation = 10 * kernel.Second

// firstExcess returns the first window in which a tenant exceeded its limit, or nil.
func (g *quotaGroup) firstExcess(tenant string, operations []operation) *QuotaExcess {
	window := g.limits[0].Tolerance.Window
	for first, last := 0, 0; last < len(operations); last++ {
		for operations[last].at-operations[first].at > window {
			first++
		}
		from, to := operations[first].at, operations[last].at
		if allowed := g.maxAllowed(tenant, from, to); float64(last-first+1) > allowed {
			e := &QuotaExcess{Tenant: tenant, FromUs: from, ToUs: to, Count: last - first + 1, Allowed: allowed, ByNode: map[string]int{}}
			for _, o := range operations[first : last+1] {
				e.ByNode[o.node]++
			}
			return e
		}
	}
	return nil
}

// maxAllowed returns how many operations are allowed in a window between two times, under the
// highest limit that may have been in effect.
func (g *quotaGroup) maxAllowed(tenant string, from, to kernel.Micros) (allowed float64) {
	for i, l := range g.limits {
		if l.at > to || i+1 < len(g.limits) && g.limits[i+1].at+limitPropagation < from {
			continue
		}
		limit, known := l.Limits[tenant]
		if known && limit.Unlimited() {
			return math.Inf(1)
		}
		allowed = max(allowed, l.Tolerance.MaxOperations(limit))
	}
	return allowed
}
