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

// System is the reports of several processes, and who gave none.
type System struct {
	Reports []*Report         `json:"reports"`
	Missing map[string]string `json:"missing,omitempty"` // by address, with the reason
}

const askWait = 2 * kernel.Second

// Ask asks the processes at the inner addresses, and with all set every
// member that they know too.
func Ask(ctx context.Context, n kernel.Network, addrs []string, all bool) *System {
	k := kernel.NewKernel("tools", n, slog.New(slog.DiscardHandler))
	b := rpc.NewEndpoint(k, "")
	defer b.CloseConnections()
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
				err := b.Call(ctx, addr, statusOp, struct{}{}, r, askWait)
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

// Primary is the report of the control node that holds the lease, the newest if
// several held one when they were asked; nil if none does.
func (s *System) Primary() (p *Report) {
	for _, r := range s.Reports {
		if r.Role == "control" && r.LeaseUs > 0 && (p == nil || r.Epoch > p.Epoch) {
			p = r
		}
	}
	return p
}

// newest is the report of a control node that knows the newest view, nil if no
// control node gave one.
func (s *System) newest() (n *Report) {
	for _, r := range s.nodes("control") {
		if n == nil || r.Epoch > n.Epoch {
			n = r
		}
	}
	return n
}

// outdated says why what p told may not be current, "" if nothing speaks for
// that.
func (s *System) outdated(p *Report) string {
	if n := s.newest(); n.Epoch > p.Epoch {
		return fmt.Sprintf("not current: %s knows epoch %d", n.Node, n.Epoch)
	}
	return ""
}

// Print writes the system's state for people: how many there are of what, and
// whoever differs. With all set each database and process has a line; only
// names those whose name, role, zone or service contains it.
func (s *System) Print(w io.Writer, all bool, only string) {
	p := s.Primary()
	if p == nil {
		fmt.Fprint(w, "control state: not current, no primary among those asked")
		if n := s.newest(); n != nil {
			fmt.Fprintf(w, "; the last that %s heard of is epoch %d of %s", n.Node, n.Epoch, n.View.Primary.Name)
		}
		fmt.Fprintln(w)
	} else {
		if why := s.outdated(p); why != "" {
			fmt.Fprintln(w, why)
		}
		var backups []string
		for _, b := range p.View.Backups {
			backups = append(backups, b.Name)
		}
		fmt.Fprintf(w, "control state: epoch %d, primary %s, backups %v, lease %d ms more, witnesses %v, %d losses can be borne now\n",
			p.Epoch, p.View.Primary.Name, backups, p.LeaseUs.Millis(), p.Witnesses, s.bearable(p, ""))
		fmt.Fprintf(w, "configuration: version %d\n", p.Rev)
		s.printDatabases(w, p, all, only)
		s.printTenants(w, p, all, only)
	}
	for _, role := range []string{"control", "pooler", "gateway"} {
		s.printNodes(w, role, all, only)
	}
	for _, addr := range slices.Sorted(maps.Keys(s.Missing)) {
		fmt.Fprintf(w, "no answer from %s: %s\n", addr, s.Missing[addr])
	}
}

// process names a process of a role.
func process(role string) string {
	if role == "control" {
		return "control node"
	}
	return role
}

// carries tells whether processes of a role carry clients' traffic.
func carries(role string) bool { return role == "pooler" || role == "gateway" }

// named tells whether one of the names contains what is looked for.
func named(only string, names ...string) bool {
	return slices.ContainsFunc(names, func(n string) bool { return strings.Contains(n, only) })
}

func (s *System) printDatabases(w io.Writer, p *Report, all bool, only string) {
	services := map[string]bool{}
	var lines []string
	odd := 0
	for _, id := range slices.Sorted(maps.Keys(p.Databases)) {
		d, l := p.Databases[id], p.Leads[p.Databases[id].Service]
		services[d.Service] = true
		gen, down := p.Down[id]
		state := "up"
		if down {
			state = fmt.Sprintf("down since generation %d", gen)
		}
		role := cmp.Or(p.Roles[id], "not heard of yet")
		moving := l.FailoverInProgress && l.ID == id
		if l.ID == id {
			role += fmt.Sprintf(", lead of term %d", l.Term)
		}
		if moving {
			role += ", moving to " + cmp.Or(l.To, "one to be chosen")
		}
		differs := down || moving || d.Draining || d.Gone
		if differs {
			odd++
		}
		if (all || differs || only != "") && named(only, id, d.Service, d.Zone) {
			lines = append(lines, fmt.Sprintf("  database %s of %s in %s: %s, %s%s%s", id, d.Service, d.Zone, role, state,
				flag(d.Draining, ", draining"), flag(d.Gone, ", gone")))
		}
	}
	led := 0
	for svc := range services {
		l, known := p.Leads[svc]
		if known && !l.FailoverInProgress {
			led++
		}
		if a := l.Accepted; a.FailoverID > 0 {
			at := time.UnixMilli(a.AtMs).UTC().Format(time.RFC3339)
			lines = append(lines, fmt.Sprintf("  service %s: at turn %d %s accepted that acknowledged commits are lost, %s", svc, a.FailoverID, a.By, at))
		}
	}
	fmt.Fprintf(w, "databases: %d of %d services, %d with a lead; %d down, moving, draining or gone\n", len(p.Databases), len(services), led, odd)
	for _, svc := range slices.Sorted(maps.Keys(p.Waits)) {
		if named(only, svc) {
			fmt.Fprintf(w, "  service %s waits: %s\n", svc, p.Waits[svc])
		}
	}
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// printTenants writes what there is of tenants' quotas: whose stock is empty, and with
// all set every tenant that was heard of late.
func (s *System) printTenants(w io.Writer, p *Report, all bool, only string) {
	if p.Config == nil || len(p.Config.Tenants) == 0 {
		return
	}
	demand := map[string]float64{}
	for _, r := range s.Reports {
		for tenant, use := range r.Uses {
			demand[tenant] += use.PerS
		}
	}
	var lines []string
	limited, empty := 0, 0
	for _, t := range p.Config.Tenants {
		if t.RatePerS <= 0 {
			continue
		}
		limited++
		a, asked := p.Quotas[t.Name]
		isEmpty := asked && a.Stock < 1
		if isEmpty {
			empty++
		}
		if (all || isEmpty || only != "") && named(only, t.Name) {
			lines = append(lines, fmt.Sprintf("  tenant %s: %.1f of %.1f in stock, %d in slices of %d nodes; %.1f operations a second wanted of %.1f allowed",
				t.Name, a.Stock, a.Capacity, a.Outstanding, a.Holders, demand[t.Name], t.RatePerS))
		}
	}
	fmt.Fprintf(w, "tenants: %d, %d with a limit, %d with nothing in stock\n", len(p.Config.Tenants), limited, empty)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// usual is what most of the reports agree on.
func usual[T comparable](reports []*Report, of func(*Report) T) (most T) {
	counts := map[T]int{}
	for _, r := range reports {
		v := of(r)
		if counts[v]++; counts[v] > counts[most] {
			most = v
		}
	}
	return most
}

// differs tells in which points a process is not as most of its role are.
func (s *System) differs(r *Report, peers []*Report) (points []string) {
	rev := usual(peers, func(r *Report) int64 { return r.Rev })
	if p := s.Primary(); p != nil && carries(r.Role) {
		rev = p.Rev
	}
	if carries(r.Role) && r.Rev != rev {
		points = append(points, "another configuration")
	}
	if r.Epoch != usual(peers, func(r *Report) int64 { return r.Epoch }) {
		points = append(points, "another epoch")
	}
	if carries(r.Role) && r.LeaseUs <= 0 {
		points = append(points, "no lease")
	}
	if len(r.Members) != usual(s.Reports, func(r *Report) int { return len(r.Members) }) {
		points = append(points, "other members")
	}
	if carries(r.Role) && len(r.Down) != usual(peers, func(r *Report) int { return len(r.Down) }) {
		points = append(points, "other databases down")
	}
	if r.Unsure {
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

func (s *System) printNodes(w io.Writer, role string, all bool, only string) {
	var peers []*Report
	for _, r := range s.Reports {
		if r.Role == role {
			peers = append(peers, r)
		}
	}
	var lines []string
	odd := 0
	for _, r := range peers {
		points := s.differs(r, peers)
		if len(points) > 0 {
			odd++
		}
		if !all && len(points) == 0 && only == "" || !named(only, r.Node, r.Role, r.Zone) {
			continue
		}
		line := fmt.Sprintf("  %s %s in %s: epoch %d, configuration %d, lease %d ms more, %d members", process(r.Role), r.Node, r.Zone, r.Epoch, r.Rev, r.LeaseUs.Millis(), len(r.Members))
		if carries(r.Role) {
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
	fmt.Fprintf(w, "%ss: %d asked, %d as most are, %d differ\n", process(role), len(peers), len(peers)-odd, odd)
	for _, line := range lines {
		fmt.Fprintln(w, line)
	}
}

// bearable is how many control nodes may be lost at once, with their disks, so that
// the state survives and a majority of the witnesses can still vote or be
// restored; lost is one that is taken for gone already.
func (s *System) bearable(p *Report, lost string) int {
	taking := 0
	copies := 0
	for _, a := range s.nodes("control") {
		if a.Addr == lost {
			continue
		}
		if slices.Contains(p.View.Witnesses, a.Addr) && !a.Abstains {
			taking++
		}
		if a.Addr == p.View.Primary.Addr || slices.ContainsFunc(p.View.Backups, func(m controlstate.Member) bool { return m.Addr == a.Addr }) {
			copies++
		}
	}
	return max(0, min(copies-1, taking-(len(p.View.Witnesses)/2+1)))
}

func flag(on bool, text string) string {
	if on {
		return text
	}
	return ""
}

// WriteJSON writes v indented.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
