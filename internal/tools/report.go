// Package tools implements the operator commands: accept-loss, check, failures, plan, replay and
// status. They reuse the packages of the daemons.
package tools

import (
	"context"

	"indigowalk/internal/connpool"
	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/distribution"
	"indigowalk/internal/failover"
	"indigowalk/internal/failurelog"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
	"indigowalk/internal/membership"
	"indigowalk/internal/quota"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/rpc"
	"indigowalk/internal/settings"
)

// Names of the RPC operations.
const (
	statusOp   = "status"
	failuresOp = "failures"
)

// Report is the state of the system as one process sees it.
type Report struct {
	Node           string                        `json:"node"`
	Role           string                        `json:"role"`
	Addr           string                        `json:"addr"`
	Zone           string                        `json:"zone"`
	Tolerates      int64                         `json:"tolerates"` // control machines, disks included, that may be lost at once
	Members        []membership.Member           `json:"members"`
	Epoch          int64                         `json:"epoch"`
	Rev            int64                         `json:"rev"`
	LeaseUs        kernel.Micros                 `json:"lease_us"` // remaining lease: that of the primary control node, or a proxy's read lease
	View           *controlstate.View            `json:"view,omitempty"`
	Witnesses      []string                      `json:"witnesses,omitempty"`
	Abstains       bool                          `json:"abstains,omitempty"` // a witness that does not vote
	NoPrimaryHeard bool                          `json:"unsure,omitempty"`   // a control node that is not the primary and has not heard from it for a lease: its view may be stale
	SinceContactUs map[string]kernel.Micros      `json:"heard_us,omitempty"` // on the primary, time since the last contact with each control node
	Config         *routeconfig.Configuration    `json:"config,omitempty"`
	Databases      map[string]discovery.Database `json:"databases,omitempty"`
	Leaders        map[string]failover.Leader    `json:"leads,omitempty"`
	WaitReasons    map[string]string             `json:"waits,omitempty"`  // by service, why its failover is blocked
	Roles          map[string]string             `json:"roles,omitempty"`  // as reported by the databases themselves
	Down           map[string]int64              `json:"down,omitempty"`   // databases that are down, with the generation
	Conns          map[string][2]int             `json:"conns,omitempty"`  // open and idle, by database
	Quotas         map[string]quota.Account      `json:"quotas,omitempty"` // by tenant, on the primary
	Usage          map[string]quota.TenantUsage  `json:"uses,omitempty"`   // by tenant, on a pooler or gateway
	Counters       map[string]int64              `json:"counters"`
}

func init() {
	kernel.Register(kernel.Plugin{
		Name: "status", Rank: 90, Roles: []string{"pooler", "gateway", "control"},
		Build: func(k *kernel.Kernel) error {
			endpoint := kernel.Need[*rpc.Endpoint](k)
			rpc.HandleTyped(endpoint, statusOp, func(context.Context, struct{}) (any, error) { return report(k, endpoint) })
			failures := kernel.Need[*failurelog.Log](k)
			rpc.HandleTyped(endpoint, failuresOp, func(context.Context, struct{}) (any, error) { return failures.Recent(), nil })
			return nil
		},
	})
}

// report returns the state of the system as this process sees it.
func report(k *kernel.Kernel, endpoint *rpc.Endpoint) (*Report, error) {
	current := kernel.Need[*settings.Live](k).Now()
	result := &Report{
		Node: current.NodeName, Role: k.Role, Addr: endpoint.Addr(), Zone: current.Zone, Tolerates: current.TolerateHosts,
		Members: kernel.Need[*membership.Memberlist](k).Members(),
		Down:    kernel.Need[*health.Monitor](k).Down(), Counters: k.Counters.Snapshot(),
	}
	if k.Role != "control" {
		result.Epoch, _, result.Rev, result.LeaseUs = kernel.Need[*distribution.Subscriber](k).Version()
		result.Conns = kernel.Need[connpool.ConnectionCounts](k)()
		result.Usage = kernel.Need[*quota.Client](k).Usage()
		return result, nil
	}
	replica := kernel.Need[*controlstate.Replica](k)
	term, err := replica.Term()
	if err == nil {
		if err := result.addPrimaryState(k, replica); err != nil {
			return nil, err
		}
	}
	view, _ := replica.Primary()
	result.View, result.Epoch, result.Witnesses, result.Abstains = &view, view.Epoch, replica.Witnesses(), replica.Abstains()
	if _, result.LeaseUs = term.Lease(); result.LeaseUs == 0 {
		// The term has ended: data read in it may be stale and is not reported.
		result.SinceContactUs, result.Config, result.Rev, result.Databases, result.Leaders, result.Roles, result.Quotas = nil, nil, 0, nil, nil, nil, nil
		_, known := replica.KnownPrimary()
		result.NoPrimaryHeard = !known
	}
	return result, nil
}

// addPrimaryState adds what only the control state's primary knows.
func (r *Report) addPrimaryState(k *kernel.Kernel, replica *controlstate.Replica) error {
	r.SinceContactUs = replica.SinceLastContact()
	state, err := replica.DurableState()
	if err != nil {
		return nil // this node has just ceased to be the primary
	}
	if _, r.Config, err = routeconfig.Decode(state.Entries[routeconfig.Key]); err != nil {
		return err
	}
	if r.Config = r.Config.Redacted(); r.Config != nil {
		r.Rev = r.Config.Rev
	}
	if r.Databases, err = discovery.Decode(state.Entries); err != nil {
		return err
	}
	if r.Leaders, err = failover.DecodeLeaders(state.Entries); err != nil {
		return err
	}
	r.Quotas = kernel.Need[*quota.LedgerServer](k).Accounts()
	r.WaitReasons = kernel.Need[*failover.Manager](k).WaitReasons()
	r.Roles = map[string]string{}
	for id, observed := range kernel.Need[*discovery.Registry](k).Observed() {
		r.Roles[id] = observed.Role
	}
	return nil
}
