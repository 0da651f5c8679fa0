// Package testbed runs the real program on this machine and injects faults drawn from a seed:
// control nodes, poolers and gateways run as processes on loopback addresses, together with
// stand-ins for databases, platform, operators and clients. At the end the recorded history is
// checked against the rules. The package never touches a process that it has not started.
package testbed

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"indigowalk/internal/settings"
)

// Kinds of faults of machines and their processes.
const (
	Kill    = "kill"    // a machine's processes are killed and restarted
	Freeze  = "freeze"  // they are suspended for a while
	Term    = "term"    // they are terminated in order and restarted
	Hup     = "hup"     // their settings change and are reloaded
	Wipe    = "wipe"    // a control node is killed and loses its disk
	Replace = "replace" // a machine is removed permanently, and an empty one joins at another address
	All     = "all"     // every process is killed at once
)

// Kinds of faults of links.
const (
	CutCore      = "cut_core"      // a control machine is partitioned from the others, sometimes in one direction
	CutCarrier   = "cut_carrier"   // a machine is partitioned from all control machines
	CutDatabases = "cut_databases" // a machine is partitioned from a service's databases
	CutPrimary   = "cut_primary"   // a primary is partitioned from some machines, or from its replicas
	LoseReplies  = "lose_replies"  // responses between the program's processes, and to operators, are lost
	Datagrams    = "datagrams"     // datagrams are lost, duplicated and delayed
	Delay        = "delay"         // the links of a machine have added latency
	ResetLinks   = "reset_links"   // connections between the program's processes are reset
	Split        = "split"         // the control machines are partitioned into halves; only if ExceedTolerated is set
)

// Kinds of faults of a process's resources.
const (
	Descriptors = "descriptors" // it has hardly any file descriptors left
	FullDisk    = "full_disk"   // its files can't grow
	LogReader   = "log_reader"  // nobody reads its log
	Throttle    = "throttle"    // it gets the processor for only a part of each tenth of a second
)

// Kinds of faults of databases.
const (
	Crash             = "crash"   // a database ends without notice and returns, or is removed permanently
	Release           = "release" // a database is replaced by a planned change
	Reset             = "reset"   // a database's connections are reset
	Hang              = "hang"    // a database hangs for a while
	Deaf              = "deaf"    // a replica receives nothing from its primary for a while
	ProtocolViolation = "manners" // a database violates the wire protocol
)

// MisbehavingClients is the kind of fault where clients violate the protocol or stall.
const MisbehavingClients = "rude"

// Tiers of proxies that a run can have.
const (
	Pooler  = "pooler"
	Gateway = "gateway"
)

// Plan describes a run.
type Plan struct {
	Seed         int64  `key:"seed" default:"1" validate:"gte=0"`
	Tier         string `key:"tier" default:"pooler" validate:"oneof=pooler gateway"`
	ControlNodes int64  `key:"control_nodes" default:"4" validate:"gte=3,lte=9"`
	Carriers     int64  `key:"carriers" default:"10" validate:"gte=1,lte=60"`
	Services     int64  `key:"services" default:"2" validate:"gte=1,lte=9"`
	Operators    int64  `key:"operators" default:"3" validate:"gte=1,lte=8"`
	LengthS      int64  `key:"length_s" default:"60" validate:"gte=5,lte=7200"`
	Cores        int64  `key:"cores" default:"2" validate:"gte=1,lte=64"`
	// PauseMs is the mean pause between two faults of one timeline, and Timelines the number of
	// timelines for machines; databases have two, links, processors, limits and clients one each.
	PauseMs   int64 `key:"pause_ms" default:"1500" validate:"gte=0,lte=600000"`
	Timelines int64 `key:"timelines" default:"2" validate:"gte=1,lte=8"`
	// Tolerate is how many machines with a control node may be lost at once.
	Tolerate int64 `key:"tolerate" default:"1" validate:"gte=1,lte=3"`
	// ExceedTolerated allows more machines to be lost at once than tolerated; service may be
	// unavailable then.
	ExceedTolerated bool `key:"beyond"`
	// SpareControl excludes machines with a control node from faults, so that proxies are checked
	// against all their guarantees while control nodes are undisturbed.
	SpareControl bool `key:"spare_control"`
	// KillAllAtEnd kills all processes after the last order, and erases one disk.
	KillAllAtEnd bool     `key:"closing"`
	Faults       []string `key:"troubles" default:"kill,freeze,term,hup,wipe,replace,all,cut_core,cut_carrier,cut_databases,cut_primary,lose_replies,datagrams,delay,reset_links,descriptors,full_disk,log_reader,throttle,crash,release,reset,hang,deaf,manners,rude" validate:"dive,oneof=none kill freeze term hup wipe replace all cut_core cut_carrier cut_databases cut_primary lose_replies datagrams delay reset_links split descriptors full_disk log_reader throttle crash release reset hang deaf manners rude"`
}

// DefaultPlan returns a plan with all keys at their defaults.
func DefaultPlan() Plan {
	var p Plan
	if err := settings.Decode(nil, &p); err != nil {
		panic(err) // the defaults are valid
	}
	return p
}

// LoadPlan reads and validates a plan file; an unknown key is an error.
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

// Set changes one key of the plan; key and value are written as in a plan file.
func (p *Plan) Set(key, value string) error {
	var scratch Plan
	line := []byte(key + "=" + value + "\n")
	unknown, err := settings.UnknownKeys(line, &scratch)
	if err != nil {
		return err
	}
	if len(unknown) > 0 {
		return fmt.Errorf("testbed: unknown key %s", key)
	}
	return settings.Overlay(line, p)
}

// has reports whether the plan includes a kind of fault.
func (p *Plan) has(kind string) bool { return slices.Contains(p.Faults, kind) }

// machines returns how many machines the run begins with.
func (p *Plan) machines() int { return int(max(p.ControlNodes, p.Carriers)) }
