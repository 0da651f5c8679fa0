package tools

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/rpc"
)

// System holds the reports of several processes, and which processes gave none.
type System struct {
	Reports []*Report         `json:"reports"`
	Missing map[string]string `json:"missing,omitempty"` // by address, with the reason
}

const requestTimeout = 2 * kernel.Second

// CollectReports collects the reports of the processes at the given internal addresses. With all set, it
// also queries every member that they know.
func CollectReports(ctx context.Context, n kernel.Network, addrs []string, all bool) *System {
	k := kernel.NewKernel("tools", n, slog.New(slog.DiscardHandler))
	endpoint := rpc.NewEndpoint(k, "")
	defer endpoint.CloseConnections()
	sys := &System{Missing: map[string]string{}}
	asked := map[string]bool{}
	for len(addrs) > 0 {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var next []string
		for _, addr := range addrs {
			if asked[addr] {
				continue
			}
			asked[addr] = true
			wg.Go(func() {
				r := &Report{}
				err := endpoint.Call(ctx, addr, statusOp, struct{}{}, r, requestTimeout)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					sys.Missing[addr] = err.Error()
					return
				}
				sys.Reports = append(sys.Reports, r)
				for _, m := range r.Members {
					if all {
						next = append(next, m.Addr)
					}
				}
			})
		}
		wg.Wait()
		addrs = next
	}
	slices.SortFunc(sys.Reports, func(a, b *Report) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.Node, b.Node))
	})
	return sys
}

// Primary returns the report of the control node that holds the lease. If several held one when they
// were queried, it is the one with the highest epoch; if none did, it is nil.
func (s *System) Primary() (p *Report) {
	for _, r := range s.Reports {
		if r.Role == "control" && r.LeaseUs > 0 && (p == nil || r.Epoch > p.Epoch) {
			p = r
		}
	}
	return p
}

// newestView returns the report of a control node with the highest epoch, or nil if no control node
// gave a report.
func (s *System) newestView() (n *Report) {
	for _, r := range s.withRole("control") {
		if n == nil || r.Epoch > n.Epoch {
			n = r
		}
	}
	return n
}

// staleReason returns why the report p may be stale, or "" if nothing indicates that.
func (s *System) staleReason(p *Report) string {
	if n := s.newestView(); n.Epoch > p.Epoch {
		return fmt.Sprintf("not current: %s knows epoch %d", n.Node, n.Epoch)
	}
	return ""
}

// Print writes the system's state as text: totals, and a line for each database or process that
// deviates. With all set, every database and process has a line. A filter that is not empty selects
// those whose name, role, zone or service contains it.
func (s *System) Print(w io.Writer, all bool, filter string) {
	p := s.Primary()
	if p == nil {
		fmt.Fprint(w, "control state: not current, no primary among those asked")
		if n := s.newestView(); n != nil {
			fmt.Fprintf(w, "; the last that %s heard of is epoch %d of %s", n.Node, n.Epoch, n.View.Primary.Name)
		}
		fmt.Fprintln(w)
	} else {
		if reason := s.staleReason(p); reason != "" {
			fmt.Fprintln(w, reason)
		}
		var backups []string
		for _, b := range p.View.Backups {
			backups = append(backups, b.Name)
		}
		fmt.Fprintf(w, "control state: epoch %d, primary %s, backups %v, lease %d ms more, witnesses %v, %d losses can be borne now\n",
			p.Epoch, p.View.Primary.Name, backups, p.LeaseUs.Millis(), p.Witnesses, s.failuresTolerated(p, ""))
		fmt.Fprintf(w, "configuration: version %d\n", p.Rev)
		s.printDatabases(w, p, all, filter)
		s.printTenants(w, p, all, filter)
	}
	for _, role := range []string{"control", "pooler", "gateway"} {
		s.printNodes(w, role, all, filter)
	}
	for _, addr := range slices.Sorted(maps.Keys(s.Missing)) {
		fmt.Fprintf(w, "no answer from %s: %s\n", addr, s.Missing[addr])
	}
}

// processName returns the display name of a role.
func processName(role string) string {
	if role == "control" {
		return "control node"
	}
	return role
}

// isProxy reports whether processes of a role carry client traffic.
func isProxy(role string) bool { return role == "pooler" || role == "gateway" }

// anyContains reports whether one of the names contains the filter.
func anyContains(filter string, names ...string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.Contains(n, filter) })
}

func (s *System) printDatabases(w io.Writer, p *Report, all bool, filter string) {
	services := map[string]bool{}
	var lines []string
	deviating := 0
	for _, id := range slices.Sorted(maps.Keys(p.Databases)) {
		d, l := p.Databases[id], p.Leads[p.Databases[id].Service]
		services[d.Service] = true
		gen, down := p.Down[id]
		state := "up"
		if down {
			state = fmt.Sprintf("down since generation %d", gen)
		}
		role := cmp.Or(p.Roles[id], "not heard of yet")
		failingOver := l.FailoverInProgress && l.ID == id
		if l.ID == id {
			role += fmt.Sprintf(", lead of term %d", l.Term)
		}
		if failingOver {
			role += ", moving to " + cmp.Or(l.To, "one to be chosen")
		}
		differs := down || failingOver || d.Draining || d.Gone
		if differs {
			deviating++
		}
		if (all || differs || filter != "") && anyContains(filter, id, d.Service, d.Zone) {
			lines = append(lines, fmt.Sprintf("  database %s of %s in %s: %s, %s%s%s", id, d.Service, d.Zone, role, state,
				textIf(d.Draining, ", draining"), textIf(d.Gone, ", gone")))
		}
	}
	withLeader := 0
	for svc := range services {
		l, known := p.Leads[svc]
		if known && !l.FailoverInProgress {
			withLeader++
		}
		if a := l.Accepted; a.FailoverID > 0 {
			at := time.UnixMilli(a.AtMs).UTC().Format(time.RFC3339)
			lines = append(lines, fmt.Sprintf("  service %s: at turn %d %s accepted that acknowledged commits are lost, %s", svc, a.FailoverID, a.By, at))
		}
	}
	fmt.Fprintf(w, "databases: %d of %d services, %d with a lead; %d down, moving, draining or gone\n", len(p.Databases), len(services), withLeader, deviating)
	for _, svc := range slices.Sorted(maps.Keys(p.WaitReasons)) {
		if anyContains(filter, svc) {
			fmt.Fprintf(w, "  service %s waits: %s\n", svc, p.WaitReasons[svc])
		}
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// printTenants writes a summary of tenants' quotas: those that have exhausted theirs, and with all set
// every tenant that has a limit.
func (s *System) printTenants(w io.Writer, p *Report, all bool, filter string) {
	if p.Config == nil || len(p.Config.Tenants) == 0 {
		return
	}
	demand := map[string]float64{}
	for _, r := range s.Reports {
		for tenant, usage := range r.Usage {
			demand[tenant] += usage.PerS
		}
	}
	var lines []string
	limited, exhausted := 0, 0
	for _, t := range p.Config.Tenants {
		if t.RatePerS <= 0 {
			continue
		}
		limited++
		a, asked := p.Quotas[t.Name]
		isExhausted := asked && a.Stock < 1
		if isExhausted {
			exhausted++
		}
		if (all || isExhausted || filter != "") && anyContains(filter, t.Name) {
			lines = append(lines, fmt.Sprintf("  tenant %s: %.1f of %.1f in stock, %d in slices of %d nodes; %.1f operations a second wanted of %.1f allowed",
				t.Name, a.Stock, a.Capacity, a.Outstanding, a.Holders, demand[t.Name], t.RatePerS))
		}
	}
	fmt.Fprintf(w, "tenants: %d, %d with a limit, %d with nothing in stock\n", len(p.Config.Tenants), limited, exhausted)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// mostCommon returns the most frequent value among the reports.
func mostCommon[T comparable](reports []*Report, value func(*Report) T) (most T) {
	counts := map[T]int{}
	for _, r := range reports {
		v := value(r)
		if counts[v]++; counts[v] > counts[most] {
			most = v
		}
	}
	return most
}

// deviations lists how a process deviates from most processes of its role.
func (s *System) deviations(r *Report, peers []*Report) (points []string) {
	rev := mostCommon(peers, func(r *Report) int64 { return r.Rev })
	if p := s.Primary(); p != nil && isProxy(r.Role) {
		rev = p.Rev
	}
	if isProxy(r.Role) && r.Rev != rev {
		points = append(points, "another configuration")
	}
	if r.Epoch != mostCommon(peers, func(r *Report) int64 { return r.Epoch }) {
		points = append(points, "another epoch")
	}
	if isProxy(r.Role) && r.LeaseUs <= 0 {
		points = append(points, "no lease")
	}
	if len(r.Members) != mostCommon(s.Reports, func(r *Report) int { return len(r.Members) }) {
		points = append(points, "other members")
	}
	if isProxy(r.Role) && len(r.Down) != mostCommon(peers, func(r *Report) int { return len(r.Down) }) {
		points = append(points, "other databases down")
	}
	if r.NoPrimaryHeard {
		points = append(points, "hears no primary")
	}
	if r.Abstains {
		points = append(points, "abstains")
	}
	for _, i := range invariant.All {
		if n := r.Counters["invariant."+string(i)]; n > 0 {
			points = append(points, fmt.Sprintf("invariant %s violated %d times", i, n))
		}
	}
	return points
}

func (s *System) printNodes(w io.Writer, role string, all bool, filter string) {
	var peers []*Report
	for _, r := range s.Reports {
		if r.Role == role {
			peers = append(peers, r)
		}
	}
	var lines []string
	deviating := 0
	for _, r := range peers {
		points := s.deviations(r, peers)
		if len(points) > 0 {
			deviating++
		}
		if !all && len(points) == 0 && filter == "" || !anyContains(filter, r.Node, r.Role, r.Zone) {
			continue
		}
		line := fmt.Sprintf("  %s %s in %s: epoch %d, configuration %d, lease %d ms more, %d members", processName(r.Role), r.Node, r.Zone, r.Epoch, r.Rev, r.LeaseUs.Millis(), len(r.Members))
		if isProxy(r.Role) {
			open := 0
			for _, c := range r.Conns {
				open += c[0]
			}
			line += fmt.Sprintf(", %d server connections, %d databases down, ", open, len(r.Down))
			if r.Role == "pooler" {
				line += fmt.Sprintf("%d statements, %d refused", r.Counters["pooler.statements"], r.Counters["pooler.refused"])
			} else {
				line += fmt.Sprintf("%d requests, %d sent again, %d refused", r.Counters["gateway.requests"], r.Counters["gateway.sent_again"], r.Counters["gateway.answered_503"])
			}
		}
		if len(points) > 0 {
			line += "; " + strings.Join(points, ", ")
		}
		lines = append(lines, line)
	}
	if len(peers) == 0 && role != "control" {
		return
	}
	fmt.Fprintf(w, "%ss: %d asked, %d as most are, %d differ\n", processName(role), len(peers), len(peers)-deviating, deviating)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// failuresTolerated returns how many control nodes may be lost at once, with their disks, such that
// the state survives and a majority of the witnesses can still vote or be restored. The node at the
// address lost is counted as lost already.
func (s *System) failuresTolerated(p *Report, lost string) int {
	voters := 0
	copies := 0
	for _, a := range s.withRole("control") {
		if a.Addr == lost {
			continue
		}
		if slices.Contains(p.View.Witnesses, a.Addr) && !a.Abstains {
			voters++
		}
		if a.Addr == p.View.Primary.Addr || slices.ContainsFunc(p.View.Backups, func(m controlstate.Member) bool { return m.Addr == a.Addr }) {
			copies++
		}
	}
	return max(0, min(copies-1, voters-(len(p.View.Witnesses)/2+1)))
}

func textIf(on bool, text string) string {
	if on {
		return text
	}
	return ""
}

// WriteJSON writes v as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
