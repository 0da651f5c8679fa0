package tools

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
	"github.com/go-playground/validator/v10"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/settings"
)

// Fault is something wrong, with its place.
type Fault struct {
	Place  string `json:"place"`
	Reason string `json:"reason"`
}

func (f Fault) String() string { return f.Place + ": " + f.Reason }

func read(path string) ([]byte, []Fault) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{path, err.Error()}}
	}
	return raw, nil
}

// CheckSettings checks a settings file.
func CheckSettings(path string) []Fault {
	raw, faults := read(path)
	if faults != nil {
		return faults
	}
	_, err := settings.Parse(raw)
	var all interface{ Unwrap() []error }
	var one *settings.Error
	switch {
	case errors.As(err, &all):
		for _, e := range all.Unwrap() {
			if errors.As(e, &one) {
				faults = append(faults, Fault{one.Key, one.Reason})
			}
		}
	case errors.As(err, &one):
		faults = append(faults, Fault{one.Key, one.Reason})
	}
	return faults
}

type deployFile struct {
	Build string                `toml:"build" validate:"required"`
	Roles map[string]deployRole `toml:"roles" validate:"required,dive"`
}

type deployRole struct {
	Run   string  `toml:"run" validate:"required"`
	On    string  `toml:"on" validate:"required"`
	Share float64 `toml:"share" validate:"gte=0,lte=1"`
	Count int     `toml:"count" validate:"gte=0"`
	Apart bool    `toml:"apart"`
	// Metrics is the port and path at which the role tells its counters.
	Metrics string   `toml:"metrics"`
	Serves  []string `toml:"serves" validate:"dive,oneof=edge ctl"`
	For     []string `toml:"for"` // kinds of deployment; all, if empty
}

// CheckDeploy checks a deploy file.
func CheckDeploy(path string) []Fault {
	raw, faults := read(path)
	if faults != nil {
		return faults
	}
	var d deployFile
	meta, err := toml.Decode(string(raw), &d)
	if err != nil {
		return []Fault{{path, err.Error()}}
	}
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{key.String(), "is not known"})
	}
	var bad validator.ValidationErrors
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(d); errors.As(err, &bad) {
		for _, f := range bad {
			_, place, _ := strings.Cut(f.Namespace(), ".")
			faults = append(faults, Fault{strings.ToLower(place), "fails " + f.Tag()})
		}
	}
	names := slices.Sorted(maps.Keys(d.Roles))
	for i, name := range names {
		r := d.Roles[name]
		if (r.Share > 0) == (r.Count > 0) {
			faults = append(faults, Fault{"roles." + name, "needs either share or count"})
		}
		for _, other := range names[:i] {
			o := d.Roles[other]
			for _, s := range r.Serves {
				if r.On == o.On && r.meets(o) && slices.Contains(o.Serves, s) {
					faults = append(faults, Fault{"roles." + name + ".serves", s + " is served by " + other + " on the same class"})
				}
			}
		}
	}
	return faults
}

// meets tells whether two roles run in one kind of deployment.
func (r deployRole) meets(o deployRole) bool {
	return len(r.For) == 0 || len(o.For) == 0 || slices.ContainsFunc(r.For, func(kind string) bool { return slices.Contains(o.For, kind) })
}

// CheckConfig checks a configuration, as a change on top of another if base is
// not "".
func CheckConfig(path, base string) []Fault {
	raw, faults := read(path)
	if faults != nil {
		return faults
	}
	conf, found := routeconfig.Parse(raw)
	for _, f := range found {
		faults = append(faults, Fault{f.Field, f.Reason})
	}
	if base == "" {
		return faults
	}
	raw, missing := read(base)
	if missing != nil {
		return append(faults, missing...)
	}
	old, found := routeconfig.Parse(raw)
	for _, f := range found {
		faults = append(faults, Fault{"base: " + f.Field, f.Reason})
	}
	if conf != nil && old != nil && conf.Rev <= old.Rev {
		faults = append(faults, Fault{"rev", fmt.Sprintf("%d is not higher than the %d it builds on", conf.Rev, old.Rev)})
	}
	return faults
}

// CheckStore checks the store of a stopped control node. It works on a copy.
func CheckStore(dir string) []Fault {
	if _, err := os.Stat(filepath.Join(dir, controlstate.StoreFile)); err != nil {
		return []Fault{{dir, "no store of a control node: " + err.Error()}}
	}
	raw, faults := read(filepath.Join(dir, controlstate.StoreFile))
	if faults != nil {
		return faults
	}
	tmp, err := os.MkdirTemp("", "indigowalk-check")
	if err != nil {
		return []Fault{{dir, err.Error()}}
	}
	defer os.RemoveAll(tmp)
	if err := os.WriteFile(filepath.Join(tmp, controlstate.StoreFile), raw, 0o600); err != nil {
		return []Fault{{dir, err.Error()}}
	}
	s, err := controlstate.OpenStore(tmp)
	if err != nil {
		return []Fault{{dir, err.Error()}}
	}
	defer s.Close()
	if s.Created {
		return []Fault{{dir, "the store holds nothing"}}
	}
	state, err := s.LoadState()
	if err != nil {
		faults = append(faults, Fault{"state", err.Error()})
	}
	if err := s.CheckRegister(); err != nil {
		faults = append(faults, Fault{"register", err.Error()})
	}
	if _, _, err := routeconfig.Decode(state.Entries[routeconfig.Key]); err != nil {
		faults = append(faults, Fault{"state: " + routeconfig.Key, err.Error()})
	}
	if _, err := discovery.Decode(state.Entries); err != nil {
		faults = append(faults, Fault{"state: databases", err.Error()})
	}
	if _, err := failover.Decode(state.Entries); err != nil {
		faults = append(faults, Fault{"state: leads", err.Error()})
	}
	return faults
}
