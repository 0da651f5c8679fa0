// Package failover moves the lead of a service from one database to another:
// when the primary fails and when it is to be replaced. It works only in the
// control state's primary, under its lease, and the epoch is its fence.
package failover

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/dbconn"
	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/kernel"
)

// retryInterval is between two tries at the same step.
const retryInterval = 100 * kernel.Millisecond

// busyRetryInterval is before a database that has no slot free is asked again.
const busyRetryInterval = 15 * kernel.Millisecond

// Errors of this layer.
var (
	errRetryLater     = errors.New("failover: not yet")
	errNotRunning = errors.New("failover: the chosen database does not run")
)

// Config is what a failover manager is built from.
type Config struct {
	Name        string // duty holder
	Platform    string
	Leaderless    bool // databases are all alike: none leads
	ReaderLease kernel.Micros
	Dialer      dbconn.Dialer
	RequestTimeout     kernel.Micros // for one answer of a database
	HeartbeatWait    kernel.Micros // for the beat of a promoted database, before it is asked
	FirstHeartbeatTimeout   kernel.Micros // the longest that a replica may receive before its first beat is taken
}

// Manager moves leads, at the control state's primary.
type Manager struct {
	k        *kernel.Kernel
	cfg      Config
	state        *controlstate.Replica
	registry      *discovery.Registry
	health   *health.Monitor
	readers  *Readers
	platform *platform

	databases *controlstate.Decoded[discovery.Database]
	leaders     *controlstate.Decoded[Lead]
	poolers   *controlstate.Decoded[int64]

	mu                 sync.Mutex
	busy               map[string]bool          // services being moved by this process
	attempts              map[string]kernel.Micros // when what is paced was last tried
	waitReasons              map[string]string        // why a service's move waits
	resumed              map[string]*resumeState        // by service
	cached               *snapshot                // the control state of seenEpoch and seenSeq
	cachedEpoch, cachedSeq int64
	cachedConfig            json.RawMessage // that the snapshot's configuration was read from
	progress           kernel.Bell
}

// New returns a failover manager.
func New(k *kernel.Kernel, cfg Config, v *controlstate.Replica, acc *discovery.Registry, health *health.Monitor, readers *Readers) *Manager {
	return &Manager{
		k: k, cfg: cfg, state: v, registry: acc, health: health, readers: readers,
		platform:  newPlatform(k.Net, cfg.Platform, cfg.Name),
		databases: discovery.Decoder(), leaders: Decoder(), poolers: controlstate.NewDecoded[int64](proxyPrefix),
		busy: map[string]bool{}, attempts: map[string]kernel.Micros{}, waitReasons: map[string]string{}, resumed: map[string]*resumeState{},
	}
}

// Serve compares what is with what is wanted whenever either may have changed.
func (c *Manager) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		vc, hc, ac, pc := c.state.Changed(), c.health.Changed(), c.registry.Changed(), c.progress.Wait()
		c.reconcile()
		t := time.NewTimer((500 * kernel.Millisecond).Duration())
		select {
		case <-ctx.Done():
		case <-vc:
		case <-hc:
		case <-ac:
		case <-pc:
		case <-t.C:
		}
		t.Stop()
	}
	return nil
}

func (c *Manager) reconcile() {
	term, err := c.state.Term()
	if err != nil {
		return
	}
	ctx := term.Context()
	s, err := c.loadSnapshot()
	if err != nil {
		if !errors.Is(err, controlstate.ErrNotPrimary) {
			c.k.Counters.Add("failover.unreadable", 1)
		}
		return
	}
	c.readers.Term(term.Began(), s.poolers, c.k.Clock.Now(), c.cfg.ReaderLease)
	c.health.Keep(s.known)
	c.removeReaders(ctx)
	if c.cfg.Leaderless {
		c.removeDatabases(ctx, s)
		return
	}
	c.readers.SetLedServices(slices.Collect(maps.Keys(s.leaders)))
	for svc := range s.services {
		lead, known := s.leaders[svc]
		switch back := s.returnedLeader(lead); {
		case known && back != "" && !lead.PlatformCalled:
			c.runExclusive(svc, func() error { return c.restoreLeader(ctx, s, lead, back) })
		case !known:
			c.runExclusive(svc, func() error { return c.adoptLeader(ctx, s, svc) })
		case lead.Moving || needsFailover(s.services[svc], lead.ID, c.health.Up):
			c.runExclusive(svc, func() error { return c.advanceFailover(ctx, svc) })
		default:
			c.reconcileReplicas(ctx, s, lead)
		}
	}
}

// runExclusive runs one piece of work at a time for each service.
func (c *Manager) runExclusive(svc string, f func() error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[svc] {
		return
	}
	c.busy[svc] = true
	go func() {
		err := f()
		if err != nil {
			if !errors.Is(err, errRetryLater) {
				c.k.Counters.Add("failover.setbacks", 1)
			}
			time.Sleep(retryInterval.Duration())
		}
		c.mu.Lock()
		delete(c.busy, svc)
		c.mu.Unlock()
		c.progress.Ring()
	}()
}

// adoptLeader notes who leads a service that nobody has moved yet.
func (c *Manager) adoptLeader(ctx context.Context, s *snapshot, svc string) error {
	var found []string
	for _, d := range s.replicas(svc, "") {
		if s.observed[d.ID].Role == "primary" {
			found = append(found, d.ID)
		}
	}
	if len(found) != 1 {
		return errRetryLater
	}
	c.k.Log.Info("lead adopted", "service", svc, "id", found[0])
	return c.updateLeader(ctx, svc, func(l *Lead) error {
		if l.ID == "" {
			l.ID = found[0]
		}
		return nil
	})
}

// returnedLeader finds the lead that crashed and is back, as the primary that it
// was: with its log, and nobody promoted meanwhile.
func (s *snapshot) returnedLeader(l Lead) string {
	for _, d := range s.services[l.Service] {
		if d.HadID(l.ID) && s.observed[d.ID].Role == "primary" {
			return d.ID
		}
	}
	return ""
}

// oldPrimary finds the database that a service is led away from, also under the id
// with which it returned.
func (s *snapshot) oldPrimary(l Lead) (discovery.Database, bool) {
	id := l.ID
	if back := s.returnedLeader(l); back != "" {
		id = back
	}
	d, ok := s.databases[id]
	return d, ok
}

// restoreLeader gives the lead back to a database that returned under a new id.
func (c *Manager) restoreLeader(ctx context.Context, s *snapshot, l Lead, id string) error {
	err := c.updateLeader(ctx, l.Service, func(now *Lead) error {
		if now.Turn == l.Turn && now.ID == l.ID && !now.PlatformCalled {
			*now = now.completed(id, now.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.clearWaitReason(l.Service)
	c.k.Log.Info("lead returned", "service", l.Service, "was", l.ID, "id", id)
	if l.Moving {
		c.executeAll(ctx, remaining(s.replicas(l.Service, id)), "CONTINUE")
	}
	return nil
}

// needsFailover: of the databases of a service the lead is down, drains or is gone,
// and someone could follow. One that leaves too follows only where there is no
// lead at all.
func needsFailover(dbs []discovery.Database, lead string, up func(id string) bool) bool {
	runs := false
	for _, d := range dbs {
		if d.ID != lead || d.Gone || !up(lead) {
			continue
		}
		if runs = true; !d.Draining {
			return false
		}
	}
	return slices.ContainsFunc(dbs, func(r discovery.Database) bool {
		return r.ID != lead && !r.Gone && up(r.ID) && !(runs && r.Draining)
	})
}
