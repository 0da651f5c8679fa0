package failover

import (
	"errors"
	"log/slog"
	"testing"

	"indigowalk/internal/invariant"
	"indigowalk/internal/kernel"
	"indigowalk/internal/lineprotocol"
)

// The platform must not be called outside the term in which the failover was examined, even if a
// lease is held in a later term.
func TestPlatformIsNotCalledOutsideTheTerm(t *testing.T) {
	m := &Manager{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))}
	if err := m.callPlatform(t.Context(), Leader{}); !errors.Is(err, errRetryLater) || len(m.k.Counters.Snapshot()) != 0 {
		t.Errorf("the platform was called, or the error is wrong: %v, %v", err, m.k.Counters.Snapshot())
	}
}

// The promotion of a database that no longer holds everything that it held when it was chosen must
// be reported as a violation of the invariant.
func TestPromotionBelowChosenPositionIsReported(t *testing.T) {
	for text, want := range map[string]int{"2.9": 0, "2.8": 0, "2.7": 1} {
		m := &Manager{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))}
		received, _ := lineprotocol.ParsePosition(text)
		m.checkPromotedPosition(Leader{Service: "s", Target: "a", ChosenPosition: "2.8"}, statRow{received: received})
		if violations := m.k.Invariants.Counts()[invariant.PromotedReachesMinimum]; violations != want {
			t.Errorf("%s: %d violations", text, violations)
		}
	}
}
