// Package kernel is the kernel that every role of indigowalk stands on: a
// registry of plug-ins, the supervisor tree, the seams to clock, network and
// disk, and the counters.
package kernel

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"reflect"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"indigowalk/internal/invariant"
)

// Plugin is one part of a role. Packages register theirs in init; the kernel
// builds those of the role that runs, in order of their rank.
type Plugin struct {
	Name  string
	Rank  int      // lower ranks are built first
	Roles []string // roles that run it
	Build func(*Kernel) error
}

var plugins []Plugin

// restartPause is how long a part that has failed several times is left alone.
const restartPause = time.Second

// Register adds a plug-in to those a kernel can build.
func Register(p Plugin) { plugins = append(plugins, p) }

// Kernel holds what the plug-ins of one process share.
type Kernel struct {
	Role     string
	Clock    Clock
	Net      Network
	Sync     Sync
	Counters *Counters
	Log      *slog.Logger
	Recorder *Recorder // nil unless the settings ask for one
	// Invariants checks what must always be true in this process.
	Invariants *invariant.Checker

	tree    *suture.Supervisor
	offered map[reflect.Type]any
	leaving []func(context.Context)
	ends    []func() error
}

// NewKernel returns a kernel for one process of the role.
func NewKernel(role string, net Network, log *slog.Logger) *Kernel {
	k := &Kernel{
		Role: role, Clock: SteadyClock(), Net: net, Sync: (*os.File).Sync, Counters: NewCounters(), Log: log,
		offered: map[reflect.Type]any{},
	}
	k.Invariants = invariant.NewChecker(func(name string) { k.Counters.Add(name, 1) }, log)
	k.tree = suture.New("indigowalk-"+role, suture.Spec{
		// A part that keeps failing, at an address that is still in use say, is
		// tried again soon: nobody else does its work.
		FailureBackoff: restartPause,
		EventHook: func(e suture.Event) {
			k.Counters.Add("kernel.supervisor_events", 1)
			log.Warn("supervisor", "event", e.String())
		},
	})
	return k
}

// Offer makes v available to plug-ins that are built later.
func Offer[T any](k *Kernel, v T) { k.offered[reflect.TypeFor[T]()] = v }

// Need returns what an earlier plug-in offered. Asking for what nobody offers
// is a mistake in the ranks, not a condition of a running system.
func Need[T any](k *Kernel) T {
	v, ok := k.offered[reflect.TypeFor[T]()]
	if !ok {
		panic(fmt.Sprintf("kernel: no plug-in offers %v", reflect.TypeFor[T]()))
	}
	return v.(T)
}

// Supervise puts a service under the supervisor tree.
func (k *Kernel) Supervise(name string, f func(context.Context) error) {
	k.tree.Add(&service{name: name, f: f})
}

// OnLeave registers a step of the orderly end; the steps run side by side.
func (k *Kernel) OnLeave(f func(context.Context)) { k.leaving = append(k.leaving, f) }

// Assemble builds the plug-ins of the kernel's role.
func (k *Kernel) Assemble() error {
	chosen := slices.Clone(plugins)
	slices.SortStableFunc(chosen, func(a, b Plugin) int { return a.Rank - b.Rank })
	for _, p := range chosen {
		if !slices.Contains(p.Roles, k.Role) {
			continue
		}
		if err := p.Build(k); err != nil {
			return fmt.Errorf("kernel: plug-in %s: %w", p.Name, err)
		}
	}
	return nil
}

// OnEnd registers what is done once every service has stopped.
func (k *Kernel) OnEnd(f func() error) { k.ends = append(k.ends, f) }

// Run serves until ctx ends.
func (k *Kernel) Run(ctx context.Context) error {
	err := k.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	for _, f := range k.ends {
		err = errors.Join(err, f())
	}
	return err
}

// Leave runs the steps of the orderly end and returns when all are done or
// ctx is over.
func (k *Kernel) Leave(ctx context.Context) {
	done := make(chan struct{}, len(k.leaving))
	for _, f := range k.leaving {
		go func() {
			f(ctx)
			done <- struct{}{}
		}()
	}
	for range k.leaving {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

type service struct {
	name string
	f    func(context.Context) error
}

func (s *service) Serve(ctx context.Context) error { return s.f(ctx) }
func (s *service) String() string                  { return s.name }
