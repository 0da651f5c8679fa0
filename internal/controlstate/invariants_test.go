package controlstate

import (
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
)

// The invariant checks detect a primary that lacks a durable change, and two primaries of the
// same epoch.
func TestInvariantViolationsAreDetected(t *testing.T) {
	self := Member{Name: "a", Addr: "10.0.0.1:7440", Disk: "d"}
	// Each replica knows that change 7 is durable.
	newReplica := func() *Replica {
		k := kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))
		return &Replica{k: k, self: self, policy: newMemberPolicy(self, Config{Lease: kernel.Second}), missedRenewals: map[string]int{}, durableSeq: 7}
	}
	view := View{Epoch: 3, Primary: self, Witnesses: []string{self.Addr}}
	for name, c := range map[string]struct {
		scenario func(v *Replica)
		want     []invariant.Invariant
	}{
		"state up to date":      {func(v *Replica) { v.becomePrimary(candidacy{epoch: 3, view: view}, State{Epoch: 3, Seq: 7}, 0, nil) }, nil},
		"a durable change lost": {func(v *Replica) { v.becomePrimary(candidacy{epoch: 3, view: view}, State{Epoch: 3, Seq: 6}, 0, nil) }, []invariant.Invariant{invariant.DurableStateKept}},
		"one primary": {func(v *Replica) {
			v.observe(view)
			v.observe(view)
		}, nil},
		"two primaries": {func(v *Replica) {
			other := view
			other.Primary.Disk = "e"
			v.observe(view)
			v.observe(other)
		}, []invariant.Invariant{invariant.OnePrimary}},
	} {
		v := newReplica()
		c.scenario(v)
		if got := v.k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violated invariants: %v", name, got)
		}
	}
}
