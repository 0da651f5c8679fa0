package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigowalk/internal/lineprotocol"
)

// Session is a client's session at a pooler.
type Session struct {
	w     *World
	c     net.Conn
	r     *lineprotocol.Reader
	State string
	ids   int
	name  string
}

var sessionCount struct {
	sync.Mutex
	n int
}

// Login opens a session; ok is false if the pooler answered with an error or
// not at all.
func (w *World) Login(zone int, database string) (*Session, string) {
	host := w.Net.Host(fmt.Sprintf("10.250.%d.2", zone))
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := host.Dial(ctx, ip(zone)+":8784", 0)
	if err != nil {
		return nil, "cut"
	}
	sessionCount.Lock()
	sessionCount.n++
	s := &Session{w: w, c: c, r: lineprotocol.NewReader(c), name: "s" + strconv.Itoa(sessionCount.n)}
	sessionCount.Unlock()
	c.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write(lineprotocol.AppendMessage(nil, "LOGIN", database, "who")); err != nil {
		return nil, "cut"
	}
	line, err := s.r.Line()
	if err != nil {
		c.Close()
		return nil, "cut"
	}
	if f := strings.Fields(string(line)); f[0] == "ERROR" {
		c.Close()
		return nil, f[1]
	}
	s.State = "I"
	return s, ""
}

// Close ends the session without a word.
func (s *Session) Close() { s.c.Close() }

// Raw sends bytes as they are and reads one answer.
func (s *Session) Raw(b []byte, wait time.Duration) *lineprotocol.Answer {
	s.c.SetReadDeadline(time.Now().Add(wait))
	if _, err := s.c.Write(b); err != nil {
		return &lineprotocol.Answer{Code: "cut"}
	}
	return s.Answer()
}

// Answer reads one answer; a connection that ends gives the code "cut".
func (s *Session) Answer() *lineprotocol.Answer {
	a, err := lineprotocol.ReadAnswer(s.r)
	if err != nil {
		return &lineprotocol.Answer{Code: "cut", Text: err.Error()}
	}
	s.State = string(a.State)
	return a
}

// Query runs one text and returns its answer and the id it had.
func (s *Session) Query(text string) (*lineprotocol.Answer, string) {
	s.ids++
	id := s.name + "." + strconv.Itoa(s.ids)
	return s.Raw(lineprotocol.AppendMessage(nil, "QUERY", id, text), 6*time.Second), id
}

// Row returns the first field of the first row.
func Row(a *lineprotocol.Answer) string {
	f := strings.Fields(string(a.Rows))
	if len(f) < 2 {
		return ""
	}
	return f[1]
}

// Load is a workload that checks what clients are promised.
type Load struct {
	w *World
	g *Group

	mu       sync.Mutex
	acks     map[string][]ack // by thing: counters acknowledged, with the time
	promised map[string]bool  // ids of which nothing may be kept
	Served   int
	Refused  int
	Unsure   int
	Slowest  time.Duration // between two served writes

	lastServed time.Time
	stop       chan struct{}
	wg         sync.WaitGroup
}

type ack struct {
	n  int
	at time.Time
}

// NewLoad starts writers and readers of the group at the poolers of these zones,
// of all if none are named.
func (w *World) NewLoad(g *Group, seed uint64, zones ...int) *Load {
	l := &Load{w: w, g: g, acks: map[string][]ack{}, promised: map[string]bool{}, stop: make(chan struct{}), lastServed: time.Now()}
	for z := 1; z <= w.Zones; z++ {
		if len(zones) > 0 && !slices.Contains(zones, z) {
			continue
		}
		for i := range 2 {
			thing := fmt.Sprintf("t%d.%d", z, i)
			l.start(seed, z, func(r *rand.Rand) { l.writer(r, z, thing) })
		}
		for _, kind := range []string{"p", "b", "n"} {
			l.start(seed, z, func(r *rand.Rand) { l.reader(r, z, kind) })
		}
	}
	return l
}

func (l *Load) start(seed uint64, z int, f func(*rand.Rand)) {
	l.wg.Add(1)
	r := rand.New(rand.NewPCG(seed, uint64(z)))
	go func() {
		defer l.wg.Done()
		f(r)
	}()
}

// Stop ends the load and checks the promises that were made.
func (l *Load) Stop() {
	close(l.stop)
	l.wg.Wait()
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	for _, d := range l.g.dbs {
		if d.role != "primary" || d.term != l.g.term {
			continue
		}
		held := map[string]bool{}
		for _, e := range d.log {
			held[e.id] = true
			if l.promised[e.id] {
				l.g.broke("REFUSED: %s was committed against a promise", e.id)
			}
		}
		for id := range l.g.acked {
			if !held[id] {
				l.g.broke("LOST: acknowledged %s is gone from %s", id, d.ID)
			}
		}
	}
}

func (l *Load) over() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

func promise(code string) bool {
	switch code {
	case lineprotocol.Retry, lineprotocol.RolledBack, lineprotocol.Lagging, lineprotocol.ReadOnly, lineprotocol.WrongNode, lineprotocol.MaxConn:
		return true
	}
	return false
}

// deadline is that of the routes, after which a statement runs no more.
const deadline = 2 * time.Second

// writer counts a thing up, sometimes in a transaction.
func (l *Load) writer(r *rand.Rand, zone int, thing string) {
	var s *Session
	for n := 1; !l.over(); n++ {
		time.Sleep(time.Duration(20+r.IntN(30)) * time.Millisecond)
		if s == nil {
			if s, _ = l.w.Login(zone, "p."+l.g.Service); s == nil {
				continue
			}
			s.Query("OPTION colour " + s.name)
		}
		tx := r.IntN(3) == 0
		if tx {
			s.Query("BEGIN")
		}
		a, id := s.Query(fmt.Sprintf("PUT %s %d", thing, n))
		if tx && a.Code == "" {
			a, _ = s.Query("COMMIT")
		}
		l.note(a, thing, n, id)
		if a.Code == "cut" || s.State != "I" {
			s.Close()
			s = nil
			if a.Code == "cut" {
				time.Sleep(deadline) // until then it may take effect, and would hide the next
			}
		}
	}
	if s != nil {
		s.Close()
	}
}

func (l *Load) note(a *lineprotocol.Answer, thing string, n int, id string) {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case a.Code == "":
		l.acks[thing] = append(l.acks[thing], ack{n, now})
		l.Slowest = max(l.Slowest, now.Sub(l.lastServed))
		l.lastServed = now
		l.Served++
		l.g.mu.Lock()
		l.g.acked[id] = entry{id: id}
		l.g.mu.Unlock()
	case promise(a.Code):
		l.Refused++
		l.promised[id] = true
	default:
		l.Unsure++
	}
}

// longestGap is the longest time between two writes served at a zone's pooler.
func (l *Load) longestGap(zone int) (longest time.Duration) {
	var at []time.Time
	for i := range 2 {
		for _, a := range l.acks[fmt.Sprintf("t%d.%d", zone, i)] {
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
	if kind != "p" {
		bound = bound.Add(-1500 * time.Millisecond)
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
func (l *Load) reader(r *rand.Rand, zone int, kind string) {
	var s *Session
	own, ownN := fmt.Sprintf("own%s%d", kind, zone), 0
	for !l.over() {
		time.Sleep(time.Duration(20+r.IntN(30)) * time.Millisecond)
		if s == nil {
			if s, _ = l.w.Login(zone, kind+"."+l.g.Service); s == nil {
				continue
			}
			if a, _ := s.Query("OPTION colour " + s.name); a.Code != "" {
				s.Close()
				s = nil
				continue
			}
			ownN = 0
		}
		thing := fmt.Sprintf("t%d.%d", 1+r.IntN(l.w.Zones), r.IntN(2))
		if kind == "n" && r.IntN(3) == 0 {
			if a, _ := s.Query(fmt.Sprintf("PUT %s %d", own, ownN+1)); a.Code == "" {
				ownN++
			}
			thing = own
		}
		want := l.expect(thing, kind)
		if thing == own {
			want = ownN
		}
		a, id := s.Query("FETCH " + thing)
		if a.Code == "" {
			l.check(a, s, kind, thing, want, id)
		}
		if a.Code == "cut" || s.State != "I" {
			s.Close()
			s = nil
		}
	}
	if s != nil {
		s.Close()
	}
}

func (l *Load) check(a *lineprotocol.Answer, s *Session, kind, thing string, want int, id string) {
	got, _ := strconv.Atoi(Row(a))
	l.g.mu.Lock()
	defer l.g.mu.Unlock()
	if got < want {
		l.g.broke("STALE: %s read %d of %s by %q, %d was acknowledged", id, got, thing, kind, want)
	}
	if f := strings.Fields(string(a.Rows)); len(f) < 3 || f[2] != "1:"+s.name {
		l.g.broke("PINNED: %s ran with values %v", id, f)
	}
}
