package pooler

import (
	"testing"

	"indigowalk/internal/kernel"
)

// Statements wait for the end of a short outage, such as a failover, but only for minWait in a longer
// one. Each kind of statement, and each outage, counts on its own.
func TestStatementsDoNotWaitInLongOutages(t *testing.T) {
	var o outages
	at := kernel.Micros(1_000_000)
	reads, writes := outageKey{"svc", false}, outageKey{"svc", true}
	if got := o.waitDeadline(writes, at, at); got != at+failoverWait {
		t.Errorf("at the start of an outage: waits until %d", got)
	}
	late := at + 2*failoverWait
	if got := o.waitDeadline(writes, late, late); got != late+minWait {
		t.Errorf("in a long outage: waits until %d", got)
	}
	if got := o.waitDeadline(reads, late, late); got != late+failoverWait {
		t.Errorf("statements of another kind: wait until %d", got)
	}
	o.clear(writes)
	if got := o.waitDeadline(writes, late, late); got != late+failoverWait {
		t.Errorf("in the next outage: waits until %d", got)
	}
}
