package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// Durations of database faults.
const (
	maxCrash          = 4 * time.Second
	maxHang           = 1500 * time.Millisecond
	maxDeaf           = 2 * time.Second
	maxMisbehaving    = 3 * time.Second
	maxHeartbeatDelay = 5 * time.Second // latency of heartbeats
	// drainDuration is how long a database that is being removed continues to serve.
	drainDuration = drainBound + time.Second
)

// hang makes a host unresponsive for a while.
func (t *faultInjector) hang(ctx context.Context, ip string, r *rand.Rand) {
	t.cluster.net.Silence(ip, true)
	sleep(ctx, randomDuration(r, maxHang))
	t.cluster.net.Silence(ip, false)
}

// injectDatabaseFault injects one database fault and returns when it is over. It does nothing if
// fewer than three databases of the service are alive and not being removed.
func (t *faultInjector) injectDatabaseFault(ctx context.Context, kind string, r *rand.Rand) error {
	number := r.IntN(len(t.groups))
	g := t.groups[number]
	var alive []*standin.Database
	for _, d := range g.Databases() {
		if d.Alive() && !d.Leaves() {
			alive = append(alive, d)
		}
	}
	if len(alive) < 3 {
		return nil
	}
	d := alive[r.IntN(len(alive))]
	if kind == Crash || kind == Release {
		if !d.Reserve() {
			return nil
		}
		defer d.Release()
	}
	faultNumber := t.traffic.Begin(history.Trouble{Kind: kind, Node: d.ID, Planned: kind == Release, At: t.traffic.Now()})
	defer func() { t.traffic.End(faultNumber) }()
	id := fmt.Sprintf("%s-r%d", g.Service, t.rounds.next())
	switch kind {
	case Crash:
		d.Crash(r.IntN(3) == 0)
		sleep(ctx, randomDuration(r, maxCrash))
		d.Return(id)
	case Release:
		t.replaceDatabase(ctx, g, number, d, id, r)
	case Reset:
		t.cluster.net.Break(d.IP)
	case Hang:
		t.hang(ctx, d.IP, r)
	case Deaf:
		d.SetReplicationStopped(true)
		sleep(ctx, randomDuration(r, maxDeaf))
		if r.IntN(2) == 0 {
			t.crashPrimary(ctx, g, d, id, r)
		}
		d.SetReplicationStopped(false)
	case ProtocolViolation:
		manners := standin.AllManners
		d.Behave(manners[r.IntN(len(manners))], r.Float64()/2)
		sleep(ctx, randomDuration(r, maxMisbehaving))
		d.Behave(standin.WellBehaved, 0)
	}
	return nil
}

// crashPrimary crashes the primary for a while, unless it is the excluded database or another fault
// affects it.
func (t *faultInjector) crashPrimary(ctx context.Context, g *standin.Group, excluded *standin.Database, id string, r *rand.Rand) {
	primary := g.Primary()
	if primary == nil || primary == excluded || !primary.Reserve() {
		return
	}
	defer primary.Release()
	faultNumber := t.traffic.Begin(history.Trouble{Kind: Crash, Node: primary.ID, At: t.traffic.Now()})
	defer func() { t.traffic.End(faultNumber) }()
	primary.Crash(false)
	sleep(ctx, randomDuration(r, maxCrash))
	primary.Return(id)
}

// replaceDatabase replaces a database in a planned way. Some databases leave without announcing
// that they drain, and the heartbeats of some new ones are delayed.
func (t *faultInjector) replaceDatabase(ctx context.Context, g *standin.Group, number int, d *standin.Database, id string, r *rand.Rand) {
	zone := fmt.Sprintf("zone-%d", 1+r.IntN(zones))
	heartbeatDelay := time.Duration(0)
	if r.IntN(2) == 0 {
		heartbeatDelay = randomDuration(r, maxHeartbeatDelay)
	}
	t.adding.Lock()
	g.AddLate(id, address(databaseGroup+number, len(g.Databases())), zone, "replica", heartbeatDelay)
	t.adding.Unlock()
	sleep(ctx, time.Second)
	if r.IntN(3) == 0 {
		d.LeaveAtOnce(drainDuration)
	} else {
		d.Leave(drainDuration, true)
	}
	sleep(ctx, drainDuration+time.Second)
}
