// Package testbed plays the real program on this machine: control nodes and poolers
// as processes on loopback addresses, beside stand-ins of databases, platform,
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

// Kinds of trouble.
const (
	Kill    = "kill"    // a machine's processes are killed and started again
	Freeze  = "freeze"  // they stand still for a while
	Term    = "term"    // they are told to end, and started again
	Hup     = "hup"     // their settings change
	Wipe    = "wipe"    // a control node is killed and loses its disk
	Replace = "replace" // one is gone for good, and an empty one comes at another address
	All     = "all"     // every process is killed at once
	Crash   = "crash"   // a database ends without a word and returns, or is gone for good
	Release = "release" // a database is replaced in order
	Reset   = "reset"   // a database's connections are reset
	Hang    = "hang"    // a database stands still for a while
	Deaf    = "deaf"    // a replica receives nothing for a while
)

// Plan is what a run is to be like.
type Plan struct {
	Seed         int64    `key:"seed" default:"1" validate:"gte=0"`
	ControlNodes int64    `key:"control_nodes" default:"4" validate:"gte=3,lte=9"`
	Carriers     int64    `key:"carriers" default:"10" validate:"gte=1,lte=60"`
	Services     int64    `key:"services" default:"2" validate:"gte=1,lte=9"`
	Operators    int64    `key:"operators" default:"3" validate:"gte=1,lte=8"`
	LengthS      int64    `key:"length_s" default:"60" validate:"gte=5,lte=7200"`
	Cores        int64    `key:"cores" default:"2" validate:"gte=1,lte=64"`
	PauseMs      int64    `key:"pause_ms" default:"1500" validate:"gte=0,lte=600000"` // between two troubles
	Troubles     []string `key:"troubles" default:"kill,freeze,term,hup,wipe,replace,all,crash,release,reset,hang,deaf" validate:"dive,oneof=none kill freeze term hup wipe replace all crash release reset hang deaf"`
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
	unknown, err := settings.Unknown(raw, &p)
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
	unknown, err := settings.Unknown(line, &read)
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
