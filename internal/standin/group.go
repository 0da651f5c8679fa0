package standin

import (
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"indigowalk/internal/lineprotocol"
)

// Group is the set of replicated databases of a service. It checks the invariants between them.
type Group struct {
	Service  string
	Promote  time.Duration // how long a promotion takes
	Observer Observer

	env        Environment
	mu         sync.Mutex
	dbs        []*Database
	term       int64
	acked      map[string]bool   // ids of the statements whose commit was acknowledged to clients
	owners     map[string]string // tenant by session, for the sessions whose tenant is known
	sealCount  int
	violations []string
}

// Observer holds callbacks for events at databases and workers; nil ones are not called.
type Observer struct {
	Ran        func(Run)
	DrainAcked func(service, database string) // a control node has acknowledged the draining or deregistration
	Promoted   func(Promotion)
}

// Run is a statement or request that a database runs.
type Run struct {
	Service, Database string
	ID                string // of the statement or request
	Tenant            string // the tenant named in the login of its connection
	Begins            bool   // it is not a later statement of an open transaction
}

// Promotion is the event of a database becoming the primary of a term.
type Promotion struct {
	Service, Database string
	Term              int64
	LoggedStatements  []string // ids of the statements in its log
}

// defaultPromotionTime is how long a promotion takes unless Group.Promote is set otherwise.
const defaultPromotionTime = 300 * time.Millisecond

// NewGroup returns a group without databases.
func NewGroup(env Environment, service string) *Group {
	return &Group{Service: service, Promote: defaultPromotionTime, env: env, term: 1, acked: map[string]bool{}, owners: map[string]string{}}
}

// Databases returns the databases in the order in which they were added.
func (g *Group) Databases() []*Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.dbs)
}

// DB returns the database that was added as number i, counted from 0.
func (g *Group) DB(i int) *Database { return g.Databases()[i] }

// Primary returns the primary of the newest term, or nil if it is not running.
func (g *Group) Primary() *Database {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.currentPrimary()
}

// currentPrimary is Primary for a caller that holds the lock.
func (g *Group) currentPrimary() *Database {
	if d := g.newestPrimary(); d != nil && d.alive {
		return d
	}
	return nil
}

// newestPrimary returns the primary of the newest term, whether it is running or not, or nil if there is
// none. The caller holds the lock.
func (g *Group) newestPrimary() *Database {
	for _, d := range g.dbs {
		if d.role == primary && d.term == g.term {
			return d
		}
	}
	return nil
}

// SetSessionTenant records the tenant that a session belongs to. The session's statements may run for no
// other tenant; they are not checked if the tenant is "".
func (g *Group) SetSessionTenant(session, tenant string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owners[session] = tenant
}

// Acked returns the number of commits that were acknowledged to clients.
func (g *Group) Acked() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.acked)
}

// Ack records that a commit was acknowledged to a client.
func (g *Group) Ack(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.acked[id] = true
}

// DiscardAcked discards the record of acknowledged commits, so that their loss is no violation.
func (g *Group) DiscardAcked() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.acked)
}

// Violations returns the violations recorded so far.
func (g *Group) Violations() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.violations)
}

// Broke records a violation.
func (g *Group) Broke(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordViolation(format, args...)
}

// Final checks at the end of a run that the newest primary has every acknowledged commit, and none of
// the writes that were refused with a code for which PromisesNotCommitted is true.
func (g *Group) Final(refusals map[string]refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	newest := g.newestPrimary()
	if newest == nil {
		return
	}
	logged := newest.statementIDs()
	for id := range logged {
		if p, ok := refusals[id]; ok {
			g.recordViolation("REFUSED: %s was committed, though %s answered %s at %s", id, p.pooler, p.code, p.at.Format(time.StampMilli))
		}
	}
	for id := range g.acked {
		if !logged[id] {
			g.recordViolation("LOST: acknowledged %s is gone from %s", id, newest.ID)
		}
	}
}

// Stop stops every database.
func (g *Group) Stop() {
	for _, d := range g.Databases() {
		d.Crash(false)
	}
}

// entry is one write in a database's log.
type entry struct {
	pos        lineprotocol.Position
	id         string
	key, value string
}

// recordViolation is Broke for a caller that holds the lock.
func (g *Group) recordViolation(format string, args ...any) {
	g.violations = append(g.violations, fmt.Sprintf(format, args...))
}

// Add starts a database and adds it to the group.
func (g *Group) Add(id, ip, zone, role string) *Database { return g.AddDelayed(id, ip, zone, role, 0) }

// AddDelayed is like Add, for a database whose heartbeats take the given time to arrive.
func (g *Group) AddDelayed(id, ip, zone, role string, heartbeatDelay time.Duration) *Database {
	d := &Database{
		g: g, ID: id, IP: ip, Addr: net.JoinHostPort(ip, databasePort), zone: zone,
		role: role, term: 1, applied: map[string]bool{}, heartbeatDelay: heartbeatDelay,
	}
	g.mu.Lock()
	g.dbs = append(g.dbs, d)
	g.mu.Unlock()
	d.start()
	return d
}

// outcome is the result of a commit.
type outcome int

const (
	committed      outcome = iota
	notRun                 // the database is not a primary
	unknownOutcome         // the writes are in the log, but a replica may not have received them
)

// commit appends writes to the primary's log and waits until one replica has received them.
// A write that is applied a second time violates TWICE.
func (d *Database) commit(writes []entry) outcome {
	g := d.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.role != primary {
		return notRun
	}
	pos := lineprotocol.Position{Term: d.term, Number: int64(len(d.log)) + 1}
	for _, e := range writes {
		if d.applied[e.id] {
			g.recordViolation("TWICE: %s took effect twice", e.id)
		}
		d.applied[e.id] = true
		e.pos = pos
		d.log = append(d.log, e)
	}
	for {
		if !d.alive || d.role != primary {
			return unknownOutcome // another commit may have replicated the writes
		}
		received := false
		for _, r := range g.dbs {
			if r != d && r.role == replica && r.alive && !r.replicationStopped && r.pausedTerm == 0 && r.term <= d.term && g.env.Reaches(r.Addr, d.Addr) {
				r.log, r.term = slices.Clip(d.log), d.term
				received = true
			}
		}
		if received {
			return committed
		}
		g.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		g.mu.Lock()
	}
}

// StartPromotion starts to promote a database to primary of the next term, as the platform does, and
// returns the HTTP status of the platform's response. A promoted database whose log lacks an
// acknowledged commit violates LOST.
func (g *Group) StartPromotion(id string) int {
	g.mu.Lock()
	var d *Database
	for _, other := range g.dbs {
		if other.ID == id && other.alive {
			d = other
		}
	}
	if d == nil {
		g.mu.Unlock()
		return http.StatusConflict
	}
	if d.role == primary && d.term == g.term {
		g.mu.Unlock()
		return http.StatusOK
	}
	g.mu.Unlock()
	time.AfterFunc(g.Promote, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if !d.alive || d.role == primary {
			return
		}
		logged := d.statementIDs()
		for id := range g.acked {
			if !logged[id] {
				g.recordViolation("LOST: acknowledged %s is not in the log of the promoted %s", id, d.ID)
			}
		}
		g.term++
		if g.Observer.Promoted != nil {
			g.Observer.Promoted(Promotion{g.Service, d.ID, g.term, slices.Sorted(maps.Keys(logged))})
		}
		d.role, d.term, d.pausedTerm = primary, g.term, 0
		for _, other := range g.dbs {
			if other.alive && !other.replicationStopped && other != d && other.role == replica && g.env.Reaches(other.Addr, d.Addr) {
				other.log, other.term, other.pausedTerm = slices.Clip(d.log), d.term, 0
			}
		}
		go d.sendHeartbeat()
	})
	return http.StatusOK
}
