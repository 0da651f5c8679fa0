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

// Cut is the code of an answer that did not come: the connection ended.
const Cut = "cut"

const (
	loginWait = 2 * time.Second
	// queryWait is longer than any statement may take.
	queryWait = 6 * time.Second
)

// Session is a client's session at a pooler.
type Session struct {
	Name string
	// Address is that of the pooler.
	Address string
	State   string

	c   net.Conn
	r   *lineprotocol.Reader
	ids int
}

var sessions atomic.Int64

// Login opens a session at the address; if that fails the code of the error says
// how.
func Login(network kernel.Network, addr, database string) (s *Session, code string) {
	return LoginAs(network, addr, database, "who")
}

// LoginAs is Login under a name, or a key.
func LoginAs(network kernel.Network, addr, database, who string) (s *Session, code string) {
	ctx, cancel := context.WithTimeout(context.Background(), loginWait)
	defer cancel()
	c, err := network.Dial(ctx, addr, 0)
	if err != nil {
		return nil, Cut
	}
	s = &Session{Name: "s" + strconv.FormatInt(sessions.Add(1), 10), Address: addr, c: c, r: lineprotocol.NewReader(c)}
	if code := s.login(database, who); code != "" {
		c.Close()
		return nil, code
	}
	s.State = "I"
	return s, ""
}

// login returns the code of the error, if there is one.
func (s *Session) login(database, who string) (code string) {
	if err := s.c.SetReadDeadline(time.Now().Add(loginWait)); err != nil {
		return Cut
	}
	if _, err := s.c.Write(lineprotocol.AppendMessage(nil, "LOGIN", database, who)); err != nil {
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

// Close ends the session without a word.
func (s *Session) Close() { s.c.Close() }

// Raw sends bytes as they are and reads one answer.
func (s *Session) Raw(b []byte, wait time.Duration) *lineprotocol.Answer {
	if err := s.c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	if _, err := s.c.Write(b); err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	return s.Answer()
}

// Answer reads one answer; a connection that ends gives the code Cut.
func (s *Session) Answer() *lineprotocol.Answer {
	a, err := lineprotocol.ReadAnswer(s.r)
	if err != nil {
		return &lineprotocol.Answer{Code: Cut, Text: err.Error()}
	}
	s.State = string(a.State)
	return a
}

// Query sends a text under an id of its own, which is returned too.
func (s *Session) Query(text string) (a *lineprotocol.Answer, id string) {
	s.ids++
	id = s.Name + "." + strconv.Itoa(s.ids)
	return s.Raw(lineprotocol.AppendMessage(nil, "QUERY", id, text), queryWait), id
}

// Row returns the first field of the first row.
func Row(a *lineprotocol.Answer) string {
	f := strings.Fields(string(a.Rows))
	if len(f) < 2 {
		return ""
	}
	return f[1]
}

// Send sends bytes as they are and reads nothing.
func (s *Session) Send(b []byte) error {
	_, err := s.c.Write(b)
	return err
}

// LineWithin reads one message that comes within a span.
func (s *Session) LineWithin(wait time.Duration) (string, error) {
	if err := s.c.SetReadDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	return s.Line()
}

// Line reads one message.
func (s *Session) Line() (string, error) {
	line, err := s.r.Line()
	return string(line), err
}
