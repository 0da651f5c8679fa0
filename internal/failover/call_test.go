package failover

import (
	"errors"
	"log/slog"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// DutyInItsTerm: the platform is not called outside the term in which the move
// was looked at, whatever lease runs now.
func TestDutyInItsTerm(t *testing.T) {
	c := &Manager{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))}
	if err := c.callPlatform(t.Context(), Lead{}); !errors.Is(err, errRetryLater) || len(c.k.Counters.Snapshot()) != 0 {
		t.Errorf("called: %v, %v", err, c.k.Counters.Snapshot())
	}
}

// A database that was promoted without what the choice rested on is found.
func TestPromotedHoldsFloor(t *testing.T) {
	for text, want := range map[string]int{"2.9": 0, "2.8": 0, "2.7": 1} {
		c := &Manager{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))}
		received, _ := lineprotocol.ParsePosition(text)
		c.checkPromotedPosition(Lead{Service: "s", To: "a", Floor: "2.8"}, statRow{received: received})
		if n := c.k.Invariants.Counts()[invariant.PromotedHoldsFloor]; n != want {
			t.Errorf("%s: %d violations", text, n)
		}
	}
}
