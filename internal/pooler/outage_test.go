package pooler

import (
	"testing"

	"indigowalk/internal/kernel"
)

func TestLongOutagesAreNotWaitedFor(t *testing.T) {
	var o outages
	at := kernel.Micros(1_000_000)
	reads, writes := outage{"svc", false}, outage{"svc", true}
	if got := o.holdUntil(writes, at, at); got != at+patience {
		t.Errorf("at the start held until %d", got)
	}
	late := at + 2*patience
	if got := o.holdUntil(writes, late, late); got != late+leastHold {
		t.Errorf("in a long outage held until %d", got)
	}
	if got := o.holdUntil(reads, late, late); got != late+patience {
		t.Errorf("another kind held until %d", got)
	}
	o.over(writes)
	if got := o.holdUntil(writes, late, late); got != late+patience {
		t.Errorf("in the next outage held until %d", got)
	}
}
