package standin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// Deadline is that of the load's routes, after which a statement runs no more.
const Deadline = 2 * time.Second

// Stale is stale_ms of the routes on which reads may be old.
const Stale = 1500 * time.Millisecond

// Kinds of routes, by the first letter of their types; the route of a kind to a
// service is called KIND.SERVICE.
const (
	PrimaryRoute = "p"
	BoundedRoute = "b"
	NearestRoute = "n"
)

// Pooler is where sessions are opened.
type Pooler struct {
	Number  int            // names what is written through it
	Address func() string  // as the entry has it now
	Network kernel.Network // of the clients there
}

// At is the address of a pooler that never moves.
func At(address string) func() string { return func() string { return address } }

// Statement is what a client asked, and what came of it.
type Statement struct {
	Pooler, Route string
	ID            string
	Write         bool
	Thing         string
	Value         int  // written, or read
	Own           bool // a read of what the session wrote itself
	Sent, Done    time.Time
	Last          time.Time // when the last message of it was sent: a COMMIT, where it is one in a transaction
	Code          string    // of the error, "" for success
}

// Load is a workload that checks what clients are promised.
type Load struct {
	g       *Group
	poolers []Pooler
	observe func(Statement)

	mu       sync.Mutex
	acks     map[string][]ack   // by thing: counters acknowledged, with the time
	promised map[string]promise // by id, of which nothing may be kept
	Served   int
	Refused  int
	Unsure   int
	Slowest  time.Duration // between two served writes

	lastServed time.Time
	stop       chan struct{}
	wg         sync.WaitGroup
}

// promise is an answer after which nothing may be kept.
type promise struct {
	pooler, code string
	at           time.Time
}

type ack struct {
	n  int
	at time.Time
}

// writersAPooler are the clients that write through each pooler, each a thing of
// its own.
const writersAPooler = 2

// NewLoad starts writers and readers of the group at the poolers; observe, if there
// is one, is told of every statement.
func NewLoad(g *Group, seed uint64, poolers []Pooler, observe func(Statement)) *Load {
	l := &Load{
		g: g, poolers: poolers, observe: observe, acks: map[string][]ack{}, promised: map[string]promise{},
		stop: make(chan struct{}), lastServed: time.Now(),
	}
	for _, p := range poolers {
		for i := range writersAPooler {
			l.start(seed, p, func(r *rand.Rand) { l.writer(r, p, thingOf(p.Number, i)) })
		}
		for _, kind := range []string{PrimaryRoute, BoundedRoute, NearestRoute} {
			l.start(seed, p, func(r *rand.Rand) { l.reader(r, p, kind) })
		}
	}
	return l
}

func thingOf(pooler, writer int) string { return fmt.Sprintf("t%d.%d", pooler, writer) }

func (l *Load) start(seed uint64, p Pooler, f func(*rand.Rand)) {
	l.wg.Add(1)
	r := rand.New(rand.NewPCG(seed, uint64(p.Number)))
	go func() {
		defer l.wg.Done()
		f(r)
	}()
}

// Stop ends the load and checks the promises that were made.
func (l *Load) Stop() {
	close(l.stop)
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.g.Final(l.promised)
}

func (l *Load) over() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// Promises tells whether the code of an error promises that nothing is kept.
func Promises(code string) bool {
	switch code {
	case lineprotocol.Retry, lineprotocol.RolledBack, lineprotocol.Lagging, lineprotocol.ReadOnly, lineprotocol.WrongNode, lineprotocol.MaxConn:
		return true
	}
	return false
}

// pause is what a client waits between two operations.
func pause(r *rand.Rand) { time.Sleep(time.Duration(20+r.IntN(30)) * time.Millisecond) }

// login opens a session with a value of its own.
func (l *Load) login(p Pooler, kind string) (*Session, *lineprotocol.Answer) {
	s, _ := Login(p.Network, p.Address(), kind+"."+l.g.Service)
	if s == nil {
		return nil, nil
	}
	a, _ := s.Query("OPTION colour " + s.Name)
	return s, a
}

// told tells the observer of a statement on a session.
func (l *Load) told(session *Session, kind string, s Statement, a *lineprotocol.Answer) {
	if l.observe == nil {
		return
	}
	s.Pooler, s.Route, s.Done, s.Code = session.Address, kind+"."+l.g.Service, time.Now(), a.Code
	l.observe(s)
}

// writer counts a thing up, sometimes in a transaction.
func (l *Load) writer(r *rand.Rand, p Pooler, thing string) {
	var s *Session
	for n := 1; !l.over(); n++ {
		pause(r)
		if s == nil {
			if s, _ = l.login(p, PrimaryRoute); s == nil {
				continue
			}
		}
		a := l.write(r, p, s, thing, n)
		if a.Code == Cut || s.State != "I" {
			s.Close()
			s = nil
		}
		if a.Code == Cut {
			time.Sleep(Deadline) // until then it may take effect, and would hide the next
		}
	}
	if s != nil {
		s.Close()
	}
}

// write writes a thing once and returns the answer by which it is kept or not.
func (l *Load) write(r *rand.Rand, p Pooler, s *Session, thing string, n int) *lineprotocol.Answer {
	inside := r.IntN(3) == 0
	if inside {
		s.Query("BEGIN")
	}
	sent := time.Now()
	a, id := s.Query(fmt.Sprintf("PUT %s %d", thing, n))
	last := sent
	if inside && a.Code == "" {
		last = time.Now()
		a, _ = s.Query("COMMIT")
	}
	l.note(s, a, thing, n, id)
	l.told(s, PrimaryRoute, Statement{ID: id, Write: true, Thing: thing, Value: n, Sent: sent, Last: last}, a)
	return a
}

func (l *Load) note(s *Session, a *lineprotocol.Answer, thing string, n int, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Code == "":
		l.acks[thing] = append(l.acks[thing], ack{n, now})
		l.Slowest = max(l.Slowest, now.Sub(l.lastServed))
		l.lastServed = now
		l.Served++
		l.g.Ack(id)
	case Promises(a.Code):
		l.Refused++
		l.promised[id] = promise{s.Address, a.Code, now}
	default:
		l.Unsure++
	}
}

// LongestGap is the longest time between two writes served at a pooler.
func (l *Load) LongestGap(pooler int) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at []time.Time
	for i := range writersAPooler {
		for _, a := range l.acks[thingOf(pooler, i)] {
			at = append(at, a.at)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := 1; i < len(at); i++ {
		longest = max(longest, at[i].Sub(at[i-1]))
	}
	return longest
}

// expect is the lowest counter that a read begun now may show.
func (l *Load) expect(thing string, kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := time.Now()
	if kind != PrimaryRoute {
		bound = bound.Add(-Stale)
	}
	n := 0
	for _, a := range l.acks[thing] {
		if a.at.Before(bound) {
			n = a.n
		}
	}
	return n
}

// reader reads things and checks how fresh they are, and that its own values
// are in force.
func (l *Load) reader(r *rand.Rand, p Pooler, kind string) {
	var s *Session
	own, ownN := fmt.Sprintf("own%s%d", kind, p.Number), 0
	for !l.over() {
		pause(r)
		if s == nil {
			var a *lineprotocol.Answer
			if s, a = l.login(p, kind); s == nil {
				continue
			}
			if a.Code != "" {
				s.Close()
				s = nil
				continue
			}
			ownN = 0
		}
		thing := thingOf(l.poolers[r.IntN(len(l.poolers))].Number, r.IntN(writersAPooler))
		if kind == NearestRoute && r.IntN(3) == 0 {
			if a, _ := s.Query(fmt.Sprintf("PUT %s %d", own, ownN+1)); a.Code == "" {
				ownN++
			}
			thing = own
		}
		want := l.expect(thing, kind)
		if thing == own {
			want = ownN
		}
		if a := l.read(p, s, kind, thing, want, thing == own); a.Code == Cut || s.State != "I" {
			s.Close()
			s = nil
		}
	}
	if s != nil {
		s.Close()
	}
}

// read reads a thing once and checks what comes.
func (l *Load) read(p Pooler, s *Session, kind, thing string, want int, own bool) *lineprotocol.Answer {
	sent := time.Now()
	a, id := s.Query("FETCH " + thing)
	got, _ := strconv.Atoi(Row(a))
	if a.Code == "" {
		l.check(a, s, kind, thing, got, want, id)
	}
	l.told(s, kind, Statement{ID: id, Thing: thing, Value: got, Own: own, Sent: sent, Last: sent}, a)
	return a
}

func (l *Load) check(a *lineprotocol.Answer, s *Session, kind, thing string, got, want int, id string) {
	if got < want {
		l.g.Broke("STALE: %s read %d of %s by %q, %d was acknowledged", id, got, thing, kind, want)
	}
	if f := strings.Fields(string(a.Rows)); len(f) < 3 || f[2] != "1:"+s.Name {
		l.g.Broke("PINNED: %s ran with values %v", id, f)
	}
}
