// Package testbed plays the real program on this machine: control nodes, poolers and
// gateways as processes on loopback addresses, beside stand-ins of databases, platform,
// operators and clients, under troubles drawn from a seed. What everybody saw is
// checked against the rules at the end. It never touches a process that it has not
// started.
package testbed

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"indigowalk/internal/settings"
)

// Kinds of trouble of machines and their processes.
const (
	Kill    = "kill"    // a machine's processes are killed and started again
	Freeze  = "freeze"  // they stand still for a while
	Term    = "term"    // they are told to end, and started again
	Hup     = "hup"     // their settings change
	Wipe    = "wipe"    // a control node is killed and loses its disk
	Replace = "replace" // one is gone for good, and an empty one comes at another address
	All     = "all"     // every process is killed at once
)

// Kinds of trouble of links.
const (
	CutCore      = "cut_core"      // a control machine is cut off from the others, at times one way
	CutCarrier   = "cut_carrier"   // a machine is cut off from all control machines
	CutDatabases = "cut_databases" // a machine is cut off from a service's databases
	CutPrimary   = "cut_primary"   // a primary is cut off from some machines, or its replicas
	LoseReplies  = "lose_replies"  // answers between own processes, and to operators, are lost
	Datagrams    = "datagrams"     // datagrams are lost, come twice, and late
	Delay        = "delay"         // the links of a machine are slow
	ResetLinks   = "reset_links"   // connections between own processes are reset
	Split        = "split"         // the control machines are cut into halves; only beyond tolerate
)

// Kinds of trouble of what a process may use.
const (
	Descriptors = "descriptors" // it has hardly any left
	FullDisk    = "full_disk"   // its files may not grow
	LogReader   = "log_reader"  // nobody reads its log
	Throttle    = "throttle"    // it runs for a part of each tenth of a second only
)

// Kinds of trouble of databases.
const (
	Crash   = "crash"   // a database ends without a word and returns, or is gone for good
	Release = "release" // a database is replaced in order
	Reset   = "reset"   // a database's connections are reset
	Hang    = "hang"    // a database stands still for a while
	Deaf    = "deaf"    // a replica receives nothing for a while
	Manners = "manners" // a database misbehaves on the wire
)

// Rude has clients misbehave.
const Rude = "rude"

// Tiers.
const (
	Pooler  = "pooler"
	Gateway = "gateway"
)

// Plan is what a run is to be like.
type Plan struct {
	Seed         int64  `key:"seed" default:"1" validate:"gte=0"`
	Tier         string `key:"tier" default:"pooler" validate:"oneof=pooler gateway"`
	ControlNodes int64  `key:"control_nodes" default:"4" validate:"gte=3,lte=9"`
	Carriers     int64  `key:"carriers" default:"10" validate:"gte=1,lte=60"`
	Services     int64  `key:"services" default:"2" validate:"gte=1,lte=9"`
	Operators    int64  `key:"operators" default:"3" validate:"gte=1,lte=8"`
	LengthS      int64  `key:"length_s" default:"60" validate:"gte=5,lte=7200"`
	Cores        int64  `key:"cores" default:"2" validate:"gte=1,lte=64"`
	// PauseMs is the mean pause between two troubles of one timeline, and Timelines how
	// many there are of machines; databases have two, links, limits and clients one each.
	PauseMs   int64 `key:"pause_ms" default:"1500" validate:"gte=0,lte=600000"`
	Timelines int64 `key:"timelines" default:"2" validate:"gte=1,lte=8"`
	// Tolerate is how many machines with a control node may be lost at once.
	Tolerate int64 `key:"tolerate" default:"1" validate:"gte=1,lte=3"`
	// Beyond lets more machines be lost at once than may be; service may rest then.
	Beyond bool `key:"beyond"`
	// SpareControl has machines with a control node be struck by nothing, so that carriers are
	// held to all that they owe while control nodes are calm.
	SpareControl bool `key:"spare_control"`
	// Closing has one disk be lost, and all processes killed, after the last order.
	Closing  bool     `key:"closing"`
	Troubles []string `key:"troubles" default:"kill,freeze,term,hup,wipe,replace,all,cut_core,cut_carrier,cut_databases,cut_primary,lose_replies,datagrams,delay,reset_links,descriptors,full_disk,log_reader,throttle,crash,release,reset,hang,deaf,manners,rude" validate:"dive,oneof=none kill freeze term hup wipe replace all cut_core cut_carrier cut_databases cut_primary lose_replies datagrams delay reset_links split descriptors full_disk log_reader throttle crash release reset hang deaf manners rude"`
}

// DefaultPlan is a plan that says nothing.
func DefaultPlan() Plan {
	var p Plan
	if err := settings.Decode(nil, &p); err != nil {
		panic(err) // the defaults are valid
	}
	return p
}

// LoadPlan reads and checks a plan; a key that is not known is a fault too.
func LoadPlan(path string) (Plan, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fmt.Errorf("testbed: %w", err)
	}
	var p Plan
	unknown, err := settings.UnknownKeys(raw, &p)
	if err != nil {
		return Plan{}, fmt.Errorf("testbed: %s: %w", path, err)
	}
	if len(unknown) > 0 {
		return Plan{}, fmt.Errorf("testbed: %s: unknown keys: %s", path, strings.Join(unknown, ", "))
	}
	if err := settings.Decode(raw, &p); err != nil {
		return Plan{}, fmt.Errorf("testbed: %s: %w", path, err)
	}
	return p, nil
}

// Set changes one key of the plan, as in its file.
func (p *Plan) Set(key, value string) error {
	var read Plan
	line := []byte(key + "=" + value + "\n")
	unknown, err := settings.UnknownKeys(line, &read)
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		return fmt.Errorf("testbed: unknown key %s", key)
	}
	return settings.Overlay(line, p)
}

// has tells whether a kind of trouble may come.
func (p *Plan) has(kind string) bool { return slices.Contains(p.Troubles, kind) }

// machines is how many machines the run begins with.
func (p *Plan) machines() int { return int(max(p.ControlNodes, p.Carriers)) }
