package standin

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// Database is a stand-in for one database of a replicated Group. The group's lock guards its
// mutable state.
type Database struct {
	ID   string
	IP   string
	Addr string

	g                  *Group
	zone               string
	role               string
	term               int64
	pausedTerm         int64
	log                []entry // received entries; clipped when shared, so that an append copies
	replicationStopped bool
	alive              bool
	reserved           bool // by a fault that crashes or drains it; see Reserve
	draining           bool
	drainAckedAt       time.Time // when draining or deregistration was first acknowledged
	seq                int64
	heartbeatAddr      string
	stop               chan struct{}
	applied            map[string]bool
	extraTime          time.Duration // added to every login and statement
	answersToDrop      int           // answers to drop while keeping their connections open
	hidesDraining      bool          // its heartbeats say "up" while it drains; it only deregisters
	heartbeatDelay     time.Duration // how long a heartbeat is in transit
	maxPrepared        int           // the most prepared statements that one connection had

	misbehaviour      Manner
	misbehaviourShare float64
}

// start listens for connections and begins to send heartbeats.
func (d *Database) start() {
	stop := make(chan struct{})
	d.g.mu.Lock()
	d.alive, d.stop = true, stop
	d.g.mu.Unlock()
	serveAt(d.network(), d.Addr, d.serve)
	go d.heartbeatLoop(stop)
}

// Reserve reserves a running database for one fault that crashes or drains it. It returns false if
// the database is already reserved, not running or draining.
func (d *Database) Reserve() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.reserved || !d.alive || d.draining {
		return false
	}
	d.reserved = true
	return true
}

// Release ends the reservation that Reserve made.
func (d *Database) Release() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.reserved = false
}

// Crash stops the database. If dark is set, its host becomes unresponsive as well.
func (d *Database) Crash(dark bool) {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.alive = false
	close(d.stop)
	d.g.mu.Unlock()
	if dark {
		d.g.env.Silence(d.IP, true)
	}
	d.g.env.Reset(d.IP)
}

// Return restarts a crashed database with its log and under a new id.
func (d *Database) Return(id string) {
	d.g.mu.Lock()
	d.ID, d.seq, d.pausedTerm, d.heartbeatAddr = id, 0, 0, ""
	d.drainAckedAt, d.misbehaviour = time.Time{}, WellBehaved
	if d.role == "primary" && d.g.term > d.term {
		d.role = replica
	}
	if d.role == replica {
		d.copyPrimaryLog()
	}
	d.g.mu.Unlock()
	d.g.env.Silence(d.IP, false)
	d.start()
}

// SetReplicationStopped stops a replica from receiving replicated writes, or lets it receive them
// again.
func (d *Database) SetReplicationStopped(stopped bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.replicationStopped = stopped; !stopped && d.alive && d.role == replica {
		d.copyPrimaryLog()
	}
}

// Drain reports to the control nodes that the database is draining and to be replaced.
func (d *Database) Drain() {
	d.g.mu.Lock()
	d.draining = true
	d.g.mu.Unlock()
	go d.sendHeartbeat()
}

// Leave drains the database, keeps it serving for the given time, then deregisters it if
// deregister is set, and stops it. Its log is lost then.
func (d *Database) Leave(after time.Duration, deregister bool) {
	d.Drain()
	time.AfterFunc(after, func() {
		if deregister {
			d.call("/Servers.Deregister/"+d.ID, nil)
		}
		d.Crash(false)
	})
}

// Role returns the role that the database believes it has.
func (d *Database) Role() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.role
}

// copyPrimaryLog replaces the log by that of the current term's primary, if that runs. The caller
// holds the group's lock.
func (d *Database) copyPrimaryLog() {
	for _, p := range d.g.dbs {
		if p != d && p.role == "primary" && p.alive && p.term == d.g.term {
			d.log = slices.Clip(p.log)
			d.term = p.term
		}
	}
}

// pos returns the position of the last log entry. The caller holds the group's lock.
func (d *Database) pos() lineprotocol.Position {
	if len(d.log) == 0 {
		return lineprotocol.Position{Term: d.term}
	}
	return d.log[len(d.log)-1].pos
}

// heartbeatLoop sends a heartbeat every 1200 ms until stop is closed.
func (d *Database) heartbeatLoop(stop chan struct{}) {
	for {
		if d.heartbeatDelay > 0 {
			go d.sendHeartbeat() // the next heartbeat does not wait for this one
		} else {
			d.sendHeartbeat()
		}
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// sendHeartbeat sends one heartbeat and notes when a control node acknowledges the draining.
func (d *Database) sendHeartbeat() {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.seq++
	status := "up"
	if d.draining && !d.hidesDraining {
		status = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"svc": d.g.Service, "address": d.Addr, "zone": d.zone, "rev": "v1", "slots": 7,
		"status": status, "call_seq": d.seq, "target_role": d.role,
	})
	path, drains, late := "/Servers.Heartbeat/"+d.ID, status == "draining", d.heartbeatDelay
	d.g.mu.Unlock()
	time.Sleep(late)
	if d.call(path, body) && drains {
		d.recordDrainAcked()
	}
}

// call posts to the control nodes in turn until one acknowledges; false if none does.
func (d *Database) call(path string, body []byte) bool {
	for _, a := range d.g.env.Controls() {
		if code, _ := Call(d.network(), http.MethodPost, a, path, nil, body); code == http.StatusOK {
			return true
		}
	}
	return false
}

// maxDrain is how long after an acknowledged draining statements may still begin; it equals
// bounds.drain_ms in the settings of the system under test.
const maxDrain = 7 * time.Second

// port is the port that every database listens on.
const port = "8080"

// Roles of databases.
const (
	primary = "primary"
	replica = "replica"
)

func (d *Database) network() kernel.Network { return d.g.env.Network(d.IP) }

// statementIDs returns the ids of the statements in the log. The caller holds the group's lock.
func (d *Database) statementIDs() map[string]bool {
	held := make(map[string]bool, len(d.log))
	for _, e := range d.log {
		held[e.id] = true
	}
	return held
}

// Position returns the last position in the log, and the term for which the database is paused,
// 0 if it is not paused.
func (d *Database) Position() (last lineprotocol.Position, held int64) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos(), d.pausedTerm
}

// Holds returns the sorted ids of the statements in its log.
func (d *Database) Holds() []string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return slices.Sorted(maps.Keys(d.statementIDs()))
}

// Forget truncates the last n writes from its log, as a database that lost them does.
func (d *Database) Forget(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.log = slices.Clip(d.log[:max(0, len(d.log)-n)])
}

// Leaves reports whether the database is draining.
func (d *Database) Leaves() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.draining
}

// Alive reports whether the database is running.
func (d *Database) Alive() bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.alive
}

// checkStatement checks a client's statement that is about to run and reports it to the observer.
// A statement of another tenant's session violates UNASKED; one that begins later than maxDrain
// after the draining was acknowledged violates DRAIN.
func (d *Database) checkStatement(id, user string, begins bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	session, _, _ := strings.Cut(id, ".")
	if owner, known := d.g.owners[session]; known && owner != "" && owner != user {
		d.g.recordViolation("UNASKED: %s of %s runs at %s for %q", id, owner, d.ID, user)
	}
	if d.g.Observe.Ran != nil {
		d.g.Observe.Ran(Run{Service: d.g.Service, Database: d.ID, ID: id, Who: user, Begins: begins})
	}
	if after := time.Since(d.drainAckedAt); begins && !d.drainAckedAt.IsZero() && after > maxDrain {
		d.g.recordViolation("DRAIN: %s begins at %s %v after its leaving was acknowledged", id, d.ID, after)
	}
}

// Slow adds latency to every login and statement.
func (d *Database) Slow(more time.Duration) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.extraTime = more
}

// Lose drops the next n answers to reads and writes; the connections stay open.
func (d *Database) Lose(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.answersToDrop = n
}

// simulateWork sleeps for the time that a login or statement takes.
func (d *Database) simulateWork(t time.Duration) {
	d.g.mu.Lock()
	t += d.extraTime
	d.g.mu.Unlock()
	time.Sleep(t)
}

// dropsAnswer reports whether the answer to this statement is to be dropped, and counts it.
func (d *Database) dropsAnswer(text []byte) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.answersToDrop == 0 || !bytes.HasPrefix(text, []byte("FETCH")) && !bytes.HasPrefix(text, []byte("PUT")) {
		return false
	}
	d.answersToDrop--
	return true
}
