package lineprotocol

import (
	"bytes"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// answers reads answers until there are no more.
func answers(r io.Reader) (out []*Answer) {
	in := NewReader(r)
	for {
		a, err := ReadAnswer(in)
		if err != nil {
			return out
		}
		out = append(out, a)
	}
}

// expected splits a stream into complete answers, independently of ReadAnswer: each consists of
// rows, one COMPLETE or ERROR, and one IDLE.
func expected(input string) (out [][]string) {
	var now []string
	for {
		line, rest, ok := strings.Cut(input, "\n")
		text, cr := strings.CutSuffix(line, "\r")
		if !ok || !cr {
			return out
		}
		word, arg, _ := strings.Cut(text, " ")
		ended := len(now) > 0 && !strings.HasPrefix(now[len(now)-1], "ROW")
		switch {
		case word == "ROW" && !ended:
		case word == "COMPLETE" && !ended && arg != "":
		case word == "ERROR" && !ended && arg != "" && arg[0] != ' ':
		case word == "IDLE" && ended && len(arg) > 0 && strings.Contains("ITE", arg[:1]) && (len(arg) == 1 || arg[1] == ' '):
			out, now, input = append(out, append(now, text)), nil, rest
			continue
		default:
			return out
		}
		now, input = append(now, text), rest
	}
}

// Whatever a database sends, and however it is split, exactly the complete answers before the
// first fault of the stream are read: no part of one is read as part of another.
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
			t.Fatalf("%d answers, not %d", len(got), len(want))
		}
		for i, a := range got {
			lines := want[i]
			rows := strings.Join(lines[:len(lines)-2], "\r\n")
			if len(lines) > 2 {
				rows += "\r\n"
			}
			end := lines[len(lines)-2]
			if string(a.Rows) != rows || a.Code == "" && end != "COMPLETE "+a.Seal || a.Code != "" && !strings.HasPrefix(end, "ERROR "+a.Code) {
				t.Errorf("%+v from %q", a, lines)
			}
		}
		split := answers(iotest.OneByteReader(strings.NewReader(input)))
		if !slices.EqualFunc(got, split, func(a, b *Answer) bool { return bytes.Equal(a.Append(nil), b.Append(nil)) }) {
			t.Error("the answers depend on how the input is split")
		}
	})
}
