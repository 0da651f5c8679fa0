package standin

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// Cut is the code of an answer that is missing because the connection ended or timed out.
const Cut = "cut"

const (
	loginTimeout = 2 * time.Second
	// queryTimeout is longer than any statement may take.
	queryTimeout = 6 * time.Second
)

// Session is a client's session at a pooler.
type Session struct {
	Name string
	// Address is the address of the pooler.
	Address string
	State   string // as in the last answer: "I" outside a transaction

	c          net.Conn
	r          *lineprotocol.Reader
	queryCount int
}

// sessionCount counts the sessions of this process, so that their names are unique.
var sessionCount atomic.Int64

// Login opens a session at the address. If that fails, it returns no session and the code of the
// error.
func Login(network kernel.Network, addr, database string) (s *Session, code string) {
	return LoginAs(network, addr, database, "who")
}

// LoginAs is like Login, with the given user name or API key.
func LoginAs(network kernel.Network, addr, database, user string) (s *Session, code string) {
	ctx, cancel := context.WithTimeout(context.Background(), loginTimeout)
	defer cancel()
	c, err := network.Dial(ctx, addr, 0)
	if err != nil {
		return nil, Cut
	}
	s = &Session{Name: "s" + strconv.FormatInt(sessionCount.Add(1), 10), Address: addr, c: c, r: lineprotocol.NewReader(c)}
	if code := s.login(database, user); code != "" {
		c.Close()
		return nil, code
	}
	s.State = "I"
	return s, ""
}

// login sends the LOGIN message and returns the code of the error, "" for success.
func (s *Session) login(database, user string) (code string) {
	if err := s.c.SetReadDeadline(time.Now().Add(loginTimeout)); err != nil {
		return Cut
	}
	if _, err := s.c.Write(lineprotocol.AppendMessage(nil, "LOGIN", database, user)); err != nil {
		return Cut
	}
	line, err := s.r.Line()
	if err != nil {
		return Cut
	}
	fields := strings.Fields(string(line))
	switch {
	case len(fields) > 0 && fields[0] == "IDLE":
		return ""
	case len(fields) > 1 && fields[0] == "ERROR":
		return fields[1]
	}
	return Cut
}

// Close closes the connection without ending the session in the protocol.
func (s *Session) Close() { s.c.Close() }

// ExchangeRaw sends bytes as they are and reads one answer.
func (s *Session) ExchangeRaw(b []byte, timeout time.Duration) *lineprotocol.Answer {
	if err := s.c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	if _, err := s.c.Write(b); err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	return s.Answer()
}

// Answer reads one answer; its code is Cut if the connection ends first.
func (s *Session) Answer() *lineprotocol.Answer {
	a, err := lineprotocol.ReadAnswer(s.r)
	if err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	s.State = string(a.State)
	return a
}

// Query sends a statement under a new id and returns the answer and the id.
func (s *Session) Query(text string) (a *lineprotocol.Answer, id string) {
	s.queryCount++
	id = s.Name + "." + strconv.Itoa(s.queryCount)
	return s.ExchangeRaw(lineprotocol.AppendMessage(nil, "QUERY", id, text), queryTimeout), id
}

// Row returns the first field of the first row.
func Row(a *lineprotocol.Answer) string {
	fields := strings.Fields(string(a.Rows))
	if len(fields) < 2 {
		return ""
	}
	return fields[1]
}

// Send sends bytes as they are and reads no answer.
func (s *Session) Send(b []byte) error {
	_, err := s.c.Write(b)
	return err
}

// LineWithin reads one message, which must arrive within the given time.
func (s *Session) LineWithin(timeout time.Duration) (string, error) {
	if err := s.c.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	return s.Line()
}

// Line reads one message.
func (s *Session) Line() (string, error) {
	line, err := s.r.Line()
	return string(line), err
}
