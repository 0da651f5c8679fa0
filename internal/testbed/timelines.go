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

// troubles strike as the plan says. Each timeline is a row of troubles with pauses
// between, drawn from a stream of its own; timelines know nothing of each other, so that
// their troubles overlap in any way.
type troubles struct {
	cluster  *cluster
	traffic  *history.Traffic
	groups   []*standin.Group   // where poolers stand in front
	services []*standin.Service // where gateways do
	failed   func(error)

	rounds rounds
	adding sync.Mutex // held while a database gets an address and is added with it
}

// timeline is one row of troubles.
type timeline struct {
	name   string
	kinds  []string
	strike func(ctx context.Context, kind string, r *rand.Rand) error
}

// rounds numbers troubles, so that what comes new has a name of its own.
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

// timelines are those of the plan that have any kind of trouble.
func (t *troubles) timelines() []timeline {
	databases := t.strikeDatabase
	if t.cluster.plan.Tier == Gateway {
		databases = t.strikeWorker
	}
	var all []timeline
	for range t.cluster.plan.Timelines {
		all = append(all, timeline{"machines", []string{Kill, Freeze, Term, Hup, Wipe, Replace, All}, t.strikeMachine})
	}
	all = append(all,
		timeline{"links", []string{CutCore, CutCarrier, CutDatabases, CutPrimary, LoseReplies, Datagrams, Delay, ResetLinks, Split}, t.strikeLinks},
		timeline{"processors", []string{Throttle}, t.strikeProcessors},
		timeline{"limits", []string{Descriptors, FullDisk, LogReader}, t.strikeLimits},
		timeline{"databases", []string{Crash, Release, Reset, Hang, Deaf, Manners}, databases},
		timeline{"databases", []string{Crash, Release, Reset, Hang, Deaf, Manners}, databases},
		timeline{"clients", []string{Rude}, t.strikeClients},
	)
	var some []timeline
	for _, line := range all {
		if line.kinds = t.planned(line.kinds); len(line.kinds) > 0 {
			some = append(some, line)
		}
	}
	return some
}

// strikesControl are the kinds of trouble that strike control nodes, or everybody.
var strikesControl = []string{Wipe, Replace, All, CutCore, Split, LoseReplies, Datagrams, FullDisk}

// planned are those kinds of trouble that the plan lets come.
func (t *troubles) planned(kinds []string) (some []string) {
	plan := t.cluster.plan
	for _, kind := range kinds {
		if plan.has(kind) && !(plan.SpareControl && slices.Contains(strikesControl, kind)) {
			some = append(some, kind)
		}
	}
	return some
}

// run plays one timeline until ctx ends.
func (t *troubles) run(ctx context.Context, line timeline, r *rand.Rand) {
	mean := float64(t.cluster.plan.PauseMs) * float64(time.Millisecond)
	for {
		sleep(ctx, time.Duration(mean*r.ExpFloat64()))
		if ctx.Err() != nil {
			return
		}
		if err := line.strike(ctx, line.kinds[r.IntN(len(line.kinds))], r); err != nil {
			t.failed(err)
			return
		}
	}
}

// hosts are the databases of a service, by its number, or of all below 0.
func (t *troubles) hosts(service int) map[string]bool {
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

// note notes a trouble of a machine that goes on; own says that it strikes its processes
// or its links to clients. The returned function ends it.
func (t *troubles) note(kind string, m *machine, own bool) (over func()) {
	number := t.traffic.Begin(history.Trouble{
		Kind: kind, Node: m.clientAddr(), Elsewhere: !own, Control: m.control, Planned: kind == Term || kind == Hup, At: t.traffic.Now(),
	})
	return func() { t.traffic.End(number) }
}

// span draws a time of up to most.
func span(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}
