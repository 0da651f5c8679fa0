package standin

import (
	"bytes"
	"math/rand/v2"
	"net"
	"time"
)

// Misbehavior is a way in which a database violates the line protocol or stalls.
type Misbehavior int

// Misbehaviors of databases.
const (
	NoMisbehavior      Misbehavior = iota
	Silent                         // runs the statement, sends no answer and keeps the connection open
	AnswersInPieces                // sends its answer in small pieces
	TruncatesAnswer                // sends half of its answer and closes the connection
	AnswersTwice                   // sends a surplus answer after the first
	ClosesBeforeAnswer             // runs the statement and closes the connection without an answer
	ClosesBeforeRead               // closes the connection before reading the statement
	ShedsLoad                      // runs no statement and answers that the database is full
	MuteLogin                      // accepts connections but answers no login
	WrongLogin                     // answers logins as another database would
)

// AllMisbehaviors lists every misbehavior.
var AllMisbehaviors = []Misbehavior{Silent, AnswersInPieces, TruncatesAnswer, AnswersTwice, ClosesBeforeAnswer, ClosesBeforeRead, ShedsLoad, MuteLogin, WrongLogin}

// pieceBytes is the size of the pieces of an answer or response that is sent in pieces, and piecePause
// the pause between two pieces.
const (
	pieceBytes = 7
	piecePause = time.Millisecond
)

// InjectMisbehavior makes the database misbehave for a share (0 to 1) of the statements from now on.
// NoMisbehavior ends it.
func (d *Database) InjectMisbehavior(kind Misbehavior, share float64) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.misbehavior, d.misbehaviorShare = kind, share
}

// misbehaves reports whether the database must misbehave in this way now. It draws anew at each call.
func (d *Database) misbehaves(kind Misbehavior) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.misbehavior == kind && rand.Float64() < d.misbehaviorShare
}

// writeAnswer writes an answer as the injected misbehavior says. The caller closes the connection if it
// returns false.
func (d *Database) writeAnswer(c net.Conn, answer []byte) bool {
	switch {
	case d.misbehaves(Silent):
		return true
	case d.misbehaves(ClosesBeforeAnswer):
		return false
	case d.misbehaves(TruncatesAnswer):
		_, _ = c.Write(answer[:len(answer)/2]) // the connection is closed either way
		return false
	case d.misbehaves(AnswersTwice):
		answer = append(bytes.Clone(answer), "COMPLETE surplus\r\nIDLE I 9.999999\r\n"...)
	case d.misbehaves(AnswersInPieces):
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

// DeregisterAndStop deregisters the database without reporting it as draining first, keeps it serving
// for the given time, and stops it; its log is lost.
func (d *Database) DeregisterAndStop(after time.Duration) {
	d.g.mu.Lock()
	d.draining = true // for callers of Draining; its heartbeats still report "up"
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
	if d.g.Observer.DrainAcked != nil {
		d.g.Observer.DrainAcked(d.g.Service, d.ID)
	}
}
