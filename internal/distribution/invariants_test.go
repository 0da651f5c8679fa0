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

// A control state that lost changes, a configuration that goes back, and a statement
// that ends more often than it began, are found.
func TestInvariantsOfACarrier(t *testing.T) {
	for name, c := range map[string]struct {
		play func(c *Subscriber)
		want []invariant.Invariant
	}{
		"a later epoch with more": {func(c *Subscriber) { c.watch(pollAnswer{Epoch: 3, Seq: 6}, news{}) }, nil},
		"a late answer":           {func(c *Subscriber) { c.watch(pollAnswer{Epoch: 2, Seq: 4}, news{Config: &routeconfig.Step{Rev: 1}}) }, nil},
		"a later epoch with less": {func(c *Subscriber) { c.watch(pollAnswer{Epoch: 3, Seq: 4}, news{}) }, []invariant.Invariant{invariant.StateKept}},
		"an older configuration": {func(c *Subscriber) { c.watch(pollAnswer{Epoch: 2, Seq: 6}, news{Config: &routeconfig.Step{Rev: 8}}) },
			[]invariant.Invariant{invariant.ConfigurationForward}},
		"begun and ended": {func(c *Subscriber) { c.Begin("s"); c.Done("s") }, nil},
		"ended twice":     {func(c *Subscriber) { c.Begin("s"); c.Done("s"); c.Done("s") }, []invariant.Invariant{invariant.CountsPositive}},
	} {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		s := NewSubscriber(k, rpc.NewEndpoint(k, "10.0.0.1:7441"), SubscriberConfig{})
		s.epoch, s.seq, s.conf = 2, 5, &routeconfig.Index{Rev: 9}
		c.play(s)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v", name, got)
		}
	}
}
