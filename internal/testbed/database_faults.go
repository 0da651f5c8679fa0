package testbed

import (
	"context"
	"math/rand/v2"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// Durations of the faults of databases.
const (
	maxCrashTime         = 4 * time.Second
	maxHangTime          = 1500 * time.Millisecond
	maxReplicationStop   = 2 * time.Second
	maxProtocolViolation = 3 * time.Second
	maxHeartbeatDelay    = 5 * time.Second // transit time of a new database's heartbeats
	// drainDuration is how long a database that is being removed continues to serve.
	drainDuration = drainBound + time.Second
)

// hangHost makes a host unresponsive for a while.
func (f *faultInjector) hangHost(ctx context.Context, ip string, r *rand.Rand) {
	f.cluster.loopback.Silence(ip, true)
	sleep(ctx, randomDuration(r, maxHangTime))
	f.cluster.loopback.Silence(ip, false)
}

// injectDatabaseFault injects one fault into a database of a random service and returns when the fault
// is over. It does nothing if fewer than three databases of the service are alive and not draining.
func (f *faultInjector) injectDatabaseFault(ctx context.Context, kind string, r *rand.Rand) error {
	serviceIndex := r.IntN(len(f.groups))
	g := f.groups[serviceIndex]
	var candidates []*standin.Database
	for _, d := range g.Databases() {
		if d.Alive() && !d.Draining() {
			candidates = append(candidates, d)
		}
	}
	if len(candidates) < 3 {
		return nil
	}
	d := candidates[r.IntN(len(candidates))]
	if kind == Crash || kind == ReplaceDatabase {
		if !d.Reserve() {
			return nil
		}
		defer d.Release()
	}
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: kind, Node: d.ID, Planned: kind == ReplaceDatabase, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	id := f.databaseID(g)
	switch kind {
	case Crash:
		d.Crash(r.IntN(3) == 0)
		sleep(ctx, randomDuration(r, maxCrashTime))
		d.Restart(id)
	case ReplaceDatabase:
		f.replaceDatabase(ctx, serviceIndex, d, r)
	case Reset:
		f.cluster.loopback.ResetConns(d.IP)
	case Hang:
		f.hangHost(ctx, d.IP, r)
	case StopReplication:
		d.SetReplicationStopped(true)
		sleep(ctx, randomDuration(r, maxReplicationStop))
		if r.IntN(2) == 0 {
			f.crashPrimary(ctx, g, d, id, r)
		}
		d.SetReplicationStopped(false)
	case ProtocolViolation:
		choices := standin.AllMisbehaviors
		d.InjectMisbehavior(choices[r.IntN(len(choices))], r.Float64()/2)
		sleep(ctx, randomDuration(r, maxProtocolViolation))
		d.InjectMisbehavior(standin.NoMisbehavior, 0)
	}
	return nil
}

// crashPrimary crashes the primary for a while, unless it is the excluded database or another fault
// affects it.
func (f *faultInjector) crashPrimary(ctx context.Context, g *standin.Group, excluded *standin.Database, id string, r *rand.Rand) {
	primary := g.Primary()
	if primary == nil || primary == excluded || !primary.Reserve() {
		return
	}
	defer primary.Release()
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: Crash, Node: primary.ID, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	primary.Crash(false)
	sleep(ctx, randomDuration(r, maxCrashTime))
	primary.Restart(id)
}

// replaceDatabase adds a database and then drains and removes the given one. Some databases deregister
// without reporting that they drain, and the heartbeats of some new ones are delayed.
func (f *faultInjector) replaceDatabase(ctx context.Context, serviceIndex int, d *standin.Database, r *rand.Rand) {
	heartbeatDelay := time.Duration(0)
	if r.IntN(2) == 0 {
		heartbeatDelay = randomDuration(r, maxHeartbeatDelay)
	}
	f.addReplica(serviceIndex, heartbeatDelay, r)
	sleep(ctx, time.Second)
	if r.IntN(3) == 0 {
		d.DeregisterAndStop(drainDuration)
	} else {
		d.DrainAndStop(drainDuration, true)
	}
	sleep(ctx, drainDuration+time.Second)
}
