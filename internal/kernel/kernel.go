// Package kernel is the runtime that every role of indigowalk is built on: a
// registry of plug-ins, the supervisor tree, the interfaces to clock, network
// and disk, and the counters.
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

// Plugin is one component of a role. Packages register their plug-ins in init;
// the kernel builds those of its own role in ascending order of rank.
type Plugin struct {
	Name  string
	Rank  int      // lower ranks are built first
	Roles []string // roles that include the plug-in
	Build func(*Kernel) error
}

var plugins []Plugin

// restartBackoff is how long the supervisor waits before it restarts a service that
// has failed several times.
const restartBackoff = time.Second

// Register adds a plug-in to the process-wide registry.
func Register(p Plugin) { plugins = append(plugins, p) }

// Kernel holds the state and interfaces that the plug-ins of one process share.
type Kernel struct {
	Role     string
	Clock    Clock
	Net      Network
	Sync     Sync
	Counters *Counters
	Log      *slog.Logger
	Recorder *Recorder // nil unless recording is enabled in the settings
	// Invariants checks the invariants of this process.
	Invariants *invariant.Checker

	tree          *suture.Supervisor
	offered       map[reflect.Type]any
	shutdownHooks []func(context.Context)
	exitHooks     []func() error
}

// NewKernel returns a kernel for a process of the given role.
func NewKernel(role string, net Network, log *slog.Logger) *Kernel {
	k := &Kernel{
		Role: role, Clock: NewMonotonicClock(), Net: net, Sync: (*os.File).Sync, Counters: NewCounters(), Log: log,
		offered: map[reflect.Type]any{},
	}
	k.Invariants = invariant.NewChecker(func(name string) { k.Counters.Add(name, 1) }, log)
	k.tree = suture.New("indigowalk-"+role, suture.Spec{
		// A service that keeps failing, for example because its address is still in
		// use, is restarted soon: no other component takes over its work.
		FailureBackoff: restartBackoff,
		EventHook: func(e suture.Event) {
			k.Counters.Add("kernel.supervisor_events", 1)
			log.Warn("supervisor", "event", e.String())
		},
	})
	return k
}

// Offer makes v available, under its type, to plug-ins that are built later.
func Offer[T any](k *Kernel, v T) { k.offered[reflect.TypeFor[T]()] = v }

// Need returns the value of type T that an earlier plug-in offered. It panics if
// there is none: that is a programming error in the ranks, not a runtime condition.
func Need[T any](k *Kernel) T {
	v, ok := k.offered[reflect.TypeFor[T]()]
	if !ok {
		panic(fmt.Sprintf("kernel: no plug-in offers %v", reflect.TypeFor[T]()))
	}
	return v.(T)
}

// Supervise adds a service to the supervisor tree, which restarts it when it fails.
func (k *Kernel) Supervise(name string, serve func(context.Context) error) {
	k.tree.Add(&service{name: name, serve: serve})
}

// OnShutdown registers a hook for graceful shutdown; the hooks run concurrently.
func (k *Kernel) OnShutdown(f func(context.Context)) { k.shutdownHooks = append(k.shutdownHooks, f) }

// Assemble builds the plug-ins of the kernel's role in order of rank.
func (k *Kernel) Assemble() error {
	ordered := slices.Clone(plugins)
	slices.SortStableFunc(ordered, func(a, b Plugin) int { return a.Rank - b.Rank })
	for _, p := range ordered {
		if !slices.Contains(p.Roles, k.Role) {
			continue
		}
		if err := p.Build(k); err != nil {
			return fmt.Errorf("kernel: plug-in %s: %w", p.Name, err)
		}
	}
	return nil
}

// OnExit registers a hook that runs after every service has stopped.
func (k *Kernel) OnExit(f func() error) { k.exitHooks = append(k.exitHooks, f) }

// Run runs the supervised services until ctx ends, then the hooks registered with OnExit.
func (k *Kernel) Run(ctx context.Context) error {
	err := k.tree.Serve(ctx)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	for _, hook := range k.exitHooks {
		err = errors.Join(err, hook())
	}
	return err
}

// Shutdown runs the graceful shutdown hooks and returns when all of them are done
// or ctx ends.
func (k *Kernel) Shutdown(ctx context.Context) {
	done := make(chan struct{}, len(k.shutdownHooks))
	for _, hook := range k.shutdownHooks {
		go func() {
			hook(ctx)
			done <- struct{}{}
		}()
	}
	for range k.shutdownHooks {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
}

// service adapts a function to suture.Service.
type service struct {
	name  string
	serve func(context.Context) error
}

func (s *service) Serve(ctx context.Context) error { return s.serve(ctx) }
func (s *service) String() string                  { return s.name }
