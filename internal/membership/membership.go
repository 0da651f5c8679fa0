// Package membership is the membership of indigowalk's processes: probes to a
// few others in turn, second opinions through third parties, and suspicion
// before removal, as in SWIM, over datagrams.
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

// Status of a member.
type Status int

// A member is alive until a probe and the second opinions fail; then it is
// suspected, and removed if it does not object in time.
const (
	Alive Status = iota
	Suspect
	Dead
)

// Member is a process of the system; its inner address is its identity.
type Member struct {
	Addr   string `json:"a"`
	Name   string `json:"n"`
	Role   string `json:"r"`
	Zone   string `json:"z"`
	Life   int64  `json:"i"` // incarnation: rises with every start and objection
	Status Status `json:"s"`
}

type packet struct {
	Kind   string          `json:"k"`
	Seq    uint64          `json:"q,omitempty"`
	From   string          `json:"f"`
	Target string          `json:"t,omitempty"`
	News   []Member        `json:"m,omitempty"`
	Sums   []uint32        `json:"h,omitempty"` // of the parts of the members that the sender knows
	Body   json.RawMessage `json:"b,omitempty"`
}

const (
	ping    = "ping"
	ack     = "ack"
	pingReq = "ask"
	join    = "join"
	page    = "page" // members that differ, in answer to a join

	maxNews     = 8
	pageSize    = 24 // members in one answer to a newcomer
	maxDatagram = 8192
	referees    = 3
	maxMembers  = 10_000 // more than that are not believed

	compareEvery = 3 // rounds of probes from one comparison with a member to the next
)

// Config is what a ring is built from.
type Config struct {
	Self  Member
	Seeds []string
	Probe kernel.Micros // pause between probes; second opinions get the same again
}

type entry struct {
	Member
	since kernel.Micros // of the present status
	sends int           // how often its news may be passed on yet
}

// Ring is one process's view of the members.
type Ring struct {
	k   *kernel.Kernel
	cfg Config

	mu        sync.Mutex
	conn      net.PacketConn
	self      Member
	left      bool        // this life has said that it ends
	unsettled atomic.Bool // the last comparison found a difference
	members   map[string]*entry
	fresh     []*entry // whose news may still be passed on
	roll      *roll    // nil after a change
	turn      []string
	nextSeq   uint64
	waiting   map[uint64]chan struct{}
	handlers  map[string]func(from string, body json.RawMessage)
	bell      kernel.Bell
}

// New returns a ring; its life starts with the time of day, so that a restart
// outranks what was said of the life before.
func New(k *kernel.Kernel, cfg Config) *Ring {
	cfg.Self.Life = time.Now().UnixMicro()
	r := &Ring{
		k: k, cfg: cfg, self: cfg.Self,
		members: map[string]*entry{}, waiting: map[uint64]chan struct{}{},
		handlers: map[string]func(string, json.RawMessage){},
	}
	r.unsettled.Store(true)
	return r
}

// Self returns this process as a member.
func (r *Ring) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Changed closes at the next change of membership.
func (r *Ring) Changed() <-chan struct{} { return r.bell.Wait() }

// Handle sets what is done with datagrams of a kind of another package; all
// are set before Serve.
func (r *Ring) Handle(kind string, f func(from string, body json.RawMessage)) { r.handlers[kind] = f }

// Tell sends a datagram to each of the addresses; it may be lost, repeated or
// late. It carries no news of members: what goes to all at once must be small.
func (r *Ring) Tell(addrs []string, kind string, body any) {
	raw, err := json.Marshal(body)
	if err == nil {
		r.send(packet{Kind: kind, Body: raw, News: []Member{}}, addrs...)
	}
}

// send sends a packet, encoded once, to the addresses.
func (r *Ring) send(p packet, addrs ...string) {
	r.mu.Lock()
	p.From = r.self.Addr
	if p.News == nil && p.Kind != pingReq {
		p.News = r.gossip()
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

// gossip picks the news that may be passed on most often yet.
func (r *Ring) gossip() []Member {
	r.fresh = slices.DeleteFunc(r.fresh, func(e *entry) bool { return e.sends == 0 || r.members[e.Addr] != e })
	if len(r.fresh) == 0 {
		return nil
	}
	slices.SortStableFunc(r.fresh, func(a, b *entry) int { return b.sends - a.sends })
	out := make([]Member, 0, maxNews)
	for _, e := range r.fresh[:min(len(r.fresh), maxNews)] {
		e.sends--
		out = append(out, e.Member)
	}
	return out
}

// rumour is how often a process passes on that a member's status has changed:
// so often that all soon know.
func (r *Ring) rumour() int {
	sends := 3
	for n := len(r.members) + 1; n > 1; n /= 2 {
		sends += 2
	}
	return sends
}

// greeting is how often a process passes on that a member is new. Where many
// start at once each would tell all of all; whom it has not heard of in this
// way a process learns of by comparing.
const greeting = 2

// changed notes that an entry is news, to be passed on so often. The caller
// holds the lock.
func (r *Ring) changed(e *entry, sends int) {
	e.sends, r.roll = sends, nil
	if sends > 0 && !slices.Contains(r.fresh, e) {
		r.fresh = append(r.fresh, e)
	}
}

// Serve takes part until ctx ends.
func (r *Ring) Serve(ctx context.Context) error {
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
	buf := make([]byte, maxDatagram)
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
		r.take(ctx, p)
	}
}

func (r *Ring) take(ctx context.Context, p packet) {
	for _, m := range p.News {
		if newer, ok := r.learn(m, p.Kind != page); ok && m.Addr == p.From {
			// Its clock may have stepped back between two lives: it learns the
			// newest that is known, and objects with the next.
			r.send(packet{Kind: ack, News: []Member{newer}}, p.From)
		}
	}
	switch p.Kind {
	case ping:
		r.send(packet{Kind: ack, Seq: p.Seq, News: r.aboutSelf()}, p.From)
	case join:
		lacks := r.differing(p.Sums)
		if len(lacks) == 0 {
			r.send(packet{Kind: ack, Seq: p.Seq}, p.From)
			return
		}
		r.pages(p.From, packet{Kind: page, Seq: p.Seq, Sums: r.sums()}, lacks)
	case ack, page:
		r.mu.Lock()
		if ch := r.waiting[p.Seq]; ch != nil {
			close(ch)
			delete(r.waiting, p.Seq)
		}
		r.mu.Unlock()
		if len(p.Sums) == parts {
			// It knows others than this process did; what it lacks itself, and
			// whatever was lost on the way, is made up for soon.
			r.unsettled.Store(true)
			r.pages(p.From, packet{Kind: page}, r.differing(p.Sums))
		}
	case pingReq:
		go func() {
			if r.ask(ctx, p.Target, packet{Kind: ping}, r.cfg.Probe/2) {
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

// differing lists the members of the parts in which somebody with these sums
// knows others; all, if it knows none.
func (r *Ring) differing(sums []uint32) []Member {
	now := r.now()
	if len(sums) != parts {
		return now.all
	}
	var out []Member
	for _, m := range now.all {
		if part, _ := partOf(m.Addr); now.sums[part] != sums[part] {
			out = append(out, m)
		}
	}
	return out
}

// sums are those of the members that this process knows.
func (r *Ring) sums() []uint32 { s := r.now().sums; return s[:] }

// pages sends the members page by page, since one datagram does not hold many;
// the sums go with the last.
func (r *Ring) pages(to string, p packet, members []Member) {
	sums := p.Sums
	for len(members) > 0 {
		n := min(len(members), pageSize)
		if p.News, p.Sums, members = members[:n], nil, members[n:]; len(members) == 0 {
			p.Sums = sums
		}
		r.send(p, to)
	}
}

// aboutSelf is the usual news with this process first.
func (r *Ring) aboutSelf() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Member{r.self}, r.gossip()...)
}

// learn merges one piece of news; if more is known of that member already, it
// returns what. A new member that was told of in person or by word of mouth is
// passed on, one that was found by comparing is not.
func (r *Ring) learn(m Member, pass bool) (newer Member, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Addr == r.self.Addr {
		if r.left {
			return Member{}, false // it says so itself
		}
		if m.Life > r.self.Life || m.Status != Alive && m.Life == r.self.Life {
			r.self.Life, r.roll = m.Life+1, nil // object
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
		e = &entry{Member: m, since: r.k.Clock.Now()}
		r.members[m.Addr] = e
		sends := 0
		if pass {
			sends = greeting
		}
		r.changed(e, sends)
		r.bell.Ring()
		return Member{}, false
	}
	if m.Life < e.Life || m.Life == e.Life && m.Status <= e.Status {
		return e.Member, m.Life < e.Life || m.Status < e.Status
	}
	changed := (e.Status == Dead) != (m.Status == Dead) || e.Role != m.Role
	if e.Status != m.Status {
		e.since = r.k.Clock.Now()
	}
	e.Member = m
	r.changed(e, r.rumour())
	if changed {
		r.bell.Ring()
	}
	return Member{}, false
}

// Leave tells a few others that this process ends.
func (r *Ring) Leave(context.Context) {
	r.mu.Lock()
	r.left = true
	gone := r.self
	gone.Status = Dead
	r.mu.Unlock()
	for i, m := range r.Members() {
		if i < 2*referees && m.Addr != gone.Addr {
			r.send(packet{Kind: ack, News: []Member{gone}}, m.Addr)
		}
	}
}
