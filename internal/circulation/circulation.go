// Package circulation is the membership of indigowalk's processes: probes to a
// few others in turn, second opinions through third parties, and suspicion
// before removal, as in SWIM, over datagrams.
package circulation

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/foundation"
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
	Sum    uint64          `json:"h,omitempty"` // of the members that the sender knows
	Body   json.RawMessage `json:"b,omitempty"`
}

const (
	ping    = "ping"
	ack     = "ack"
	pingReq = "ask"
	join    = "join"

	maxNews     = 8
	pageSize    = 24 // members in one answer to a newcomer
	maxDatagram = 8192
	referees    = 3

	compareEvery = 3 // rounds of probes from one comparison with a member to the next
)

// Config is what a ring is built from.
type Config struct {
	Self  Member
	Seeds []string
	Probe foundation.Micros // pause between probes; second opinions get the same again
}

type entry struct {
	Member
	since foundation.Micros // of the present status
	sends int               // how often its news has been passed on
}

// Ring is one process's view of the members.
type Ring struct {
	k   *foundation.Kernel
	cfg Config

	mu       sync.Mutex
	conn     net.PacketConn
	self     Member
	left     bool // this life has said that it ends
	members  map[string]*entry
	turn     []string
	nextSeq  uint64
	waiting  map[uint64]chan struct{}
	handlers map[string]func(from string, body json.RawMessage)
	bell     foundation.Bell
}

// New returns a ring; its life starts with the time of day, so that a restart
// outranks what was said of the life before.
func New(k *foundation.Kernel, cfg Config) *Ring {
	cfg.Self.Life = time.Now().UnixMicro()
	return &Ring{
		k: k, cfg: cfg, self: cfg.Self,
		members: map[string]*entry{}, waiting: map[uint64]chan struct{}{},
		handlers: map[string]func(string, json.RawMessage){},
	}
}

// Self returns this process as a member.
func (r *Ring) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Members lists all that are not dead, this process included.
func (r *Ring) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := []Member{r.self}
	for _, e := range r.members {
		if e.Status != Dead {
			out = append(out, e.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Addr, b.Addr) })
	return out
}

// Peers lists the inner addresses of the others with the role.
func (r *Ring) Peers(role string) []string {
	var out []string
	for _, m := range r.Members() {
		if m.Role == role && m.Addr != r.cfg.Self.Addr {
			out = append(out, m.Addr)
		}
	}
	return out
}

// sum stands for the set of all that are not dead.
func (r *Ring) sum() (sum uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add := func(addr string) {
		h := fnv.New64a()
		h.Write([]byte(addr))
		sum ^= h.Sum64()
	}
	add(r.self.Addr)
	for addr, e := range r.members {
		if e.Status != Dead {
			add(addr)
		}
	}
	return sum
}

// Changed closes at the next change of membership.
func (r *Ring) Changed() <-chan struct{} { return r.bell.Wait() }

// Handle sets what is done with datagrams of a kind of another package; all
// are set before Serve.
func (r *Ring) Handle(kind string, f func(from string, body json.RawMessage)) { r.handlers[kind] = f }

// Send sends one datagram; it may be lost, repeated or late. It carries no
// news of members: what goes to all at once must be small.
func (r *Ring) Send(addr, kind string, body any) {
	raw, err := json.Marshal(body)
	if err == nil {
		r.send(addr, packet{Kind: kind, Body: raw, News: []Member{}})
	}
}

func (r *Ring) send(addr string, p packet) {
	r.mu.Lock()
	p.From = r.self.Addr
	if p.News == nil && p.Kind != pingReq {
		p.News = r.gossip()
	}
	conn := r.conn
	r.mu.Unlock()
	to, err := net.ResolveUDPAddr("udp4", addr)
	if conn == nil || err != nil {
		return
	}
	raw, err := json.Marshal(p)
	if err != nil {
		return
	}
	if _, err := conn.WriteTo(raw, to); err != nil {
		r.k.Counters.Add("circulation.send_failed", 1)
	}
}

// gossip picks the news passed on least often.
func (r *Ring) gossip() []Member {
	limit := 3
	for n := len(r.members) + 1; n > 1; n /= 2 {
		limit += 2
	}
	var fresh []*entry
	for _, e := range r.members {
		if e.sends < limit {
			fresh = append(fresh, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int { return a.sends - b.sends })
	var out []Member
	for _, e := range fresh[:min(len(fresh), maxNews)] {
		e.sends++
		out = append(out, e.Member)
	}
	return out
}

// Serve takes part until ctx ends.
func (r *Ring) Serve(ctx context.Context) error {
	conn, err := r.k.Net.ListenPacket(r.cfg.Self.Addr)
	if err != nil {
		return fmt.Errorf("circulation: %w", err)
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
			return fmt.Errorf("circulation: %w", err)
		}
		var p packet
		if json.Unmarshal(buf[:n], &p) != nil || p.From == "" {
			r.k.Counters.Add("circulation.malformed", 1)
			continue
		}
		r.take(ctx, p)
	}
}

func (r *Ring) take(ctx context.Context, p packet) {
	for _, m := range p.News {
		if newer, ok := r.learn(m); ok && m.Addr == p.From {
			// Its clock may have stepped back between two lives: it learns the
			// newest that is known, and objects with the next.
			r.send(p.From, packet{Kind: ack, News: []Member{newer}})
		}
	}
	switch p.Kind {
	case ping:
		r.send(p.From, packet{Kind: ack, Seq: p.Seq, News: r.aboutSelf()})
	case join:
		if p.Sum != 0 && p.Sum == r.sum() {
			r.send(p.From, packet{Kind: ack, Seq: p.Seq})
			return
		}
		// Page by page: one datagram does not hold many members.
		for page := range slices.Chunk(r.Members(), pageSize) {
			r.send(p.From, packet{Kind: ack, Seq: p.Seq, News: page})
		}
	case ack:
		r.mu.Lock()
		if ch := r.waiting[p.Seq]; ch != nil {
			close(ch)
			delete(r.waiting, p.Seq)
		}
		r.mu.Unlock()
	case pingReq:
		go func() {
			if r.ask(ctx, p.Target, packet{Kind: ping}, r.cfg.Probe/2) {
				r.send(p.From, packet{Kind: ack, Seq: p.Seq})
			}
		}()
	default:
		if h := r.handlers[p.Kind]; h != nil {
			h(p.From, p.Body)
		} else {
			r.k.Counters.Add("circulation.malformed", 1)
		}
	}
}

// aboutSelf is the usual news with this process first.
func (r *Ring) aboutSelf() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Member{r.self}, r.gossip()...)
}

// learn merges one piece of news; if more is known of that member already, it
// returns what.
func (r *Ring) learn(m Member) (newer Member, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Addr == r.self.Addr {
		if r.left {
			return Member{}, false // it says so itself
		}
		if m.Life > r.self.Life || m.Status != Alive && m.Life == r.self.Life {
			r.self.Life = m.Life + 1 // object
			r.k.Counters.Add("circulation.objections", 1)
		}
		return Member{}, false
	}
	e := r.members[m.Addr]
	if e == nil {
		if m.Status == Dead {
			return Member{}, false
		}
		r.members[m.Addr] = &entry{Member: m, since: r.k.Clock.Now()}
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
	e.Member, e.sends = m, 0
	if changed {
		r.bell.Ring()
	}
	return Member{}, false
}

// ask sends p and waits for the ack.
func (r *Ring) ask(ctx context.Context, addr string, p packet, wait foundation.Micros) bool {
	ch := make(chan struct{})
	r.mu.Lock()
	r.nextSeq++
	seq := r.nextSeq
	p.Seq = seq
	r.waiting[seq] = ch
	r.mu.Unlock()
	if p.News == nil {
		p.News = r.aboutSelf()
	}
	r.send(addr, p)
	defer func() {
		r.mu.Lock()
		delete(r.waiting, seq)
		r.mu.Unlock()
	}()
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	select {
	case <-ch:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func (r *Ring) probeLoop(ctx context.Context) {
	r.joinSeeds(ctx)
	for round := 0; foundation.Sleep(ctx, r.cfg.Probe); round++ {
		r.bury()
		target, n := r.next()
		if target == "" || round%8 == 7 {
			r.joinSeeds(ctx)
		}
		if target != "" && round%compareEvery == 2 {
			// News wear out before everyone has them, most of all when many
			// start at once: who knows others than the target does asks for all.
			go r.ask(ctx, target, packet{Kind: join, Sum: r.sum()}, r.cfg.Probe/2)
		}
		if target == "" {
			continue
		}
		if n > 0 && !r.ask(ctx, target, packet{Kind: ping}, r.cfg.Probe/2) && !r.secondOpinion(ctx, target) && ctx.Err() == nil {
			r.suspect(target)
		}
	}
}

// joinSeeds greets the seeds that are not known to be alive.
func (r *Ring) joinSeeds(ctx context.Context) {
	for _, s := range r.cfg.Seeds {
		r.mu.Lock()
		e := r.members[s]
		r.mu.Unlock()
		if s != r.cfg.Self.Addr && (e == nil || e.Status != Alive) {
			go r.ask(ctx, s, packet{Kind: join}, r.cfg.Probe/2)
		}
	}
}

// next picks members in a shuffled turn, so that each is probed in bounded
// time.
func (r *Ring) next() (string, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 2 {
		for len(r.turn) > 0 {
			addr := r.turn[0]
			r.turn = r.turn[1:]
			if e := r.members[addr]; e != nil && e.Status != Dead {
				return addr, len(r.members)
			}
		}
		for addr := range r.members {
			r.turn = append(r.turn, addr)
		}
		rand.Shuffle(len(r.turn), func(i, j int) { r.turn[i], r.turn[j] = r.turn[j], r.turn[i] })
	}
	return "", 0
}

func (r *Ring) secondOpinion(ctx context.Context, target string) bool {
	r.mu.Lock()
	var others []string
	for addr, e := range r.members {
		if addr != target && e.Status == Alive {
			others = append(others, addr)
		}
	}
	r.mu.Unlock()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(len(others), referees)]
	got := make(chan bool, len(others))
	for _, o := range others {
		go func() { got <- r.ask(ctx, o, packet{Kind: pingReq, Target: target}, r.cfg.Probe) }()
	}
	for range others {
		if <-got {
			return true
		}
	}
	return false
}

func (r *Ring) suspect(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.members[addr]; e != nil && e.Status == Alive {
		e.Status, e.since, e.sends = Suspect, r.k.Clock.Now(), 0
		r.k.Counters.Add("circulation.suspected", 1)
	}
}

// bury removes those suspected for three probes without an objection, and
// forgets the dead after a while.
func (r *Ring) bury() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.k.Clock.Now()
	for addr, e := range r.members {
		switch {
		case e.Status == Suspect && now-e.since > 3*r.cfg.Probe:
			e.Status, e.since, e.sends = Dead, now, 0
			r.k.Log.Info("member removed", "name", e.Name, "role", e.Role)
			r.bell.Ring()
		case e.Status == Dead && now-e.since > 60*r.cfg.Probe:
			delete(r.members, addr)
		}
	}
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
			r.send(m.Addr, packet{Kind: ack, News: []Member{gone}})
		}
	}
}
