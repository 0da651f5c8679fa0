package pooler

import (
	"errors"
	"time"

	"indigowalk/internal/dbconn"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

const (
	// freeBytes of a session are not counted: most need no more.
	freeBytes = 16 << 10
	// messageCopies is how often a long message lies in memory while it is worked on:
	// as it came, as a text, and as it is sent on.
	messageCopies = 3
	// maxKeptBytes is the most that a session's values and prepared names may take.
	maxKeptBytes = 256 << 10
	// entryBytes are counted for each value or name besides its text.
	entryBytes = 64
	// longWait is how long a message that takes more than freeBytes may take to come.
	longWait = 30 * kernel.Second
)

// errLateMessage says that a long message did not become whole in time.
var errLateMessage = errors.New("pooler: a long message did not come in time")

// room is asked by the reader for the bytes of a message that comes in parts; 0 begins
// the next one.
func (s *session) room(bytes int) bool {
	s.message = bytes
	if !s.memory.Resize(s.heldBytes()) {
		return false
	}
	if loggedIn := s.database != ""; loggedIn && bytes > freeBytes && s.longUntil == 0 {
		s.longUntil = s.d.k.Clock.Now() + longWait
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.ending {
			s.c.SetReadDeadline(time.Now().Add(longWait.Duration()))
		}
	}
	return true
}

// heldBytes is what the session takes of the process's memory.
func (s *session) heldBytes() int64 { return int64(s.kept + messageCopies*s.message) }

// tooLate tells whether a long message should be whole by now.
func (s *session) tooLate() bool { return s.longUntil > 0 && s.d.k.Clock.Now() >= s.longUntil }

// keep has the session keep so many bytes more; an answer instead means that it may not.
func (s *session) keep(bytes int) *lineprotocol.Answer {
	if bytes > 0 && s.kept+bytes > maxKeptBytes {
		return refusal(lineprotocol.Malformed, "too many values and prepared names", s.state())
	}
	s.kept += bytes
	if !s.memory.Resize(s.heldBytes()) {
		s.kept -= bytes
		s.d.k.Counters.Add("pooler.memory_full", 1)
		return refusal(lineprotocol.Retry, hint(kernel.Second), s.state())
	}
	return nil
}

// sizeOfValue is what a value of that name takes; nothing if there is none.
func (s *session) sizeOfValue(name string) int {
	value, ok := s.values[name]
	if !ok {
		return 0
	}
	return entrySize(name, value)
}

// sizeOfPrepared is what a prepared name takes; nothing if there is none.
func (s *session) sizeOfPrepared(name string) int {
	statement, ok := s.names[name]
	if !ok {
		return 0
	}
	return preparedSize(name, statement)
}

func entrySize(name, text string) int { return len(name) + len(text) + entryBytes }

func preparedSize(name string, statement dbconn.Prepared) int { return entrySize(name, statement.Text) }

// watchMemory checks, once no session is left, that all memory was given back.
func (d *Pooler) watchMemory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.sessions) == 0 {
		used := d.memory.Used()
		d.k.Invariants.Check(used == 0, invariant.MemoryGivenBack, "%d bytes are taken by nobody", used)
	}
}
