package failurelog

import (
	"log/slog"
	"strconv"
	"strings"
	"testing"

	"indigowalk/internal/kernel"
)

// The most recent failures are kept with their attempts, and long texts are truncated.
func TestKeepsMostRecentFailures(t *testing.T) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	log := New(k)
	attempts := []Attempt{{Database: "a", Result: "sent: silent"}}
	for n := range Capacity + 3 {
		log.Add(Failure{ID: strconv.Itoa(n), Route: strings.Repeat("r", 1<<20), Cause: "deadline", Attempts: attempts})
	}
	attempts[0].Database = "b"
	recent := log.Recent()
	if len(recent) != Capacity || recent[0].ID != "3" || recent[Capacity-1].ID != strconv.Itoa(Capacity+2) {
		t.Errorf("%d failures are kept, the oldest is %s", len(recent), recent[0].ID)
	}
	if f := recent[0]; len(f.Route) != maxTextLength || f.Attempts[0].Database != "a" || f.At.IsZero() {
		t.Errorf("oldest failure: %+v", f)
	}
	if n := k.Counters.Snapshot()["failure.deadline"]; n != Capacity+3 {
		t.Errorf("%d failures are counted", n)
	}
}
