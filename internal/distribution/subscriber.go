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
	// DownDatabases returns the databases that the health monitor considers down.
	DownDatabases func() map[string]int64
	// OnDatabases is called with all databases after an update.
	OnDatabases func(map[string]discovery.Database)
	// OnPosition is called with a position that a primary's log has reached.
	OnPosition func(service string, sent kernel.Micros, position lineprotocol.Position)
	// Observations returns what requests showed since the last call, nil if nothing.
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

	mu        sync.RWMutex
	seq       int64
	epoch     int64
	config    *routeconfig.Index
	databases map[string]discovery.Database
	byService map[string][]discovery.Database
	leaders   map[string]failover.Leader
	leaseEnd  kernel.Micros
	confirmed kernel.Micros // when the poll was sent whose response was applied last
	drains    drainTracker
	// contactSentAt is when the last poll was sent to which a control node responded with a
	// lease.
	contactSentAt     kernel.Micros
	controlNode       string         // the one that responded to it
	contactAnsweredAt kernel.Micros  // when its response arrived
	proxies           int            // number of proxies that the control node counts
	costTerm          int64          // term of the costs received last
	costSeq           int64          // newest change of those costs
	inFlight          map[string]int // statements and transactions at a primary, by service
	// released is, by service, the number of the last failover for which the old primary was
	// released.
	released       map[string]int64
	commits        commitTracker
	failoverSeenAt map[string]kernel.Micros // when the current failover became known, by service

	changes kernel.Notifier // notifies of each change
	// drained notifies when nothing is in flight any more at a primary that is being replaced.
	drained  kernel.Notifier
	relaying atomic.Int32 // number of peers' polls being relayed
}

// NewSubscriber returns a subscriber that has no state yet.
func NewSubscriber(k *kernel.Kernel, endpoint *rpc.Endpoint, cfg SubscriberConfig) *Subscriber {
	c := &Subscriber{
		k: k, endpoint: endpoint, cfg: cfg, incarnation: time.Now().UnixMicro(), inFlight: map[string]int{},
		released: map[string]int64{}, failoverSeenAt: map[string]kernel.Micros{}, contactSentAt: k.Clock.Now(),
		drains: drainTracker{startedAt: k.Clock.Now()},
	}
	endpoint.Handle(relayOp, c.handleRelay)
	c.registerMetrics(k.Counters)
	return c
}

// Config returns the newest configuration, nil if none has been received.
func (c *Subscriber) Config() *routeconfig.Index {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.config
}

// Databases returns the databases of a service, which must not be modified, and its leader.
func (c *Subscriber) Databases(service string) ([]discovery.Database, failover.Leader) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byService[service], c.leaders[service]
}

// Serving returns the databases of a service, which must not be modified.
func (c *Subscriber) Serving(service string) []discovery.Database {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.byService[service]
}

// Version returns the epoch, sequence number and configuration revision that this proxy has, and
// the remaining time of its lease.
func (c *Subscriber) Version() (epoch, seq, rev int64, left kernel.Micros) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.config != nil {
		rev = c.config.Rev
	}
	return c.epoch, c.seq, rev, max(0, c.leaseEnd-c.k.Clock.Now())
}

// Ready reports whether the proxy has a configuration and databases.
func (c *Subscriber) Ready() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.config != nil && len(c.databases) > 0
}

// ControlNode returns the address of the control node that responded to the last poll, which is
// the primary unless that has changed since; "" if none has responded.
func (c *Subscriber) ControlNode() string {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.controlNode
}

// Changed returns a channel that is closed at the next change.
func (c *Subscriber) Changed() <-chan struct{} { return c.changes.Wait() }

// Primary returns the database to which statements may be sent as the service's primary. It
// fails with ErrNoLease if there is none.
func (c *Subscriber) Primary(service string) (string, error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.primary(service)
}

func (c *Subscriber) primary(service string) (string, error) {
	leader, ok := c.leaders[service]
	if !ok || leader.FailoverInProgress || c.k.Clock.Now()+leaseMargin >= c.leaseEnd || !c.acceptsRequests(leader.ID) {
		return "", ErrNoLease
	}
	return leader.ID, nil
}

// Send calls send if the lease covers the primary at that moment. The check and the sending are
// atomic with respect to the release of the primary. What was sent counts as in flight until
// Done.
func (c *Subscriber) Send(service, id string, send func() error) (sent kernel.Micros, err error) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if primary, err := c.primary(service); err != nil || primary != id {
		return 0, ErrNoLease
	}
	sent = c.k.Clock.Now()
	return sent, send()
}

// Begin counts a statement or transaction as in flight at the primary, and returns the state of
// the primary at that time.
func (c *Subscriber) Begin(service string) PrimarySnapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[service]++
	return PrimarySnapshot{Term: c.leaders[service].Term, Acknowledged: c.commits.acked[service]}
}

// Done ends what Begin began.
func (c *Subscriber) Done(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[service]--
	c.k.Invariants.Check(c.inFlight[service] >= 0, invariant.CountsNonNegative, "%d statements in flight at the primary of %s", c.inFlight[service], service)
	if c.inFlight[service] == 0 && c.leaders[service].FailoverInProgress {
		c.drained.NotifyAll()
	}
}

// Serve polls until ctx ends.
func (c *Subscriber) Serve(ctx context.Context) error {
	address, failedAddress := "", ""
	lastResponse, contactLost, failedAt := c.k.Clock.Now(), false, kernel.Micros(0)
	unanswered := 0 // consecutive failed polls of control nodes on other machines
	var peers relayPeers
	for attempt := 0; ctx.Err() == nil; {
		cutOff := c.needsRelay(unanswered)
		if cutOff && c.pollThroughPeers(ctx, &peers) {
			lastResponse = c.k.Clock.Now()
		}
		if address == "" {
			candidates := c.cfg.ControlNodes()
			if len(candidates) == 0 {
				kernel.Sleep(ctx, 100*kernel.Millisecond)
				continue
			}
			address = candidates[attempt%len(candidates)]
			attempt++
		}
		next, err := c.poll(ctx, address, pollOp, cutOff)
		switch now := c.k.Clock.Now(); {
		case err == nil && next == address:
			if lastResponse = now; contactLost {
				c.k.Log.Info("contact with the control state's primary restored", "from", address)
			}
			contactLost = false
		case !contactLost && now-lastResponse > lostContactWarning:
			contactLost = true
			c.k.Log.Warn("no response from the control state's primary", "asked", address, "elsewhere", next, "error", err)
		}
		switch {
		case err != nil:
			c.k.Counters.Add("distribution.poll_failed", 1)
			failedAddress, failedAt = address, c.k.Clock.Now()
			unanswered++
		case next == address:
			failedAddress, unanswered, peers = "", 0, relayPeers{}
		case !sameHost(address, c.endpoint.Addr()):
			unanswered = 0
			fallthrough
		default:
			if next == failedAddress && c.k.Clock.Now()-failedAt < referralHoldoff {
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

// poll sends a poll to a control node, or through a peer that relays it, and returns the address
// to poll next, "" if that is not known. A short poll is answered immediately and has a short
// timeout.
func (c *Subscriber) poll(ctx context.Context, address, op string, short bool) (string, error) {
	down := c.cfg.DownDatabases()
	wait := c.acknowledgeFailovers(down)
	request := c.buildRequest(down, short)
	if wait > 0 {
		// A failover is to be acknowledged soon: don't block in a long poll.
		drainCtx, cancel := context.WithTimeout(ctx, wait.Duration())
		select {
		case <-drainCtx.Done():
		case <-c.drained.Wait():
		}
		cancel()
		return c.poll(ctx, address, op, short)
	}
	start := c.k.Clock.Now()
	if c.cfg.Observations != nil {
		request.Observations = c.cfg.Observations()
	}
	timeout := c.pollTimeout()
	switch {
	case request.Seq == 0:
		timeout += fullStateWait // there is no lease to lose, and a slot to wait for
	case short:
		timeout = cutOffPollTimeout
	}
	var response pollReply
	if err := c.endpoint.Call(ctx, address, op, request, &response, timeout); err != nil {
		return "", err
	}
	switch {
	case response.NewestIncarnation >= request.Incarnation:
		// The clock that numbers incarnations has been set back in the meantime.
		c.mu.Lock()
		c.incarnation = response.NewestIncarnation + 1
		c.mu.Unlock()
		return address, nil
	case response.RetryAfter > 0:
		kernel.Sleep(ctx, min(response.RetryAfter, maxRetryAfter))
		return address, nil
	case response.Lease <= 0:
		return response.Primary, nil
	}
	if err := c.apply(start, response, request.Positions); err != nil {
		c.k.Counters.Add("distribution.unreadable", 1)
		return "", err
	}
	if op == pollOp {
		c.mu.Lock()
		c.contactSentAt, c.controlNode, c.contactAnsweredAt = start, address, c.k.Clock.Now()
		c.mu.Unlock()
	}
	return address, nil
}

// buildRequest returns the poll request for the current state.
func (c *Subscriber) buildRequest(down map[string]int64, short bool) pollRequest {
	c.mu.RLock()
	defer c.mu.RUnlock()
	request := pollRequest{Proxy: c.cfg.ProxyName, Incarnation: c.incarnation, Seq: c.seq, Released: map[string]int64{}}
	request.CostTerm, request.CostSeq, request.Positions = c.costTerm, c.costSeq, c.commits.report()
	request.Immediate = short || c.leaseEnd-c.k.Clock.Now() < 2*c.cfg.PollWait()
	for id := range down {
		request.Down = append(request.Down, id)
	}
	for service, failoverNumber := range c.released {
		if c.leaders[service].FailoverInProgress {
			request.Released[service] = failoverNumber
		}
	}
	request.Acked, request.Certain, request.QueryChecksum = c.commits.acked.forServices(request.Released), c.commits.certain.forServices(request.Released), c.commits.query.checksum()
	return request
}

// pollTimeout is the timeout of a poll.
func (c *Subscriber) pollTimeout() kernel.Micros { return c.cfg.PollWait() + 300*kernel.Millisecond }

// acknowledgeFailovers releases the old primaries of failovers where nothing is in flight any
// more, the primary is down, or releaseTimeout has passed; the next poll acknowledges them. It
// returns how long to wait for statements still in flight.
func (c *Subscriber) acknowledgeFailovers(down map[string]int64) (wait kernel.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.k.Clock.Now()
	for service, leader := range c.leaders {
		if !leader.FailoverInProgress || c.released[service] >= leader.FailoverID {
			continue
		}
		remaining := c.failoverSeenAt[service] + releaseTimeout - now
		if _, isDown := down[leader.ID]; c.inFlight[service] == 0 || remaining <= 0 || isDown || leader.Failed {
			c.released[service] = leader.FailoverID
			continue
		}
		wait = max(wait, min(remaining, 20*kernel.Millisecond))
	}
	return wait
}

// apply takes in a response. start is when the poll was sent, reported the positions that it
// reported.
func (c *Subscriber) apply(start kernel.Micros, response pollReply, reported *positionReport) error {
	var changes update
	if response.Update != nil {
		if err := json.Unmarshal(response.Update, &changes); err != nil {
			return fmt.Errorf("distribution: %w", err)
		}
	}
	c.mu.Lock()
	c.check(response, changes)
	if response.Epoch < c.epoch || response.Seq < c.seq {
		c.mu.Unlock()
		c.k.Counters.Add("distribution.old_refused", 1)
		return nil
	}
	if changes.Config != nil {
		if c.config != nil && changes.Config.Rev < c.config.Rev {
			c.mu.Unlock()
			c.k.Counters.Add("distribution.old_refused", 1)
			return nil
		}
		c.config = c.config.Apply(changes.Config)
	}
	if response.Update != nil {
		c.merge(changes)
	}
	if changes.Config != nil {
		c.k.Log.Info("configuration applied", "rev", changes.Config.Rev, "epoch", response.Epoch, "seq", response.Seq, "bytes", len(response.Update))
	}
	c.epoch, c.seq, c.proxies = response.Epoch, response.Seq, response.Proxies
	c.costTerm, c.costSeq = response.CostTerm, response.CostSeq
	c.commits.setQuery(response.Query, reported, c.k.Clock.Now())
	c.leaseEnd, c.confirmed = max(c.leaseEnd, start+response.Lease), start
	databases := c.databases
	var floors []failover.Leader
	for _, leader := range c.leaders {
		if leader.FailoverInProgress && leader.ChosenPosition != "" {
			floors = append(floors, leader)
		}
	}
	c.mu.Unlock()
	if len(response.Costs) > 0 && c.cfg.OnCosts != nil {
		c.cfg.OnCosts(response.Costs)
	}
	for _, leader := range floors {
		// No commit is acknowledged during a failover to a chosen database,
		// so its position covers all commits until the poll was sent.
		if position, ok := lineprotocol.ParsePosition(leader.ChosenPosition); ok {
			c.cfg.OnPosition(leader.Service, start, position)
		}
	}
	if response.Update != nil {
		c.cfg.OnDatabases(databases)
	}
	c.changes.NotifyAll()
	return nil
}

// check checks a response against the state this proxy has. The caller holds the lock.
func (c *Subscriber) check(response pollReply, changes update) {
	c.k.Invariants.Check(response.Epoch <= c.epoch || response.Seq >= c.seq, invariant.DurableStateKept,
		"epoch %d is at change %d, but epoch %d was at change %d", response.Epoch, response.Seq, c.epoch, c.seq)
	if changes.Config != nil && c.config != nil && response.Epoch >= c.epoch && response.Seq >= c.seq {
		c.k.Invariants.Check(changes.Config.Rev >= c.config.Rev, invariant.ConfigurationMonotonic,
			"configuration %d received after %d", changes.Config.Rev, c.config.Rev)
	}
}

// merge applies an update to new copies of the maps, because callers may still hold the old
// ones.
func (c *Subscriber) merge(changes update) {
	leaders, databases := map[string]failover.Leader{}, map[string]discovery.Database{}
	if !changes.Full {
		maps.Copy(leaders, c.leaders)
		maps.Copy(databases, c.databases)
	}
	for service, leader := range changes.Leaders {
		if old := c.leaders[service]; leader.FailoverInProgress && (old.FailoverID != leader.FailoverID || !old.FailoverInProgress) {
			c.failoverSeenAt[service] = c.k.Clock.Now()
		}
		leaders[service] = leader
	}
	maps.Copy(databases, changes.Databases)
	for _, id := range changes.Removed {
		delete(databases, id)
	}
	c.drains.update(c.databases, databases, c.confirmed, c.cfg.Bounds())
	c.leaders, c.databases, c.byService = leaders, databases, map[string][]discovery.Database{}
	for _, id := range slices.Sorted(maps.Keys(databases)) {
		database := databases[id]
		c.byService[database.Service] = append(c.byService[database.Service], database)
	}
}
