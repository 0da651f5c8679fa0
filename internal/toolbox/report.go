// Package toolbox holds the tools round the daemons: check, plan, replay and
// status, on the daemons' own packages.
package toolbox

import (
	"context"

	"indigowalk/internal/accessions"
	"indigowalk/internal/catalogue"
	"indigowalk/internal/charter"
	"indigowalk/internal/circulation"
	"indigowalk/internal/conservator"
	"indigowalk/internal/custodian"
	"indigowalk/internal/foundation"
	"indigowalk/internal/rpc"
	"indigowalk/internal/stacks"
	"indigowalk/internal/subscription"
	"indigowalk/internal/vault"
)

const statusOp = "status"

// Report is one process's view.
type Report struct {
	Node      string                         `json:"node"`
	Role      string                         `json:"role"`
	Addr      string                         `json:"addr"`
	Zone      string                         `json:"zone"`
	Tolerates int64                          `json:"tolerates"` // machines with a disk that may be lost at once
	Members   []circulation.Member           `json:"members"`
	Epoch     int64                          `json:"epoch"`
	Rev       int64                          `json:"rev"`
	LeaseUs   foundation.Micros              `json:"lease_us"` // vault's lease, or a desk's read lease
	View      *vault.View                    `json:"view,omitempty"`
	Witnesses []string                       `json:"witnesses,omitempty"`
	Abstains  bool                           `json:"abstains,omitempty"` // as a witness
	Unsure    bool                           `json:"unsure,omitempty"`   // an archive that neither leads nor heard the primary within a lease: its view may be old
	HeardUs   map[string]foundation.Micros   `json:"heard_us,omitempty"` // since each archive last took part, on the primary
	Config    *catalogue.Configuration       `json:"config,omitempty"`
	Databases map[string]accessions.Database `json:"databases,omitempty"`
	Leads     map[string]custodian.Lead      `json:"leads,omitempty"`
	Waits     map[string]string              `json:"waits,omitempty"` // by service, why the move of its lead waits
	Roles     map[string]string              `json:"roles,omitempty"` // as the databases see themselves
	Down      map[string]int64               `json:"down,omitempty"`  // with the generation
	Conns     map[string][2]int              `json:"conns,omitempty"` // open and idle, by database
	Counters  map[string]int64               `json:"counters"`
}

func init() {
	foundation.Register(foundation.Plugin{
		Name: "status", Rank: 90, Roles: []string{"desk", "turnstile", "archive"},
		Build: func(k *foundation.Kernel) error {
			b := foundation.Need[*rpc.Endpoint](k)
			rpc.On(b, statusOp, func(context.Context, struct{}) (any, error) { return report(k, b) })
			return nil
		},
	})
}

func report(k *foundation.Kernel, b *rpc.Endpoint) (*Report, error) {
	s := foundation.Need[*charter.Book](k).Now()
	r := &Report{
		Node: s.NodeName, Role: k.Role, Addr: b.Addr(), Zone: s.Zone, Tolerates: s.TolerateHosts,
		Members: foundation.Need[*circulation.Ring](k).Members(),
		Down:    foundation.Need[*conservator.Conservator](k).Down(), Counters: k.Counters.Snapshot(),
	}
	if k.Role != "archive" {
		r.Epoch, _, r.Rev, r.LeaseUs = foundation.Need[*subscription.Card](k).Version()
		r.Conns = foundation.Need[stacks.Counts](k)()
		return r, nil
	}
	v := foundation.Need[*vault.Vault](k)
	term, err := v.Term()
	if err == nil {
		if err := r.lead(k, v); err != nil {
			return nil, err
		}
	}
	view, _ := v.Primary()
	r.View, r.Epoch, r.Witnesses, r.Abstains = &view, view.Epoch, v.Witnesses(), v.Abstains()
	if _, r.LeaseUs = term.Lease(); r.LeaseUs == 0 {
		// What was read in a term that is over is not told.
		r.HeardUs, r.Config, r.Rev, r.Databases, r.Leads, r.Roles = nil, nil, 0, nil, nil, nil
		_, known := v.Known()
		r.Unsure = !known
	}
	return r, nil
}

// lead adds what only the vault's primary knows.
func (r *Report) lead(k *foundation.Kernel, v *vault.Vault) error {
	r.HeardUs = v.Heard()
	state, err := v.Durable()
	if err != nil {
		return nil // it has just ceased to be the primary
	}
	if _, r.Config, err = catalogue.Decode(state.Entries[catalogue.Key]); err != nil {
		return err
	}
	if r.Config != nil {
		r.Rev = r.Config.Rev
	}
	if r.Databases, err = accessions.Decode(state.Entries); err != nil {
		return err
	}
	if r.Leads, err = custodian.Decode(state.Entries); err != nil {
		return err
	}
	r.Waits = foundation.Need[*custodian.Custodian](k).Waits()
	r.Roles = map[string]string{}
	for id, soft := range foundation.Need[*accessions.Accessions](k).Soft() {
		r.Roles[id] = soft.Role
	}
	return nil
}
