package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"indigowalk/internal/history"
	"indigowalk/internal/standin"
)

// Durations of the faults that affect several things at once.
const (
	maxZoneDowntime = 5 * time.Second
	maxReplicaLag   = 60 * time.Millisecond
	maxShortLife    = time.Second // of a database that is lost soon after its start
	// addressReuseDelay is how long the address of a lost database stays unused.
	addressReuseDelay = 2 * time.Second
	// addedDatabaseLife is how long a database that a fault adds is needed.
	addedDatabaseLife = 10 * time.Second
)

// injectCorrelatedFault injects one fault that affects several things at once, and returns when it is
// over.
func (f *faultInjector) injectCorrelatedFault(ctx context.Context, kind string, r *rand.Rand) error {
	if kind == LoseZone {
		return f.loseZone(ctx, r)
	}
	return f.reuseAddress(ctx, r)
}

// loseZone starts a replica whose heartbeats are delayed, and then loses a zone: the primary of a random
// service, while the other replicas are behind, and all machines in its zone. It does nothing if that
// is not permitted now.
func (f *faultInjector) loseZone(ctx context.Context, r *rand.Rand) error {
	serviceIndex := r.IntN(len(f.groups))
	g := f.groups[serviceIndex]
	primary := g.Primary()
	if primary == nil || !primary.Reserve() {
		return nil
	}
	defer primary.Release()
	machines, release := f.acquireZone(primary.Zone())
	if machines == nil {
		return nil
	}
	defer release()
	added := f.addReplica(serviceIndex, randomDuration(r, maxHeartbeatDelay), r)
	added.Reserve() // it is stopped below
	defer added.DrainAndStop(drainDuration, true)
	sleep(ctx, randomDuration(r, time.Second))
	defer f.recordZoneLoss(machines, primary)()
	f.crashAhead(ctx, g, primary, added, r)
	for _, m := range machines {
		m.kill()
	}
	sleep(ctx, randomDuration(r, maxZoneDowntime))
	primary.Restart(f.databaseID(g))
	for _, m := range machines {
		if err := f.cluster.startMachine(m, false); err != nil {
			return err
		}
	}
	sleep(ctx, addedDatabaseLife)
	return nil
}

// acquireZone reserves the machines of a zone for a fault, nil if that is not possible now.
func (f *faultInjector) acquireZone(zone string) (machines []*machine, release func()) {
	release = func() {
		for _, m := range machines {
			f.cluster.lossLimiter.release(m)
			m.lifecycle.Unlock()
		}
	}
	for _, m := range f.cluster.currentMachines() {
		if m.zone != zone {
			continue
		}
		if m.control && f.cluster.plan.SpareControl || !m.lifecycle.TryLock() {
			release()
			return nil, nil
		}
		if !f.cluster.lossLimiter.tryAcquire(m) {
			m.lifecycle.Unlock()
			release()
			return nil, nil
		}
		machines = append(machines, m)
	}
	return machines, release
}

// recordZoneLoss records the start of the loss of a zone. The returned function records the end.
func (f *faultInjector) recordZoneLoss(machines []*machine, primary *standin.Database) (end func()) {
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: LoseZone, Node: primary.ID, At: f.traffic.Now()})
	ends := []func(){func() { f.traffic.EndFault(faultNumber) }}
	for _, m := range machines {
		ends = append(ends, f.recordFault(LoseZone, m, true))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// crashAhead crashes a primary while all replicas but one are behind.
func (f *faultInjector) crashAhead(ctx context.Context, g *standin.Group, primary, ahead *standin.Database, r *rand.Rand) {
	var behind []*standin.Database
	for _, d := range g.Databases() {
		if d != primary && d != ahead {
			d.SetReplicationStopped(true)
			behind = append(behind, d)
		}
	}
	sleep(ctx, randomDuration(r, maxReplicaLag))
	primary.Crash(r.IntN(3) == 0)
	for _, d := range behind {
		d.SetReplicationStopped(false)
	}
}

// addReplica starts a replica of a service whose heartbeats take the given time to arrive.
func (f *faultInjector) addReplica(serviceIndex int, heartbeatDelay time.Duration, r *rand.Rand) *standin.Database {
	f.addMu.Lock()
	defer f.addMu.Unlock()
	g := f.groups[serviceIndex]
	zone := fmt.Sprintf("zone-%d", 1+r.IntN(zoneCount))
	return g.AddDelayed(f.databaseID(g), address(databaseGroup+serviceIndex, len(g.Databases())), zone, "replica", heartbeatDelay)
}

// databaseID returns an ID for a database that is started or restarted.
func (f *faultInjector) databaseID(g *standin.Group) string {
	return fmt.Sprintf("%s-r%d", g.Service, f.replacementNumbers.next())
}

// reuseAddress starts a database whose heartbeats are delayed and loses it soon after. A replica of a
// random service takes over its address, and alone is not behind when its primary crashes later.
func (f *faultInjector) reuseAddress(ctx context.Context, r *rand.Rand) error {
	former := f.addReplica(r.IntN(len(f.groups)), randomDuration(r, maxHeartbeatDelay), r)
	if !former.Reserve() {
		return nil // another fault affects it already
	}
	sleep(ctx, randomDuration(r, maxShortLife))
	former.Crash(false)
	sleep(ctx, addressReuseDelay)
	g := f.groups[r.IntN(len(f.groups))]
	added := g.Add(f.databaseID(g), former.IP, former.Zone(), "replica")
	added.Reserve() // it is stopped below
	defer added.DrainAndStop(drainDuration, true)
	sleep(ctx, maxHeartbeatDelay)
	primary := g.Primary()
	if primary == nil || primary == added || !primary.Reserve() {
		return nil
	}
	defer primary.Release()
	faultNumber := f.traffic.BeginFault(history.Fault{Kind: ReuseAddress, Node: primary.ID, At: f.traffic.Now()})
	defer func() { f.traffic.EndFault(faultNumber) }()
	f.crashAhead(ctx, g, primary, added, r)
	sleep(ctx, randomDuration(r, maxCrashTime))
	primary.Restart(f.databaseID(g))
	sleep(ctx, addedDatabaseLife)
	return nil
}
