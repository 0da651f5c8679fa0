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

// A member is alive until its direct probe and all indirect probes fail. It is then
// suspected, and it is declared dead unless it refutes the suspicion in time.
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
	Seq       uint64          `json:"q,omitempty"` // of the request, repeated in the response
	From      string          `json:"f"`           // the sender's address
	Target    string          `json:"t,omitempty"` // of an indirect ping
	Updates   []Member        `json:"m,omitempty"`
	Checksums []uint32        `json:"h,omitempty"` // one per partition of the members known to the sender
	Body      json.RawMessage `json:"b,omitempty"`
}

// Kinds of packets, and limits of the protocol. A syncRequest carries the checksums of
// the members known to its sender, or none if the sender requests all members.
const (
	ping        = "ping"
	ack         = "ack"
	pingReq     = "ask"
	syncRequest = "join"
	syncReply   = "page" // members of the partitions that differ

	maxUpdates       = 8  // members whose updates one packet carries, besides the sender
	syncReplyMembers = 24 // members in one datagram of a synchronization
	maxDatagramBytes = 8192
	indirectProbes   = 3      // members that are requested to probe one that did not answer
	maxMembers       = 10_000 // further members are ignored

	syncEveryRounds = 3 // probe rounds between two synchronizations with a member
)

// Config configures a Memberlist.
type Config struct {
	Self          Member
	Seeds         []string
	ProbeInterval kernel.Micros // between probes; the indirect probes may take another interval
}

// entry is the local state of another member.
type entry struct {
	Member
	statusSince       kernel.Micros // when the present status began
	transmissionsLeft int           // remaining transmissions of its update
}

// Memberlist takes part in the membership protocol and holds the members known to this process.
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
	probeOrder     []string  // addresses that remain to be probed in this round
	nextSeq        uint64
	pendingAcks    map[uint64]chan struct{} // by sequence number; closed by the response
	handlers       map[string]func(from string, body json.RawMessage)
	changes        kernel.Notifier
}

// New returns a Memberlist. Its incarnation is the wall-clock time, so that a restarted
// process supersedes all updates about its predecessor.
func New(k *kernel.Kernel, cfg Config) *Memberlist {
	cfg.Self.Incarnation = time.Now().UnixMicro()
	l := &Memberlist{
		k: k, cfg: cfg, self: cfg.Self,
		members: map[string]*entry{}, pendingAcks: map[uint64]chan struct{}{},
		handlers: map[string]func(string, json.RawMessage){},
	}
	l.outOfSync.Store(true)
	return l
}

// Self returns this process as a member.
func (l *Memberlist) Self() Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.self
}

// Changed returns a channel that is closed at the next change of membership.
func (l *Memberlist) Changed() <-chan struct{} { return l.changes.Wait() }

// Handle registers the handler of datagrams of kind k, which another package defines.
// All handlers must be registered before Serve is called.
func (l *Memberlist) Handle(k string, h func(from string, body json.RawMessage)) { l.handlers[k] = h }

// SendDatagram sends a datagram to each of the addresses. It may be lost, duplicated or
// delayed. It carries no membership updates: a datagram sent to all members at once
// must be small.
func (l *Memberlist) SendDatagram(addrs []string, kind string, body any) {
	raw, err := json.Marshal(body)
	if err == nil {
		l.send(packet{Kind: kind, Body: raw, Updates: []Member{}}, addrs...)
	}
}

// send encodes a packet once and sends it to the addresses.
func (l *Memberlist) send(p packet, addrs ...string) {
	l.mu.Lock()
	p.From = l.self.Addr
	if p.Updates == nil && p.Kind != pingReq {
		p.Updates = l.selectUpdates()
	}
	conn := l.conn
	l.mu.Unlock()
	raw, err := json.Marshal(p)
	if conn == nil || err != nil {
		return
	}
	for _, addr := range addrs {
		to, err := netip.ParseAddrPort(addr)
		if err != nil {
			l.k.Counters.Add("membership.malformed", 1)
			continue
		}
		if _, err := conn.WriteTo(raw, net.UDPAddrFromAddrPort(to)); err != nil {
			l.k.Counters.Add("membership.send_failed", 1)
		}
	}
}

// selectUpdates returns the updates with the most transmissions left, for the next
// packet, and counts that transmission. The caller holds the lock.
func (l *Memberlist) selectUpdates() []Member {
	l.updateQueue = slices.DeleteFunc(l.updateQueue, func(e *entry) bool { return e.transmissionsLeft == 0 || l.members[e.Addr] != e })
	if len(l.updateQueue) == 0 {
		return nil
	}
	slices.SortStableFunc(l.updateQueue, func(a, b *entry) int { return b.transmissionsLeft - a.transmissionsLeft })
	picked := make([]Member, 0, maxUpdates)
	for _, e := range l.updateQueue[:min(len(l.updateQueue), maxUpdates)] {
		e.transmissionsLeft--
		picked = append(picked, e.Member)
	}
	return picked
}

// retransmitLimit returns how often a process transmits a change of a member's status.
// It grows with the logarithm of the group size, so that all members soon learn of it.
func (l *Memberlist) retransmitLimit() int {
	limit := 3
	for n := len(l.members) + 1; n > 1; n /= 2 {
		limit += 2
	}
	return limit
}

// newMemberTransmissions is how often a process transmits that a member is new. It is
// small because otherwise, when many processes start at once, each would announce all
// others to all. Members missed this way are learned by synchronization.
const newMemberTransmissions = 2

// queueUpdate queues the update of an entry for the given number of transmissions and
// invalidates the cached snapshot. The caller holds the lock.
func (l *Memberlist) queueUpdate(e *entry, transmissions int) {
	e.transmissionsLeft, l.cachedSnapshot = transmissions, nil
	if transmissions > 0 && !slices.Contains(l.updateQueue, e) {
		l.updateQueue = append(l.updateQueue, e)
	}
}

// Serve runs the membership protocol until ctx is done.
func (l *Memberlist) Serve(ctx context.Context) error {
	conn, err := l.k.Net.ListenPacket(l.cfg.Self.Addr)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	defer conn.Close()
	l.mu.Lock()
	l.conn = conn
	l.mu.Unlock()
	go l.probeLoop(ctx)
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
			l.k.Counters.Add("membership.malformed", 1)
			continue
		}
		l.handlePacket(ctx, p)
	}
}

// handlePacket merges the updates of a received packet and responds to its kind.
func (l *Memberlist) handlePacket(ctx context.Context, p packet) {
	for _, update := range p.Updates {
		if newer, ok := l.mergeUpdate(update, p.Kind != syncReply); ok && update.Addr == p.From {
			// The sender's clock may have stepped back before it restarted: it is sent
			// its newest known incarnation, and refutes that with the next one.
			l.send(packet{Kind: ack, Updates: []Member{newer}}, p.From)
		}
	}
	switch p.Kind {
	case ping:
		l.send(packet{Kind: ack, Seq: p.Seq, Updates: l.updatesWithSelf()}, p.From)
	case syncRequest:
		missing := l.differingMembers(p.Checksums)
		if len(missing) == 0 {
			l.send(packet{Kind: ack, Seq: p.Seq}, p.From)
			return
		}
		l.sendSyncReply(p.From, packet{Kind: syncReply, Seq: p.Seq, Checksums: l.checksums()}, missing)
	case ack, syncReply:
		l.mu.Lock()
		if ch := l.pendingAcks[p.Seq]; ch != nil {
			close(ch)
			delete(l.pendingAcks, p.Seq)
		}
		l.mu.Unlock()
		if len(p.Checksums) == partitions {
			// The sender knew other members than this process. It is sent those that it
			// does not know, and another synchronization soon makes up for lost datagrams.
			l.outOfSync.Store(true)
			l.sendSyncReply(p.From, packet{Kind: syncReply}, l.differingMembers(p.Checksums))
		}
	case pingReq:
		go func() {
			if l.roundTrip(ctx, p.Target, packet{Kind: ping}, l.cfg.ProbeInterval/2) {
				l.send(packet{Kind: ack, Seq: p.Seq}, p.From)
			}
		}()
	default:
		if handler := l.handlers[p.Kind]; handler != nil {
			handler(p.From, p.Body)
		} else {
			l.k.Counters.Add("membership.malformed", 1)
		}
	}
}

// differingMembers lists the members of the partitions whose checksums differ from the
// given ones, or all members if no checksums are given.
func (l *Memberlist) differingMembers(sums []uint32) []Member {
	current := l.snapshot()
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
func (l *Memberlist) checksums() []uint32 { s := l.snapshot().checksums; return s[:] }

// sendSyncReply sends the members in several datagrams of at most syncReplyMembers, since
// the size of a datagram is limited. The last one carries the checksums.
func (l *Memberlist) sendSyncReply(to string, p packet, members []Member) {
	sums := p.Checksums
	for len(members) > 0 {
		count := min(len(members), syncReplyMembers)
		if p.Updates, p.Checksums, members = members[:count], nil, members[count:]; len(members) == 0 {
			p.Checksums = sums
		}
		l.send(p, to)
	}
}

// updatesWithSelf returns the updates to transmit, with this process first.
func (l *Memberlist) updatesWithSelf() []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Member{l.self}, l.selectUpdates()...)
}

// mergeUpdate merges one update. If a newer state of that member is known already, it
// returns that state. The update of a new member is queued for transmission only if relay
// is true, that is, unless the member was learned by synchronization.
func (l *Memberlist) mergeUpdate(update Member, relay bool) (newer Member, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if update.Addr == l.self.Addr {
		if l.leaving {
			return Member{}, false // this process has announced its departure itself
		}
		if update.Incarnation > l.self.Incarnation || update.Status != Alive && update.Incarnation == l.self.Incarnation {
			l.self.Incarnation, l.cachedSnapshot = update.Incarnation+1, nil // refute
			l.k.Counters.Add("membership.objections", 1)
		}
		return Member{}, false
	}
	e := l.members[update.Addr]
	if e == nil {
		if update.Status == Dead {
			return Member{}, false
		}
		if len(l.members) >= maxMembers {
			l.k.Counters.Add("membership.too_many", 1)
			return Member{}, false
		}
		e = &entry{Member: update, statusSince: l.k.Clock.Now()}
		l.members[update.Addr] = e
		transmissions := 0
		if relay {
			transmissions = newMemberTransmissions
		}
		l.queueUpdate(e, transmissions)
		l.changes.NotifyAll()
		return Member{}, false
	}
	if update.Incarnation < e.Incarnation || update.Incarnation == e.Incarnation && update.Status <= e.Status {
		return e.Member, update.Incarnation < e.Incarnation || update.Status < e.Status
	}
	changed := (e.Status == Dead) != (update.Status == Dead) || e.Role != update.Role
	if e.Status != update.Status {
		e.statusSince = l.k.Clock.Now()
	}
	e.Member = update
	l.queueUpdate(e, l.retransmitLimit())
	if changed {
		l.changes.NotifyAll()
	}
	return Member{}, false
}

// Leave notifies a few other members that this process is shutting down.
func (l *Memberlist) Leave(context.Context) {
	l.mu.Lock()
	l.leaving = true
	departure := l.self
	departure.Status = Dead
	l.mu.Unlock()
	for i, member := range l.Members() {
		if i < 2*indirectProbes && member.Addr != departure.Addr {
			l.send(packet{Kind: ack, Updates: []Member{departure}}, member.Addr)
		}
	}
}
