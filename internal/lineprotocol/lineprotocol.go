// Package lineprotocol encodes and decodes the line protocol that clients, poolers and databases use.
// A message is one line that ends with CR LF, and consists of a word and fields separated by spaces.
package lineprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// MaxMessage is the maximum length of a message in bytes, including its line end.
const MaxMessage = 1 << 20

// Codes of ERROR messages.
const (
	Retry      = "RETRY"      // temporarily refused; from a pooler, the text is the retry delay in milliseconds
	RolledBack = "ROLLEDBACK" // the transaction was rolled back
	Lagging    = "LAGGING"    // the replica has not reached the position to wait for
	ReadOnly   = "RDONLY"     // the database accepts no writes
	WrongNode  = "WRONGNODE"  // another database than the intended one was reached
	MaxConn    = "MAXCONN"    // the database is at its connection limit
	NoSuch     = "NOSUCH"     // no prepared statement of that name
	Failed     = "FAILED"     // the statement failed, but may have had an effect
	Expired    = "EXPIRED"    // the deadline passed before the answer arrived
	Unknown    = "UNKNOWN"    // whether the write took effect is unknown
	NoDB       = "NODB"       // no database of that name is configured
	Denied     = "DENIED"     // the API key is not valid
	Oversize   = "OVERSIZE"   // the message is longer than MaxMessage
	Malformed  = "MALFORMED"  // the message is not valid, or not allowed in the current state
)

// Errors returned by Reader.Line and ReadAnswer.
var (
	ErrOversize    = errors.New("lineprotocol: message too long")
	ErrMalformed   = errors.New("lineprotocol: malformed message")
	ErrOutOfMemory = errors.New("lineprotocol: no memory for the message")
)

// Position is a position in the log of a database.
type Position struct{ Term, Number int64 }

// ParsePosition parses TERM.NUMBER. It reports false for "-", which stands for no position, and
// for anything else.
func ParsePosition(s string) (Position, bool) {
	termText, numberText, ok := strings.Cut(s, ".")
	if !ok {
		return Position{}, false
	}
	term, termErr := strconv.ParseInt(termText, 10, 64)
	number, numberErr := strconv.ParseInt(numberText, 10, 64)
	if termErr != nil || numberErr != nil || term < 0 || number < 0 {
		return Position{}, false
	}
	return Position{term, number}, true
}

// Less reports whether p comes before q; positions are ordered by term, then by number.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// Next returns the position that follows p in the same term.
func (p Position) Next() Position { return Position{p.Term, p.Number + 1} }

func (p Position) String() string {
	return strconv.FormatInt(p.Term, 10) + "." + strconv.FormatInt(p.Number, 10)
}

// Reader reads messages from a connection.
type Reader struct {
	// ReserveMemory, if not nil, reports whether a message that arrives in parts may occupy the given
	// number of bytes in total. It is called before each part is stored, and with 0 to release the memory
	// when the next message begins.
	ReserveMemory func(bytes int) bool

	b          *bufio.Reader
	part       []byte // what has arrived of an incomplete message, or the last message if it arrived in parts
	incomplete bool   // part is the beginning of a message whose end has not arrived
}

// maxRetainedBuffer is the size in bytes of the largest buffer that is reused for later messages.
const maxRetainedBuffer = 16 << 10

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{b: bufio.NewReaderSize(r, 2048)} }

// Line returns the next message without its line end; it is valid until the next call. After a
// temporary error, such as an expired read deadline, the next call continues where this one
// stopped.
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

// discardPart discards the previous message. Its buffer is kept for reuse unless it is larger than
// maxRetainedBuffer.
func (r *Reader) discardPart() {
	if r.part = r.part[:0]; cap(r.part) > maxRetainedBuffer {
		r.part = nil
	}
	if r.ReserveMemory != nil {
		r.ReserveMemory(0)
	}
}

// assemble assembles a message that arrives in parts. line and err are the result of the latest read.
func (r *Reader) assemble(line []byte, err error) ([]byte, error) {
	for {
		if r.ReserveMemory != nil && !r.ReserveMemory(len(r.part)+len(line)) {
			return nil, ErrOutOfMemory
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

// PartialBytes returns how many bytes of an incomplete message have arrived.
func (r *Reader) PartialBytes() int {
	if !r.incomplete {
		return 0
	}
	return len(r.part)
}

// Buffered reports whether unread input is buffered.
func (r *Reader) Buffered() bool { return r.b.Buffered() > 0 }

// Word splits a message at its first space.
func Word(line []byte) (word, rest []byte) {
	word, rest, _ = bytes.Cut(line, []byte{' '})
	return word, rest
}

// AppendMessage appends the fields as one message, separated by spaces.
func AppendMessage(b []byte, fields ...string) []byte {
	for i, f := range fields {
		if i > 0 {
			b = append(b, ' ')
		}
		b = append(b, f...)
	}
	return append(b, '\r', '\n')
}

// Answer is the answer to one QUERY or LOGIN.
type Answer struct {
	Rows  []byte // ROW messages as received, line ends included
	Seal  string // text of COMPLETE; "-" if there is no seal
	Code  string // code of ERROR, "" for success
	Text  string // text of ERROR
	State byte   // transaction state: I for none, T for an open one, E for a failed one
	Pos   string // log position in IDLE, to be parsed by ParsePosition; "-" or "" for none
}

// ReadAnswer reads one answer up to its IDLE: any rows, then exactly one COMPLETE or ERROR.
// Anything else is malformed, so that the remainder of one answer is never read as part of
// another.
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

// Append appends the encoded answer to b.
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
