// Package membership implements SWIM-style group membership and failure detection
// for indigowalk's processes over UDP: members are probed in turn, a failed probe is
// repeated indirectly through other members, and a member is suspected before it is
// removed.
package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigowalk/internal/kernel"
)

// Status is the liveness of a member as far as this process knows.
type Status int

// A member is alive until a direct probe and the indirect probes fail. It is then
// suspected, and declared dead if it does not refute the suspicion in time.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is a process of the system, identified by its internal address.
type Member struct {
	Addr        string `json:"a"`
	Name        string `json:"n"`
	Role        string `json:"r"`
	Zone        string `json:"z"`
	Incarnation int64  `json:"i"` // increases with every start and every refutation
	Status      Status `json:"s"`
}

// packet is one datagram of the protocol.
type packet struct {
	Kind      string          `json:"k"`
	Seq       uint64          `json:"q,omitempty"`
	From      string          `json:"f"`
	Target    string          `json:"t,omitempty"`
	Updates   []Member        `json:"m,omitempty"`
	Checksums []uint32        `json:"h,omitempty"` // one per partition of the members known to the sender
	Body      json.RawMessage `json:"b,omitempty"`
}

// Kinds of packets, and limits of the protocol.
const (
	ping    = "ping"
	ack     = "ack"
	pingReq = "ask"
	join    = "join"
	page    = "page" // members that differ, in response to a join

	maxUpdates       = 8
	pageSize         = 24 // members in one datagram of a synchronization
	maxDatagramBytes = 8192
	indirectProbes   = 3
	maxMembers       = 10_000 // further members are ignored

	syncEveryRounds = 3 // probe rounds between two synchronizations with a member
)

// Config configures a Memberlist.
type Config struct {
	Self          Member
	Seeds         []string
	ProbeInterval kernel.Micros // between probes; indirect probes may take as long again
}

// entry is the local state of another member.
type entry struct {
	Member
	statusSince kernel.Micros // when the present status began
	sendsLeft   int           // remaining transmissions of its update
}

// Memberlist is the local view of the group's members and takes part in the protocol.
type Memberlist struct {
	k   *kernel.Kernel
	cfg Config

	mu             sync.Mutex
	conn           net.PacketConn
	self           Member
	leaving        bool        // this incarnation has announced its departure
	outOfSync      atomic.Bool // the last synchronization found a difference
	members        map[string]*entry
	updateQueue    []*entry  // entries with transmissions left
	cachedSnapshot *snapshot // nil after a change
	probeOrder     []string
	nextSeq        uint64
	pendingAcks    map[uint64]chan struct{}
	handlers       map[string]func(from string, body json.RawMessage)
	changes        kernel.Notifier
}

// New returns a member list. Its incarnation is the wall-clock time, so that a restarted
// process supersedes all updates about its predecessor.
func New(k *kernel.Kernel, cfg Config) *Memberlist {
	cfg.Self.Incarnation = time.Now().UnixMicro()
	r := &Memberlist{
		k: k, cfg: cfg, self: cfg.Self,
		members: map[string]*entry{}, pendingAcks: map[uint64]chan struct{}{},
		handlers: map[string]func(string, json.RawMessage){},
	}
	r.outOfSync.Store(true)
	return r
}

// Self returns this process as a member.
func (r *Memberlist) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Changed returns a channel that is closed at the next change of membership.
func (r *Memberlist) Changed() <-chan struct{} { return r.changes.Wait() }

// Handle registers the handler for kind k of datagrams that another package defines.
// All handlers must be registered before Serve is called.
func (r *Memberlist) Handle(k string, f func(from string, body json.RawMessage)) { r.handlers[k] = f }

// SendDatagram sends a datagram to each of the addresses. It may be lost, duplicated or
// delayed. It carries no membership updates: a datagram sent to all members at once
// must be small.
func (r *Memberlist) SendDatagram(addrs []string, kind string, body any) {
	raw, err := json.Marshal(body)
	if err == nil {
		r.send(packet{Kind: kind, Body: raw, Updates: []Member{}}, addrs...)
	}
}

// send encodes a packet once and sends it to the addresses.
func (r *Memberlist) send(p packet, addrs ...string) {
	r.mu.Lock()
	p.From = r.self.Addr
	if p.Updates == nil && p.Kind != pingReq {
		p.Updates = r.gossip()
	}
	conn := r.conn
	r.mu.Unlock()
	raw, err := json.Marshal(p)
	if conn == nil || err != nil {
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			r.k.Counters.Add("membership.malformed", 1)
			continue
		}
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
			r.k.Counters.Add("membership.send_failed", 1)
		}
	}
}

// gossip selects the updates with the most transmissions left. The caller holds the
// lock.
func (r *Memberlist) gossip() []Member {
	r.updateQueue = slices.DeleteFunc(r.updateQueue, func(e *entry) bool { return e.sendsLeft == 0 || r.members[e.Addr] != e })
	if len(r.updateQueue) == 0 {
		return nil
	}
	slices.SortStableFunc(r.updateQueue, func(a, b *entry) int { return b.sendsLeft - a.sendsLeft })
	picked := make([]Member, 0, maxUpdates)
	for _, e := range r.updateQueue[:min(len(r.updateQueue), maxUpdates)] {
		e.sendsLeft--
		picked = append(picked, e.Member)
	}
	return picked
}

// retransmitLimit returns how often a process transmits a change of a member's status.
// It grows with the logarithm of the group size, so that all members soon know.
func (r *Memberlist) retransmitLimit() int {
	sends := 3
	for n := len(r.members) + 1; n > 1; n /= 2 {
		sends += 2
	}
	return sends
}

// newMemberSends is how often a process transmits that a member is new. It is small
// because otherwise, when many processes start at once, each would announce all to
// all. Members missed this way are learned by synchronization.
const newMemberSends = 2

// queueUpdate queues the update of an entry for the given number of transmissions and
// invalidates the cached snapshot. The caller holds the lock.
func (r *Memberlist) queueUpdate(e *entry, sends int) {
	e.sendsLeft, r.cachedSnapshot = sends, nil
	if sends > 0 && !slices.Contains(r.updateQueue, e) {
		r.updateQueue = append(r.updateQueue, e)
	}
}

// Serve runs the membership protocol until ctx is done.
func (r *Memberlist) Serve(ctx context.Context) error {
	conn, err := r.k.Net.ListenPacket(r.cfg.Self.Addr)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	r.mu.Lock()
	r.conn = conn
	r.mu.Unlock()
	go r.probeLoop(ctx)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("membership: %w", err)
		}
		var p packet
		if json.Unmarshal(buf[:n], &p) != nil || p.From == "" {
			r.k.Counters.Add("membership.malformed", 1)
			continue
		}
		r.handlePacket(ctx, p)
	}
}

// handlePacket merges the updates of a received packet and responds to its kind.
func (r *Memberlist) handlePacket(ctx context.Context, p packet) {
	for _, m := range p.Updates {
		if newer, ok := r.mergeUpdate(m, p.Kind != page); ok && m.Addr == p.From {
			// The sender's clock may have stepped back between two incarnations: it is
			// sent the newest known one, and refutes it with the next.
			r.send(packet{Kind: ack, Updates: []Member{newer}}, p.From)
		}
	}
	switch p.Kind {
	case ping:
		r.send(packet{Kind: ack, Seq: p.Seq, Updates: r.updatesWithSelf()}, p.From)
	case join:
		missing := r.differingMembers(p.Checksums)
		if len(missing) == 0 {
			r.send(packet{Kind: ack, Seq: p.Seq}, p.From)
			return
		}
		r.sendPages(p.From, packet{Kind: page, Seq: p.Seq, Checksums: r.checksums()}, missing)
	case ack, page:
		r.mu.Lock()
		if ch := r.pendingAcks[p.Seq]; ch != nil {
			close(ch)
			delete(r.pendingAcks, p.Seq)
		}
		r.mu.Unlock()
		if len(p.Checksums) == partitions {
			// The sender knew other members than this process. It is sent what it lacks
			// itself, and another synchronization soon makes up for lost datagrams.
			r.outOfSync.Store(true)
			r.sendPages(p.From, packet{Kind: page}, r.differingMembers(p.Checksums))
		}
	case pingReq:
		go func() {
			if r.roundTrip(ctx, p.Target, packet{Kind: ping}, r.cfg.ProbeInterval/2) {
				r.send(packet{Kind: ack, Seq: p.Seq}, p.From)
			}
		}()
	default:
		if h := r.handlers[p.Kind]; h != nil {
			h(p.From, p.Body)
		} else {
			r.k.Counters.Add("membership.malformed", 1)
		}
	}
}

// differingMembers lists the members of the partitions whose checksums differ from the
// given ones, or all members if no checksums are given.
func (r *Memberlist) differingMembers(sums []uint32) []Member {
	current := r.snapshot()
	if len(sums) != partitions {
		return current.members
	}
	var differing []Member
	for _, m := range current.members {
		if partition, _ := hashAddr(m.Addr); current.checksums[partition] != sums[partition] {
			differing = append(differing, m)
		}
	}
	return differing
}

// checksums returns the partition checksums of the members known to this process.
func (r *Memberlist) checksums() []uint32 { s := r.snapshot().checksums; return s[:] }

// sendPages sends the members in several datagrams, since one does not hold many. The
// checksums go with the last.
func (r *Memberlist) sendPages(to string, p packet, members []Member) {
	sums := p.Checksums
	for len(members) > 0 {
		n := min(len(members), pageSize)
		if p.Updates, p.Checksums, members = members[:n], nil, members[n:]; len(members) == 0 {
			p.Checksums = sums
		}
		r.send(p, to)
	}
}

// updatesWithSelf returns the updates to transmit, with this process first.
func (r *Memberlist) updatesWithSelf() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Member{r.self}, r.gossip()...)
}

// mergeUpdate merges one update. If a newer state of that member is known already, it
// returns that. A new member is gossiped on only if relay is true, that is unless it
// was found by synchronization.
func (r *Memberlist) mergeUpdate(m Member, relay bool) (newer Member, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Addr == r.self.Addr {
		if r.leaving {
			return Member{}, false // it has announced its departure itself
		}
		if m.Incarnation > r.self.Incarnation || m.Status != Alive && m.Incarnation == r.self.Incarnation {
			r.self.Incarnation, r.cachedSnapshot = m.Incarnation+1, nil // refute
			r.k.Counters.Add("membership.objections", 1)
		}
		return Member{}, false
	}
	e := r.members[m.Addr]
	if e == nil {
		if m.Status == Dead {
			return Member{}, false
		}
		if len(r.members) >= maxMembers {
			r.k.Counters.Add("membership.too_many", 1)
			return Member{}, false
		}
		e = &entry{Member: m, statusSince: r.k.Clock.Now()}
		r.members[m.Addr] = e
		sends := 0
		if relay {
			sends = newMemberSends
		}
		r.queueUpdate(e, sends)
		r.changes.NotifyAll()
		return Member{}, false
	}
	if m.Incarnation < e.Incarnation || m.Incarnation == e.Incarnation && m.Status <= e.Status {
		return e.Member, m.Incarnation < e.Incarnation || m.Status < e.Status
	}
	changed := (e.Status == Dead) != (m.Status == Dead) || e.Role != m.Role
	if e.Status != m.Status {
		e.statusSince = r.k.Clock.Now()
	}
	e.Member = m
	r.queueUpdate(e, r.retransmitLimit())
	if changed {
		r.changes.NotifyAll()
	}
	return Member{}, false
}

// Leave notifies a few other members that this process is shutting down.
func (r *Memberlist) Leave(context.Context) {
	r.mu.Lock()
	r.leaving = true
	gone := r.self
	gone.Status = Dead
	r.mu.Unlock()
	for i, m := range r.Members() {
		if i < 2*indirectProbes && m.Addr != gone.Addr {
			r.send(packet{Kind: ack, Updates: []Member{gone}}, m.Addr)
		}
	}
}
