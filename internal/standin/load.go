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

// Deadline is the deadline of the load's routes. A statement does not start to run after it.
const Deadline = 2 * time.Second

// MaxStaleness is stale_ms of the routes on which reads may be stale.
const MaxStaleness = 1500 * time.Millisecond

// Kinds of routes, named by the first letter of their types (primary, bounded, nearest). The route
// of a kind to a service is named KIND.SERVICE.
const (
	PrimaryRoute = "p"
	BoundedRoute = "b"
	NearestRoute = "n"
)

// Pooler is a pooler as seen by its clients.
type Pooler struct {
	Number  int            // distinguishes the keys that are written through it
	Address func() string  // the current address
	Network kernel.Network // network of its clients
}

// FixedAddress returns an Address function for a pooler or gateway whose address never changes.
func FixedAddress(address string) func() string { return func() string { return address } }

// Statement is a client's statement and its result.
type Statement struct {
	Pooler, Route string
	ID            string
	Write         bool
	Key           string
	Value         int  // written, or read
	Own           bool // a read of a key that the session itself writes
	Sent, Done    time.Time
	LastSent      time.Time // when the client sent its last message: the COMMIT, for a write in a transaction
	Code          string    // of the error, "" for success
}

// Load is a workload of clients that read and write through poolers, and check the guarantees that are
// given to clients.
type Load struct {
	g       *Group
	poolers []Pooler
	observe func(Statement)

	mu              sync.Mutex
	acks            map[string][]ack   // acknowledged writes by key
	refusals        map[string]refusal // by id of the statements, which must not be committed
	Served          int                // writes that were acknowledged
	Refused         int                // writes whose error code promises that they are not committed
	UnknownOutcome  int                // writes of unknown outcome
	LongestWriteGap time.Duration      // the longest time between two consecutive served writes

	lastServed time.Time
	stop       chan struct{}
	wg         sync.WaitGroup
}

// refusal is an error answer after which the statement must not be committed.
type refusal struct {
	pooler, code string
	at           time.Time
}

// ack is an acknowledged write of the counter value n.
type ack struct {
	n  int
	at time.Time
}

// writersPerPooler is the number of clients that write through each pooler, each to its own key.
const writersPerPooler = 2

// NewLoad starts writers and readers of the group at the poolers. If observe is not nil, it is
// called with every statement.
func NewLoad(g *Group, seed uint64, poolers []Pooler, observe func(Statement)) *Load {
	l := &Load{
		g: g, poolers: poolers, observe: observe, acks: map[string][]ack{}, refusals: map[string]refusal{},
		stop: make(chan struct{}), lastServed: time.Now(),
	}
	for _, p := range poolers {
		for i := range writersPerPooler {
			l.startClient(seed, p, func(r *rand.Rand) { l.writer(r, p, keyFor(p.Number, i)) })
		}
		for _, kind := range []string{PrimaryRoute, BoundedRoute, NearestRoute} {
			l.startClient(seed, p, func(r *rand.Rand) { l.reader(r, p, kind) })
		}
	}
	return l
}

// keyFor returns the key that one writer at a pooler writes.
func keyFor(pooler, writer int) string { return fmt.Sprintf("t%d.%d", pooler, writer) }

// startClient starts a client in a goroutine, with its own random number generator.
func (l *Load) startClient(seed uint64, p Pooler, client func(*rand.Rand)) {
	l.wg.Add(1)
	r := rand.New(rand.NewPCG(seed, uint64(p.Number)))
	go func() {
		defer l.wg.Done()
		client(r)
	}()
}

// Stop ends the load and runs the group's final checks.
func (l *Load) Stop() {
	close(l.stop)
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.g.Final(l.refusals)
}

// stopped reports whether Stop was called.
func (l *Load) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// PromisesNotCommitted reports whether an error code guarantees that the statement is not committed.
func PromisesNotCommitted(code string) bool {
	switch code {
	case lineprotocol.Retry, lineprotocol.RolledBack, lineprotocol.Lagging, lineprotocol.ReadOnly, lineprotocol.WrongNode, lineprotocol.MaxConn:
		return true
	}
	return false
}

// pause sleeps between two operations of a client, for 20 to 49 ms.
func pause(r *rand.Rand) { time.Sleep(time.Duration(20+r.IntN(30)) * time.Millisecond) }

// login opens a session and sets an option on it to a value that is unique to the session. Both
// results are nil if the session can't be opened.
func (l *Load) login(p Pooler, kind string) (*Session, *lineprotocol.Answer) {
	s, _ := Login(p.Network, p.Address(), kind+"."+l.g.Service)
	if s == nil {
		return nil, nil
	}
	a, _ := s.Query("OPTION colour " + s.Name)
	return s, a
}

// notifyObserver adds the result of a statement of a session and passes the statement to the observer.
func (l *Load) notifyObserver(session *Session, kind string, s Statement, a *lineprotocol.Answer) {
	if l.observe == nil {
		return
	}
	s.Pooler, s.Route, s.Done, s.Code = session.Address, kind+"."+l.g.Service, time.Now(), a.Code
	l.observe(s)
}

// writer increments a key's counter, sometimes in a transaction, until the load is stopped.
func (l *Load) writer(r *rand.Rand, p Pooler, key string) {
	var s *Session
	for n := 1; !l.stopped(); n++ {
		pause(r)
		if s == nil {
			if s, _ = l.login(p, PrimaryRoute); s == nil {
				continue
			}
		}
		a := l.write(r, p, s, key, n)
		if a.Code == Cut || s.State != "I" {
			s.Close()
			s = nil
		}
		if a.Code == Cut {
			time.Sleep(Deadline) // until then the write may still take effect and overwrite the next one
		}
	}
	if s != nil {
		s.Close()
	}
}

// write writes a key once and returns the answer to the PUT or, for a write in a transaction, to the
// COMMIT.
func (l *Load) write(r *rand.Rand, p Pooler, s *Session, key string, n int) *lineprotocol.Answer {
	inTransaction := r.IntN(3) == 0
	if inTransaction {
		s.Query("BEGIN")
	}
	sent := time.Now()
	a, id := s.Query(fmt.Sprintf("PUT %s %d", key, n))
	last := sent
	if inTransaction && a.Code == "" {
		last = time.Now()
		a, _ = s.Query("COMMIT")
	}
	l.recordWrite(s, a, key, n, id)
	l.notifyObserver(s, PrimaryRoute, Statement{ID: id, Write: true, Key: key, Value: n, Sent: sent, LastSent: last}, a)
	return a
}

// recordWrite records a write as acknowledged, refused, or of unknown outcome.
func (l *Load) recordWrite(s *Session, a *lineprotocol.Answer, key string, n int, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Code == "":
		l.acks[key] = append(l.acks[key], ack{n, now})
		l.LongestWriteGap = max(l.LongestWriteGap, now.Sub(l.lastServed))
		l.lastServed = now
		l.Served++
		l.g.Ack(id)
	case PromisesNotCommitted(a.Code):
		l.Refused++
		l.refusals[id] = refusal{s.Address, a.Code, now}
	default:
		l.UnknownOutcome++
	}
}

// LongestGap returns the longest time between two consecutive writes served at a pooler.
func (l *Load) LongestGap(pooler int) (longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at []time.Time
	for i := range writersPerPooler {
		for _, a := range l.acks[keyFor(pooler, i)] {
			at = append(at, a.at)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	for i := 1; i < len(at); i++ {
		longest = max(longest, at[i].Sub(at[i-1]))
	}
	return longest
}

// minExpected returns the lowest counter value that a read started now may return.
func (l *Load) minExpected(key string, kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	bound := time.Now()
	if kind != PrimaryRoute {
		bound = bound.Add(-MaxStaleness)
	}
	n := 0
	for _, a := range l.acks[key] {
		if a.at.Before(bound) {
			n = a.n
		}
	}
	return n
}

// reader reads keys until the load is stopped. It checks that the values are fresh enough for the kind
// of route, that on nearest routes the session reads its own writes, and that the session's options are
// in force.
func (l *Load) reader(r *rand.Rand, p Pooler, kind string) {
	var s *Session
	ownKey, ownValue := fmt.Sprintf("own%s%d", kind, p.Number), 0
	for !l.stopped() {
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
			ownValue = 0
		}
		key := keyFor(l.poolers[r.IntN(len(l.poolers))].Number, r.IntN(writersPerPooler))
		if kind == NearestRoute && r.IntN(3) == 0 {
			if a, _ := s.Query(fmt.Sprintf("PUT %s %d", ownKey, ownValue+1)); a.Code == "" {
				ownValue++
			}
			key = ownKey
		}
		want := l.minExpected(key, kind)
		if key == ownKey {
			want = ownValue
		}
		if a := l.read(p, s, kind, key, want, key == ownKey); a.Code == Cut || s.State != "I" {
			s.Close()
			s = nil
		}
	}
	if s != nil {
		s.Close()
	}
}

// read reads a key once and checks the answer.
func (l *Load) read(p Pooler, s *Session, kind, key string, want int, ownKey bool) *lineprotocol.Answer {
	sent := time.Now()
	a, id := s.Query("FETCH " + key)
	got, _ := strconv.Atoi(Row(a))
	if a.Code == "" {
		l.check(a, s, kind, key, got, want, id)
	}
	l.notifyObserver(s, kind, Statement{ID: id, Key: key, Value: got, Own: ownKey, Sent: sent, LastSent: sent}, a)
	return a
}

// check records a STALE violation for a value older than want, and a PINNED violation if the
// session's options were not in force.
func (l *Load) check(a *lineprotocol.Answer, s *Session, kind, key string, got, want int, id string) {
	if got < want {
		l.g.Broke("STALE: %s read %d of %s by %q, %d was acknowledged", id, got, key, kind, want)
	}
	if fields := strings.Fields(string(a.Rows)); len(fields) < 3 || fields[2] != "1:"+s.Name {
		l.g.Broke("PINNED: %s ran with values %v", id, fields)
	}
}
