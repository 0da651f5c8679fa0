package readrouting

import (
	"fmt"
	"testing"

	"indigowalk/internal/kernel"
)

// A process outlives many databases and routes: the state of those that are no longer used must be
// dropped.
func TestStateOfUnusedDatabasesIsDropped(t *testing.T) {
	clock := &fixedClock{}
	router := New(clock)
	for day := range 1000 {
		clock.now += 24 * 3600 * kernel.Second
		router.MarkLagging(fmt.Sprint("replica-", day))
		router.RecordLatency("p.ledger", fmt.Sprint("replica-", day), 3*kernel.Millisecond)
	}
	if n := len(router.lagging) + len(router.latencies); n > 4 {
		t.Errorf("%d entries of unused databases are kept", n)
	}
}
