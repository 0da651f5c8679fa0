package custodian

import (
	"testing"

	"indigowalk/internal/folio"
	"indigowalk/internal/foundation"
)

func TestChoose(t *testing.T) {
	at := func(n int64) folio.Position { return folio.Position{Term: 1, Number: n} }
	held := at(9)
	for _, c := range []struct {
		name string
		s    Situation
		want string
	}{
		{"nobody answers", Situation{Replicas: 2, Sync: 1}, ""},
		{"the furthest", Situation{Replicas: 2, Sync: 1, Copies: []Copy{{"a", at(5), false}, {"b", at(7), false}}}, "b"},
		{"one of two", Situation{Replicas: 2, Sync: 1, Copies: []Copy{{"a", at(5), false}}}, ""},
		{"one of two, two in sync", Situation{Replicas: 2, Sync: 2, Copies: []Copy{{"a", at(5), false}}}, "a"},
		{"one of two, the primary holds no more", Situation{Replicas: 2, Sync: 1, Held: &held, Copies: []Copy{{"a", at(9), false}}}, "a"},
		{"the primary holds more", Situation{Replicas: 2, Sync: 1, Held: &held, Copies: []Copy{{"a", at(8), false}, {"b", at(8), false}}}, ""},
		{"rather one that stays", Situation{Replicas: 2, Sync: 1, Copies: []Copy{{"a", at(7), true}, {"b", at(7), false}}}, "b"},
		{"a later term counts more", Situation{Replicas: 2, Sync: 1, Copies: []Copy{{"a", at(9), false}, {"b", folio.Position{Term: 2, Number: 1}, false}}}, "b"},
	} {
		if got, why := Choose(c.s); got != c.want || (got == "") == (why == "") {
			t.Errorf("%s: %q (%s), want %q", c.name, got, why, c.want)
		}
	}
}

func TestReadersHoldAPromotionUpUntilTheyLeaveOrTheirLeaseEnds(t *testing.T) {
	r := NewReaders()
	now := foundation.Second
	r.Heard("d1", 10, nil)
	r.Grant("d1", 10, now+5)
	r.Heard("d2", 10, nil)
	r.Grant("d2", 10, now+9)
	if ok, wait := r.Left("svc", 1, now); ok || wait != 9 {
		t.Errorf("left %v, wait %d", ok, wait)
	}
	r.Heard("d2", 10, map[string]int64{"svc": 1})
	if ok, _ := r.Left("svc", 1, now+4); ok {
		t.Error("d1's lease runs still")
	}
	if ok, _ := r.Left("svc", 1, now+5); !ok {
		t.Error("d1's lease has run out")
	}
	if newest, ok := r.Heard("d1", 9, map[string]int64{"svc": 5}); ok || newest != 10 || r.Grant("d1", 9, now+99) {
		t.Error("an earlier life of a desk was heard, or not told of the newest")
	}
	r.Term(2, map[string]int64{"d1": 10, "d3": 4}, now+50)
	r.Term(2, nil, 0) // the same term again changes nothing
	if ok, wait := r.Left("svc", 1, now); ok || wait != 50 {
		t.Errorf("in a new term: left %v, wait %d", ok, wait)
	}
	r.Heard("d3", 4, map[string]int64{"svc": 1})
	if r.Heard("d1", 11, nil); !func() bool { ok, _ := r.Left("svc", 1, now); return ok }() {
		t.Error("a new life holds the lease of the one before")
	}
}
