package failover

import (
	"slices"
	"testing"

	"indigowalk/internal/kernel"
)

func TestExpiredLeaseHoldersAreRemoved(t *testing.T) {
	const span = 10 * kernel.Second
	now := 100 * kernel.Second
	readLeases := NewReadLeases()
	readLeases.BeginTerm(1, map[string]int64{"cut off": 4, "dead": 7, "polls": 2}, now, kernel.Second)
	if expired := readLeases.MarkExpired(now+span, span); expired != nil {
		t.Fatalf("%v are expired while leases of the previous term may run", expired)
	}
	now += span + 2*kernel.Second
	readLeases.RecordReport("polls", 2, Report{}, now)
	readLeases.RecordReport("new", 1, Report{}, now)
	expired := readLeases.MarkExpired(now, span)
	if want := []string{"cut off", "dead"}; !slices.Equal(expired, want) {
		t.Fatalf("%v are expired, want %v", expired, want)
	}
	if newest, ok := readLeases.RecordReport("cut off", 4, Report{}, now); ok || newest != 0 || readLeases.Grant("cut off", 4, now+kernel.Second) {
		t.Error("a pooler's report was accepted, or a lease granted, while its registration is being removed")
	}
	if again := readLeases.MarkExpired(now, span); !slices.Equal(again, expired) {
		t.Errorf("%v are expired at the next check, want %v: the removal may have failed", again, expired)
	}
	readLeases.RemoveExpired(expired)
	if _, wait := readLeases.AllReleased("service", 1, now); wait != 0 {
		t.Errorf("a failover waits %d for removed poolers", wait)
	}
	if _, ok := readLeases.RecordReport("cut off", 4, Report{}, now); !ok || !readLeases.Grant("cut off", 4, now+kernel.Second) {
		t.Error("a removed pooler is not accepted again")
	}
	if expired := readLeases.MarkExpired(now, span); expired != nil {
		t.Errorf("%v are expired although they have just reported", expired)
	}
}

func TestRemovalOfExpiredLeaseHoldersEndsWithTheTerm(t *testing.T) {
	const span = 10 * kernel.Second
	now := 100 * kernel.Second
	readLeases := NewReadLeases()
	readLeases.BeginTerm(1, map[string]int64{"back": 4}, now, kernel.Second)
	expired := readLeases.MarkExpired(now+2*span, span)
	readLeases.BeginTerm(2, map[string]int64{"back": 4}, now+2*span, kernel.Second)
	readLeases.RemoveExpired(expired)
	if released, _ := readLeases.AllReleased("service", 1, now+2*span); released {
		t.Error("a lease of the previous term is not waited for")
	}
}
