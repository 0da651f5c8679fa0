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

// The invariant checks detect a control state that lost changes, a configuration that is older
// than the current one, and a statement that ends more often than it began.
func TestSubscriberInvariants(t *testing.T) {
	for name, c := range map[string]struct {
		act  func(s *Subscriber)
		want []invariant.Invariant
	}{
		"later epoch with more changes":  {func(s *Subscriber) { s.check(pollReply{Epoch: 3, Seq: 6}, update{}) }, nil},
		"delayed response":               {func(s *Subscriber) { s.check(pollReply{Epoch: 2, Seq: 4}, update{Config: &routeconfig.Delta{Rev: 1}}) }, nil},
		"later epoch with fewer changes": {func(s *Subscriber) { s.check(pollReply{Epoch: 3, Seq: 4}, update{}) }, []invariant.Invariant{invariant.DurableStateKept}},
		"older configuration":            {func(s *Subscriber) { s.check(pollReply{Epoch: 2, Seq: 6}, update{Config: &routeconfig.Delta{Rev: 8}}) }, []invariant.Invariant{invariant.ConfigurationMonotonic}},
		"statement begun and ended":      {func(s *Subscriber) { s.Begin("s"); s.Done("s") }, nil},
		"statement ended twice":          {func(s *Subscriber) { s.Begin("s"); s.Done("s"); s.Done("s") }, []invariant.Invariant{invariant.CountsNonNegative}},
	} {
		k := kernel.NewKernel("pooler", nil, slog.New(slog.DiscardHandler))
		subscriber := NewSubscriber(k, rpc.NewEndpoint(k, "10.0.0.1:7441"), SubscriberConfig{})
		subscriber.epoch, subscriber.seq, subscriber.config = 2, 5, &routeconfig.Index{Rev: 9}
		c.act(subscriber)
		if got := k.Invariants.Violated(); !slices.Equal(got, c.want) {
			t.Errorf("%s: violated invariants: %v", name, got)
		}
	}
}
