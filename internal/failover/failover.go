// Package failover moves the leadership of a service from one database to another, both when the
// primary fails and when it is being replaced. It acts only in the primary of the control state,
// while that holds its lease; the epoch is the fencing token.
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

// retryInterval is the pause between two attempts at the same step.
const retryInterval = 100 * kernel.Millisecond

// busyRetryInterval is the pause before a database that has no free slot is asked again.
const busyRetryInterval = 15 * kernel.Millisecond

// Errors of this package.
var (
	errRetryLater = errors.New("failover: preconditions not met yet")
	errNotRunning = errors.New("failover: the chosen database is not running")
)

// Config configures a Manager.
type Config struct {
	Name                  string // the name by which this node identifies itself as the duty holder
	Platform              string
	Leaderless            bool // the databases are all alike and none is a leader
	ReaderLease           kernel.Micros
	Dialer                dbconn.Dialer
	RequestTimeout        kernel.Micros // for one response of a database
	HeartbeatWait         kernel.Micros // how long to wait for the heartbeat of a promoted database before querying it
	FirstHeartbeatTimeout kernel.Micros // the longest that a replica may receive commits before its first heartbeat is processed
}

// Manager carries out failovers in the primary of the control state.
type Manager struct {
	k        *kernel.Kernel
	cfg      Config
	state    *controlstate.Replica
	registry *discovery.Registry
	health   *health.Monitor
	readers  *Readers
	platform *platform

	databases *controlstate.Decoder[discovery.Database]
	leaders   *controlstate.Decoder[Leader]
	poolers   *controlstate.Decoder[int64]

	mu                     sync.Mutex
	busy                   map[string]bool          // services that this process is working on
	attempts               map[string]kernel.Micros // when each rate-limited action was last attempted
	waitReasons            map[string]string        // why a service's failover is waiting, by service
	resumed                map[string]*resumeState  // by service
	cached                 *snapshot                // the control state as of cachedEpoch and cachedSeq
	cachedEpoch, cachedSeq int64
	cachedConfig           json.RawMessage // from which the cached snapshot's configuration was decoded
	progress               kernel.Notifier
}

// New returns a failover manager.
func New(k *kernel.Kernel, cfg Config, v *controlstate.Replica, acc *discovery.Registry, health *health.Monitor, readers *Readers) *Manager {
	return &Manager{
		k: k, cfg: cfg, state: v, registry: acc, health: health, readers: readers,
		platform:  newPlatform(k.Net, cfg.Platform, cfg.Name),
		databases: discovery.Decoder(), leaders: Decoder(), poolers: controlstate.NewDecoder[int64](proxyPrefix),
		busy: map[string]bool{}, attempts: map[string]kernel.Micros{}, waitReasons: map[string]string{}, resumed: map[string]*resumeState{},
	}
}

// Serve reconciles the actual state with the desired state whenever either may have changed.
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
	c.readers.BeginTerm(term.FirstEpoch(), s.poolers, c.k.Clock.Now(), c.cfg.ReaderLease)
	c.health.SetKnown(s.known)
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
		case lead.FailoverInProgress || needsFailover(s.services[svc], lead.ID, c.health.Up):
			c.runExclusive(svc, func() error { return c.advanceFailover(ctx, svc) })
		default:
			c.reconcileReplicas(ctx, s, lead)
		}
	}
}

// runExclusive runs f in the background unless work for the same service is already running.
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
		c.progress.NotifyAll()
	}()
}

// adoptLeader records the leader of a service for which there has been no failover yet.
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
	return c.updateLeader(ctx, svc, func(l *Leader) error {
		if l.ID == "" {
			l.ID = found[0]
		}
		return nil
	})
}

// returnedLeader returns the ID of the leader if it crashed and has come back as the same
// primary: with its log, and with no other database promoted in the meantime.
func (s *snapshot) returnedLeader(l Leader) string {
	for _, d := range s.services[l.Service] {
		if d.HadID(l.ID) && s.observed[d.ID].Role == "primary" {
			return d.ID
		}
	}
	return ""
}

// oldPrimary returns the database that a failover moves the service away from, also if it has
// returned under a new ID.
func (s *snapshot) oldPrimary(l Leader) (discovery.Database, bool) {
	id := l.ID
	if back := s.returnedLeader(l); back != "" {
		id = back
	}
	d, ok := s.databases[id]
	return d, ok
}

// restoreLeader makes a database the leader again that has returned under a new ID.
func (c *Manager) restoreLeader(ctx context.Context, s *snapshot, l Leader, id string) error {
	err := c.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && current.ID == l.ID && !current.PlatformCalled {
			*current = current.completed(id, current.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	c.clearWaitReason(l.Service)
	c.k.Log.Info("the leader has returned under a new ID", "service", l.Service, "was", l.ID, "id", id)
	if l.FailoverInProgress {
		c.executeAll(ctx, remaining(s.replicas(l.Service, id)), "CONTINUE")
	}
	return nil
}

// needsFailover reports whether the leader is down, draining or gone and another database of the
// service could take over. A database that is itself draining takes over only if there is no
// running leader.
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
