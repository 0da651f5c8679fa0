package testbed

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// faultInjector injects the faults of the plan. Each timeline is a sequence of faults with pauses
// between them, drawn from its own random stream; timelines are independent of each other, so
// that their faults overlap in any combination.
type faultInjector struct {
	cluster  *cluster
	traffic  *history.Traffic
	groups   []*standin.Group   // in a run with poolers
	services []*standin.Service // in a run with gateways
	fail     func(error)

	replacementNumbers counter    // for unique names of restarted and added databases
	addMu              sync.Mutex // held while a database is assigned an address and added, so that addresses are unique
}

// timeline is one sequence of faults.
type timeline struct {
	name   string
	kinds  []string
	inject func(ctx context.Context, kind string, r *rand.Rand) error
}

// counter generates consecutive numbers.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// timelines returns the timelines that have at least one kind of fault in the plan.
func (f *faultInjector) timelines() []timeline {
	databases := f.injectDatabaseFault
	if f.cluster.plan.Tier == Gateway {
		databases = f.injectWorkerFault
	}
	var all []timeline
	for range f.cluster.plan.Timelines {
		all = append(all, timeline{"machines", []string{Kill, Freeze, Term, Hup, Wipe, Replace, KillAll}, f.injectMachineFault})
	}
	all = append(all,
		timeline{"links", []string{CutControl, CutMachine, CutDatabases, CutPrimary, LoseReplies, Datagrams, Delay, ResetLinks, Split}, f.injectLinkFault},
		timeline{"processors", []string{Throttle}, f.injectProcessorFault},
		timeline{"limits", []string{Descriptors, FullDisk, PauseLogReader}, f.injectLimitFault},
		timeline{"databases", []string{Crash, ReplaceDatabase, Reset, Hang, StopReplication, ProtocolViolation}, databases},
		timeline{"databases", []string{Crash, ReplaceDatabase, Reset, Hang, StopReplication, ProtocolViolation}, databases},
		timeline{"clients", []string{MisbehavingClients}, f.injectClientFault},
	)
	if f.cluster.plan.Tier == Pooler {
		all = append(all, timeline{"correlated", []string{LoseZone, ReuseAddress}, f.injectCorrelatedFault})
	}
	var enabled []timeline
	for _, tl := range all {
		if tl.kinds = f.plannedKinds(tl.kinds); len(tl.kinds) > 0 {
			enabled = append(enabled, tl)
		}
	}
	return enabled
}

// controlFaults are the kinds of faults that affect control nodes, or all machines.
var controlFaults = []string{Wipe, Replace, KillAll, CutControl, Split, LoseReplies, Datagrams, FullDisk}

// plannedKinds returns those of the given kinds of faults that the plan lists and allows.
func (f *faultInjector) plannedKinds(kinds []string) (enabled []string) {
	plan := f.cluster.plan
	for _, kind := range kinds {
		if plan.has(kind) && !(plan.SpareControl && slices.Contains(controlFaults, kind)) {
			enabled = append(enabled, kind)
		}
	}
	return enabled
}

// runTimeline injects the faults of one timeline until ctx ends.
func (f *faultInjector) runTimeline(ctx context.Context, tl timeline, r *rand.Rand) {
	mean := float64(f.cluster.plan.PauseMs) * float64(time.Millisecond)
	for {
		sleep(ctx, time.Duration(mean*r.ExpFloat64()))
		if ctx.Err() != nil {
			return
		}
		if err := tl.inject(ctx, tl.kinds[r.IntN(len(tl.kinds))], r); err != nil {
			f.fail(err)
			return
		}
	}
}

// databaseHosts returns the addresses of all databases and workers as keys. The value is true for those
// of the service with the given index, and for all if the index is negative.
func (f *faultInjector) databaseHosts(service int) map[string]bool {
	set := map[string]bool{}
	for i, g := range f.groups {
		for _, d := range g.Databases() {
			set[d.IP] = set[d.IP] || service < 0 || service == i
		}
	}
	for i, s := range f.services {
		for _, d := range s.Workers() {
			set[d.IP] = set[d.IP] || service < 0 || service == i
		}
	}
	return set
}

// recordFault records the start of a fault of a machine; local says that the fault affects the machine's
// processes or its links to clients. The returned function records the end.
func (f *faultInjector) recordFault(kind string, m *machine, local bool) (end func()) {
	faultNumber := f.traffic.BeginFault(history.Fault{
		Kind: kind, Node: m.clientAddr(), DependencyOnly: !local, Control: m.control, Planned: kind == Term || kind == Hup, At: f.traffic.Now(),
	})
	return func() { f.traffic.EndFault(faultNumber) }
}

// randomDuration returns a random duration below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
