package distribution

import (
	"log/slog"
	"slices"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/routeconfig"
	"indigowalk/internal/rpc"
)

// The invariant checks detect a control state that lost changes, a configuration that goes back
// to an older revision, and a statement that ends more often than it began.
func TestSubscriberInvariants(t *testing.T) {
	for name, c := range map[string]struct {
		play func(c *Subscriber)
		want []invariant.Invariant
	}{
		"a later epoch with more": {func(c *Subscriber) { c.check(pollReply{Epoch: 3, Seq: 6}, update{}) }, nil},
		"a late response":         {func(c *Subscriber) { c.check(pollReply{Epoch: 2, Seq: 4}, update{Config: &routeconfig.Delta{Rev: 1}}) }, nil},
		"a later epoch with less": {func(c *Subscriber) { c.check(pollReply{Epoch: 3, Seq: 4}, update{}) }, []invariant.Invariant{invariant.DurableStateKept}},
		"an older configuration": {func(c *Subscriber) { c.check(pollReply{Epoch: 2, Seq: 6}, update{Config: &routeconfig.Delta{Rev: 8}}) },
			[]invariant.Invariant{invariant.ConfigurationMonotonic}},
		"begun and ended": {func(c *Subscriber) { c.Begin("s"); c.Done("s") }, nil},
		"ended twice":     {func(c *Subscriber) { c.Begin("s"); c.Done("s"); c.Done("s") }, []invariant.Invariant{invariant.CountsNonNegative}},
	} {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		subscriber := NewSubscriber(k, rpc.NewEndpoint(k, "10.0.0.1:7441"), SubscriberConfig{})
		subscriber.epoch, subscriber.seq, subscriber.config = 2, 5, &routeconfig.Index{Rev: 9}
		c.play(subscriber)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
