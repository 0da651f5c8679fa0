// Package distribution publishes the control state from the control state's primary to the
// proxies (poolers and gateways). A proxy polls with the sequence number of the state it has;
// the response comes at the next change, or after a timeout without one, and renews the proxy's
// read lease.
package distribution

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/failover"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
	"indigowalk/internal/rpc"
)

// pollOp is the operation by which a proxy polls a control node.
const pollOp = "distribution.poll"

// pollRequest reports a proxy's state to the control state's primary and asks for updates.
type pollRequest struct {
	Proxy       string `json:"pooler"`
	Incarnation int64  `json:"life"`
	Seq         int64  `json:"seq"` // of the state that the proxy has
	// Released is, by service, the number of the failover for which the proxy released the old
	// primary.
	Released map[string]int64 `json:"left,omitempty"`
	// Acked is, for each released service, an upper bound for the commits that were acknowledged
	// to clients.
	AckedUpperBounds positions `json:"acked,omitempty"`
	// Certain is, for each of them, a lower bound for the newest of these commits.
	AckedLowerBounds positions       `json:"certain,omitempty"`
	Positions        *positionReport `json:"saw,omitempty"` // nil if nothing was observed for the current query
	// QueryChecksum is the checksum of the services in the current position query.
	QueryChecksum uint32 `json:"looks,omitempty"`
	// Down lists the databases that the proxy considers down.
	Down []string `json:"down,omitempty"`
	// Immediate requests a response at once: the proxy's lease may expire before the next change.
	Immediate    bool                   `json:"now,omitempty"`
	Observations map[string]Observation `json:"seen,omitempty"` // since the last poll, by database
	// CostTerm is the term of the costs that the proxy received last, CostSeq their newest
	// change.
	CostTerm int64 `json:"term,omitempty"`
	CostSeq  int64 `json:"told,omitempty"`
}

// pollReply grants a lease and carries updates, or says where or when to poll instead.
type pollReply struct {
	// Primary is the primary's address, if this control node is not the primary.
	Primary string `json:"elsewhere,omitempty"`
	// NewestIncarnation is a later incarnation of the proxy, if this one is refused.
	NewestIncarnation int64 `json:"newest,omitempty"`
	Epoch             int64 `json:"epoch,omitempty"`
	// Seq is the sequence number of the state that the proxy has once it has applied this
	// response.
	Seq   int64         `json:"seq,omitempty"`
	Lease kernel.Micros `json:"lease_us,omitempty"`
	// RetryAfter is the time until the proxy's slot for a large update; the proxy is to poll
	// again then.
	RetryAfter kernel.Micros  `json:"later_us,omitempty"`
	Proxies    int            `json:"poolers,omitempty"` // number of proxies that polled recently
	CostTerm   int64          `json:"term,omitempty"`    // of the costs
	CostSeq    int64          `json:"told,omitempty"`    // the newest change of the costs
	Costs      map[string]int `json:"paces,omitempty"`   // that changed
	// Update is an encoded update; none if nothing changed since the proxy's seq.
	Update json.RawMessage `json:"news,omitempty"`
	Query  *positionQuery  `json:"look,omitempty"` // nil if no positions are wanted
}

// positionQuery asks a proxy for the positions in the responses of some services' primaries to
// statements that it sends after it received the query. A positionReport returns them with the
// next poll.
type positionQuery struct {
	Term     int64         `json:"term"`
	Stamp    kernel.Micros `json:"stamp_us"`
	Services []string      `json:"services,omitempty"`
	// Unchanged says that the services are those of the query that the proxy has.
	Unchanged bool `json:"same,omitempty"`
}

// checksum identifies the services in polls; 0 for none.
func (q *positionQuery) checksum() uint32 {
	if q == nil || len(q.Services) == 0 {
		return 0
	}
	return crc32.ChecksumIEEE([]byte(strings.Join(q.Services, "\n")))
}

// omitKnownServices returns the query without its services if they are those of the query that
// the proxy has. known is the checksum of the latter.
func (q *positionQuery) omitKnownServices(known uint32) *positionQuery {
	if known == 0 || q.checksum() != known {
		return q
	}
	return &positionQuery{Term: q.Term, Stamp: q.Stamp, Unchanged: true}
}

// positionReport answers the positionQuery with the same term and stamp.
type positionReport struct {
	Term      int64         `json:"term"`
	Stamp     kernel.Micros `json:"stamp_us"`
	Positions positions     `json:"at"`
}

// positions are positions in databases' logs, by service.
type positions map[string]lineprotocol.Position

// MarshalJSON implements json.Marshaler.
func (p positions) MarshalJSON() ([]byte, error) {
	texts := make(map[string]string, len(p))
	for service, position := range p {
		texts[service] = position.String()
	}
	return json.Marshal(texts)
}

// UnmarshalJSON implements json.Unmarshaler.
func (p *positions) UnmarshalJSON(raw []byte) error {
	var texts map[string]string
	if err := json.Unmarshal(raw, &texts); err != nil {
		return err
	}
	*p = make(positions, len(texts))
	for service, text := range texts {
		position, ok := lineprotocol.ParsePosition(text)
		if !ok {
			return fmt.Errorf("distribution: %q is no position", text)
		}
		(*p)[service] = position
	}
	return nil
}

// Publisher is the control node's side: it responds to the polls of proxies.
type Publisher struct {
	k           *kernel.Kernel
	replica     *controlstate.Replica
	readLeases  *failover.ReadLeases
	lease       kernel.Micros
	pollTimeout func() kernel.Micros
	reportDown  func(proxy, id string) // called for each database that a proxy considers down
	pacer       transferPacer

	mu           sync.Mutex
	log          *updateLog
	observations *observations // of the same term as the log
}

// transferPacer spaces large updates so that they take only a share of the link. When hundreds
// of proxies start at once, or find another primary, each is sent a large update, and everything
// else that the control node sends, its health checks of databases included, would queue behind
// them. A proxy whose slot is not soon polls again when it comes; if its call were held until
// then, the proxy would time out and the slot would be lost.
type transferPacer struct {
	rate float64 // bytes per microsecond; 0 for no limit

	mu           sync.Mutex
	nextFree     kernel.Micros
	reservations map[string]kernel.Micros // future slots, by proxy
}

const (
	// linkShare is the share of the link that large updates may take.
	linkShare = 0.7
	// pacedUpdateSize is the size in bytes from which updates are paced.
	pacedUpdateSize = 4 << 10
	// maxInlineWait is the longest wait for a slot within one call.
	maxInlineWait = 200 * kernel.Millisecond
	// reservationTTL is how long an unused reservation is kept after its slot.
	reservationTTL = 2 * kernel.Second
)

// reserve returns how long the proxy has to wait before an update of the given size in bytes may
// be sent to it. A wait longer than maxInlineWait is remembered as the proxy's reservation.
func (p *transferPacer) reserve(proxy string, now kernel.Micros, size int) kernel.Micros {
	if p.rate == 0 || size < pacedUpdateSize {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.reservations, func(_ string, at kernel.Micros) bool { return now-at > reservationTTL })
	if at, reserved := p.reservations[proxy]; reserved {
		if at <= now {
			delete(p.reservations, proxy)
		}
		return max(0, at-now)
	}
	at := max(now, p.nextFree)
	p.nextFree = at + kernel.Micros(float64(size)/p.rate)
	if at-now > maxInlineWait {
		if p.reservations == nil {
			p.reservations = map[string]kernel.Micros{}
		}
		p.reservations[proxy] = at
	}
	return at - now
}

// forTerm returns the update log and the observations of a term.
func (p *Publisher) forTerm(term int64) (*updateLog, *observations) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log == nil || p.log.term != term {
		p.log, p.observations = newUpdateLog(term), newObservations(p.k.Clock)
	}
	return p.log, p.observations
}

// NewPublisher returns a publisher that serves polls through the endpoint. mbps is the bandwidth
// of the link in Mbit/s, 0 if it is not known.
func NewPublisher(k *kernel.Kernel, endpoint *rpc.Endpoint, replica *controlstate.Replica, readLeases *failover.ReadLeases, lease kernel.Micros, pollTimeout func() kernel.Micros, reportDown func(proxy, id string), linkMbps float64) *Publisher {
	p := &Publisher{k: k, replica: replica, readLeases: readLeases, lease: lease, pollTimeout: pollTimeout, reportDown: reportDown}
	p.pacer.rate = linkShare * linkMbps / 8
	rpc.HandleTyped(endpoint, pollOp, p.handlePoll)
	return p
}

func (p *Publisher) handlePoll(ctx context.Context, request pollRequest) (any, error) {
	if request.Proxy == "" || request.Incarnation == 0 {
		p.k.Counters.Add("distribution.malformed", 1)
		return nil, errors.New("malformed")
	}
	term, primary := p.awaitTerm(ctx)
	if term == nil {
		return pollReply{Primary: primary}, nil
	}
	if err := p.register(ctx, request, term); err != nil {
		return nil, err
	}
	if newest, ok := p.recordReport(request); !ok {
		return pollReply{NewestIncarnation: newest}, nil
	}
	return p.awaitUpdate(ctx, request, term)
}

// recordReport records what a poll reports. If the poll is refused, newest is a later
// incarnation of the proxy.
func (p *Publisher) recordReport(request pollRequest) (newest int64, ok bool) {
	report := failover.Report{Released: request.Released, AckedUpperBound: request.AckedUpperBounds, AckedLowerBound: request.AckedLowerBounds}
	if newest, ok := p.readLeases.RecordReport(request.Proxy, request.Incarnation, report, p.k.Clock.Now()); !ok {
		p.k.Counters.Add("distribution.old_life", 1)
		return newest, false
	}
	if request.Positions != nil {
		p.readLeases.RecordObservation(failover.Observation{Term: request.Positions.Term, Stamp: request.Positions.Stamp, Positions: request.Positions.Positions})
	}
	for _, id := range request.Down {
		p.reportDown(request.Proxy, id)
	}
	return 0, true
}

// awaitUpdate responds to a poll once there is an update for it, or after a timeout without one.
func (p *Publisher) awaitUpdate(ctx context.Context, request pollRequest, term *controlstate.Term) (any, error) {
	timeout := time.NewTimer(p.pollTimeout().Duration())
	defer timeout.Stop()
	for admitted := false; ; {
		changed := p.replica.Changed()
		state, err := p.replica.DurableState()
		if err != nil || !term.Valid() {
			return pollReply{}, nil
		}
		log, aggregate := p.forTerm(term.FirstEpoch())
		if request.Observations != nil {
			aggregate.add(request.Observations)
			request.Observations = nil
		}
		encoded, urgent, err := log.since(state, request.Seq)
		if err != nil {
			p.k.Counters.Add("distribution.unreadable", 1)
			return nil, err
		}
		if encoded != nil {
			aggregate.retain(log.hasDatabase)
		}
		if encoded != nil && !admitted {
			wait := p.pacer.reserve(request.Proxy, p.k.Clock.Now(), len(encoded))
			if wait > maxInlineWait {
				p.k.Counters.Add("distribution.later", 1)
				return pollReply{RetryAfter: wait}, nil
			}
			admitted = true
			if wait > 0 {
				kernel.Sleep(ctx, wait)
				continue
			}
		}
		if encoded == nil && !request.Immediate {
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
				continue
			case <-timeout.C:
			}
		}
		if encoded != nil && !urgent && !request.Immediate {
			// Changes that follow each other closely are sent together.
			request.Immediate = true
			kernel.Sleep(ctx, batchDelay)
			continue
		}
		return p.respond(request, state, encoded, aggregate, term)
	}
}

// proxyCountWindow is how long a proxy that no longer polls is counted: its connections may
// still be open, and it may resume polling.
const proxyCountWindow = 20 * kernel.Second

// batchDelay is how long a change that is not urgent is held back to be sent together with
// others.
const batchDelay = 50 * kernel.Millisecond

// register enters the proxy's incarnation in the control state before it is granted a lease, and
// initializes the lease bookkeeping of the term if this is the term's first poll.
func (p *Publisher) register(ctx context.Context, request pollRequest, term *controlstate.Term) error {
	state, err := p.replica.DurableState()
	if err != nil {
		return err
	}
	if !p.readLeases.InTerm(term.FirstEpoch()) {
		proxies, err := failover.DecodeRegistrations(state.Entries)
		if err != nil {
			return err
		}
		p.readLeases.BeginTerm(term.FirstEpoch(), proxies, p.k.Clock.Now(), p.lease)
	}
	if failover.IsRegistered(state.Entries, request.Proxy, request.Incarnation) {
		return nil
	}
	return p.replica.Update(ctx, func(map[string]json.RawMessage) (map[string]json.RawMessage, error) {
		return failover.RegistrationChanges(request.Proxy, request.Incarnation), nil
	})
}

// awaitTerm returns the current term if this control node is the primary, otherwise the
// primary's address. If no primary is known it waits for one.
func (p *Publisher) awaitTerm(ctx context.Context) (term *controlstate.Term, primary string) {
	ctx, cancel := context.WithTimeout(ctx, p.pollTimeout().Duration())
	defer cancel()
	for {
		changed := p.replica.Changed()
		if term, err := p.replica.Term(); err == nil {
			return term, ""
		}
		if addr, known := p.replica.KnownPrimary(); known {
			return nil, addr
		}
		select {
		case <-ctx.Done():
			return nil, ""
		case <-changed:
		}
	}
}

// respond grants the lease and returns the response to a poll.
func (p *Publisher) respond(request pollRequest, state controlstate.State, encoded json.RawMessage, aggregate *observations, term *controlstate.Term) (any, error) {
	// Only a registered proxy is granted a lease, and it may have been removed since its poll
	// arrived. The lease is recorded before it is granted, and only in the term in which the
	// state was read.
	if !failover.IsRegistered(state.Entries, request.Proxy, request.Incarnation) {
		return nil, errors.New("proxy is no longer registered")
	}
	if !p.readLeases.Grant(request.Proxy, request.Incarnation, p.k.Clock.Now()+p.lease) {
		return nil, errors.New("a later incarnation of this proxy is known")
	}
	if !term.Valid() {
		p.k.Counters.Add("distribution.term_ended", 1)
		return pollReply{}, nil
	}
	response := pollReply{Epoch: state.Epoch, Seq: state.Seq, Lease: p.lease, Proxies: p.readLeases.CountLeases(p.k.Clock.Now() - proxyCountWindow)}
	if request.CostTerm != term.FirstEpoch() {
		request.CostSeq = 0
	}
	if response.Costs, response.CostSeq = aggregate.since(request.CostSeq); response.CostSeq > 0 {
		response.CostTerm = term.FirstEpoch()
	}
	now := p.k.Clock.Now()
	if services := p.readLeases.ServicesToObserve(request.Proxy, now); len(services) > 0 {
		response.Query = (&positionQuery{Term: term.FirstEpoch(), Stamp: now, Services: services}).omitKnownServices(request.QueryChecksum)
	}
	raw, err := json.Marshal(response)
	if err != nil || encoded == nil {
		return json.RawMessage(raw), err
	}
	// The update is encoded once for all proxies.
	return json.RawMessage(append(append(append(raw[:len(raw)-1], `,"news":`...), encoded...), '}')), nil
}
