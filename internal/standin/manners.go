package standin

import (
	"bytes"
	"math/rand/v2"
	"net"
	"time"
)

// Manner is how a database misbehaves on the wire, towards a share of the statements.
type Manner int

// Manners of databases.
const (
	WellBehaved  Manner = iota
	Silent              // it runs the statement and answers nothing, the connection stays
	Pieces              // its answer comes in pieces
	CutsShort           // its answer breaks off, and the connection ends
	AnswersTwice        // a second answer follows
	EndsFirst           // it runs the statement and closes the connection
	EndsUnread          // it closes the connection before it has read the statement
	ShedsLoad           // it runs nothing and says so
	MuteLogin           // it takes connections and answers no log-in
	WrongLogin          // it answers log-ins as another would
)

// AllManners are the ways to misbehave.
var AllManners = []Manner{Silent, Pieces, CutsShort, AnswersTwice, EndsFirst, EndsUnread, ShedsLoad, MuteLogin, WrongLogin}

// piece is how much of an answer comes at once in pieces, and piecePause what lies between.
const (
	piece      = 7
	piecePause = time.Millisecond
)

// Behave has the database misbehave towards a share of the statements from now on.
func (d *Database) Behave(m Manner, share float64) {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	d.manner, d.mannerShare = m, share
}

// mannered tells whether the database misbehaves so now, towards one statement.
func (d *Database) mannered(m Manner) bool {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	return d.manner == m && rand.Float64() < d.mannerShare
}

// deliver writes an answer as the database's manners are; false ends the connection.
func (d *Database) deliver(c net.Conn, answer []byte) bool {
	switch {
	case d.mannered(Silent):
		return true
	case d.mannered(EndsFirst):
		return false
	case d.mannered(CutsShort):
		_, _ = c.Write(answer[:len(answer)/2]) // it ends either way
		return false
	case d.mannered(AnswersTwice):
		answer = append(bytes.Clone(answer), "COMPLETE surplus\r\nIDLE I 9.999999\r\n"...)
	case d.mannered(Pieces):
		for len(answer) > piece {
			if _, err := c.Write(answer[:piece]); err != nil {
				return false
			}
			answer = answer[piece:]
			time.Sleep(piecePause)
		}
	}
	_, err := c.Write(answer)
	return err == nil
}

// LeaveAtOnce has the database deregister without a word before, serve on for that long,
// and end. Its log is gone then.
func (d *Database) LeaveAtOnce(after time.Duration) {
	d.g.mu.Lock()
	d.draining = true // for whoever asks it here; its beats still say that it is up
	d.quiet = true
	d.g.mu.Unlock()
	go func() {
		for end := time.Now().Add(after); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if d.call("/Servers.Deregister/"+d.ID, nil) {
				d.left()
				break
			}
		}
	}()
	time.AfterFunc(after, func() { d.Crash(false) })
}

// left notes that the leaving was acknowledged.
func (d *Database) left() {
	d.g.mu.Lock()
	defer d.g.mu.Unlock()
	if !d.leftAt.IsZero() {
		return
	}
	d.leftAt = time.Now()
	if d.g.Observe.Drains != nil {
		d.g.Observe.Drains(d.g.Service, d.ID)
	}
}
