package connpool

import (
	"testing"

	"indigowalk/internal/kernel"
)

// One silent database counts at once; where another was silent a moment ago,
// the control node's own link may be full, and it is tried again.
func TestSeveralSilencesAreDoubted(t *testing.T) {
	var s Silences
	at := kernel.Second
	if s.Note(at, "a") || s.Note(at+ofLate/2, "a") {
		t.Error("one database is taken for several")
	}
	if !s.Note(at+ofLate, "b") {
		t.Error("a second one is not noticed")
	}
	if s.Note(at+3*ofLate, "c") {
		t.Error("silences of long ago count")
	}
}
