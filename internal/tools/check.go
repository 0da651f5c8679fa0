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

// Fault is a problem found by a check, with its location: a key, a field, a file or a folder.
type Fault struct {
	Location string `json:"place"`
	Reason   string `json:"reason"`
}

func (f Fault) String() string { return f.Location + ": " + f.Reason }

// readFile returns the content of a file, or the fault that it cannot be read.
func readFile(path string) ([]byte, []Fault) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, []Fault{{path, err.Error()}}
	}
	return raw, nil
}

// CheckSettings validates a settings file.
func CheckSettings(path string) []Fault {
	raw, faults := readFile(path)
	if faults != nil {
		return faults
	}
	_, err := settings.Parse(raw)
	var joined interface{ Unwrap() []error }
	var single *settings.Error
	switch {
	case errors.As(err, &joined):
		for _, e := range joined.Unwrap() {
			if errors.As(e, &single) {
				faults = append(faults, Fault{single.Key, single.Reason})
			}
		}
	case errors.As(err, &single):
		faults = append(faults, Fault{single.Key, single.Reason})
	}
	return faults
}

// deployFile is the content of a deploy file: the build command, and the roles by name.
type deployFile struct {
	Build string                `toml:"build" validate:"required"`
	Roles map[string]deployRole `toml:"roles" validate:"required,dive"`
}

// deployRole specifies which command runs as a role, and on which machines: on the given share or
// number of the machines of a class.
type deployRole struct {
	Run   string  `toml:"run" validate:"required"`
	On    string  `toml:"on" validate:"required"`
	Share float64 `toml:"share" validate:"gte=0,lte=1"`
	Count int     `toml:"count" validate:"gte=0"`
	Apart bool    `toml:"apart"`
	// Metrics is the port and path at which the role exposes its counters.
	Metrics string   `toml:"metrics"`
	Serves  []string `toml:"serves" validate:"dive,oneof=edge ctl"`
	For     []string `toml:"for"` // kinds of deployment; all if empty
}

// CheckDeploy validates a deploy file, and that no two roles of one kind of deployment serve the
// same traffic on the same machine class.
func CheckDeploy(path string) []Fault {
	raw, faults := readFile(path)
	if faults != nil {
		return faults
	}
	var deploy deployFile
	meta, err := toml.Decode(string(raw), &deploy)
	if err != nil {
		return []Fault{{path, err.Error()}}
	}
	for _, key := range meta.Undecoded() {
		faults = append(faults, Fault{key.String(), "is not known"})
	}
	var invalid validator.ValidationErrors
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(deploy); errors.As(err, &invalid) {
		for _, invalidField := range invalid {
			_, place, _ := strings.Cut(invalidField.Namespace(), ".")
			faults = append(faults, Fault{strings.ToLower(place), "fails " + invalidField.Tag()})
		}
	}
	names := slices.Sorted(maps.Keys(deploy.Roles))
	for i, name := range names {
		role := deploy.Roles[name]
		if (role.Share > 0) == (role.Count > 0) {
			faults = append(faults, Fault{"roles." + name, "needs either share or count"})
		}
		for _, other := range names[:i] {
			otherRole := deploy.Roles[other]
			for _, traffic := range role.Serves {
				if role.On == otherRole.On && role.sharesDeployment(otherRole) && slices.Contains(otherRole.Serves, traffic) {
					faults = append(faults, Fault{"roles." + name + ".serves", traffic + " is served by " + other + " on the same class"})
				}
			}
		}
	}
	return faults
}

// sharesDeployment reports whether both roles run in one of the kinds of deployment.
func (r deployRole) sharesDeployment(other deployRole) bool {
	return len(r.For) == 0 || len(other.For) == 0 || slices.ContainsFunc(r.For, func(kind string) bool { return slices.Contains(other.For, kind) })
}

// CheckConfig validates a configuration. If base is not empty, it also checks that the revision is
// higher than that of the configuration in base.
func CheckConfig(path, base string) []Fault {
	raw, faults := readFile(path)
	if faults != nil {
		return faults
	}
	config, problems := routeconfig.Parse(raw)
	for _, fault := range problems {
		faults = append(faults, Fault{fault.Field, fault.Reason})
	}
	if base == "" {
		return faults
	}
	raw, baseFaults := readFile(base)
	if baseFaults != nil {
		return append(faults, baseFaults...)
	}
	old, problems := routeconfig.Parse(raw)
	for _, fault := range problems {
		faults = append(faults, Fault{"base: " + fault.Field, fault.Reason})
	}
	if config != nil && old != nil && config.Rev <= old.Rev {
		faults = append(faults, Fault{"rev", fmt.Sprintf("%d is not higher than the %d it builds on", config.Rev, old.Rev)})
	}
	return faults
}

// CheckStore verifies the store of a stopped control node. It works on a temporary copy.
func CheckStore(dir string) []Fault {
	if _, err := os.Stat(filepath.Join(dir, controlstate.StoreFile)); err != nil {
		return []Fault{{dir, "no store of a control node: " + err.Error()}}
	}
	raw, faults := readFile(filepath.Join(dir, controlstate.StoreFile))
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
	store, err := controlstate.OpenStore(tmp)
	if err != nil {
		return []Fault{{dir, err.Error()}}
	}
	defer store.Close()
	if store.Created {
		return []Fault{{dir, "the store holds nothing"}}
	}
	state, err := store.LoadState()
	if err != nil {
		faults = append(faults, Fault{"state", err.Error()})
	}
	if err := store.CheckRegister(); err != nil {
		faults = append(faults, Fault{"register", err.Error()})
	}
	if _, _, err := routeconfig.Decode(state.Entries[routeconfig.Key]); err != nil {
		faults = append(faults, Fault{"state: " + routeconfig.Key, err.Error()})
	}
	if _, err := discovery.Decode(state.Entries); err != nil {
		faults = append(faults, Fault{"state: databases", err.Error()})
	}
	if _, err := failover.DecodeLeaders(state.Entries); err != nil {
		faults = append(faults, Fault{"state: leads", err.Error()})
	}
	return faults
}
