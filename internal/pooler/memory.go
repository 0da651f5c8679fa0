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
	// uncountedBytes is how much of each session's memory is not charged to the memory budget: most
	// sessions need no more.
	uncountedBytes = 16 << 10
	// messageCopies is how many copies of a long message are in memory while it is processed: the
	// bytes received, the text, and the message to the database.
	messageCopies = 3
	// maxStoredBytes limits the size of a session's values and prepared names.
	maxStoredBytes = 256 << 10
	// entryOverhead is the number of bytes counted for each value or name besides its text.
	entryOverhead = 64
	// longMessageTimeout is the time in which a message of more than uncountedBytes must be
	// received.
	longMessageTimeout = 30 * kernel.Second
)

// errMessageTimeout reports that a long message was not received completely in time.
var errMessageTimeout = errors.New("pooler: long message not received in time")

// reserveMessage reserves memory for the bytes received so far of a message that arrives in parts,
// and reports whether there is enough. The reader calls it, with 0 when the next message begins.
func (s *session) reserveMessage(bytes int) bool {
	s.messageBytes = bytes
	if !s.memory.Resize(s.memoryBytes()) {
		return false
	}
	if loggedIn := s.database != ""; loggedIn && bytes > uncountedBytes && s.readUntil == 0 {
		s.readUntil = s.pooler.k.Clock.Now() + longMessageTimeout
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.draining {
			s.conn.SetReadDeadline(time.Now().Add(longMessageTimeout.Duration()))
		}
	}
	return true
}

// memoryBytes returns how many bytes of the process's memory the session uses.
func (s *session) memoryBytes() int64 { return int64(s.storedBytes + messageCopies*s.messageBytes) }

// overdue reports whether the time to receive a long message is over.
func (s *session) overdue() bool { return s.readUntil > 0 && s.pooler.k.Clock.Now() >= s.readUntil }

// growStored adds the given number of bytes, which may be negative, to the size of the session's
// values and prepared statements. It returns an error response if a limit would be exceeded, nil
// otherwise.
func (s *session) growStored(bytes int) *lineprotocol.Answer {
	if bytes > 0 && s.storedBytes+bytes > maxStoredBytes {
		return errorResponse(lineprotocol.Malformed, "too many values and prepared names", s.state())
	}
	s.storedBytes += bytes
	if !s.memory.Resize(s.memoryBytes()) {
		s.storedBytes -= bytes
		s.pooler.k.Counters.Add("pooler.memory_full", 1)
		return errorResponse(lineprotocol.Retry, retryAfter(kernel.Second), s.state())
	}
	return nil
}

// storedValueSize returns the size of the stored value of that name, 0 if there is none.
func (s *session) storedValueSize(name string) int {
	value, ok := s.values[name]
	if !ok {
		return 0
	}
	return entrySize(name, value)
}

// storedPreparedSize returns the size of the prepared statement of that name, 0 if there is none.
func (s *session) storedPreparedSize(name string) int {
	statement, ok := s.prepared[name]
	if !ok {
		return 0
	}
	return preparedSize(name, statement)
}

// entrySize returns the number of bytes counted for a value or a prepared name.
func entrySize(name, text string) int { return len(name) + len(text) + entryOverhead }

func preparedSize(name string, statement dbconn.Prepared) int { return entrySize(name, statement.Text) }

// checkMemoryReleased checks, when no session is left, that all memory has been released.
func (p *Pooler) checkMemoryReleased() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.sessions) == 0 {
		used := p.memory.Used()
		p.k.Invariants.Check(used == 0, invariant.MemoryReleased, "%d bytes are still reserved with no session left", used)
	}
}
