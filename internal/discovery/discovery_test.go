package discovery

import (
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/kernel"
)

// A control node outlives many generations of databases; what it keeps of gone ones must not
// grow.
func TestStateOfGoneDatabasesIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(kernel.NewKernel("control", nil, slog.New(slog.DiscardHandler)), nil)
		for day := range 1000 {
			if !a.recordObserved(fmt.Sprint("database-", day), Beat{Seq: 1, Role: "replica"}) {
				t.Fatal("a first heartbeat was considered delayed")
			}
			time.Sleep(24 * time.Hour)
		}
		if n := len(a.Observed()); n > 2 {
			t.Errorf("the state of %d databases is kept", n)
		}
	})
}
