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
	Tolerates      int64                         `json:"tolerates"` // machines, disks included, that may be lost at once
	Members        []membership.Member           `json:"members"`
	Epoch          int64                         `json:"epoch"`
	Rev            int64                         `json:"rev"`
	LeaseUs        kernel.Micros                 `json:"lease_us"` // remaining lease: of the control state's primary, or a proxy's read lease
	View           *controlstate.View            `json:"view,omitempty"`
	Witnesses      []string                      `json:"witnesses,omitempty"`
	Abstains       bool                          `json:"abstains,omitempty"` // as a witness
	NoPrimaryHeard bool                          `json:"unsure,omitempty"`   // a control node that is not the primary and has not heard from it within a lease: its view may be stale
	HeardUs        map[string]kernel.Micros      `json:"heard_us,omitempty"` // on the primary, time since the last contact with each control node
	Config         *routeconfig.Configuration    `json:"config,omitempty"`
	Databases      map[string]discovery.Database `json:"databases,omitempty"`
	Leads          map[string]failover.Leader    `json:"leads,omitempty"`
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

func report(k *kernel.Kernel, endpoint *rpc.Endpoint) (*Report, error) {
	s := kernel.Need[*settings.Live](k).Now()
	r := &Report{
		Node: s.NodeName, Role: k.Role, Addr: endpoint.Addr(), Zone: s.Zone, Tolerates: s.TolerateHosts,
		Members: kernel.Need[*membership.Memberlist](k).Members(),
		Down:    kernel.Need[*health.Monitor](k).Down(), Counters: k.Counters.Snapshot(),
	}
	if k.Role != "control" {
		r.Epoch, _, r.Rev, r.LeaseUs = kernel.Need[*distribution.Subscriber](k).Version()
		r.Conns = kernel.Need[connpool.Counts](k)()
		r.Usage = kernel.Need[*quota.Client](k).Usage()
		return r, nil
	}
	replica := kernel.Need[*controlstate.Replica](k)
	term, err := replica.Term()
	if err == nil {
		if err := r.addPrimaryState(k, replica); err != nil {
			return nil, err
		}
	}
	view, _ := replica.Primary()
	r.View, r.Epoch, r.Witnesses, r.Abstains = &view, view.Epoch, replica.Witnesses(), replica.Abstains()
	if _, r.LeaseUs = term.Lease(); r.LeaseUs == 0 {
		// The term has ended: data read in it may be stale and is not reported.
		r.HeardUs, r.Config, r.Rev, r.Databases, r.Leads, r.Roles, r.Quotas = nil, nil, 0, nil, nil, nil, nil
		_, known := replica.KnownPrimary()
		r.NoPrimaryHeard = !known
	}
	return r, nil
}

// addPrimaryState adds what only the control state's primary knows.
func (r *Report) addPrimaryState(k *kernel.Kernel, replica *controlstate.Replica) error {
	r.HeardUs = replica.SinceLastContact()
	state, err := replica.Durable()
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
	if r.Leads, err = failover.Decode(state.Entries); err != nil {
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
