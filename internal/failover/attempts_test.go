package failover

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// The time of an attempt for a database that has left must be dropped: it must not be taken for
// that of a later database with the same name.
func TestOldAttemptsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), Config{}, nil, nil, nil, nil)
		for day := range 1000 {
			m.elapsedSinceFirst(fmt.Sprint("gone database-", day%2))
			m.attemptDue(fmt.Sprint("resume database-", day))
			time.Sleep(24 * time.Hour)
		}
		if n := len(m.attempts); n > 2 {
			t.Errorf("%d attempts are kept", n)
		}
		if elapsed := m.elapsedSinceFirst("gone database-0"); elapsed > kernel.Second {
			t.Errorf("%d s have elapsed for a database that has just left", elapsed/kernel.Second)
		}
	})
}
