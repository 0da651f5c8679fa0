package discovery

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// A control node outlives many databases: the observed state of those that are gone must be
// dropped.
func TestStateOfGoneDatabasesIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), nil, false)
		for day := range 1000 {
			if !r.recordObserved(fmt.Sprint("database-", day), Beat{Seq: 1, Role: "replica"}) {
				t.Fatal("a first heartbeat was considered delayed")
			}
			time.Sleep(24 * time.Hour)
		}
		if n := len(r.Observed()); n > 2 {
			t.Errorf("the state of %d databases is kept", n)
		}
	})
}
