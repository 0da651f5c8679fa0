package tools

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/routeconfig"
)

// Plan describes the expected effects of an operational step. Making one changes nothing.
type Plan struct {
	Step     string         `json:"step"`
	Effects  []string       `json:"effects"`
	Warnings []string       `json:"warnings,omitempty"`
	Conns    map[string]int `json:"connections"` // per proxy and database, by service
	Headroom map[string]int `json:"headroom"`    // by service, connection slots of the databases that remain in use
	Restart  []string       `json:"restart"`     // order in which to restart the processes
}

// ReadSystem parses the output of status --all --json.
func ReadSystem(raw []byte) (*System, error) {
	s := &System{}
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("not the output of status --json: %w", err)
	}
	if len(s.Reports) == 0 {
		return nil, fmt.Errorf("no reports in it")
	}
	return s, nil
}

// MakePlan returns the plan of a step: "config" with a parsed configuration, "drain" or "release"
// with a database, "lose" with a node, "restart" of all processes, or "grow" to a number of poolers.
func (s *System) MakePlan(step, what string, conf *routeconfig.Configuration) (*Plan, error) {
	p := s.Primary()
	if p == nil {
		return nil, fmt.Errorf("the view holds no control node with a lease: ask all members")
	}
	plan := &Plan{Step: strings.TrimSpace(step + " " + what), Conns: map[string]int{}, Headroom: map[string]int{}}
	poolers := len(s.withRole("pooler")) + len(s.withRole("gateway"))
	var lost string
	switch step {
	case "config":
		plan.addConfigEffects(p, conf)
	case "drain", "release":
		d, ok := p.Databases[what]
		if !ok {
			return nil, fmt.Errorf("no database %q", what)
		}
		lost = what
		plan.addDrainEffects(p, d)
	case "lose":
		found := false
		for _, r := range s.Reports {
			if r.Node == what {
				found = true
				if isProxy(r.Role) {
					poolers--
				}
				plan.addNodeLossEffects(s, p, r)
			}
		}
		if !found {
			return nil, fmt.Errorf("no node %q", what)
		}
	case "restart":
	case "grow":
		n, err := strconv.Atoi(what)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is not a number of poolers", what)
		}
		if err := plan.addGrowthEffects(p, poolers, n); err != nil {
			return nil, err
		}
		poolers = n
	default:
		return nil, fmt.Errorf("unknown step %q", step)
	}
	if conf == nil {
		conf = p.Config
	}
	plan.countConnections(p, conf, poolers, lost)
	plan.Restart = s.restartOrder(p)
	if reason := s.staleReason(p); reason != "" {
		plan.warn("%s", reason)
	}
	if len(s.Missing) > 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d members gave no report; the plan leaves them out", len(s.Missing)))
	}
	return plan, nil
}

func (s *System) withRole(role string) (out []*Report) {
	for _, r := range s.Reports {
		if r.Role == role {
			out = append(out, r)
		}
	}
	return out
}

func (p *Plan) effect(format string, args ...any) {
	p.Effects = append(p.Effects, fmt.Sprintf(format, args...))
}

func (p *Plan) warn(format string, args ...any) {
	p.Warnings = append(p.Warnings, fmt.Sprintf(format, args...))
}

func (p *Plan) addConfigEffects(r *Report, conf *routeconfig.Configuration) {
	old := map[string]routeconfig.Route{}
	if r.Config != nil {
		if conf.Rev <= r.Config.Rev {
			p.warn("version %d would be refused: %d is in force", conf.Rev, r.Config.Rev)
		}
		for _, o := range r.Config.Routes {
			old[o.Host+o.Prefix] = o
		}
	}
	for _, n := range conf.Routes {
		switch o, ok := old[n.Host+n.Prefix]; {
		case !ok:
			p.effect("route %s is added, to %s as %s", n.Key(), n.Target(), n.Type)
		case !reflect.DeepEqual(o, n):
			p.effect("route %s changes", n.Key())
		}
		delete(old, n.Host+n.Prefix)
	}
	for _, o := range old {
		p.effect("route %s is removed", o.Key())
	}
	slices.Sort(p.Effects)
}

func (p *Plan) addDrainEffects(r *Report, d discovery.Database) {
	if _, hasLeader := r.Leads[d.Service]; !hasLeader {
		p.effect("%s gets no more requests of %s: they go to the others", d.ID, d.Service)
		return
	}
	if r.Leads[d.Service].ID != d.ID {
		p.effect("%s is a replica of %s: its reads go to the others", d.ID, d.Service)
		return
	}
	var candidates, unreachable []string
	for id, o := range r.Databases {
		if o.Service != d.Service || id == d.ID || o.Gone {
			continue
		}
		if _, down := r.Down[id]; down {
			unreachable = append(unreachable, id)
		} else if !o.Draining {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	p.effect("the lead of %s moves to the furthest of %v", d.Service, candidates)
	if len(candidates) == 0 {
		p.warn("nobody can follow %s", d.ID)
	}
	if len(unreachable) > 0 {
		p.warn("%v are down: should %s fail before it has handed over, the move waits for them", unreachable, d.ID)
	}
}

func (p *Plan) addNodeLossEffects(s *System, primary, r *Report) {
	p.effect("%s %s is lost", r.Role, r.Node)
	if r.Role != "control" {
		return
	}
	spares := 0
	for _, a := range s.withRole("control") {
		if !slices.Contains(primary.Witnesses, a.Addr) && a.Addr != r.Addr {
			spares++
		}
	}
	switch {
	case r.Addr == primary.View.Primary.Addr:
		p.effect("%s, a backup, takes over after the lease", primary.View.Backups[0].Name)
	case slices.ContainsFunc(primary.View.Backups, func(m controlstate.Member) bool { return m.Addr == r.Addr }):
		p.effect("the primary takes another backup")
	}
	if slices.Contains(primary.Witnesses, r.Addr) && spares > 0 {
		p.effect("another control node becomes a witness in its place")
	}
	remaining := 0
	for _, a := range s.withRole("control") {
		if a.Addr != r.Addr && slices.Contains(primary.View.Witnesses, a.Addr) && !a.Abstains {
			remaining++
		}
	}
	if n := len(primary.View.Witnesses); remaining < n/2+1 {
		p.warn("only %d of %d witnesses remain: no lease could be granted", remaining, n)
	} else if tolerated := s.failuresTolerated(primary, r.Addr); int64(tolerated) < primary.Tolerates {
		p.effect("%d of %d witnesses remain; %d more may be lost, of the %d to be tolerated", remaining, n, tolerated, primary.Tolerates)
	}
	if len(s.withRole("control")) <= 2 {
		p.warn("without a backup nothing can be acknowledged")
	}
}

// addGrowthEffects estimates how many connections the given number of proxies opens, and how much state a
// new pooler is sent before it serves.
func (p *Plan) addGrowthEffects(r *Report, current, poolers int) error {
	if r.Config == nil {
		return fmt.Errorf("no configuration is in force yet")
	}
	members, err := json.Marshal(r.Members)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	var h routeconfig.History
	h.Advance(r.Config, 1)
	conf, err := json.Marshal(h.Since(0, true))
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	state, err := json.Marshal([]any{r.Databases, r.Leads})
	if err != nil {
		return fmt.Errorf("databases: %w", err)
	}
	known := len(r.Members)
	p.effect("a pooler that comes is sent some %d KB: %d members, the configuration of %d routes and %d databases",
		(len(members)*(known+poolers-current)/max(known, 1)+len(conf)+len(state))>>10, known+poolers-current, len(r.Config.Routes), len(r.Databases))
	for _, s := range r.Config.Services {
		if s.MaxConns == 0 {
			continue
		}
		perProxy := distribution.ConnectionShare(s.MaxConns, poolers)
		p.effect("%s: up to %d of its %d connections to each database", s.Name, perProxy*poolers, s.MaxConns)
		if perProxy*poolers > s.MaxConns {
			p.warn("%s: %d poolers with one connection each are over its max_conns of %d", s.Name, poolers, s.MaxConns)
		}
	}
	return nil
}

func (p *Plan) countConnections(r *Report, conf *routeconfig.Configuration, poolers int, lost string) {
	if conf == nil {
		return
	}
	for _, svc := range conf.Services {
		p.Conns[svc.Name] = distribution.ConnectionShare(svc.MaxConns, poolers)
		for id, d := range r.Databases {
			if d.Service == svc.Name && id != lost && !d.Gone && !d.Draining {
				p.Headroom[svc.Name] += d.Slots
			}
		}
	}
}

// restartOrder lists the proxies first, then the control nodes: the primary last of all, and its
// backups right before it.
func (s *System) restartOrder(p *Report) (out []string) {
	for _, d := range append(s.withRole("pooler"), s.withRole("gateway")...) {
		out = append(out, d.Role+" "+d.Node)
	}
	var last []string
	for _, a := range s.withRole("control") {
		switch {
		case a.Addr == p.View.Primary.Addr:
			last = append(last, "control node "+a.Node)
		case slices.ContainsFunc(p.View.Backups, func(m controlstate.Member) bool { return m.Addr == a.Addr }):
			last = append([]string{"control node " + a.Node}, last...)
		default:
			out = append(out, "control node "+a.Node)
		}
	}
	return append(out, last...)
}

// Print writes the plan as text.
func (p *Plan) Print(w io.Writer) {
	fmt.Fprintln(w, "step:", p.Step)
	for _, e := range p.Effects {
		fmt.Fprintln(w, "  effect:", e)
	}
	for _, e := range p.Warnings {
		fmt.Fprintln(w, "  warning:", e)
	}
	for _, svc := range slices.Sorted(maps.Keys(p.Conns)) {
		fmt.Fprintf(w, "  %s: %d connections per carrier and database, %d slots\n", svc, p.Conns[svc], p.Headroom[svc])
	}
	fmt.Fprintln(w, "  restart one after another:", strings.Join(p.Restart, ", "))
}
