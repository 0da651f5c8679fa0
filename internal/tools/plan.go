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

// Plan describes the expected effects of an operational step. Making a plan changes nothing.
type Plan struct {
	Step     string         `json:"step"`
	Effects  []string       `json:"effects"`
	Warnings []string       `json:"warnings,omitempty"`
	Conns    map[string]int `json:"connections"` // by service, connections of one proxy to one database
	Headroom map[string]int `json:"headroom"`    // by service, total connection slots of the databases that remain in use
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

// MakePlan returns the plan of a step on a target: "config" with a parsed configuration and no
// target, "drain" or "release" of a database, "lose" of a node, "restart" of all processes, without
// a target, or "grow" to a number of proxies.
func (s *System) MakePlan(step, target string, config *routeconfig.Configuration) (*Plan, error) {
	primary := s.Primary()
	if primary == nil {
		return nil, fmt.Errorf("the view holds no control node with a lease: ask all members")
	}
	plan := &Plan{Step: strings.TrimSpace(step + " " + target), Conns: map[string]int{}, Headroom: map[string]int{}}
	proxies := len(s.withRole("pooler")) + len(s.withRole("gateway"))
	var drained string
	switch step {
	case "config":
		plan.addConfigEffects(primary, config)
	case "drain", "release":
		database, ok := primary.Databases[target]
		if !ok {
			return nil, fmt.Errorf("no database %q", target)
		}
		drained = target
		plan.addDrainEffects(primary, database)
	case "lose":
		found := false
		for _, report := range s.Reports {
			if report.Node == target {
				found = true
				if isProxy(report.Role) {
					proxies--
				}
				plan.addNodeLossEffects(s, primary, report)
			}
		}
		if !found {
			return nil, fmt.Errorf("no node %q", target)
		}
	case "restart":
	case "grow":
		count, err := strconv.Atoi(target)
		if err != nil || count < 1 {
			return nil, fmt.Errorf("%q is not a number of poolers", target)
		}
		if err := plan.addGrowthEffects(primary, proxies, count); err != nil {
			return nil, err
		}
		proxies = count
	default:
		return nil, fmt.Errorf("unknown step %q", step)
	}
	if config == nil {
		config = primary.Config
	}
	plan.countConnections(primary, config, proxies, drained)
	plan.Restart = s.restartOrder(primary)
	if reason := s.staleReason(primary); reason != "" {
		plan.warn("%s", reason)
	}
	if len(s.Missing) > 0 {
		plan.Warnings = append(plan.Warnings, fmt.Sprintf("%d members gave no report; the plan leaves them out", len(s.Missing)))
	}
	return plan, nil
}

// withRole returns the reports of the processes of a role.
func (s *System) withRole(role string) (reports []*Report) {
	for _, report := range s.Reports {
		if report.Role == role {
			reports = append(reports, report)
		}
	}
	return reports
}

func (p *Plan) effect(format string, args ...any) {
	p.Effects = append(p.Effects, fmt.Sprintf(format, args...))
}

func (p *Plan) warn(format string, args ...any) {
	p.Warnings = append(p.Warnings, fmt.Sprintf(format, args...))
}

// addConfigEffects lists the routes that config adds, changes and removes.
func (p *Plan) addConfigEffects(primary *Report, config *routeconfig.Configuration) {
	old := map[string]routeconfig.Route{}
	if primary.Config != nil {
		if config.Rev <= primary.Config.Rev {
			p.warn("version %d would be refused: %d is in force", config.Rev, primary.Config.Rev)
		}
		for _, route := range primary.Config.Routes {
			old[route.Host+route.Prefix] = route
		}
	}
	for _, route := range config.Routes {
		switch previous, ok := old[route.Host+route.Prefix]; {
		case !ok:
			p.effect("route %s is added, to %s as %s", route.Key(), route.Target(), route.Type)
		case !reflect.DeepEqual(previous, route):
			p.effect("route %s changes", route.Key())
		}
		delete(old, route.Host+route.Prefix)
	}
	for _, route := range old {
		p.effect("route %s is removed", route.Key())
	}
	slices.Sort(p.Effects)
}

// addDrainEffects describes where the requests of a drained database are routed instead, or which
// databases may succeed it as the service's primary.
func (p *Plan) addDrainEffects(primary *Report, drained discovery.Database) {
	if _, hasLeader := primary.Leaders[drained.Service]; !hasLeader {
		p.effect("%s gets no more requests of %s: they go to the others", drained.ID, drained.Service)
		return
	}
	if primary.Leaders[drained.Service].ID != drained.ID {
		p.effect("%s is a replica of %s: its reads go to the others", drained.ID, drained.Service)
		return
	}
	var candidates, unreachable []string
	for id, other := range primary.Databases {
		if other.Service != drained.Service || id == drained.ID || other.Gone {
			continue
		}
		if _, down := primary.Down[id]; down {
			unreachable = append(unreachable, id)
		} else if !other.Draining {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	p.effect("the lead of %s moves to the furthest of %v", drained.Service, candidates)
	if len(candidates) == 0 {
		p.warn("nobody can follow %s", drained.ID)
	}
	if len(unreachable) > 0 {
		p.warn("%v are down: should %s fail before it has handed over, the move waits for them", unreachable, drained.ID)
	}
}

// addNodeLossEffects describes how the loss of a control node changes the primary, its backups and
// the witnesses, and how many more failures are tolerated after it. A lost proxy has no such effect.
func (p *Plan) addNodeLossEffects(system *System, primary, lost *Report) {
	p.effect("%s %s is lost", lost.Role, lost.Node)
	if lost.Role != "control" {
		return
	}
	spares := 0
	for _, node := range system.withRole("control") {
		if !slices.Contains(primary.Witnesses, node.Addr) && node.Addr != lost.Addr {
			spares++
		}
	}
	switch {
	case lost.Addr == primary.View.Primary.Addr:
		p.effect("%s, a backup, takes over after the lease", primary.View.Backups[0].Name)
	case slices.ContainsFunc(primary.View.Backups, func(m controlstate.Member) bool { return m.Addr == lost.Addr }):
		p.effect("the primary takes another backup")
	}
	if slices.Contains(primary.Witnesses, lost.Addr) && spares > 0 {
		p.effect("another control node becomes a witness in its place")
	}
	remaining := 0
	for _, node := range system.withRole("control") {
		if node.Addr != lost.Addr && slices.Contains(primary.View.Witnesses, node.Addr) && !node.Abstains {
			remaining++
		}
	}
	if total := len(primary.View.Witnesses); remaining < total/2+1 {
		p.warn("only %d of %d witnesses remain: no lease could be granted", remaining, total)
	} else if tolerated := system.failuresTolerated(primary, lost.Addr); int64(tolerated) < primary.Tolerates {
		p.effect("%d of %d witnesses remain; %d more may be lost, of the %d to be tolerated", remaining, total, tolerated, primary.Tolerates)
	}
	if len(system.withRole("control")) <= 2 {
		p.warn("without a backup nothing can be acknowledged")
	}
}

// addGrowthEffects estimates how many connections the given number of proxies opens, and how much
// state is sent to a new proxy before it serves.
func (p *Plan) addGrowthEffects(primary *Report, currentProxies, proxies int) error {
	if primary.Config == nil {
		return fmt.Errorf("no configuration is in force yet")
	}
	members, err := json.Marshal(primary.Members)
	if err != nil {
		return fmt.Errorf("members: %w", err)
	}
	var history routeconfig.History
	history.Advance(primary.Config, 1)
	config, err := json.Marshal(history.Since(0, true))
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	state, err := json.Marshal([]any{primary.Databases, primary.Leaders})
	if err != nil {
		return fmt.Errorf("databases: %w", err)
	}
	knownMembers := len(primary.Members)
	p.effect("a pooler that comes is sent some %d KB: %d members, the configuration of %d routes and %d databases",
		(len(members)*(knownMembers+proxies-currentProxies)/max(knownMembers, 1)+len(config)+len(state))>>10, knownMembers+proxies-currentProxies, len(primary.Config.Routes), len(primary.Databases))
	for _, service := range primary.Config.Services {
		if service.MaxConns == 0 {
			continue
		}
		perProxy := distribution.ConnectionShare(service.MaxConns, proxies)
		p.effect("%s: up to %d of its %d connections to each database", service.Name, perProxy*proxies, service.MaxConns)
		if perProxy*proxies > service.MaxConns {
			p.warn("%s: %d poolers with one connection each are over its max_conns of %d", service.Name, proxies, service.MaxConns)
		}
	}
	return nil
}

// countConnections sets the connections and the headroom of every service of a configuration. The
// slots of the database excluded, and of databases that are gone or draining, are not counted.
func (p *Plan) countConnections(primary *Report, config *routeconfig.Configuration, proxies int, excluded string) {
	if config == nil {
		return
	}
	for _, service := range config.Services {
		p.Conns[service.Name] = distribution.ConnectionShare(service.MaxConns, proxies)
		for id, database := range primary.Databases {
			if database.Service == service.Name && id != excluded && !database.Gone && !database.Draining {
				p.Headroom[service.Name] += database.Slots
			}
		}
	}
}

// restartOrder lists the proxies first, then the control nodes: the primary last of all, and its
// backups right before it.
func (s *System) restartOrder(primary *Report) (order []string) {
	for _, proxy := range append(s.withRole("pooler"), s.withRole("gateway")...) {
		order = append(order, proxy.Role+" "+proxy.Node)
	}
	var last []string
	for _, node := range s.withRole("control") {
		switch {
		case node.Addr == primary.View.Primary.Addr:
			last = append(last, "control node "+node.Node)
		case slices.ContainsFunc(primary.View.Backups, func(m controlstate.Member) bool { return m.Addr == node.Addr }):
			last = append([]string{"control node " + node.Node}, last...)
		default:
			order = append(order, "control node "+node.Node)
		}
	}
	return append(order, last...)
}

// Print writes the plan as text.
func (p *Plan) Print(w io.Writer) {
	fmt.Fprintln(w, "step:", p.Step)
	for _, effect := range p.Effects {
		fmt.Fprintln(w, "  effect:", effect)
	}
	for _, warning := range p.Warnings {
		fmt.Fprintln(w, "  warning:", warning)
	}
	for _, svc := range slices.Sorted(maps.Keys(p.Conns)) {
		fmt.Fprintf(w, "  %s: %d connections per carrier and database, %d slots\n", svc, p.Conns[svc], p.Headroom[svc])
	}
	fmt.Fprintln(w, "  restart one after another:", strings.Join(p.Restart, ", "))
}
