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
// that are connected by answered calls, directly or through others, form a group: their clocks can
// be compared. Windows are counted in each group separately.
type QuotaCheck struct {
	Recordings  int           `json:"recordings"`
	Groups      int           `json:"groups"`
	Operations  int           `json:"operations"`
	Tenants     int           `json:"tenants"`
	UncertainUs kernel.Micros `json:"uncertain_us"`       // maximum error of an aligned time
	LeftOut     []string      `json:"left_out,omitempty"` // nodes not connected to a ledger by any call
	Excess      *QuotaExcess  `json:"excess,omitempty"`   // the earliest excess in the first group that has any
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
func (q *QuotaCheck) Print(w io.Writer) {
	fmt.Fprintf(w, "%d operations of %d tenants in %d recordings; times within %.1f ms\n", q.Operations, q.Tenants, q.Recordings, float64(q.UncertainUs)/1000)
	if q.Groups > 1 {
		fmt.Fprintf(w, "%d groups of nodes whose clocks can't be compared: windows are counted in each\n", q.Groups)
	}
	for _, node := range q.LeftOut {
		fmt.Fprintf(w, "left out: %s, which no answered call joins to the others\n", node)
	}
	if excess := q.Excess; excess != nil {
		fmt.Fprintf(w, "over the limit: %s, %d operations between %d us and %d us, and %.0f are allowed: %v\n", excess.Tenant, excess.Count, excess.FromUs, excess.ToUs, excess.Allowed, excess.ByNode)
		return
	}
	fmt.Fprintln(w, "no window is over a limit")
}

// CheckQuota recounts every window of every tenant from the recordings of all nodes.
func CheckQuota(paths []string) (*QuotaCheck, error) {
	recordings := &quotaRecordings{receivedAt: map[quota.CallRecord]nodeTime{}}
	for _, path := range paths {
		if err := recordings.load(path); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	clockSkews := recordings.clockSkews()
	result := &QuotaCheck{Recordings: len(recordings.nodes)}
	for _, node := range recordings.nodes {
		if !node.aligned && len(node.limits) > 0 {
			result.Groups++
			newQuotaGroup(node, clockSkews).countWindows(result)
		}
	}
	for _, node := range recordings.nodes {
		if !node.aligned && len(node.sent) > 0 {
			result.LeftOut = append(result.LeftOut, node.nodeName)
		}
	}
	return result, nil
}

// quotaRecordings holds the quota records of all recordings.
type quotaRecordings struct {
	nodes      []*recordedNode
	receivedAt map[quota.CallRecord]nodeTime // keyed by the call with RequestedAt zeroed
}

// recordedNode holds the quota records of one node's recording.
type recordedNode struct {
	nodeName    string
	sent        []operation
	calls       []answeredCall
	limits      []timedLimits
	aligned     bool          // it belongs to a group, and offset and uncertainty are set
	offset      kernel.Micros // added to its times to convert them to the first ledger's clock
	uncertainty kernel.Micros // maximum error of a converted time
}

// operation is an operation that a node sent for a tenant.
type operation struct {
	tenant string
	node   string
	at     kernel.Micros
}

// answeredCall is a proxy's call to a ledger, with the times on the proxy's clock.
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

// timedLimits is the limits of all tenants as a ledger applied them from a time on.
type timedLimits struct {
	quota.LimitsRecord
	at kernel.Micros
}

// load reads the recording of one node.
func (q *quotaRecordings) load(path string) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	head, records, _, err := readRecording(raw)
	if err != nil {
		return err
	}
	node := &recordedNode{nodeName: head.Node + "/" + head.Role}
	q.nodes = append(q.nodes, node)
	for i, record := range records {
		if err := q.addRecord(node, record); err != nil {
			return fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	return nil
}

// addRecord adds a record to those of its node, if it concerns quotas.
func (q *quotaRecordings) addRecord(node *recordedNode, record kernel.Record) (err error) {
	switch record.Kind {
	case quota.SentKind:
		var sent quota.SentRecord
		err = json.Unmarshal(record.Body, &sent)
		node.sent = append(node.sent, operation{sent.Tenant, node.nodeName, record.At})
	case quota.RequestedKind:
		var call quota.CallRecord
		err = json.Unmarshal(record.Body, &call)
		requestedAt := call.RequestedAt
		call.RequestedAt = 0
		node.calls = append(node.calls, answeredCall{call, requestedAt, record.At})
	case quota.ReceivedKind:
		var call quota.CallRecord
		err = json.Unmarshal(record.Body, &call)
		q.receivedAt[call] = nodeTime{node, record.At}
	case quota.LimitsKind:
		l := timedLimits{at: record.At}
		err = json.Unmarshal(record.Body, &l.LimitsRecord)
		node.limits = append(node.limits, l)
	}
	return err
}

// clockSkew bounds how far a proxy's clock is ahead of a ledger's: the ledger received each call
// between the proxy's request and the response.
type clockSkew struct{ minimum, maximum kernel.Micros }

func (s clockSkew) width() kernel.Micros    { return s.maximum - s.minimum }
func (s clockSkew) midpoint() kernel.Micros { return s.minimum + s.width()/2 }

// nodePair is a proxy and a ledger that answered its calls.
type nodePair struct{ proxy, ledger *recordedNode }

// clockSkews estimates the skew between each proxy and each ledger that answered it.
func (q *quotaRecordings) clockSkews() map[nodePair]clockSkew {
	result := map[nodePair]clockSkew{}
	for _, node := range q.nodes {
		for _, call := range node.calls {
			received, known := q.receivedAt[call.call]
			if !known {
				continue
			}
			pair := nodePair{node, received.node}
			skew, known := result[pair]
			if !known {
				skew = clockSkew{math.MinInt64 / 4, math.MaxInt64 / 4}
			}
			result[pair] = clockSkew{max(skew.minimum, call.requestedAt-received.at), min(skew.maximum, call.respondedAt-received.at)}
		}
	}
	return result
}

// quotaGroup is a set of nodes whose clocks can be compared, with their limits and operations. All
// times are converted to the clock of its first node.
type quotaGroup struct {
	nodes      []*recordedNode
	limits     []timedLimits
	operations map[string][]operation // by tenant
}

// newQuotaGroup returns the group of the node first and of all nodes that calls connect to it. It
// aligns their clocks one after the other, the one with the narrowest skew bounds next.
func newQuotaGroup(first *recordedNode, clockSkews map[nodePair]clockSkew) *quotaGroup {
	g := &quotaGroup{nodes: []*recordedNode{first}, operations: map[string][]operation{}}
	first.aligned = true
	for node := alignNext(clockSkews); node != nil; node = alignNext(clockSkews) {
		g.nodes = append(g.nodes, node)
	}
	return g
}

// alignNext aligns the node that has the narrowest skew bounds to an already aligned node, and
// returns it. It returns nil if there is none.
func alignNext(clockSkews map[nodePair]clockSkew) *recordedNode {
	var best nodePair
	narrowest := kernel.Micros(math.MaxInt64)
	for pair, skew := range clockSkews {
		if pair.proxy.aligned != pair.ledger.aligned && skew.width() < narrowest {
			best, narrowest = pair, skew.width()
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

// align aligns a node's clock by that of an aligned reference node, which is ahead by the given
// amount, and returns the node.
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
		if excess := g.firstExcess(tenant, operations); excess != nil && (first == nil || excess.ToUs < first.ToUs) {
			first = excess
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
			excess := &QuotaExcess{Tenant: tenant, FromUs: from, ToUs: to, Count: last - first + 1, Allowed: allowed, ByNode: map[string]int{}}
			for _, o := range operations[first : last+1] {
				excess.ByNode[o.node]++
			}
			return excess
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
