package dbconn

import (
	"hash/fnv"
	"strconv"

	"indigowalk/internal/connpool"
	"indigowalk/internal/lineprotocol"
)

// Prepared is the statement that a prepared name stands for.
type Prepared struct {
	Kind lineprotocol.Verb // Fetch or Put
	Text string
}

func (p Prepared) key() string { return lineprotocol.KindName(p.Kind) + " " + p.Text }

// Limits of the prepared names that a connection keeps for later sessions.
const (
	maxPrepared      = 512
	maxPreparedBytes = 128 << 10
)

// SetValues sets exactly the given session values on the connection. It discards all values and
// prepared names first if a value is set that is not wanted, or if there are too many prepared
// names.
func (s *Conn) SetValues(want map[string]string, p WaitLimit) error {
	if s.hasUnwantedValue(want) || s.tooManyPrepared() {
		if err := s.mustExecute("DISCARD", p); err != nil {
			return err
		}
		clear(s.values)
		clear(s.names)
		s.preparedBytes = 0
	}
	for name, value := range want {
		if have, ok := s.values[name]; ok && have == value {
			continue
		}
		if err := s.mustExecute("OPTION "+name+" "+value, p); err != nil {
			return err
		}
		s.values[name] = value
	}
	return nil
}

// hasUnwantedValue reports whether a value is set that is not wanted.
func (s *Conn) hasUnwantedValue(want map[string]string) bool {
	for name := range s.values {
		if _, ok := want[name]; !ok {
			return true
		}
	}
	return false
}

// tooManyPrepared reports whether the connection has more prepared names than are kept and is in
// no transaction, which might need them.
func (s *Conn) tooManyPrepared() bool {
	return s.state == 'I' && (len(s.names) >= maxPrepared || s.preparedBytes > maxPreparedBytes)
}

// Prepare returns the name under which the statement is prepared on this connection, and prepares it
// first if needed. Equal statements get equal names on all connections, unless hashes collide.
func (s *Conn) Prepare(statement Prepared, p WaitLimit) (string, error) {
	key := statement.key()
	if name, ok := s.names[key]; ok {
		return name, nil
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	name := "p" + strconv.FormatUint(h.Sum64(), 36)
	for taken := s.nameTaken(name); taken; taken = s.nameTaken(name) {
		name += "x"
	}
	if err := s.mustExecute("PARSE "+name+" "+key, p); err != nil {
		return "", err
	}
	s.names[key] = name
	s.preparedBytes += len(key)
	return name, nil
}

// nameTaken reports whether the name is in use for another statement.
func (s *Conn) nameTaken(name string) bool {
	for _, n := range s.names {
		if n == name {
			return true
		}
	}
	return false
}

// ForgetPrepared removes a prepared name that the database no longer knows.
func (s *Conn) ForgetPrepared(statement Prepared) { delete(s.names, statement.key()) }

// mustExecute executes a statement that only a broken connection can refuse. After any other
// answer the state of the connection is unknown, and it is closed.
func (s *Conn) mustExecute(text string, p WaitLimit) error {
	a, err := s.Execute(text, p)
	if err != nil {
		return err
	}
	if a.Code != "" {
		s.Close()
		return connpool.ErrRejected
	}
	return nil
}
