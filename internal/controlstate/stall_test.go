package controlstate_test

import (
	"testing"
	"testing/synctest"
	"time"

	"indigowalk/internal/controlstate"
	"indigowalk/internal/kernel"
	"indigowalk/internal/simulation"
)

// A stalled disk blocks neither leases nor votes nor reads: a primary with such a disk hands
// over even if there is nothing to write, a backup with one is replaced, and each participates
// again once its disk responds.
func TestStalledDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := simulation.NewWorld(t, 1, 4)
		defer w.Close()
		w.AddGroup("ledger")
		w.Boot()
		w.Configure()
		replica := func(z int) *controlstate.Replica {
			return kernel.Need[*controlstate.Replica](w.Process("control", z).Kernel)
		}
		primary := func() (found int) {
			for z := 1; z <= 4; z++ {
				if _, remaining := replica(z).Lease(); remaining > 0 {
					found = z
				}
			}
			return found
		}
		old := primary()
		release := replica(old).StallDisk()
		defer release()
		elapsed := w.WaitUntil("another primary", 5*time.Second, func() bool { p := primary(); return p != 0 && p != old })
		if elapsed > 2*time.Second {
			t.Errorf("handed over after %v", elapsed)
		}
		w.WaitUntil("a change is accepted", time.Second, func() bool { return w.Replace(primary(), 1, w.Configuration(2)) == 200 })
		release()

		view, _ := replica(primary()).Primary()
		backup := 0
		for z := 1; z <= 4; z++ {
			if view.Has(replica(z).Self()) && z != primary() {
				backup = z
			}
		}
		releaseBackup := replica(backup).StallDisk()
		defer releaseBackup()
		w.WaitUntil("another backup", 4*time.Second, func() bool {
			p := primary()
			if p == 0 {
				return false
			}
			v, _ := replica(p).Primary()
			return !v.Has(replica(backup).Self())
		})
		if code := w.Replace(primary(), 2, w.Configuration(3)); code != 200 {
			t.Errorf("while the disk of another control node is stalled, a change is answered with %d", code)
		}
		releaseBackup()
		time.Sleep(3 * time.Second)
		if v, _ := replica(primary()).Primary(); len(v.Witnesses) != 3 || w.FetchVersion() != 3 {
			t.Errorf("witnesses %v, version %d", v.Witnesses, w.FetchVersion())
		}
	})
}
