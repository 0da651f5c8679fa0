package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// troubles strike machines and databases, one after the other on each side.
type troubles struct {
	cluster *cluster
	traffic *history.Traffic
	groups  []*standin.Group
	pause   time.Duration
	failed  func(error)
}

// Spans of troubles.
const (
	longestDown   = 2 * time.Second
	longestFreeze = 3 * time.Second
	longestCrash  = 4 * time.Second
	hangSpan      = 1500 * time.Millisecond
	deafSpan      = 2 * time.Second
	// drainsFor is how long a database that leaves serves on.
	drainsFor = drainBound + time.Second
)

var controlKinds = []string{Kill, Freeze, Term, Hup, Wipe, Replace, All}
var databaseKinds = []string{Crash, Release, Reset, Hang, Deaf}

// draw picks a kind of trouble of the plan; "" if none of these may come.
func (t *troubles) draw(r *rand.Rand, kinds []string) string {
	var some []string
	for _, kind := range kinds {
		if t.cluster.plan.has(kind) {
			some = append(some, kind)
		}
	}
	if len(some) == 0 {
		return ""
	}
	return some[r.IntN(len(some))]
}

// machines strikes machines until ctx ends. One that was lost counts as lost for
// catchup after it is back, so the next trouble waits for that.
func (t *troubles) machines(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, t.pause+time.Duration(r.Int64N(int64(time.Second))))
		kind := t.draw(r, controlKinds)
		if kind == "" || ctx.Err() != nil {
			return
		}
		all := t.cluster.all()
		m := all[r.IntN(len(all))]
		if kind == Wipe || kind == Replace || r.IntN(2) == 0 {
			m = t.controlMachine(r)
		}
		down := time.Duration(r.Int64N(int64(longestDown)))
		if err := t.strike(ctx, kind, m, down, r); err != nil {
			t.failed(err)
			return
		}
		if m.control || kind == All {
			sleep(ctx, catchup)
		}
	}
}

func (t *troubles) controlMachine(r *rand.Rand) *machine {
	var some []*machine
	for _, m := range t.cluster.all() {
		if m.control {
			some = append(some, m)
		}
	}
	return some[r.IntN(len(some))]
}

// strike carries one trouble of a machine out, to its end.
func (t *troubles) strike(ctx context.Context, kind string, m *machine, down time.Duration, r *rand.Rand) error {
	noted := t.traffic.Begin(history.Trouble{
		Kind: kind, Node: m.clientAddr(), Control: m.control || kind == All, Planned: kind == Term || kind == Hup, At: t.traffic.Now(),
	})
	defer func() { t.traffic.End(noted) }()
	switch kind {
	case Kill:
		m.kill()
		sleep(ctx, down)
		return t.cluster.startMachine(m, false)
	case Freeze:
		m.signal(syscall.SIGSTOP)
		sleep(ctx, time.Duration(r.Int64N(int64(longestFreeze))))
		m.signal(syscall.SIGCONT)
	case Term:
		m.term()
		sleep(ctx, down/4)
		return t.cluster.startMachine(m, false)
	case Hup:
		return t.hup(m)
	case Wipe:
		m.kill()
		for _, p := range m.procs {
			if err := p.wipe(); err != nil {
				return fmt.Errorf("testbed: %w", err)
			}
		}
		sleep(ctx, down)
		return t.cluster.startMachine(m, false)
	case Replace:
		_, err := t.cluster.replace(m)
		return err
	case All:
		return t.all(ctx, down)
	}
	return nil
}

// hup changes the settings files of a machine and tells its processes.
func (t *troubles) hup(m *machine) error {
	for _, p := range m.procs {
		raw, err := os.ReadFile(p.settings())
		if err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
		if err := p.write(string(raw) + "something.new=1\n"); err != nil {
			return fmt.Errorf("testbed: %w", err)
		}
	}
	m.signal(syscall.SIGHUP)
	return nil
}

// all kills every process at once and starts them again.
func (t *troubles) all(ctx context.Context, down time.Duration) error {
	machines := t.cluster.all()
	for _, m := range machines {
		for _, p := range m.procs {
			p.signal(syscall.SIGKILL, true)
		}
	}
	for _, m := range machines {
		m.kill()
	}
	sleep(ctx, down/2)
	for _, m := range machines {
		if err := t.cluster.startMachine(m, false); err != nil {
			return err
		}
	}
	return nil
}

// databases strikes databases until ctx ends.
func (t *troubles) databases(ctx context.Context, r *rand.Rand) {
	for round := 1; ctx.Err() == nil; round++ {
		sleep(ctx, t.pause+time.Duration(r.Int64N(int64(time.Second))))
		kind := t.draw(r, databaseKinds)
		if kind == "" || ctx.Err() != nil {
			return
		}
		t.strikeDatabase(ctx, kind, t.groups[r.IntN(len(t.groups))], round, r)
		// Until the service is whole again, the next one waits.
		sleep(ctx, t.pause)
	}
}

// strikeDatabase carries one trouble of a database out.
func (t *troubles) strikeDatabase(ctx context.Context, kind string, g *standin.Group, round int, r *rand.Rand) {
	var alive []*standin.Database
	for _, d := range g.Databases() {
		if d.Alive() && !d.Leaves() {
			alive = append(alive, d)
		}
	}
	if len(alive) < 3 {
		return // one is away already
	}
	d := alive[r.IntN(len(alive))]
	noted := t.traffic.Begin(history.Trouble{Kind: kind, Node: d.ID, Planned: kind == Release, At: t.traffic.Now()})
	defer func() { t.traffic.End(noted) }()
	id := fmt.Sprintf("%s-r%d", g.Service, round)
	switch kind {
	case Crash:
		d.Crash(r.IntN(3) == 0)
		sleep(ctx, time.Duration(r.Int64N(int64(longestCrash))))
		d.Return(id)
	case Release:
		g.Add(id, address(databaseGroup+t.number(g), len(g.Databases())), "zone-1", "replica")
		sleep(ctx, time.Second)
		d.Leave(drainsFor, true)
		sleep(ctx, drainsFor+time.Second)
	case Reset:
		t.cluster.net.Break(d.IP)
	case Hang:
		t.cluster.net.Silence(d.IP, true)
		sleep(ctx, hangSpan)
		t.cluster.net.Silence(d.IP, false)
	case Deaf:
		d.Deaf(true)
		sleep(ctx, deafSpan)
		d.Deaf(false)
	}
}

// number is a group's place among the services.
func (t *troubles) number(g *standin.Group) int {
	for i := range t.groups {
		if t.groups[i] == g {
			return i
		}
	}
	return 0
}
