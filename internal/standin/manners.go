package standin

import (
	"bytes"
	"math/rand/v2"
	"net"
	"time"
)

// Manner is a way in which a database misbehaves on the wire, for a share of the statements.
type Manner int

// Ways in which databases misbehave.
const (
	WellBehaved  Manner = iota
	Silent              // runs the statement, sends no answer and keeps the connection open
	Pieces              // sends its answer in small pieces
	CutsShort           // sends half of its answer and closes the connection
	AnswersTwice        // sends a surplus answer after the first
	EndsFirst           // runs the statement and closes the connection without an answer
	EndsUnread          // closes the connection before it reads the statement
	ShedsLoad           // runs nothing and answers that it is full
	MuteLogin           // accepts connections and answers no login
	WrongLogin          // answers logins as another database would
)

// AllManners lists every way to misbehave.
var AllManners = []Manner{Silent, Pieces, CutsShort, AnswersTwice, EndsFirst, EndsUnread, ShedsLoad, MuteLogin, WrongLogin}

// pieceBytes is the size of a piece of an answer that is sent in pieces, and piecePause the time
// between two pieces.
const (
	pieceBytes = 7
	piecePause = time.Millisecond
)

// Behave makes the database misbehave for a share (0 to 1) of the statements from now on.
func (d *Database) Behave(m Manner, share float64) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.misbehaviour, d.misbehaviourShare = m, share
}

// misbehaves reports whether the database misbehaves in this way now, drawn per statement.
func (d *Database) misbehaves(m Manner) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.misbehaviour == m && rand.Float64() < d.misbehaviourShare
}

// writeAnswer writes an answer, subject to the injected misbehaviour. The caller closes the
// connection if it returns false.
func (d *Database) writeAnswer(c net.Conn, answer []byte) bool {
	switch {
	case d.misbehaves(Silent):
		return true
	case d.misbehaves(EndsFirst):
		return false
	case d.misbehaves(CutsShort):
		_, _ = c.Write(answer[:len(answer)/2]) // the connection is closed either way
		return false
	case d.misbehaves(AnswersTwice):
		answer = append(bytes.Clone(answer), "COMPLETE surplus\r\nIDLE I 9.999999\r\n"...)
	case d.misbehaves(Pieces):
		for len(answer) > pieceBytes {
			if _, err := c.Write(answer[:pieceBytes]); err != nil {
				return false
			}
			answer = answer[pieceBytes:]
			time.Sleep(piecePause)
		}
	}
	_, err := c.Write(answer)
	return err == nil
}

// LeaveAtOnce deregisters the database without reporting it as draining first, keeps it serving for
// the given time, and stops it. Its log is lost then.
func (d *Database) LeaveAtOnce(after time.Duration) {
	d.g.mu.Lock()
	d.draining = true // for callers of Leaves; its heartbeats still report "up"
	d.hidesDraining = true
	d.g.mu.Unlock()
	go func() {
		for end := time.Now().Add(after); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if d.call("/Servers.Deregister/"+d.ID, nil) {
				d.recordDrainAcked()
				break
			}
		}
	}()
	time.AfterFunc(after, func() { d.Crash(false) })
}

// recordDrainAcked records when the draining or deregistration was first acknowledged.
func (d *Database) recordDrainAcked() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if !d.drainAckedAt.IsZero() {
		return
	}
	d.drainAckedAt = time.Now()
	if d.g.Observe.Drains != nil {
		d.g.Observe.Drains(d.g.Service, d.ID)
	}
}
