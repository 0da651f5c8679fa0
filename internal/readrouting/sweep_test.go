package readrouting

import (
	"fmt"
	"testing"

	"indigowalk/internal/kernel"
)

// A process outlives many generations of databases and routes; what it keeps of gone ones must
// not grow.
func TestStateOfUnusedDatabasesIsDropped(t *testing.T) {
	clock := &fixed{}
	a := New(clock)
	for day := range 1000 {
		clock.now += 24 * 3600 * kernel.Second
		a.MarkLagging(fmt.Sprint("replica-", day))
		a.RecordLatency("p.ledger", fmt.Sprint("replica-", day), 3*kernel.Millisecond)
	}
	if n := len(a.lagging) + len(a.latencies); n > 4 {
		t.Errorf("%d entries of unused databases are kept", n)
	}
}
