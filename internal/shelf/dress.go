package shelf

import (
	"hash/fnv"
	"strconv"

	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
	"indigowalk/internal/stacks"
)

// Shape is what a prepared name stands for.
type Shape struct {
	Kind folio.Verb // Fetch or Put
	Text string
}

func (s Shape) key() string { return folio.KindName(s.Kind) + " " + s.Text }

// Values puts the session's values, and no others, in force on the
// connection.
func (c *Conn) Values(want map[string]string, wait foundation.Micros) error {
	for name := range c.values {
		if _, ok := want[name]; ok {
			continue
		}
		if err := c.must("DISCARD", wait); err != nil {
			return err
		}
		clear(c.values)
		clear(c.names)
		break
	}
	for name, value := range want {
		if have, ok := c.values[name]; ok && have == value {
			continue
		}
		if err := c.must("OPTION "+name+" "+value, wait); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// Name returns the connection's own prepared name for the shape, preparing it
// if need be. Names of equal shapes are equal on all connections.
func (c *Conn) Name(s Shape, wait foundation.Micros) (string, error) {
	key := s.key()
	if name, ok := c.names[key]; ok {
		return name, nil
	}
	h := fnv.New64a()
	h.Write([]byte(key))
	name := "p" + strconv.FormatUint(h.Sum64(), 36)
	for taken := c.holds(name); taken; taken = c.holds(name) {
		name += "x"
	}
	if err := c.must("PARSE "+name+" "+key, wait); err != nil {
		return "", err
	}
	c.names[key] = name
	return name, nil
}

func (c *Conn) holds(name string) bool {
	for _, n := range c.names {
		if n == name {
			return true
		}
	}
	return false
}

// Lost forgets a prepared name that the database does not know.
func (c *Conn) Lost(s Shape) { delete(c.names, s.key()) }

// must asks for what only a broken connection can refuse; after any other
// answer the connection's state is not known and it is closed.
func (c *Conn) must(text string, wait foundation.Micros) error {
	a, err := c.Ask(text, wait)
	if err != nil {
		return err
	}
	if a.Code != "" {
		c.Close()
		return stacks.ErrRejected
	}
	return nil
}
