package dbconn

import (
	"hash/fnv"
	"strconv"

	"indigowalk/internal/connpool"
	"indigowalk/internal/lineprotocol"
)

// Prepared is a prepared statement.
type Prepared struct {
	Kind lineprotocol.Verb // Fetch or Put
	Text string
}

// key identifies the statement: it is the same for equal statements only.
func (p Prepared) key() string { return lineprotocol.KindName(p.Kind) + " " + p.Text }

// Limits of the prepared statements that a connection keeps for later sessions.
const (
	maxPrepared      = 512
	maxPreparedBytes = 128 << 10
)

// SetValues sets the given session values on the connection, and no others. If another value is set, or
// if there are too many prepared statements, it first discards all values and prepared statements.
func (c *Conn) SetValues(want map[string]string, limit WaitLimit) error {
	if c.hasUnwantedValue(want) || c.tooManyPrepared() {
		if err := c.mustExecute("DISCARD", limit); err != nil {
			return err
		}
		clear(c.values)
		clear(c.preparedNames)
		c.preparedBytes = 0
	}
	for name, value := range want {
		if have, ok := c.values[name]; ok && have == value {
			continue
		}
		if err := c.mustExecute("OPTION "+name+" "+value, limit); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// hasUnwantedValue reports whether a session value is set that is not among the given ones.
func (c *Conn) hasUnwantedValue(want map[string]string) bool {
	for name := range c.values {
		if _, ok := want[name]; !ok {
			return true
		}
	}
	return false
}

// tooManyPrepared reports whether the connection has reached a limit of its prepared statements and
// is in no transaction, which might still need them.
func (c *Conn) tooManyPrepared() bool {
	return c.state == 'I' && (len(c.preparedNames) >= maxPrepared || c.preparedBytes > maxPreparedBytes)
}

// Prepare returns the name under which the statement is prepared on this connection, and prepares it
// first if needed. Equal statements get equal names on all connections, unless hashes collide.
func (c *Conn) Prepare(statement Prepared, limit WaitLimit) (string, error) {
	key := statement.key()
	if name, ok := c.preparedNames[key]; ok {
		return name, nil
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	name := "p" + strconv.FormatUint(h.Sum64(), 36)
	for taken := c.nameTaken(name); taken; taken = c.nameTaken(name) {
		name += "x"
	}
	if err := c.mustExecute("PARSE "+name+" "+key, limit); err != nil {
		return "", err
	}
	c.preparedNames[key] = name
	c.preparedBytes += len(key)
	return name, nil
}

// nameTaken reports whether the name is in use for another statement.
func (c *Conn) nameTaken(name string) bool {
	for _, n := range c.preparedNames {
		if n == name {
			return true
		}
	}
	return false
}

// ForgetPrepared removes a prepared statement that the database no longer has.
func (c *Conn) ForgetPrepared(statement Prepared) { delete(c.preparedNames, statement.key()) }

// mustExecute executes a statement that the database has no reason to refuse. If it does, the state of
// the connection is unknown, so the connection is closed.
func (c *Conn) mustExecute(text string, limit WaitLimit) error {
	answer, err := c.Execute(text, limit)
	if err != nil {
		return err
	}
	if answer.Code != "" {
		c.Close()
		return connpool.ErrRejected
	}
	return nil
}
