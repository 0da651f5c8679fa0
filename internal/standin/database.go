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
	log                []entry // entries in the order of their positions; clipped when shared, so that an append copies
	replicationStopped bool
	alive              bool
	reserved           bool // for a fault that crashes or drains it; see Reserve
	draining           bool
	drainAckedAt       time.Time // when draining or deregistration was first acknowledged
	heartbeatSeq       int64
	heartbeatAddr      string
	stopped            chan struct{}   // closed when the database is stopped
	applied            map[string]bool // ids of the writes that it has applied as a primary
	extraLatency       time.Duration   // added to every login and statement
	answersToDrop      int             // number of answers still to drop; see DropAnswers
	hidesDraining      bool            // its heartbeats report "up" while it drains; see DeregisterAndStop
	heartbeatDelay     time.Duration   // transit time of each heartbeat
	maxPrepared        int             // maximum number of prepared statements of one connection

	misbehavior      Misbehavior
	misbehaviorShare float64
}

// start listens for connections and starts to send heartbeats.
func (d *Database) start() {
	stopped := make(chan struct{})
	// It listens before it counts as alive: a crash in between would leave the listener open.
	serveAt(d.network(), d.Addr, d.serve)
	d.g.mu.Lock()
	d.alive, d.stopped = true, stopped
	d.g.mu.Unlock()
	go d.heartbeatLoop(stopped)
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

// Crash stops the database. If silenceHost is set, its host becomes unresponsive as well.
func (d *Database) Crash(silenceHost bool) {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.alive = false
	close(d.stopped)
	d.g.mu.Unlock()
	if silenceHost {
		d.g.env.Silence(d.IP, true)
	}
	d.g.env.Reset(d.IP)
}

// Restart restarts a crashed database with its log and under a new id. A primary that another one has
// superseded becomes a replica.
func (d *Database) Restart(id string) {
	d.g.mu.Lock()
	d.ID, d.heartbeatSeq, d.pausedTerm, d.heartbeatAddr = id, 0, 0, ""
	d.drainAckedAt, d.misbehavior = time.Time{}, NoMisbehavior
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

// Drain reports to the control nodes that the database is draining.
func (d *Database) Drain() {
	d.g.mu.Lock()
	d.draining = true
	d.g.mu.Unlock()
	go d.sendHeartbeat()
}

// DrainAndStop drains the database and keeps it serving for the given time. It then deregisters the
// database if deregister is set, and stops it; its log is lost.
func (d *Database) DrainAndStop(after time.Duration, deregister bool) {
	d.Drain()
	time.AfterFunc(after, func() {
		if deregister {
			d.call("/Servers.Deregister/"+d.ID, nil)
		}
		d.Crash(false)
	})
}

// Zone returns the zone that the database is in.
func (d *Database) Zone() string { return d.zone }

// Role returns the database's own view of its role, which is outdated in a superseded primary.
func (d *Database) Role() string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.role
}

// copyPrimaryLog replaces the log by that of the current term's primary, if that one is running. The
// caller holds the group's lock.
func (d *Database) copyPrimaryLog() {
	for _, other := range d.g.dbs {
		if other != d && other.role == "primary" && other.alive && other.term == d.g.term {
			d.log = slices.Clip(other.log)
			d.term = other.term
		}
	}
}

// pos returns the position of the last log entry, or the start of the term if the log is empty. The
// caller holds the group's lock.
func (d *Database) pos() lineprotocol.Position {
	if len(d.log) == 0 {
		return lineprotocol.Position{Term: d.term}
	}
	return d.log[len(d.log)-1].pos
}

// heartbeatLoop sends a heartbeat every 1200 ms until stop is closed.
func (d *Database) heartbeatLoop(stopped chan struct{}) {
	for {
		if d.heartbeatDelay > 0 {
			go d.sendHeartbeat() // the next heartbeat does not wait for this one
		} else {
			d.sendHeartbeat()
		}
		select {
		case <-stopped:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}

// sendHeartbeat sends one heartbeat. If it reports the database as draining and is acknowledged, that is
// recorded.
func (d *Database) sendHeartbeat() {
	d.g.mu.Lock()
	if !d.alive {
		d.g.mu.Unlock()
		return
	}
	d.heartbeatSeq++
	status := "up"
	if d.draining && !d.hidesDraining {
		status = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"svc": d.g.Service, "address": d.Addr, "zone": d.zone, "rev": "v1", "slots": 7,
		"status": status, "call_seq": d.heartbeatSeq, "target_role": d.role,
	})
	path, reportsDraining, delay := "/Servers.Heartbeat/"+d.ID, status == "draining", d.heartbeatDelay
	d.g.mu.Unlock()
	time.Sleep(delay)
	if d.call(path, body) && reportsDraining {
		d.recordDrainAcked()
	}
}

// call posts to the control nodes in turn until one acknowledges the request. It returns false if none
// does.
func (d *Database) call(path string, body []byte) bool {
	for _, a := range d.g.env.Controls() {
		if code, _ := Call(d.network(), http.MethodPost, a, path, nil, body); code == http.StatusOK {
			return true
		}
	}
	return false
}

// maxDrainTime is how long statements may still begin after a control node has acknowledged the
// draining. It equals bounds.drain_ms in the settings of the system under test.
const maxDrainTime = 7 * time.Second

// databasePort is the port that every database listens on.
const databasePort = "8080"

// Roles of databases.
const (
	primary = "primary"
	replica = "replica"
)

func (d *Database) network() kernel.Network { return d.g.env.Network(d.IP) }

// statementIDs returns the ids of the statements in the log. The caller holds the group's lock.
func (d *Database) statementIDs() map[string]bool {
	ids := make(map[string]bool, len(d.log))
	for _, e := range d.log {
		ids[e.id] = true
	}
	return ids
}

// Position returns the position of the last log entry, and the term for which the database is paused, or
// 0 if it is not paused.
func (d *Database) Position() (last lineprotocol.Position, pausedTerm int64) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.pos(), d.pausedTerm
}

// LoggedStatements returns the sorted ids of the statements in the log.
func (d *Database) LoggedStatements() []string {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return slices.Sorted(maps.Keys(d.statementIDs()))
}

// TruncateLog removes the last n entries from the log, as if the database had lost them.
func (d *Database) TruncateLog(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.log = slices.Clip(d.log[:max(0, len(d.log)-n)])
}

// Draining reports whether the database is draining or being deregistered.
func (d *Database) Draining() bool {
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
// A statement of another tenant's session violates UNASKED; one that begins later than maxDrainTime
// after the draining was acknowledged violates DRAIN.
func (d *Database) checkStatement(id, user string, begins bool) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	session, _, _ := strings.Cut(id, ".")
	if owner, known := d.g.owners[session]; known && owner != "" && owner != user {
		d.g.recordViolation("UNASKED: %s of %s runs at %s for %q", id, owner, d.ID, user)
	}
	if d.g.Observer.Ran != nil {
		d.g.Observer.Ran(Run{Service: d.g.Service, Database: d.ID, ID: id, Tenant: user, Begins: begins})
	}
	if after := time.Since(d.drainAckedAt); begins && !d.drainAckedAt.IsZero() && after > maxDrainTime {
		d.g.recordViolation("DRAIN: %s begins at %s %v after its leaving was acknowledged", id, d.ID, after)
	}
}

// SetExtraLatency sets a latency that is added to every login and statement.
func (d *Database) SetExtraLatency(latency time.Duration) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.extraLatency = latency
}

// DropAnswers drops the next n answers to FETCH and PUT statements; the connections stay open.
func (d *Database) DropAnswers(n int) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.answersToDrop = n
}

// simulateWork sleeps for the time that a login or statement takes.
func (d *Database) simulateWork(t time.Duration) {
	d.g.mu.Lock()
	t += d.extraLatency
	d.g.mu.Unlock()
	time.Sleep(t)
}

// dropsAnswer reports whether the answer to this statement must be dropped, and counts down the answers
// to drop.
func (d *Database) dropsAnswer(text []byte) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if d.answersToDrop == 0 || !bytes.HasPrefix(text, []byte("FETCH")) && !bytes.HasPrefix(text, []byte("PUT")) {
		return false
	}
	d.answersToDrop--
	return true
}
