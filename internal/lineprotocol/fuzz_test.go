package lineprotocol

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// answers reads answers until the first error or the end of the stream.
func answers(r io.Reader) (out []*Answer) {
	reader := NewReader(r)
	for {
		a, err := ReadAnswer(reader)
		if err != nil {
			return out
		}
		out = append(out, a)
	}
}

// expected returns the lines of each complete answer before the first malformed message, parsed
// independently of ReadAnswer. An answer consists of rows, one COMPLETE or ERROR, and one IDLE.
func expected(input string) (out [][]string) {
	var current []string // lines of the answer being read
	for {
		line, rest, ok := strings.Cut(input, "\n")
		text, hasCR := strings.CutSuffix(line, "\r")
		if !ok || !hasCR {
			return out
		}
		word, arg, _ := strings.Cut(text, " ")
		ended := len(current) > 0 && !strings.HasPrefix(current[len(current)-1], "ROW")
		switch {
		case word == "ROW" && !ended:
		case word == "COMPLETE" && !ended && arg != "":
		case word == "ERROR" && !ended && arg != "" && arg[0] != ' ':
		case word == "IDLE" && ended && len(arg) > 0 && strings.Contains("ITE", arg[:1]) && (len(arg) == 1 || arg[1] == ' '):
			out, current, input = append(out, append(current, text)), nil, rest
			continue
		default:
			return out
		}
		current, input = append(current, text), rest
	}
}

// Whatever a database sends, and however the network splits it, exactly the complete answers before
// the first malformed message are read: no part of one answer is read as part of another.
func FuzzReadAnswer(f *testing.F) {
	a, b := "ROW x y\r\nCOMPLETE 7.1\r\nIDLE T 3.12\r\n", "ERROR RETRY later\r\nIDLE I -\r\n"
	for _, text := range []string{
		a + b, a[:12] + b, a + b[3:], b + a[9:], a + "\r\n" + b, "IDLE I -\r\n" + a, "ROW \r\n" + a, "COMPLETE 1\r\n" + a, "ERROR\r\n" + a, a + "X\n" + b,
		"ROW\rx\r\n" + a, strings.Repeat("x", 5000) + "\r\n" + a, "ROW " + strings.Repeat("x", 5000) + "\r\n" + a,
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, input string) {
		got := answers(strings.NewReader(input))
		want := expected(input)
		if len(got) != len(want) {
			t.Fatalf("read %d answers, want %d", len(got), len(want))
		}
		for i, a := range got {
			lines := want[i]
			rows := strings.Join(lines[:len(lines)-2], "\r\n")
			if len(lines) > 2 {
				rows += "\r\n"
			}
			end := lines[len(lines)-2]
			if string(a.Rows) != rows || a.Code == "" && end != "COMPLETE "+a.Seal || a.Code != "" && !strings.HasPrefix(end, "ERROR "+a.Code) {
				t.Errorf("answer %+v was read from %q", a, lines)
			}
		}
		split := answers(iotest.OneByteReader(strings.NewReader(input)))
		if !slices.EqualFunc(got, split, func(a, b *Answer) bool { return bytes.Equal(a.Append(nil), b.Append(nil)) }) {
			t.Error("the answers depend on how the input is split")
		}
	})
}
