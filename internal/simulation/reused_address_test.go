package simulation

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against the loss of acknowledged commits (LOST) when a delayed heartbeat of a database that
// has ended makes the control nodes drop the running replica that has taken over its address, which
// alone holds the latest commits when the primary crashes.
func TestDelayedHeartbeatOfFormerDatabaseAtAddress(t *testing.T) {
	for _, formerService := range []string{"other", "ledger"} {
		t.Run(formerService, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewWorld(t, 1, 4)
				defer w.Close()
				g := w.AddGroup("ledger")
				w.AddGroup("other")
				w.Boot()
				w.Configure()
				former := w.Groups[formerService].AddDelayed("former", "10.4.64.9", "z4", "replica", 5*time.Second)
				time.Sleep(time.Second)
				former.Crash(false)
				time.Sleep(2300 * time.Millisecond)
				replacement := g.Add("ledger-9", "10.4.64.9", "z4", "replica")
				time.Sleep(6 * time.Second)
				writeThrough(w, g, 3)
				writeThrough(w, g, 3)
				if crashPrimaryAfterWrite(w, g, g.DB(1), g.DB(2)) != replacement {
					t.Error("the replica that holds the acknowledged commits was not promoted")
				}
			})
		})
	}
}
