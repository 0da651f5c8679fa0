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

// System holds the reports of several processes, and why others gave none.
type System struct {
	Reports []*Report         `json:"reports"`
	Missing map[string]string `json:"missing,omitempty"` // by address, with the reason
}

// requestTimeout limits each request to a process.
const requestTimeout = 2 * kernel.Second

// CollectReports collects the reports of the processes at the given internal addresses. With all set,
// it also queries every member that they know.
func CollectReports(ctx context.Context, network kernel.Network, addrs []string, all bool) *System {
	k := kernel.NewKernel("tools", network, slog.New(slog.DiscardHandler))
	endpoint := rpc.NewEndpoint(k, "")
	defer endpoint.CloseConnections()
	system := &System{Missing: map[string]string{}}
	queried := map[string]bool{}
	for len(addrs) > 0 {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var next []string
		for _, addr := range addrs {
			if queried[addr] {
				continue
			}
			queried[addr] = true
			wg.Go(func() {
				report := &Report{}
				err := endpoint.Call(ctx, addr, statusOp, struct{}{}, report, requestTimeout)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					system.Missing[addr] = err.Error()
					return
				}
				system.Reports = append(system.Reports, report)
				for _, member := range report.Members {
					if all {
						next = append(next, member.Addr)
					}
				}
			})
		}
		wg.Wait()
		addrs = next
	}
	slices.SortFunc(system.Reports, func(a, b *Report) int {
		return cmp.Or(strings.Compare(a.Role, b.Role), strings.Compare(a.Node, b.Node))
	})
	return system
}

// Primary returns the report of the control node that holds the lease. If several held one when they
// were queried, it is the one with the highest epoch; if none did, it is nil.
func (s *System) Primary() (primary *Report) {
	for _, r := range s.Reports {
		if r.Role == "control" && r.LeaseUs > 0 && (primary == nil || r.Epoch > primary.Epoch) {
			primary = r
		}
	}
	return primary
}

// newestView returns the control node's report with the highest epoch, or nil if no control node gave
// a report.
func (s *System) newestView() (newest *Report) {
	for _, report := range s.withRole("control") {
		if newest == nil || report.Epoch > newest.Epoch {
			newest = report
		}
	}
	return newest
}

// staleReason returns why a report may be stale, or "" if nothing indicates that.
func (s *System) staleReason(report *Report) string {
	if newest := s.newestView(); newest.Epoch > report.Epoch {
		return fmt.Sprintf("not current: %s knows epoch %d", newest.Node, newest.Epoch)
	}
	return ""
}

// Print writes the system's state as text: totals, and a line for each database or process that
// deviates. With all set, every database and process has a line. A filter that is not empty selects
// those whose name, role, zone or service contains it.
func (s *System) Print(w io.Writer, all bool, filter string) {
	primary := s.Primary()
	if primary == nil {
		fmt.Fprint(w, "control state: not current, no primary among those asked")
		if newest := s.newestView(); newest != nil {
			fmt.Fprintf(w, "; the last that %s heard of is epoch %d of %s", newest.Node, newest.Epoch, newest.View.Primary.Name)
		}
		fmt.Fprintln(w)
	} else {
		if reason := s.staleReason(primary); reason != "" {
			fmt.Fprintln(w, reason)
		}
		var backups []string
		for _, backup := range primary.View.Backups {
			backups = append(backups, backup.Name)
		}
		fmt.Fprintf(w, "control state: epoch %d, primary %s, backups %v, lease %d ms more, witnesses %v, %d losses can be borne now\n",
			primary.Epoch, primary.View.Primary.Name, backups, primary.LeaseUs.Millis(), primary.Witnesses, s.failuresTolerated(primary, ""))
		fmt.Fprintf(w, "configuration: version %d\n", primary.Rev)
		s.printDatabases(w, primary, all, filter)
		s.printTenants(w, primary, all, filter)
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

// isProxy reports whether processes of a role proxy client traffic.
func isProxy(role string) bool { return role == "pooler" || role == "gateway" }

// anyContains reports whether one of the names contains the filter.
func anyContains(filter string, names ...string) bool {
	return slices.ContainsFunc(names, func(name string) bool { return strings.Contains(name, filter) })
}

// printDatabases writes a summary of the databases, the services whose failover is blocked, and a line
// for each database that deviates or is selected.
func (s *System) printDatabases(w io.Writer, primary *Report, all bool, filter string) {
	services := map[string]bool{}
	var lines []string
	deviating := 0
	for _, id := range slices.Sorted(maps.Keys(primary.Databases)) {
		database, leader := primary.Databases[id], primary.Leaders[primary.Databases[id].Service]
		services[database.Service] = true
		generation, down := primary.Down[id]
		state := "up"
		if down {
			state = fmt.Sprintf("down since generation %d", generation)
		}
		role := cmp.Or(primary.Roles[id], "not heard of yet")
		failingOver := leader.FailoverInProgress && leader.ID == id
		if leader.ID == id {
			role += fmt.Sprintf(", lead of term %d", leader.Term)
		}
		if failingOver {
			role += ", moving to " + cmp.Or(leader.Target, "one to be chosen")
		}
		deviates := down || failingOver || database.Draining || database.Gone
		if deviates {
			deviating++
		}
		if (all || deviates || filter != "") && anyContains(filter, id, database.Service, database.Zone) {
			lines = append(lines, fmt.Sprintf("  database %s of %s in %s: %s, %s%s%s%s", id, database.Service, database.Zone, role, state,
				textIf(database.Draining, ", draining"), textIf(database.Deregistered, ", deregistered"), textIf(database.Gone, ", gone")))
		}
	}
	withLeader := 0
	for svc := range services {
		leader, known := primary.Leaders[svc]
		if known && !leader.FailoverInProgress {
			withLeader++
		}
		if acceptance := leader.Accepted; acceptance.FailoverID > 0 {
			at := time.UnixMilli(acceptance.AtMs).UTC().Format(time.RFC3339)
			lines = append(lines, fmt.Sprintf("  service %s: at turn %d %s accepted that acknowledged commits are lost, %s", svc, acceptance.FailoverID, acceptance.By, at))
		}
	}
	fmt.Fprintf(w, "databases: %d of %d services, %d with a lead; %d down, moving, draining or gone\n", len(primary.Databases), len(services), withLeader, deviating)
	for _, svc := range slices.Sorted(maps.Keys(primary.WaitReasons)) {
		if anyContains(filter, svc) {
			fmt.Fprintf(w, "  service %s waits: %s\n", svc, primary.WaitReasons[svc])
		}
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// printTenants writes a summary of tenants' quotas: those that have exhausted theirs, and with all set
// every tenant that has a limit.
func (s *System) printTenants(w io.Writer, primary *Report, all bool, filter string) {
	if primary.Config == nil || len(primary.Config.Tenants) == 0 {
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
	for _, tenant := range primary.Config.Tenants {
		if tenant.RatePerS <= 0 {
			continue
		}
		limited++
		account, known := primary.Quotas[tenant.Name]
		isExhausted := known && account.Stock < 1
		if isExhausted {
			exhausted++
		}
		if (all || isExhausted || filter != "") && anyContains(filter, tenant.Name) {
			lines = append(lines, fmt.Sprintf("  tenant %s: %.1f of %.1f in stock, %d in slices of %d nodes; %.1f operations a second wanted of %.1f allowed",
				tenant.Name, account.Stock, account.Capacity, account.Outstanding, account.Holders, demand[tenant.Name], tenant.RatePerS))
		}
	}
	fmt.Fprintf(w, "tenants: %d, %d with a limit, %d with nothing in stock\n", len(primary.Config.Tenants), limited, exhausted)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// mostCommon returns the most frequent value among the reports.
func mostCommon[T comparable](reports []*Report, value func(*Report) T) (most T) {
	counts := map[T]int{}
	for _, report := range reports {
		v := value(report)
		if counts[v]++; counts[v] > counts[most] {
			most = v
		}
	}
	return most
}

// deviations lists how a process deviates from most processes of its role, and the invariants that it
// has violated.
func (s *System) deviations(r *Report, peers []*Report) (points []string) {
	rev := mostCommon(peers, func(r *Report) int64 { return r.Rev })
	if primary := s.Primary(); primary != nil && isProxy(r.Role) {
		rev = primary.Rev
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
	for _, name := range invariant.All {
		if n := r.Counters["invariant."+string(name)]; n > 0 {
			points = append(points, fmt.Sprintf("invariant %s violated %d times", name, n))
		}
	}
	return points
}

// printNodes writes a summary of the processes of a role, and a line for each that deviates or is
// selected.
func (s *System) printNodes(w io.Writer, role string, all bool, filter string) {
	var peers []*Report
	for _, report := range s.Reports {
		if report.Role == role {
			peers = append(peers, report)
		}
	}
	var lines []string
	deviating := 0
	for _, report := range peers {
		points := s.deviations(report, peers)
		if len(points) > 0 {
			deviating++
		}
		if !all && len(points) == 0 && filter == "" || !anyContains(filter, report.Node, report.Role, report.Zone) {
			continue
		}
		line := fmt.Sprintf("  %s %s in %s: epoch %d, configuration %d, lease %d ms more, %d members", processName(report.Role), report.Node, report.Zone, report.Epoch, report.Rev, report.LeaseUs.Millis(), len(report.Members))
		if isProxy(report.Role) {
			open := 0
			for _, counts := range report.Conns {
				open += counts[0]
			}
			line += fmt.Sprintf(", %d server connections, %d databases down, ", open, len(report.Down))
			if report.Role == "pooler" {
				line += fmt.Sprintf("%d statements, %d refused", report.Counters["pooler.statements"], report.Counters["pooler.refused"])
			} else {
				line += fmt.Sprintf("%d requests, %d sent again, %d refused", report.Counters["gateway.requests"], report.Counters["gateway.sent_again"], report.Counters["gateway.answered_503"])
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
func (s *System) failuresTolerated(primary *Report, lost string) int {
	voters := 0
	replicas := 0
	for _, node := range s.withRole("control") {
		if node.Addr == lost {
			continue
		}
		if slices.Contains(primary.View.Witnesses, node.Addr) && !node.Abstains {
			voters++
		}
		if node.Addr == primary.View.Primary.Addr || slices.ContainsFunc(primary.View.Backups, func(m controlstate.Member) bool { return m.Addr == node.Addr }) {
			replicas++
		}
	}
	return max(0, min(replicas-1, voters-(len(primary.View.Witnesses)/2+1)))
}

// textIf returns text if the condition is true, or else "".
func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

// WriteJSON writes v as indented JSON.
func WriteJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
