package toolbox

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"

	"indigowalk/internal/foundation"
	"indigowalk/internal/loan"
	"indigowalk/internal/vault"
)

// System is the reports of several processes, and who gave none.
type System struct {
	Reports []*Report         `json:"reports"`
	Missing map[string]string `json:"missing,omitempty"` // by address, with the reason
}

const askWait = 2 * foundation.Second

// Ask asks the processes at the inner addresses, and with all set every
// member that they know too.
func Ask(ctx context.Context, n foundation.Network, addrs []string, all bool) *System {
	k := foundation.NewKernel("toolbox", n, slog.New(slog.DiscardHandler))
	b := loan.NewBranch(k, "")
	defer b.HangUp()
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
		if a.Role != b.Role {
			return compare(a.Role, b.Role)
		}
		return compare(a.Node, b.Node)
	})
	return sys
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Primary is the report of the archive that holds the lease, nil if none does.
func (s *System) Primary() *Report {
	for _, r := range s.Reports {
		if r.Role == "archive" && r.LeaseUs > 0 {
			return r
		}
	}
	return nil
}

// Print writes the system's state for people.
func (s *System) Print(w io.Writer) {
	p := s.Primary()
	if p == nil {
		fmt.Fprintln(w, "control state: no primary among those asked")
	} else {
		var backups []string
		for _, b := range p.View.Backups {
			backups = append(backups, b.Name)
		}
		fmt.Fprintf(w, "control state: epoch %d, primary %s, backups %v, lease %d ms more, electors %v, %d losses can be borne now\n",
			p.Epoch, p.View.Primary.Name, backups, p.LeaseUs.Millis(), p.Electors, s.bearable(p, ""))
		fmt.Fprintf(w, "configuration: version %d\n", p.Rev)
		for _, id := range slices.Sorted(maps.Keys(p.Databases)) {
			d, l := p.Databases[id], p.Leads[p.Databases[id].Service]
			state := "up"
			if gen, down := p.Down[id]; down {
				state = fmt.Sprintf("down since generation %d", gen)
			}
			role := p.Roles[id]
			if l.ID == id {
				role += fmt.Sprintf(", lead of term %d", l.Term)
			}
			if l.Moving && l.ID == id {
				role += ", moving to " + cmpOr(l.To, "one to be chosen")
			}
			fmt.Fprintf(w, "  database %s of %s in %s: %s, %s%s%s\n", id, d.Service, d.Zone, role, state,
				flag(d.Draining, ", draining"), flag(d.Gone, ", gone"))
		}
	}
	for _, r := range s.Reports {
		fmt.Fprintf(w, "%s %s in %s: epoch %d, configuration %d, lease %d ms more, %d members", r.Role, r.Node, r.Zone, r.Epoch, r.Rev, r.LeaseUs.Millis(), len(r.Members))
		if r.Role == "desk" {
			open := 0
			for _, c := range r.Conns {
				open += c[0]
			}
			fmt.Fprintf(w, ", %d server connections, %d databases down, %d statements, %d refused", open, len(r.Down), r.Counters["desk.statements"], r.Counters["desk.refused"])
		}
		if r.Abstains {
			fmt.Fprint(w, ", abstains as elector: its disk was empty and too few registers of others have been read")
		}
		fmt.Fprintln(w)
	}
	for _, addr := range slices.Sorted(maps.Keys(s.Missing)) {
		fmt.Fprintf(w, "no answer from %s: %s\n", addr, s.Missing[addr])
	}
}

// bearable is how many archives may be lost at once, with their disks, so that
// the state survives and a majority of the electors can still vote or be
// restored; lost is one that is taken for gone already.
func (s *System) bearable(p *Report, lost string) int {
	taking := 0
	copies := 0
	for _, a := range s.nodes("archive") {
		if a.Addr == lost {
			continue
		}
		if slices.Contains(p.View.Electors, a.Addr) && !a.Abstains {
			taking++
		}
		if a.Addr == p.View.Primary.Addr || slices.ContainsFunc(p.View.Backups, func(m vault.Member) bool { return m.Addr == a.Addr }) {
			copies++
		}
	}
	return max(0, min(copies-1, taking-(len(p.View.Electors)/2+1)))
}

func flag(on bool, text string) string {
	if on {
		return text
	}
	return ""
}

func cmpOr(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

// WriteJSON writes v indented.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
