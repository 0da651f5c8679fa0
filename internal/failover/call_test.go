package failover

import (
	"errors"
	"log/slog"
	"testing"

	"indigowalk/internal/kernel"
)

// DutyInItsTerm: the platform is not called outside the term in which the move
// was looked at, whatever lease runs now.
func TestDutyInItsTerm(t *testing.T) {
	c := &Manager{k: kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler))}
	if err := c.call(t.Context(), Lead{}); !errors.Is(err, errNotYet) || len(c.k.Counters.Snapshot()) != 0 {
		t.Errorf("called: %v, %v", err, c.k.Counters.Snapshot())
	}
}
