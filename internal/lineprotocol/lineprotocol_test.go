package lineprotocol

import (
	"errors"
	"io"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

func TestReader(t *testing.T) {
	long := strings.Repeat("x", 5000)
	in := "QUERY 1 FETCH a\r\n" + long + "\r\n"
	r := NewReader(iotest.OneByteReader(strings.NewReader(in)))
	for _, want := range []string{"QUERY 1 FETCH a", long} {
		if got, err := r.Line(); err != nil || string(got) != want {
			t.Errorf("read %.20q, error %v", got, err)
		}
	}
	if _, err := NewReader(strings.NewReader(strings.Repeat("x", MaxMessage) + "\r\n")).Line(); !errors.Is(err, ErrOversize) {
		t.Errorf("message over the limit: %v", err)
	}
	if _, err := NewReader(strings.NewReader("QUIT\n")).Line(); !errors.Is(err, ErrMalformed) {
		t.Errorf("line end without CR: %v", err)
	}
}

// trickle returns its parts one at a time, each preceded by an expired read deadline.
type trickle struct {
	parts []string
	waits bool
}

func (t *trickle) Read(b []byte) (int, error) {
	if t.waits = !t.waits; !t.waits {
		return 0, os.ErrDeadlineExceeded
	}
	if len(t.parts) == 0 {
		return 0, io.EOF
	}
	n := copy(b, t.parts[0])
	if t.parts[0] = t.parts[0][n:]; t.parts[0] == "" {
		t.parts = t.parts[1:]
	}
	return n, nil
}

// A message that arrives in parts is read whole, even if read deadlines expire between them.
func TestMessageInParts(t *testing.T) {
	long := strings.Repeat("x", 5000)
	r := NewReader(&trickle{parts: []string{"QUERY 1 PUT a ", long, "\r", "\nQUERY 2", " FETCH b\r\n", "QUERY 3"}})
	var got []string
	for timeouts := 0; timeouts < 30; {
		line, err := r.Line()
		switch {
		case err == nil:
			got = append(got, string(line))
		case errors.Is(err, os.ErrDeadlineExceeded):
			timeouts++
		default:
			timeouts = 30
		}
	}
	if want := []string{"QUERY 1 PUT a " + long, "QUERY 2 FETCH b"}; !slices.Equal(got, want) {
		t.Errorf("read %.60q", got)
	}
	if r.PartialBytes() != len("QUERY 3") {
		t.Errorf("%d bytes of the incomplete message are counted", r.PartialBytes())
	}
}

func TestReadAnswer(t *testing.T) {
	encoded := "ROW a b\r\nCOMPLETE 7.1\r\nIDLE T 3.12\r\n"
	a, err := ReadAnswer(NewReader(strings.NewReader(encoded)))
	if err != nil || a.Seal != "7.1" || a.State != 'T' || string(a.Append(nil)) != encoded {
		t.Errorf("answer %+v, error %v", a, err)
	}
	for _, malformed := range []string{
		"ROW a\r\nCOMPLETE 7\r\n", "NOISE\r\n", "IDLE\r\n", "IDLE I 3.1\r\n", "ROW a\r\nIDLE I 3.1\r\n", "ERROR \r\nIDLE I -\r\n",
		"COMPLETE 7\r\nROW a\r\nCOMPLETE 8\r\nIDLE I -\r\n", "COMPLETE 7\r\nERROR RETRY\r\nIDLE I -\r\n", "COMPLETE 7\r\nIDLE X -\r\n",
	} {
		if a, err := ReadAnswer(NewReader(strings.NewReader(malformed))); err == nil {
			t.Errorf("malformed %q was read as %+v", malformed, a)
		}
	}
}

// Parsing keeps the text, and accepts none of the statements that are reserved for the system's own
// processes.
func FuzzParseStatement(f *testing.F) {
	for _, text := range []string{"BEGIN", "BEGIN FETCH", "PUT a b c", "PARSE s PUT q", "RUN s a", "OPTION a b", "WAITPOS 1.1 FETCH a"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := ParseStatement("1", text)
		if s.Text != text {
			t.Errorf("text %q was stored as %q", text, s.Text)
		}
		if s.Verb != Invalid && (strings.HasPrefix(text, "WAITPOS") || strings.HasPrefix(text, "STAT")) {
			t.Errorf("%q was accepted, but clients may not send it", text)
		}
	})
}

func TestPosition(t *testing.T) {
	for _, invalid := range []string{"-", "", "3", "a.1", "-1.2"} {
		if p, ok := ParsePosition(invalid); ok {
			t.Errorf("%q was parsed as %v", invalid, p)
		}
	}
	p, ok := ParsePosition("3.1207")
	if !ok || p.String() != "3.1207" || !p.Less(Position{4, 1}) || p.Less(Position{3, 1207}) {
		t.Errorf("position %v, valid: %v", p, ok)
	}
}
