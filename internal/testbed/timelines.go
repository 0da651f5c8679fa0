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
	failed   func(error)

	rounds rounds
	adding sync.Mutex // held while a database is assigned an address and added
}

// timeline is one sequence of faults.
type timeline struct {
	name   string
	kinds  []string
	inject func(ctx context.Context, kind string, r *rand.Rand) error
}

// rounds numbers faults, so that each replacement database gets a unique name.
type rounds struct {
	mu sync.Mutex
	n  int
}

func (r *rounds) next() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	return r.n
}

// timelines returns the timelines that have at least one kind of fault in the plan.
func (t *faultInjector) timelines() []timeline {
	databases := t.injectDatabaseFault
	if t.cluster.plan.Tier == Gateway {
		databases = t.injectWorkerFault
	}
	var all []timeline
	for range t.cluster.plan.Timelines {
		all = append(all, timeline{"machines", []string{Kill, Freeze, Term, Hup, Wipe, Replace, All}, t.injectMachineFault})
	}
	all = append(all,
		timeline{"links", []string{CutCore, CutCarrier, CutDatabases, CutPrimary, LoseReplies, Datagrams, Delay, ResetLinks, Split}, t.injectLinkFault},
		timeline{"processors", []string{Throttle}, t.injectProcessorFault},
		timeline{"limits", []string{Descriptors, FullDisk, LogReader}, t.injectLimitFault},
		timeline{"databases", []string{Crash, Release, Reset, Hang, Deaf, ProtocolViolation}, databases},
		timeline{"databases", []string{Crash, Release, Reset, Hang, Deaf, ProtocolViolation}, databases},
		timeline{"clients", []string{MisbehavingClients}, t.injectClientFault},
	)
	var enabled []timeline
	for _, line := range all {
		if line.kinds = t.planned(line.kinds); len(line.kinds) > 0 {
			enabled = append(enabled, line)
		}
	}
	return enabled
}

// controlFaults are the kinds of faults that affect control nodes, or all machines.
var controlFaults = []string{Wipe, Replace, All, CutCore, Split, LoseReplies, Datagrams, FullDisk}

// planned returns those of the given kinds of faults that the plan allows.
func (t *faultInjector) planned(kinds []string) (enabled []string) {
	plan := t.cluster.plan
	for _, kind := range kinds {
		if plan.has(kind) && !(plan.SpareControl && slices.Contains(controlFaults, kind)) {
			enabled = append(enabled, kind)
		}
	}
	return enabled
}

// run runs one timeline until ctx ends.
func (t *faultInjector) run(ctx context.Context, line timeline, r *rand.Rand) {
	mean := float64(t.cluster.plan.PauseMs) * float64(time.Millisecond)
	for {
		sleep(ctx, time.Duration(mean*r.ExpFloat64()))
		if ctx.Err() != nil {
			return
		}
		if err := line.inject(ctx, line.kinds[r.IntN(len(line.kinds))], r); err != nil {
			t.failed(err)
			return
		}
	}
}

// databaseHosts returns the addresses of all databases; true marks those of the service with the
// given number, or all if it is negative.
func (t *faultInjector) databaseHosts(service int) map[string]bool {
	set := map[string]bool{}
	for i, g := range t.groups {
		for _, d := range g.Databases() {
			set[d.IP] = set[d.IP] || service < 0 || service == i
		}
	}
	for i, s := range t.services {
		for _, d := range s.Workers() {
			set[d.IP] = set[d.IP] || service < 0 || service == i
		}
	}
	return set
}

// recordFault records the start of a fault of a machine; own says that it affects the machine's own
// processes or its links to clients. The returned function records the end.
func (t *faultInjector) recordFault(kind string, m *machine, own bool) (over func()) {
	number := t.traffic.Begin(history.Trouble{
		Kind: kind, Node: m.clientAddr(), Elsewhere: !own, Control: m.control, Planned: kind == Term || kind == Hup, At: t.traffic.Now(),
	})
	return func() { t.traffic.End(number) }
}

// randomDuration returns a random duration below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(limit)))
}
