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

// fakeConnection is a connection that never breaks.
type fakeConnection struct{ closed bool }

func (c *fakeConnection) Alive() bool                                          { return !c.closed }
func (c *fakeConnection) Close()                                               { c.closed = true }
func (c *fakeConnection) Reusable() bool                                       { return true }
func (c *fakeConnection) Score(struct{}, kernel.Micros) int                    { return 0 }
func (c *fakeConnection) Attach(int64, func(closedLocally, unresponsive bool)) {}

// fakePools returns pools of fake connections to one database, "a".
func fakePools() (*kernel.Kernel, *Pools[struct{}, *fakeConnection]) {
	k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
	ps := New[struct{}](k, Config[struct{}, *fakeConnection]{
		Open: func(context.Context, discovery.Database, struct{}, kernel.Micros) (*fakeConnection, error) {
			return &fakeConnection{}, nil
		},
		MaxPerDatabase: func(string) int { return 4 },
	}, health.New(k, health.Config{}))
	ps.SetDatabases(map[string]discovery.Database{"a": {ID: "a", Address: "10.0.0.1:1"}})
	return k, ps
}

// The invariant checks detect a connection that is lent twice or missing from the count, and an
// unknown database that stays marked down.
func TestPoolInvariantsAreChecked(t *testing.T) {
	borrow := func(ps *Pools[struct{}, *fakeConnection]) *fakeConnection {
		c, err := ps.Borrow("a", 0, struct{}{}, kernel.Second)
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	for name, c := range map[string]struct {
		run  func(ps *Pools[struct{}, *fakeConnection])
		want []invariant.Invariant
	}{
		"lent and returned": {func(ps *Pools[struct{}, *fakeConnection]) {
			for range 3 {
				a, b := borrow(ps), borrow(ps)
				ps.Return(a)
				ps.Return(b)
			}
		}, nil},
		"lent twice": {func(ps *Pools[struct{}, *fakeConnection]) {
			ps.markBorrowed(ps.pools["a"], borrow(ps))
		}, []invariant.Invariant{invariant.CheckedOutOnce}},
		"missing from the count": {func(ps *Pools[struct{}, *fakeConnection]) {
			a := borrow(ps)
			ps.pools["a"].open++
			ps.Return(a)
		}, []invariant.Invariant{invariant.ConnectionsCounted}},
		"down and known": {func(ps *Pools[struct{}, *fakeConnection]) {
			ps.checkDownKnown(map[string]int64{"a": 0})
			ps.checkDownKnown(map[string]int64{"a": 0})
		}, nil},
		"down and just removed": {func(ps *Pools[struct{}, *fakeConnection]) { ps.checkDownKnown(map[string]int64{"b": 0}) }, nil},
		"down and unknown": {func(ps *Pools[struct{}, *fakeConnection]) {
			ps.checkDownKnown(map[string]int64{"b": 0})
			ps.checkDownKnown(map[string]int64{"b": 0})
		}, []invariant.Invariant{invariant.DownIsKnown}},
	} {
		k, ps := fakePools()
		c.run(ps)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violations %v", name, got)
		}
	}
}
