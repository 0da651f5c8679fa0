package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/discovery"
	"indigowalk/internal/failover"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/rpc"
)

// ErrNoLease says that nothing may be sent to a primary now: there is none, it is being
// replaced, or this proxy's read lease has expired.
var ErrNoLease = errors.New("distribution: no read lease on a primary")

// ErrDatabaseUnavailable says that a database was removed, or is draining and may not be sent
// requests any more.
var ErrDatabaseUnavailable = errors.New("distribution: the database is draining or removed")

// leaseMargin is kept between the check of the lease and its expiry.
const leaseMargin = 50 * kernel.Millisecond

// fullStateWait is added to the poll timeout of a proxy that has no state yet and waits for the
// full one.
const fullStateWait = 2 * kernel.Second

// referralHoldoff is how long, after a failed poll of a control node, referrals back to that
// node are ignored. They are followed again afterwards: the failure may have been a lost packet,
// and a control node that this proxy does not know as a member is found by referral only.
const referralHoldoff = 300 * kernel.Millisecond

// lostContactWarning is the time without a response after which a warning is logged.
const lostContactWarning = 2 * kernel.Second

// maxRetryAfter bounds how long a proxy waits for its slot for a large update.
const maxRetryAfter = 2 * kernel.Second

// releaseTimeout bounds how long the release of a responsive primary waits for statements in
// flight there.
const releaseTimeout = 400 * kernel.Millisecond

// SubscriberConfig configures a Subscriber.
type SubscriberConfig struct {
	ProxyName    string               // name of this proxy
	PollWait     func() kernel.Micros // how long a control node may hold a poll
	ControlNodes func() []string
	// Peers returns other proxies, which may relay polls.
	Peers func() []string
	// Lease is the duration of a read lease.
	Lease kernel.Micros
	// DownDatabases returns the databases that the health monitor considers down, by id.
	DownDatabases func() map[string]int64
	// OnDatabases is called with all databases after an update.
	OnDatabases func(map[string]discovery.Database)
	// OnPosition is called with a position that a primary's log has reached.
	OnPosition func(service string, sent kernel.Micros, position lineprotocol.Position)
	// SendCommitNotice notifies some peers of a commit; nil if they are not notified.
	SendCommitNotice func(CommitNotice)
	// Observations returns the observations of databases since the last call, nil if there are
	// none.
	Observations func() map[string]Observation
	// OnCosts is called with the request costs that changed.
	OnCosts func(costs map[string]int)
	Bounds  func() Bounds
}

// Subscriber is the proxy's side: it holds the newest control state received and the read lease.
type Subscriber struct {
	k           *kernel.Kernel
	endpoint    *rpc.Endpoint
	cfg         SubscriberConfig
	incarnation int64

	mu          sync.RWMutex
	seq         int64
	epoch       int64
	config      *routeconfig.Index
	databases   map[string]discovery.Database
	byService   map[string][]discovery.Database
	leaders     map[string]failover.Leader
	leaseEnd    kernel.Micros
	confirmedAt kernel.Micros // when the poll was sent whose response was applied last
	drains      drainTracker
	// contactSentAt is when the last poll was sent to which a control node responded with a
	// lease.
	contactSentAt     kernel.Micros
	controlNode       string         // the one that responded to it
	contactAnsweredAt kernel.Micros  // when its response arrived
	proxyCount        int            // number of proxies that the control node counts
	costTerm          int64          // term of the costs received last
	costSeq           int64          // newest change of those costs
	inFlight          map[string]int // statements and transactions at a primary, by service
	// released is, by service, the number of the last failover for which the old primary was
	// released.
	released       map[string]int64
	commits        commitTracker
	failoverSeenAt map[string]kernel.Micros // when the current failover became known, by service

	changes kernel.Notifier // notifies of each response applied
	// drained notifies when nothing is in flight any more at a primary that is being replaced.
	drained  kernel.Notifier
	relaying atomic.Int32 // number of peers' polls being relayed
}

// NewSubscriber returns a subscriber that has no state yet.
func NewSubscriber(k *kernel.Kernel, endpoint *rpc.Endpoint, cfg SubscriberConfig) *Subscriber {
	s := &Subscriber{
		k: k, endpoint: endpoint, cfg: cfg, incarnation: time.Now().UnixMicro(), inFlight: map[string]int{},
		released: map[string]int64{}, failoverSeenAt: map[string]kernel.Micros{}, contactSentAt: k.Clock.Now(),
		drains: drainTracker{startedAt: k.Clock.Now()},
	}
	endpoint.Handle(relayOp, s.handleRelay)
	s.registerMetrics(k.Counters)
	return s
}

// Config returns the newest configuration, nil if none has been received.
func (s *Subscriber) Config() *routeconfig.Index {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config
}

// Databases returns the databases of a service, which must not be modified, and its leader.
func (s *Subscriber) Databases(service string) ([]discovery.Database, failover.Leader) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service], s.leaders[service]
}

// ServiceDatabases returns the databases of a service, which must not be modified.
func (s *Subscriber) ServiceDatabases(service string) []discovery.Database {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

// Version returns the epoch, sequence number and configuration revision that this proxy has, and
// the remaining time of its lease.
func (s *Subscriber) Version() (epoch, seq, rev int64, leaseLeft kernel.Micros) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.config != nil {
		rev = s.config.Rev
	}
	return s.epoch, s.seq, rev, max(0, s.leaseEnd-s.k.Clock.Now())
}

// Ready reports whether the proxy has a configuration and databases.
func (s *Subscriber) Ready() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config != nil && len(s.databases) > 0
}

// ControlNode returns the address of the control node that responded to the last poll, which is
// the primary unless that has changed since; "" if none has responded.
func (s *Subscriber) ControlNode() string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.controlNode
}

// Changed returns a channel that is closed at the next change.
func (s *Subscriber) Changed() <-chan struct{} { return s.changes.Wait() }

// Primary returns the database to which statements may be sent as the service's primary. It
// fails with ErrNoLease if there is none.
func (s *Subscriber) Primary(service string) (string, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.primary(service)
}

func (s *Subscriber) primary(service string) (string, error) {
	leader, ok := s.leaders[service]
	if !ok || leader.FailoverInProgress || s.k.Clock.Now()+leaseMargin >= s.leaseEnd || !s.acceptsRequests(leader.ID) {
		return "", ErrNoLease
	}
	return leader.ID, nil
}

// Send calls send if the lease covers the primary at that moment. The check and the sending are
// atomic with respect to the release of the primary. What was sent counts as in flight until
// Done.
func (s *Subscriber) Send(service, id string, send func() error) (sent kernel.Micros, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if primary, err := s.primary(service); err != nil || primary != id {
		return 0, ErrNoLease
	}
	sent = s.k.Clock.Now()
	return sent, send()
}

// Begin counts a statement or transaction as in flight at the primary, and returns the state of
// the primary at that time.
func (s *Subscriber) Begin(service string) PrimarySnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[service]++
	return PrimarySnapshot{Term: s.leaders[service].Term, Acknowledged: s.commits.upperBounds[service]}
}

// Done ends the statement or transaction that Begin counted as in flight.
func (s *Subscriber) Done(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight[service]--
	s.k.Invariants.Check(s.inFlight[service] >= 0, invariant.CountsNonNegative, "%d statements in flight at the primary of %s", s.inFlight[service], service)
	if s.inFlight[service] == 0 && s.leaders[service].FailoverInProgress {
		s.drained.NotifyAll()
	}
}

// Serve polls until ctx ends.
func (s *Subscriber) Serve(ctx context.Context) error {
	address, failedAddress := "", ""
	lastResponse, contactLost, failedAt := s.k.Clock.Now(), false, kernel.Micros(0)
	unanswered := 0 // consecutive failed polls of control nodes on other machines
	var peers relayPeers
	for attempt := 0; ctx.Err() == nil; {
		cutOff := s.needsRelay(unanswered)
		if cutOff && s.pollThroughPeers(ctx, &peers) {
			lastResponse = s.k.Clock.Now()
		}
		if address == "" {
			candidates := s.cfg.ControlNodes()
			if len(candidates) == 0 {
				kernel.Sleep(ctx, 100*kernel.Millisecond)
				continue
			}
			address = candidates[attempt%len(candidates)]
			attempt++
		}
		next, err := s.poll(ctx, address, pollOp, cutOff)
		switch now := s.k.Clock.Now(); {
		case err == nil && next == address:
			if lastResponse = now; contactLost {
				s.k.Log.Info("contact with the control state's primary restored", "from", address)
			}
			contactLost = false
		case !contactLost && now-lastResponse > lostContactWarning:
			contactLost = true
			s.k.Log.Warn("no response from the control state's primary", "asked", address, "elsewhere", next, "error", err)
		}
		switch {
		case err != nil:
			s.k.Counters.Add("distribution.poll_failed", 1)
			failedAddress, failedAt = address, s.k.Clock.Now()
			unanswered++
		case next == address:
			failedAddress, unanswered, peers = "", 0, relayPeers{}
		case !sameHost(address, s.endpoint.Addr()):
			unanswered = 0
			fallthrough
		default:
			if next == failedAddress && s.k.Clock.Now()-failedAt < referralHoldoff {
				next = "" // the referring node may not have noticed the failure yet
			}
		}
		if next == "" {
			kernel.Sleep(ctx, 50*kernel.Millisecond)
		}
		address = next
	}
	return nil
}

// poll sends a poll to a control node, or to a peer that relays it, and returns the address to
// poll next, "" if that is not known. A short poll is answered immediately and has a short
// timeout.
func (s *Subscriber) poll(ctx context.Context, address, op string, short bool) (string, error) {
	down := s.cfg.DownDatabases()
	wait := s.acknowledgeFailovers(down)
	request := s.buildRequest(down, short)
	if wait > 0 {
		// A failover is to be acknowledged soon: don't block in a long poll.
		drainCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-drainCtx.Done():
		case <-s.drained.Wait():
		}
		cancel()
		return s.poll(ctx, address, op, short)
	}
	sentAt := s.k.Clock.Now()
	if s.cfg.Observations != nil {
		request.Observations = s.cfg.Observations()
	}
	timeout := s.pollTimeout()
	switch {
	case request.Seq == 0:
		timeout += fullStateWait // there is no lease that could expire, and a slot may have to be awaited
	case short:
		timeout = cutOffPollTimeout
	}
	var response pollReply
	if err := s.endpoint.Call(ctx, address, op, request, &response, timeout); err != nil {
		return "", err
	}
	switch {
	case response.NewestIncarnation >= request.Incarnation:
		// The clock that numbers incarnations has been set back in the meantime.
		s.mu.Lock()
		s.incarnation = response.NewestIncarnation + 1
		s.mu.Unlock()
		return address, nil
	case response.RetryAfter > 0:
		kernel.Sleep(ctx, min(response.RetryAfter, maxRetryAfter))
		return address, nil
	case response.Lease <= 0:
		return response.Primary, nil
	}
	if err := s.apply(sentAt, response, request.Positions); err != nil {
		s.k.Counters.Add("distribution.unreadable", 1)
		return "", err
	}
	if op == pollOp {
		s.mu.Lock()
		s.contactSentAt, s.controlNode, s.contactAnsweredAt = sentAt, address, s.k.Clock.Now()
		s.mu.Unlock()
	}
	return address, nil
}

// buildRequest returns the poll request for the current state.
func (s *Subscriber) buildRequest(down map[string]int64, short bool) pollRequest {
	s.mu.RLock()
	defer s.mu.RUnlock()
	request := pollRequest{Proxy: s.cfg.ProxyName, Incarnation: s.incarnation, Seq: s.seq, Released: map[string]int64{}}
	request.CostTerm, request.CostSeq, request.Positions = s.costTerm, s.costSeq, s.commits.report()
	request.Immediate = short || s.leaseEnd-s.k.Clock.Now() < 2*s.cfg.PollWait()
	for id := range down {
		request.Down = append(request.Down, id)
	}
	for service, failoverNumber := range s.released {
		if s.leaders[service].FailoverInProgress {
			request.Released[service] = failoverNumber
		}
	}
	request.AckedUpperBounds, request.AckedLowerBounds, request.QueryChecksum = s.commits.reportedUpperBounds(request.Released), s.commits.lowerBounds.forServices(request.Released), s.commits.query.checksum()
	return request
}

// pollTimeout is the timeout of a poll.
func (s *Subscriber) pollTimeout() kernel.Micros { return s.cfg.PollWait() + 300*kernel.Millisecond }

// acknowledgeFailovers releases the old primaries of failovers where nothing is in flight any
// more, the primary is down, or releaseTimeout has passed; the next poll acknowledges them. It
// returns how long to wait for statements still in flight.
func (s *Subscriber) acknowledgeFailovers(down map[string]int64) (wait kernel.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.k.Clock.Now()
	for service, leader := range s.leaders {
		if !leader.FailoverInProgress || s.released[service] >= leader.FailoverID {
			continue
		}
		remaining := s.failoverSeenAt[service] + releaseTimeout - now
		if _, isDown := down[leader.ID]; s.inFlight[service] == 0 || remaining <= 0 || isDown || leader.Failed {
			s.released[service] = leader.FailoverID
			continue
		}
		wait = max(wait, min(remaining, 20*kernel.Millisecond))
	}
	return wait
}

// apply applies the response to a poll. sentAt is when the poll was sent, reported the positions
// that it reported.
func (s *Subscriber) apply(sentAt kernel.Micros, response pollReply, reported *positionReport) error {
	var changes update
	if response.Update != nil {
		if err := json.Unmarshal(response.Update, &changes); err != nil {
			return fmt.Errorf("distribution: %w", err)
		}
	}
	s.mu.Lock()
	s.check(response, changes)
	if response.Epoch < s.epoch || response.Seq < s.seq {
		s.mu.Unlock()
		s.k.Counters.Add("distribution.old_refused", 1)
		return nil
	}
	if changes.Config != nil {
		if s.config != nil && changes.Config.Rev < s.config.Rev {
			s.mu.Unlock()
			s.k.Counters.Add("distribution.old_refused", 1)
			return nil
		}
		s.config = s.config.Apply(changes.Config)
	}
	if response.Update != nil {
		s.merge(changes)
	}
	if changes.Config != nil {
		s.k.Log.Info("configuration applied", "rev", changes.Config.Rev, "epoch", response.Epoch, "seq", response.Seq, "bytes", len(response.Update))
	}
	s.epoch, s.seq, s.proxyCount = response.Epoch, response.Seq, response.Proxies
	s.costTerm, s.costSeq = response.CostTerm, response.CostSeq
	s.commits.setQuery(response.Query, reported, s.k.Clock.Now())
	s.leaseEnd, s.confirmedAt = max(s.leaseEnd, sentAt+response.Lease), sentAt
	databases := s.databases
	var chosen []failover.Leader
	for _, leader := range s.leaders {
		if leader.FailoverInProgress && leader.ChosenPosition != "" {
			chosen = append(chosen, leader)
		}
	}
	s.mu.Unlock()
	if len(response.Costs) > 0 && s.cfg.OnCosts != nil {
		s.cfg.OnCosts(response.Costs)
	}
	for _, leader := range chosen {
		// No commit is acknowledged during a failover to a chosen database,
		// so its position covers all commits until the poll was sent.
		if position, ok := lineprotocol.ParsePosition(leader.ChosenPosition); ok {
			s.cfg.OnPosition(leader.Service, sentAt, position)
		}
	}
	if response.Update != nil {
		s.cfg.OnDatabases(databases)
	}
	s.changes.NotifyAll()
	return nil
}

// check checks the invariants of a response against the state that this proxy has. The caller
// holds the lock.
func (s *Subscriber) check(response pollReply, changes update) {
	s.k.Invariants.Check(response.Epoch <= s.epoch || response.Seq >= s.seq, invariant.DurableStateKept,
		"epoch %d is at change %d, but epoch %d was at change %d", response.Epoch, response.Seq, s.epoch, s.seq)
	if changes.Config != nil && s.config != nil && response.Epoch >= s.epoch && response.Seq >= s.seq {
		s.k.Invariants.Check(changes.Config.Rev >= s.config.Rev, invariant.ConfigurationMonotonic,
			"configuration %d received after %d", changes.Config.Rev, s.config.Rev)
	}
}

// merge applies an update to new copies of the maps, because callers may still hold the old
// ones.
func (s *Subscriber) merge(changes update) {
	leaders, databases := map[string]failover.Leader{}, map[string]discovery.Database{}
	if !changes.Full {
		maps.Copy(leaders, s.leaders)
		maps.Copy(databases, s.databases)
	}
	for service, leader := range changes.Leaders {
		if old := s.leaders[service]; leader.FailoverInProgress && (old.FailoverID != leader.FailoverID || !old.FailoverInProgress) {
			s.failoverSeenAt[service] = s.k.Clock.Now()
		}
		leaders[service] = leader
	}
	maps.Copy(databases, changes.Databases)
	for _, id := range changes.Removed {
		delete(databases, id)
	}
	s.drains.update(s.databases, databases, s.confirmedAt, s.cfg.Bounds())
	s.leaders, s.databases, s.byService = leaders, databases, map[string][]discovery.Database{}
	for _, id := range slices.Sorted(maps.Keys(databases)) {
		database := databases[id]
		s.byService[database.Service] = append(s.byService[database.Service], database)
	}
}
