package connpool

import (
	"testing"

	"indigowalk/internal/kernel"
)

// A single unresponsive database counts at once. If another one was unresponsive a moment ago, the
// node's own link may be saturated, and the database is tried again.
func TestRecordReportsOtherUnresponsiveDatabases(t *testing.T) {
	var tracker UnresponsiveTracker
	start := kernel.Second
	if tracker.Record(start, "a") || tracker.Record(start+unresponsiveWindow/2, "a") {
		t.Error("a single database is counted as several")
	}
	if !tracker.Record(start+unresponsiveWindow, "b") {
		t.Error("a second database is not counted")
	}
	if tracker.Record(start+3*unresponsiveWindow, "c") {
		t.Error("databases recorded long ago still count")
	}
}
