// Package lineprotocol is the codec of the wire that clients and databases speak.
package lineprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// MaxMessage is the longest message, its end included.
const MaxMessage = 1 << 20

// Codes of ERROR.
const (
	Retry      = "RETRY"
	RolledBack = "ROLLEDBACK"
	Lagging    = "LAGGING"
	ReadOnly   = "RDONLY"
	WrongNode  = "WRONGNODE"
	MaxConn    = "MAXCONN"
	NoSuch     = "NOSUCH"
	Failed     = "FAILED"
	Expired    = "EXPIRED"
	Unknown    = "UNKNOWN"
	NoDB       = "NODB"
	Denied     = "DENIED"
	Oversize   = "OVERSIZE"
	Malformed  = "MALFORMED"
)

// Errors of this layer.
var (
	ErrOversize  = errors.New("lineprotocol: message too long")
	ErrMalformed = errors.New("lineprotocol: malformed message")
	ErrNoRoom    = errors.New("lineprotocol: no memory for the message")
)

// Position is a place in a database's log.
type Position struct{ Term, Number int64 }

// ParsePosition reads TERM.NUMBER; "-" and anything else give no position.
func ParsePosition(s string) (Position, bool) {
	t, n, ok := strings.Cut(s, ".")
	if !ok {
		return Position{}, false
	}
	term, err1 := strconv.ParseInt(t, 10, 64)
	num, err2 := strconv.ParseInt(n, 10, 64)
	if err1 != nil || err2 != nil || term < 0 || num < 0 {
		return Position{}, false
	}
	return Position{term, num}, true
}

// Less orders positions by term, then number.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// Next is the first position after p.
func (p Position) Next() Position { return Position{p.Term, p.Number + 1} }

func (p Position) String() string {
	return strconv.FormatInt(p.Term, 10) + "." + strconv.FormatInt(p.Number, 10)
}

// Reader takes messages off a connection.
type Reader struct {
	// Room, if there is one, is asked before a message that comes in parts takes so many
	// bytes, and told 0 when the next one begins.
	Room func(bytes int) bool

	b          *bufio.Reader
	part       []byte // of a message whose rest has not come, or that is longer than the buffer
	incomplete bool   // part is of the message that is read next
}

// maxRetainedBuffer is the largest buffer that is kept for further messages.
const maxRetainedBuffer = 16 << 10

// NewReader wraps r.
func NewReader(r io.Reader) *Reader { return &Reader{b: bufio.NewReaderSize(r, 2048)} }

// Line returns the next message without its end; it is valid until the next
// call. After an error that passes, as the end of a wait, the next call goes on
// where this one stopped.
func (r *Reader) Line() ([]byte, error) {
	if !r.incomplete && r.part != nil {
		r.discardPart()
	}
	line, err := r.b.ReadSlice('\n')
	if err != nil || r.incomplete {
		if line, err = r.assemble(line, err); err != nil {
			return nil, err
		}
	}
	line = line[:len(line)-1]
	if n := len(line); n == 0 || line[n-1] != '\r' {
		return nil, ErrMalformed
	}
	return line[:len(line)-1], nil
}

// discardPart drops the message in hand, whose memory is kept for the next one if it is small.
func (r *Reader) discardPart() {
	if r.part = r.part[:0]; cap(r.part) > maxRetainedBuffer {
		r.part = nil
	}
	if r.Room != nil {
		r.Room(0)
	}
}

// assemble puts a message together that comes in parts.
func (r *Reader) assemble(line []byte, err error) ([]byte, error) {
	for {
		if r.Room != nil && !r.Room(len(r.part)+len(line)) {
			return nil, ErrNoRoom
		}
		r.part = append(r.part, line...)
		r.incomplete = len(r.part) > 0
		if len(r.part) > MaxMessage {
			return nil, ErrOversize
		}
		if err == nil {
			r.incomplete = false
			return r.part, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		line, err = r.b.ReadSlice('\n')
	}
}

// Partial is how many bytes have come of a message whose rest has not.
func (r *Reader) Partial() int {
	if !r.incomplete {
		return 0
	}
	return len(r.part)
}

// Buffered reports whether input is waiting.
func (r *Reader) Buffered() bool { return r.b.Buffered() > 0 }

// Word cuts the first blank-separated field off a message.
func Word(line []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(line, []byte{' '})
	return word, rest
}

// AppendMessage appends the fields as one message.
func AppendMessage(b []byte, fields ...string) []byte {
	for i, f := range fields {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, f...)
	}
	return append(b, '\r', '\n')
}

// Answer is what a database sent for one QUERY or LOGIN.
type Answer struct {
	Rows  []byte // ROW messages as they came, ends included
	Seal  string // text of COMPLETE
	Code  string // code of ERROR, "" for success
	Text  string // text of ERROR
	State byte   // I, T or E
	Pos   string
}

// ReadAnswer reads one answer up to its IDLE: rows, then how it ended, once.
// Anything else is malformed, so that what is left of one answer is never read
// as part of another.
func ReadAnswer(r *Reader) (*Answer, error) {
	a := &Answer{}
	for ended := false; ; {
		line, err := r.Line()
		if err != nil {
			return nil, err
		}
		word, rest := Word(line)
		switch kind := string(word); {
		case kind == "ROW" && !ended:
			if len(a.Rows)+len(line) > 2*MaxMessage {
				return nil, ErrOversize
			}
			a.Rows = append(append(a.Rows, line...), '\r', '\n')
		case kind == "COMPLETE" && !ended && len(rest) > 0:
			a.Seal, ended = string(rest), true
		case kind == "ERROR" && !ended:
			code, text := Word(rest)
			if len(code) == 0 {
				return nil, ErrMalformed
			}
			a.Code, a.Text, ended = string(code), string(text), true
		case kind == "IDLE" && ended:
			state, pos := Word(rest)
			if s := string(state); s != "I" && s != "T" && s != "E" {
				return nil, ErrMalformed
			}
			a.State, a.Pos = state[0], string(pos)
			return a, nil
		default:
			return nil, ErrMalformed
		}
	}
}

// Append writes the answer as a client is to see it.
func (a *Answer) Append(b []byte) []byte {
	b = append(b, a.Rows...)
	if a.Code != "" {
		b = AppendMessage(b, "ERROR", a.Code, a.Text)
	} else {
		b = AppendMessage(b, "COMPLETE", a.Seal)
	}
	pos := a.Pos
	if pos == "" {
		pos = "-"
	}
	return AppendMessage(b, "IDLE", string(a.State), pos)
}
