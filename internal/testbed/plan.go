// Package testbed tests the real program under injected faults on one machine. Control nodes, poolers
// and gateways run as processes on loopback addresses, together with stand-ins for databases, platform,
// operators and clients. The faults are drawn from a seed. At the end of a run, the recorded history is
// checked against the rules of package history, and logs and resource usage against further rules. The
// package sends signals only to processes that it has started.
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
	Freeze  = "freeze"  // the processes are suspended for a while
	Term    = "term"    // the processes are shut down with SIGTERM and restarted
	Hup     = "hup"     // the settings change, and the processes reload them on SIGHUP
	Wipe    = "wipe"    // a control node's machine is killed, loses its disk and is restarted
	Replace = "replace" // a machine is removed permanently, and an empty one joins at another address
	KillAll = "all"     // every process is killed at once, and all are restarted
)

// Kinds of faults of links.
const (
	CutControl   = "cut_core"      // a control machine is partitioned from the others, sometimes in one direction
	CutMachine   = "cut_carrier"   // any machine is partitioned from the other control machines, sometimes in one direction
	CutDatabases = "cut_databases" // a machine is partitioned from a service's databases, sometimes in one direction
	CutPrimary   = "cut_primary"   // a primary is partitioned from some machines, or from its replicas
	LoseReplies  = "lose_replies"  // responses between machines, operators and databases are lost with their connections
	Datagrams    = "datagrams"     // datagrams are lost or duplicated
	Delay        = "delay"         // the links of a machine have added latency
	ResetLinks   = "reset_links"   // connections to a machine's processes, except those of clients, are reset
	Split        = "split"         // the control machines are partitioned into halves; only if ExceedTolerated is set
)

// Kinds of faults of a process's resources.
const (
	Descriptors    = "descriptors" // it can open hardly any more file descriptors
	FullDisk       = "full_disk"   // its files can hardly grow
	PauseLogReader = "log_reader"  // its log output is not read
	Throttle       = "throttle"    // it runs only for a part of each tenth of a second
)

// Kinds of faults of databases and of the workers of HTTP services.
const (
	Crash             = "crash"   // a database stops without notice and is restarted
	ReplaceDatabase   = "release" // a database is added, and another one drains and is removed
	Reset             = "reset"   // a database's connections are reset
	Hang              = "hang"    // a database is unresponsive for a while
	StopReplication   = "deaf"    // a replica receives nothing from its primary for a while
	ProtocolViolation = "manners" // a database violates its protocol
)

// Kinds of faults that affect several things at once, in runs with poolers.
const (
	LoseZone     = "zone"  // a zone's machines and a primary are lost while a replica is not registered yet
	ReuseAddress = "reuse" // a replica takes over the address of one whose heartbeats still arrive
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
	Proxies      int64  `key:"carriers" default:"10" validate:"gte=1,lte=60"`
	Services     int64  `key:"services" default:"2" validate:"gte=1,lte=9"`
	Operators    int64  `key:"operators" default:"3" validate:"gte=1,lte=8"`
	LengthS      int64  `key:"length_s" default:"60" validate:"gte=5,lte=7200"`
	Cores        int64  `key:"cores" default:"2" validate:"gte=1,lte=64"`
	// PauseMs is the mean pause between two faults of one timeline. Timelines is the number of timelines
	// of machine faults; there are two of database faults, and one each of link, processor, resource and
	// client faults.
	PauseMs   int64 `key:"pause_ms" default:"1500" validate:"gte=0,lte=600000"`
	Timelines int64 `key:"timelines" default:"2" validate:"gte=1,lte=8"`
	// Tolerate is how many control machines, which are machines with a control node, may be lost at once.
	Tolerate int64 `key:"tolerate" default:"1" validate:"gte=1,lte=3"`
	// ExceedTolerated allows more control machines than that to be lost at once. The service may be
	// unavailable then, but no data may be lost.
	ExceedTolerated bool `key:"beyond"`
	// SpareControl excludes control machines from faults, so that proxies are checked against all their
	// guarantees while the control nodes are undisturbed.
	SpareControl bool `key:"spare_control"`
	// KillAllAtEnd kills all processes right after an order is acknowledged near the end, and erases the
	// disk of one control machine.
	KillAllAtEnd bool     `key:"closing"`
	Faults       []string `key:"troubles" default:"kill,freeze,term,hup,wipe,replace,all,cut_core,cut_carrier,cut_databases,cut_primary,lose_replies,datagrams,delay,reset_links,descriptors,full_disk,log_reader,throttle,crash,release,reset,hang,deaf,manners,zone,reuse,rude" validate:"dive,oneof=none kill freeze term hup wipe replace all cut_core cut_carrier cut_databases cut_primary lose_replies datagrams delay reset_links split descriptors full_disk log_reader throttle crash release reset hang deaf manners zone reuse rude"`
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

// has reports whether the plan lists a kind of fault.
func (p *Plan) has(kind string) bool { return slices.Contains(p.Faults, kind) }

// machineCount returns how many machines the run begins with.
func (p *Plan) machineCount() int { return int(max(p.ControlNodes, p.Proxies)) }
