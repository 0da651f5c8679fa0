package failover

import (
	"slices"
	"testing"

	"indigowalk/internal/kernel"
)

func TestExpiredReadersAreRemoved(t *testing.T) {
	const span = 10 * kernel.Second
	now := 100 * kernel.Second
	r := NewReaders()
	r.BeginTerm(1, map[string]int64{"cut off": 4, "dead": 7, "polls": 2}, now, kernel.Second)
	if gone := r.MarkExpired(now+span, span); gone != nil {
		t.Fatalf("%v are expired while leases of the previous term may run", gone)
	}
	now += span + 2*kernel.Second
	r.RecordReport("polls", 2, Report{}, now)
	r.RecordReport("new", 1, Report{}, now)
	gone := r.MarkExpired(now, span)
	if want := []string{"cut off", "dead"}; !slices.Equal(gone, want) {
		t.Fatalf("%v are expired, want %v", gone, want)
	}
	if newest, ok := r.RecordReport("cut off", 4, Report{}, now); ok || newest != 0 || r.Grant("cut off", 4, now+kernel.Second) {
		t.Error("a pooler's report was accepted, or a lease granted, while its registration is being removed")
	}
	if again := r.MarkExpired(now, span); !slices.Equal(again, gone) {
		t.Errorf("%v are expired at the next check, want %v: the removal may have failed", again, gone)
	}
	r.RemoveExpired(gone)
	if _, wait := r.AllLeft("service", 1, now); wait != 0 {
		t.Errorf("a failover waits %d for removed poolers", wait)
	}
	if _, ok := r.RecordReport("cut off", 4, Report{}, now); !ok || !r.Grant("cut off", 4, now+kernel.Second) {
		t.Error("a removed pooler is not accepted again")
	}
	if gone := r.MarkExpired(now, span); gone != nil {
		t.Errorf("%v are expired although they have just reported", gone)
	}
}

func TestRemovalOfExpiredReadersEndsWithTheTerm(t *testing.T) {
	const span = 10 * kernel.Second
	now := 100 * kernel.Second
	r := NewReaders()
	r.BeginTerm(1, map[string]int64{"back": 4}, now, kernel.Second)
	gone := r.MarkExpired(now+2*span, span)
	r.BeginTerm(2, map[string]int64{"back": 4}, now+2*span, kernel.Second)
	r.RemoveExpired(gone)
	if left, _ := r.AllLeft("service", 1, now+2*span); left {
		t.Error("a lease of the previous term is not waited for")
	}
}
