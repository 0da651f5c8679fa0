package failurelog

import (
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// The newest failures are kept whatever clients send, with their attempts.
func TestTheNewestFailuresAreKept(t *testing.T) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	l := New(k)
	attempts := []Attempt{{Database: "a", Result: "sent: silent"}}
	for n := range Kept + 3 {
		l.Add(Failure{ID: strconv.Itoa(n), Route: strings.Repeat("r", 1<<20), Cause: "deadline", Attempts: attempts})
	}
	attempts[0].Database = "b"
	recent := l.Recent()
	if len(recent) != Kept || recent[0].ID != "3" || recent[Kept-1].ID != strconv.Itoa(Kept+2) {
		t.Errorf("%d kept, from %s", len(recent), recent[0].ID)
	}
	if f := recent[0]; len(f.Route) != longestText || f.Attempts[0].Database != "a" || f.At.IsZero() {
		t.Errorf("%+v", f)
	}
	if n := k.Counters.Snapshot()["failure.deadline"]; n != Kept+3 {
		t.Errorf("%d are counted", n)
	}
}
