package connpool

import (
	"context"
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/discovery"
	"indigowalk/internal/health"
	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// fakeLine is a connection that never breaks.
type fakeLine struct{ closed bool }

func (l *fakeLine) Alive() bool                                 { return !l.closed }
func (l *fakeLine) Close()                                      { l.closed = true }
func (l *fakeLine) Reusable() bool                              { return true }
func (l *fakeLine) Fit(struct{}, kernel.Micros) int             { return 0 }
func (l *fakeLine) Attach(int64, func(byUs, unresponsive bool)) {}

// fakePools returns pools of such connections to one database, "a".
func fakePools() (*kernel.Kernel, *Pools[struct{}, *fakeLine]) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	s := New[struct{}](k, Config[struct{}, *fakeLine]{
		Open: func(context.Context, discovery.Database, struct{}, kernel.Micros) (*fakeLine, error) {
			return &fakeLine{}, nil
		},
		Share: func(string) int { return 4 },
	}, health.New(k, health.Config{}))
	s.SetDatabases(map[string]discovery.Database{"a": {ID: "a", Address: "10.0.0.1:1"}})
	return k, s
}

// The invariants detect connections that are lent twice or missing from the count, and unknown
// databases that are marked down.
func TestPoolInvariantsAreChecked(t *testing.T) {
	borrow := func(s *Pools[struct{}, *fakeLine]) *fakeLine {
		c, err := s.Borrow("a", 0, struct{}{}, kernel.Second)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for name, c := range map[string]struct {
		run  func(s *Pools[struct{}, *fakeLine])
		want []invariant.Invariant
	}{
		"lent and returned": {func(s *Pools[struct{}, *fakeLine]) {
			for range 3 {
				a, b := borrow(s), borrow(s)
				s.Return(a)
				s.Return(b)
			}
		}, nil},
		"lent twice": {func(s *Pools[struct{}, *fakeLine]) {
			s.markLent(s.pools["a"], borrow(s))
		}, []invariant.Invariant{invariant.LentOnce}},
		"missing from the count": {func(s *Pools[struct{}, *fakeLine]) {
			a := borrow(s)
			s.pools["a"].open++
			s.Return(a)
		}, []invariant.Invariant{invariant.ConnectionsCounted}},
		"down and known": {func(s *Pools[struct{}, *fakeLine]) {
			s.checkDownKnown(map[string]int64{"a": 0})
			s.checkDownKnown(map[string]int64{"a": 0})
		}, nil},
		"down and just removed": {func(s *Pools[struct{}, *fakeLine]) { s.checkDownKnown(map[string]int64{"b": 0}) }, nil},
		"down and unknown": {func(s *Pools[struct{}, *fakeLine]) {
			s.checkDownKnown(map[string]int64{"b": 0})
			s.checkDownKnown(map[string]int64{"b": 0})
		}, []invariant.Invariant{invariant.DownIsKnown}},
	} {
		k, s := fakePools()
		c.run(s)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
