// Package failover moves the leadership of a service from one database to another, both when the
// leader has failed and when it is being replaced. Every control node runs a Manager, but only the
// one at the primary of the control state acts, while it holds its lease; the epoch of the control
// state is the fencing token.
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

// busyRetryInterval is the pause before a database that has no free slot is queried again.
const busyRetryInterval = 15 * kernel.Millisecond

// Errors of this package.
var (
	errRetryLater = errors.New("failover: preconditions not met yet")
	errNotRunning = errors.New("failover: the chosen database is not running")
)

// Config configures a Manager.
type Config struct {
	Name                  string // by which this node identifies itself to the platform as the duty holder
	PlatformAddr          string
	Leaderless            bool          // the databases of a service are all alike, and none is the leader
	ReadLease             kernel.Micros // duration of a read lease
	Dialer                dbconn.Dialer
	RequestTimeout        kernel.Micros // for one response of a database
	HeartbeatWait         kernel.Micros // a promoted database that has sent no heartbeat for this long is queried
	DrainTime             kernel.Micros // how long a leaving database serves on
	FirstHeartbeatTimeout kernel.Micros // upper bound of the time that a replica receives commits before its first heartbeat is processed
}

// Manager carries out failovers while this control node is the primary of the control state.
type Manager struct {
	k            *kernel.Kernel
	cfg          Config
	controlState *controlstate.Replica
	registry     *discovery.Registry
	health       *health.Monitor
	readLeases   *ReadLeases
	platform     *platformClient

	databaseDecoder *controlstate.Decoder[discovery.Database]
	leaderDecoder   *controlstate.Decoder[Leader]
	poolerDecoder   *controlstate.Decoder[int64]

	mu                     sync.Mutex
	busy                   map[string]bool          // keys for which runExclusive is running work
	attempts               map[string]kernel.Micros // by key, the times kept by attemptDue and elapsedSinceFirst
	waitReasons            map[string]string        // why a service's failover is waiting, by service
	resumed                map[string]*resumeState  // by service
	cached                 *snapshot                // the control state as of cachedEpoch and cachedSeq
	cachedEpoch, cachedSeq int64
	cachedConfig           json.RawMessage // from which the cached snapshot's configuration was decoded
	workDone               kernel.Notifier // notified whenever runExclusive has finished some work
}

// New returns a failover manager.
func New(k *kernel.Kernel, cfg Config, state *controlstate.Replica, registry *discovery.Registry, health *health.Monitor, readLeases *ReadLeases) *Manager {
	return &Manager{
		k: k, cfg: cfg, controlState: state, registry: registry, health: health, readLeases: readLeases,
		platform:        newPlatformClient(k.Net, cfg.PlatformAddr, cfg.Name),
		databaseDecoder: discovery.Decoder(), leaderDecoder: LeaderDecoder(), poolerDecoder: controlstate.NewDecoder[int64](proxyPrefix),
		busy: map[string]bool{}, attempts: map[string]kernel.Micros{}, waitReasons: map[string]string{}, resumed: map[string]*resumeState{},
	}
}

// Serve reconciles the databases with the control state whenever either may have changed.
func (m *Manager) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		stateChanged, healthChanged, rolesChanged, workDone := m.controlState.Changed(), m.health.Changed(), m.registry.Changed(), m.workDone.Wait()
		m.reconcile()
		timer := time.NewTimer((500 * kernel.Millisecond).Duration())
		select {
		case <-ctx.Done():
		case <-stateChanged:
		case <-healthChanged:
		case <-rolesChanged:
		case <-workDone:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// reconcile examines the current state once, and starts the work that it requires.
func (m *Manager) reconcile() {
	term, err := m.controlState.Term()
	if err != nil {
		return
	}
	ctx := term.Context()
	s, err := m.loadSnapshot()
	if err != nil {
		if !errors.Is(err, controlstate.ErrNotPrimary) {
			m.k.Counters.Add("failover.unreadable", 1)
		}
		return
	}
	m.readLeases.BeginTerm(term.FirstEpoch(), s.poolers, m.k.Clock.Now(), m.cfg.ReadLease)
	m.health.SetDatabases(s.databaseIDs)
	m.removeExpiredProxies(ctx)
	if m.cfg.Leaderless {
		m.removeDatabases(ctx, s)
		return
	}
	m.readLeases.SetServicesWithLeader(slices.Collect(maps.Keys(s.leaders)))
	for svc := range s.services {
		m.recordEnded(ctx, s, svc)
		leader, recorded := s.leaders[svc]
		switch returnedID := s.returnedLeader(leader); {
		case recorded && returnedID != "" && !leader.PlatformCalled:
			m.runExclusive(svc, func() error { return m.restoreLeader(ctx, s, leader, returnedID) })
		case !recorded:
			m.runExclusive(svc, func() error { return m.adoptLeader(ctx, s, svc) })
		case leader.FailoverInProgress || needsFailover(s.services[svc], leader.ID, m.health.Up):
			m.runExclusive(svc, func() error { return m.advanceFailover(ctx, svc) })
		default:
			m.reconcileReplicas(ctx, s, leader)
		}
	}
}

// runExclusive runs work in the background unless other work for the same service is running.
func (m *Manager) runExclusive(svc string, work func() error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[svc] {
		return
	}
	m.busy[svc] = true
	go func() {
		err := work()
		if err != nil {
			if !errors.Is(err, errRetryLater) {
				m.k.Counters.Add("failover.setbacks", 1)
			}
			time.Sleep(retryInterval.Duration())
		}
		m.mu.Lock()
		delete(m.busy, svc)
		m.mu.Unlock()
		m.workDone.NotifyAll()
	}()
}

// adoptLeader records the first leader of a service: the one database that reports the role of the
// primary.
func (m *Manager) adoptLeader(ctx context.Context, s *snapshot, svc string) error {
	var primaries []string
	for _, d := range s.replicas(svc, "") {
		if s.observed[d.ID].Role == "primary" {
			primaries = append(primaries, d.ID)
		}
	}
	if len(primaries) != 1 {
		return errRetryLater
	}
	m.k.Log.Info("lead adopted", "service", svc, "id", primaries[0])
	return m.updateLeader(ctx, svc, func(l *Leader) error {
		if l.ID == "" {
			l.ID = primaries[0]
		}
		return nil
	})
}

// returnedLeader returns the new ID of the leader if it has restarted after a crash and is still
// the primary: it has kept its log, and no other database was promoted in the meantime.
func (s *snapshot) returnedLeader(l Leader) string {
	for _, d := range s.services[l.Service] {
		if d.HadID(l.ID) && s.observed[d.ID].Role == "primary" {
			return d.ID
		}
	}
	return ""
}

// oldPrimary returns the database from which a failover moves the leadership, even if that has
// restarted under a new ID.
func (s *snapshot) oldPrimary(l Leader) (discovery.Database, bool) {
	id := l.ID
	if returnedID := s.returnedLeader(l); returnedID != "" {
		id = returnedID
	}
	d, ok := s.databases[id]
	return d, ok
}

// restoreLeader records the new ID of a leader that has restarted as the primary. It ends a
// failover that was in progress.
func (m *Manager) restoreLeader(ctx context.Context, s *snapshot, l Leader, id string) error {
	err := m.updateLeader(ctx, l.Service, func(current *Leader) error {
		if current.FailoverID == l.FailoverID && current.ID == l.ID && !current.PlatformCalled {
			*current = current.completed(id, current.Term)
		}
		return nil
	})
	if err != nil {
		return err
	}
	m.clearWaitReason(l.Service)
	m.k.Log.Info("the leader has returned under a new ID", "service", l.Service, "was", l.ID, "id", id)
	if l.FailoverInProgress {
		m.executeAll(ctx, notLeaving(s.replicas(l.Service, id)), "CONTINUE")
	}
	return nil
}

// needsFailover reports whether the leader is down, draining or gone and another database of the
// service can be promoted. A draining database is promoted only if the leader is not running.
func needsFailover(dbs []discovery.Database, leaderID string, up func(id string) bool) bool {
	leaderUp := false
	for _, d := range dbs {
		if d.ID != leaderID || d.Gone || !up(leaderID) {
			continue
		}
		if leaderUp = true; !d.Draining {
			return false
		}
	}
	return slices.ContainsFunc(dbs, func(candidate discovery.Database) bool {
		return candidate.ID != leaderID && !candidate.Gone && up(candidate.ID) && !(leaderUp && candidate.Draining)
	})
}
